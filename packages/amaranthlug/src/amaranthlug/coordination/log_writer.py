"""Appends records to the log with one effect each, whatever answers are lost.

Records wait in two bounded queues and go out in batches by one greenlet.
Before a batch is appended again after a lost answer, the writer reads the log
from the position it knew before the first try and looks for the ids. An append
that takes effect after that reading is a repeat, which readers ignore by id.
"""

import dataclasses
import logging
from collections import deque
from collections.abc import Callable

import gevent
from gevent.event import AsyncResult, Event
from result import Err, Ok, Result

from amaranthlug.coordination.platform import (
    LogService,
    Metrics,
    PlatformError,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.record_codec import encode_record
from amaranthlug.state.records import AnyRecord

BATCH_RECORDS = 200
"""Most records in one append."""

LATER_BOUND = 20_000
"""Records that wait for the end of an outage. At 390 nodes a node enqueues one
chunk of bills in 10 s, so an hour's outage needs a few hundred."""

URGENT_BOUND = 1_000
"""Records whose writers wait for the answer; further ones get an error."""

APPEND_WAIT_S = 10.0
"""Seconds that `append` waits before it gives up."""

RETRY_FIRST_S = 0.25
RETRY_LAST_S = 5.0
"""First and longest wait between tries, in seconds. At the longest, 390 nodes
send under 80 tries a second to a log that comes back."""

READ_RECORDS = 1_000
"""Records read at a time when ids are looked for."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class PendingRecord:
    """A record that is not yet known to be on the log.

    Attributes:
        result: Set with the offset; None when nobody waits.
        sent: An append with it may have taken effect.
        dropped: Its writer gave up; it is not sent again.
    """

    record: AnyRecord
    result: AsyncResult | None = None
    sent: bool = False
    dropped: bool = False

    def settle(self, offset: int) -> None:
        """Tells the waiting writer the offset."""
        if self.result is not None:
            self.result.set(offset)


class LogWriter:
    """Implements `RecordWriter` over the log service."""

    def __init__(
        self,
        log_service: LogService,
        position: Callable[[], int],
        timers: TimerService,
        metrics: Metrics,
        append_wait_s: float = APPEND_WAIT_S,
    ):
        """Creates a writer; `start` begins to append.

        Args:
            log_service: The log.
            position: Returns an offset known to be on the log, -1 for none,
                such as `LogFollower.position`.
            timers: Source of jitter and time.
            metrics: Gets `retried.log_append` and the queue's length.
            append_wait_s: Longest wait of `append`, in seconds.
        """
        self.log_service = log_service
        self.position = position
        self.timers = timers
        self.metrics = metrics
        self.append_wait_s = append_wait_s
        self.urgent: deque[PendingRecord] = deque()
        self.later: deque[PendingRecord] = deque()
        self.batch: list[PendingRecord] = []
        self.last_offset = -1
        self.wake = Event()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that appends."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Ends the greenlet; records that wait stay unsent."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def append(self, record: AnyRecord) -> Result[int, PlatformError]:
        """Appends a record, waits, and returns its offset.

        Returns:
            The offset, or an error whose `effect_unknown` tells whether the
            record may still get onto the log.
        """
        if len(self.urgent) >= URGENT_BOUND:
            return Err(
                PlatformError(
                    "log",
                    f"{URGENT_BOUND} records wait already; try again when "
                    "the log answers",
                )
            )
        pending = PendingRecord(record, AsyncResult())
        self.urgent.append(pending)
        self.wake.set()
        assert pending.result is not None
        try:
            return Ok(pending.result.get(timeout=self.append_wait_s))
        except gevent.Timeout:
            pending.dropped = True
            return Err(
                PlatformError(
                    "log",
                    f"no answer in {self.append_wait_s} s; look for record "
                    f"{record.id} on the log before writing it again",
                    effect_unknown=pending.sent,
                )
            )

    def enqueue(self, record: AnyRecord) -> bool:
        """Appends later, surviving outages; False at the bound."""
        if len(self.later) >= LATER_BOUND:
            self.metrics.incr("log.queue_full")
            return False
        self.later.append(PendingRecord(record))
        self.wake.set()
        return True

    def backlog(self) -> int:
        """Returns the number of records not yet known to be on the log."""
        return len(self.urgent) + len(self.later) + len(self.batch)

    def flush(self, timeout_s: float) -> bool:
        """Waits until all records are on the log; False on timeout."""
        end = self.timers.now() + timeout_s
        while self.backlog() and self.timers.now() < end:
            gevent.sleep(0.02)
        return not self.backlog()

    def run(self) -> None:
        """Appends batches for ever."""
        while True:
            self.batch = self.next_batch()
            self.metrics.gauge("log.backlog", self.backlog())
            if not self.batch:
                self.wake.clear()
                self.wake.wait()
                continue
            try:
                self.write_batch()
            except Exception:
                # The records must not be lost; a repeat has no effect.
                log.exception("writing a batch failed; it is written again")
                self.later.extendleft(reversed(self.batch))
                gevent.sleep(self.timers.jittered(RETRY_LAST_S))

    def next_batch(self) -> list[PendingRecord]:
        """Takes records from the queues, those with a waiting writer first."""
        batch: list[PendingRecord] = []
        for queue in (self.urgent, self.later):
            while queue and len(batch) < BATCH_RECORDS:
                pending = queue.popleft()
                if not pending.dropped:
                    batch.append(pending)
        return batch

    def write_batch(self) -> None:
        """Appends the batch until every record in it is settled."""
        known = max(self.position(), self.last_offset)
        unknown = False
        wait_s = RETRY_FIRST_S
        while True:
            if unknown:
                unknown = not self.settle_found(known)
            self.batch = [item for item in self.batch if not item.dropped]
            if not self.batch:
                return
            if not unknown:
                error = self.try_append()
                if error is None:
                    return
                unknown = error.effect_unknown
                if not unknown:
                    asked_s = min(error.retry_after_s, RETRY_LAST_S)
                    wait_s = max(wait_s, asked_s)
            self.metrics.incr("retried.log_append")
            gevent.sleep(self.timers.jittered(wait_s))
            wait_s = min(wait_s * 2, RETRY_LAST_S)

    def try_append(self) -> PlatformError | None:
        """Appends the batch once; returns the error, None when settled."""
        before = [pending.sent for pending in self.batch]
        for pending in self.batch:
            pending.sent = True
        answer = self.log_service.append(
            [encode_record(pending.record) for pending in self.batch]
        )
        if isinstance(answer, Err):
            log.warning("append failed: %s", answer.err_value.message)
            if not answer.err_value.effect_unknown:
                for pending, sent in zip(self.batch, before, strict=True):
                    pending.sent = sent
            return answer.err_value
        self.last_offset = max(self.last_offset, *answer.ok_value)
        for pending, offset in zip(self.batch, answer.ok_value, strict=True):
            pending.settle(offset)
        self.batch = []
        return None

    def settle_found(self, after: int) -> bool:
        """Settles records of the batch that are on the log after an offset.

        Returns:
            False when the log could not be read to its end.
        """
        offsets = find_ids(
            self.log_service, {item.record.id for item in self.batch}, after
        )
        if isinstance(offsets, Err):
            return False
        for pending in self.batch:
            if pending.record.id in offsets.ok_value:
                pending.settle(offsets.ok_value[pending.record.id])
        self.batch = [
            item
            for item in self.batch
            if item.record.id not in offsets.ok_value
        ]
        return True


def find_ids(
    log_service: LogService, ids: set[str], after: int
) -> Result[dict[str, int], PlatformError]:
    """Returns the first offset of each id found after an offset."""
    found: dict[str, int] = {}
    while True:
        read = log_service.read(after, READ_RECORDS, 0)
        if isinstance(read, Err) and read.err_value.expired and after >= 0:
            after = -1
            continue
        if isinstance(read, Err):
            return read
        page = read.ok_value
        for raw in page.records:
            record_id = str(raw.record.get("id", ""))
            if record_id in ids:
                found.setdefault(record_id, raw.offset)
            after = raw.offset
        if not page.records or after + 1 >= page.end:
            return Ok(found)
