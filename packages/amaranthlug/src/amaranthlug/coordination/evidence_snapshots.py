"""Writes snapshots of the evidence to the log and merges them on all nodes.

The holder of slot 65 writes them. Snapshots of two simultaneous writers count
nothing twice, as `state/evidence_snapshot.py` explains.
"""

import uuid
from collections.abc import Callable

from amaranthlug.coordination.peers import LogFeed, RecordWriter
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.evidence import Evidence
from amaranthlug.state.evidence_snapshot import adopt_snapshot, take_snapshot
from amaranthlug.state.records import EvidenceSnapshot, LogEntry

SNAPSHOT_PERIOD_S = 240.0
"""Time between snapshots, in seconds. A fleet that is replaced at once loses at
most the evidence of this period. The log must keep records several times as
long."""

FIRST_SNAPSHOT_S = 30.0
"""Time from the start of a node to its first snapshot, in seconds. It is short,
so that a new fleet soon has a snapshot."""

CHECK_PERIOD_S = 5.0
"""Period of the check, in seconds."""

MAX_CONFIRMED_AGE_S = 3.0
"""Confirmed age of the log above which it counts as unreachable and no snapshot
is written, in seconds."""


class EvidenceSnapshotWriter:
    """Writes evidence snapshots periodically and merges all of them."""

    def __init__(
        self,
        evidence: Evidence,
        feed: LogFeed,
        writer: RecordWriter,
        timers: TimerService,
        may_write: Callable[[], bool],
    ):
        """Subscribes to the feed; `start` begins the periodic check.

        Args:
            evidence: Counters pooled over all nodes.
            feed: The log.
            writer: Appends the snapshots.
            timers: Source of the time.
            may_write: Returns whether this node holds the lease of slot 65.
        """
        self.evidence = evidence
        self.feed = feed
        self.writer = writer
        self.timers = timers
        self.may_write = may_write
        self.due_at = timers.now() + FIRST_SNAPSHOT_S
        feed.subscribe(self.apply)

    def start(self, timers: TimerService) -> None:
        """Starts the periodic check."""
        timers.every("evidence_snapshots", CHECK_PERIOD_S, self.check)

    def apply(self, entry: LogEntry) -> None:
        """Merges a snapshot from the log, whichever node wrote it."""
        if isinstance(entry.record, EvidenceSnapshot):
            adopt_snapshot(self.evidence, entry.record)
            if self.feed.confirmed_age() < MAX_CONFIRMED_AGE_S:
                self.due_at = self.timers.now() + SNAPSHOT_PERIOD_S

    def check(self) -> None:
        """Writes a snapshot if one is due and this node may write."""
        if self.timers.now() < self.due_at or not self.may_write():
            return
        if self.feed.confirmed_age() > MAX_CONFIRMED_AGE_S:
            return
        record_id = f"evidence-{uuid.uuid4().hex}"
        snapshot = take_snapshot(self.evidence, record_id)
        if snapshot.rows and self.writer.append(snapshot).is_ok():
            self.due_at = self.timers.now() + SNAPSHOT_PERIOD_S
