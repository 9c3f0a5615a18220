"""Copies of other nodes' bills, appended when their owner is gone."""

import dataclasses
import time
import uuid
from collections.abc import Callable
from typing import Any

from amaranthlug.coordination.bill_holder import items_of
from amaranthlug.coordination.peers import (
    LogFeed,
    MemberView,
    PeerHandlers,
    RecordWriter,
)
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.members import MemberState
from amaranthlug.state.records import BillChunk, BillEntry, LogEntry

PERIOD_S = 2.0
"""Period in which gone owners are looked for, in seconds."""

LOG_FRESH_S = 3.0
"""Entries are appended only when the log was read within this, in seconds; the
owner's last chunk may not have been read yet otherwise."""

SECOND_DELAY_S = 10.0
"""Delay of the second copy holder, in seconds, which usually makes its append
needless."""

OPEN_DELAY_S = 60.0
"""Delay before a request without an end is billed as cut, in seconds. An owner
that was only cut off may still write the true bill; the first one counts."""

CHUNK_ENTRIES = 500
"""Entries in one record."""


@dataclasses.dataclass
class OwnerCopies:
    """Copies of one owner's entries.

    Attributes:
        rank: 0 for the first copy holder, 1 for the second.
        gone_at: Monotonic time when the owner was first seen gone.
        written: Request ids that this node has queued for the log.
    """

    rank: int
    ended: dict[str, BillEntry] = dataclasses.field(default_factory=dict)
    open: dict[str, BillEntry] = dataclasses.field(default_factory=dict)
    gone_at: float | None = None
    written: set[str] = dataclasses.field(default_factory=set)

    def drop(self, request_id: str) -> int:
        """Forgets a request and returns the number of entries removed."""
        self.written.discard(request_id)
        found = self.ended.pop(request_id, None) is not None
        return found + (self.open.pop(request_id, None) is not None)


class BillCopies:
    """Holds copies until the log shows them or their owner trims them."""

    def __init__(
        self,
        members: MemberView,
        handlers: PeerHandlers,
        feed: LogFeed,
        writer: RecordWriter,
        timers: TimerService,
        metrics: Metrics,
        bound: int = 200_000,
        wall_s: Callable[[], float] = time.time,
    ):
        """Registers handlers; `start` begins to look for gone owners."""
        self.members = members
        self.feed = feed
        self.writer = writer
        self.timers = timers
        self.metrics = metrics
        self.bound = bound
        self.wall_s = wall_s
        self.owners: dict[str, OwnerCopies] = {}
        self.count = 0
        handlers.register("bill_copy", self.on_copy)
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Subscribes to the timer service."""
        self.timers.every("bill_copies", PERIOD_S, self.review)

    def on_copy(self, message: dict[str, Any]) -> dict[str, Any]:
        """Keeps copies; refuses them at the bound."""
        if self.count >= self.bound:
            self.metrics.incr("bills.copies_full")
            return {"ok": False}
        copies = self.owners.setdefault(
            message["incarnation"], OwnerCopies(message["rank"])
        )
        copies.rank = message["rank"]
        for is_open, entry in items_of(message["entries"]):
            self.add(copies, entry, is_open)
        for request_id in message.get("done", ()):
            self.count -= copies.drop(request_id)
        return {"ok": True}

    def add(self, copies: OwnerCopies, entry: BillEntry, is_open: bool) -> None:
        """Keeps one entry; an ended one replaces the open one."""
        request_id = entry.request_id
        if is_open:
            if request_id in copies.ended or request_id in copies.open:
                return
            copies.open[request_id] = entry
            self.count += 1
            return
        self.count -= copies.open.pop(request_id, None) is not None
        self.count += request_id not in copies.ended
        copies.ended[request_id] = entry

    def apply(self, entry: LogEntry) -> None:
        """Drops what the log shows, whoever appended it."""
        if not isinstance(entry.record, BillChunk):
            return
        # Entries of one owner only; a repeated key may have copies of another.
        copies = self.owners.get(entry.record.incarnation)
        if copies is None:
            return
        for bill in entry.record.entries:
            self.count -= copies.drop(bill.request_id)

    def review(self) -> None:
        """Appends entries of owners that are gone."""
        fresh = self.feed.confirmed_age() <= LOG_FRESH_S
        for incarnation, copies in list(self.owners.items()):
            if not self.is_gone(incarnation):
                copies.gone_at = None
                continue
            if copies.gone_at is None:
                copies.gone_at = self.timers.now()
            if not copies.ended and not copies.open:
                del self.owners[incarnation]
            elif fresh:
                self.append(incarnation, copies)

    def is_gone(self, incarnation: str) -> bool:
        """Tells whether an owner is gone or has left."""
        member = self.members.by_incarnation(incarnation)
        return member is None or member.state in (
            MemberState.GONE,
            MemberState.LEFT,
        )

    def append(self, incarnation: str, copies: OwnerCopies) -> None:
        """Queues what is due; it is dropped when the log shows it."""
        assert copies.gone_at is not None
        silence = self.timers.now() - copies.gone_at
        silence -= SECOND_DELAY_S * copies.rank
        due: list[BillEntry] = []
        if silence >= 0:
            due += copies.ended.values()
        if silence >= OPEN_DELAY_S:
            due += copies.open.values()
        due = [e for e in due if e.request_id not in copies.written]
        for start in range(0, len(due), CHUNK_ENTRIES):
            chunk = BillChunk(
                id=uuid.uuid4().hex,
                at=self.wall_s(),
                incarnation=incarnation,
                sequence=-1,
                entries=due[start : start + CHUNK_ENTRIES],
            )
            if not self.writer.enqueue(chunk):
                return
            copies.written |= {e.request_id for e in chunk.entries}
            self.metrics.incr("bills.appended_for_gone", len(chunk.entries))
