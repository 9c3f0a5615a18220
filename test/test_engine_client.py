"""Guards the engine adapter over real sockets."""

import gevent
import pytest
from _fakes import WORDS
from _stub_engine import StubEngine

from amaranthlug.protocol.relay import AnswerMeter
from amaranthlug.protocol.upstream import EngineCall, StreamCutError
from amaranthlug.transport.engine_client import HttpEngine


@pytest.fixture
def stub():
    """Returns a running engine."""
    engine = StubEngine()
    yield engine
    engine.server.stop(timeout=0)


def call(
    first_byte_timeout_s=1.0, read_timeout_s=0.2, resume_after_tokens=None
):
    """Returns a call."""
    return EngineCall(
        "r1", {}, first_byte_timeout_s, read_timeout_s, resume_after_tokens
    )


def read(stream):
    """Reads a stream to its end."""
    meter = AnswerMeter()
    for block in stream.blocks():
        assert block.endswith(b"\n\n")
        meter.feed(block)
    return meter


def test_connection_is_reused_only_after_the_end_marker(stub):
    """An answer that arrives as the answer of the next request."""
    engine = HttpEngine()
    for _ in range(5):
        assert read(engine.open(stub.address, call()).unwrap()).ended
    assert stub.connections == 1
    stub.faults = ["unfinished"]
    with pytest.raises(StreamCutError):
        read(engine.open(stub.address, call()).unwrap())
    engine.open(stub.address, call()).unwrap().close()
    assert read(engine.open(stub.address, call()).unwrap()).ended
    assert stub.connections == 3


@pytest.mark.parametrize(
    ("fault", "reason"),
    [("cut", "cut"), ("silent", "timeout"), ("unfinished", "cut")],
)
def test_early_end_is_a_typed_cut(stub, fault, reason):
    """A broken stream taken for a whole answer, or waited for forever."""
    stub.faults = [fault]
    stream = HttpEngine().open(stub.address, call()).unwrap()
    meter = AnswerMeter()
    with pytest.raises(StreamCutError) as caught:
        for block in stream.blocks():
            meter.feed(block)
    assert caught.value.error.reason == reason
    assert meter.tokens == 3


def test_failures_before_the_first_byte_are_told_apart(stub):
    """A retry of a request that an upstream may have received."""
    engine = HttpEngine()
    stub.faults = ["mute", "busy"]
    mute = engine.open(
        stub.address, call(first_byte_timeout_s=0.1)
    ).unwrap_err()
    assert (mute.reason, mute.not_received) == ("timeout", False)
    busy = engine.open(stub.address, call()).unwrap_err()
    assert (busy.reason, busy.retry_after_s) == ("draining", 2.0)
    address = stub.address
    stub.server.stop(timeout=0)
    gevent.sleep(0)
    gone = HttpEngine().open(address, call()).unwrap_err()
    assert (gone.reason, gone.not_received) == ("connect", True)


def test_resume_and_cancel_use_the_stream_id(stub):
    """A resumed stream that starts at another token."""
    engine = HttpEngine()
    stream = engine.open(stub.address, call(resume_after_tokens=5)).unwrap()
    assert read(stream).text == "".join(word + " " for word in WORDS[5:])
    engine.cancel(stub.address, "r1")
    assert stub.deleted == ["/v1/streams/r1"]
