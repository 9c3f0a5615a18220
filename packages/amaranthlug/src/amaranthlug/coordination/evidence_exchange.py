"""Exchanges evidence between nodes in messages of bounded size."""

import math
from collections import OrderedDict
from typing import Any

import msgspec

from amaranthlug.coordination.peers import MemberView
from amaranthlug.state.evidence import Cell, Evidence

MAX_ROWS = 40
"""Rows in one message; about 70 bytes each, so 2.8 KB at the most."""

MAX_BYTES = 2_800
"""Bytes of a section when the exchange sets no limit."""

SWEEP_SHARE = 0.25
"""Part of the bytes kept for rows that repeat old ones."""

MAX_WAITING = 4_000
"""Rows that wait to be sent; beyond it the oldest wait for the next sweep."""

EXTRA_SENDS = 2
"""Times a row is sent beyond log2 of the members, so that a row reaches all
with high probability although some messages are lost."""

SWEEP_ROWS = 8
"""Rows of a message that repeat old ones, for nodes that have just joined."""

RowKey = tuple[str, Cell]


def row_bytes(row: list[Any] | None) -> int:
    """Returns the bytes of a row as JSON."""
    return len(msgspec.json.encode(row)) + 1 if row else 0


class EvidenceExchange:
    """Section `evidence` of the exchange.

    The exchange does not tell a section to which peer a message goes, so a
    changed row is sent a few times (epidemic dissemination) in place of a
    difference per peer. Rows with failures or bad ratings go first.
    """

    name = "evidence"

    def __init__(self, evidence: Evidence, members: MemberView):
        """Creates the section over `evidence`."""
        self.evidence = evidence
        self.members = members
        self.urgent: OrderedDict[RowKey, int] = OrderedDict()
        self.waiting: OrderedDict[RowKey, int] = OrderedDict()
        self.sweep: list[RowKey] = []

    def mark_changed(self, cell: Cell, urgent: bool = False) -> None:
        """Queues this node's row of a cell to be sent."""
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
        """Returns the rows that fit, urgent ones first."""
        rows: dict[RowKey, list[Any]] = {}
        left = limit_bytes * (1 - SWEEP_SHARE)
        for queue in (self.urgent, self.waiting):
            for key in list(queue)[: MAX_ROWS - SWEEP_ROWS - len(rows)]:
                row = self._row(key)
                left -= row_bytes(row)
                if left < 0:
                    break
                if row:
                    rows[key] = row
                again = queue.pop(key) - 1
                if again:
                    queue[key] = again
        left = max(0.0, left) + limit_bytes * SWEEP_SHARE
        for key in reversed(self._sweep_rows()):
            row = self._row(key)
            left -= row_bytes(row)
            if left < 0:
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
        about = [cell.version, cell.kind, cell.hard, cell.server]
        return [incarnation, *about, tally.values()]

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges rows and passes on what was new."""
        for row in section.get("rows", [])[:MAX_ROWS]:
            incarnation, version, kind, hard, server, values = row
            cell = Cell(version, kind, bool(hard), server)
            before = self.evidence.pooled(cell)
            harm = before.bad + before.failed
            if self.evidence.merge(incarnation, cell, values):
                after = self.evidence.pooled(cell)
                self._queue(
                    (incarnation, cell), after.bad + after.failed > harm
                )
