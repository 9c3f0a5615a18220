"""Tests of servers that name a limit on the requests of all nodes."""

import time

import pytest
from _platform_fleet import PlatformFleet
from _routing import FakeClock, make_server
from _server_load import most_arrivals, send_evenly

from amaranthlug.state.routing.server_statements import ServerStatements
from amaranthlug.transport.routing.http_client import ResponseHead
from amaranthlug_platform.headers import MAX_RATE, PlatformHeaders

LIMIT = 2.5
WINDOW_S = 4.0
ALLOWED = 1.5 * LIMIT * WINDOW_S + 5
LIMITED = 2
PER_SECOND = 60.0
LOAD_S = 8.0


@pytest.fixture
def fleet():
    """Three nodes and eight servers, two of which name a limit."""
    started = PlatformFleet(3, 8, confidence={"small": 10, "middle": 90})
    for server in started.servers:
        server.faults.delay_s = 0.1
    for server in started.servers[:LIMITED]:
        server.faults.limit = str(LIMIT)
    yield started
    started.stop()


def send_after_warning(fleet, target: str, **more) -> float:
    """Sends until all nodes know of the limits, then goes on.

    Returns the monotonic time from which they know.
    """
    send_evenly(fleet, PER_SECOND, 2.0, target, **more)
    since = time.monotonic()
    send_evenly(fleet, PER_SECOND, LOAD_S, f"{target}b", **more)
    return since


# Guards against nodes each of which keeps within a limit, but not their sum,
# and against repeats at larger models that are sent past it.
@pytest.mark.parametrize("target", ["/safe/", "/once/", "/stream/"])
def test_all_nodes_together_keep_the_limit_of_a_server(fleet, target):
    """It is used as far as it goes."""
    since = send_after_warning(fleet, target)
    for server in fleet.servers[:LIMITED]:
        assert most_arrivals(server, WINDOW_S, since) <= ALLOWED
        used = [at for at, _ in server.arrivals if at >= since]
        assert len(used) >= 0.8 * LIMIT * LOAD_S


# Guards against the same where the others fail requests, which then come again.
def test_limit_holds_for_requests_that_are_sent_again(fleet):
    """Retries count as well."""
    for server in fleet.servers[LIMITED:]:
        server.faults.status = 500
    since = send_after_warning(fleet, "/safe/")
    for server in fleet.servers[:LIMITED]:
        assert most_arrivals(server, WINDOW_S, since) <= ALLOWED


@pytest.mark.parametrize(
    ("value", "limit"),
    [
        (None, None),
        ("2.5", 2.5),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("many", None),
        ("2, 3", None),
        ("1e300", MAX_RATE),
    ],
)
def test_limits_are_read(value, limit):
    """Unusable ones are ignored."""
    headers = [] if value is None else [("Server-Limit", value)]
    head = PlatformHeaders().decode(ResponseHead(200, headers))
    assert head.limit == limit


def test_limit_holds_as_long_as_answers_name_it():
    """An answer that was under way before it does not end it."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    server = make_server()
    statements.record_limit(server, 2.5, clock())
    statements.record_limit(server, None, clock() - 0.1)
    assert statements.limit(server) == 2.5
    statements.record_limit(server, 3.0, clock())
    assert statements.limit(server) == 3.0
    assert statements.limit(make_server(started_ms=2)) is None
    clock.advance(0.1)
    statements.record_limit(server, None, clock())
    assert statements.limit(server) is None
