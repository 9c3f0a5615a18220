"""Tests of store readers; the load: hundreds of nodes that all need the store.

Calls to the store are limited for the whole fleet and priced. They must not
grow with the number of nodes, and no node may learn of a change later for it.
"""

import dataclasses

import gevent
import pytest
from _routing import (
    FakeClock,
    FakeStore,
    RecordingListener,
    make_node_entry,
    make_report,
)

from amaranthlug.coordination.routing.fleet_view import (
    MAX_WRITE_S,
    FleetSummary,
    FleetView,
)
from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_client import (
    MAX_FEED_AGE_S,
    MIN_EXCHANGE_INTERVAL_S,
    RelayClient,
)
from amaranthlug.coordination.routing.relay_messages import RelayRefusedError
from amaranthlug.coordination.routing.relay_roles import (
    store_readers,
    zone_relays,
)
from amaranthlug.coordination.routing.store_era import StoreEra
from amaranthlug.coordination.routing.topic_follower import TopicFollower


def make_zoned_entries(count, zones):
    """Returns the entries of `count` nodes, spread evenly over zones."""
    return [
        make_node_entry(f"n{number}", f"zone-{number % zones}")
        for number in range(count)
    ]


class Node:
    """The parts of one node that keep it current."""

    def __init__(self, fleet, entry):
        """Reads the store once, as at a start."""
        self.entry = entry
        self.era = StoreEra()
        self.listener = RecordingListener()
        self.follower = TopicFollower(
            fleet.store, "t", self.listener, 1.0, clock=fleet.clock
        )
        self.follower.read_once()
        self.view = FleetView(
            fleet.reports,
            lambda: make_report(entry.node, entry.zone),
            clock=fleet.clock,
        )
        self.view.follower.read_once()
        self.view.nodes = lambda: fleet.entries
        self.relay = Relay(
            [self.follower], self.view, self.era, lambda: False, fleet.clock
        )
        self.client = RelayClient(
            entry.node,
            entry.zone,
            [self.follower],
            self.view,
            self.era,
            fleet,
            fleet.clock,
        )
        self.relay.is_fed = self.client.is_fed

    def source(self):
        """Returns the name of the node that supplies this one, if any."""
        used = self.client.relay or self.client.reader
        return used and used.node


class ZonedFleet:
    """Nodes in zones that send messages to each other in this process."""

    def __init__(self, count=195, zones=6):
        """Starts all nodes; none has looked for a relay yet."""
        self.clock = FakeClock()
        self.store = FakeStore()
        self.reports = FakeStore()
        self.store.put("config", b"1")
        self.entries = make_zoned_entries(count, zones)
        self.lost = set()
        self.nodes = {e.node: Node(self, e) for e in self.entries}
        self.readers = [e.node for e in store_readers(self.entries)]
        self.relays = [
            entry.node
            for zone in range(zones)
            for entry in zone_relays(self.entries, f"zone-{zone}")
        ]
        self.fed = [name for name in self.relays if name not in self.readers]
        self.members = [n for n in self.nodes if n not in self.relays]

    def receiver(self, address):
        """Returns the node at an address."""
        name = address.partition(":")[0]
        if name in self.lost:
            raise TimeoutError("no answer")
        return self.nodes[name]

    def exchange(self, address, request, timeout_s):
        """Passes an exchange on to a relay."""
        answer = self.receiver(address).relay.answer(request)
        if answer is None:
            raise RelayRefusedError("refused")
        return answer

    def fetch_topics(self, address, request, timeout_s):
        """Passes a request on to a store reader."""
        answer = self.receiver(address).relay.answer_relay(request)
        if answer is None:
            raise RelayRefusedError("refused")
        return answer

    def turn(self):
        """Makes one round: readers read, then relays, then members."""
        for name in self.readers:
            self.nodes[name].follower.read_once()
            self.nodes[name].view.sync()
        for name in self.fed + self.members:
            node = self.nodes[name]
            if not node.client.find_relay():
                node.client.switch_to_store()
                node.follower.read_once()
            if node.client.relay is None:
                node.view.sync()


@pytest.fixture
def fleet(monkeypatch):
    """Returns a fleet of the size of the large deployment, after a round."""
    fleet = ZonedFleet()
    monkeypatch.setattr(gevent, "sleep", fleet.clock.advance)
    fleet.turn()
    return fleet


@pytest.mark.parametrize(
    ("count", "zones", "readers"),
    [(7, 4, 4), (90, 4, 4), (195, 6, 2), (390, 5, 2), (1_000, 5, 4)],
)
def test_few_relays_read_the_store(count, zones, readers):
    """All relays of a small fleet do, two of that of 390 nodes."""
    found = store_readers(make_zoned_entries(count, zones))
    assert len(found) == readers
    assert len({entry.zone for entry in found}) == min(readers, zones)


def test_relays_of_one_zone_suffice_as_readers():
    """A fleet in one zone has two store readers too."""
    entries = make_zoned_entries(390, 1)
    assert len(zone_relays(entries, "zone-0")) == 17
    assert len(store_readers(entries)) == 2


def test_largest_machines_are_relays():
    """At the large deployment 3 VMs of a zone have four times the processor.

    Relays on the small ones answered late under load, and their members read
    the store.
    """
    entries = make_zoned_entries(195, 6)
    entries = [
        dataclasses.replace(entry, capacity=2.15 if number < 18 else 0.52)
        for number, entry in enumerate(entries)
    ]
    large = {entry.node for entry in entries[:18]}
    for zone in range(6):
        assert {e.node for e in zone_relays(entries, f"zone-{zone}")} <= large
    assert {entry.node for entry in store_readers(entries)} <= large


def test_reads_do_not_grow_with_the_relays(fleet):
    """Before, each of 12 relays read all topics and all reports itself."""
    topic_reads, report_reads = fleet.store.reads, fleet.reports.reads
    fleet.turn()
    assert fleet.store.reads - topic_reads == len(fleet.readers) == 2
    assert fleet.reports.reads - report_reads == 2


def test_each_relay_still_writes_its_report(fleet):
    """A node is listed to callers only while some relay reports it."""
    before = fleet.reports.end
    fleet.turn()
    assert fleet.reports.end - before == len(fleet.relays) == 12


def test_change_reaches_members_in_one_round(fleet):
    """It passes a reader, a relay of the zone and then all members."""
    fleet.store.put("config", b"2")
    fleet.turn()
    assert {n.listener.content["config"] for n in fleet.nodes.values()} == {
        b"2"
    }
    assert {fleet.nodes[name].source() for name in fleet.fed} <= set(
        fleet.readers
    )


def test_reports_reach_relays_without_their_own_read(fleet):
    """Members learn of evidence and nodes from the reports of all relays."""
    fleet.turn()
    for name in fleet.relays:
        reporters = {
            r.reporter for r in fleet.nodes[name].view.live_reports("")
        }
        assert reporters == set(fleet.relays)


def test_age_adds_up_over_both_hops(fleet):
    """A withdrawn key is refused by the age of the read, not of a message."""
    fleet.clock.advance(0.7)
    for name in fleet.readers:
        fleet.nodes[name].view.follower.read_once()
    for name in fleet.fed + fleet.members:
        fleet.nodes[name].client.find_relay()
    for name in fleet.fed + fleet.members:
        assert fleet.nodes[name].follower.age_s() >= 0.7


def test_relays_use_the_other_reader_when_one_is_lost(fleet):
    """One lost reader causes no call to the store."""
    fleet.lost.add(fleet.readers[0])
    reads = fleet.store.reads
    for name in fleet.fed:
        assert fleet.nodes[name].client.find_relay().node == fleet.readers[1]
    assert fleet.store.reads == reads


def test_relay_reads_the_store_without_a_reader(fleet):
    """Both readers are lost at once, as in the loss of two zones."""
    fleet.lost.update(fleet.readers)
    node = fleet.nodes[fleet.fed[0]]
    assert node.client.find_relay() is None
    node.client.switch_to_store()
    assert node.follower.reads_directly.is_set()
    assert node.view.follower.reads_directly.is_set()
    fleet.store.put("config", b"2")
    node.follower.read_once()
    assert node.listener.content["config"] == b"2"
    assert node.relay.can_serve()


def test_reader_without_the_store_refuses(fleet):
    """Relays must leave it at once, also while its read is only overdue."""
    node = fleet.nodes[fleet.readers[0]]
    fleet.store.down = True
    node.follower.read_once()
    request_of = fleet.nodes[fleet.fed[0]].client
    assert not request_of.fetch_topics(node.entry, 0.0, 1.0)


def test_relay_does_not_supply_other_relays(fleet):
    """Else two relays could read from each other and learn nothing new."""
    node = fleet.nodes[fleet.fed[0]]
    assert node.relay.can_serve()
    other = fleet.nodes[fleet.fed[1]].client
    assert not other.fetch_topics(node.entry, 0.0, 1.0)


def test_relay_without_news_from_a_reader_refuses_its_members(fleet):
    """Its members find another relay."""
    node = fleet.nodes[fleet.fed[0]]
    fleet.clock.advance(MAX_FEED_AGE_S)
    assert not node.relay.can_serve()


def test_relay_that_cannot_write_refuses_its_members(fleet):
    """They would vanish from the list of nodes while it still served them."""
    node = fleet.nodes[fleet.fed[0]]
    fleet.reports.down = True
    node.view.publish()
    assert not node.relay.can_serve()
    fleet.reports.down = False
    node.view.publish()
    assert node.relay.can_serve()


def test_relay_with_an_unconfirmed_write_refuses_its_members(fleet):
    """A store that does not answer is noticed before reports expire."""
    node = fleet.nodes[fleet.fed[0]]
    node.view.write_started_at = fleet.clock.now
    assert node.relay.can_serve()
    fleet.clock.advance(MAX_WRITE_S)
    node.client.find_relay()
    assert not node.relay.can_serve()


def test_member_that_becomes_a_relay_reports_itself(fleet):
    """The summary of its former relay would hide the reports of others."""
    fleet.turn()
    name = fleet.fed[0]
    node = fleet.nodes[name]
    entries = list(fleet.entries)
    fleet.entries[:] = [
        entry
        if entry.node not in fleet.relays or entry.node == name
        else make_node_entry(entry.node, entry.zone, serving=False)
        for entry in entries
    ]
    member = fleet.nodes[
        next(
            entry.node
            for entry in zone_relays(fleet.entries, node.entry.zone)
            if entry.node != name
        )
    ]
    assert member.source() in fleet.relays
    member.view.set_summary(FleetSummary(entries, {}, {}))
    fleet.turn()
    assert member.client.relay is None
    assert member.view.summary is None


def test_node_of_an_older_build_is_not_a_reader(fleet):
    """It answers 404, and the relay reads the store as it did before."""

    def unknown(address, request, timeout_s):
        raise OSError("the node answered 404")

    fleet.fetch_topics = unknown
    node = fleet.nodes[fleet.fed[0]]
    assert node.client.find_relay() is None
    node.client.switch_to_store()
    assert node.follower.reads_directly.is_set()
    assert node.relay.can_serve()


def test_starting_node_loads_all_topics_from_a_relay(fleet):
    """Only the list of nodes is read from the store."""
    node = Node(fleet, fleet.entries[0])
    node.follower.position = None
    fleet.store.put("config", b"2")
    fleet.turn()
    reads = fleet.store.reads
    assert node.client.load_from_relay()
    assert node.client.relay is not None
    assert node.listener.content["config"] == b"2"
    assert fleet.store.reads == reads


def test_starting_node_that_finds_only_lost_nodes_reads_the_store(fleet):
    """After a loss of power the store lists nodes that are gone."""
    node = Node(fleet, fleet.entries[0])
    fleet.lost.update(fleet.nodes)
    assert not node.client.load_from_relay()
    assert node.follower.reads_directly.is_set()


def test_stopped_node_asks_no_reader(fleet):
    """Another fleet may get the address of the reader."""
    node = fleet.nodes[fleet.fed[0]]
    node.client.stop()
    assert not node.client.fetch_topics(
        fleet.nodes[fleet.readers[0]].entry, 0.0, 1.0
    )


class RunEndedError(Exception):
    """Ends the endless task of a client."""


def test_node_between_two_roles_makes_few_exchanges(fleet):
    """Relays of overloaded VMs vanish from some lists of nodes and not others.

    A node that was a relay by one list and a member by the other changed its
    role 20 times in 0.1 s.
    """
    client = fleet.nodes[fleet.fed[0]].client
    started_at = fleet.clock.now
    polls = []

    def poll(source, hold_s, answer_s):
        polls.append(source.node)
        if len(polls) > 100 or fleet.clock.now > started_at + 2.0:
            raise RunEndedError
        client.relay_candidates = lambda: list(reversed(ranked))
        ranked.reverse()
        return True

    ranked = [fleet.nodes[name].entry for name in fleet.readers]
    client.poll = poll
    with pytest.raises(RunEndedError):
        client.run()
    assert len(polls) <= 2.0 / MIN_EXCHANGE_INTERVAL_S + 2
