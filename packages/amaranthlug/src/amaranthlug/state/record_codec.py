"""Converts records to and from the JSON objects stored on the log."""

import logging
from typing import Any

import msgspec

from amaranthlug.state.records import AnyRecord, LogEntry, UnknownRecord

log = logging.getLogger(__name__)


def encode_record(record: AnyRecord) -> dict[str, Any]:
    """Returns the JSON object of a record."""
    encoded: dict[str, Any] = msgspec.to_builtins(record, str_keys=True)
    return encoded


def decode_record(offset: int, raw: Any) -> LogEntry:
    """Returns the log entry of a JSON object.

    An object that cannot be decoded becomes an `UnknownRecord`.
    """
    try:
        record: AnyRecord = msgspec.convert(raw, AnyRecord, strict=False)
    except msgspec.ValidationError as error:
        log.warning(
            "log record at offset %d cannot be decoded; skipping it: %s",
            offset,
            error,
        )
        record_id = raw.get("id", "") if isinstance(raw, dict) else ""
        record = UnknownRecord(id=str(record_id))
    return LogEntry(offset=offset, record=record)
