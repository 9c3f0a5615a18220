"""Memory use of a node's state: `python benchmarks/table_memory.py`.

Fills each table with the state of 390 nodes, or with many rows, and prints the
bytes per row as `tracemalloc` counts them.
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

NODE_COUNT = 390
ROW_COUNT = 50_000
EVIDENCE_NODE_COUNT = 64
CELLS_PER_NODE = 140


def make_incarnation(index: int) -> str:
    """Returns an incarnation name of realistic length."""
    return f"tw-north-{index}-{uuid.uuid4().hex[:12]}"


def make_run_row(index: int, answer: dict[str, str] | None) -> RunRow:
    """Returns a row of the run register for a finished run."""
    return RunRow(
        attempt=1,
        state=RunState.DONE,
        fence=1_000,
        digest=uuid.uuid4().hex,
        run_id=uuid.uuid4().hex,
        runner=make_incarnation(index),
        at_ms=1_790_000_000_000,
        answer=answer,
    )


def make_full_table(make: Callable[[int], msgspec.Struct]) -> SlotTable:
    """Returns a slot table of `ROW_COUNT` rows."""
    table = SlotTable("t", is_newer_run)
    for index in range(ROW_COUNT):
        row = msgspec.to_builtins(make(index))
        table.put(index % 64, row_key("run|o", str(index)), row)
    return table


def make_pins() -> SlotTable:
    """Returns a table of session pins."""
    return make_full_table(
        lambda i: PinRow(
            version="counsel@1",
            generation=1,
            fence=9,
            used_ms=1_790_000_000_000,
        )
    )


def make_members() -> MemberTable:
    """Returns the members of a fleet."""
    table = MemberTable()
    for index in range(NODE_COUNT):
        table.insert(
            Member(f"10.0.0.{index}:8080", "neihu-a", make_incarnation(index))
        )
    return table


def make_evidence() -> Evidence:
    """Returns evidence of as many incarnations as have separate rows."""
    evidence = Evidence("me")
    for node in range(EVIDENCE_NODE_COUNT):
        incarnation = make_incarnation(node)
        for cell in range(CELLS_PER_NODE):
            evidence_cell = Cell(
                f"m@{cell % 14}", f"kind-{cell % 5}", cell % 2 == 0
            )
            evidence.merge(incarnation, evidence_cell, [1_000 + cell] * 11)
    return evidence


def make_limits() -> DemandTable:
    """Returns the demand of ten organisations at all nodes."""
    table = DemandTable()
    for node in range(NODE_COUNT):
        demands = {
            f"organisation-{i}": Demand(4.1, 1800.0, 3.0, 0.1, 90_000 + i)
            for i in range(10)
        }
        table.merge(make_incarnation(node), Row(1, 20_000, demands), 0.0)
    return table


def make_leases() -> LeaseTable:
    """Returns a lease table in which every slot is leased."""
    lease_table = LeaseTable()
    for slot in range(ALL_SLOTS):
        claim = LeaseClaim(
            id=str(slot),
            slots={slot: -1},
            owner=make_incarnation(slot),
            successors=[make_incarnation(1), make_incarnation(2)],
        )
        lease_table.apply(LogEntry(offset=slot, record=claim))
    return lease_table


def measure(label: str, make: Callable[[], object], rows: int) -> None:
    """Prints the memory use of the table that `make` returns."""
    tracemalloc.start()
    table = make()
    used = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    figures = {"table": label, "mb": round(used / 1e6, 2), "rows": rows}
    figures["bytes_per_row"] = round(used / rows)
    if isinstance(table, SlotTable):
        figures["counted_per_row"] = round(table.bytes / rows)
        figures["row_bytes"] = ROW_OVERHEAD_BYTES
    print(json.dumps(figures), flush=True)


def main() -> None:
    """Measures each table."""
    answer_body = {"text": "a" * 400}
    measure(
        "runs",
        lambda: make_full_table(lambda i: make_run_row(i, None)),
        ROW_COUNT,
    )
    measure(
        "runs, answers",
        lambda: make_full_table(lambda i: make_run_row(i, answer_body)),
        ROW_COUNT,
    )
    measure("pins", make_pins, ROW_COUNT)
    measure("members", make_members, NODE_COUNT)
    measure("evidence", make_evidence, EVIDENCE_NODE_COUNT * CELLS_PER_NODE)
    measure("limits", make_limits, NODE_COUNT)
    measure("leases", make_leases, ALL_SLOTS)


if __name__ == "__main__":
    main()
