"""Tests the log follower: outages, restarts, expired records, pauses."""

import math

import gevent
import pytest
from _fakes_log import (
    FakeClock,
    FakeLinks,
    FakeLog,
    FakeMembers,
    exchange,
    make_follower,
    wait_until,
)
from result import Ok

from amaranthlug.coordination.log_store import LogStore
from amaranthlug.coordination.snapshots import SnapshotWriter
from amaranthlug.state.members import Member
from amaranthlug.state.publications import ConfigState, apply_entry
from amaranthlug.state.record_codec import encode_record
from amaranthlug.state.records import Publication


def publication_record(number, base=None):
    """Returns an encoded publication, based on the previous one."""
    return encode_record(
        Publication(
            id=f"p{number}",
            operator="ana",
            base=number - 1 if base is None else base,
            parts={"kinds/k": {"quality_target": number / 1000}},
        )
    )


class ConfigSubscriber:
    """Computes the configuration from the records of a feed."""

    def __init__(self, feed):
        """Subscribes to a feed."""
        self.state = ConfigState()
        self.offsets = []
        feed.subscribe(self.apply)

    def apply(self, entry):
        """Applies an entry."""
        self.offsets.append(entry.offset)
        self.state, _ = apply_entry(self.state, entry)


@pytest.fixture(name="log")
def log_fixture():
    """Returns a log with ten accepted publications."""
    log = FakeLog()
    log.records = [publication_record(number) for number in range(10)]
    return log


def test_single_node_reads_and_confirms(log):
    """The first node of a fleet has no peer to follow."""
    node = make_follower(log, FakeLinks())
    config = ConfigSubscriber(node)
    assert math.isinf(node.confirmed_age())
    node.start()
    assert wait_until(lambda: node.confirmed_age() < 1.0)
    log.records.append(publication_record(10))
    assert wait_until(lambda: config.state.revision == 10)
    node.stop()
    assert config.offsets == list(range(11))


def test_late_subscriber_gets_every_kept_record(log):
    """A subscriber added after the start must not miss records."""
    node = make_follower(log, FakeLinks())
    assert node.catch_up(1.0) == Ok(9)
    assert ConfigSubscriber(node).offsets == list(range(10))


def test_two_nodes_per_zone_read_and_the_others_follow(log):
    """The number of reads must not grow with the number of nodes."""
    links = FakeLinks()
    names = [f"n{number}" for number in range(6)]
    nodes = [
        make_follower(log, links, name, [n for n in names if n != name])
        for name in names
    ]
    readers = [node for node in nodes if node.is_reader()]
    assert len(readers) == 2
    others = [node for node in nodes if node not in readers]
    assert readers[0].catch_up(1.0).is_ok()
    reads = log.reads
    configs = [ConfigSubscriber(node) for node in others]
    for node in others:
        exchange(readers[0], node)
        node.fetch(node.ahead_peer)
        assert node.confirmed_age() < 1.0
    assert [config.state.revision for config in configs] == [9] * 4
    assert log.reads == reads


def test_node_without_confirmed_peers_reads_the_log(log):
    """Both readers of a zone may fail at once."""
    links = FakeLinks()
    node = make_follower(log, links, "n0", ["n1", "n2", "n3"])
    node.is_reader = lambda: False
    node.start()
    assert wait_until(lambda: node.position() == 9)
    gevent.sleep(0.1)
    node.stop()
    assert log.reads <= 2


def test_confirmation_counts_only_at_the_same_position(log):
    """A confirmation by a node that is ahead would hide missing records."""
    links, clock = FakeLinks(), FakeClock()
    ahead = make_follower(log, links, "n0", ["n1"], clock)
    behind = make_follower(log, links, "n1", ["n0"], clock)
    assert ahead.catch_up(1.0).is_ok()
    behind.incoming("n0", ahead.outgoing())
    assert math.isinf(behind.confirmed_age())
    behind.fetch("n0")
    clock.time += 4.0
    behind.last_tick = clock.time
    behind.incoming("n0", ahead.outgoing())
    assert behind.confirmed_age() == pytest.approx(4.0)


def test_messages_read_after_a_pause_are_ignored(log):
    """Messages in the sockets of a paused process are of unknown age."""
    links, clock = FakeLinks(), FakeClock()
    peer = make_follower(log, links, "n0", ["n1"], clock)
    node = make_follower(log, links, "n1", ["n0"], clock)
    assert peer.catch_up(1.0).is_ok() and node.catch_up(1.0).is_ok()
    section = peer.outgoing()
    clock.time += 30.0
    node.incoming("n0", section)
    assert node.confirmed_age() == 30.0
    node.record_tick()
    node.incoming("n0", section)
    assert node.confirmed_age() == 30.0


def test_node_started_in_an_outage_fetches_from_a_peer(log):
    """A replaced VM must serve although the log is unreachable for an hour."""
    links = FakeLinks()
    peer = make_follower(log, links, "n0", ["n1"])
    assert peer.catch_up(1.0).is_ok()
    log.outage = True
    node = make_follower(log, links, "n1", ["n0"])
    config = ConfigSubscriber(node)
    node.start()
    exchange(peer, node)
    assert wait_until(lambda: config.state.revision == 9)
    assert node.confirmed_age() < 3.0
    log.outage = False
    log.records.append(publication_record(10))
    assert wait_until(lambda: config.state.revision == 10)
    node.stop()


def test_node_started_in_an_outage_gets_a_peer_snapshot(log):
    """A peer stores only recent records; its snapshot replaces the others."""
    links = FakeLinks()
    peer = make_follower(log, links, "n0", ["n1"])
    peer.store = LogStore(max_bytes=300)
    peer_config = ConfigSubscriber(peer)
    peer.snapshot_sources.append(lambda: peer_config.state.snapshot("s"))
    assert peer.catch_up(1.0).is_ok()
    assert peer.store.first > 0
    log.outage = True
    node = make_follower(log, links, "n1", ["n0"])
    config = ConfigSubscriber(node)
    node.fetch("n0")
    assert config.state.complete
    assert config.state.parts == peer_config.state.parts
    assert config.state.revision == 9


def make_snapshot_writer(node, config, log, clock):
    """Returns a snapshot writer that appends to the log without a queue."""

    class Writer:
        """A record writer that appends directly."""

        def append(self, record):
            """Appends a record."""
            return log.append([encode_record(record)])

    return SnapshotWriter(
        node, Writer(), node.members, clock, lambda: config.state
    )


def test_restart_after_the_first_records_expired(log):
    """Without a snapshot on the log, a restart would lose configuration."""
    links, clock = FakeLinks(), FakeClock()
    node = make_follower(log, links, timers=clock)
    config = ConfigSubscriber(node)
    writer = make_snapshot_writer(node, config, log, clock)
    assert node.catch_up(1.0).is_ok()
    writer.check()
    assert len(log.records) == 10
    clock.time += 200.0
    assert node.catch_up(1.0).is_ok()
    writer.check()
    writer.check()
    assert len(log.records) == 11
    log.expire(10)
    restarted = make_follower(log, links, "n1")
    restarted_config = ConfigSubscriber(restarted)
    assert restarted.catch_up(1.0).is_ok()
    assert (
        restarted_config.state.revision,
        restarted_config.state.complete,
    ) == (9, True)


def test_node_behind_the_retained_range_recovers(log):
    """After a long disconnection, the next records of a node have expired."""
    links = FakeLinks()
    node = make_follower(log, links)
    config = ConfigSubscriber(node)
    assert node.catch_up(1.0).is_ok()
    for number in range(10, 20):
        log.records.append(publication_record(number))
    peer = make_follower(log, links, "n1")
    peer_config = ConfigSubscriber(peer)
    assert peer.catch_up(1.0).is_ok()
    log.records.append(encode_record(peer_config.state.snapshot("s")))
    log.records.append(publication_record(21, base=19))
    log.expire(20)
    assert node.catch_up(1.0).is_ok()
    assert (config.state.revision, config.state.complete) == (21, True)


def test_next_node_writes_the_snapshot_if_the_first_does_not(log):
    """The first node in rendezvous order may be unable to reach the log."""
    clock = FakeClock()
    node = make_follower(log, FakeLinks(), "n0", timers=clock)
    config = ConfigSubscriber(node)
    writer = make_snapshot_writer(node, config, log, clock)
    others = [Member(f"n{n}", "a", f"n{n}") for n in range(1, 9)]
    for candidate in others:
        node.members = writer.members = FakeMembers("n0", "a", [candidate])
        if not writer.is_my_turn():
            break
    writer.last_snapshot_at = clock.time - 310.0
    assert not writer.is_my_turn()
    writer.last_snapshot_at = clock.time - 380.0
    assert writer.is_my_turn()


def test_log_with_all_records_expired_shows_a_gap(log):
    """A node that is behind must see the gap and send peers no placeholder."""
    links = FakeLinks()
    node = make_follower(log, links)
    config = ConfigSubscriber(node)
    assert node.catch_up(1.0).is_ok()
    log.records += [publication_record(10), publication_record(11)]
    log.expire(12)
    assert node.catch_up(1.0) == Ok(11)
    assert not config.state.complete
    assert node.on_records({"after": 10})["first"] == 12
    assert node.confirmed_age() < 1.0
