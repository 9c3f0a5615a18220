"""Writes pooled evidence to the log and reads it at the start of a node.

The holder of slot 65 writes. Two that write at the same time do no harm, see
`state/evidence_snapshot.py`.
"""

import uuid
from collections.abc import Callable

from amaranthlug.coordination.peers import LogFeed, RecordWriter
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.evidence import Evidence
from amaranthlug.state.evidence_snapshot import adopt_snapshot, take_snapshot
from amaranthlug.state.records import EvidenceSnapshot, LogEntry

PERIOD_S = 240.0
"""Seconds between snapshots. A fleet that is replaced within this time loses
at most so much; records must last several times as long on the log."""

FIRST_S = 30.0
"""Seconds to a node's first snapshot, so that a young fleet keeps something."""

CHECK_S = 5.0
"""Period of the check, in seconds."""

CONFIRMED_S = 3.0
"""Confirmed age of the log above which no snapshot is written, in seconds."""


class EvidenceSnapshotWriter:
    """Keeps evidence on the log."""

    def __init__(
        self,
        evidence: Evidence,
        feed: LogFeed,
        writer: RecordWriter,
        timers: TimerService,
        may_write: Callable[[], bool],
    ):
        """Subscribes to the feed; `start` begins the periodic check.

        `may_write` tells whether this node holds the lease of slot 65.
        """
        self.evidence = evidence
        self.feed = feed
        self.writer = writer
        self.timers = timers
        self.may_write = may_write
        self.due_at = timers.now() + FIRST_S
        feed.subscribe(self.apply)

    def start(self, timers: TimerService) -> None:
        """Subscribes the check to the timer service."""
        timers.every("evidence_snapshots", CHECK_S, self.check)

    def apply(self, entry: LogEntry) -> None:
        """Merges a snapshot of any node."""
        if isinstance(entry.record, EvidenceSnapshot):
            adopt_snapshot(self.evidence, entry.record)
            if self.feed.confirmed_age() < CONFIRMED_S:
                self.due_at = self.timers.now() + PERIOD_S

    def check(self) -> None:
        """Writes a snapshot when one is due and this node may."""
        if self.timers.now() < self.due_at or not self.may_write():
            return
        if self.feed.confirmed_age() > CONFIRMED_S:
            return
        record_id = f"evidence-{uuid.uuid4().hex}"
        snapshot = take_snapshot(self.evidence, record_id)
        if snapshot.rows and self.writer.append(snapshot).is_ok():
            self.due_at = self.timers.now() + PERIOD_S
