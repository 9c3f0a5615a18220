"""Tests the meter of relayed answers."""

import json

import pytest
from _fakes import WORDS, end_events, token_event

from amaranthlug.protocol.relay import AnswerMeter, closing_events


def stream_bytes(words):
    """Returns the bytes of a streamed answer."""
    return b"".join(token_event(w) for w in words) + end_events(len(words))


@pytest.mark.parametrize("events", [1, 2, 3, 100])
def test_counts_do_not_depend_on_block_boundaries(events):
    """Guards against lost or doubled tokens, which break resumed streams."""
    words = [*WORDS, '"content":', "data: [DONE]\n\n", '"usage"', "\n\n", "é"]
    parts = [p + b"\n\n" for p in stream_bytes(words).split(b"\n\n")[:-1]]
    meter = AnswerMeter()
    out = b""
    for start in range(0, len(parts), events):
        out += meter.feed(b"".join(parts[start : start + events]))
    assert meter.ended
    assert (meter.tokens, meter.text) == (len(words), "".join(words))
    assert meter.usage["completion_tokens"] == len(words)
    assert out == b"".join(token_event(w) for w in words)


def test_long_answers_are_decoded_in_batches():
    """Guards against memory that grows with the raw events of a stream."""
    meter = AnswerMeter()
    for _ in range(5_000):
        meter.feed(token_event("palavra "))
    assert meter.pending_bytes < 20_000
    assert meter.tokens == 5_000


def test_error_event_is_not_passed_on():
    """Guards against internal engine errors that reach the caller."""
    meter = AnswerMeter()
    assert meter.feed(b'data: {"error": {"message": "gpu"}}\n\n') == b""
    assert meter.error == {"message": "gpu"}


def test_usage_on_every_chunk_keeps_all_tokens():
    """Guards against losing tokens of events that also have usage."""
    meter = AnswerMeter()
    out = b""
    for number, word in enumerate(WORDS):
        usage = {"completion_tokens": number + 1}
        out += meter.feed(token_event(word, usage=usage))
    out += meter.feed(b"data: [DONE]\n\n")
    answer = {"usage": {}, "amaranthlug": {}}
    out += closing_events(answer, meter.usage_event)
    contents = [
        json.loads(part[6:])["choices"][0]["delta"]["content"]
        for part in out.split(b"\n\n")
        if part.strip() and b"[DONE]" not in part
    ]
    assert contents == WORDS
