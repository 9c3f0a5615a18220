"""Tables kept per slot by an owner and its copies: merge, export, drop."""

import itertools
from collections.abc import Callable, Iterator
from typing import Any

Row = dict[str, Any]

CHUNK_ROWS = 1_000
"""Rows in one message of a transfer."""


class SlotTable:
    """Rows by slot and key; of two rows the one that is `newer` stays.

    `newer(a, b)` must be a strict order over the rows of a key, so that merges
    commute and may be repeated.
    """

    def __init__(self, name: str, newer: Callable[[Row, Row], bool]):
        """Creates an empty table; `name` identifies it in messages."""
        self.name = name
        self.newer = newer
        self.slots: dict[int, dict[str, Row]] = {}
        self.count = 0

    def get(self, slot: int, key: str) -> Row | None:
        """Returns a row or None."""
        return self.slots.get(slot, {}).get(key)

    def put(self, slot: int, key: str, row: Row) -> None:
        """Sets a row."""
        rows = self.slots.setdefault(slot, {})
        self.count += key not in rows
        rows[key] = row

    def merge(self, slot: int, rows: dict[str, Row]) -> None:
        """Takes over the rows that are newer than this node's."""
        for key, row in rows.items():
            mine = self.get(slot, key)
            if mine is None or self.newer(row, mine):
                self.put(slot, key, row)

    def remove(self, slot: int, key: str) -> None:
        """Removes a row if it is there."""
        if self.slots.get(slot, {}).pop(key, None) is not None:
            self.count -= 1

    def drop(self, slot: int) -> None:
        """Removes all rows of a slot."""
        self.count -= len(self.slots.pop(slot, {}))

    def chunks(self, slot: int) -> Iterator[dict[str, Row]]:
        """Yields the rows of a slot in parts of bounded size."""
        rows = iter(list(self.slots.get(slot, {}).items()))
        while chunk := dict(itertools.islice(rows, CHUNK_ROWS)):
            yield chunk


class TableSet:
    """All slot tables of a node and which slots are incomplete.

    Attributes:
        incomplete: Slot to the Unix time in milliseconds of the takeover that
            lacked a copy.
    """

    def __init__(self, retention_s: float):
        """Creates an empty set; a slot is incomplete for `retention_s`."""
        self.retention_s = retention_s
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
