"""Structured lines on standard output, bounded and never blocking."""

import collections
import logging
import os
import time
from collections.abc import Callable
from typing import Any

import gevent
import msgspec
from gevent.event import Event

from amaranthlug.transport.logs import STANDARD

SERVED_PER_S = 5.0
"""Lines a second for served requests; the rest are counted."""
FAILED_PER_S = 50.0
"""Lines a second for requests that were not served; they go first."""
OTHER_PER_S = 30.0
"""Lines a second for everything else."""
BURST_S = 4.0
"""Seconds of lines that may be saved up."""
MAX_PENDING = 2_000
"""Lines that wait for a slow reader of standard output; more are dropped."""
RETRY_S = 0.05
"""Pause before writing again to a full pipe, in seconds."""


class Allowance:
    """A token bucket for lines."""

    def __init__(self, per_s: float, now: Callable[[], float]):
        """Creates a full bucket."""
        self.per_s = per_s
        self.now = now
        self.left = per_s * BURST_S
        self.filled_at = now()
        self.left_out = 0

    def take(self) -> bool:
        """Tells whether a line may be written; counts it if not."""
        now = self.now()
        grown = self.left + (now - self.filled_at) * self.per_s
        self.left = min(self.per_s * BURST_S, grown)
        self.filled_at = now
        if self.left < 1:
            self.left_out += 1
            return False
        self.left -= 1
        return True


class LineWriter:
    """Writes lines in a greenlet of its own, without blocking the process."""

    def __init__(self, descriptor: int):
        """Writes to an open file descriptor."""
        self.descriptor = descriptor
        self.pending: collections.deque[bytes] = collections.deque()
        self.dropped = 0
        self.ready = Event()
        os.set_blocking(descriptor, False)
        self.greenlet = gevent.spawn(self.run)

    def put(self, line: bytes) -> None:
        """Queues a line; drops it if too many wait."""
        if len(self.pending) >= MAX_PENDING:
            self.dropped += 1
            return
        self.pending.append(line)
        self.ready.set()

    def run(self) -> None:
        """Writes what is queued."""
        while True:
            self.ready.wait()
            self.ready.clear()
            gevent.sleep(RETRY_S)  # Lines of a moment share one write.
            self.flush()

    def flush(self) -> None:
        """Writes until nothing is queued or the pipe is full."""
        while self.pending:
            data = b"".join(self.pending)
            self.pending.clear()
            try:
                written = os.write(self.descriptor, data)
            except BlockingIOError:
                written = 0
            except OSError:
                # Nobody reads: there is no place left to report it.
                self.dropped += 1
                return
            if written < len(data):
                self.pending.appendleft(data[written:])
                self.ready.set()
                return


class StructuredLog(logging.Handler):
    """Takes request lines and records of `logging`."""

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
        self.served = Allowance(SERVED_PER_S, now)
        self.failed = Allowance(FAILED_PER_S, now)
        self.other = Allowance(OTHER_PER_S, now)

    def request(self, served: bool, fields: dict[str, Any]) -> None:
        """Writes the line of a request.

        Lines of served requests are left out first; the next line of the same
        kind tells how many were.
        """
        allowance = self.served if served else self.failed
        if allowance.take():
            self.write("INFO", fields, allowance)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes a record; warnings and errors are never left out."""
        severe = record.levelno >= logging.WARNING
        if not self.other.take() and not severe:
            return
        fields: dict[str, Any] = {"message": record.getMessage()}
        for name, value in vars(record).items():
            if name not in STANDARD:
                fields[name] = value
        if record.exc_info:
            formatter = logging.Formatter()
            fields["exception"] = formatter.formatException(record.exc_info)
        self.write(record.levelname, fields, self.other)

    def write(
        self, level: str, fields: dict[str, Any], allowance: Allowance
    ) -> None:
        """Queues a line."""
        line = {"time": round(time.time(), 3), "level": level, **fields}
        line["node"] = self.node
        if allowance.left_out:
            line["left_out"] = allowance.left_out
            allowance.left_out = 0
        self.writer.put(msgspec.json.encode(line, enc_hook=str) + b"\n")
