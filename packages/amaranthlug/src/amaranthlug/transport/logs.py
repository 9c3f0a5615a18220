"""Structured logs: one JSON object per line, with credentials redacted."""

import logging
import math
import re
import sys
import time
from collections.abc import Callable
from typing import Any, TextIO

import msgspec

CREDENTIAL = re.compile(r"(?i)(bearer\s+|x-peer-auth:?\s*|\bsk-)[^\s\"']+")
"""Matches credentials that a message or a traceback may contain."""

REPEAT_PERIOD_S = 10.0
"""Period in which one line per event and subject is written, in seconds."""

MAX_SUBJECTS = 1_000
"""Most pairs of event and subject remembered; at the limit all are cleared."""

STANDARD_ATTRIBUTES = frozenset(vars(logging.makeLogRecord({}))) | {
    "message",
    "asctime",
}
"""Attributes of every log record; all others come from `extra`."""


class JsonFormatter(logging.Formatter):
    """Formats a record as a JSON object with the fields of `extra`."""

    def __init__(self, node: str):
        """Creates a formatter that adds the node's name to each line."""
        super().__init__()
        self.node = node

    def format(self, record: logging.LogRecord) -> str:
        """Returns the record as one line of JSON."""
        line: dict[str, Any] = {
            "time": round(record.created, 3),
            "level": record.levelname,
            "node": self.node,
            "logger": record.name,
            "message": redact(record.getMessage()),
        }
        for name, value in vars(record).items():
            if name not in STANDARD_ATTRIBUTES:
                line[name] = redact(str(value))
        if record.exc_info:
            line["exception"] = redact(self.formatException(record.exc_info))
        return msgspec.json.encode(line).decode()


class RepeatFilter(logging.Filter):
    """Passes one record per event and subject in each period.

    Otherwise a line per refused request would flood the logs during an
    incident. The field `left_out` of the next record that passes counts the
    suppressed ones. Records without a subject always pass.
    """

    def __init__(self, now: Callable[[], float] = time.monotonic):
        """Creates a filter; `now` returns seconds of a monotonic clock."""
        super().__init__()
        self.now = now
        self.passed_at: dict[tuple[str, str], float] = {}
        self.left_out: dict[tuple[str, str], int] = {}

    def filter(self, record: logging.LogRecord) -> bool:
        """Returns whether a record is written; sets its field `left_out`."""
        subject = getattr(record, "subject", None)
        if subject is None:
            return True
        key = (getattr(record, "event", record.name), str(subject))
        now = self.now()
        if now - self.passed_at.get(key, -math.inf) < REPEAT_PERIOD_S:
            self.left_out[key] = self.left_out.get(key, 0) + 1
            return False
        if len(self.passed_at) >= MAX_SUBJECTS:
            self.passed_at.clear()
            self.left_out.clear()
        self.passed_at[key] = now
        record.left_out = self.left_out.pop(key, 0)
        return True


def redact(text: str) -> str:
    """Returns the text with credentials replaced."""
    return CREDENTIAL.sub(r"\1[redacted]", text)


def configure_logs(
    node: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Writes all logs of the process to `stream`, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(node))
    handler.addFilter(RepeatFilter())
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
