"""Exchanges evidence between nodes in messages of limited size."""

import math
from collections import OrderedDict
from typing import Any

import msgspec

from amaranthlug.coordination.peers import MemberView
from amaranthlug.state.evidence import Cell, Evidence

MAX_ROWS = 40
"""Maximum rows in one message; at about 70 bytes each, 2.8 KB."""

MAX_BYTES = 2_800
"""Maximum bytes of a section when the exchange sets no limit."""

SWEEP_SHARE = 0.25
"""Share of the bytes reserved for the sweep, which repeats old rows."""

MAX_WAITING = 4_000
"""Maximum rows in each queue; the oldest are dropped and sent with the next
sweep."""

EXTRA_SENDS = 2
"""Times a row is sent in addition to log2 of the number of members, so that it
reaches all of them with high probability although some messages are lost."""

SWEEP_ROWS = 8
"""Rows of a message reserved for the sweep, for nodes that have just joined."""

RowKey = tuple[str, Cell]


def row_bytes(row: list[Any] | None) -> int:
    """Returns the size of a row as JSON, in bytes, with its separator."""
    return len(msgspec.json.encode(row)) + 1 if row else 0


class EvidenceExchange:
    """Section `evidence` of the exchange.

    A section does not know to which peer a message goes. Instead of the
    difference to each peer, it sends every changed row a few times (epidemic
    dissemination). Rows with failures or bad ratings are sent first.

    Attributes:
        urgent: Remaining sends of rows with failures or bad ratings.
        waiting: Remaining sends of other changed rows.
        sweep: Rows that the current sweep has not repeated yet.
    """

    name = "evidence"

    def __init__(self, evidence: Evidence, members: MemberView):
        """Creates the section for the given evidence."""
        self.evidence = evidence
        self.members = members
        self.urgent: OrderedDict[RowKey, int] = OrderedDict()
        self.waiting: OrderedDict[RowKey, int] = OrderedDict()
        self.sweep: list[RowKey] = []

    def mark_changed(self, cell: Cell, urgent: bool = False) -> None:
        """Queues this node's row of a cell for sending."""
        self._queue((self.evidence.incarnation, cell), urgent)

    def _queue(self, key: RowKey, urgent: bool) -> None:
        members = max(2, len(self.members.live()))
        sends = math.ceil(math.log2(members)) + EXTRA_SENDS
        queue = self.urgent if urgent or key in self.urgent else self.waiting
        if urgent:
            self.waiting.pop(key, None)
        queue[key] = sends
        if len(queue) > MAX_WAITING:
            queue.popitem(last=False)

    def outgoing(self) -> dict[str, Any]:
        """Returns up to `MAX_ROWS` rows, urgent ones first."""
        return self.outgoing_within(MAX_BYTES)

    def outgoing_within(self, limit_bytes: int) -> dict[str, Any]:
        """Returns the rows that fit into the bytes, urgent ones first."""
        rows: dict[RowKey, list[Any]] = {}
        remaining_bytes = limit_bytes * (1 - SWEEP_SHARE)
        for queue in (self.urgent, self.waiting):
            for key in list(queue)[: MAX_ROWS - SWEEP_ROWS - len(rows)]:
                row = self._row(key)
                remaining_bytes -= row_bytes(row)
                if remaining_bytes < 0:
                    break
                if row:
                    rows[key] = row
                remaining = queue.pop(key) - 1
                if remaining:
                    queue[key] = remaining
        remaining_bytes = max(0.0, remaining_bytes) + limit_bytes * SWEEP_SHARE
        for key in reversed(self._sweep_rows()):
            row = self._row(key)
            remaining_bytes -= row_bytes(row)
            if remaining_bytes < 0:
                break
            self.sweep.pop()
            if row:
                rows[key] = row
        return {"rows": list(rows.values())} if rows else {}

    def _sweep_rows(self) -> list[RowKey]:
        if not self.sweep:
            self.evidence.compact(m.incarnation for m in self.members.members())
            self.sweep = [
                (incarnation, cell)
                for incarnation, cells in self.evidence.rows.items()
                for cell in cells
            ]
        return self.sweep[-SWEEP_ROWS:]

    def _row(self, key: RowKey) -> list[Any] | None:
        incarnation, cell = key
        tally = self.evidence.rows.get(incarnation, {}).get(cell)
        if tally is None:
            return None
        key_fields = [cell.version, cell.kind, cell.hard, cell.server]
        return [incarnation, *key_fields, tally.values()]

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges rows and queues those with new counts for sending."""
        for row in section.get("rows", [])[:MAX_ROWS]:
            incarnation, version, kind, hard, server, values = row
            cell = Cell(version, kind, bool(hard), server)
            old_tally = self.evidence.pooled(cell)
            bad_before = old_tally.bad + old_tally.failed
            if self.evidence.merge(incarnation, cell, values):
                new_tally = self.evidence.pooled(cell)
                self._queue(
                    (incarnation, cell),
                    new_tally.bad + new_tally.failed > bad_before,
                )
