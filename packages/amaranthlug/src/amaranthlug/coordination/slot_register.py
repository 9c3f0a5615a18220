"""Rows of one kind at the owner of their slots: read, copy, bound."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from amaranthlug.coordination.slot_tables import SlotTable
from amaranthlug.coordination.slots import SlotLeaseManager

RowT = TypeVar("RowT", bound=msgspec.Struct)


class SlotRegister(Generic[RowT]):
    """A table of typed rows over the slot leases."""

    def __init__(
        self,
        keeper: SlotLeaseManager,
        name: str,
        row_type: type[RowT],
        newer: Callable[[dict[str, Any], dict[str, Any]], bool],
        bound: int,
        sweep: Callable[[], None],
    ):
        """Adds the table.

        Args:
            keeper: Slot leases.
            name: Name of the table in messages.
            row_type: Type of its rows.
            newer: Tells whether a row replaces another.
            bound: Most rows on this node.
            sweep: Removes rows that have expired.
        """
        self.keeper = keeper
        self.row_type = row_type
        self.bound = bound
        self.sweep = sweep
        self.table = SlotTable(name, newer)
        keeper.tables.add(self.table)

    def row(self, slot: int, key: str) -> RowT | None:
        """Returns a row or None."""
        found = self.table.get(slot, key)
        return None if found is None else msgspec.convert(found, self.row_type)

    def put(self, slot: int, key: str, row: RowT) -> None:
        """Sets a row."""
        self.table.put(slot, key, msgspec.to_builtins(row))

    def replicate(self, slot: int, key: str, row: RowT) -> bool:
        """Copies a row to all successors; see `SlotLeaseManager.replicate`."""
        rows = {key: msgspec.to_builtins(row)}
        return self.keeper.replicate(slot, self.table.name, rows)

    def has_room(self) -> bool:
        """Tells whether a row can be added, after a sweep if need be."""
        if self.is_full():
            self.sweep()
        return not self.is_full()

    def is_full(self) -> bool:
        """Tells whether rows or bytes have reached their bound."""
        return self.table.count >= self.bound or self.keeper.tables.is_full()
