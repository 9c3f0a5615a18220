"""Tests evidence snapshots: counted twice, or lost with the last node."""

import json

from _policy import FakeMembers, Policy, catalog_of, version_id
from result import Ok

from amaranthlug.coordination.evidence_exchange import EvidenceExchange
from amaranthlug.coordination.evidence_snapshots import (
    FIRST_SNAPSHOT_S,
    EvidenceSnapshotWriter,
)
from amaranthlug.state import evidence_snapshot
from amaranthlug.state.catalog import Rollout, RolloutStage
from amaranthlug.state.evidence import Cell, Evidence, Tally
from amaranthlug.state.evidence_snapshot import adopt_snapshot, take_snapshot
from amaranthlug.state.record_codec import decode_record, encode_record
from amaranthlug.state.records import LogEntry

CELL = Cell("m@1", "log", False)


def count_ratings(evidence, good, bad=0):
    """Counts ratings given to a node."""
    evidence.count(CELL, started=good + bad, good=good, bad=bad)


def send_rows(sender, *receivers):
    """Sends all rows of a node to other nodes."""
    for receiver in receivers:
        for segment, cells in list(sender.rows.items()):
            for cell, tally in cells.items():
                receiver.merge(segment, cell, tally.values())


def apply_snapshot(snapshot, *nodes):
    """Applies a snapshot to nodes, encoded and decoded as on the log."""
    raw = json.loads(json.dumps(encode_record(snapshot)))
    record = decode_record(0, raw).record
    for node in nodes:
        adopt_snapshot(node, record)


def test_fleet_replaced_at_once_keeps_its_evidence():
    """If all VMs are replaced, no peer is left to send rows to new nodes."""
    old = Evidence("old")
    for _ in range(3):
        count_ratings(old, 90, 10)
        snapshot = take_snapshot(old, "s")
        new = Evidence("new")
        apply_snapshot(snapshot, new)
        assert new.pooled(CELL) == old.pooled(CELL)
        assert new.bounds(CELL, 0.5) == old.bounds(CELL, 0.5)
        old = new
    assert old.pooled(CELL).good == 270


def test_rows_in_a_snapshot_are_not_counted_again():
    """Rows repeated by a peer's sweep would double those in a snapshot."""
    a, b = Evidence("a"), Evidence("b")
    count_ratings(a, 40)
    count_ratings(b, 60)
    send_rows(b, a)
    rows_before = {name: dict(cells) for name, cells in a.rows.items()}
    snapshot = take_snapshot(a, "s")
    new = Evidence("c")
    apply_snapshot(snapshot, a, b, new)
    for segment, cells in rows_before.items():
        new.merge(segment, CELL, cells[CELL].values())
    assert new.pooled(CELL).good == 100
    count_ratings(b, 7)
    count_ratings(new, 5)
    send_rows(b, a, new)
    send_rows(new, a, b)
    send_rows(a, new, b)
    assert {n.pooled(CELL).good for n in (a, new)} == {112}
    assert b.pooled(CELL).good <= 112


def test_snapshots_of_two_writers_count_nothing_twice():
    """Two nodes may both take themselves for the holder of slot 65."""
    a, b = Evidence("a"), Evidence("b")
    count_ratings(a, 40)
    send_rows(a, b)
    count_ratings(b, 60)
    first_snapshot, second_snapshot = (
        take_snapshot(a, "s1"),
        take_snapshot(b, "s2"),
    )
    for order in (
        (first_snapshot, second_snapshot),
        (second_snapshot, first_snapshot),
        (first_snapshot, second_snapshot, first_snapshot),
    ):
        late_node = Evidence("late")
        for snapshot in order:
            apply_snapshot(snapshot, late_node)
        send_rows(b, late_node)
        assert late_node.pooled(CELL).good == 100
    for snapshot in (first_snapshot, second_snapshot):
        apply_snapshot(snapshot, a, b)
    count_ratings(a, 1)
    send_rows(a, b)
    assert (b.pooled(CELL).good, a.pooled(CELL).good) == (101, 101)


def test_snapshot_is_bounded_and_keeps_recent_ratings():
    """An unbounded snapshot would fill the log; old ratings would mislead."""
    evidence = Evidence("a")
    count_ratings(evidence, 3_000)
    count_ratings(evidence, 0, 1_500)
    for number in range(2 * evidence_snapshot.MAX_ROWS):
        evidence.count(Cell("m@1", f"kind-{number}"), good=1)
    for number in range(600):
        evidence.merge(f"n{number}", CELL, Tally(good=1).values())
    snapshot = take_snapshot(evidence, "s")
    assert len(json.dumps(encode_record(snapshot))) < 14_000
    new = Evidence("b")
    apply_snapshot(snapshot, new)
    expected = evidence.bounds(CELL, 0.5, offline=0)
    assert abs(new.bounds(CELL, 0.5).mean - expected.mean) < 0.02


class FakeFeed:
    """A log feed, writer and timers in one."""

    def __init__(self):
        """Creates an empty log."""
        self.time, self.subscribers, self.records = 0.0, [], []

    def now(self):
        """Returns the time."""
        return self.time

    def subscribe(self, call):
        """Adds a subscriber."""
        self.subscribers.append(call)

    def confirmed_age(self):
        """Returns 0, as the feed is always up to date."""
        return 0.0

    def append(self, record):
        """Appends a record and passes it to the subscribers."""
        self.records.append(record)
        for subscriber in self.subscribers:
            subscriber(LogEntry(offset=len(self.records), record=record))
        return Ok(len(self.records))


def test_only_the_holder_of_the_lease_writes_and_not_too_often():
    """If every node wrote, appends would grow with the size of the fleet."""
    feed = FakeFeed()
    nodes = [Evidence(name) for name in ("a", "b")]
    writers = [
        EvidenceSnapshotWriter(e, feed, feed, feed, lambda e=e: e is nodes[0])
        for e in nodes
    ]
    count_ratings(nodes[1], 10)
    send_rows(nodes[1], nodes[0])
    for _ in range(60):
        feed.time += FIRST_SNAPSHOT_S / 10
        for writer in writers:
            writer.check()
    assert len(feed.records) == 1
    exchange = EvidenceExchange(nodes[1], FakeMembers(2))
    count_ratings(nodes[1], 1)
    exchange.mark_changed(CELL)
    exchange.outgoing()
    assert nodes[1].incarnation == "b+1"
    send_rows(nodes[1], nodes[0])
    assert nodes[0].pooled(CELL).good == 11


def test_snapshot_alone_withdraws_nothing():
    """A snapshot has no servers, so one bad server looks like a bad version."""
    rollout = Rollout("r", "mid", "1", "2", (RolloutStage(1.0, 20, 2),))
    policy = Policy(catalog_of({"mid@1": 1, "mid@2": 1}, [rollout]))
    policy.step(rollout, 0)
    old = Evidence("old")
    bad = Cell("mid@2", "log")
    old.count(bad, started=20, complete=20, bad=20)
    snapshot = take_snapshot(old, "s")
    apply_snapshot(snapshot, policy.evidence)
    policy.watch.check()
    assert policy.watch.relative_log_ratio(version_id("mid@2")) > 1
    assert not policy.view.withdrawn
    for cell in (bad, Cell("mid@2", server="mid@2:0")):
        policy.evidence.count(cell, complete=20, bad=20)
    policy.watch.check()
    assert policy.view.withdrawn
