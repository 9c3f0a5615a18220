"""Guards the log feed: outages, restarts, expired records, pauses."""

import math

import gevent
import pytest
from _fakes_log import (
    FakeClock,
    FakeLinks,
    FakeLog,
    FakeMembers,
    exchange,
    follower,
    wait_until,
)
from result import Ok

from amaranthlug.coordination.log_store import LogStore
from amaranthlug.coordination.snapshots import SnapshotWriter
from amaranthlug.state.members import Member
from amaranthlug.state.publications import ConfigState, apply_entry
from amaranthlug.state.record_codec import encode_record
from amaranthlug.state.records import Publication


def raw(number, base=None):
    """Returns a publication as the log keeps it, its base the one before."""
    return encode_record(
        Publication(
            id=f"p{number}",
            operator="ana",
            base=number - 1 if base is None else base,
            parts={"kinds/k": {"quality_target": number / 1000}},
        )
    )


class Folded:
    """A configuration folded from a feed."""

    def __init__(self, feed):
        """Subscribes to a feed."""
        self.state = ConfigState()
        self.offsets = []
        feed.subscribe(self.apply)

    def apply(self, entry):
        """Folds an entry."""
        self.offsets.append(entry.offset)
        self.state, _ = apply_entry(self.state, entry)


@pytest.fixture(name="log")
def log_fixture():
    """A log with ten accepted publications."""
    log = FakeLog()
    log.records = [raw(number) for number in range(10)]
    return log


def test_node_alone_reads_and_confirms(log):
    """The first node of a fleet has no peer to follow."""
    node = follower(log, FakeLinks())
    folded = Folded(node)
    assert math.isinf(node.confirmed_age())
    node.start()
    assert wait_until(lambda: node.confirmed_age() < 1.0)
    log.records.append(raw(10))
    assert wait_until(lambda: folded.state.revision == 10)
    node.stop()
    assert folded.offsets == list(range(11))


def test_late_subscriber_gets_every_kept_record(log):
    """A part that subscribes after the start must not miss records."""
    node = follower(log, FakeLinks())
    assert node.catch_up(1.0) == Ok(9)
    assert Folded(node).offsets == list(range(10))


def test_two_readers_per_zone_and_the_rest_follow(log):
    """Reads of the log must not grow with the number of nodes."""
    links = FakeLinks()
    names = [f"n{number}" for number in range(6)]
    nodes = [
        follower(log, links, name, [n for n in names if n != name])
        for name in names
    ]
    readers = [node for node in nodes if node.is_reader()]
    assert len(readers) == 2
    others = [node for node in nodes if node not in readers]
    assert readers[0].catch_up(1.0).is_ok()
    reads = log.reads
    folds = [Folded(node) for node in others]
    for node in others:
        exchange(readers[0], node)
        node.fetch(node.ahead_peer)
        assert node.confirmed_age() < 1.0
    assert [fold.state.revision for fold in folds] == [9] * 4
    assert log.reads == reads


def test_follower_without_confirmed_reader_reads_itself(log):
    """Both readers of a zone may be lost at once."""
    links = FakeLinks()
    node = follower(log, links, "n0", ["n1", "n2", "n3"])
    node.is_reader = lambda: False
    node.start()
    assert wait_until(lambda: node.position() == 9)
    gevent.sleep(0.1)
    node.stop()
    assert log.reads <= 2


def test_confirmation_counts_only_at_the_same_position(log):
    """A confirmation by a node that knows more would hide missing records."""
    links, clock = FakeLinks(), FakeClock()
    ahead_peer = follower(log, links, "n0", ["n1"], clock)
    behind = follower(log, links, "n1", ["n0"], clock)
    assert ahead_peer.catch_up(1.0).is_ok()
    behind.incoming("n0", ahead_peer.outgoing())
    assert math.isinf(behind.confirmed_age())
    behind.fetch("n0")
    clock.time += 4.0
    behind.last_tick = clock.time
    behind.incoming("n0", ahead_peer.outgoing())
    assert behind.confirmed_age() == pytest.approx(4.0)


def test_message_read_after_a_pause_confirms_nothing(log):
    """What waited in the sockets of a paused process is of unknown age."""
    links, clock = FakeLinks(), FakeClock()
    peer = follower(log, links, "n0", ["n1"], clock)
    node = follower(log, links, "n1", ["n0"], clock)
    assert peer.catch_up(1.0).is_ok() and node.catch_up(1.0).is_ok()
    section = peer.outgoing()
    clock.time += 30.0
    node.incoming("n0", section)
    assert node.confirmed_age() == 30.0
    node.record_tick()
    node.incoming("n0", section)
    assert node.confirmed_age() == 30.0


def test_node_that_starts_in_an_outage_gets_records_from_a_peer(log):
    """A replaced VM must serve although the log is down for an hour."""
    links = FakeLinks()
    peer = follower(log, links, "n0", ["n1"])
    assert peer.catch_up(1.0).is_ok()
    log.outage = True
    node = follower(log, links, "n1", ["n0"])
    folded = Folded(node)
    node.start()
    exchange(peer, node)
    assert wait_until(lambda: folded.state.revision == 9)
    assert node.confirmed_age() < 3.0
    log.outage = False
    log.records.append(raw(10))
    assert wait_until(lambda: folded.state.revision == 10)
    node.stop()


def test_start_in_an_outage_with_records_that_no_peer_keeps(log):
    """A peer's store is bounded; its snapshot stands for the rest."""
    links = FakeLinks()
    peer = follower(log, links, "n0", ["n1"])
    peer.store = LogStore(max_bytes=300)
    truth = Folded(peer)
    peer.snapshot_sources.append(lambda: truth.state.snapshot("s"))
    assert peer.catch_up(1.0).is_ok()
    assert peer.store.first > 0
    log.outage = True
    node = follower(log, links, "n1", ["n0"])
    folded = Folded(node)
    node.fetch("n0")
    assert folded.state.complete
    assert folded.state.parts == truth.state.parts
    assert folded.state.revision == 9


def snapshot_writer(node, folded, log, clock):
    """Returns a snapshot writer whose appends go straight to the log."""

    class Writer:
        """Appends directly."""

        def append(self, record):
            """Appends a record."""
            return log.append([encode_record(record)])

    return SnapshotWriter(
        node, Writer(), node.members, clock, lambda: folded.state
    )


def test_restart_after_the_first_records_expired(log):
    """Without a snapshot on the log a restart would lose configuration."""
    links, clock = FakeLinks(), FakeClock()
    node = follower(log, links, timers=clock)
    folded = Folded(node)
    writer = snapshot_writer(node, folded, log, clock)
    assert node.catch_up(1.0).is_ok()
    writer.check()
    assert len(log.records) == 10
    clock.time += 200.0
    assert node.catch_up(1.0).is_ok()
    writer.check()
    writer.check()
    assert len(log.records) == 11
    log.expire(10)
    restarted = follower(log, links, "n1")
    after = Folded(restarted)
    assert restarted.catch_up(1.0).is_ok()
    assert (after.state.revision, after.state.complete) == (9, True)


def test_node_behind_the_retained_range_recovers(log):
    """A node that was cut off long finds its next records expired."""
    links = FakeLinks()
    node = follower(log, links)
    folded = Folded(node)
    assert node.catch_up(1.0).is_ok()
    for number in range(10, 20):
        log.records.append(raw(number))
    peer = follower(log, links, "n1")
    truth = Folded(peer)
    assert peer.catch_up(1.0).is_ok()
    log.records.append(encode_record(truth.state.snapshot("s")))
    log.records.append(raw(21, base=19))
    log.expire(20)
    assert node.catch_up(1.0).is_ok()
    assert (folded.state.revision, folded.state.complete) == (21, True)


def test_snapshot_turn_passes_on_when_the_first_node_does_not_write(log):
    """The first node may be unable to reach the log."""
    clock = FakeClock()
    node = follower(log, FakeLinks(), "n0", timers=clock)
    folded = Folded(node)
    writer = snapshot_writer(node, folded, log, clock)
    others = [Member(f"n{n}", "a", f"n{n}") for n in range(1, 9)]
    for rank_zero in others:
        node.members = writer.members = FakeMembers("n0", "a", [rank_zero])
        if not writer.is_my_turn():
            break
    writer.last_snapshot_at = clock.time - 310.0
    assert not writer.is_my_turn()
    writer.last_snapshot_at = clock.time - 380.0
    assert writer.is_my_turn()


def test_log_whose_records_have_all_expired(log):
    """A node behind it must see a gap, and hand no stand-in to a peer."""
    links = FakeLinks()
    node = follower(log, links)
    folded = Folded(node)
    assert node.catch_up(1.0).is_ok()
    log.records += [raw(10), raw(11)]
    log.expire(12)
    assert node.catch_up(1.0) == Ok(11)
    assert not folded.state.complete
    assert node.on_records({"after": 10})["first"] == 12
    assert node.confirmed_age() < 1.0
