"""Knowledge of the store: followers, relays, servers, nodes; no network."""

import json
import random

import gevent
import msgspec
import pytest
from _routing import (
    FakeClock,
    FakeStore,
    make_node_entry,
    make_report,
)

from amaranthlug.coordination.routing.config_source import ConfigSource
from amaranthlug.coordination.routing.entry_choice import choose_entries
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_messages import (
    RelayRefusedError,
    RelayRequest,
)
from amaranthlug.coordination.routing.relayed_following import (
    AVOID_S,
    SEARCH_S,
    RelayedFollowing,
    readers_of,
    relays_of,
)
from amaranthlug.coordination.routing.server_directory import (
    LAPSE_GRACE_S,
    ServerDirectory,
)
from amaranthlug.coordination.routing.store_gate import StoreGate
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug_platform.records import PlatformRecords


class Listener:
    """Keeps what it is told."""

    def __init__(self):
        """Starts empty."""
        self.content = {}

    def replace(self, records):
        """Takes all records."""
        self.content = {r.key: r.value for r in records}

    def apply(self, record):
        """Takes one record."""
        changed = self.content.get(record.key) != record.value
        self.content[record.key] = record.value
        return changed


def a_follower(store, clock, wait_s=1.0):
    """Returns a follower and its listener."""
    listener = Listener()
    follower = TopicFollower(store, "t", listener, wait_s, clock=clock)
    return follower, listener


def test_follower_takes_newest_then_new_records():
    """The first reading is whole, later ones go on from there."""
    store, clock = FakeStore(), FakeClock()
    store.put("a", b"1")
    follower, listener = a_follower(store, clock)
    follower.step()
    store.put("b", b"2")
    follower.step()
    assert listener.content == {"a": b"1", "b": b"2"}
    assert follower.position == 2


def test_age_counts_from_the_sending_of_the_last_reading():
    """An outage makes knowledge older, whatever was known."""
    store, clock = FakeStore(), FakeClock()
    follower, _ = a_follower(store, clock)
    follower.step()
    clock.advance(3.0)
    store.down = True
    follower.step()
    assert follower.age_s() == 3.0
    store.down = False
    follower.step()
    assert follower.age_s() == 0.0


def test_expired_records_lead_to_a_whole_reading():
    """After the store forgot its history nothing stale is kept."""
    store, clock = FakeStore(), FakeClock()
    store.put("a", b"1")
    follower, listener = a_follower(store, clock)
    follower.step()
    store.first, store.records = 7, [KeyedRecord("b", b"2", 7)]
    follower.step()
    follower.step()
    assert listener.content == {"b": b"2"}
    assert follower.since(0) is None


class Direct:
    """Implements `PeerPort` by calling a relay."""

    def __init__(self, relay):
        """Wraps a relay."""
        self.relay = relay
        self.broken = False

    def exchange(self, address, request, timeout_s):
        """Returns the relay's answer."""
        answer = None if self.broken else self.relay.answer(request)
        if answer is None:
            raise OSError("no answer")
        return answer


@pytest.fixture
def pair():
    """Returns store, clock, reading side and following side."""
    store, clock = FakeStore(), FakeClock()
    reading, _ = a_follower(store, clock)
    fleet = FleetView(FakeStore(), lambda: make_report("n1"), clock=clock)
    fleet.follower.step()
    relay = Relay([reading], fleet, lambda: False, clock)
    following, listener = a_follower(store, clock)
    child_fleet = FleetView(FakeStore(), lambda: make_report("n2"), clock=clock)
    peers = Direct(relay)
    child = RelayedFollowing(
        "n2", "zone-a", [following], child_fleet, peers, clock
    )
    reading.step()
    following.step()
    return store, clock, reading, following, listener, child, peers, relay


def test_node_learns_from_its_relay_without_the_store(pair):
    """What a relay read reaches the nodes of its zone."""
    store, _, reading, following, listener, child, _, _ = pair
    store.put("a", b"1")
    reading.step()
    reads = store.reads
    assert child.exchange(make_node_entry("n1"), 0.0)
    assert listener.content == {"a": b"1"}
    assert following.position == reading.position
    assert store.reads == reads
    assert not following.direct.is_set()


def test_large_configuration_fits_small_links(pair):
    """900 routes reach 24 nodes over 5 Mbit/s within a second or two."""
    store, _, reading, following, listener, child, _, relay = pair
    config = a_large_config(900)
    store.put("config", config)
    reading.step()
    request = RelayRequest(
        child.fleet.describe(), {following.topic: following.position}, 0.0, ""
    )
    sent = len(msgspec.json.encode(relay.answer(request)))
    assert sent < 25_000
    child.exchange(make_node_entry("n1"), 0.0)
    assert listener.content["config"] == config


def a_large_config(routes: int) -> bytes:
    """Returns a configuration with random names, as operators write it."""
    rng = random.Random(1)
    return json.dumps(
        {
            "version": 2,
            "routes": [
                {
                    "name": f"r-{rng.randrange(16**7):x}",
                    "hostname": f"{rng.randrange(16**5):x}.example",
                    "path_prefix": f"/{rng.randrange(16**6):x}/",
                    "route_type": "non_idempotent",
                    "service": "pool",
                    "timeout_ms": 800,
                    "target_latency_ms": 150,
                    "max_attempts": 1,
                    "priority": 2,
                    "anonymous": False,
                }
                for _ in range(routes)
            ],
        }
    ).encode()


def test_removed_keys_reach_the_node(pair):
    """A removal is news like any other."""
    store, _, reading, _, listener, child, _, _ = pair
    store.put("a", b"1")
    reading.step()
    child.exchange(make_node_entry("n1"), 0.0)
    store.put("a", None)
    reading.step()
    child.exchange(make_node_entry("n1"), 0.0)
    assert listener.content["a"] is None


def test_age_of_the_relay_is_added(pair):
    """Knowledge does not become younger on its way."""
    _, clock, _, following, _, child, _, _ = pair
    clock.advance(1.1)
    child.exchange(make_node_entry("n1"), 0.0)
    assert following.age_s() == pytest.approx(1.1)


def test_relay_whose_read_is_overdue_is_left_at_once(pair):
    """A relay that is cut off from the store says so before 2 s are over."""
    _, clock, _, following, _, child, _, _ = pair
    clock.advance(1.3)
    assert not child.exchange(make_node_entry("n1"), 0.0)
    assert following.direct.is_set()


def test_relay_with_a_failed_read_is_left(pair):
    """A refused read shows the loss of the store at once."""
    store, _, reading, following, _, child, _, _ = pair
    store.down = True
    reading.step()
    assert not child.exchange(make_node_entry("n1"), 0.0)
    assert following.direct.is_set()


def test_node_goes_on_at_the_store_when_its_relay_dies(pair):
    """It reads on from the offset that it knows."""
    store, _, reading, following, listener, child, peers, _ = pair
    store.put("a", b"1")
    reading.step()
    child.exchange(make_node_entry("n1"), 0.0)
    peers.broken = True
    store.put("b", b"2")
    assert not child.exchange(make_node_entry("n1"), 0.0)
    child.go_direct()
    assert following.direct.is_set()
    following.step()
    assert listener.content == {"a": b"1", "b": b"2"}


def test_relay_behind_the_node_takes_nothing_back(pair):
    """A configuration never goes back because a relay is slower."""
    store, _, _, following, listener, child, _, _ = pair
    store.put("a", b"2")
    following.step()
    child.exchange(make_node_entry("n1"), 0.0)
    assert listener.content == {"a": b"2"}
    assert following.position == 1


def test_relay_reports_its_members(pair):
    """Other nodes learn of a node through its relay's report."""
    _, clock, _, _, _, child, _, relay = pair
    child.exchange(make_node_entry("n1"), 0.0)
    names = {entry.node for entry in relay.fleet.own_report().nodes}
    assert names == {"n1", "n2"}
    clock.advance(2.5)
    names = {entry.node for entry in relay.fleet.own_report().nodes}
    assert names == {"n1"}


def test_outage_costs_one_probe_at_a_time():
    """Readers of one node do not all call a store that is away."""
    clock = FakeClock()
    gate = StoreGate(clock)
    gate.failed()
    clock.advance(0.5)
    gate.enter()
    assert gate.next_probe > clock.now
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.15):
        gate.enter()


def test_pauses_grow_and_end_with_the_outage():
    """An hour without the store costs about a call a second and node."""
    clock = FakeClock()
    gate = StoreGate(clock)
    pauses = []
    for _ in range(8):
        gate.failed()
        pauses.append(gate.next_probe - clock.now)
    assert pauses[0] < 0.2
    assert 0.5 <= pauses[-1] <= 1.1
    gate.succeeded()
    assert gate.is_open()


def test_relay_of_another_zone_comes_before_the_store(pair):
    """The loss of a zone's relay does not send its nodes to the store."""
    *_, child, _, _ = pair
    nodes = [
        make_node_entry("n1"),
        make_node_entry("n2"),
        make_node_entry("far", "zone-b"),
    ]
    child.fleet.nodes = lambda: nodes
    child.me = "n2" if relays_of(nodes, "zone-a")[0].node == "n1" else "n1"
    first, second = child.choices()
    assert first.zone == "zone-a"
    assert second.node == "far"
    child.leave(first, "lost", AVOID_S)
    assert child.choices() == [second]
    child.leave(second, "lost", AVOID_S)
    assert child.choices() == []


class Peers:
    """Exchanges of which only some nodes answer."""

    def __init__(self, relay, able, clock):
        """Answers by `relay` for the addresses of `able` nodes."""
        self.relay = relay
        self.able = able
        self.clock = clock
        self.asked = []

    def exchange(self, address, request, timeout_s):
        """Returns the relay's answer, or refuses."""
        node = address.split(":")[0]
        self.asked.append(node)
        if node not in self.able:
            raise RelayRefusedError("the node answered 503")
        return self.relay.answer(request)


@pytest.fixture
def zone_without_relay(pair, monkeypatch):
    """Returns a node whose zone's relay lost the store; other nodes too."""
    _, clock, _, _, _, child, _, relay = pair
    nodes = [make_node_entry(f"n{n}") for n in range(1, 9)]
    child.fleet.nodes = lambda: nodes
    relays, standbys = readers_of(nodes, "zone-a")
    others = [e for e in nodes if e not in relays + standbys]
    child.me = others[0].node
    child.peers = Peers(relay, set(), clock)
    child.relay = relays[0]
    monkeypatch.setattr(gevent, "sleep", clock.advance)
    return child, relays, standbys


def test_quarter_of_the_nodes_turned_away_by_the_store(zone_without_relay):
    """A standby that reads the store spares the other nodes' calls to it."""
    child, _, standbys = zone_without_relay
    child.peers.able = {standbys[0].node}
    assert child.find() == standbys[0]
    assert not child.followers[0].direct.is_set()


def test_standby_that_takes_over_is_found(zone_without_relay):
    """A node waits for a moment before it reads the store as well."""
    child, relays, standbys = zone_without_relay
    peers = child.peers

    def take_over():
        if child.clock() > began + 0.15:
            peers.able = {standbys[1].node}
        return False

    began = child.clock()
    child.is_reader = take_over
    assert child.find() == standbys[1]
    assert relays[0].node in peers.asked


def test_search_ends_in_time_for_a_new_configuration(zone_without_relay):
    """A node that nobody helps reads the store itself."""
    child, _, _ = zone_without_relay
    began = child.clock()
    assert child.find() is None
    assert child.clock() - began <= SEARCH_S
    child.go_direct()
    assert child.followers[0].direct.is_set()


def test_standby_reads_the_store_without_a_search(zone_without_relay):
    """Others wait for it, so it does not wait itself."""
    child, _, standbys = zone_without_relay
    child.me = standbys[0].node
    began = child.clock()
    assert child.find() is None
    assert child.clock() == began


def test_calls_to_the_store_do_not_grow_with_the_nodes():
    """Of 390 nodes in 5 zones 20 read the store."""
    nodes = [make_node_entry(f"n{i}", f"zone-{i % 5}") for i in range(390)]
    relays = [r for z in range(5) for r in relays_of(nodes, f"zone-{z}")]
    assert len(relays) == 20


def a_server_record(offset=0, **changes):
    """Returns the record of a server."""
    body = {
        "service": "pool",
        "address": "10.0.0.1:80",
        "zone": "zone-a",
        "version": "v1",
        "slots": 8,
        "state": "ready",
        "cold_remaining_ms": 0,
        "sequence": offset,
        **changes,
    }
    return KeyedRecord("s1", json.dumps(body).encode(), offset)


class Directory:
    """A server directory with a clock."""

    def __init__(self):
        """Creates an empty directory without an outage."""
        self.clock = FakeClock()
        self.regained_at = 0.0
        self.servers = ServerDirectory(
            PlatformRecords(), lambda: self.regained_at, self.clock
        )


def test_draining_server_gets_nothing_new():
    """A server that says it leaves is left at once."""
    directory = Directory()
    directory.servers.apply(a_server_record())
    assert len(directory.servers.usable("pool")) == 1
    directory.servers.apply(a_server_record(1, state="draining"))
    assert directory.servers.usable("pool") == []


def test_removed_server_gets_nothing_new():
    """A server whose entry is removed is left at once."""
    directory = Directory()
    directory.servers.apply(a_server_record())
    directory.servers.apply(KeyedRecord("s1", None, 1))
    assert directory.servers.usable("pool") == []


def test_entry_that_lapsed_in_an_outage_is_used_a_moment_longer():
    """Live servers are back within 2 s of the store's return."""
    directory = Directory()
    directory.servers.apply(a_server_record())
    directory.regained_at = directory.clock.now
    directory.servers.apply(KeyedRecord("s1", None, 1))
    assert len(directory.servers.usable("pool")) == 1
    directory.clock.advance(LAPSE_GRACE_S + 0.1)
    assert directory.servers.usable("pool") == []


@pytest.mark.parametrize(
    "changes",
    [
        {"state": "resting"},
        {"slots": "eight"},
        {"address": 7},
        {"address": "nowhere"},
        {"service": None},
        {"born": 1.5},
    ],
)
def test_unreadable_entry_names_no_server(changes):
    """An entry of another writer is passed over; the others hold."""
    directory = Directory()
    directory.servers.apply(a_server_record(**changes))
    assert directory.servers.usable("pool") == []


def test_bytes_that_are_no_json_name_no_server():
    """A record of any bytes is passed over."""
    directory = Directory()
    assert not directory.servers.apply(KeyedRecord("s9", b"\xff\x00", 0))


def test_second_life_under_an_identity_is_another_server():
    """`born` tells two lives apart."""
    directory = Directory()
    directory.servers.apply(a_server_record(born=1))
    first = directory.servers.usable("pool")[0]
    directory.servers.apply(a_server_record(1, born=2))
    assert not directory.servers.is_usable(first)
    assert directory.servers.usable("pool")[0].instance_key == ("s1", 2)


def test_heartbeat_without_a_change_is_no_news():
    """Only what changes is passed on to other nodes."""
    directory = Directory()
    assert directory.servers.apply(a_server_record())
    assert not directory.servers.apply(a_server_record(1))


def a_config_record(version, offset):
    """Returns the record of a configuration."""
    body = {"version": version, "routes": [], "services": []}
    return KeyedRecord("config", json.dumps(body).encode(), offset)


def test_configuration_never_goes_back():
    """An older record that comes late changes nothing."""
    source = ConfigSource(PlatformRecords())
    source.apply(a_config_record(9, 5))
    source.apply(a_config_record(7, 3))
    assert source.config.version == 9


def test_unreadable_configuration_keeps_the_last():
    """Serving goes on with the last readable configuration."""
    source = ConfigSource(PlatformRecords())
    source.apply(a_config_record(9, 5))
    source.apply(KeyedRecord("config", b'{"version": "x"}', 6))
    assert source.config.version == 9


def test_callers_are_told_of_serving_nodes_only():
    """A leaving node is not named."""
    nodes = [make_node_entry("n1"), make_node_entry("n2", serving=False)]
    assert choose_entries(nodes, "zone-a", "region", random.Random(1)) == [
        "n1:80"
    ]


def test_callers_stay_in_their_zone_if_it_has_enough_nodes():
    """Bytes between zones are saved."""
    nodes = [make_node_entry(f"n{i}", f"zone-{'ab'[i % 2]}") for i in range(8)]
    found = choose_entries(nodes, "zone-a", "region", random.Random(1))
    assert sorted(found) == ["n0:80", "n2:80", "n4:80", "n6:80"]


def test_zone_with_one_node_names_the_others_too():
    """The loss of one node must not leave callers without any."""
    nodes = [
        make_node_entry("n0"),
        make_node_entry("n1", "zone-b"),
        make_node_entry("n2", "zone-b"),
    ]
    found = choose_entries(nodes, "zone-a", "region", random.Random(1))
    assert len(found) == 3
