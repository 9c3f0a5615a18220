"""Appends records to the log with one effect each, even if answers are lost.

Records wait in two bounded queues and are appended in batches by one greenlet.
Before a batch is retried after a lost answer, the writer reads the log from the
position known before the first attempt and searches for the ids. If the lost
append takes effect only after this search, the retry is a duplicate, which
readers ignore by its id.
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

MAX_BATCH_RECORDS = 200
"""Maximum records in one append."""

MAX_DEFERRED = 20_000
"""Maximum records queued during an outage of the log. In a fleet of 390 nodes,
a node enqueues one chunk of bills in 10 s, so an outage of an hour needs a few
hundred."""

MAX_URGENT = 1_000
"""Maximum records whose callers wait for the answer; more get an error."""

APPEND_WAIT_S = 10.0
"""Timeout of `append`, in seconds."""

MIN_RETRY_WAIT_S = 0.25
MAX_RETRY_WAIT_S = 5.0
"""First and maximum wait between attempts, in seconds. At the maximum, 390
nodes send fewer than 80 attempts per second to a recovering log."""

MAX_READ_RECORDS = 1_000
"""Maximum records per read when searching for ids."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class PendingRecord:
    """A record that is not yet known to be on the log.

    Attributes:
        result: Receives the offset; None if no caller waits for it.
        sent: An append of the record may have taken effect.
        dropped: The caller timed out, so the record is not sent again.
    """

    record: AnyRecord
    result: AsyncResult | None = None
    sent: bool = False
    dropped: bool = False

    def settle(self, offset: int) -> None:
        """Passes the offset to the waiting caller."""
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
            metrics: Receives `retried.log_append` and the queue's length.
            append_wait_s: Timeout of `append`, in seconds.
        """
        self.log_service = log_service
        self.position = position
        self.timers = timers
        self.metrics = metrics
        self.append_wait_s = append_wait_s
        self.urgent: deque[PendingRecord] = deque()
        self.deferred: deque[PendingRecord] = deque()
        self.batch: list[PendingRecord] = []
        self.last_offset = -1
        self.records_queued = Event()
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the greenlet that appends."""
        self.greenlet = gevent.spawn(self.run)

    def stop(self) -> None:
        """Stops the greenlet; queued records stay unsent."""
        if self.greenlet is not None:
            self.greenlet.kill()

    def append(self, record: AnyRecord) -> Result[int, PlatformError]:
        """Appends a record and waits for its offset.

        Returns:
            The offset, or an error whose `effect_unknown` states whether the
            record may be on the log, now or later.
        """
        if len(self.urgent) >= MAX_URGENT:
            return Err(
                PlatformError(
                    "log",
                    f"{MAX_URGENT} records are already waiting; try again "
                    "when the log answers",
                )
            )
        pending = PendingRecord(record, AsyncResult())
        self.urgent.append(pending)
        self.records_queued.set()
        assert pending.result is not None
        try:
            return Ok(pending.result.get(timeout=self.append_wait_s))
        except gevent.Timeout:
            pending.dropped = True
            return Err(
                PlatformError(
                    "log",
                    f"no answer in {self.append_wait_s} s; search the log for "
                    f"record {record.id} before writing it again",
                    effect_unknown=pending.sent,
                )
            )

    def enqueue(self, record: AnyRecord) -> bool:
        """Queues a record, also in an outage; False if the queue is full."""
        if len(self.deferred) >= MAX_DEFERRED:
            self.metrics.incr("log.queue_full")
            return False
        self.deferred.append(PendingRecord(record))
        self.records_queued.set()
        return True

    def backlog(self) -> int:
        """Returns the number of records not yet known to be on the log."""
        return len(self.urgent) + len(self.deferred) + len(self.batch)

    def flush(self, timeout_s: float) -> bool:
        """Waits until all records are on the log; returns False on timeout."""
        deadline = self.timers.now() + timeout_s
        while self.backlog() and self.timers.now() < deadline:
            gevent.sleep(0.02)
        return not self.backlog()

    def run(self) -> None:
        """Appends batches in an endless loop."""
        while True:
            self.batch = self.next_batch()
            self.metrics.gauge("log.backlog", self.backlog())
            if not self.batch:
                self.records_queued.clear()
                self.records_queued.wait()
                continue
            try:
                self.append_batch_with_retries()
            except Exception:
                # The records must not be lost, and a duplicate has no effect.
                log.exception("appending a batch failed; trying again")
                self.deferred.extendleft(reversed(self.batch))
                gevent.sleep(self.timers.jittered(MAX_RETRY_WAIT_S))

    def next_batch(self) -> list[PendingRecord]:
        """Takes records from the queues, those with a waiting caller first."""
        batch: list[PendingRecord] = []
        for queue in (self.urgent, self.deferred):
            while queue and len(batch) < MAX_BATCH_RECORDS:
                pending = queue.popleft()
                if not pending.dropped:
                    batch.append(pending)
        return batch

    def append_batch_with_retries(self) -> None:
        """Appends the batch, with retries, until every record is settled."""
        known_offset = max(self.position(), self.last_offset)
        effect_unknown = False
        wait_s = MIN_RETRY_WAIT_S
        while True:
            if effect_unknown:
                effect_unknown = not self.settle_records_on_log(known_offset)
            self.batch = [item for item in self.batch if not item.dropped]
            if not self.batch:
                return
            if not effect_unknown:
                error = self.append_batch()
                if error is None:
                    return
                effect_unknown = error.effect_unknown
                if not effect_unknown:
                    requested_wait_s = min(
                        error.retry_after_s, MAX_RETRY_WAIT_S
                    )
                    wait_s = max(wait_s, requested_wait_s)
            self.metrics.incr("retried.log_append")
            gevent.sleep(self.timers.jittered(wait_s))
            wait_s = min(wait_s * 2, MAX_RETRY_WAIT_S)

    def append_batch(self) -> PlatformError | None:
        """Appends the batch once; returns the error, None on success."""
        previously_sent = [pending.sent for pending in self.batch]
        for pending in self.batch:
            pending.sent = True
        answer = self.log_service.append(
            [encode_record(pending.record) for pending in self.batch]
        )
        if isinstance(answer, Err):
            log.warning(
                "append to the log failed: %s", answer.err_value.message
            )
            if not answer.err_value.effect_unknown:
                for pending, sent in zip(
                    self.batch, previously_sent, strict=True
                ):
                    pending.sent = sent
            return answer.err_value
        self.last_offset = max(self.last_offset, *answer.ok_value)
        for pending, offset in zip(self.batch, answer.ok_value, strict=True):
            pending.settle(offset)
        self.batch = []
        return None

    def settle_records_on_log(self, after: int) -> bool:
        """Settles the records of the batch found on the log after an offset.

        Returns:
            False if the log could not be read to its end.
        """
        offsets = find_offsets_by_id(
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


def find_offsets_by_id(
    log_service: LogService, ids: set[str], after: int
) -> Result[dict[str, int], PlatformError]:
    """Returns the first offset of each id that occurs after an offset."""
    found: dict[str, int] = {}
    while True:
        read = log_service.read(after, MAX_READ_RECORDS, 0)
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
