"""Copies this node's bills to two peers and appends them to the log."""

import time
import uuid
from collections.abc import Callable
from typing import Any

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.bill_copies import CHUNK_ENTRIES, BillCopies
from amaranthlug.coordination.bill_holder import (
    BATCH_DELAY_S,
    CopyHolder,
    Item,
    encode_items,
)
from amaranthlug.coordination.peers import (
    LogFeed,
    MemberView,
    PeerLink,
    RecordWriter,
)
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.slot_refusals import billing_backlog_refusal
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.leases import choose_successors
from amaranthlug.state.members import MemberState
from amaranthlug.state.records import BillChunk, BillEntry, LogEntry
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.settings import Timings

MAX_APPENDS_PER_S = 40
"""Maximum rate of chunks from all nodes together, per second."""

MAX_OUTSTANDING_CHUNKS = 8
"""Maximum number of queued chunks; during an outage other entries wait
unqueued."""

COPY_TIMEOUT_S = 1.0
"""Timeout of a message with copies, in seconds."""

AVOID_HOLDER_S = 5.0
"""Time for which a peer that failed to store a copy is not chosen, in
seconds."""

OPEN_COPY_PERIOD_S = 0.01
"""Period of sending open entries, in seconds. With 0.05 s and one more period
of delay, killed nodes left requests without a bill. Sending each entry
immediately would cost one message per request."""


class LogBiller:
    """Implements `Biller` over copies at peers and the log.

    Attributes:
        ended: Bills of ended requests that the log does not show yet, by
            request id.
        opened: Provisional bills of requests that still run.
        opened_since_send: Ids of requests opened since `send_opened` ran.
        queued: Request id to the sequence number of its queued chunk.
        outstanding: Sequence numbers of chunks that the log does not show yet.
        holders: The peers that hold copies, by incarnation.
        avoided_until: Incarnation to the monotonic time until which it is not
            chosen as holder.
    """

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
        gather_s: float = BATCH_DELAY_S,
    ):
        """Follows the log; `start` begins to append."""
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
        self.opened_since_send: list[str] = []
        self.queued: dict[str, int] = {}
        self.outstanding: set[int] = set()
        self.sequence = 0
        self.last_append_at = timers.now()
        self.holders: dict[str, CopyHolder] = {}
        self.avoided_until: dict[str, float] = {}
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Schedules the appends and the copies of open entries."""
        self.timers.every("bills", self.timings.bill_chunk_s, self.tick)
        self.timers.every("open_bills", OPEN_COPY_PERIOD_S, self.send_opened)

    def may_admit(self) -> Result[None, Refusal]:
        """Refuses a request if too many bills wait for the log."""
        waiting = len(self.ended) + len(self.opened) + self.copies.count
        self.metrics.gauge("bills.waiting", waiting)
        if waiting >= self.bound:
            return Err(billing_backlog_refusal(self.bound))
        return Ok(None)

    # Entries and their copies

    def open(self, entry: BillEntry) -> None:
        """Stores an entry, to be copied unless its request ends very soon.

        Args:
            entry: Bill that applies if this node dies: outcome `cut` and the
                cost of the prompt.
        """
        if entry.request_id in self.ended or entry.request_id in self.opened:
            return
        self.opened[entry.request_id] = entry
        self.opened_since_send.append(entry.request_id)

    def send_opened(self) -> None:
        """Copies the entries that were opened since the last call."""
        due, self.opened_since_send = self.opened_since_send, []
        entries = [self.opened[i] for i in due if i in self.opened]
        if entries:
            for holder in self.current_holders():
                for entry in entries:
                    holder.add((True, entry))

    def close(self, request_id: str) -> None:
        """Drops the open entry of a request that certainly did not run."""
        if self.opened.pop(request_id, None) is not None:
            self.add_done([request_id])

    def add_done(self, request_ids: list[str]) -> None:
        """Notifies the holders of requests that no longer need a copy.

        A lost message does no harm, as holders also drop what the log shows.
        """
        for holder in self.holders.values():
            holder.add_done(request_ids)

    def record(self, entry: BillEntry) -> None:
        """Stores the bill of an ended request and copies it to peers.

        The caller sends its end marker after this returns.
        """
        self.opened.pop(entry.request_id, None)
        if entry.request_id in self.ended:
            self.metrics.incr("bills.repeated")
            return
        self.ended[entry.request_id] = entry
        has_copy: set[str] = set()
        failed = self.copy_to_holders(entry, has_copy)
        if failed and entry.request_id in self.ended:
            # Retry once with the peers that replace the failed ones.
            failed = self.copy_to_holders(entry, has_copy)
        if failed or not has_copy:
            self.metrics.incr("bills.few_copies")

    def copy_to_holders(self, entry: BillEntry, has_copy: set[str]) -> bool:
        """Copies an entry to holders without it; returns whether one failed."""
        holders = [
            h for h in self.current_holders() if h.incarnation not in has_copy
        ]
        results = [(h, h.add((False, entry))) for h in holders]
        failed = False
        for holder, result in results:
            if result.get():
                has_copy.add(holder.incarnation)
            else:
                failed = True
        return failed

    def current_holders(self) -> list[CopyHolder]:
        """Returns the two copy holders and replaces unusable ones.

        They are chosen anew only when one is lost or at a tick, because the
        choice scans all members.
        """
        if self.holders and all(map(self.is_usable, self.holders)):
            return list(self.holders.values())
        return self.choose_holders()

    def is_usable(self, incarnation: str) -> bool:
        """Returns whether a holder is live and not being avoided."""
        member = self.members.by_incarnation(incarnation)
        if member is None or member.state != MemberState.LIVE:
            return False
        return self.avoided_until.get(incarnation, 0.0) <= self.timers.now()

    def choose_holders(self) -> list[CopyHolder]:
        """Chooses two holders and queues all entries for new ones."""
        now = self.timers.now()
        self.avoided_until = {
            i: t for i, t in self.avoided_until.items() if t > now
        }
        live = [
            m
            for m in self.members.live()
            if m.incarnation not in self.avoided_until
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
        """Sends one message with copies; returns whether it was stored."""
        ranks = list(self.holders)
        rank = ranks.index(incarnation) if incarnation in ranks else 1
        message: dict[str, Any] = {
            "to": incarnation,
            "rank": rank,
            "entries": encode_items(items),
        }
        if done:
            message["done"] = done
        reply = self.call(incarnation, "bill_copy", message)
        if reply is not None and reply["ok"]:
            return True
        self.metrics.incr("bills.copy_failed")
        self.avoided_until[incarnation] = self.timers.now() + AVOID_HOLDER_S
        return False

    def call(
        self, incarnation: str, name: str, message: dict[str, Any]
    ) -> dict[str, Any] | None:
        """Sends a message to one process; returns None if that failed."""
        member = self.members.by_incarnation(incarnation)
        if member is None:
            return None
        reply = self.link.call(member.address, name, message, COPY_TIMEOUT_S)
        return reply.ok_value if isinstance(reply, Ok) else None

    # Log

    def tick(self) -> None:
        """Drops finished copies and appends chunks when they are due."""
        if self.opened or self.ended:
            self.choose_holders()
        for holder in self.holders.values():
            holder.flush_done()
        period_s = len(self.members.members()) / MAX_APPENDS_PER_S
        if self.timers.now() - self.last_append_at >= period_s:
            self.append_chunks()

    def append_chunks(self) -> None:
        """Queues ended entries that are not queued for the log yet."""
        self.last_append_at = self.timers.now()
        due = [e for i, e in self.ended.items() if i not in self.queued]
        for start in range(0, len(due), CHUNK_ENTRIES):
            if len(self.outstanding) >= MAX_OUTSTANDING_CHUNKS:
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
        """Drops entries that the log shows."""
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
        """Appends all entries at shutdown; returns False on a timeout."""
        until = self.timers.now() + timeout_s
        while self.ended and self.timers.now() < until:
            self.append_chunks()
            gevent.sleep(0.05)
        return not self.ended
