"""Tests of reports to all nodes that servers are brittle."""

import math

import pytest
from _platform_fleet import PlatformFleet, wait_for
from _routing import FakeClock, make_node_entry, make_server
from _server_load import limit_servers

from amaranthlug.state.routing.fleet import (
    NodeReport,
    ReportedBrittleness,
    merge_reports,
    youngest,
)
from amaranthlug.state.routing.server_statements import (
    BRITTLE_HOLD_S,
    ServerStatements,
)

REPORT_LIMIT_S = 3.0
"""Longest time until all nodes know, in seconds; servers fall over later."""


@pytest.fixture
def fleet():
    """Three nodes and four servers."""
    started = PlatformFleet(3, 4)
    yield started
    started.stop()


# Guards against a burst that starts in calm: nodes that have not heard that
# servers are brittle send as before, and what is turned away makes them fall.
def test_all_nodes_know_what_one_has_heard(fleet):
    """Only one node has callers."""
    limit_servers(fleet, brittle=4, slots=4)
    fleet.call("/safe/1")
    others = fleet.nodes[1:]
    server = fleet.servers[0]
    entry = next(
        e
        for e in others[0].servers.usable_servers("pool")
        if e.server_id == server.server_id
    )
    wait_for(
        lambda: all(
            node.statements.max_refusals(entry) == 4.0 for node in others
        ),
        REPORT_LIMIT_S,
    )


def test_statement_of_another_node_expires_with_its_age():
    """It is not reported again, so that nodes cannot keep it alive."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    server = make_server("s1")
    statements.receive_brittleness({"pool": ReportedBrittleness(4.0, 6.0)})
    assert statements.max_refusals(server) == 4.0
    assert statements.reported_brittleness() == {}
    clock.advance(BRITTLE_HOLD_S - 6.0 + 0.1)
    assert statements.max_refusals(server) is None


def test_own_answer_goes_before_an_older_report():
    """The service has become sound meanwhile."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    server = make_server("s1")
    statements.receive_brittleness({"pool": ReportedBrittleness(4.0, 1.0)})
    statements.record_brittle(server, None)
    assert statements.max_refusals(server) is None
    statements.receive_brittleness({"pool": ReportedBrittleness(4.0, 0.5)})
    assert statements.max_refusals(server) is None


def test_report_that_is_newer_than_an_expired_answer_counts():
    """A node of a large fleet hears from few servers in time."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    server = make_server("s1")
    statements.record_brittle(server, 4.0)
    clock.advance(BRITTLE_HOLD_S + 0.1)
    statements.receive_brittleness({"pool": ReportedBrittleness(5.0, 0.0)})
    assert statements.max_refusals(server) == 5.0


@pytest.mark.parametrize("age_s", [-1e9, math.inf, math.nan])
def test_odd_ages_do_not_hold_for_long(age_s):
    """Other nodes may run another build."""
    clock = FakeClock()
    statements = ServerStatements(clock)
    server = make_server("s1")
    statements.receive_brittleness({"pool": ReportedBrittleness(4.0, age_s)})
    clock.advance(BRITTLE_HOLD_S + 0.1)
    assert statements.max_refusals(server) is None


def test_reports_keep_the_youngest_statement():
    """Of those of the nodes for which one reads the store."""
    old, new = ReportedBrittleness(4.0, 3.0), ReportedBrittleness(5.0, 1.0)
    reports = [
        NodeReport(make_node_entry(f"node-{n}"), {}, {}, brittle={"pool": each})
        for n, each in enumerate((old, new))
    ]
    assert merge_reports("node-0", reports).brittle == {"pool": new}
    assert youngest([]) == {}
