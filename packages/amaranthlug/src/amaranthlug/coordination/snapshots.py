"""Writes snapshots of the configuration before its records expire on the log.

One node writes at a time: the holder of slot 65, or without leases the first
live node in rendezvous order. If two nodes write, they write the same state,
which does no harm, because a reader without gaps ignores snapshots.
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
"""Time between snapshots, in seconds. The log must keep records several times
as long, so that a missed snapshot or an outage of the log does no harm."""

MAX_RECORDS_BETWEEN_SNAPSHOTS = 100_000
"""Records after which a snapshot is written before the period ends, because a
log may limit the number of records that it keeps."""

CHECK_PERIOD_S = 5.0
"""Period of the check, in seconds."""

MAX_CONFIRMED_AGE_S = 3.0
"""Confirmed age above which the log counts as unreachable and no snapshot is
written, in seconds."""


class SnapshotWriter:
    """Writes configuration snapshots periodically."""

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
            members: Live nodes, for the rendezvous order.
            timers: Source of the time and of periodic calls.
            state: Returns the configuration computed from the log.
            may_write: Returns whether this node holds the lease of slot 65;
                if None, the rendezvous order decides.
            period_s: Time between snapshots, in seconds.
        """
        self.feed = feed
        self.writer = writer
        self.members = members
        self.timers = timers
        self.state = state
        self.may_write = may_write or self.is_my_turn
        self.period_s = period_s
        # A node that starts does not know the age of the last snapshot.
        self.last_snapshot_at = timers.now() - period_s / 2
        self.last_snapshot_position = -1
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Starts the periodic check."""
        period_s = min(CHECK_PERIOD_S, self.period_s / 4)
        self.timers.every("snapshots", period_s, self.check)

    def apply(self, entry: LogEntry) -> None:
        """Records when and where the last snapshot was written."""
        if not isinstance(entry.record, ConfigSnapshot):
            return
        self.last_snapshot_position = entry.offset
        if self.feed.confirmed_age() < MAX_CONFIRMED_AGE_S:
            self.last_snapshot_at = self.timers.now()

    def is_my_turn(self) -> bool:
        """Returns whether this node should write, by rendezvous order.

        Each node waits a quarter of a period longer than the one before it,
        and thus takes over if the earlier nodes cannot write.
        """
        me = self.members.me.incarnation
        live = {member.incarnation for member in self.members.live()} | {me}
        rank = rendezvous_order("snapshot", live).index(me)
        return rank == 0 or self.age_s() >= self.period_s * (1 + rank / 4)

    def age_s(self) -> float:
        """Returns the seconds since the last snapshot."""
        return self.timers.now() - self.last_snapshot_at

    def is_due(self) -> bool:
        """Returns whether a snapshot should be written now."""
        state = self.state()
        if not state.is_settled or state.position < 0:
            return False
        if self.feed.confirmed_age() > MAX_CONFIRMED_AGE_S:
            return False
        records = state.position - self.last_snapshot_position
        return (
            self.age_s() >= self.period_s
            or records >= MAX_RECORDS_BETWEEN_SNAPSHOTS
        )

    def check(self) -> None:
        """Writes a snapshot if one is due and it is this node's turn."""
        if not self.is_due() or not self.may_write():
            return
        snapshot = self.state().snapshot(f"snapshot-{uuid.uuid4().hex}")
        if self.writer.append(snapshot).is_ok():
            self.last_snapshot_at = self.timers.now()
            self.last_snapshot_position = self.state().position
