"""Bills of this node: copied to two peers, then appended to the log."""

import time
import uuid
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import AsyncResult
from result import Err, Ok, Result

from amaranthlug.coordination.bill_copies import CHUNK_ENTRIES, BillCopies
from amaranthlug.coordination.peers import (
    LogFeed,
    MemberView,
    PeerLink,
    RecordWriter,
)
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.slot_refusals import billing_backlog
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.leases import choose_successors
from amaranthlug.state.members import MemberState
from amaranthlug.state.records import BillChunk, BillEntry, LogEntry
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.settings import Timings

APPENDS_PER_S = 40
"""Chunks that all nodes together append in a second."""

OUTSTANDING = 8
"""Chunks queued at a time; during an outage the rest waits as entries."""

COPY_S = 1.0
"""Limit of one message with copies, in seconds."""

BATCH_ENTRIES = 500
"""Entries in one message with copies."""

AVOID_S = 5.0
"""Time for which a peer that missed a copy is not chosen, in seconds."""

Item = tuple[bool, BillEntry]
"""An entry and whether it is open, that is without an end."""


class CopyHolder:
    """Sends entries to one peer; what arrives during a message shares the next.

    One message at a time keeps the number of messages far below the number of
    requests when these are many.
    """

    def __init__(
        self, send: Callable[[str, list[Item]], bool], incarnation: str
    ):
        """Takes the function that sends one message."""
        self.send = send
        self.incarnation = incarnation
        self.waiting: list[tuple[Item, AsyncResult]] = []
        self.busy = False

    def add(self, item: Item) -> AsyncResult:
        """Queues an entry; the result tells whether the peer has it."""
        result = AsyncResult()
        self.waiting.append((item, result))
        if not self.busy:
            self.busy = True
            gevent.spawn(self.run)
        return result

    def run(self) -> None:
        """Sends until nothing waits."""
        try:
            while self.waiting:
                batch = self.waiting[:BATCH_ENTRIES]
                del self.waiting[:BATCH_ENTRIES]
                sent = self.send(self.incarnation, [item for item, _ in batch])
                for _, result in batch:
                    result.set(sent)
        finally:
            self.busy = False


class LogBiller:
    """Implements `Biller` over copies at peers and the log."""

    def __init__(
        self,
        members: MemberView,
        link: PeerLink,
        feed: LogFeed,
        writer: RecordWriter,
        copies: BillCopies,
        timers: TimerService,
        metrics: Metrics,
        timings: Timings,
        bound: int = 200_000,
        wall_s: Callable[[], float] = time.time,
    ):
        """Subscribes to the feed; `start` begins to append."""
        self.members = members
        self.me = members.me
        self.link = link
        self.writer = writer
        self.copies = copies
        self.timers = timers
        self.metrics = metrics
        self.timings = timings
        self.bound = bound
        self.wall_s = wall_s
        self.ended: dict[str, BillEntry] = {}
        self.opened: dict[str, BillEntry] = {}
        self.queued: dict[str, int] = {}
        self.outstanding: set[int] = set()
        self.closed: list[str] = []
        self.sequence = 0
        self.last_chunk = timers.now()
        self.holders: dict[str, CopyHolder] = {}
        self.avoided: dict[str, float] = {}
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Subscribes to the timer service."""
        self.timers.every("bills", self.timings.bill_chunk_s, self.tick)

    def may_admit(self) -> Result[None, Refusal]:
        """Refuses at the bound of bills that wait for the log."""
        waiting = len(self.ended) + len(self.opened) + self.copies.count
        self.metrics.gauge("bills.waiting", waiting)
        if waiting >= self.bound:
            return Err(billing_backlog(self.bound))
        return Ok(None)

    # Life of an entry

    def open(self, entry: BillEntry) -> None:
        """Copies an entry at dispatch, without waiting.

        Args:
            entry: Bill of the request if this node dies: outcome `cut` and
                the cost of the prompt.
        """
        if entry.request_id in self.ended or entry.request_id in self.opened:
            return
        self.opened[entry.request_id] = entry
        for holder in self.choose_holders():
            holder.add((True, entry))

    def close(self, request_id: str) -> None:
        """Ends an open entry without a bill: the request certainly not ran."""
        if self.opened.pop(request_id, None) is not None:
            self.closed.append(request_id)

    def record(self, entry: BillEntry) -> None:
        """Copies an entry to peers; returns before the caller's end marker."""
        self.opened.pop(entry.request_id, None)
        if entry.request_id in self.ended:
            self.metrics.incr("bills.repeated")
            return
        self.ended[entry.request_id] = entry
        held: set[str] = set()
        failed = self.copy(entry, held)
        if failed and entry.request_id in self.ended:
            # One try with the peers that take the place of the failed ones.
            failed = self.copy(entry, held)
        if failed or not held:
            self.metrics.incr("bills.few_copies")

    def copy(self, entry: BillEntry, held: set[str]) -> bool:
        """Copies an entry to holders without it; True if one failed."""
        holders = [
            h for h in self.choose_holders() if h.incarnation not in held
        ]
        results = [(h, h.add((False, entry))) for h in holders]
        failed = False
        for holder, result in results:
            if result.get():
                held.add(holder.incarnation)
            else:
                failed = True
        return failed

    def choose_holders(self) -> list[CopyHolder]:
        """Returns the two copy holders; a new one first gets everything.

        They are chosen anew only when one is lost or at a tick, since the
        choice looks at all members.
        """
        if self.holders and all(map(self.is_usable, self.holders)):
            return list(self.holders.values())
        return self.choose_anew()

    def is_usable(self, incarnation: str) -> bool:
        """Tells whether a holder is live and did not just miss a copy."""
        member = self.members.by_incarnation(incarnation)
        if member is None or member.state != MemberState.LIVE:
            return False
        return self.avoided.get(incarnation, 0.0) <= self.timers.now()

    def choose_anew(self) -> list[CopyHolder]:
        """Chooses the best two holders and gives a new one all entries."""
        now = self.timers.now()
        self.avoided = {i: t for i, t in self.avoided.items() if t > now}
        live = [
            m for m in self.members.live() if m.incarnation not in self.avoided
        ]
        chosen = choose_successors(self.me, live, self.holders)
        if set(chosen) != set(self.holders):
            before = self.holders
            self.holders = {
                i: before.get(i) or CopyHolder(self.send, i) for i in chosen
            }
            for incarnation in sorted(self.holders.keys() - before.keys()):
                holder = self.holders[incarnation]
                for entry in list(self.opened.values()):
                    holder.add((True, entry))
                for entry in list(self.ended.values()):
                    holder.add((False, entry))
        return list(self.holders.values())

    def send(self, incarnation: str, items: list[Item]) -> bool:
        """Sends one message with copies to a holder."""
        ranks = list(self.holders)
        rank = ranks.index(incarnation) if incarnation in ranks else 1
        message = {
            "to": incarnation,
            "rank": rank,
            "entries": [
                [is_open, msgspec.to_builtins(entry)]
                for is_open, entry in items
            ],
        }
        reply = self.call(incarnation, "bill_copy", message)
        if reply is not None and reply["ok"]:
            return True
        self.metrics.incr("bills.copy_failed")
        self.avoided[incarnation] = self.timers.now() + AVOID_S
        return False

    def call(
        self, incarnation: str, name: str, message: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Sends a message to one process; None when it failed."""
        member = self.members.by_incarnation(incarnation)
        if member is None:
            return None
        reply = self.link.call(member.address, name, message, COPY_S)
        return reply.ok_value if isinstance(reply, Ok) else None

    # Log

    def tick(self) -> None:
        """Trims copies, and appends chunks when their period is over."""
        if self.opened or self.ended:
            self.choose_anew()
        self.send_closed()
        period_s = len(self.members.members()) / APPENDS_PER_S
        if self.timers.now() - self.last_chunk >= period_s:
            self.append_chunks()

    def append_chunks(self) -> None:
        """Queues entries that are not on their way to the log yet."""
        self.last_chunk = self.timers.now()
        due = [e for i, e in self.ended.items() if i not in self.queued]
        for start in range(0, len(due), CHUNK_ENTRIES):
            if len(self.outstanding) >= OUTSTANDING:
                return
            entries = due[start : start + CHUNK_ENTRIES]
            chunk = BillChunk(
                id=uuid.uuid4().hex,
                at=self.wall_s(),
                incarnation=self.me.incarnation,
                sequence=self.sequence,
                entries=entries,
            )
            if not self.writer.enqueue(chunk):
                return
            self.outstanding.add(self.sequence)
            for entry in entries:
                self.queued[entry.request_id] = self.sequence
            self.sequence += 1

    def apply(self, entry: LogEntry) -> None:
        """Forgets entries that the log shows."""
        chunk = entry.record
        if not isinstance(chunk, BillChunk):
            return
        if chunk.incarnation != self.me.incarnation:
            return
        self.outstanding.discard(chunk.sequence)
        for bill in chunk.entries:
            self.queued.pop(bill.request_id, None)
            if self.ended.pop(bill.request_id, None) is not None:
                self.closed.append(bill.request_id)

    def send_closed(self) -> None:
        """Tells the holders which requests need no copy any more.

        A message that is lost does no harm: holders drop what the log shows.
        """
        requests, self.closed = self.closed, []
        if not requests:
            return
        for incarnation in list(self.holders):
            message = {"to": incarnation, "requests": requests}
            gevent.spawn(self.call, incarnation, "bill_done", message)

    def flush(self, timeout_s: float) -> bool:
        """Appends all entries at shutdown; False if some wait at the limit."""
        until = self.timers.now() + timeout_s
        while self.ended and self.timers.now() < until:
            self.append_chunks()
            gevent.sleep(0.05)
        return not self.ended
