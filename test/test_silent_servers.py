"""Tests of servers that send nothing for a while and then go on."""

import time

import gevent
import pytest
from _platform_fleet import (
    PlatformFleet,
    event_ids,
    make_wire_config,
    render_call,
    stream_headers,
    wait_for,
)

from amaranthlug.protocol.routing import plain_exchange, stream_exchange
from amaranthlug.transport.routing.http_client import HttpConnection

LIMIT_S = 0.3
"""Time without data after which a server counts as silent in these tests."""
SILENT_S = 1.0
"""Length of a silence; longer than all limits."""
BEFORE_HEAD = 0
MID_STREAM = 2
"""Events after which a server falls silent."""
MOMENTS = pytest.mark.parametrize(
    "silent_after", [BEFORE_HEAD, MID_STREAM], ids=["head", "middle"]
)
MAX_BOTH_S = 0.4
"""Longest time for which two servers may work on a stream, in seconds."""
ALL_EVENTS = [1, 2, 3, 4, 5]


@pytest.fixture(autouse=True)
def short_limits(monkeypatch):
    """Shortens the limits, so that tests are quick."""
    monkeypatch.setattr(stream_exchange, "PROBE_S", 0.1)
    monkeypatch.setattr(stream_exchange, "CHECK_PERIOD_S", 0.05)
    monkeypatch.setattr(stream_exchange, "STALL_TIMEOUT_S", LIMIT_S)
    monkeypatch.setattr(stream_exchange, "SILENCE_TIMEOUT_S", LIMIT_S)
    monkeypatch.setattr(plain_exchange, "SECOND_SERVER_S", LIMIT_S)


@pytest.fixture
def fleet():
    """A running fleet of one node and two servers."""
    started = PlatformFleet()
    yield started
    started.stop()


def silence(servers, silent_after, silent_s=SILENT_S):
    """Makes servers fall silent in each run."""
    for server in servers:
        server.faults.silent_s = silent_s
        server.faults.silent_after = silent_after


def outlast_all_limits(fleet):
    """Limits all routes to 0.7 s and silences all servers for longer."""
    config = make_wire_config(2)
    for route in config["routes"]:
        route["timeout_ms"] = 700
    fleet.configure(config)
    silence(fleet.servers, BEFORE_HEAD, silent_s=30.0)


def empty_retry_budget(fleet):
    """Leaves the node no retry, also not after a first attempt."""
    fleet.nodes[0].budget.total = 0.0


def change_route(fleet, prefix, **changes):
    """Changes the route with this prefix."""
    config = make_wire_config(2)
    for route in config["routes"]:
        if route["path_prefix"] == prefix:
            route.update(changes)
    fleet.configure(config)


def stream(fleet, target="/stream/x", **more):
    """Requests a stream; returns its answer."""
    return fleet.call(target, headers=stream_headers(), **more)


def assert_complete(answer):
    """Checks that a stream has all events and its end."""
    assert answer.status == 200
    assert answer.whole
    assert event_ids(answer.body) == ALL_EVENTS


# Guards against issue 29: a stream was cut since its server was silent for a
# while, although no other server could go on with it.
@MOMENTS
def test_stream_that_may_not_be_resumed_outlasts_a_silence(fleet, silent_after):
    """No second attempt is allowed, so the only answer is still to come."""
    silence(fleet.servers, silent_after)
    assert_complete(stream(fleet, "/cut/x"))
    assert fleet.runs("id-1") == 1


# Guards against issue 29 within an event: a stream whose event arrived in parts
# was cut, although no other server could go on with it.
def test_stream_outlasts_pauses_within_its_events(fleet, monkeypatch):
    """Data of an incomplete event arrives between the pauses."""
    monkeypatch.setattr(stream_exchange, "STALL_TIMEOUT_S", 0.1)
    for server in fleet.servers:
        server.faults.event_pause_s = 0.15
    assert_complete(stream(fleet, "/cut/x"))
    assert fleet.runs("id-1") == 1


# Guards against issue 29 where the retry budget is empty.
@MOMENTS
def test_stream_outlasts_a_silence_without_a_retry_left(fleet, silent_after):
    """A silent server must not be left before a retry is reserved."""
    empty_retry_budget(fleet)
    silence(fleet.servers, silent_after)
    assert_complete(stream(fleet))
    assert fleet.runs("id-1") == 1


# Guards against issue 29 where the attempts of the route are used up.
@MOMENTS
def test_stream_outlasts_a_silence_at_its_last_attempt(fleet, silent_after):
    """The route allows one attempt only."""
    change_route(fleet, "/stream/", max_attempts=1)
    silence(fleet.servers, silent_after)
    assert_complete(stream(fleet))


# Guards against issue 29 where all servers fall silent, one after the other.
@MOMENTS
def test_stream_outlasts_the_silence_of_all_servers(fleet, silent_after):
    """The last server that may be tried is waited for."""
    silence(fleet.servers, silent_after)
    assert_complete(stream(fleet))
    assert fleet.runs("id-1") == 2


# Guards against issue 29 where there is no other server.
@MOMENTS
def test_stream_outlasts_the_silence_of_the_only_server(silent_after):
    """Its connection is still open."""
    fleet = PlatformFleet(servers=1)
    try:
        silence(fleet.servers, silent_after)
        assert_complete(stream(fleet))
    finally:
        fleet.stop()


# Guards against issue 29 where the other server has ended but is still listed.
@MOMENTS
def test_silent_server_is_not_left_for_one_that_ended(fleet, silent_after):
    """The successor is checked while the connection is still open."""
    silence(fleet.servers, silent_after)
    request = gevent.spawn(stream, fleet)
    wait_for(lambda: fleet.runs("id-1") == 1)
    next(s for s in fleet.servers if not s.runs["id-1"]).crash()
    assert_complete(request.get())


# Guards against issue 29 where new connections fail but an open one does not.
@MOMENTS
def test_failed_probe_does_not_end_a_stream(fleet, silent_after, monkeypatch):
    """A server at its connection limit refuses new ones and goes on."""
    upstreams = fleet.nodes[0].upstreams
    monkeypatch.setattr(upstreams, "is_reachable", lambda server: False)
    silence(fleet.servers, silent_after)
    assert_complete(stream(fleet))


# Guards against issue 29 beside a change of the configuration.
def test_silent_server_is_not_left_after_the_key_was_withdrawn(
    fleet, monkeypatch
):
    """A request whose key is gone may not be sent to another server."""
    monkeypatch.setattr(stream_exchange, "STALL_TIMEOUT_S", 1.0)
    silence(fleet.servers, MID_STREAM, silent_s=1.8)
    request = gevent.spawn(stream, fleet)
    wait_for(lambda: fleet.runs("id-1") == 1)
    fleet.configure(make_wire_config(2, keys=("key-2",)))
    assert_complete(request.get())
    assert fleet.runs("id-1") == 1


# Guards against issue 29 where the request may no longer be sent once its
# successor has been probed.
def test_silent_server_is_not_left_if_the_key_expires_during_the_probe(
    fleet, monkeypatch
):
    """The conditions are checked again after the probe."""
    node = fleet.nodes[0]

    def probe(server):
        silent = next(s for s in fleet.servers if s.runs["id-1"])
        if server.server_id != silent.server_id:
            node.router.key_age_limit_s = -1.0
        return True

    monkeypatch.setattr(node.upstreams, "is_reachable", probe)
    silence(fleet.servers, MID_STREAM)
    assert_complete(stream(fleet))
    assert fleet.runs("id-1") == 1


# Guards against issue 29 where the successor that was checked is not the one
# that gets the request, since a failing server is due for a trial request.
def test_silent_server_is_left_for_the_server_that_was_checked():
    """The trial request could fail, too."""
    fleet = PlatformFleet(servers=3)
    try:
        silence(fleet.servers, MID_STREAM, silent_s=2.0)
        request = gevent.spawn(stream, fleet)
        wait_for(lambda: fleet.runs("id-1") == 1)
        failing, sound = [s for s in fleet.servers if not s.runs["id-1"]]
        sound.faults.silent_s = 0.0
        for entry in fleet.nodes[0].servers.usable_servers("pool"):
            if entry.server_id == failing.server_id:
                health = fleet.nodes[0].health.get_or_create(entry)
                health.failure_share = 1.0
        assert_complete(request.get())
        assert (failing.runs["id-1"], sound.runs["id-1"]) == (0, 1)
    finally:
        fleet.stop()


# Guards against issue 29 at a node that stops.
def test_draining_node_outlasts_a_silence(fleet):
    """It has time left in its grace period."""
    silence(fleet.servers, MID_STREAM)
    request = gevent.spawn(stream, fleet, "/cut/x")
    wait_for(lambda: fleet.runs("id-1") == 1)
    listeners = fleet.listeners[0]
    listeners.start_draining()
    stop_task = gevent.spawn(
        fleet.nodes[0].stop,
        listeners.count_active_requests,
        listeners.callers.stop_accepting,
    )
    assert_complete(request.get())
    stop_task.kill()


# Guards against issue 29 on plain routes: a request got 502 since its server
# was slow, although no other server could answer it.
def test_plain_request_outlasts_a_silence_without_a_retry_left(fleet):
    """An idempotent request leaves a server only for another one."""
    empty_retry_budget(fleet)
    silence(fleet.servers, BEFORE_HEAD)
    assert fleet.call("/safe/x").status == 200
    assert fleet.runs("id-1") == 1


# Guards against issue 29 on plain routes where all servers are silent.
def test_plain_request_outlasts_the_silence_of_all_servers(fleet):
    """The last server that may be tried is waited for."""
    silence(fleet.servers, BEFORE_HEAD)
    assert fleet.call("/safe/x").status == 200
    assert fleet.runs("id-1") == 2


# Guards against the cause of issue 29 where the reserved server is full: the
# open attempt is closed before the next one has been accepted.
@MOMENTS
def test_stream_outlasts_a_silence_if_the_next_server_is_full(
    fleet, silent_after
):
    """The silent server is the only one that runs the request."""
    change_route(fleet, "/stream/", max_attempts=2)
    silence(fleet.servers, silent_after)
    request = gevent.spawn(stream, fleet)
    wait_for(lambda: fleet.runs("id-1") == 1)
    next(s for s in fleet.servers if not s.runs["id-1"]).faults.refuse = True
    assert_complete(request.get())


# Guards against two servers that work on one stream for long: the one that was
# left is told so once the next one has not refused.
@MOMENTS
def test_silent_server_ends_its_work_soon_after_the_next_one_began(
    fleet, silent_after
):
    """The next one is silent as well."""
    silence(fleet.servers, silent_after, silent_s=8.0)
    request = gevent.spawn(stream, fleet)
    wait_for(lambda: fleet.runs("id-1") == 2)
    gevent.sleep(MAX_BOTH_S)
    assert sum(server.cancelled_runs for server in fleet.servers) == 1
    request.kill()


# Guards against a request that never left a silent server, since the server
# that was preferred as its successor had ended and was checked each time.
@pytest.mark.parametrize("target", ["/stream/x", "/safe/x"])
def test_unreachable_successor_does_not_hide_the_others(target):
    """A third server can take over, although it is in another zone."""
    fleet = PlatformFleet(servers=3)
    try:
        fleet.servers[2].zone = "zone-b"
        fleet.servers[2].register()
        wait_for(
            lambda: any(
                s.zone == "zone-b"
                for s in fleet.nodes[0].servers.usable_servers("pool")
            )
        )
        silence(fleet.servers[:2], BEFORE_HEAD, silent_s=30.0)
        request = gevent.spawn(fleet.call, target, headers=stream_headers())
        wait_for(lambda: fleet.runs("id-1") == 1)
        next(s for s in fleet.servers[:2] if not s.runs["id-1"]).crash()
        assert request.get().status == 200
        assert fleet.servers[2].runs["id-1"] == 1
    finally:
        fleet.stop()


def fail_probes(fleet, monkeypatch, after_s):
    """Makes new connections time out; returns a node and a server it knows."""

    def fail_late(address, timeout_s):
        gevent.sleep(after_s)
        raise TimeoutError("no answer")

    monkeypatch.setattr(HttpConnection, "open", fail_late)
    node = fleet.nodes[0]
    return node, node.servers.usable_servers("pool")[0]


# Guards against the cause of issue 29 where several requests wait for one
# silent server: a probe that had not ended counted as a success, and the
# request left its server for one that was unreachable.
def test_requests_share_the_result_of_a_probe(fleet, monkeypatch):
    """None of them is told that the server is reachable before it is known."""
    node, server = fail_probes(fleet, monkeypatch, after_s=0.1)
    probes = [
        gevent.spawn(node.upstreams.is_reachable, server) for _ in range(3)
    ]
    gevent.joinall(probes)
    assert [probe.value for probe in probes] == [False] * 3


# Guards against a probe that was ended at the time limit of its request and
# then counted as a success for others.
def test_ended_probe_is_not_a_success(fleet, monkeypatch):
    """The first request ends while the server is probed."""
    node, server = fail_probes(fleet, monkeypatch, after_s=0.2)
    with gevent.Timeout(0.05, False):
        node.upstreams.is_reachable(server)
    assert not node.upstreams.is_reachable(server)


@MOMENTS
def test_silent_server_is_left_if_another_one_can_take_over(
    fleet, silent_after
):
    """A stream that may be resumed does not wait for a silent server."""
    silence(fleet.servers[:1], silent_after, silent_s=30.0)
    for number in range(4):
        started_at = time.monotonic()
        assert_complete(stream(fleet, request_id=f"r{number}"))
        assert time.monotonic() - started_at < LIMIT_S + 0.5
    wait_for(
        lambda: fleet.servers[0].cancelled_runs == fleet.servers[0].runs.total()
    )


# Guards against requests that are sent to a silent server while others have to
# wait there, found while issue 29 was fixed.
@MOMENTS
def test_server_at_which_requests_wait_counts_as_silent(fleet, silent_after):
    """The request itself cannot leave, but the next ones need not follow."""
    silence(fleet.servers, silent_after)
    node = fleet.nodes[0]
    request = gevent.spawn(stream, fleet, "/cut/x")
    wait_for(
        lambda: any(
            node.health.is_silent(entry)
            for entry in node.servers.usable_servers("pool")
        ),
        SILENT_S,
    )
    assert_complete(request.get())
    assert not any(
        node.health.is_silent(entry)
        for entry in node.servers.usable_servers("pool")
    )


@pytest.mark.parametrize("target", ["/stream/x", "/cut/x", "/safe/x"])
def test_silence_ends_at_the_time_limit(fleet, target):
    """A request without an answer ends with 504 soon after its limit."""
    outlast_all_limits(fleet)
    started_at = time.monotonic()
    answer = fleet.call(target, headers=stream_headers())
    assert answer.status == 504
    assert 0.6 < time.monotonic() - started_at < 0.95
    wait_for(
        lambda: (
            sum(s.cancelled_runs for s in fleet.servers) == fleet.runs("id-1")
        )
    )


# Guards against a probe that delays the answer at the time limit, found while
# issue 29 was fixed: a probe of a VM that is cut off takes half a second.
@pytest.mark.parametrize("target", ["/stream/x", "/safe/x"])
def test_slow_probe_does_not_delay_the_final_answer(fleet, target, monkeypatch):
    """The answer is due a quarter of a second after the time limit."""

    def probe(server):
        gevent.sleep(0.5)
        return False

    monkeypatch.setattr(fleet.nodes[0].upstreams, "is_reachable", probe)
    outlast_all_limits(fleet)
    started_at = time.monotonic()
    assert fleet.call(target, headers=stream_headers()).status == 504
    assert time.monotonic() - started_at < 0.95


def test_server_stops_work_when_the_caller_of_a_silent_stream_leaves(fleet):
    """Waiting for a silent server must not outlive the caller."""
    silence(fleet.servers, MID_STREAM, silent_s=30.0)
    address = fleet.nodes[0].settings.addresses.callers
    connection = HttpConnection.open(address, 1.0)
    connection.send(render_call("/cut/x", "id-1", stream_headers()), 1.0)
    wait_for(lambda: fleet.runs("id-1") == 1)
    gevent.sleep(2 * LIMIT_S)
    assert sum(s.cancelled_runs for s in fleet.servers) == 0
    connection.close()
    wait_for(lambda: sum(s.cancelled_runs for s in fleet.servers) == 1, 0.5)
