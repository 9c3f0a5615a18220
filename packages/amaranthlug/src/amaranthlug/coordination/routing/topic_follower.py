"""Follows one topic of the store and knows how old its knowledge is."""

import logging
import math
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event
from result import Err

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.circuit_breaker import StoreGate
from amaranthlug.coordination.routing.keyed_store import (
    KeyedRecord,
    KeyedStore,
    StoreError,
)

READ_MARGIN_S = 0.2
"""Time by which an undisturbed read may last longer than asked, in seconds;
the store usually answers within 10 ms."""
FIRST_PAUSE_S = 0.6
"""Pause after the first reading, in seconds; a node that finds a relay within
it makes no second call."""
MAX_REMOVED = 2_000
"""Removed keys that are remembered; a node that is further behind takes the
whole topic."""

log = logging.getLogger(__name__)


class TopicListener(Protocol):
    """Takes the content of a topic."""

    def replace(self, records: list[KeyedRecord]) -> None:
        """Takes the newest record of each key in place of all before."""
        ...

    def apply(self, record: KeyedRecord) -> bool:
        """Takes a new record; True if it changed anything."""
        ...


class TopicFollower:
    """Reads a topic in one greenlet, or takes what another node read.

    Attributes:
        position: Offset from which to read on; None before the first reading.
        confirmed_at: Boot clock at which the read was sent that last reached
            the end of the topic, in seconds; minus infinity before the first.
        sent_at: Boot clock at which the present read was sent, in seconds.
        lost_at: Boot clock at the first failed read of the present outage.
        regained_at: Boot clock at the end of the last outage.
        newest: The record that last changed anything, for each key.
        floor: Offset below which removed keys are not known any more.
        direct: Set while this node reads the store itself.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        listener: TopicListener,
        wait_s: float,
        pause_s: float = 0.0,
        gate: StoreGate | None = None,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a follower.

        Args:
            store: Where the topic lies.
            topic: Name of the topic.
            listener: Takes its content.
            wait_s: Longest wait of one read for a new record, in seconds.
            pause_s: Pause after each read, in seconds; it bounds the number
                of reads of a topic that changes often.
            gate: Shared by all that call the store from this node.
            clock: Returns seconds, including time in which the VM was paused.
        """
        self.store = store
        self.topic = topic
        self.listener = listener
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.gate = gate or StoreGate(clock)
        self.clock = clock
        self.position: int | None = None
        self.confirmed_at = -math.inf
        self.sent_at = -math.inf
        self.lost_at: float | None = None
        self.regained_at = -math.inf
        self.newest: dict[str, KeyedRecord] = {}
        self.floor = 0
        self.direct = Event()
        self.direct.set()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Begins to follow."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Ends following."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def age_s(self) -> float:
        """Returns the age of the knowledge of this topic, in seconds."""
        return self.clock() - self.confirmed_at

    def is_undisturbed(self) -> bool:
        """Tells whether the present read is not overdue and none failed.

        A node that reads for others must say at once that it cannot, since a
        new configuration has to be in force 2 s after it was written.
        """
        if self.lost_at is not None or self.position is None:
            return False
        reading = self.clock() - self.sent_at
        return reading < self.wait_s + self.pause_s + READ_MARGIN_S

    def run(self) -> None:
        """Reads until stopped, but not while another node reads for this."""
        while True:
            self.direct.wait()
            self.gate.enter()
            if not self.direct.is_set():
                continue  # A relay was found while the store was away.
            first = self.position is None
            if self.step():
                gevent.sleep(FIRST_PAUSE_S if first else self.pause_s)

    def step(self) -> bool:
        """Reads once; False if the store did not answer."""
        sent = self.sent_at = self.clock()
        position = self.position
        if position is None:
            return self.load(sent)
        # After a failure the first answer should come at once.
        wait_s = self.wait_s if self.lost_at is None else 0.0
        result = self.store.read(self.topic, position, wait_s)
        if isinstance(result, Err):
            return self.failed(result.err_value)
        page = result.ok_value
        self.regained(sent)
        if position != self.position:
            return True  # Another node's reading was taken meanwhile.
        self.take(page.records, page.next_start)
        if page.next_start >= page.end:
            self.confirm(sent)
        return True

    def load(self, sent: float) -> bool:
        """Takes the newest record of each key."""
        result = self.store.newest(self.topic)
        if isinstance(result, Err):
            return self.failed(result.err_value)
        page = result.ok_value
        self.regained(sent)
        self.replace(page.records, page.next_start)
        self.confirm(sent)
        return True

    def replace(self, records: list[KeyedRecord], position: int) -> None:
        """Takes the whole topic."""
        self.listener.replace(records)
        self.newest = {record.key: record for record in records}
        self.position = self.floor = position

    def take(self, records: list[KeyedRecord], position: int) -> None:
        """Takes new records."""
        for record in records:
            if self.listener.apply(record):
                self.newest[record.key] = record
        self.position = position
        self.forget_removed()

    def forget_removed(self) -> None:
        """Bounds the number of removed keys that are remembered."""
        removed = [r for r in self.newest.values() if r.value is None]
        if len(removed) <= MAX_REMOVED:
            return
        for record in removed:
            del self.newest[record.key]
            self.floor = max(self.floor, record.offset + 1)

    def confirm(self, at: float) -> None:
        """Notes that the knowledge was complete at a time."""
        self.confirmed_at = max(self.confirmed_at, at)

    def since(self, position: int | None) -> list[KeyedRecord] | None:
        """Returns what changed from an offset on; None: take all of it."""
        if position is None or position < self.floor:
            return None
        return [r for r in self.newest.values() if r.offset >= position]

    def failed(self, error: StoreError) -> bool:
        """Notes a failed read; expired records are loaded anew at once."""
        if error.expired:
            self.gate.succeeded()
            log.info(
                "%s: records expired, loading the newest",
                self.topic,
                extra={"event": "topic_expired", "position": self.position},
            )
            self.position = None
            return True
        self.gate.failed()
        if self.lost_at is None:
            self.lost_at = self.clock()
            log.warning(
                "store lost for %s: %s",
                self.topic,
                error.message,
                extra={"event": "store_lost", "topic": self.topic},
            )
        return False

    def regained(self, sent: float) -> None:
        """Notes the end of an outage."""
        self.gate.succeeded()
        if self.lost_at is None:
            return
        log.info(
            "store regained for %s after %.1f s",
            self.topic,
            self.clock() - self.lost_at,
            extra={"event": "store_regained", "topic": self.topic},
        )
        self.lost_at = None
        self.regained_at = sent
