"""Tests of the choice between direct paths and paths through other nodes."""

import collections
import dataclasses
import random

import pytest
from _fakes_log import FakeMetrics
from _paths import FakePeers, make_paths
from _routing import FakeClock, make_node_entry, make_server

from amaranthlug.coordination.routing.entry_choice import choose_entries
from amaranthlug.protocol.routing.messages import PathState
from amaranthlug.protocol.routing.peer_choice import PeerChoice
from amaranthlug.protocol.routing.server_links import ServerLinks
from amaranthlug.protocol.routing.server_paths import PathReport

SERVERS = [make_server(f"s{i}", address=f"10.0.0.{i}:80") for i in range(4)]
NODES = [make_node_entry(f"node-{i}") for i in range(1, 4)]
HOLDS = PathReport(PathState.OPEN, has_contact=True)
ENDED = PathReport(PathState.REFUSED, has_contact=True)
CUT = PathReport(PathState.REFUSED, has_contact=False)


class DirectLinks:
    """The node's own links, which a test cuts."""

    def __init__(self):
        """Starts with links that hold."""
        self.error: OSError | None = None
        self.dialled: list[str] = []

    def dial(self, address, timeout_s):
        """Connects unless the links are cut.

        Raises:
            OSError: They are.
        """
        self.dialled.append(address)
        if self.error is not None:
            raise self.error
        return FakePeers.connection()


class World:
    """The paths of a node, its links and the other nodes."""

    def __init__(self, nodes=NODES):
        """Starts with links that hold everywhere."""
        self.clock = FakeClock()
        self.links = DirectLinks()
        self.peers = FakePeers()
        self.paths = make_paths(
            nodes, self.peers, self.links.dial, clock=self.clock
        )
        self.paths.listed = lambda: SERVERS
        self.paths.look = self.look

    def look(self, server):
        """Returns what a direct connection shows."""
        if isinstance(self.links.error, ConnectionRefusedError):
            return PathState.REFUSED
        if self.links.error is not None:
            return PathState.UNKNOWN
        return PathState.OPEN


@pytest.fixture
def world():
    """A node among others, all of which reach the servers."""
    return World()


def test_no_node_is_asked_where_links_hold(world):
    """Other nodes add nothing to a request whose server is reached."""
    world.paths.open(SERVERS[0], 0.5)
    assert world.peers.asked == []


@pytest.mark.parametrize(
    "error", [ConnectionRefusedError(), TimeoutError()], ids=["refuse", "hang"]
)
def test_lost_link_is_not_tried_by_requests(world, error):
    """Only probes use a lost link, so that requests do not wait for it."""
    world.links.error = error
    world.paths.open(SERVERS[0], 0.5)
    world.links.dialled.clear()
    world.paths.open(SERVERS[0], 0.5)
    assert world.links.dialled == []
    hung = isinstance(error, TimeoutError)
    assert world.paths.links.is_hung(SERVERS[0]) == hung


def test_server_that_no_node_reaches_is_refused(world):
    """It has ended; its links count as sound, and few nodes are asked."""
    world.links.error = ConnectionRefusedError()
    world.peers.reports = collections.defaultdict(lambda: ENDED)
    for _ in range(3):
        with pytest.raises(ConnectionRefusedError):
            world.paths.open(SERVERS[0], 0.5)
    assert len(world.peers.asked) == 1
    assert not world.paths.links.lost


def test_nodes_without_links_are_passed_over(world):
    """Their refusals say nothing about the server, and they are left alone."""
    world.links.error = ConnectionRefusedError()
    world.peers.reports = {"node-1": CUT, "node-2": CUT, "node-3": HOLDS}
    world.paths.open(SERVERS[0], 0.5)
    world.peers.asked.clear()
    world.paths.open(SERVERS[0], 0.5)
    assert world.peers.asked == ["node-3"]


# Guards against a cut node whose refused connections count as the ends of
# servers at all nodes.
def test_refused_connection_of_a_cut_node_is_no_end(world):
    """Another node reaches the server."""
    world.links.error = ConnectionRefusedError()
    assert world.paths.check(SERVERS[0]) is PathState.OPEN
    assert world.paths.links.is_lost(SERVERS[0])


def test_end_is_found_where_another_node_is_refused_as_well(world):
    """A node whose links hold is a witness."""
    world.links.error = ConnectionRefusedError()
    world.peers.reports = collections.defaultdict(lambda: ENDED)
    assert world.paths.check(SERVERS[0]) is PathState.REFUSED


def test_nodes_that_are_all_cut_tell_of_no_end(world):
    """None of them reaches any server."""
    world.links.error = ConnectionRefusedError()
    world.peers.reports = collections.defaultdict(lambda: CUT)
    assert world.paths.check(SERVERS[0]) is PathState.UNKNOWN


def test_single_node_trusts_its_own_links():
    """There is no other node to ask."""
    world = World(nodes=[])
    world.links.error = ConnectionRefusedError()
    assert world.paths.check(SERVERS[0]) is PathState.REFUSED


def test_node_without_links_opens_no_path_for_others(world):
    """There is one hop at most."""
    world.links.error = ConnectionRefusedError()
    for server in SERVERS[:3]:
        world.paths.open(server, 0.5)
    assert world.paths.links.is_cut()
    asked = len(world.peers.asked)
    with pytest.raises(OSError, match="no link"):
        world.paths.open_for_peer(SERVERS[3])
    assert len(world.peers.asked) == asked


class TestServerLinks:
    """Tests of the way back to a link."""

    clock = FakeClock()

    def make(self) -> ServerLinks:
        """Returns links of which one is lost."""
        links = ServerLinks(FakeMetrics(), self.clock, random.Random(1))
        links.record_lost(SERVERS[0], hung=False)
        return links

    def test_link_is_restored_by_two_probes_in_a_row(self):
        """Hysteresis keeps a link that drops packets from coming and going."""
        links = self.make()
        for opened in (True, False, True):
            links.record_probe(SERVERS[0], opened)
            assert links.is_lost(SERVERS[0])
        links.record_probe(SERVERS[0], opened=True)
        assert not links.is_lost(SERVERS[0])

    def test_probes_are_limited_and_spread(self):
        """Few are due at once, and each again only after a while."""
        links = self.make()
        for server in SERVERS[1:]:
            links.record_lost(server, hung=False)
        self.clock.advance(1.0)
        assert len(links.due_probes(2)) == 2
        assert len(links.due_probes(9)) == 2
        assert links.due_probes(9) == []

    def test_connection_to_any_server_ends_the_cut(self):
        """Then the node may use links that it has not tried."""
        links = self.make()
        links.record_lost(SERVERS[1], hung=False)
        links.record_lost(SERVERS[2], hung=False)
        assert links.is_lost(SERVERS[3])
        links.record_probe(SERVERS[1], opened=True)
        assert not links.is_lost(SERVERS[3])
        assert links.is_lost(SERVERS[1])

    def test_servers_that_left_are_forgotten(self):
        """The node does not stay cut off from servers that are gone."""
        links = self.make()
        links.keep_only(set())
        assert not links.lost


# The load of a whole zone that lost its links: 130 of 390 nodes take paths
# through the others.
@pytest.mark.parametrize("reported", [True, False])
def test_paths_of_a_cut_zone_spread_over_the_others(reported):
    """No node gets more than a few times the mean of paths."""
    cut = {f"node-{i}" for i in range(130)}
    nodes = [
        dataclasses.replace(
            make_node_entry(f"node-{i}", f"zone-{i // 130}"),
            reaches_servers=not reported or i >= 130,
        )
        for i in range(390)
    ]
    paths, questions = collections.Counter(), 0
    for i in range(130):
        rng = random.Random(i)
        choice = PeerChoice(
            f"node-{i}", "region", lambda: nodes, FakeClock(), rng
        )
        for _ in range(20):
            tried: set[str] = set()
            while (node := choice.pick(tried)) is not None:
                questions += 1
                tried.add(node.node)
                if node.node not in cut:
                    choice.record_start(node.node)
                    paths[node.node] += 1
                    break
                choice.avoid(node.node, 1.0)
    assert sum(paths.values()) == 130 * 20
    assert max(paths.values()) <= 3 * 130 * 20 / 260
    assert questions <= (1.0 if reported else 1.7) * 130 * 20


def test_callers_are_sent_to_nodes_that_reach_servers():
    """As long as their zone has enough of them."""
    nodes = [make_node_entry(f"n{i}") for i in range(3)]
    nodes[0] = dataclasses.replace(nodes[0], reaches_servers=False)
    found = choose_entries(nodes, "zone-a", "region", random.Random(1))
    assert sorted(found) == ["n1:80", "n2:80"]
    nodes[1] = dataclasses.replace(nodes[1], reaches_servers=False)
    found = choose_entries(nodes, "zone-a", "region", random.Random(1))
    assert sorted(found) == ["n0:80", "n1:80", "n2:80"]
