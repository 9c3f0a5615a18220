"""Tests of servers that say that they want no new requests."""

import gevent
import pytest
from _platform_fleet import PlatformFleet, stream_headers, wait_for
from _routing import FakeClock, make_server

from amaranthlug.state.routing.server_statements import ServerStatements
from amaranthlug_platform.headers import MAX_RETRY_AFTER_S, parse_retry_after

PAUSE_S = 1.0


@pytest.fixture
def fleet():
    """A node and two servers."""
    started = PlatformFleet()
    yield started
    started.stop()


def send(fleet, count, target="/safe/a", first=0):
    """Sends requests one after the other; returns their statuses."""
    more = {"headers": stream_headers()} if "/stream/" in target else {}
    return [
        fleet.call(target, request_id=f"id-{first + n}", **more).status
        for n in range(count)
    ]


# Guards against requests that reach a server after it said that it leaves,
# while the store still lists it as ready.
@pytest.mark.parametrize("target", ["/once/a", "/safe/a", "/stream/a"])
def test_leaving_server_gets_no_new_request(fleet, target):
    """The answer itself counts, not the entry."""
    leaving = fleet.servers[0]
    leaving.faults.leaving = True
    send(fleet, 20, target)
    assert len(leaving.arrivals) == 1
    assert len(fleet.servers[1].arrivals) >= 19


def test_new_instance_at_the_address_is_used(fleet):
    """What the former one said does not bind it."""
    leaving = fleet.servers[0]
    leaving.faults.leaving = True
    send(fleet, 20)
    leaving.faults.leaving = False
    leaving.crash()
    gevent.sleep(0.01)
    leaving.restart()
    fleet.wait_until_up()
    arrived = len(leaving.arrivals)
    send(fleet, 20, first=20)
    assert len(leaving.arrivals) > arrived


# Guards against requests that reach a server within the time for which it has
# asked for none.
def test_server_that_refuses_is_left_alone_until_it_said(fleet):
    """It gets requests again afterwards."""
    paused = fleet.servers[0]
    paused.faults.refuse = True
    paused.faults.retry_after = str(PAUSE_S)
    assert set(send(fleet, 30)) == {200}
    assert len(paused.refusals) == 1
    paused.faults.refuse = False
    fleet.servers[1].faults.refuse = True
    wait_for(lambda: send(fleet, 1) and paused.arrivals, 3.0)
    assert paused.arrivals[0][0] - paused.refusals[0] >= PAUSE_S


def test_callers_are_refused_if_all_servers_pause(fleet):
    """The refusal is quick, true and says when to come back."""
    for server in fleet.servers:
        server.faults.refuse = True
        server.faults.retry_after = "30"
    assert set(send(fleet, 10, "/once/a")) == {503}
    assert [len(server.refusals) for server in fleet.servers] == [1, 1]


@pytest.mark.parametrize(
    ("value", "seconds"),
    [
        (None, None),
        ("2", 2.0),
        ("0.25", 0.25),
        ("-1", None),
        ("nan", None),
        ("soon", None),
        ("1e300", MAX_RETRY_AFTER_S),
        ("inf", MAX_RETRY_AFTER_S),
    ],
)
def test_retry_times_are_bounded(value, seconds):
    """Unusable ones are ignored."""
    assert parse_retry_after(value) == seconds


def test_later_statement_does_not_shorten_a_pause():
    """An answer that was on its way may be older."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    server = make_server()
    statements.record_pause(server, 5.0)
    statements.record_pause(server, 1.0)
    clock.advance(4.9)
    assert not statements.may_receive(server)
    clock.advance(0.2)
    assert statements.may_receive(server)


def test_departed_servers_are_forgotten():
    """The register stays as small as the list of servers."""
    statements = ServerStatements(FakeClock())
    server = make_server()
    statements.record_leaving(server)
    statements.record_pause(server, 5.0)
    statements.keep_only(set())
    assert statements.may_receive(server)
