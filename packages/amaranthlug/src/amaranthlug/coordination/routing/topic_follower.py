"""Follows one topic of the store and knows how old its knowledge is."""

import logging
import math
import random
from collections.abc import Callable
from typing import Protocol

import gevent
from result import Err

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.keyed_store import (
    KeyedRecord,
    KeyedStore,
    StoreError,
)

RETRY_S = (0.1, 0.4)
"""Range of the wait after a failed read, in seconds: short against the 2 s in
which a configuration must be in force, spread so that nodes do not return at
one moment."""

log = logging.getLogger(__name__)


class TopicListener(Protocol):
    """Takes the content of a topic."""

    def replace(self, records: list[KeyedRecord]) -> None:
        """Takes the newest record of each key in place of all before."""
        ...

    def apply(self, record: KeyedRecord) -> None:
        """Takes a new record."""
        ...


class TopicFollower:
    """Reads a topic in one greenlet until stopped.

    Attributes:
        confirmed_at: Boot clock at which the read was sent that last reached
            the end of the topic, in seconds; minus infinity before the first.
        lost_at: Boot clock at the first failed read of the present outage.
        regained_at: Boot clock at the end of the last outage.
    """

    def __init__(
        self,
        store: KeyedStore,
        topic: str,
        listener: TopicListener,
        wait_s: float,
        pause_s: float = 0.0,
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
            clock: Returns seconds, including time in which the VM was paused.
        """
        self.store = store
        self.topic = topic
        self.listener = listener
        self.wait_s = wait_s
        self.pause_s = pause_s
        self.clock = clock
        self.position: int | None = None
        self.confirmed_at = -math.inf
        self.lost_at: float | None = None
        self.regained_at = -math.inf
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

    def run(self) -> None:
        """Reads until stopped."""
        while True:
            if self.step():
                gevent.sleep(self.pause_s)
            else:
                gevent.sleep(random.uniform(*RETRY_S))

    def step(self) -> bool:
        """Reads once; False if the store did not answer."""
        sent = self.clock()
        if self.position is None:
            return self.load(sent)
        result = self.store.read(self.topic, self.position, self.wait_s)
        if isinstance(result, Err):
            return self.failed(result.err_value)
        page = result.ok_value
        self.regained(sent)
        for record in page.records:
            self.listener.apply(record)
        self.position = page.next_start
        if page.next_start >= page.end:
            self.confirmed_at = sent
        return True

    def load(self, sent: float) -> bool:
        """Takes the newest record of each key."""
        result = self.store.newest(self.topic)
        if isinstance(result, Err):
            return self.failed(result.err_value)
        page = result.ok_value
        self.regained(sent)
        self.listener.replace(page.records)
        self.position = page.next_start
        self.confirmed_at = sent
        return True

    def failed(self, error: StoreError) -> bool:
        """Notes a failed read; expired records are loaded anew at once."""
        if error.expired:
            log.info(
                "%s: records expired, loading the newest",
                self.topic,
                extra={"event": "topic_expired", "position": self.position},
            )
            self.position = None
            return True
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
