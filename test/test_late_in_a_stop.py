"""Tests of requests that come late in the planned stop of a node."""

import gevent
import pytest
from _platform_fleet import (
    KEY,
    PlatformFleet,
    error_reason,
    make_wire_config,
    make_wire_route,
    read_answer,
)
from _routing import FakeClock

from amaranthlug.state.routing.grace_period import (
    ACCEPT_AFTER_STOP_S,
    GracePeriod,
)
from amaranthlug.transport.routing.http_client import HttpConnection
from amaranthlug_platform_standins.soak_fleet import HOST

STOP_GRACE_S = 8.0
BODY = b"b" * 100
DEADLINE_MS = 15_000


@pytest.fixture
def fleet():
    """One node whose servers need a while, as long as callers wait."""
    started = PlatformFleet(1, 2)
    routes = [
        make_wire_route("/safe/", "idempotent", timeout_ms=DEADLINE_MS),
        make_wire_route(
            "/once/", "non_idempotent", timeout_ms=DEADLINE_MS, max_attempts=1
        ),
    ]
    started.configure(make_wire_config(2, routes=routes))
    yield started
    started.stop()


def stop_node(fleet) -> gevent.Greenlet:
    """Stops the node as its program does and ends what still runs then."""
    node, listeners = fleet.nodes[0], fleet.listeners[0]
    listeners.start_draining()

    def stop() -> None:
        node.stop(
            listeners.count_active_requests, listeners.callers.stop_accepting
        )
        listeners.callers.pool.kill(block=False)

    return gevent.spawn(stop)


def send_slowly(fleet, target: str, until_s: float):
    """Sends a request whose body takes so long; returns the answer or None."""
    address = fleet.nodes[0].settings.addresses.callers
    connection = HttpConnection.open(address, 1.0)
    head = (
        f"POST {target} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: id-{target}\r\n"
        f"Deadline-Ms: {DEADLINE_MS}\r\nAuthorization: Bearer {KEY}\r\n"
        f"Content-Length: {len(BODY)}\r\n\r\n"
    )
    connection.send(head.encode(), 1.0)
    parts = 20
    for number in range(parts):
        gevent.sleep(until_s / parts)
        step = len(BODY) // parts
        connection.sock.sendall(BODY[number * step : (number + 1) * step])
    try:
        return read_answer(connection, 10.0)
    except OSError:
        return None


# Guards against requests that are passed on near the end of the grace period of
# a planned stop, since they had begun early, and are cut without an answer.
@pytest.mark.parametrize("target", ["/safe/1", "/once/1"])
def test_request_that_is_read_late_in_a_stop_is_not_cut(fleet, target):
    """It has not run, and its caller hears when to come back."""
    for server in fleet.servers:
        server.faults.delay_s = 4.0
    stopping = stop_node(fleet)
    answer = send_slowly(fleet, target, 6.0)
    stopping.join()
    assert answer is not None
    assert answer.status == 503
    assert float(answer.headers["retry-after"]) > 0
    assert error_reason(answer) == "stopping"
    assert fleet.runs(f"id-{target}") == 0


# Guards against second attempts that begin when the first one ends late.
def test_second_attempt_late_in_a_stop_is_not_begun(fleet):
    """The caller gets the failure while it can still be told."""
    for server in fleet.servers:
        server.faults.delay_s = 0.3
        server.faults.status = 500
    stopping = stop_node(fleet)
    gevent.sleep(ACCEPT_AFTER_STOP_S - 0.2)
    answer = fleet.call("/safe/2", request_id="id-2", deadline_ms=DEADLINE_MS)
    stopping.join()
    assert answer.status in (500, 502)
    assert fleet.runs("id-2") == 1


def test_request_that_ends_in_time_is_served_late_in_a_stop(fleet):
    """Its own limit is before the end of the grace period."""
    routes = [make_wire_route("/safe/", "idempotent", timeout_ms=5_000)]
    fleet.configure(make_wire_config(3, routes=routes))
    stopping = stop_node(fleet)
    answer = send_slowly(fleet, "/safe/3", 3.2)
    stopping.join()
    assert answer.status == 200


# Guards against an exit while a request is answered that arrived between the
# count of requests and the close of idle connections.
def test_request_that_comes_after_the_count_is_waited_for(fleet):
    """It was read and passed on, and its connection ended unanswered."""
    node, running = fleet.nodes[0], []

    def withdraw_meanwhile() -> None:
        running.append("request")
        gevent.spawn_later(0.5, running.clear)

    node.fleet.withdraw = withdraw_meanwhile
    node.stop(lambda: len(running), lambda: None)
    assert not running


def test_grace_period_fits_what_ends_before_it():
    """Early requests are always accepted."""
    clock = FakeClock()
    grace = GracePeriod(clock)
    assert grace.fits(60.0)
    grace.begin(7.6)
    clock.advance(ACCEPT_AFTER_STOP_S - 0.1)
    assert grace.fits(60.0)
    clock.advance(0.2)
    assert not grace.fits(60.0)
    assert grace.fits(4.8)
    clock.advance(1.0)
    assert not grace.fits(4.8)
    assert not grace.is_over()
    clock.advance(4.0)
    assert grace.is_over()
