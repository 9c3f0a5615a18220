"""Follows the log: a few nodes read it, the others fetch from peers.

Two nodes of each zone, the readers, read the log with long polling. Every node
sends its position and confirmed age in the exchange. A node that is behind
fetches the missing records from a peer that is ahead. A node that has not been
confirmed for `MAX_UNCONFIRMED_S` reads the log itself once, after which its
peers can be confirmed by it.
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
"""Nodes of a zone that read the log; two, so that one may fail."""

MAX_UNCONFIRMED_S = 3.0
"""Confirmed age above which any node reads the log itself, in seconds."""

LONG_POLL_MS = 500
"""Maximum wait of a reader for new records. The log is confirmed as of the time
at which a read was sent, so this is far below the confirm limit."""

MAX_PAGE_RECORDS = 500
"""Maximum records of one read."""

PEER_TIMEOUT_S = 2.0
"""Timeout of a fetch from a peer, in seconds."""

MIN_READ_INTERVAL_S = 0.1
"""Minimum time between two reads, in seconds. A busy log ends each long poll
immediately, so this limits a reader to 10 reads per second."""

TICK_S = 0.25
"""Period of the ticks that detect a paused process, and interval at which a
node checks whether it has to read, in seconds."""

PAUSE_THRESHOLD_S = 1.5
"""Time without a tick after which the process counts as paused, in seconds. The
age of messages in its sockets is then unknown, so they confirm nothing."""

MAX_RETRY_WAIT_S = 2.0
"""Maximum wait after failed reads, in seconds."""

log = logging.getLogger(__name__)

SnapshotSource = Callable[[], AnyRecord | None]


class LogFollower:
    """Implements `LogFeed` and the exchange section `log`.

    Attributes:
        snapshot_sources: Each returns a record that replaces all records up to
            the position, for peers that start while the log is unreachable.
        is_incomplete: Returns whether a subscriber lacks records that have
            expired; a snapshot is then requested from a peer.
        ahead_peer: Address of a peer to fetch records from.
        ignore_confirmations_until: Time until which confirmations by peers are
            ignored after a pause.
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
        """Registers the handler `records`; `start` begins to read and fetch."""
        self.log_service = log_service
        self.link = link
        self.members = members
        self.timers = timers
        self.metrics = metrics
        self.timings = timings
        self.store = store or LogStore()
        self.subscribers: list[Callable[[LogEntry], None]] = []
        self.snapshot_sources: list[SnapshotSource] = []
        self.is_incomplete: Callable[[], bool] = lambda: False
        self.offset = -1
        self.confirmed_at = -math.inf
        self.ignore_confirmations_until = -math.inf
        self.last_tick = timers.now()
        self.retry_s = 0.0
        self.ahead_peer: str = ""
        self.fetch_needed = Event()
        self.delivery_lock = Semaphore()
        self.greenlets: list[gevent.Greenlet] = []
        self.tick_subscription: Subscription | None = None
        handlers.register("records", self.on_records)

    def start(self) -> None:
        """Starts the greenlets that read the log and fetch from peers."""
        self.last_tick = self.timers.now()
        self.tick_subscription = self.timers.every(
            "log_turn", TICK_S, self.record_tick
        )
        self.greenlets = [
            gevent.spawn(self.run_reader),
            gevent.spawn(self.run_fetcher),
        ]

    def stop(self) -> None:
        """Stops reading and fetching."""
        if self.tick_subscription is not None:
            self.tick_subscription.cancel()
        gevent.killall(self.greenlets)

    # LogFeed

    def subscribe(self, call: Callable[[LogEntry], None]) -> None:
        """Adds a subscriber and calls it for every stored record."""
        with self.delivery_lock:
            for stored in self.store.after(-1, len(self.store.records)):
                call(decode_record(stored.offset, stored.decode()))
            self.subscribers.append(call)

    def position(self) -> int:
        """Returns the offset of the last record delivered, -1 for none."""
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
                        "log",
                        f"the end was not reached in {timeout_s} s; retry",
                    )
                )

    # Reading the log

    def is_reader(self) -> bool:
        """Returns whether this node is one of its zone's readers."""
        me = self.members.me
        zone = {
            member.incarnation
            for member in self.members.live()
            if member.zone == me.zone
        } | {me.incarnation}
        first = rendezvous_order(self.name, zone)[:READERS_PER_ZONE]
        return me.incarnation in first

    def run_reader(self) -> None:
        """Reads the log whenever this node is a reader or unconfirmed."""
        while True:
            reader = self.is_reader()
            is_unconfirmed = self.confirmed_age() > MAX_UNCONFIRMED_S
            if not (reader or is_unconfirmed):
                gevent.sleep(self.timers.jittered(TICK_S))
                continue
            try:
                read = self.read_page(LONG_POLL_MS if reader else 0)
            except Exception:
                log.exception("reading the log failed; trying again")
                read = Err(PlatformError("log", "reading failed"))
            gevent.sleep(self.timers.jittered(self.next_wait_s(read)))

    def next_wait_s(self, read: Result[bool, PlatformError]) -> float:
        """Returns the wait after a read, doubled after each failure."""
        if isinstance(read, Ok):
            self.retry_s = 0.0
            return MIN_READ_INTERVAL_S
        self.metrics.incr("retried.log_read")
        next_retry_s = max(self.timings.log_poll_s, self.retry_s * 2)
        self.retry_s = min(MAX_RETRY_WAIT_S, next_retry_s)
        return self.retry_s

    def record_tick(self) -> None:
        """Records a tick; a pause before it suspends confirmations."""
        if self.was_paused():
            self.ignore_confirmations_until = (
                self.timers.now() + PAUSE_THRESHOLD_S
            )
        self.last_tick = self.timers.now()

    def was_paused(self) -> bool:
        """Returns whether the process has just been paused."""
        return self.timers.now() - self.last_tick > PAUSE_THRESHOLD_S

    def read_page(self, wait_ms: int) -> Result[bool, PlatformError]:
        """Reads and delivers one page; returns whether it reached the end."""
        sent_at = self.timers.now()
        read = self.log_service.read(self.offset, MAX_PAGE_RECORDS, wait_ms)
        if isinstance(read, Err) and read.err_value.expired:
            log.warning(
                "records after %d have expired; reading from the oldest one",
                self.offset,
            )
            read = self.log_service.read(-1, MAX_PAGE_RECORDS, 0)
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
        """Records that the position was the log's end at a monotonic time."""
        self.confirmed_at = max(self.confirmed_at, at)
        self.metrics.gauge("log.confirmed_age_s", self.confirmed_age())

    def deliver(self, records: list[RawRecord]) -> None:
        """Passes new records to the subscribers in offset order."""
        with self.delivery_lock:
            for raw_record in records:
                if raw_record.offset <= self.offset:
                    continue
                self.offset = raw_record.offset
                self.store.add(raw_record.offset, raw_record.record)
                self.notify_subscribers(
                    decode_record(raw_record.offset, raw_record.record)
                )

    def skip_to(self, offset: int) -> None:
        """Skips to the end of a log whose records have all expired.

        Subscribers get a placeholder, by whose offset they notice the gap. It
        is not stored, so that no peer mistakes it for the expired record.
        """
        with self.delivery_lock:
            if offset <= self.offset:
                return
            self.offset = offset
            self.store.restart(offset + 1)
            expired = UnknownRecord(id="expired")
            self.notify_subscribers(LogEntry(offset=offset, record=expired))

    def notify_subscribers(self, entry: LogEntry) -> None:
        """Calls every subscriber, also if one of them raises an exception."""
        for subscriber in self.subscribers:
            try:
                subscriber(entry)
            except Exception:
                log.exception("subscriber failed at offset %d", entry.offset)
                self.metrics.incr("log.fold_failed")

    # Following peers

    def outgoing(self) -> dict[str, Any]:
        """Returns the position and the confirmed age, None for never."""
        age = self.confirmed_age()
        if math.isinf(age):
            return {"position": self.offset, "age_s": None}
        return {"position": self.offset, "age_s": round(age, 3)}

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Adopts a peer's confirmation, or fetches if the peer is ahead."""
        position = int(section["position"])
        if position > self.offset or self.is_incomplete():
            self.ahead_peer = sender
            self.fetch_needed.set()
            return
        self.confirm_by_peer(section.get("age_s"), self.timers.now())

    def confirm_by_peer(self, age_s: float | None, at: float) -> None:
        """Adopts a peer's confirmed age as of the monotonic time `at`.

        The peer's position must not be above this node's. Then no record that
        was on the log when the peer was confirmed is missing here.
        """
        is_ignoring = self.timers.now() < self.ignore_confirmations_until
        if age_s is None or is_ignoring or self.was_paused():
            return
        self.confirm(at - max(0.0, float(age_s)))

    def run_fetcher(self) -> None:
        """Fetches missing records in a loop whenever a peer is ahead."""
        while True:
            self.fetch_needed.wait()
            self.fetch_needed.clear()
            try:
                self.fetch(self.ahead_peer)
            except Exception:
                log.exception(
                    "fetching records from %s failed", self.ahead_peer
                )

    def fetch(self, address: str) -> None:
        """Fetches records from a peer until this node has caught up with it."""
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
                # The log may still have records that the peer has dropped.
                if self.catch_up(PEER_TIMEOUT_S).is_ok():
                    return
                from_snapshot = True
                continue
            previous_offset = self.offset
            self.apply_reply(reply)
            if self.offset >= reply["position"]:
                self.confirm_by_peer(reply["age_s"], at)
                return
            if self.offset == previous_offset:
                return

    def apply_reply(self, reply: dict[str, Any]) -> None:
        """Delivers the records of a reply and then applies its snapshots."""
        self.deliver(
            [
                RawRecord(item["offset"], item["record"])
                for item in reply["records"]
            ]
        )
        if self.offset != reply["position"]:
            return
        with self.delivery_lock:
            for raw in reply["snapshots"]:
                self.notify_subscribers(decode_record(self.offset, raw))

    def on_records(self, message: dict[str, Any]) -> dict[str, Any]:
        """Handles a peer's request for records after a position."""
        after = int(message["after"])
        wants_snapshots = bool(message.get("snapshot"))
        missing = self.store.first > after + 1
        stored_records = (
            []
            if missing and not wants_snapshots
            else self.store.after(after, MAX_PAGE_RECORDS)
        )
        snapshots = []
        if wants_snapshots:
            records = [source() for source in self.snapshot_sources]
            snapshots = [encode_record(item) for item in records if item]
        return {
            "first": self.store.first,
            "position": self.offset,
            "age_s": self.outgoing()["age_s"],
            "records": [
                {"offset": item.offset, "record": item.decode()}
                for item in stored_records
            ],
            "snapshots": snapshots,
        }
