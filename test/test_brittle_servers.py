"""Tests of servers that fall over when they turn too many requests away."""

import pytest
from _platform_fleet import PlatformFleet
from _routing import FakeClock, make_server
from _server_load import falls, limit_servers, send_evenly

from amaranthlug.state.routing.server_statements import (
    BRITTLE_HOLD_S,
    ServerStatements,
)
from amaranthlug.transport.routing.http_client import ResponseHead
from amaranthlug_platform.headers import MAX_RATE, PlatformHeaders

SERVERS = 8
SLOTS = 4
REQUEST_S = 0.4
BEARABLE = SERVERS * SLOTS / REQUEST_S
"""Requests a second that the servers can run together."""
MAX_REFUSALS = 4
LOAD_S = 6.0


@pytest.fixture
def fleet():
    """Three nodes and eight brittle servers without a queue."""
    started = PlatformFleet(3, SERVERS)
    limit_servers(
        started,
        slots=SLOTS,
        brittle=MAX_REFUSALS,
        delay_s=REQUEST_S,
        restart_s=3.0,
    )
    # Until all nodes have read the entries and heard that servers are brittle.
    send_evenly(started, 0.3 * BEARABLE, 1.5)
    yield started
    started.stop()


# Guards against nodes that together send brittle servers more than fits: each
# falls over under what it turns away, and its load makes the next one fall.
@pytest.mark.parametrize("load", [1.0, 1.5, 2.5])
def test_brittle_servers_do_not_fall_over_under_load(fleet, load):
    """Two and a tenth of the servers may."""
    statuses = send_evenly(fleet, load * BEARABLE, LOAD_S)
    assert falls(fleet) <= 2 + SERVERS // 10
    if load > 1:  # Else there is not always a request for a free slot.
        assert statuses[200] >= 0.95 * BEARABLE * LOAD_S
    assert not any(+node.grants.running for node in fleet.nodes)


# Guards against the same where all callers are at one node of three.
def test_brittle_servers_do_not_fall_over_under_uneven_load(fleet):
    """A node may use what the others leave."""
    statuses = send_evenly(fleet, 1.5 * BEARABLE, LOAD_S, nodes=1)
    assert falls(fleet) <= 2 + SERVERS // 10
    assert statuses[200] >= 0.5 * BEARABLE * LOAD_S


@pytest.mark.parametrize(
    ("value", "refusals"),
    [
        (None, None),
        ("4", 4.0),
        ("2.5", 2.5),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("soon", None),
        ("4, 5", None),
        ("1e300", MAX_RATE),
    ],
)
def test_statements_of_brittleness_are_read(value, refusals):
    """Unusable ones are ignored."""
    headers = [] if value is None else [("Server-Brittle", value)]
    head = PlatformHeaders().decode(ResponseHead(200, headers))
    assert head.max_refusals == refusals


def test_statement_holds_for_other_servers_of_the_service():
    """A node of a large fleet hears from few of them in time."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    statements.record_brittle(make_server("s1"), 4.0)
    assert statements.max_refusals(make_server("s2")) == 4.0
    assert statements.max_refusals(make_server("s3", service="app")) is None
    clock.advance(BRITTLE_HOLD_S + 0.1)
    assert statements.max_refusals(make_server("s2")) is None


def test_server_that_says_nothing_is_sound_again():
    """Its own answer goes before those of others that came earlier."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    statements.record_brittle(make_server("s1"), 4.0)
    clock.advance(1.0)
    statements.record_brittle(make_server("s2"), None)
    assert statements.max_refusals(make_server("s1")) == 4.0
    assert statements.max_refusals(make_server("s2")) is None
