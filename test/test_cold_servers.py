"""Tests of what all nodes together send to servers that are cold.

The load: every node wants the same idle server at the same moment, as when
servers come back or the others fail. Guards against FAILBACK: a server that
has just returned is sent more than it bears in one second and crashes.
"""

import itertools
import random

import pytest
from _platform_fleet import PlatformFleet
from _routing import FakeClock, make_server

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.routed_node import FLEET_KNOWN_S, MAX_FLEET_NODES
from amaranthlug.state.routing.cold_servers import ColdServers
from amaranthlug.state.routing.config import RoutedService

PER_S = 14.0
START_S = 3.0
BOUND = 1.5 * PER_S + 5
"""Most requests in any second: overrun and allowance of the deployments."""
LIMITED = RoutedService("pool", 100, cold_start_s=START_S, cold_per_s=PER_S)
UNLIMITED = RoutedService("pool", 100, cold_start_s=START_S)


class Fleet:
    """Nodes that want to send to one server, on one clock."""

    def __init__(self, nodes, known=None, service=LIMITED):
        """Creates nodes; each believes that there are `known` of them."""
        self.clock = FakeClock()
        self.stated_at = self.clock.now
        self.nodes = [
            ColdServers(
                f"node-{number}",
                lambda _: service,
                lambda: known or nodes,
                lambda _: self.stated_at,
                self.clock,
            )
            for number in range(nodes)
        ]

    def send_all(self, server, seconds, per_s=100.0, seed=1):
        """Lets each node want `per_s` requests; returns when they were sent."""
        rng = random.Random(seed)
        start = self.clock.now
        wanted = sorted(
            (start + rng.random() * seconds, node)
            for node in range(len(self.nodes))
            for _ in range(int(per_s * seconds))
        )
        sent = []
        for at, node in wanted:
            self.clock.now = at
            if self.nodes[node].may_receive(server) and self.nodes[node].take(
                server
            ):
                sent.append(at)
        return sent


def most_in_one_second(times):
    """Returns the most of these times that lie within one second."""
    first, most = 0, 0
    for last, at in enumerate(times):
        while at - times[first] > 1.0:
            first += 1
        most = max(most, last - first + 1)
    return most


@pytest.mark.parametrize("nodes", [1, 2, 8, 74, 81, 390])
@pytest.mark.parametrize("seed", range(5))
def test_all_nodes_together_send_no_more_than_a_cold_server_bears(nodes, seed):
    """Every node wants the server without pause."""
    fleet = Fleet(nodes)
    server = make_server(f"s{seed}", cold_ms=60_000)
    sent = fleet.send_all(server, 6.0, per_s=20.0, seed=seed)
    assert 0 < most_in_one_second(sent) <= BOUND


@pytest.mark.parametrize("seed", range(20))
def test_unused_shares_are_not_saved(seed):
    """The other servers fail at once after seconds without use."""
    fleet = Fleet(81)
    server = make_server(f"s{seed}", cold_ms=60_000)
    fleet.clock.advance(20.0)
    sent = fleet.send_all(server, 1.5, per_s=30.0, seed=seed)
    assert most_in_one_second(sent) <= BOUND


def test_most_of_what_a_cold_server_bears_is_used():
    """A returned server takes part of the load at once."""
    fleet = Fleet(81)
    server = make_server(cold_ms=60_000)
    sent = fleet.send_all(server, 10.0, per_s=10.0)
    assert len(sent) >= 0.35 * PER_S * 10


def test_nodes_that_are_cut_off_keep_their_share():
    """A quarter of the nodes still believes in the size of before."""
    whole, rest = Fleet(81), Fleet(60)
    server = make_server(cold_ms=60_000)
    sent = sorted(
        itertools.chain(
            whole.send_all(server, 5.0, per_s=10.0)[: 5 * 20],
            rest.send_all(server, 5.0, per_s=10.0, seed=2)[: 5 * 6],
        )
    )
    assert most_in_one_second(sent) <= BOUND


def test_warm_server_takes_everything():
    """Without a warm-up time nothing is limited."""
    [node] = Fleet(1).nodes
    server = make_server()
    assert all(node.take(server) for _ in range(100))


def test_limit_ends_with_the_stated_time():
    """The time counts from when the statement was read."""
    fleet = Fleet(81)
    server = make_server(cold_ms=3_000)
    assert fleet.nodes[0].is_cold(server)
    fleet.clock.advance(3.1)
    assert not fleet.nodes[0].is_cold(server)


def test_service_without_limit_is_served_as_before():
    """A deployment that states no rate gets no limit."""
    [node] = Fleet(1, service=UNLIMITED).nodes
    server = make_server(cold_ms=3_000)
    node.record_return(server)
    assert not node.is_cold(server)
    assert all(node.take(server) for _ in range(100))


def test_server_that_returns_is_cold_before_it_says_so():
    """Its own statement is read seconds after its return."""
    fleet = Fleet(81)
    server = make_server()
    fleet.nodes[0].record_return(server)
    assert fleet.nodes[0].is_cold(server)
    fleet.clock.advance(START_S)
    assert not fleet.nodes[0].is_cold(server)


def test_new_incarnation_does_not_inherit_a_share():
    """A server that starts again under its id is another instance."""
    [node] = Fleet(1).nodes
    server = make_server(cold_ms=60_000)
    while node.take(server):
        pass
    assert node.take(make_server(cold_ms=60_000, started_ms=2))
    node.keep_only(set())
    assert node.sent == {}


def test_nodes_that_start_at_once_stay_within_the_bound():
    """None knows the others yet; each takes the fleet for the largest one."""
    fleet = Fleet(81, known=MAX_FLEET_NODES)
    server = make_server(cold_ms=60_000)
    sent = fleet.send_all(server, 4.0, per_s=20.0)
    assert most_in_one_second(sent) <= BOUND


def test_node_that_has_just_started_does_not_take_itself_for_the_fleet():
    """Its view of the others is complete seconds later."""
    fleet = PlatformFleet(nodes=1, servers=1)
    try:
        [started] = fleet.nodes
        assert started.live_nodes == 1
        started.created_at = boot_seconds()
        assert started.count_nodes() == MAX_FLEET_NODES
        started.created_at -= FLEET_KNOWN_S
        assert started.count_nodes() == 1
    finally:
        fleet.stop()
