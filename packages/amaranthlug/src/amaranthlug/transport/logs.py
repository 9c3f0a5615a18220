"""Structured logs: one JSON object per line, without secrets."""

import logging
import re
import sys
from typing import Any, TextIO

import msgspec

SECRET = re.compile(r"(?i)(bearer\s+|x-peer-auth:?\s*|\bsk-)[^\s\"']+")
"""Credentials that a message or a traceback might quote."""

STANDARD = frozenset(vars(logging.makeLogRecord({}))) | {"message", "asctime"}


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


def redacted(text: str) -> str:
    """Returns the text with credentials replaced."""
    return SECRET.sub(r"\1[redacted]", text)


def configure_logs(
    node: str, level: str = "INFO", stream: TextIO | None = None
) -> None:
    """Sends all logs of the process to `stream`, standard error by default."""
    handler = logging.StreamHandler(stream or sys.stderr)
    handler.setFormatter(JsonFormatter(node))
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
