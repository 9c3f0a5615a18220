"""Recent records of the log in memory, for late subscribers and peers."""

import dataclasses
from collections import deque
from typing import Any

import msgspec

STORE_BYTES = 8 * 1024 * 1024
"""Bound of stored records, in encoded bytes; the oldest are dropped. A node's
control may use 32 MB in all."""


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """An encoded record."""

    offset: int
    body: bytes

    def raw(self) -> Any:
        """Returns the record's JSON object."""
        return msgspec.json.decode(self.body)


class LogStore:
    """Contiguous recent records.

    Attributes:
        first: Offset from which every record is kept.
    """

    def __init__(self, bound_bytes: int = STORE_BYTES):
        """Creates an empty store."""
        self.bound_bytes = bound_bytes
        self.records: deque[StoredRecord] = deque()
        self.bytes = 0
        self.first = 0

    def add(self, offset: int, raw: Any) -> None:
        """Adds the next record; a gap before it empties the store."""
        if offset != self.next_offset():
            self.restart(offset)
        stored = StoredRecord(offset, msgspec.json.encode(raw))
        self.records.append(stored)
        self.bytes += len(stored.body)
        while self.bytes > self.bound_bytes and len(self.records) > 1:
            dropped = self.records.popleft()
            self.bytes -= len(dropped.body)
            self.first = dropped.offset + 1

    def restart(self, offset: int) -> None:
        """Empties the store; it goes on with an offset."""
        self.records.clear()
        self.bytes = 0
        self.first = offset

    def next_offset(self) -> int:
        """Returns the offset that continues the store without a gap."""
        return self.records[-1].offset + 1 if self.records else self.first

    def after(self, offset: int, limit: int) -> list[StoredRecord]:
        """Returns up to `limit` records with an offset above `offset`."""
        skip = max(0, offset + 1 - self.first)
        count = min(limit, len(self.records) - skip)
        return [self.records[skip + index] for index in range(max(0, count))]
