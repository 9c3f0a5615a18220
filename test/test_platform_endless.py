"""Tests servers whose answers have no end or no length, over loopback."""

import contextlib
import time

import gevent
import pytest
from _platform_fleet import (
    PlatformFleet,
    event_ids,
    make_wire_config,
    stream_headers,
    wait_for,
)

from amaranthlug.protocol.routing import plain_exchange

PAUSE_S = 0.05
"""Pause between the bytes of a slow endless answer, in seconds."""
TIMEOUT_S = 1.0
"""Timeout of the route whose requests run once, in seconds."""
ANSWER_SLACK_S = 0.5
"""Time after a route's timeout in which a caller must have its answer."""
FAST = [
    "interim_heads",
    "header_lines",
    "short_headers",
    "noise",
    "body",
    "error_body",
    "foreign_body",
    "foreign_chunks",
    "chunk_extension",
    "trailers",
]
"""Kinds that are sent as fast as they are read."""
SLOW = ["interim_heads", "header_lines", "foreign_body", "chunk_extension"]
"""Kinds whose time limit has to hold for all their bytes."""
FAST_OR_SLOW = [(kind, 0.0) for kind in FAST] + [
    (kind, PAUSE_S) for kind in SLOW
]
BROKEN_ENDS = [
    (True, "close"),
    (True, "reset"),
    (False, "close"),
    (False, "reset"),
    (False, "end"),
]
"""Framing and end of streams that end inside an event."""
ALL_EVENTS = [1, 2, 3, 4, 5]


@pytest.fixture
def fleet():
    """A running fleet of one node and two servers with short timeouts."""
    started = PlatformFleet()
    config = make_wire_config(2)
    for route in config["routes"]:
        if route["path_prefix"] in ("/once/", "/cut/"):
            route["timeout_ms"] = round(TIMEOUT_S * 1_000)
    started.configure(config)
    yield started
    started.stop()


def set_faults(servers, **faults):
    """Sets faults on servers."""
    for server in servers:
        for name, value in faults.items():
            setattr(server.faults, name, value)


def calls_until_received(fleet, server, target, **more):
    """Yields the answers to requests until a server has received one."""
    for number in range(50):
        yield fleet.call(target, request_id=f"r{number}", **more)
        if server.received_requests:
            return
    raise AssertionError("the server received no request")


@contextlib.contextmanager
def time_limit(seconds: float):
    """Fails if its block takes longer."""
    with gevent.Timeout(seconds, AssertionError(f"took over {seconds} s")):
        yield


# Guards against issue 29: endless bytes held requests beyond their time.
@pytest.mark.parametrize(("kind", "pause_s"), FAST_OR_SLOW)
def test_idempotent_request_leaves_an_endless_answer(fleet, kind, pause_s):
    """Another server answers the request."""
    server = fleet.servers[0]
    set_faults([server], endless=kind, endless_pause_s=pause_s)
    with time_limit(3.2):
        for answer in calls_until_received(fleet, server, "/safe/x"):
            assert answer.status == 200


# Guards against issue 29: endless bytes held requests beyond their time.
@pytest.mark.parametrize(
    ("kind", "pause_s"), [*FAST_OR_SLOW, ("body", PAUSE_S)]
)
def test_unrepeatable_request_ends_in_time(fleet, kind, pause_s):
    """It runs once and its caller learns that the outcome is unknown."""
    set_faults(fleet.servers, endless=kind, endless_pause_s=pause_s)
    with time_limit(TIMEOUT_S + ANSWER_SLACK_S):
        answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status in (502, 504)
    assert fleet.runs("id-1") == 1


# Guards against issue 29: streams waited for events in endless bytes.
@pytest.mark.parametrize(
    ("kind", "pause_s"),
    [
        *((kind, 0.0) for kind in FAST if kind != "error_body"),
        ("header_lines", PAUSE_S),
        ("body", PAUSE_S),
        ("foreign_body", PAUSE_S),
        ("chunk_extension", PAUSE_S),
    ],
)
def test_stream_leaves_an_endless_answer(fleet, kind, pause_s):
    """Another server makes the events."""
    server = fleet.servers[0]
    set_faults([server], endless=kind, endless_pause_s=pause_s)
    with time_limit(5.0):
        for answer in calls_until_received(
            fleet, server, "/stream/x", headers=stream_headers()
        ):
            assert answer.whole
            assert event_ids(answer.body) == ALL_EVENTS


# Guards against issue 29: a fast stream of events went on for ever.
@pytest.mark.parametrize("pause_s", [0.0, 0.001], ids=["fast", "slow"])
def test_endless_events_end_at_the_timeout(fleet, pause_s):
    """The route's time limit holds also while events arrive."""
    set_faults(fleet.servers, endless="events", endless_pause_s=pause_s)
    with time_limit(TIMEOUT_S + ANSWER_SLACK_S):
        answer = fleet.call("/cut/x", headers=stream_headers())
    assert not answer.whole
    assert event_ids(answer.body)[:3] == [1, 2, 3]


# Guards against issue 29: endless answers of one server delayed other requests.
def test_endless_answers_do_not_delay_other_requests(fleet):
    """Callers of the other server are answered while they are read."""
    server = fleet.servers[0]
    set_faults([server], endless="body")
    endless_calls = [
        gevent.spawn(fleet.call, "/safe/x", request_id=f"e{number}")
        for number in range(8)
    ]
    wait_for(lambda: server.received_requests)
    slowest_s = 0.0
    for number in range(20):
        started_at = time.monotonic()
        answer = fleet.call("/safe/y", request_id=f"r{number}")
        slowest_s = max(slowest_s, time.monotonic() - started_at)
        assert answer.status == 200
    assert slowest_s < 2.0
    gevent.joinall(endless_calls, raise_error=True)


# Guards against issue 29: an answer with neither length nor chunks.
def test_unsized_answer_is_complete_at_its_close(fleet):
    """The caller receives the whole body."""
    set_faults(fleet.servers, until_close=True)
    for number in range(4):
        answer = fleet.call(f"/safe/{number}", request_id=f"r{number}")
        assert answer.status == 200
        assert answer.whole
        assert answer.body == f"GET /safe/{number}".encode()


# Guards against issue 29: an answer that was reset shown as complete.
def test_unsized_answer_that_is_reset_is_a_failure(fleet):
    """Nobody knows how much of it is missing."""
    set_faults(fleet.servers, until_close=True, truncate=True, cut_how="reset")
    answer = fleet.call("/once/x", method="POST", body=b"b")
    assert answer.status == 502


# Guards against issue 29: a stream with neither length nor chunks.
def test_unsized_stream_is_complete_at_its_close(fleet):
    """It ended after an event."""
    set_faults(fleet.servers, until_close=True)
    answer = fleet.call("/cut/x", headers=stream_headers())
    assert answer.whole
    assert event_ids(answer.body) == ALL_EVENTS


# Guards against issue 29: a stream that ended inside an event was complete.
@pytest.mark.parametrize(("until_close", "cut_how"), BROKEN_ENDS)
def test_stream_that_ends_inside_an_event_is_resumed(
    fleet, until_close, cut_how
):
    """Whatever its framing, the rest comes from another server."""
    server = fleet.servers[0]
    set_faults([server], cut_after=2, until_close=until_close, cut_how=cut_how)
    for answer in calls_until_received(
        fleet, server, "/stream/x", headers=stream_headers()
    ):
        assert answer.whole
        assert event_ids(answer.body) == ALL_EVENTS


# Guards against issue 29: a stream that ended inside an event was complete.
@pytest.mark.parametrize(("until_close", "cut_how"), BROKEN_ENDS)
def test_stream_that_may_not_be_resumed_breaks(fleet, until_close, cut_how):
    """Its caller must see that it is incomplete, and it runs once."""
    set_faults(
        fleet.servers, cut_after=2, until_close=until_close, cut_how=cut_how
    )
    answer = fleet.call("/cut/x", headers=stream_headers())
    assert not answer.whole
    assert event_ids(answer.body) == [1, 2]
    assert fleet.runs("id-1") == 1


# Guards against issue 29: the body of an engine's error had no limit.
def test_endless_error_of_an_engine_is_a_failure(fleet):
    """It is not collected until the time is over."""
    set_faults(fleet.servers, endless="error_body")
    answer = fleet.call("/cut/x", headers=stream_headers())
    assert answer.status == 502


# Guards against issue 29: endless answers together took all memory of a VM.
def test_endless_answers_share_a_limit_of_memory(fleet, monkeypatch):
    """Their sum is limited, also where none is too large by itself."""
    monkeypatch.setattr(plain_exchange, "MAX_ANSWER_BYTES", 1 << 40)
    held = fleet.nodes[0].router.tools.held_bytes
    held.limit_bytes = 1 << 20
    set_faults(fleet.servers, endless="body")
    calls = [
        gevent.spawn(
            fleet.call, "/once/x", method="POST", request_id=f"r{n}", body=b"b"
        )
        for n in range(6)
    ]
    gevent.joinall(calls, raise_error=True)
    assert {call.value.status for call in calls} == {502}
    wait_for(lambda: held.used_bytes == 0)
    set_faults(fleet.servers, endless="")
    wait_for(lambda: fleet.call("/safe/x").status == 200)
