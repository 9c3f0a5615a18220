"""Memory of the state of a node: `python benchmarks/table_memory.py`.

Fills each table with the content of 390 nodes, or with many rows, and prints
bytes by row as `tracemalloc` counts them.
"""

import json
import tracemalloc
import uuid
from collections.abc import Callable

import msgspec

from amaranthlug.coordination.slot_tables import ROW_OVERHEAD_BYTES, SlotTable
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.leases import ALL_SLOTS, LeaseTable
from amaranthlug.state.limit_rows import Demand, DemandTable, Row
from amaranthlug.state.members import Member, MemberTable
from amaranthlug.state.records import LeaseClaim, LogEntry
from amaranthlug.state.runs import (
    PinRow,
    RunRow,
    RunState,
    is_newer_run,
    row_key,
)

NODES = 390
ROWS = 50_000
EVIDENCE_NODES = 64
CELLS = 140


def name(index: int) -> str:
    """Returns an incarnation."""
    return f"tw-north-{index}-{uuid.uuid4().hex[:12]}"


def run_row(index: int, answer: dict[str, str] | None) -> RunRow:
    """Returns a row of the run register."""
    return RunRow(
        attempt=1,
        state=RunState.DONE,
        fence=1_000,
        digest=uuid.uuid4().hex,
        run_id=uuid.uuid4().hex,
        runner=name(index),
        at_ms=1_790_000_000_000,
        answer=answer,
    )


def fill(make: Callable[[int], msgspec.Struct]) -> SlotTable:
    """Returns a table of many rows."""
    table = SlotTable("t", is_newer_run)
    for index in range(ROWS):
        row = msgspec.to_builtins(make(index))
        table.put(index % 64, row_key("run|o", str(index)), row)
    return table


def pins() -> SlotTable:
    """Returns session pins."""
    return fill(
        lambda i: PinRow(
            version="counsel@1",
            generation=1,
            fence=9,
            used_ms=1_790_000_000_000,
        )
    )


def members() -> MemberTable:
    """Returns the members of a fleet."""
    table = MemberTable()
    for index in range(NODES):
        table.insert(Member(f"10.0.0.{index}:8080", "neihu-a", name(index)))
    return table


def evidence() -> Evidence:
    """Returns the rows of as many incarnations as are kept apart."""
    found = Evidence("me")
    for node in range(EVIDENCE_NODES):
        incarnation = name(node)
        for cell in range(CELLS):
            about = Cell(f"m@{cell % 14}", f"kind-{cell % 5}", cell % 2 == 0)
            found.merge(incarnation, about, [1_000 + cell] * 11)
    return found


def limits() -> DemandTable:
    """Returns the demand of ten organisations at all nodes."""
    table = DemandTable()
    for node in range(NODES):
        demands = {
            f"organisation-{i}": Demand(4.1, 1800.0, 3.0, 0.1, 90_000 + i)
            for i in range(10)
        }
        table.merge(name(node), Row(1, 20_000, demands), 0.0)
    return table


def leases() -> LeaseTable:
    """Returns all leases."""
    fold = LeaseTable()
    for slot in range(ALL_SLOTS):
        claim = LeaseClaim(
            id=str(slot),
            slots={slot: -1},
            owner=name(slot),
            successors=[name(1), name(2)],
        )
        fold.apply(LogEntry(offset=slot, record=claim))
    return fold


def measure(label: str, make: Callable[[], object], rows: int) -> None:
    """Prints the memory of one table."""
    tracemalloc.start()
    kept = make()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    figures = {"table": label, "mb": round(used / 1e6, 2), "rows": rows}
    figures["bytes_per_row"] = round(used / rows)
    if isinstance(kept, SlotTable):
        figures["counted_per_row"] = round(kept.bytes / rows)
        figures["row_bytes"] = ROW_OVERHEAD_BYTES
    print(json.dumps(figures), flush=True)


def main() -> None:
    """Measures each table."""
    short = {"text": "a" * 400}
    measure("runs", lambda: fill(lambda i: run_row(i, None)), ROWS)
    measure("runs, answers", lambda: fill(lambda i: run_row(i, short)), ROWS)
    measure("pins", pins, ROWS)
    measure("members", members, NODES)
    measure("evidence", evidence, EVIDENCE_NODES * CELLS)
    measure("limits", limits, NODES)
    measure("leases", leases, ALL_SLOTS)


if __name__ == "__main__":
    main()
