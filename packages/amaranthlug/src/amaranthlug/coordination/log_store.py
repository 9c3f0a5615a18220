"""Recent records of the log in memory, for late subscribers and for peers."""

import dataclasses
from collections import deque
from typing import Any

import msgspec

MAX_STORE_BYTES = 8 * 1024 * 1024
"""Maximum size of the stored records, in encoded bytes; the oldest are dropped.
The control part of a node may use 32 MB in all."""


@dataclasses.dataclass(frozen=True)
class StoredRecord:
    """An encoded record with its offset."""

    offset: int
    body: bytes

    def decode(self) -> Any:
        """Returns the decoded JSON object of the record."""
        return msgspec.json.decode(self.body)


class LogStore:
    """Recent records without gaps.

    Attributes:
        first: Offset from which every record is stored.
    """

    def __init__(self, max_bytes: int = MAX_STORE_BYTES):
        """Creates an empty store."""
        self.max_bytes = max_bytes
        self.records: deque[StoredRecord] = deque()
        self.bytes = 0
        self.first = 0

    def add(self, offset: int, raw_record: Any) -> None:
        """Adds the next record; a gap before it clears the store first."""
        if offset != self.next_offset():
            self.restart(offset)
        stored = StoredRecord(offset, msgspec.json.encode(raw_record))
        self.records.append(stored)
        self.bytes += len(stored.body)
        while self.bytes > self.max_bytes and len(self.records) > 1:
            dropped = self.records.popleft()
            self.bytes -= len(dropped.body)
            self.first = dropped.offset + 1

    def restart(self, offset: int) -> None:
        """Clears the store, which then continues at the given offset."""
        self.records.clear()
        self.bytes = 0
        self.first = offset

    def next_offset(self) -> int:
        """Returns the offset that the next record needs to leave no gap."""
        return self.records[-1].offset + 1 if self.records else self.first

    def after(self, offset: int, limit: int) -> list[StoredRecord]:
        """Returns up to `limit` records with offsets above `offset`."""
        skip = max(0, offset + 1 - self.first)
        count = min(limit, len(self.records) - skip)
        return [self.records[skip + index] for index in range(max(0, count))]
