"""Tests of grants at servers that limit what they take from all nodes."""

import dataclasses

import pytest
from _routing import FakeClock, make_node_entry, make_server
from _streams import NoMetrics

from amaranthlug.coordination.routing.grant_owners import (
    GrantAnswer,
    GrantOwners,
    GrantRequest,
)
from amaranthlug.state.routing.server_grants import (
    FULL_S,
    SETTLE_S,
    USAGE_EXPIRY_S,
    ServerGrants,
    ServerUsage,
)
from amaranthlug.state.routing.server_statements import ServerStatements

SLOTS = 4


def make_usage(running: int, **changes) -> ServerUsage:
    """Returns what a node uses of a brittle server."""
    usage = ServerUsage("s1@1", running, SLOTS, 4.0)
    return dataclasses.replace(usage, **changes)


@pytest.fixture
def clock():
    """A clock that stands still."""
    return FakeClock()


@pytest.fixture
def grants(clock):
    """An empty register."""
    return ServerGrants(clock)


class FakePeers:
    """Passes requests to the grants of other nodes; loses those to some."""

    def __init__(self):
        """Creates peers without nodes."""
        self.nodes: dict[str, GrantOwners] = {}
        self.lost: set[str] = set()
        self.asked: list[str] = []

    def ask_grant(
        self, address: str, request: GrantRequest, timeout_s: float
    ) -> GrantAnswer:
        """Returns a node's answer."""
        self.asked.append(address)
        if address in self.lost:
            raise TimeoutError("no answer")
        return self.nodes[address].answer(request)


class GrantFleet:
    """The grants of several nodes, without a network."""

    def __init__(self, clock, count: int, **entry):
        """Creates the nodes, all of which know that server s1 is brittle."""
        self.peers = FakePeers()
        self.entries = [
            dataclasses.replace(
                make_node_entry(f"node-{n}"),
                peer_address=f"node-{n}",
                **{"grants_requests": True, **entry},
            )
            for n in range(count)
        ]
        self.server = make_server(slots=SLOTS)
        for each in self.entries:
            statements = ServerStatements(clock)
            statements.record_brittle(self.server, 4.0)
            self.peers.nodes[each.node] = GrantOwners(
                each.node,
                lambda: self.entries,
                statements,
                self.peers,
                NoMetrics(),
                clock,
            )
        self.nodes = list(self.peers.nodes.values())

    def owners(self) -> list[str]:
        """Returns the names of the nodes that are asked, in order."""
        return [e.node for e in self.nodes[0].owners(self.server)]

    def other(self) -> GrantOwners:
        """Returns a node that is not asked."""
        return next(n for n in self.nodes if n.own_name not in self.owners())


# Guards against nodes that together send a server more than it runs.
def test_slots_are_granted_once_over_all_nodes(grants):
    """Whichever nodes ask."""
    granted = [grants.grant(f"node-{n}", 2, make_usage(1)) for n in range(6)]
    assert granted == [True] * SLOTS + [False] * 2
    assert grants.full_servers() == {"s1@1": FULL_S}
    grants.update("node-0", 3, make_usage(0))
    assert grants.grant("node-5", 3, make_usage(1))


def test_report_that_was_overtaken_frees_nothing(grants):
    """A request that was granted later still runs."""
    for running in range(1, SLOTS + 1):
        assert grants.grant("node-1", 10 + running, make_usage(running))
    grants.update("node-1", 5, make_usage(0))
    assert not grants.grant("node-2", 6, make_usage(1))


def test_grants_of_a_node_that_is_gone_expire(grants, clock):
    """Nobody can report their end."""
    for running in range(1, SLOTS + 1):
        assert grants.grant("node-1", running, make_usage(running))
    assert not grants.grant("node-2", 1, make_usage(1))
    clock.advance(USAGE_EXPIRY_S + 0.1)
    assert grants.grant("node-2", 2, make_usage(1))


# Guards against requests that go on to a server that turns them away, since
# requests that nobody granted use its slots.
def test_refusals_stop_grants_before_the_server_falls_over(grants, clock):
    """They go on a second later, with less room for a while."""
    grants.update("node-1", 1, make_usage(0, refused=2))
    assert not grants.grant("node-2", 1, make_usage(1))
    clock.advance(1.1)
    assert grants.grant("node-2", 2, make_usage(1))
    assert grants.grant("node-2", 3, make_usage(2))
    assert not grants.grant("node-2", 4, make_usage(3))
    clock.advance(1.0)
    assert grants.grant("node-2", 5, make_usage(3))


# Guards against a second set of grants when another node becomes the owner.
def test_new_register_grants_half_until_all_nodes_have_reported(clock):
    """The former owner's grants may still be in use."""
    register = ServerGrants(clock)
    granted = [
        register.grant("node-1", n, make_usage(n, moved=True))
        for n in (1, 2, 3)
    ]
    assert granted == [True, True, False]
    clock.advance(SETTLE_S)
    assert register.grant("node-1", 4, make_usage(3))


# Guards against nodes that together send a server more than the limit that it
# has named.
@pytest.mark.parametrize("limit", [0.5, 2.5, 10.0, 50.0])
def test_limit_is_granted_once_over_all_nodes(grants, clock, limit):
    """It is used up, and no window of 4 s gets one and a half times as much."""
    times = []
    for number in range(int(20 * 8 * limit)):
        usage = make_usage(1, max_refusals=None, limit=limit)
        if grants.grant(f"node-{number % 8}", number, usage):
            times.append(clock())
        clock.advance(1 / (8 * limit))
    most = max(sum(1 for at in times if s <= at < s + 4.0) for s in times)
    assert most <= 4 * limit + 0.5 * limit + 2
    assert len(times) >= 0.95 * 20 * limit


# Guards against a limit that starts anew each time a node reports that has
# heard only that the server is brittle.
def test_statement_holds_until_no_node_repeats_it(grants, clock):
    """Nodes hear of a limit at different times."""
    knows = make_usage(1, max_refusals=None, limit=2.0)
    assert grants.grant("node-1", 1, knows)
    for number in range(5):
        grants.update("node-2", number, make_usage(0))
        assert not grants.grant("node-1", 2 + number, knows)
        clock.advance(0.05)
    clock.advance(USAGE_EXPIRY_S)
    grants.update("node-2", 9, make_usage(0))
    assert grants.servers["s1@1"].limit is None


def test_reports_after_a_restart_of_the_vm_count(grants, clock):
    """Their numbers begin anew with its clock."""
    grants.update("node-1", 1_000, make_usage(SLOTS))
    clock.advance(USAGE_EXPIRY_S + 0.1)
    assert grants.grant("node-1", 1, make_usage(1))
    grants.update("node-1", 2, make_usage(0))
    assert grants.servers["s1@1"].running(clock()) == 0


def test_server_says_when_more_fits_its_limit(grants):
    """Nodes do not ask for it again before."""
    usage = make_usage(1, max_refusals=None, limit=2.0)
    assert grants.grant("node-1", 1, usage)
    assert not grants.grant("node-1", 2, usage)
    assert grants.full_servers() == {"s1@1": pytest.approx(0.5)}


def test_even_shares_keep_a_limit(clock):
    """Nodes that reach no owner send no more together than one with all."""
    fleet = GrantFleet(clock, 20)
    fleet.peers.lost |= {node.own_name for node in fleet.nodes}
    sent = 0
    for _ in range(40):
        for node in fleet.nodes:
            node.statements.record_brittle(fleet.server, None)
            node.statements.record_limit(fleet.server, 2.0, clock())
            sent += node.may_ask(fleet.server) and node.acquire(fleet.server)
        clock.advance(0.25)
    # The two nodes that are asked answer themselves.
    assert sent <= 20 + 3 * 10 * 2.0 + 2 * 2


def test_nodes_say_that_the_owner_has_changed(clock):
    """The new one cannot know by itself that there was another."""
    fleet = GrantFleet(clock, 5)
    node, former = fleet.other(), fleet.owners()[0]
    assert node.acquire(fleet.server)
    fleet.entries = [e for e in fleet.entries if e.node != former]
    node.report()
    assert node.acquire(fleet.server)
    assert not node.acquire(fleet.server)


def test_all_nodes_ask_the_same_owner(clock):
    """Room that one frees is known to all at once."""
    fleet = GrantFleet(clock, 5)
    granted = 0
    for node in fleet.nodes:
        granted += node.acquire(fleet.server)
    assert granted == SLOTS
    assert set(fleet.peers.asked) == {fleet.owners()[0]}


def test_server_without_room_is_not_asked_for_at_once(clock):
    """Each refused request would ask for all servers."""
    fleet = GrantFleet(clock, 3)
    node = fleet.other()
    while node.acquire(fleet.server):
        pass
    assert not node.may_ask(fleet.server)
    clock.advance(FULL_S)
    assert node.may_ask(fleet.server)


def test_next_node_is_asked_if_the_owner_is_silent(clock):
    """It is not asked again for a while."""
    fleet = GrantFleet(clock, 5)
    first, second = fleet.owners()
    fleet.peers.lost.add(first)
    node = fleet.other()
    assert node.acquire(fleet.server)
    assert node.acquire(fleet.server)
    assert fleet.peers.asked == [first, second, second]


def test_node_without_owners_uses_an_even_share(clock):
    """It would otherwise refuse all of its callers."""
    fleet = GrantFleet(clock, 3)
    fleet.peers.lost |= set(fleet.owners())
    node = fleet.other()
    assert node.acquire(fleet.server)
    assert not node.acquire(fleet.server)


# Guards against requests of an upgraded node that nodes of an earlier build,
# which count nothing, would leave unanswered.
def test_nodes_of_earlier_builds_are_not_asked(clock):
    """They are the owner of no server."""
    fleet = GrantFleet(clock, 3, grants_requests=False)
    assert fleet.owners() == []
    assert fleet.nodes[0].acquire(fleet.server)


def test_requests_that_end_leave_nothing(clock):
    """Tables stay as small as the load."""
    fleet = GrantFleet(clock, 3)
    node = next(n for n in fleet.nodes if n.own_name == fleet.owners()[0])
    node.acquire(fleet.server)
    node.release(fleet.server)
    clock.advance(USAGE_EXPIRY_S + 0.1)
    node.report()
    node.keep_only([])
    assert (node.running, node.used, node.grants.servers) == ({}, {}, {})


def test_server_that_was_only_asked_for_leaves_nothing(clock):
    """A request that is denied has never run there."""
    fleet = GrantFleet(clock, 3)
    user, other = fleet.nodes[0], fleet.nodes[1]
    while user.acquire(fleet.server):
        pass
    assert not other.acquire(fleet.server)
    other.report()
    assert (other.running, other.used, other.told) == ({}, {}, {})


# Guards against a table that grows with each instance that has gone, as a
# report on its way names the owner once more.
def test_owners_of_servers_that_are_gone_are_forgotten(clock):
    """Whoever was told last."""
    fleet = GrantFleet(clock, 5)
    node = fleet.other()
    node.acquire(fleet.server)
    node.keep_only([fleet.server])
    assert node.told
    node.keep_only([])
    assert node.told == {}
