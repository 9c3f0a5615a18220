"""Follows the log: a few readers per zone, the rest by exchange and peers.

Two nodes of a zone read the log with long polling. Every node sends its
position and confirmed age with the exchange; a node that is behind fetches the
missing records from the peer that told it. Without confirmation for
`READER_SILENT_S` a node reads the log itself, once each time, which makes it a
source of confirmation for its peers.
"""

import logging
import math
from collections.abc import Callable
from typing import Any

import gevent
from gevent.event import Event
from gevent.lock import Semaphore
from result import Err, Ok, Result

from amaranthlug.coordination.log_store import LogStore
from amaranthlug.coordination.peers import (
    MemberView,
    PeerHandlers,
    PeerLink,
)
from amaranthlug.coordination.platform import (
    LogService,
    Metrics,
    PlatformError,
    RawRecord,
)
from amaranthlug.coordination.timers import Subscription, TimerService
from amaranthlug.state.record_codec import decode_record, encode_record
from amaranthlug.state.records import AnyRecord, LogEntry, UnknownRecord
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.settings import Timings

READERS_PER_ZONE = 2
"""Nodes of a zone that read the log; two, so that one may be lost."""

READER_SILENT_S = 3.0
"""Confirmed age above which a node reads the log itself, in seconds."""

LONG_POLL_MS = 500
"""Longest wait of a reader for new records. Confirmation counts from the
sending of a read, so it is below the confirm limit by a wide margin."""

PAGE_RECORDS = 500
"""Most records of one read."""

PEER_TIMEOUT_S = 2.0
"""Limit of a fetch from a peer, in seconds."""

READ_GAP_S = 0.1
"""Shortest time between reads of a reader, so that a busy log, which ends each
long poll at once, is read at most 10 times a second by each."""

TURN_S = 0.25
"""Period of the turns by which a node notices that it was paused, and wait of
a node that does not read, in seconds."""

PAUSED_S = 1.5
"""Time without a turn, in seconds, that shows that the process was paused.
What waited in its sockets is then of unknown age and confirms nothing."""

RETRY_LAST_S = 2.0
"""Longest wait after failed reads, in seconds."""

log = logging.getLogger(__name__)

SnapshotSource = Callable[[], AnyRecord | None]


class LogFollower:
    """Implements `LogFeed` and the exchange section `log`.

    Attributes:
        snapshot_sources: Each gives a record that stands for all records up
            to the position, for peers that start while the log is out.
        incomplete: Tells whether a fold lacks records that have expired; a
            peer's snapshot is then asked for.
    """

    name = "log"

    def __init__(
        self,
        log_service: LogService,
        link: PeerLink,
        handlers: PeerHandlers,
        members: MemberView,
        timers: TimerService,
        metrics: Metrics,
        timings: Timings,
        store: LogStore | None = None,
    ):
        """Registers the handler `records`; `start` begins to follow."""
        self.log_service = log_service
        self.link = link
        self.members = members
        self.timers = timers
        self.metrics = metrics
        self.timings = timings
        self.store = store or LogStore()
        self.calls: list[Callable[[LogEntry], None]] = []
        self.snapshot_sources: list[SnapshotSource] = []
        self.is_incomplete: Callable[[], bool] = lambda: False
        self.offset = -1
        self.confirmed_at = -math.inf
        self.distrust_until = -math.inf
        self.last_turn = timers.now()
        self.retry_s = 0.0
        self.ahead: str = ""
        self.peer_ahead = Event()
        self.delivering = Semaphore()
        self.greenlets: list[gevent.Greenlet] = []
        self.turns: Subscription | None = None
        handlers.register("records", self.on_records)

    def start(self) -> None:
        """Starts reading and fetching."""
        self.last_turn = self.timers.now()
        self.turns = self.timers.every("log_turn", TURN_S, self.note_turn)
        self.greenlets = [
            gevent.spawn(self.run_reading),
            gevent.spawn(self.run_fetching),
        ]

    def stop(self) -> None:
        """Ends reading and fetching."""
        if self.turns is not None:
            self.turns.cancel()
        gevent.killall(self.greenlets)

    # LogFeed

    def subscribe(self, call: Callable[[LogEntry], None]) -> None:
        """Adds a fold; it gets every record from the first one kept."""
        with self.delivering:
            for stored in self.store.after(-1, len(self.store.records)):
                call(decode_record(stored.offset, stored.raw()))
            self.calls.append(call)

    def position(self) -> int:
        """Returns the offset of the last record seen, -1 for none."""
        return self.offset

    def confirmed_age(self) -> float:
        """Returns seconds since the end of the log was last confirmed."""
        return self.timers.now() - self.confirmed_at

    def catch_up(self, timeout_s: float) -> Result[int, PlatformError]:
        """Reads to the end of the log now and returns the position."""
        deadline = self.timers.now() + timeout_s
        while True:
            read = self.read_page(0)
            if isinstance(read, Err):
                return read
            if read.ok_value:
                return Ok(self.offset)
            if self.timers.now() > deadline:
                return Err(
                    PlatformError(
                        "log", f"not read to its end in {timeout_s} s; retry"
                    )
                )

    # Reading the log

    def is_reader(self) -> bool:
        """Tells whether this node is one of its zone's readers."""
        me = self.members.me
        zone = {
            member.incarnation
            for member in self.members.live()
            if member.zone == me.zone
        } | {me.incarnation}
        first = rendezvous_order(self.name, zone)[:READERS_PER_ZONE]
        return me.incarnation in first

    def run_reading(self) -> None:
        """Reads the log while this node is a reader or unconfirmed."""
        while True:
            reader = self.is_reader()
            silent = self.confirmed_age() > READER_SILENT_S
            if not (reader or silent):
                gevent.sleep(self.timers.jittered(TURN_S))
                continue
            try:
                read = self.read_page(LONG_POLL_MS if reader else 0)
            except Exception:
                log.exception("reading the log failed; it is read again")
                read = Err(PlatformError("log", "reading failed"))
            gevent.sleep(self.timers.jittered(self.wait_after(read)))

    def wait_after(self, read: Result[bool, PlatformError]) -> float:
        """Returns seconds to wait after a read, longer after failures."""
        if isinstance(read, Ok):
            self.retry_s = 0.0
            return READ_GAP_S
        self.metrics.incr("retried.log_read")
        doubled = max(self.timings.log_poll_s, self.retry_s * 2)
        self.retry_s = min(RETRY_LAST_S, doubled)
        return self.retry_s

    def note_turn(self) -> None:
        """Notes a turn of the loop and whether the process was paused."""
        if self.was_paused():
            self.distrust_until = self.timers.now() + PAUSED_S
        self.last_turn = self.timers.now()

    def was_paused(self) -> bool:
        """Tells whether the process has just been paused."""
        return self.timers.now() - self.last_turn > PAUSED_S

    def read_page(self, wait_ms: int) -> Result[bool, PlatformError]:
        """Reads and delivers one page; True when it reached the end."""
        sent_at = self.timers.now()
        read = self.log_service.read(self.offset, PAGE_RECORDS, wait_ms)
        if isinstance(read, Err) and read.err_value.expired:
            log.warning(
                "records after %d have expired; reading from the first kept",
                self.offset,
            )
            read = self.log_service.read(-1, PAGE_RECORDS, 0)
        if isinstance(read, Err):
            return read
        page = read.ok_value
        self.deliver(page.records)
        if page.first >= page.end:
            self.skip_to(page.end - 1)
        if self.offset + 1 >= page.end:
            self.confirm(sent_at)
            return Ok(True)
        if page.records:
            return Ok(False)
        return Err(
            PlatformError(
                "log",
                f"no records after {self.offset} although the end is "
                f"{page.end}; the read is repeated",
            )
        )

    def confirm(self, at: float) -> None:
        """Notes that the position was the log's end at a monotonic time."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.metrics.gauge("log.confirmed_age_s", self.confirmed_age())

    def deliver(self, records: list[RawRecord]) -> None:
        """Gives new records to the folds in offset order."""
        with self.delivering:
            for raw in records:
                if raw.offset <= self.offset:
                    continue
                self.offset = raw.offset
                self.store.add(raw.offset, raw.record)
                self.call_folds(decode_record(raw.offset, raw.record))

    def skip_to(self, offset: int) -> None:
        """Goes to the end of a log whose records have all expired.

        The folds learn of the gap, but nothing is stored in its place, so
        that no peer takes it for the record that has expired.
        """
        with self.delivering:
            if offset <= self.offset:
                return
            self.offset = offset
            self.store.restart(offset + 1)
            expired = UnknownRecord(id="expired")
            self.call_folds(LogEntry(offset=offset, record=expired))

    def call_folds(self, entry: LogEntry) -> None:
        """Calls every fold; one that fails must not stop the others."""
        for call in self.calls:
            try:
                call(entry)
            except Exception:
                log.exception("fold failed at offset %d", entry.offset)
                self.metrics.incr("log.fold_failed")

    # Following peers

    def outgoing(self) -> dict[str, Any]:
        """Returns position and confirmed age."""
        age = self.confirmed_age()
        if math.isinf(age):
            return {"position": self.offset, "age_s": None}
        return {"position": self.offset, "age_s": round(age, 3)}

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Learns a peer's position and confirmation."""
        position = int(section["position"])
        if position > self.offset or self.is_incomplete():
            self.ahead = sender
            self.peer_ahead.set()
            return
        self.confirm_by_peer(section.get("age_s"), self.timers.now())

    def confirm_by_peer(self, age_s: float | None, at: float) -> None:
        """Takes over a peer's confirmation as of monotonic time `at`.

        The peer's position was not above this node's, so nothing that was on
        the log at its confirmation is missing here.
        """
        distrusted = self.timers.now() < self.distrust_until
        if age_s is None or distrusted or self.was_paused():
            return
        self.confirm(at - max(0.0, float(age_s)))

    def run_fetching(self) -> None:
        """Fetches missing records whenever a peer is ahead."""
        while True:
            self.peer_ahead.wait()
            self.peer_ahead.clear()
            try:
                self.fetch(self.ahead)
            except Exception:
                log.exception("fetching records from %s failed", self.ahead)

    def fetch(self, address: str) -> None:
        """Fetches records from a peer until this node has reached it."""
        from_snapshot = self.is_incomplete()
        while True:
            at = self.timers.now()
            answer = self.link.call(
                address,
                "records",
                {"after": self.offset, "snapshot": from_snapshot},
                PEER_TIMEOUT_S,
            )
            if isinstance(answer, Err):
                self.metrics.incr("retried.log_fetch")
                return
            reply = answer.ok_value
            if reply["first"] > self.offset + 1 and not from_snapshot:
                # The log may keep records that the peer has dropped.
                if self.catch_up(PEER_TIMEOUT_S).is_ok():
                    return
                from_snapshot = True
                continue
            before = self.offset
            self.take_reply(reply)
            if self.offset >= reply["position"]:
                self.confirm_by_peer(reply["age_s"], at)
                return
            if self.offset == before:
                return

    def take_reply(self, reply: dict[str, Any]) -> None:
        """Delivers the records of a reply, then its snapshots."""
        self.deliver(
            [
                RawRecord(item["offset"], item["record"])
                for item in reply["records"]
            ]
        )
        if self.offset != reply["position"]:
            return
        with self.delivering:
            for raw in reply["snapshots"]:
                self.call_folds(decode_record(self.offset, raw))

    def on_records(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a peer that asks for records after a position."""
        after = int(message["after"])
        wants_snapshot = bool(message.get("snapshot"))
        missing = self.store.first > after + 1
        found = (
            []
            if missing and not wants_snapshot
            else self.store.after(after, PAGE_RECORDS)
        )
        snapshots = []
        if wants_snapshot:
            made = [source() for source in self.snapshot_sources]
            snapshots = [encode_record(item) for item in made if item]
        return {
            "first": self.store.first,
            "position": self.offset,
            "age_s": self.outgoing()["age_s"],
            "records": [
                {"offset": item.offset, "record": item.raw()} for item in found
            ],
            "snapshots": snapshots,
        }
