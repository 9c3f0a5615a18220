"""Guards evidence on the log: counted twice, or lost with the last node."""

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


def learn(evidence, good, bad=0):
    """Counts ratings of this node."""
    evidence.count(CELL, started=good + bad, good=good, bad=bad)


def tell(sender, *receivers):
    """Sends all rows of a node to others."""
    for receiver in receivers:
        for segment, cells in list(sender.rows.items()):
            for cell, tally in cells.items():
                receiver.merge(segment, cell, tally.values())


def adopt(snapshot, *nodes):
    """Folds a snapshot on nodes, after its way through the log."""
    raw = json.loads(json.dumps(encode_record(snapshot)))
    record = decode_record(0, raw).record
    for node in nodes:
        adopt_snapshot(node, record)


def test_a_fleet_that_is_replaced_at_once_keeps_its_evidence():
    """All VMs may go together, and nobody is left to tell new nodes."""
    old = Evidence("old")
    for _ in range(3):
        learn(old, 90, 10)
        snapshot = take_snapshot(old, "s")
        new = Evidence("new")
        adopt(snapshot, new)
        assert new.pooled(CELL) == old.pooled(CELL)
        assert new.bounds(CELL, 0.5) == old.bounds(CELL, 0.5)
        old = new
    assert old.pooled(CELL).good == 270


def test_rows_in_a_snapshot_are_not_counted_again():
    """A peer's sweep would double what the snapshot has told already."""
    a, b = Evidence("a"), Evidence("b")
    learn(a, 40)
    learn(b, 60)
    tell(b, a)
    before = {name: dict(cells) for name, cells in a.rows.items()}
    snapshot = take_snapshot(a, "s")
    new = Evidence("c")
    adopt(snapshot, a, b, new)
    for segment, cells in before.items():
        new.merge(segment, CELL, cells[CELL].values())
    assert new.pooled(CELL).good == 100
    learn(b, 7)
    learn(new, 5)
    tell(b, a, new)
    tell(new, a, b)
    tell(a, new, b)
    assert {n.pooled(CELL).good for n in (a, new)} == {112}
    assert b.pooled(CELL).good <= 112


def test_two_writers_at_once_count_nothing_twice():
    """Two nodes may both believe that they hold the lease of slot 65."""
    a, b = Evidence("a"), Evidence("b")
    learn(a, 40)
    tell(a, b)
    learn(b, 60)
    one, two = take_snapshot(a, "s1"), take_snapshot(b, "s2")
    for order in ((one, two), (two, one), (one, two, one)):
        late = Evidence("late")
        for snapshot in order:
            adopt(snapshot, late)
        tell(b, late)
        assert late.pooled(CELL).good == 100
    for snapshot in (one, two):
        adopt(snapshot, a, b)
    learn(a, 1)
    tell(a, b)
    assert (b.pooled(CELL).good, a.pooled(CELL).good) == (101, 101)


def test_snapshot_is_bounded_and_keeps_recent_ratings():
    """A snapshot without a bound would fill the log; an old mean misleads."""
    evidence = Evidence("a")
    learn(evidence, 3_000)
    learn(evidence, 0, 1_500)
    for number in range(2 * evidence_snapshot.MAX_ROWS):
        evidence.count(Cell("m@1", f"kind-{number}"), good=1)
    for number in range(600):
        evidence.merge(f"n{number}", CELL, Tally(good=1).values())
    snapshot = take_snapshot(evidence, "s")
    assert len(json.dumps(encode_record(snapshot))) < 14_000
    new = Evidence("b")
    adopt(snapshot, new)
    known = evidence.bounds(CELL, 0.5, offline=0)
    assert abs(new.bounds(CELL, 0.5).mean - known.mean) < 0.02


class Feed:
    """A log feed, writer and timers in one."""

    def __init__(self):
        """Creates an empty log."""
        self.time, self.folds, self.records = 0.0, [], []

    def now(self):
        """Returns the time."""
        return self.time

    def subscribe(self, call):
        """Adds a fold."""
        self.folds.append(call)

    def confirmed_age(self):
        """Is always up to date."""
        return 0.0

    def append(self, record):
        """Appends a record and folds it."""
        self.records.append(record)
        for fold in self.folds:
            fold(LogEntry(offset=len(self.records), record=record))
        return Ok(len(self.records))


def test_only_the_holder_of_the_lease_writes_and_not_too_often():
    """Each node that writes would multiply the appends by the fleet's size."""
    feed = Feed()
    nodes = [Evidence(name) for name in ("a", "b")]
    keepers = [
        EvidenceSnapshotWriter(e, feed, feed, feed, lambda e=e: e is nodes[0])
        for e in nodes
    ]
    learn(nodes[1], 10)
    tell(nodes[1], nodes[0])
    for _ in range(60):
        feed.time += FIRST_SNAPSHOT_S / 10
        for keeper in keepers:
            keeper.check()
    assert len(feed.records) == 1
    pool = EvidenceExchange(nodes[1], FakeMembers(2))
    learn(nodes[1], 1)
    pool.mark_changed(CELL)
    pool.outgoing()
    assert nodes[1].incarnation == "b+1"
    tell(nodes[1], nodes[0])
    assert nodes[0].pooled(CELL).good == 11


def test_a_snapshot_alone_withdraws_nothing():
    """It has no servers, so one bad server would look like a bad version."""
    rollout = Rollout("r", "mid", "1", "2", (RolloutStage(1.0, 20, 2),))
    policy = Policy(catalog_of({"mid@1": 1, "mid@2": 1}, [rollout]))
    policy.step(rollout, 0)
    old = Evidence("old")
    bad = Cell("mid@2", "log")
    old.count(bad, started=20, complete=20, bad=20)
    snapshot = take_snapshot(old, "s")
    adopt(snapshot, policy.evidence)
    policy.watch.check()
    assert policy.watch.relative_log_ratio(version_id("mid@2")) > 1
    assert not policy.view.withdrawn
    for cell in (bad, Cell("mid@2", server="mid@2:0")):
        policy.evidence.count(cell, complete=20, bad=20)
    policy.watch.check()
    assert policy.view.withdrawn
