"""Writes the configuration to the log again before its records expire.

One node at a time does it: the first live one in rendezvous order. Two that
believe to be first write the same state twice, which is harmless, as a
complete reader takes nothing from a snapshot.
"""

import uuid
from collections.abc import Callable

from amaranthlug.coordination.peers import (
    LogFeed,
    MemberView,
    RecordWriter,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.publications import ConfigState
from amaranthlug.state.records import ConfigSnapshot, LogEntry
from amaranthlug.state.rendezvous import rendezvous_order

SNAPSHOT_PERIOD_S = 300.0
"""Seconds between snapshots; the log must keep records several times as long,
so that a missed snapshot or an outage of the log does no harm."""

SNAPSHOT_RECORDS = 100_000
"""Records after which a snapshot is written before the period ends, because a
log may bound what it keeps by count."""

CHECK_S = 5.0
"""Period of the check, in seconds."""

CONFIRMED_S = 3.0
"""Confirmed age above which a node writes no snapshot, in seconds."""


class SnapshotWriter:
    """Writes snapshots periodically."""

    def __init__(
        self,
        feed: LogFeed,
        writer: RecordWriter,
        members: MemberView,
        timers: TimerService,
        state: Callable[[], ConfigState],
        may_write: Callable[[], bool] | None = None,
        period_s: float = SNAPSHOT_PERIOD_S,
    ):
        """Subscribes to the feed; `start` begins the periodic check.

        Args:
            feed: The log.
            writer: Appends the snapshot.
            members: Decides whose turn it is without a lease.
            timers: Time and periodic calls.
            state: Returns the folded configuration.
            may_write: Tells whether this node holds the lease of slot 65;
                rendezvous order decides when absent.
            period_s: Seconds between snapshots.
        """
        self.feed = feed
        self.writer = writer
        self.members = members
        self.timers = timers
        self.state = state
        self.may_write = may_write or self.is_my_turn
        self.period_s = period_s
        # The age of the last snapshot is unknown to a node that starts.
        self.seen_at = timers.now() - period_s / 2
        self.seen_position = -1
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Subscribes the check to the timer service."""
        period_s = min(CHECK_S, self.period_s / 4)
        self.timers.every("snapshots", period_s, self.check)

    def apply(self, entry: LogEntry) -> None:
        """Notes snapshots of any node."""
        if not isinstance(entry.record, ConfigSnapshot):
            return
        self.seen_position = entry.offset
        if self.feed.confirmed_age() < CONFIRMED_S:
            self.seen_at = self.timers.now()

    def is_my_turn(self) -> bool:
        """Tells whether this node should write, by rendezvous order.

        Each later node waits a quarter of a period longer, so that a first
        node that cannot write is replaced.
        """
        me = self.members.me.incarnation
        live = {member.incarnation for member in self.members.live()} | {me}
        rank = rendezvous_order("snapshot", live).index(me)
        return rank == 0 or self.age_s() >= self.period_s * (1 + rank / 4)

    def age_s(self) -> float:
        """Returns seconds since a snapshot was last seen."""
        return self.timers.now() - self.seen_at

    def is_due(self) -> bool:
        """Tells whether a snapshot should be written now."""
        state = self.state()
        if not state.is_settled or state.position < 0:
            return False
        if self.feed.confirmed_age() > CONFIRMED_S:
            return False
        records = state.position - self.seen_position
        return self.age_s() >= self.period_s or records >= SNAPSHOT_RECORDS

    def check(self) -> None:
        """Writes a snapshot when one is due and it is this node's turn."""
        if not self.is_due() or not self.may_write():
            return
        snapshot = self.state().snapshot(f"snapshot-{uuid.uuid4().hex}")
        if self.writer.append(snapshot).is_ok():
            self.seen_at = self.timers.now()
            self.seen_position = self.state().position
