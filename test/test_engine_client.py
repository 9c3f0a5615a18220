"""Tests the engine client over real sockets."""

import gevent
import pytest
from _fakes import WORDS
from _stub_engine import StubEngine

from amaranthlug.protocol.relay import AnswerMeter
from amaranthlug.protocol.upstream import EngineCall, StreamCutError
from amaranthlug.transport.engine_client import HttpEngine


@pytest.fixture
def stub():
    """Returns a running stub engine."""
    engine = StubEngine()
    yield engine
    engine.server.stop(timeout=0)


def make_call(
    first_byte_timeout_s=1.0, read_timeout_s=0.2, resume_after_tokens=None
):
    """Returns an engine call."""
    return EngineCall(
        "r1", {}, first_byte_timeout_s, read_timeout_s, resume_after_tokens
    )


def read_to_end(stream):
    """Reads a stream to its end and returns the meter."""
    meter = AnswerMeter()
    for block in stream.blocks():
        assert block.endswith(b"\n\n")
        meter.feed(block)
    return meter


def test_connection_is_reused_only_after_the_end_marker(stub):
    """A connection without the end marker is not reused.

    The rest of its answer would be read as the next request's answer.
    """
    engine = HttpEngine()
    for _ in range(5):
        assert read_to_end(
            engine.open(stub.address, make_call()).unwrap()
        ).ended
    assert stub.connections == 1
    stub.faults = ["unfinished"]
    with pytest.raises(StreamCutError):
        read_to_end(engine.open(stub.address, make_call()).unwrap())
    engine.open(stub.address, make_call()).unwrap().close()
    assert read_to_end(engine.open(stub.address, make_call()).unwrap()).ended
    assert stub.connections == 3


@pytest.mark.parametrize(
    ("fault", "reason"),
    [("cut", "cut"), ("silent", "timeout"), ("unfinished", "cut")],
)
def test_early_end_raises_a_cut_error(stub, fault, reason):
    """A broken or stalled stream raises an error and counts its tokens."""
    stub.faults = [fault]
    stream = HttpEngine().open(stub.address, make_call()).unwrap()
    meter = AnswerMeter()
    with pytest.raises(StreamCutError) as caught:
        for block in stream.blocks():
            meter.feed(block)
    assert caught.value.error.reason == reason
    assert meter.tokens == 3


def test_errors_before_the_first_byte_are_distinguished(stub):
    """Errors tell whether the upstream may have received the request.

    Otherwise a request that already runs could be sent again.
    """
    engine = HttpEngine()
    stub.faults = ["mute", "busy"]
    timed_out = engine.open(
        stub.address, make_call(first_byte_timeout_s=0.1)
    ).unwrap_err()
    assert (timed_out.reason, timed_out.not_received) == ("timeout", False)
    draining = engine.open(stub.address, make_call()).unwrap_err()
    assert (draining.reason, draining.retry_after_s) == ("draining", 2.0)
    address = stub.address
    stub.server.stop(timeout=0)
    gevent.sleep(0)
    refused = HttpEngine().open(address, make_call()).unwrap_err()
    assert (refused.reason, refused.not_received) == ("connect", True)


def test_resume_and_cancel_use_the_stream_id(stub):
    """A resumed stream continues at the right token; a cancel names its id."""
    engine = HttpEngine()
    stream = engine.open(
        stub.address, make_call(resume_after_tokens=5)
    ).unwrap()
    assert read_to_end(stream).text == "".join(word + " " for word in WORDS[5:])
    engine.cancel(stub.address, "r1")
    assert stub.deleted == ["/v1/streams/r1"]
