"""In-memory tables of rows by slot, at owners and successors."""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

Row = dict[str, Any]

MAX_CHUNK_ROWS = 1_000
"""Maximum number of rows in one message of a transfer."""

MAX_CHUNK_BYTES = 500_000
"""Size of rows at which a message of a transfer is sent, in bytes."""

ROW_OVERHEAD_BYTES = 150
"""Memory of a row besides its JSON, in bytes: the 32-character key, the header
of the bytes object and the dictionary entry."""

DEFAULT_BOUND_BYTES = 16_000_000
"""Memory of all rows at which owners stop adding rows, in bytes. With
`COPY_BOUND_FACTOR` that is 20 of the 32 MB for control data; see
docs/CAPACITY.md."""

COPY_BOUND_FACTOR = 1.25
"""Multiple of the bound up to which copies from other owners are accepted.
Owners stop at the bound itself, so copies are refused only if slots are
distributed unevenly."""


class SlotTable:
    """Rows by slot and key; a merge keeps the newer of two rows.

    `is_newer(a, b)` must be a strict order over the rows of a key, so that
    merges are commutative and idempotent. Rows are stored as JSON, which takes
    about a third of the memory of a dictionary.
    """

    def __init__(self, name: str, is_newer: Callable[[Row, Row], bool]):
        """Creates an empty table; `name` identifies it in messages."""
        self.name = name
        self.is_newer = is_newer
        self.slots: dict[int, dict[str, bytes]] = {}
        self.count = 0
        self.bytes = 0

    def get(self, slot: int, key: str) -> Row | None:
        """Returns a row, or None if there is none."""
        encoded = self.slots.get(slot, {}).get(key)
        return None if encoded is None else msgspec.json.decode(encoded)

    def put(self, slot: int, key: str, row: Row) -> None:
        """Stores a row in place of any older one."""
        self.remove(slot, key)
        # Copied because the encoder over-allocates its result.
        encoded = bytes(memoryview(msgspec.json.encode(row)))
        self.slots.setdefault(slot, {})[key] = encoded
        self.count += 1
        self.bytes += len(encoded) + ROW_OVERHEAD_BYTES

    def merge(self, slot: int, rows: dict[str, Row]) -> None:
        """Stores the rows that are newer than this node's."""
        for key, row in rows.items():
            current = self.get(slot, key)
            if current is None or self.is_newer(row, current):
                self.put(slot, key, row)

    def remove(self, slot: int, key: str) -> None:
        """Removes a row if it exists."""
        encoded = self.slots.get(slot, {}).pop(key, None)
        if encoded is not None:
            self.count -= 1
            self.bytes -= len(encoded) + ROW_OVERHEAD_BYTES

    def drop(self, slot: int) -> None:
        """Removes all rows of a slot."""
        rows = self.slots.pop(slot, {})
        self.count -= len(rows)
        self.bytes -= sum(
            len(encoded) + ROW_OVERHEAD_BYTES for encoded in rows.values()
        )

    def rows(self, slot: int) -> Iterator[tuple[str, Row]]:
        """Yields a slot's rows; the table may change during iteration."""
        for key, encoded in list(self.slots.get(slot, {}).items()):
            yield key, msgspec.json.decode(encoded)

    def chunks(self, slot: int) -> Iterator[dict[str, Row]]:
        """Yields the rows of a slot in chunks of bounded size."""
        chunk: dict[str, Row] = {}
        size = 0
        for key, encoded in list(self.slots.get(slot, {}).items()):
            chunk[key] = msgspec.json.decode(encoded)
            size += len(encoded)
            if size >= MAX_CHUNK_BYTES or len(chunk) >= MAX_CHUNK_ROWS:
                yield chunk
                chunk, size = {}, 0
        if chunk:
            yield chunk


class SlotTableSet:
    """All slot tables of a node, and its incomplete slots.

    Attributes:
        incomplete: Slot to the Unix time in milliseconds of the takeover at
            which no complete copy was available.
    """

    def __init__(
        self, retention_s: float, bound_bytes: int = DEFAULT_BOUND_BYTES
    ):
        """Creates an empty set; a slot is incomplete for `retention_s`."""
        self.retention_s = retention_s
        self.bound_bytes = bound_bytes
        self.tables: dict[str, SlotTable] = {}
        self.incomplete: dict[int, int] = {}

    def add(self, table: SlotTable) -> None:
        """Adds a table.

        Raises:
            ValueError: A table of this name exists.
        """
        if table.name in self.tables:
            raise ValueError(f"slot table {table.name!r} is added twice")
        self.tables[table.name] = table

    def bytes(self) -> int:
        """Returns the memory of all rows in bytes."""
        return sum(table.bytes for table in self.tables.values())

    def is_full(self) -> bool:
        """Returns whether owners must not add rows."""
        return self.bytes() >= self.bound_bytes

    def accepts_copies(self) -> bool:
        """Returns whether this node accepts rows from other owners."""
        return self.bytes() < COPY_BOUND_FACTOR * self.bound_bytes

    def mark_incomplete(self, slot: int, at_ms: int) -> None:
        """Records that rows from before `at_ms` may be missing."""
        self.incomplete[slot] = max(at_ms, self.incomplete.get(slot, 0))

    def incomplete_since(self, slot: int, now_ms: int) -> int | None:
        """Returns since when a slot is incomplete, or None if it is complete.

        The time is in Unix milliseconds. A slot counts as complete again after
        the retention time, when any missing row would have expired.
        """
        at_ms = self.incomplete.get(slot)
        if at_ms is None or now_ms - at_ms > 1000 * self.retention_s:
            return None
        return at_ms

    def transfer_parts(self, slot: int) -> Iterator[dict[str, Any]]:
        """Yields messages with a complete slot; the last one has `last` set."""
        for table in self.tables.values():
            for rows in table.chunks(slot):
                yield {"tables": {table.name: rows}, "last": False}
        yield {
            "tables": {},
            "incomplete": self.incomplete.get(slot, 0),
            "last": True,
        }

    def merge(self, slot: int, message: dict[str, Any]) -> None:
        """Merges the rows of a message; skips unknown tables."""
        for name, rows in message["tables"].items():
            if name in self.tables:
                self.tables[name].merge(slot, rows)
        if message.get("incomplete"):
            self.mark_incomplete(slot, int(message["incomplete"]))

    def drop(self, slot: int) -> None:
        """Removes all rows and marks of a slot."""
        for table in self.tables.values():
            table.drop(slot)
        self.incomplete.pop(slot, None)
