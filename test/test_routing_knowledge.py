"""Tests of store followers, relays, server lists and entries; no network."""

import json
import random

import gevent
import msgspec
import pytest
from _routing import (
    FakeClock,
    FakeStore,
    RecordingListener,
    make_node_entry,
    make_report,
    make_server_record,
)

from amaranthlug.coordination.routing.circuit_breaker import StoreCircuitBreaker
from amaranthlug.coordination.routing.config_source import ConfigSource
from amaranthlug.coordination.routing.entry_choice import choose_entries
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_client import (
    NO_ANSWER_AVOID_S,
    RELAY_SEARCH_S,
    RelayClient,
)
from amaranthlug.coordination.routing.relay_messages import (
    RelayRefusedError,
    RelayRequest,
)
from amaranthlug.coordination.routing.relay_roles import (
    zone_readers,
    zone_relays,
)
from amaranthlug.coordination.routing.server_directory import (
    LAPSE_GRACE_S,
    ServerDirectory,
)
from amaranthlug.coordination.routing.store_era import StoreEra
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug_platform.records import PlatformRecords


def make_follower(store, clock, wait_s=1.0):
    """Returns a follower and its listener."""
    listener = RecordingListener()
    follower = TopicFollower(store, "t", listener, wait_s, clock=clock)
    return follower, listener


def test_follower_loads_topic_then_reads_new_records():
    """The first read loads the whole topic; later ones read only changes."""
    store, clock = FakeStore(), FakeClock()
    store.put("a", b"1")
    follower, listener = make_follower(store, clock)
    follower.read_once()
    store.put("b", b"2")
    follower.read_once()
    assert listener.content == {"a": b"1", "b": b"2"}
    assert follower.position == 2


def test_age_counts_from_when_the_last_read_was_sent():
    """Data ages during an outage and is current after the next read."""
    store, clock = FakeStore(), FakeClock()
    follower, _ = make_follower(store, clock)
    follower.read_once()
    clock.advance(3.0)
    store.down = True
    follower.read_once()
    assert follower.age_s() == 3.0
    store.down = False
    follower.read_once()
    assert follower.age_s() == 0.0


def test_expired_records_cause_a_full_reload():
    """No stale key stays if the store no longer retains its history."""
    store, clock = FakeStore(), FakeClock()
    store.put("a", b"1")
    follower, listener = make_follower(store, clock)
    follower.read_once()
    store.first, store.records = 7, [KeyedRecord("b", b"2", 7)]
    follower.read_once()
    follower.read_once()
    assert listener.content == {"b": b"2"}
    assert follower.changes_since(0) is None


class InProcessPeers:
    """A `PeerPort` that calls a relay in this process."""

    def __init__(self, relay):
        """Wraps a relay."""
        self.relay = relay
        self.is_broken = False

    def exchange(self, address, request, timeout_s):
        """Returns the relay's answer, or fails if `is_broken` is set."""
        answer = None if self.is_broken else self.relay.answer(request)
        if answer is None:
            raise OSError("no answer")
        return answer


@pytest.fixture
def relay_pair():
    """Returns a store, a clock, a relay and its client with their parts."""
    store, clock = FakeStore(), FakeClock()
    relay_follower, _ = make_follower(store, clock)
    fleet = FleetView(FakeStore(), lambda: make_report("n1"), clock=clock)
    fleet.follower.read_once()
    relay = Relay([relay_follower], fleet, StoreEra(), lambda: False, clock)
    client_follower, listener = make_follower(store, clock)
    client_fleet = FleetView(
        FakeStore(), lambda: make_report("n2"), clock=clock
    )
    peers = InProcessPeers(relay)
    client = RelayClient(
        "n2",
        "zone-a",
        [client_follower],
        client_fleet,
        StoreEra(),
        peers,
        clock,
    )
    relay_follower.read_once()
    client_follower.read_once()
    return (
        store,
        clock,
        relay_follower,
        client_follower,
        listener,
        client,
        peers,
        relay,
    )


def test_node_gets_changes_from_its_relay_without_the_store(relay_pair):
    """Records that a relay has read reach the other nodes of its zone."""
    store, _, relay_follower, client_follower, listener, client, _, _ = (
        relay_pair
    )
    store.put("a", b"1")
    relay_follower.read_once()
    reads = store.reads
    assert client.exchange(make_node_entry("n1"), 0.0)
    assert listener.content == {"a": b"1"}
    assert client_follower.position == relay_follower.position
    assert store.reads == reads
    assert not client_follower.reads_directly.is_set()


def test_large_configuration_is_sent_compressed(relay_pair):
    """900 routes must reach 24 nodes over 5 Mbit/s within 1 to 2 s."""
    store, _, relay_follower, client_follower, listener, client, _, relay = (
        relay_pair
    )
    config = make_large_config(900)
    store.put("config", config)
    relay_follower.read_once()
    request = RelayRequest(
        client.fleet.describe_node(),
        {client_follower.topic: client_follower.position},
        0.0,
        "",
    )
    sent = len(msgspec.json.encode(relay.answer(request)))
    assert sent < 25_000
    client.exchange(make_node_entry("n1"), 0.0)
    assert listener.content["config"] == config


def make_large_config(routes: int) -> bytes:
    """Returns an operator's configuration with random names."""
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


def test_removed_keys_reach_the_node(relay_pair):
    """A relay passes on removals like other changes."""
    store, _, relay_follower, _, listener, client, _, _ = relay_pair
    store.put("a", b"1")
    relay_follower.read_once()
    client.exchange(make_node_entry("n1"), 0.0)
    store.put("a", None)
    relay_follower.read_once()
    client.exchange(make_node_entry("n1"), 0.0)
    assert listener.content["a"] is None


def test_age_of_the_relays_data_is_added(relay_pair):
    """Data from a relay is as old as it was at the relay."""
    _, clock, _, client_follower, _, client, _, _ = relay_pair
    clock.advance(1.1)
    client.exchange(make_node_entry("n1"), 0.0)
    assert client_follower.age_s() == pytest.approx(1.1)


def test_relay_with_an_overdue_read_refuses(relay_pair):
    """A relay that is cut off from the store refuses within 2 s."""
    _, clock, _, client_follower, _, client, _, _ = relay_pair
    clock.advance(1.3)
    assert not client.exchange(make_node_entry("n1"), 0.0)
    assert client_follower.reads_directly.is_set()


def test_relay_with_a_failed_read_refuses(relay_pair):
    """A relay refuses as soon as one of its reads has failed."""
    store, _, relay_follower, client_follower, _, client, _, _ = relay_pair
    store.down = True
    relay_follower.read_once()
    assert not client.exchange(make_node_entry("n1"), 0.0)
    assert client_follower.reads_directly.is_set()


def test_node_reads_the_store_when_its_relay_dies(relay_pair):
    """It continues from the offset that it has."""
    store, _, relay_follower, client_follower, listener, client, peers, _ = (
        relay_pair
    )
    store.put("a", b"1")
    relay_follower.read_once()
    client.exchange(make_node_entry("n1"), 0.0)
    peers.is_broken = True
    store.put("b", b"2")
    assert not client.exchange(make_node_entry("n1"), 0.0)
    client.switch_to_store()
    assert client_follower.reads_directly.is_set()
    client_follower.read_once()
    assert listener.content == {"a": b"1", "b": b"2"}


@pytest.fixture
def node_after_outage(relay_pair):
    """Returns a node whose relay has read the store again after an outage.

    Returns:
        Store, clock, the node's follower and relay client, and its servers.
    """
    store, clock, relay_follower, follower, _, client, _, _ = relay_pair
    servers = ServerDirectory(
        PlatformRecords(), lambda: follower.outage_ended_at, clock
    )
    follower.listener = servers
    store.put("s1", make_server_record().value)
    follower.read_once()
    store.down = True
    follower.read_once()
    clock.advance(5.0)
    store.down = False
    relay_follower.read_once()
    client.exchange(make_node_entry("n1"), 0.0)
    return store, clock, relay_follower, follower, client, servers


# Guards against a DRAIN: a node that read an outage's end from its relay took
# its own first read, long after, for the end and used a removed server on.
def test_server_removed_long_after_an_outage_is_not_used(node_after_outage):
    """An outage ends when the relay has read the store."""
    store, clock, _, follower, client, servers = node_after_outage
    clock.advance(10.0)
    client.switch_to_store()
    store.put("s1", None)
    follower.read_once()
    assert servers.usable_servers("pool") == []


# Guards against a DRAIN: a node that lost its relay learned of a removal late,
# since its readers still backed off from an outage that was over.
def test_readers_do_not_back_off_after_a_relay_has_read(node_after_outage):
    """None waits for the probe of another one."""
    _, _, _, follower, client, _ = node_after_outage
    client.switch_to_store()
    with gevent.Timeout(0.5):
        for _ in range(2):
            follower.breaker.wait_until_allowed()


def test_relayed_read_from_before_a_failure_does_not_close_the_breaker():
    """The store may have gone down since."""
    clock = FakeClock()
    breaker = StoreCircuitBreaker(clock)
    breaker.record_failure()
    breaker.record_relayed_read(clock.now - 0.1)
    assert not breaker.is_closed()
    breaker.record_relayed_read(clock.now + 0.1)
    assert breaker.is_closed()


def test_entry_that_lapsed_in_an_outage_stays_if_a_relay_tells_of_it(
    node_after_outage,
):
    """It is the same as if the node had read the store."""
    store, clock, relay_follower, _, client, servers = node_after_outage
    store.put("s1", None)
    relay_follower.read_once()
    client.exchange(make_node_entry("n1"), 0.0)
    assert len(servers.usable_servers("pool")) == 1
    clock.advance(LAPSE_GRACE_S + 0.1)
    assert servers.usable_servers("pool") == []


# Guards against the same if the relay's answer is older than the outage.
def test_data_from_before_an_outage_does_not_end_it(relay_pair):
    """The relay may be about to lose the store too."""
    store, clock, _, follower, _, client, _, _ = relay_pair
    clock.advance(0.5)
    store.down = True
    follower.read_once()
    client.exchange(make_node_entry("n1"), 0.0)
    assert follower.outage_started_at is not None


def test_relay_behind_the_node_reverts_nothing(relay_pair):
    """An answer of a relay that lags must not restore older records."""
    store, _, _, client_follower, listener, client, _, _ = relay_pair
    store.put("a", b"2")
    client_follower.read_once()
    client.exchange(make_node_entry("n1"), 0.0)
    assert listener.content == {"a": b"2"}
    assert client_follower.position == 1


def test_relay_sends_all_to_a_node_of_an_older_era(relay_pair):
    """Its offsets mean other records since the store came back."""
    store, _, relay_follower, client_follower, listener, client, _, relay = (
        relay_pair
    )
    client.era.accept(1)
    relay.era.accept(2)
    store.put("a", b"1")
    relay_follower.read_once()
    client_follower.position = relay_follower.position
    client.era.subscribe(client_follower.begin_restore)
    assert client.exchange(make_node_entry("n1"), 0.0)
    assert client.era.current == 2
    assert listener.content == {"a": b"1"}
    assert listener.restored


def test_relay_of_an_older_era_is_not_believed(relay_pair):
    """It refuses, and if it answered it would be ignored."""
    store, _, relay_follower, _, listener, client, _, relay = relay_pair
    client.era.accept(2)
    relay.era.accept(1)
    store.put("a", b"1")
    relay_follower.read_once()
    assert not client.exchange(make_node_entry("n1"), 0.0)
    relay.is_behind = lambda request: False
    assert not client.exchange(make_node_entry("n1"), 0.0)
    assert listener.content == {}
    assert client.era.current == 2


def test_relay_reports_its_members(relay_pair):
    """A relay's report lists its members until they stop asking it."""
    _, clock, _, _, _, client, _, relay = relay_pair
    client.exchange(make_node_entry("n1"), 0.0)
    names = {entry.node for entry in relay.fleet.fleet_report().nodes}
    assert names == {"n1", "n2"}
    clock.advance(2.5)
    names = {entry.node for entry in relay.fleet.fleet_report().nodes}
    assert names == {"n1"}


def test_one_probe_at_a_time_in_an_outage():
    """The readers of one node must not all call an unreachable store."""
    clock = FakeClock()
    breaker = StoreCircuitBreaker(clock)
    breaker.record_failure()
    clock.advance(0.5)
    breaker.wait_until_allowed()
    assert breaker.next_probe_at > clock.now
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.15):
        breaker.wait_until_allowed()


def test_back_off_grows_and_ends_with_the_outage():
    """A long outage must cause only about one call per second and node."""
    clock = FakeClock()
    breaker = StoreCircuitBreaker(clock)
    back_offs = []
    for _ in range(8):
        breaker.record_failure()
        back_offs.append(breaker.next_probe_at - clock.now)
    assert back_offs[0] < 0.2
    assert 0.5 <= back_offs[-1] <= 1.1
    breaker.record_success()
    assert breaker.is_closed()


def test_relay_of_another_zone_is_preferred_to_the_store(relay_pair):
    """Nodes that lose their zone's relay must not all read the store."""
    *_, client, _, _ = relay_pair
    nodes = [
        make_node_entry("n1"),
        make_node_entry("n2"),
        make_node_entry("far", "zone-b"),
    ]
    client.fleet.nodes = lambda: nodes
    client.own_name = (
        "n2" if zone_relays(nodes, "zone-a")[0].node == "n1" else "n1"
    )
    first, second = client.relay_candidates()
    assert first.zone == "zone-a"
    assert second.node == "far"
    client.avoid_relay(first, "lost", NO_ANSWER_AVOID_S)
    assert client.relay_candidates() == [second]
    client.avoid_relay(second, "lost", NO_ANSWER_AVOID_S)
    assert client.relay_candidates() == []


class SelectivePeers:
    """A `PeerPort` through which only some nodes answer."""

    def __init__(self, relay, answering, clock):
        """Lets `relay` answer for the nodes named in `answering`."""
        self.relay = relay
        self.answering = answering
        self.clock = clock
        self.asked = []

    def exchange(self, address, request, timeout_s):
        """Returns the relay's answer if the node answers, else refuses."""
        node = address.split(":")[0]
        self.asked.append(node)
        if node not in self.answering:
            raise RelayRefusedError("the node answered 503")
        return self.relay.answer(request)


@pytest.fixture
def zone_without_relay(relay_pair, monkeypatch):
    """Returns a client whose relay refuses, and its zone's relays, standbys."""
    _, clock, _, _, _, client, _, relay = relay_pair
    nodes = [make_node_entry(f"n{n}") for n in range(1, 9)]
    client.fleet.nodes = lambda: nodes
    relays, standbys = zone_readers(nodes, "zone-a")
    others = [e for e in nodes if e not in relays + standbys]
    client.own_name = others[0].node
    client.peers = SelectivePeers(relay, set(), clock)
    client.relay = relays[0]
    monkeypatch.setattr(gevent, "sleep", clock.advance)
    return client, relays, standbys


def test_standby_is_used_when_the_relay_lost_the_store(zone_without_relay):
    """If the store rejects some of the nodes, others can serve as relays.

    The case: a quarter of the nodes is rejected, the relay among them. A node
    must then use a standby that still reads the store, not call the store.
    """
    client, _, standbys = zone_without_relay
    client.peers.answering = {standbys[0].node}
    assert client.find_relay() == standbys[0]
    assert not client.followers[0].reads_directly.is_set()


def test_search_waits_for_a_standby_to_take_over(zone_without_relay):
    """A node searches for several rounds before it reads the store."""
    client, relays, standbys = zone_without_relay
    peers = client.peers

    def take_over():
        if client.clock() > started_at + 0.15:
            peers.answering = {standbys[1].node}
        return False

    started_at = client.clock()
    client.is_zone_reader = take_over
    assert client.find_relay() == standbys[1]
    assert relays[0].node in peers.asked


def test_search_ends_in_time_for_a_new_configuration(zone_without_relay):
    """Without a relay that answers, a node reads the store in time."""
    client, _, _ = zone_without_relay
    started_at = client.clock()
    assert client.find_relay() is None
    assert client.clock() - started_at <= RELAY_SEARCH_S
    client.switch_to_store()
    assert client.followers[0].reads_directly.is_set()


# Guards against a DRAIN: the search went on for twice its time if the nodes
# that were asked did not even refuse.
def test_search_ends_in_time_if_no_node_answers(zone_without_relay):
    """The time that is left limits the wait for an answer."""
    client, _, _ = zone_without_relay

    def time_out(address, request, timeout_s):
        client.clock.advance(timeout_s)
        raise TimeoutError("timed out")

    client.peers.exchange = time_out
    started_at = client.clock()
    assert client.find_relay() is None
    assert client.clock() - started_at <= RELAY_SEARCH_S


def test_standby_reads_the_store_without_a_search(zone_without_relay):
    """Other nodes wait for the standby, so it must not wait itself."""
    client, _, standbys = zone_without_relay
    client.own_name = standbys[0].node
    started_at = client.clock()
    assert client.find_relay() is None
    assert client.clock() == started_at


def test_few_nodes_read_the_store():
    """The load on the store must not grow with the nodes: 20 of 390 read it."""
    nodes = [make_node_entry(f"n{i}", f"zone-{i % 5}") for i in range(390)]
    relays = [r for z in range(5) for r in zone_relays(nodes, f"zone-{z}")]
    assert len(relays) == 20


class DirectoryHarness:
    """A server directory with a fake clock and a settable end of outage."""

    def __init__(self):
        """Creates an empty directory without an outage."""
        self.clock = FakeClock()
        self.outage_ended_at = 0.0
        self.servers = ServerDirectory(
            PlatformRecords(), lambda: self.outage_ended_at, self.clock
        )


def test_draining_server_gets_no_requests():
    """A draining server is not usable from its entry on."""
    directory = DirectoryHarness()
    directory.servers.apply(make_server_record())
    assert len(directory.servers.usable_servers("pool")) == 1
    directory.servers.apply(make_server_record(1, state="draining"))
    assert directory.servers.usable_servers("pool") == []


def test_removed_server_gets_no_requests():
    """Without an outage, a removed server is dropped at once."""
    directory = DirectoryHarness()
    directory.servers.apply(make_server_record())
    directory.servers.apply(KeyedRecord("s1", None, 1))
    assert directory.servers.usable_servers("pool") == []


def test_entry_that_lapsed_in_an_outage_stays_for_the_grace():
    """Live servers need up to 2 s after an outage to be listed again."""
    directory = DirectoryHarness()
    directory.servers.apply(make_server_record())
    directory.outage_ended_at = directory.clock.now
    directory.servers.apply(KeyedRecord("s1", None, 1))
    assert len(directory.servers.usable_servers("pool")) == 1
    directory.clock.advance(LAPSE_GRACE_S + 0.1)
    assert directory.servers.usable_servers("pool") == []


# Guards against a DRAIN: a removal that was read late in the grace extended it
# to 3 s after the outage.
def test_grace_of_an_outage_ends_when_live_servers_are_listed_again():
    """After 2 s an entry that is still missing is gone."""
    directory = DirectoryHarness()
    directory.servers.apply(make_server_record())
    directory.outage_ended_at = directory.clock.now
    directory.clock.advance(LAPSE_GRACE_S - 0.1)
    directory.servers.apply(KeyedRecord("s1", None, 1))
    assert len(directory.servers.usable_servers("pool")) == 1
    directory.clock.advance(0.7)
    assert directory.servers.usable_servers("pool") == []


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
def test_malformed_entry_is_not_used(changes):
    """A malformed entry, perhaps of another writer, adds no server."""
    directory = DirectoryHarness()
    directory.servers.apply(make_server_record(**changes))
    assert directory.servers.usable_servers("pool") == []


def test_entry_that_is_not_json_is_not_used():
    """A record of arbitrary bytes is ignored."""
    directory = DirectoryHarness()
    assert not directory.servers.apply(KeyedRecord("s9", b"\xff\x00", 0))


def test_restarted_server_is_another_server():
    """Two instances with one server id differ by `born`."""
    directory = DirectoryHarness()
    directory.servers.apply(make_server_record(born=1))
    first = directory.servers.usable_servers("pool")[0]
    directory.servers.apply(make_server_record(1, born=2))
    assert not directory.servers.is_usable(first)
    assert directory.servers.usable_servers("pool")[0].instance_key == ("s1", 2)


def test_heartbeat_without_a_change_is_not_a_change():
    """Relays pass on only records that change something."""
    directory = DirectoryHarness()
    assert directory.servers.apply(make_server_record())
    assert not directory.servers.apply(make_server_record(1))


def make_config_record(version, offset):
    """Returns the record of a configuration."""
    body = {"version": version, "routes": [], "services": []}
    return KeyedRecord("config", json.dumps(body).encode(), offset)


def test_older_configuration_is_ignored():
    """An older record that arrives late changes nothing."""
    source = ConfigSource(PlatformRecords())
    source.apply(make_config_record(9, 5))
    source.apply(make_config_record(7, 3))
    assert source.config.version == 9


def test_malformed_configuration_keeps_the_last():
    """The last valid configuration stays active."""
    source = ConfigSource(PlatformRecords())
    source.apply(make_config_record(9, 5))
    source.apply(KeyedRecord("config", b'{"version": "x"}', 6))
    assert source.config.version == 9


def test_callers_get_serving_nodes_only():
    """A node that is leaving is not listed."""
    nodes = [make_node_entry("n1"), make_node_entry("n2", serving=False)]
    assert choose_entries(nodes, "zone-a", "region", random.Random(1)) == [
        "n1:80"
    ]


def test_callers_stay_in_their_zone_if_it_has_enough_nodes():
    """Traffic between zones is avoided."""
    nodes = [make_node_entry(f"n{i}", f"zone-{'ab'[i % 2]}") for i in range(8)]
    found = choose_entries(nodes, "zone-a", "region", random.Random(1))
    assert sorted(found) == ["n0:80", "n2:80", "n4:80", "n6:80"]


def test_zone_with_one_node_lists_other_zones_too():
    """The loss of one node must not leave callers without any."""
    nodes = [
        make_node_entry("n0"),
        make_node_entry("n1", "zone-b"),
        make_node_entry("n2", "zone-b"),
    ]
    found = choose_entries(nodes, "zone-a", "region", random.Random(1))
    assert len(found) == 3


def test_ages_of_roll_outs_reach_all_nodes_and_grow_on_the_way():
    """Through a member's report, the store, another relay and its summary."""
    store, clock = FakeStore(), FakeClock()
    first, second, member = (
        FleetView(node_store, lambda name=name: make_report(name), clock=clock)
        for name, node_store in (
            ("n1", store),
            ("n2", store),
            ("n3", FakeStore()),
        )
    )
    reporting = make_report("n0")
    reporting.rollout_ages["pool|v2|5"] = 4.0
    first.update_member(reporting)
    first.sync()
    second.sync()
    clock.advance(1.0)
    assert second.rollout_ages() == {"pool|v2|5": 5.0}
    member.set_summary(second.summary_for("n3"))
    clock.advance(0.5)
    assert member.rollout_ages() == {"pool|v2|5": 5.5}
    assert FleetView(store, lambda: make_report("n9")).rollout_ages() == {}


def test_changes_of_the_fleet_are_logged_with_their_basis(caplog):
    """Without it no log tells on whose word a dead node is still listed."""
    clock = FakeClock()
    store = FakeStore()
    view = FleetView(store, lambda: make_report("n1"), clock=clock)
    other = FleetView(store, lambda: make_report("n2"), clock=clock)
    view.follower.read_once()
    other.update_member(make_report("n3"))
    other.publish()
    view.follower.read_once()
    clock.now += 0.5
    with caplog.at_level("INFO"):
        view.log_changes()
        view.log_changes()
    (line,) = [r for r in caplog.records if getattr(r, "event", "") == "nodes"]
    assert line.joined == {"n1": {}, "n2": {"n2": 0.5}, "n3": {"n2": 0.5}}
    assert (line.left, line.live) == ({}, 3)


# Guards against a node that left the relay which served it each second to try
# its dead one, while that was still listed.
def test_silent_relay_is_not_tried_without_a_newer_sign(relay_pair):
    """A sign of life may come through others."""
    _, clock, _, _, _, client, *_ = relay_pair
    relay = make_node_entry("n1")
    client.fleet.nodes = lambda: [relay, make_node_entry("n2")]
    client.peers.is_broken = True
    assert not client.exchange(relay, 0.0)
    clock.advance(NO_ANSWER_AVOID_S + 0.1)
    assert client.usable([[relay]]) == []
    client.fleet.signs.record("n1", clock())
    assert client.usable([[relay]]) == [relay]
