"""Table of typed rows at the owner of their slots."""

from collections.abc import Callable
from typing import Any, Generic, TypeVar

import msgspec

from amaranthlug.coordination.slot_tables import SlotTable
from amaranthlug.coordination.slots import SlotLeaseManager

RowT = TypeVar("RowT", bound=msgspec.Struct)


class SlotRegister(Generic[RowT]):
    """A bounded, replicated table of typed rows by slot."""

    def __init__(
        self,
        manager: SlotLeaseManager,
        name: str,
        row_type: type[RowT],
        is_newer: Callable[[dict[str, Any], dict[str, Any]], bool],
        bound: int,
        sweep: Callable[[], None],
    ):
        """Adds the table.

        Args:
            manager: Slot leases.
            name: Name of the table in messages.
            row_type: Type of its rows.
            is_newer: Returns whether a row replaces another.
            bound: Maximum number of rows on this node.
            sweep: Removes rows that have expired.
        """
        self.manager = manager
        self.row_type = row_type
        self.bound = bound
        self.sweep = sweep
        self.table = SlotTable(name, is_newer)
        manager.tables.add(self.table)

    def row(self, slot: int, key: str) -> RowT | None:
        """Returns a row, or None if there is none."""
        found = self.table.get(slot, key)
        return None if found is None else msgspec.convert(found, self.row_type)

    def put(self, slot: int, key: str, row: RowT) -> None:
        """Stores a row on this node only."""
        self.table.put(slot, key, msgspec.to_builtins(row))

    def replicate(self, slot: int, key: str, row: RowT) -> bool:
        """Copies a row to all successors; see `SlotLeaseManager.replicate`."""
        rows = {key: msgspec.to_builtins(row)}
        return self.manager.replicate(slot, self.table.name, rows)

    def has_room(self) -> bool:
        """Returns whether a row can be added; sweeps first if full."""
        if self.is_full():
            self.sweep()
        return not self.is_full()

    def is_full(self) -> bool:
        """Returns whether the rows or their memory reached the bound."""
        return self.table.count >= self.bound or self.manager.tables.is_full()
