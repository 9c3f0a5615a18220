"""Holds copies of other nodes' bills and appends them if the owner is gone."""

import dataclasses
import time
import uuid
from collections.abc import Callable
from typing import Any

from amaranthlug.coordination.bill_holder import decode_items
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

CHECK_PERIOD_S = 2.0
"""Period of the check for gone owners, in seconds."""

MAX_LOG_AGE_S = 3.0
"""Maximum age of the last log read for appends, in seconds. With an older one
the owner's last chunk may not have been read yet."""

SECOND_HOLDER_DELAY_S = 10.0
"""Extra delay of the second copy holder, in seconds; by then the first one has
usually appended the entries."""

OPEN_ENTRY_DELAY_S = 60.0
"""Delay before a request without an end is billed as cut, in seconds. A
partitioned owner may still append the actual bill, and the first one counts."""

CHUNK_ENTRIES = 500
"""Maximum number of entries in one record."""


@dataclasses.dataclass
class OwnerCopies:
    """Copies of one owner's entries.

    Attributes:
        rank: 0 for the first copy holder, 1 for the second.
        ended: Bills of ended requests, by request id.
        open: Bills that apply if the request never ends, by request id.
        gone_at: Monotonic time when the owner was first found gone.
        queued_ids: Ids of requests that this node queued for the log.
    """

    rank: int
    ended: dict[str, BillEntry] = dataclasses.field(default_factory=dict)
    open: dict[str, BillEntry] = dataclasses.field(default_factory=dict)
    gone_at: float | None = None
    queued_ids: set[str] = dataclasses.field(default_factory=set)

    def drop(self, request_id: str) -> int:
        """Removes a request and returns the number of entries removed."""
        self.queued_ids.discard(request_id)
        found = self.ended.pop(request_id, None) is not None
        return found + (self.open.pop(request_id, None) is not None)


class BillCopies:
    """Holds copies until the log shows them or their owner drops them."""

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
        """Registers handlers; `start` begins the check for gone owners."""
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
        """Schedules the check for gone owners."""
        self.timers.every(
            "bill_copies", CHECK_PERIOD_S, self.append_for_gone_owners
        )

    def on_copy(self, message: dict[str, Any]) -> dict[str, Any]:
        """Stores copies; refuses them at the bound."""
        if self.count >= self.bound:
            self.metrics.incr("bills.copies_full")
            return {"ok": False}
        copies = self.owners.setdefault(
            message["incarnation"], OwnerCopies(message["rank"])
        )
        copies.rank = message["rank"]
        for is_open, entry in decode_items(message["entries"]):
            self.add(copies, entry, is_open)
        for request_id in message.get("done", ()):
            self.count -= copies.drop(request_id)
        return {"ok": True}

    def add(self, copies: OwnerCopies, entry: BillEntry, is_open: bool) -> None:
        """Stores one entry; an ended one replaces the open one."""
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
        """Drops copies of entries that the log shows, whoever appended them."""
        if not isinstance(entry.record, BillChunk):
            return
        # Only this owner's, since a repeated key may have another owner's too.
        copies = self.owners.get(entry.record.incarnation)
        if copies is None:
            return
        for bill in entry.record.entries:
            self.count -= copies.drop(bill.request_id)

    def append_for_gone_owners(self) -> None:
        """Appends entries of owners that are gone."""
        is_log_fresh = self.feed.confirmed_age() <= MAX_LOG_AGE_S
        for incarnation, copies in list(self.owners.items()):
            if not self.is_gone(incarnation):
                copies.gone_at = None
                continue
            if copies.gone_at is None:
                copies.gone_at = self.timers.now()
            if not copies.ended and not copies.open:
                del self.owners[incarnation]
            elif is_log_fresh:
                self.append_due_entries(incarnation, copies)

    def is_gone(self, incarnation: str) -> bool:
        """Returns whether an owner is gone or has left."""
        member = self.members.by_incarnation(incarnation)
        return member is None or member.state in (
            MemberState.GONE,
            MemberState.LEFT,
        )

    def append_due_entries(self, incarnation: str, copies: OwnerCopies) -> None:
        """Queues entries that are due; `apply` drops them later."""
        assert copies.gone_at is not None
        overdue_s = self.timers.now() - copies.gone_at
        overdue_s -= SECOND_HOLDER_DELAY_S * copies.rank
        due: list[BillEntry] = []
        if overdue_s >= 0:
            due += copies.ended.values()
        if overdue_s >= OPEN_ENTRY_DELAY_S:
            due += copies.open.values()
        due = [e for e in due if e.request_id not in copies.queued_ids]
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
            copies.queued_ids |= {e.request_id for e in chunk.entries}
            self.metrics.incr("bills.appended_for_gone", len(chunk.entries))
