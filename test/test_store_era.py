"""Tests of the era of the store and of data kept over a return to a copy."""

import json
import math

import pytest
from _fakes_log import FakeMetrics
from _routing import (
    FakeClock,
    FakeStore,
    RecordingListener,
    make_node_entry,
    make_order,
    make_report,
    make_server,
)
from result import Ok

from amaranthlug.coordination.routing.config_source import ConfigSource
from amaranthlug.coordination.routing.fleet_view import FleetSummary, FleetView
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_client import RelayClient
from amaranthlug.coordination.routing.relay_messages import RelayRefusedError
from amaranthlug.coordination.routing.relay_roles import (
    NODES_PER_RELAY,
    store_readers,
    zone_relays,
)
from amaranthlug.coordination.routing.rollout_tracker import RolloutTracker
from amaranthlug.coordination.routing.server_directory import (
    RESTORE_GRACE_S,
    ServerDirectory,
)
from amaranthlug.coordination.routing.store_era import StoreEra
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.rollout import RolloutPhase, RolloutStatus
from amaranthlug.state.routing.servers import ServerState
from amaranthlug.transport.routing.http_client import ResponseHead
from amaranthlug_platform.store_client import StoreClient, decode_era


@pytest.fixture
def era():
    """An era with metrics."""
    era = StoreEra()
    era.metrics = FakeMetrics()
    return era


def test_return_from_a_copy_is_told_once(era):
    """Each subscriber starts anew with the first answer of the new era."""
    calls = []
    era.subscribe(lambda: calls.append(era.current))
    assert all(era.accept(number) for number in (3, 3, 4, 4, 4, 6))
    assert calls == [4, 6]
    assert era.metrics.counts == {"store_era.restored": 2}


def test_answer_of_an_older_era_is_not_used(era, caplog):
    """It was on its way when the store came back."""
    era.accept(4)
    assert not era.accept(3)
    assert era.current == 4
    assert "ignoring an answer of era 3" in caplog.text
    assert era.metrics.counts == {"store_era.outdated_answers": 1}


def test_missing_era_is_unknown_and_not_zero(era, caplog):
    """One line says so, and the answers are used as without the header."""
    assert era.accept(None)
    assert caplog.text == ""
    era.accept(4)
    assert era.accept(None)
    assert era.accept(None)
    assert era.current == 4
    assert caplog.text.count("the store states no era") == 1


@pytest.mark.parametrize("text", ["", "x", "-1", "1.5", "\u0663"])
def test_malformed_era_is_unknown(text, caplog):
    """A line shows what was received."""
    assert decode_era(ResponseHead(200, [("Store-Era", text)])) is None
    assert "malformed era" in caplog.text


def test_era_is_decoded():
    """The name of a header has no case."""
    assert decode_era(ResponseHead(200, [("store-era", "12")])) == 12
    assert decode_era(ResponseHead(200, [])) is None


def test_pages_of_two_eras_are_not_combined(monkeypatch):
    """The second page would come from the copy."""
    client = StoreClient("127.0.0.1:1")
    bodies = [
        {"entries": [{"key": "a", "value": "", "offset": 0}], "end": 9},
        {"entries": [{"key": "b", "value": "", "offset": 1}], "end": 2},
    ]
    bodies[0]["more_pages"] = True
    eras = iter((1, 2))

    def call(method, target, body, wait_s):
        client.era.accept(next(eras))
        answer = json.dumps(bodies.pop(0)).encode()
        return Ok((ResponseHead(200, []), answer))

    monkeypatch.setattr(client, "call", call)
    result = client.newest("t")
    assert "between two pages" in result.err_value.message


class Decoder:
    """Passes on what a test put into a record."""

    def server(self, record):
        """Returns the entry."""
        return record.value

    def status(self, record):
        """Returns the state."""
        return record.value

    def order(self, record):
        """Returns the order, None if the record holds none."""
        return None if isinstance(record.value, int) else record.value

    def config(self, record):
        """Returns no configuration."""
        return None

    def evacuated_zone(self, record):
        """Returns that no record is an evacuation."""
        return None


def make_records(*values) -> list[KeyedRecord]:
    """Returns records of decoded values."""
    return [
        KeyedRecord(getattr(value, "server_id", "key"), value, offset)
        for offset, value in enumerate(values)
    ]


class RestoredServers:
    """A directory, its clock and the servers in it."""

    def __init__(self, *servers):
        """Lists some servers."""
        self.clock = FakeClock()
        self.directory = ServerDirectory(
            Decoder(), lambda: -1_000.0, self.clock
        )
        self.directory.replace(make_records(*servers))

    def restore(self, *servers) -> int:
        """Returns to a copy; returns how many of its records are valid."""
        return len(self.directory.restore(make_records(*servers)))

    def apply(self, server, value=True) -> None:
        """Applies an entry that a server wrote, or its removal."""
        entry = server if value else None
        self.directory.apply(KeyedRecord(server.server_id, entry, 9))

    def usable(self) -> set[str]:
        """Returns the ids of the usable servers."""
        return {e.server_id for e in self.directory.usable_servers("pool")}


def test_removed_server_returns_only_with_an_entry_of_its_own():
    """The copy lists it, but it may be gone."""
    one, two = make_server("s1"), make_server("s2")
    servers = RestoredServers(one, two)
    servers.apply(two, value=False)
    assert servers.restore(one, two) == 1
    assert servers.usable() == {"s1"}
    servers.apply(two)
    assert servers.usable() == {"s1", "s2"}


def test_draining_server_stays_so():
    """A later instance of it is another one."""
    draining = make_server("s1", state=ServerState.DRAINING)
    servers = RestoredServers(draining)
    assert servers.restore(make_server("s1")) == 0
    assert servers.usable() == set()
    assert servers.restore(make_server("s1", started_ms=2)) == 1
    assert servers.usable() == {"s1"}


def test_server_that_lapsed_does_not_return_with_the_copy():
    """Its grace time goes on until it writes its entry."""
    servers = RestoredServers(make_server("s1"))
    servers.directory.remove("s1", RESTORE_GRACE_S)
    assert servers.restore(make_server("s1")) == 0
    servers.clock.advance(RESTORE_GRACE_S + 0.1)
    assert servers.usable() == set()


# Guards against servers that are dropped although they have written again,
# between two returns of the store (soak seed 910).
def test_server_that_wrote_again_before_a_second_copy_is_used_on():
    """The first copy lacked it, and the second one has its new entry."""
    servers = RestoredServers(make_server("s1"))
    servers.restore()
    servers.clock.advance(1.0)
    assert servers.restore(make_server("s1")) == 1
    servers.clock.advance(RESTORE_GRACE_S)
    assert servers.usable() == {"s1"}


# Guards against servers that count as gone since a copy lacked them for longer
# than their grace time (soak seed 1016, a node that was paused).
def test_server_missing_in_a_copy_returns_with_the_next_one():
    """Nothing has said that it left."""
    servers = RestoredServers(make_server("s1"))
    servers.restore()
    servers.clock.advance(RESTORE_GRACE_S + 0.1)
    assert servers.usable() == set()
    assert servers.restore(make_server("s1")) == 1
    assert servers.usable() == {"s1"}


def test_older_instance_does_not_replace_a_newer_one():
    """A server started again after the copy."""
    servers = RestoredServers(make_server("s1", started_ms=2))
    assert servers.restore(make_server("s1", started_ms=1)) == 0
    [entry] = servers.directory.usable_servers("pool")
    assert entry.started_ms == 2


def test_server_that_the_copy_lacks_has_a_grace_time():
    """Live servers write their entries again."""
    servers = RestoredServers(make_server("s1"), make_server("s2"))
    servers.restore()
    servers.clock.advance(RESTORE_GRACE_S - 0.1)
    assert servers.usable() == {"s1", "s2"}
    servers.apply(make_server("s1"))
    servers.clock.advance(0.2)
    assert servers.usable() == {"s1"}


def test_server_that_drained_in_the_copy_drains():
    """The copy may hold what was written between it and the read."""
    servers = RestoredServers(make_server("s1"))
    assert servers.restore(make_server("s1", state=ServerState.DRAINING)) == 1
    assert servers.usable() == set()


class RestoredOrders:
    """A source of orders and its records."""

    def __init__(self, *orders):
        """Reads some orders."""
        self.source = ConfigSource(Decoder())
        for order in orders:
            self.apply(order)

    def apply(self, order) -> None:
        """Applies an order that was appended."""
        self.source.apply(KeyedRecord("key", order, order.offset))

    def restore(self, *orders) -> int:
        """Returns to a copy; returns how many of its records are valid."""
        return len(
            self.source.restore(
                [KeyedRecord("key", order, order.offset) for order in orders]
            )
        )

    def current(self):
        """Returns the order in force."""
        return self.source.orders["pool"]


def test_older_order_of_a_copy_is_not_taken():
    """The operator gave a newer one, which the copy lacks."""
    old, new = make_order(offset=5), make_order(target="v3", offset=8)
    orders = RestoredOrders(old, new)
    assert orders.restore(old) == 0
    assert orders.current() is new
    orders.apply(make_order(target="v3", offset=6))
    assert orders.current() is new


def test_same_order_given_later_is_a_new_one():
    """Only the first writing after the return repeats the lost one."""
    order = make_order(offset=8)
    orders = RestoredOrders(order)
    orders.restore()
    orders.apply(make_order(offset=6))
    assert orders.current() is order
    again = make_order(offset=7)
    orders.apply(again)
    assert orders.current() is again


def test_order_written_again_is_the_same_in_a_second_copy():
    """The copy may hold its second writing."""
    order, again = make_order(offset=8), make_order(offset=6)
    orders = RestoredOrders(order)
    orders.restore()
    orders.apply(again)
    assert orders.restore(again) == 1
    assert orders.current() is order
    later = make_order(offset=7)
    orders.apply(later)
    assert orders.current() is later


def test_order_in_the_copy_is_not_expected_again():
    """A later one of the same version is new."""
    order = make_order(offset=5)
    orders = RestoredOrders(order)
    assert orders.restore(order) == 1
    again = make_order(offset=6)
    orders.apply(again)
    assert orders.current() is again


class RestoredStatuses:
    """A tracker of the roll-out to v2."""

    def __init__(self, phase):
        """Reads a recorded phase."""
        self.tracker = RolloutTracker(
            Decoder(),
            lambda: {"pool": make_order()},
            list,
            lambda: 0.0,
            FakeClock(),
        )
        self.tracker.apply(self.record(phase))

    def record(self, phase, target="v2") -> KeyedRecord:
        """Returns the record of a phase."""
        return KeyedRecord("k", RolloutStatus("pool", target, phase, 1), 0)

    def restore(self, *records) -> int:
        """Returns to a copy; returns how many of its records are valid."""
        return len(self.tracker.restore(list(records)))

    def phase(self):
        """Returns the phase in force."""
        return self.tracker.statuses["pool"].phase

    def is_stored(self) -> bool:
        """Returns whether the store holds the phase in force."""
        stored = self.tracker.stored_statuses.get("pool")
        return stored == self.tracker.statuses["pool"]


@pytest.mark.parametrize(
    "phase", [RolloutPhase.COMPLETED, RolloutPhase.REVERTED]
)
def test_final_phase_does_not_become_active_again(phase):
    """Servers of the other version were stopped."""
    statuses = RestoredStatuses(phase)
    assert statuses.is_stored()
    assert statuses.restore(statuses.record(RolloutPhase.ACTIVE)) == 0
    assert statuses.phase() is phase
    assert not statuses.is_stored()
    statuses.tracker.apply(statuses.record(phase))
    assert statuses.is_stored()


def test_phase_that_the_copy_lacks_is_kept():
    """The first phase may be lost as well."""
    statuses = RestoredStatuses(RolloutPhase.ACTIVE)
    assert statuses.restore() == 0
    assert statuses.phase() is RolloutPhase.ACTIVE
    assert not statuses.is_stored()


def test_phase_written_again_by_another_node_is_taken():
    """It may be further than what this node had read."""
    statuses = RestoredStatuses(RolloutPhase.ACTIVE)
    assert statuses.restore(statuses.record(RolloutPhase.COMPLETED)) == 1
    assert statuses.phase() is RolloutPhase.COMPLETED


def test_phase_of_a_former_rollout_is_not_taken():
    """The copy holds that of the version before."""
    statuses = RestoredStatuses(RolloutPhase.ACTIVE)
    former = statuses.record(RolloutPhase.COMPLETED, target="v1")
    assert statuses.restore(former) == 0
    assert statuses.tracker.statuses["pool"].target == "v2"


class ReadingFleet:
    """Nodes of one zone, of which the relays read a store in this process."""

    def __init__(self, count: int):
        """Starts all nodes; each has read the store."""
        self.store = FakeStore()
        self.store.put("a", b"1")
        self.entries = [make_node_entry(f"n{i}") for i in range(count)]
        self.eras: dict[str, StoreEra] = {}
        self.followers: dict[str, TopicFollower] = {}
        self.relays: dict[str, Relay] = {}
        self.clients: dict[str, RelayClient] = {}
        for entry in self.entries:
            self.add(entry.node)
        self.relay_names = [e.node for e in zone_relays(self.entries, "zone-a")]
        self.reader_names = [e.node for e in store_readers(self.entries)]

    def add(self, name: str) -> None:
        """Starts one node."""
        era = self.eras[name] = StoreEra()
        era.accept(1)
        clock = FakeClock()
        follower = TopicFollower(
            self.store, "t", RecordingListener(), 1.0, clock=clock
        )
        follower.read_once()
        era.subscribe(follower.begin_restore)
        self.followers[name] = follower
        fleet = FleetView(FakeStore(), lambda: make_report(name), clock=clock)
        fleet.follower.read_once()
        fleet.set_summary(FleetSummary(self.entries, {}, {}))
        self.relays[name] = Relay([follower], fleet, era, lambda: False, clock)
        self.clients[name] = RelayClient(
            name, "zone-a", [follower], fleet, era, self, clock
        )

    def exchange(self, address, request, timeout_s):
        """Passes an exchange on to a relay."""
        answer = self.relays[address.partition(":")[0]].answer(request)
        if answer is None:
            raise RelayRefusedError("refused")
        return answer

    def fetch_topics(self, address, request, timeout_s):
        """Passes a request on to a store reader."""
        answer = self.relays[address.partition(":")[0]].answer_relay(request)
        if answer is None:
            raise RelayRefusedError("refused")
        return answer

    def return_to_copy(self) -> int:
        """Returns the store to a copy; returns the calls until all know it."""
        self.store.records[:] = []
        self.store.put("a", b"0")
        before = self.store.reads
        for name in self.reader_names:
            self.eras[name].accept(2)
            self.followers[name].read_once()
        for name in self.relay_names:
            if name not in self.reader_names:
                client = self.clients[name]
                assert client.poll(client.relay_candidates()[0], 0.0, 1.0)
                self.relays[name].is_fed = client.is_fed
        for name, client in self.clients.items():
            if name not in self.relay_names:
                relay = client.relay_candidates()[0]
                assert client.exchange(relay, 0.0)
        return self.store.reads - before


@pytest.mark.parametrize("count", [8, 90, 390])
def test_only_store_readers_read_a_copy_from_the_store(count):
    """The others would exceed its rate in the first second."""
    fleet = ReadingFleet(count)
    assert fleet.return_to_copy() == len(fleet.reader_names)
    assert len(fleet.reader_names) <= 4
    assert len(fleet.relay_names) == math.ceil(count / NODES_PER_RELAY)
    for follower in fleet.followers.values():
        assert follower.listener.content == {"a": b"0"}
        assert follower.listener.restored
