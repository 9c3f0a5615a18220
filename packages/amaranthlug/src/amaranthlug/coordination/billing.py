"""Bills of this node: copied to two peers, then appended to the log."""

import time
import uuid
from collections.abc import Callable
from typing import Any

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.bill_copies import CHUNK_ENTRIES, BillCopies
from amaranthlug.coordination.bill_holder import (
    GATHER_S,
    CopyHolder,
    Item,
    rows_of,
)
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

AVOID_S = 5.0
"""Time for which a peer that missed a copy is not chosen, in seconds."""

OPEN_HOLD_S = 0.01
"""Period in which open entries are sent, in seconds. With 0.05 s and one period
more, killed nodes left requests without a bill; sending each at once costs a
message per request."""


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
        gather_s: float = GATHER_S,
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
        self.gather_s = gather_s
        self.ended: dict[str, BillEntry] = {}
        self.opened: dict[str, BillEntry] = {}
        self.opened_now: list[str] = []
        self.queued: dict[str, int] = {}
        self.outstanding: set[int] = set()
        self.sequence = 0
        self.last_chunk = timers.now()
        self.holders: dict[str, CopyHolder] = {}
        self.avoided: dict[str, float] = {}
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Subscribes to the timer service."""
        self.timers.every("bills", self.timings.bill_chunk_s, self.tick)
        self.timers.every("open_bills", OPEN_HOLD_S, self.send_opened)

    def may_admit(self) -> Result[None, Refusal]:
        """Refuses at the bound of bills that wait for the log."""
        waiting = len(self.ended) + len(self.opened) + self.copies.count
        self.metrics.gauge("bills.waiting", waiting)
        if waiting >= self.bound:
            return Err(billing_backlog(self.bound))
        return Ok(None)

    # Life of an entry

    def open(self, entry: BillEntry) -> None:
        """Keeps an entry to copy unless its request ends within a moment.

        Args:
            entry: Bill of the request if this node dies: outcome `cut` and
                the cost of the prompt.
        """
        if entry.request_id in self.ended or entry.request_id in self.opened:
            return
        self.opened[entry.request_id] = entry
        self.opened_now.append(entry.request_id)

    def send_opened(self) -> None:
        """Copies the entries that were opened since the last call."""
        due, self.opened_now = self.opened_now, []
        entries = [self.opened[i] for i in due if i in self.opened]
        if entries:
            for holder in self.choose_holders():
                for entry in entries:
                    holder.add((True, entry))

    def close(self, request_id: str) -> None:
        """Ends an open entry without a bill: the request certainly not ran."""
        if self.opened.pop(request_id, None) is not None:
            self.add_done([request_id])

    def add_done(self, request_ids: list[str]) -> None:
        """Tells the holders which requests need no copy any more.

        A message that is lost does no harm: holders drop what the log shows.
        """
        for holder in self.holders.values():
            holder.add_done(request_ids)

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
                i: before.get(i) or CopyHolder(self.send, i, self.gather_s)
                for i in chosen
            }
            for incarnation in sorted(self.holders.keys() - before.keys()):
                holder = self.holders[incarnation]
                for entry in list(self.opened.values()):
                    holder.add((True, entry))
                for entry in list(self.ended.values()):
                    holder.add((False, entry))
        return list(self.holders.values())

    def send(
        self, incarnation: str, items: list[Item], done: list[str]
    ) -> bool:
        """Sends one message with copies to a holder."""
        ranks = list(self.holders)
        rank = ranks.index(incarnation) if incarnation in ranks else 1
        message: dict[str, Any] = {
            "to": incarnation,
            "rank": rank,
            "entries": rows_of(items),
        }
        if done:
            message["done"] = done
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
        for holder in self.holders.values():
            holder.flush_done()
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
        logged = []
        for bill in chunk.entries:
            self.queued.pop(bill.request_id, None)
            if self.ended.pop(bill.request_id, None) is not None:
                logged.append(bill.request_id)
        self.add_done(logged)

    def flush(self, timeout_s: float) -> bool:
        """Appends all entries at shutdown; False if some wait at the limit."""
        until = self.timers.now() + timeout_s
        while self.ended and self.timers.now() < until:
            self.append_chunks()
            gevent.sleep(0.05)
        return not self.ended
