"""Rate-limited JSON log lines, written without blocking the process."""

import collections
import logging
import os
import time
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from amaranthlug.transport.logs import STANDARD_ATTRIBUTES

SERVED_LINES_PER_S = 5.0
"""Log lines per second for served requests; lines above it are only counted."""
FAILED_LINES_PER_S = 50.0
"""Log lines per second for requests that were not served; the limit is higher
since these lines have priority."""
OTHER_LINES_PER_S = 30.0
"""Log lines per second for everything else."""
BURST_S = 4.0
"""Capacity of a token bucket, in seconds of its rate."""
MAX_PENDING = 2_000
"""Queued lines while standard output is read slowly; more are dropped."""
FLUSH_DELAY_S = 0.05
"""Delay before each write, in seconds; it batches lines and spaces the retries
of writing to a full pipe."""


class LineLimiter:
    """A token bucket for log lines.

    Attributes:
        left_out: Lines suppressed since the last one written.
    """

    def __init__(self, per_s: float, now: Callable[[], float]):
        """Creates a full bucket."""
        self.per_s = per_s
        self.now = now
        self.tokens = per_s * BURST_S
        self.refilled_at = now()
        self.left_out = 0

    def try_take(self) -> bool:
        """Takes a token for a line; counts the line as left out without one."""
        now = self.now()
        refilled = self.tokens + (now - self.refilled_at) * self.per_s
        self.tokens = min(self.per_s * BURST_S, refilled)
        self.refilled_at = now
        if self.tokens < 1:
            self.left_out += 1
            return False
        self.tokens -= 1
        return True


class LineWriter:
    """Writes queued lines from its own greenlet, without blocking."""

    def __init__(self, descriptor: int):
        """Sets an open file descriptor non-blocking and starts the greenlet."""
        self.descriptor = descriptor
        self.pending: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self.ready = Event()
        os.set_blocking(descriptor, False)
        self.greenlet = gevent.spawn(self.run)

    def put(self, line: bytes) -> None:
        """Queues a line, or drops it if the queue is full."""
        if len(self.pending) >= MAX_PENDING:
            self.dropped += 1
            return
        self.pending.append(line)
        self.ready.set()

    def run(self) -> None:
        """Writes queued lines in batches, forever."""
        while True:
            self.ready.wait()
            self.ready.clear()
            gevent.sleep(FLUSH_DELAY_S)  # Batches lines into one write.
            self.flush()

    def flush(self) -> None:
        """Writes until the queue is empty or the pipe is full."""
        while self.pending:
            data = b"".join(self.pending)
            self.pending.clear()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # The reader has closed the pipe, so this cannot be logged.
                self.dropped += 1
                return
            if written < len(data):
                self.pending.appendleft(data[written:])
                self.ready.set()
                return


class StructuredLog(logging.Handler):
    """Writes request lines and records of `logging` as JSON lines."""

    def __init__(
        self,
        node: str,
        writer: LineWriter,
        now: Callable[[], float] = time.monotonic,
    ):
        """Creates a log whose lines name `node`."""
        super().__init__()
        self.node = node
        self.writer = writer
        self.served = LineLimiter(SERVED_LINES_PER_S, now)
        self.failed = LineLimiter(FAILED_LINES_PER_S, now)
        self.other = LineLimiter(OTHER_LINES_PER_S, now)

    def request(self, served: bool, fields: dict[str, Any]) -> None:
        """Writes the line of a request within the rate limit of its outcome.

        The field `left_out` of the next line under the same limit counts the
        lines that were suppressed.
        """
        limiter = self.served if served else self.failed
        if limiter.try_take():
            self.write("INFO", fields, limiter)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record; warnings and errors are never suppressed."""
        severe = record.levelno >= logging.WARNING
        if not self.other.try_take() and not severe:
            return
        fields: dict[str, Any] = {"message": record.getMessage()}
        for name, value in vars(record).items():
            if name not in STANDARD_ATTRIBUTES:
                fields[name] = value
        if record.exc_info:
            formatter = logging.Formatter()
            fields["exception"] = formatter.formatException(record.exc_info)
        self.write(record.levelname, fields, self.other)

    def write(
        self, level: str, fields: dict[str, Any], limiter: LineLimiter
    ) -> None:
        """Adds the common fields and queues a line."""
        line = {"time": round(time.time(), 3), "level": level, **fields}
        line["node"] = self.node
        if limiter.left_out:
            line["left_out"] = limiter.left_out
            limiter.left_out = 0
        self.writer.put(msgspec.json.encode(line, enc_hook=str) + b"\n")
