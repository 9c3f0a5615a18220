"""Structured logs: one JSON object per line, without secrets."""

import logging
import math
import re
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

SECRET = re.compile(r"(?i)(bearer\s+|x-peer-auth:?\s*|\bsk-)[^\s\"']+")
"""Credentials that a message or a traceback might quote."""

REPEAT_S = 10.0
"""Period in which one line per event and subject is written, in seconds."""

MAX_SUBJECTS = 1_000
"""Bound of remembered subjects; all are forgotten at it."""

STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}
"""Attributes that every record has; all others are fields of `extra`."""


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object with the fields of `extra`."""

    def __init__(self, node: str):
        """Creates a formatter that names the node in each line."""
        super().__init__()
        self.node = node

    def format(self, record: logging.LogRecord) -> str:
        """Returns one line of JSON."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "node": self.node,
            "logger": record.name,
            "message": redacted(record.getMessage()),
        }
        for name, value in vars(record).items():
            if name not in STANDARD:
                line[name] = redacted(str(value))
        if record.exc_info:
            line["exception"] = redacted(self.formatException(record.exc_info))
        return msgspec.json.encode(line).decode()


class RepeatFilter(logging.Filter):
    """Passes one line per event and subject in a period.

    A refusal per request would otherwise fill the logs exactly when somebody
    reads them. The next line that passes tells how many were left out.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        """Creates a filter for records with the extra fields `event`."""
        super().__init__()
        self.now = now
        self.passed_at: dict[tuple[str, str], float] = {}
        self.left_out: dict[tuple[str, str], int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Tells whether a record is written."""
        subject = getattr(record, "subject", None)
        if subject is None:
            return True
        key = (getattr(record, "event", record.name), str(subject))
        now = self.now()
        if now - self.passed_at.get(key, -math.inf) < REPEAT_S:
            self.left_out[key] = self.left_out.get(key, 0) + 1
            return False
        if len(self.passed_at) >= MAX_SUBJECTS:
            self.passed_at.clear()
            self.left_out.clear()
        self.passed_at[key] = now
        record.left_out = self.left_out.pop(key, 0)
        return True


def redacted(text: str) -> str:
    """Returns the text with credentials replaced."""
    return SECRET.sub(r"\1[redacted]", text)


def configure_logs(
    node: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Sends all logs of the process to `stream`, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(node))
    handler.addFilter(RepeatFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
