"""Fake engine with scripted failures, and the events that it sends."""

import dataclasses
import json

import gevent
from _fakes_catalog import WORDS
from result import Err, Ok

from amaranthlug.protocol.upstream import StreamCutError, UpstreamError


def token_event(text, **extra):
    """Returns the server-sent event of one token."""
    chunk = {"choices": [{"index": 0, "delta": {"content": text}}], **extra}
    return f"data: {json.dumps(chunk)}\n\n".encode()


def end_events(tokens):
    """Returns the last chunk, with usage, and the end marker."""
    usage = {"prompt_tokens": 5, "completion_tokens": tokens}
    chunk = {
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": usage,
    }
    return f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode()


@dataclasses.dataclass
class Script:
    """Behaviour of one call to the fake engine.

    Attributes:
        error: Reason of a failure before the first byte, empty for none.
        cut_at: Index of the token before which the stream is cut.
        reason: Reason of the cut.
        empty: Send no tokens.
        pause_s: Pause before each token in seconds.
    """

    error: str = ""
    cut_at: int | None = None
    reason: str = "cut"
    empty: bool = False
    pause_s: float = 0.0


class FakeStream:
    """A stream that behaves as its script says."""

    def __init__(self, address, script, start):
        self.address = address
        self.script = script
        self.start = start
        self.closed = False

    def blocks(self):
        yield b'data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n'
        words = [] if self.script.empty else WORDS
        for number in range(self.start, len(words)):
            if number == self.script.cut_at:
                reason = self.script.reason
                raise StreamCutError(
                    UpstreamError(self.address, reason, "scripted")
                )
            gevent.sleep(self.script.pause_s)
            yield token_event(words[number] + " ")
        yield end_events(len(words))

    def close(self):
        self.closed = True


class FakeEngine:
    """Engines that use one script per call, then succeed.

    Attributes:
        dead: Addresses that refuse to resume a stream.
    """

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.calls = []
        self.cancelled = []
        self.streams = []
        self.dead = set()

    def open(self, address, call):
        self.calls.append((address, call))
        if call.resume_after_tokens is not None and address in self.dead:
            return Err(UpstreamError(address, "connect", "dead", True))
        script = self.scripts.pop(0) if self.scripts else Script()
        if script.error:
            sent = script.error != "connect"
            return Err(UpstreamError(address, script.error, "x", not sent))
        start = call.resume_after_tokens or call.body.get("continue_tokens", 0)
        self.streams.append(FakeStream(address, script, start))
        return Ok(self.streams[-1])

    def cancel(self, address, request_id):
        self.cancelled.append((address, request_id))
