"""Tables kept per slot by an owner and its copies: merge, export, drop."""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec

Row = dict[str, Any]

CHUNK_ROWS = 1_000
"""Most rows in one message of a transfer."""

CHUNK_BYTES = 500_000
"""Bytes of rows after which a message of a transfer is full."""

ROW_OVERHEAD_BYTES = 150
"""Memory of a row beside its JSON: the key of 32 characters, the head of the
bytes object and the place in the dictionary, as measured."""

DEFAULT_BYTES = 16_000_000
"""Memory of all rows at which owners stop to add any. With `COPY_SHARE` it is
20 of the 32 MB of control; docs/CAPACITY.md has the rest."""

COPY_SHARE = 1.25
"""Copies of other owners are taken up to this multiple of the bound. Owners
stop at the bound, so their copies are refused only on an uneven spread."""


class SlotTable:
    """Rows by slot and key; of two rows the one that is `newer` stays.

    `newer(a, b)` must be a strict order over the rows of a key, so that merges
    commute and may be repeated. Rows are kept as JSON, which takes about a
    third of the memory of a dictionary.
    """

    def __init__(self, name: str, newer: Callable[[Row, Row], bool]):
        """Creates an empty table; `name` identifies it in messages."""
        self.name = name
        self.newer = newer
        self.slots: dict[int, dict[str, bytes]] = {}
        self.count = 0
        self.bytes = 0

    def get(self, slot: int, key: str) -> Row | None:
        """Returns a row or None."""
        packed = self.slots.get(slot, {}).get(key)
        return None if packed is None else msgspec.json.decode(packed)

    def put(self, slot: int, key: str, row: Row) -> None:
        """Sets a row."""
        self.remove(slot, key)
        # The encoder's own result keeps unused memory behind its end.
        packed = bytes(memoryview(msgspec.json.encode(row)))
        self.slots.setdefault(slot, {})[key] = packed
        self.count += 1
        self.bytes += len(packed) + ROW_OVERHEAD_BYTES

    def merge(self, slot: int, rows: dict[str, Row]) -> None:
        """Takes over the rows that are newer than this node's."""
        for key, row in rows.items():
            mine = self.get(slot, key)
            if mine is None or self.newer(row, mine):
                self.put(slot, key, row)

    def remove(self, slot: int, key: str) -> None:
        """Removes a row if it is there."""
        packed = self.slots.get(slot, {}).pop(key, None)
        if packed is not None:
            self.count -= 1
            self.bytes -= len(packed) + ROW_OVERHEAD_BYTES

    def drop(self, slot: int) -> None:
        """Removes all rows of a slot."""
        rows = self.slots.pop(slot, {})
        self.count -= len(rows)
        self.bytes -= sum(
            len(packed) + ROW_OVERHEAD_BYTES for packed in rows.values()
        )

    def rows(self, slot: int) -> Iterator[tuple[str, Row]]:
        """Yields the rows of a slot; they may be changed meanwhile."""
        for key, packed in list(self.slots.get(slot, {}).items()):
            yield key, msgspec.json.decode(packed)

    def chunks(self, slot: int) -> Iterator[dict[str, Row]]:
        """Yields the rows of a slot in parts of bounded size."""
        chunk: dict[str, Row] = {}
        size = 0
        for key, packed in list(self.slots.get(slot, {}).items()):
            chunk[key] = msgspec.json.decode(packed)
            size += len(packed)
            if size >= CHUNK_BYTES or len(chunk) >= CHUNK_ROWS:
                yield chunk
                chunk, size = {}, 0
        if chunk:
            yield chunk


class TableSet:
    """All slot tables of a node and which slots are incomplete.

    Attributes:
        incomplete: Slot to the Unix time in milliseconds of the takeover that
            lacked a copy.
    """

    def __init__(self, retention_s: float, bound_bytes: int = DEFAULT_BYTES):
        """Creates an empty set; a slot is incomplete for `retention_s`."""
        self.retention_s = retention_s
        self.bound_bytes = bound_bytes
        self.tables: dict[str, SlotTable] = {}
        self.incomplete: dict[int, int] = {}

    def add(self, table: SlotTable) -> None:
        """Adds a table.

        Raises:
            ValueError: The name is taken.
        """
        if table.name in self.tables:
            raise ValueError(f"slot table {table.name!r} is added twice")
        self.tables[table.name] = table

    def bytes(self) -> int:
        """Returns the memory of all rows."""
        return sum(table.bytes for table in self.tables.values())

    def is_full(self) -> bool:
        """Tells whether owners must not add rows."""
        return self.bytes() >= self.bound_bytes

    def takes_copies(self) -> bool:
        """Tells whether this node takes rows of other owners."""
        return self.bytes() < COPY_SHARE * self.bound_bytes

    def mark_incomplete(self, slot: int, at_ms: int) -> None:
        """Notes that keys before `at_ms` may be unknown here."""
        self.incomplete[slot] = max(at_ms, self.incomplete.get(slot, 0))

    def incomplete_since(self, slot: int, now_ms: int) -> int | None:
        """Returns when a slot became incomplete, None for a complete one."""
        at_ms = self.incomplete.get(slot)
        if at_ms is None or now_ms - at_ms > 1000 * self.retention_s:
            return None
        return at_ms

    def parts(self, slot: int) -> Iterator[dict[str, Any]]:
        """Yields messages that carry a whole slot; the last has `last`."""
        for table in self.tables.values():
            for rows in table.chunks(slot):
                yield {"tables": {table.name: rows}, "last": False}
        yield {
            "tables": {},
            "incomplete": self.incomplete.get(slot, 0),
            "last": True,
        }

    def merge(self, slot: int, message: dict[str, Any]) -> None:
        """Merges rows; tables that this node does not have are skipped."""
        for name, rows in message["tables"].items():
            if name in self.tables:
                self.tables[name].merge(slot, rows)
        if message.get("incomplete"):
            self.mark_incomplete(slot, int(message["incomplete"]))

    def drop(self, slot: int) -> None:
        """Forgets a slot."""
        for table in self.tables.values():
            table.drop(slot)
        self.incomplete.pop(slot, None)
