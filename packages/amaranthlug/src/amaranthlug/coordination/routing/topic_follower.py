"""Follows one topic of the store and tracks the age of its data."""

import logging
import math
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event
from result import Err

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.circuit_breaker import StoreCircuitBreaker
from amaranthlug.coordination.routing.keyed_store import (
    KeyedRecord,
    KeyedStore,
    StoreError,
)
from amaranthlug.coordination.supervised import record_error, spawn_supervised

READ_OVERDUE_MARGIN_S = 0.2
"""Time beyond the requested wait after which a read is overdue, in seconds;
the store usually answers within 10 ms."""
FIRST_READ_PAUSE_S = 1.0
"""Pause after the first read, in seconds; a node that finds a relay in this
time makes no second call. A change is still read within 2 s."""
MAX_REMOVED_KEYS = 2_000
"""Maximum number of removed keys that are kept for delta updates; a node that
is further behind gets the complete topic."""

log = logging.getLogger(__name__)


class TopicListener(Protocol):
    """Receives the contents of a topic."""

    def replace(self, records: list[KeyedRecord]) -> None:
        """Replaces all contents by the newest record of each key."""
        ...

    def apply(self, record: KeyedRecord) -> bool:
        """Applies a new record; True if it changed anything."""
        ...

    def restore(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        """Compares the contents with an older copy to which the store returned.

        What is known to be newer than the copy is kept.

        Returns:
            The records of the copy that are not outdated.
        """
        ...


class TopicFollower:
    """Reads a topic in a greenlet, or applies what a relay has read.

    Attributes:
        position: Offset of the next read; None before the first read.
        confirmed_at: Boot clock when the last read that reached the end of the
            topic was sent, in seconds; minus infinity before the first.
        sent_at: Boot clock when the last read was sent, in seconds.
        outage_started_at: Boot clock at the first failed read of the current
            outage, in seconds; None if there is no outage.
        outage_ended_at: Boot clock when the first read that succeeded after
            the last outage was sent, by this node or its relay, in seconds.
        latest_records: Key -> last record that changed anything.
        restored_from: Offset of the next read before the store returned to an
            older copy that is not read yet; None without one.
        kept_keys: Keys whose data is kept although an older copy of the store
            lacks it; their next record is passed on even if it brings nothing
            new, since the nodes that read through this one have none.
        lost_records: Records that the store lost in all its returns.
        min_delta_offset: Lowest offset from which all changes are known.
        reads_directly: Event that is set while this node reads the store
            itself, not through a relay.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        listener: TopicListener,
        wait_s: float,
        pause_s: float = 0.0,
        breaker: StoreCircuitBreaker | None = None,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a follower.

        Args:
            store: Store that holds the topic.
            topic: Name of the topic.
            listener: Receives its contents.
            wait_s: Maximum wait of one read for a new record, in seconds.
            pause_s: Pause after each read, in seconds; limits the read rate of
                a topic that changes often.
            breaker: Shared by all calls to the store from this node.
            clock: Returns seconds, including those in which the VM was paused.
        """
        self.store = store
        self.topic = topic
        self.listener = listener
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.breaker = breaker or StoreCircuitBreaker(clock)
        self.clock = clock
        self.position: int | None = None
        self.confirmed_at = -math.inf
        self.sent_at = -math.inf
        self.outage_started_at: float | None = None
        self.outage_ended_at = -math.inf
        self.latest_records: dict[str, KeyedRecord] = {}
        self.min_delta_offset = 0
        self.restored_from: int | None = None
        self.kept_keys: set[str] = set()
        self.lost_records = 0
        self.reads_directly = Event()
        self.reads_directly.set()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that reads the topic."""
        self.greenlet = spawn_supervised(f"follow {self.topic}", self.run)

    def stop(self) -> None:
        """Stops the greenlet."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def age_s(self) -> float:
        """Returns the time since the data was known complete, in seconds."""
        return self.clock() - self.confirmed_at

    def has_data(self) -> bool:
        """Returns whether the topic was read, if only before a restore."""
        return self.position is not None or self.restored_from is not None

    def is_healthy(self) -> bool:
        """Returns whether there is no outage and no read is overdue.

        A relay must refuse as soon as it is cut off, since a new configuration
        has to be active on all nodes 2 s after it was written.
        """
        if self.outage_started_at is not None or self.position is None:
            return False
        read_age_s = self.clock() - self.sent_at
        return read_age_s < self.wait_s + self.pause_s + READ_OVERDUE_MARGIN_S

    def run(self) -> None:
        """Reads until stopped; waits while a relay supplies the data."""
        while True:
            self.reads_directly.wait()
            self.breaker.wait_until_allowed()
            if not self.reads_directly.is_set():
                continue  # A relay was found during the outage.
            is_first = self.position is None
            if self.read_once():
                gevent.sleep(FIRST_READ_PAUSE_S if is_first else self.pause_s)

    def read_once(self) -> bool:
        """Makes one read; False if the store did not answer."""
        sent_at = self.sent_at = self.clock()
        position = self.position
        if position is None:
            return self.load_latest(sent_at)
        # In an outage, do not wait for records: detect the recovery at once.
        wait_s = self.wait_s if self.outage_started_at is None else 0.0
        result = self.store.read(self.topic, position, wait_s)
        if isinstance(result, Err):
            return self.handle_read_error(result.err_value)
        page = result.ok_value
        self.end_outage(sent_at)
        if position != self.position:
            return True  # A relay's update was applied in the meantime.
        self.apply_changes(page.records, page.next_start)
        if page.next_start >= page.end:
            self.mark_confirmed(sent_at)
        return True

    def load_latest(self, sent_at: float) -> bool:
        """Loads the newest record of each key; False if the read failed."""
        result = self.store.newest(self.topic)
        if isinstance(result, Err):
            return self.handle_read_error(result.err_value)
        page = result.ok_value
        self.end_outage(sent_at)
        self.replace(page.records, page.next_start)
        self.mark_confirmed(sent_at)
        return True

    def replace(self, records: list[KeyedRecord], position: int) -> None:
        """Replaces the data by a full read of the topic."""
        if self.restored_from is None:
            self.replace_all(records)
        else:
            records = self.restore(records, position)
        self.latest_records = {record.key: record for record in records}
        self.position = self.min_delta_offset = position

    def replace_all(self, records: list[KeyedRecord]) -> None:
        """Passes a full read on; after an error each of its records alone."""
        try:
            self.listener.replace(records)
        except Exception as error:
            record_error(f"follow {self.topic}", error)
            for record in records:
                self.apply(record)

    def apply(self, record: KeyedRecord) -> bool:
        """Passes a record on; False if it changed nothing or failed."""
        try:
            return self.listener.apply(record)
        except Exception as error:
            record_error(
                f"follow {self.topic}",
                error,
                key=record.key,
                offset=record.offset,
            )
            return False

    def begin_restore(self) -> None:
        """Makes the next read a full one, of the copy to which it returned.

        A read that is still waiting for records is given up.
        """
        if self.position is not None:
            self.restored_from = self.position
        self.position = None
        if self.greenlet is not None and self.greenlet is not (
            gevent.getcurrent()
        ):
            self.stop()
            self.start()

    def restore(
        self, records: list[KeyedRecord], position: int
    ) -> list[KeyedRecord]:
        """Compares the data with the copy; returns its valid records."""
        valid = self.listener.restore(records)
        known = {r.key for r in self.latest_records.values() if r.value}
        self.kept_keys |= known
        self.kept_keys -= {record.key for record in valid}
        if self.restored_from is not None:
            self.lost_records += max(0, self.restored_from - position)
        log.warning(
            "topic %s was read again from a copy",
            self.topic,
            extra={
                "event": "topic_restored",
                "topic": self.topic,
                "position": position,
                "former_position": self.restored_from,
                "outdated": len(records) - len(valid),
            },
        )
        self.restored_from = None
        return valid

    def apply_changes(self, records: list[KeyedRecord], position: int) -> None:
        """Applies new records and moves to `position`."""
        for record in records:
            if self.apply(record) or record.key in self.kept_keys:
                self.latest_records[record.key] = record
                self.kept_keys.discard(record.key)
        self.position = position
        self.prune_removed_keys()

    def prune_removed_keys(self) -> None:
        """Drops all removed keys once there are over `MAX_REMOVED_KEYS`."""
        removed = [r for r in self.latest_records.values() if r.value is None]
        if len(removed) <= MAX_REMOVED_KEYS:
            return
        for record in removed:
            del self.latest_records[record.key]
            self.min_delta_offset = max(
                self.min_delta_offset, record.offset + 1
            )

    def mark_confirmed(self, confirmed_at: float) -> None:
        """Records that the data was complete at `confirmed_at`."""
        self.confirmed_at = max(self.confirmed_at, confirmed_at)

    def changes_since(self, position: int | None) -> list[KeyedRecord] | None:
        """Returns changes from an offset on; None if a full read is needed."""
        if position is None or position < self.min_delta_offset:
            return None
        return [r for r in self.latest_records.values() if r.offset >= position]

    def handle_read_error(self, error: StoreError) -> bool:
        """Handles a failed read; True if the topic is to be loaded again.

        That is the case if the records to read next have expired.
        """
        if error.expired:
            self.breaker.record_success()
            log.info(
                "%s: records expired, reloading the topic",
                self.topic,
                extra={"event": "topic_expired", "position": self.position},
            )
            self.position = None
            return True
        self.breaker.record_failure()
        if self.outage_started_at is None:
            self.outage_started_at = self.clock()
            log.warning(
                "cannot read topic %s from the store: %s",
                self.topic,
                error.message,
                extra={"event": "store_lost", "topic": self.topic},
            )
        return False

    def end_outage(self, sent_at: float) -> None:
        """Handles a successful read, which ends an outage if there was one."""
        self.breaker.record_success()
        self.record_outage_end(sent_at)

    def record_relayed_read(self, sent_at: float) -> None:
        """Handles a relay's read, which ends an outage that began before."""
        self.breaker.record_relayed_read(sent_at)
        started_at = self.outage_started_at
        if started_at is not None and sent_at > started_at:
            self.record_outage_end(sent_at)

    def record_outage_end(self, sent_at: float) -> None:
        """Records that a read sent at `sent_at` ended an outage, if any."""
        if self.outage_started_at is None:
            return
        log.info(
            "topic %s is readable again after %.1f s",
            self.topic,
            self.clock() - self.outage_started_at,
            extra={"event": "store_regained", "topic": self.topic},
        )
        self.outage_started_at = None
        self.outage_ended_at = sent_at
