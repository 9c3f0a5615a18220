"""Exchanges evidence between nodes in messages of bounded size."""

import math
from collections import OrderedDict
from typing import Any

from amaranthlug.coordination.peers import MemberView
from amaranthlug.state.evidence import Cell, Evidence

MAX_ROWS = 40
"""Rows in one message; about 70 bytes each, so 2.8 KB at the most."""

MAX_WAITING = 4_000
"""Rows that wait to be sent; beyond it the oldest wait for the next sweep."""

EXTRA_SENDS = 2
"""Times a row is sent beyond log2 of the members, so that a row reaches all
with high probability although some messages are lost."""

SWEEP_ROWS = 8
"""Rows of a message that repeat old ones, for nodes that have just joined."""

RowKey = tuple[str, Cell]


class EvidencePool:
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

    def changed(self, cell: Cell, urgent: bool = False) -> None:
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
        keys: list[RowKey] = []
        for queue in (self.urgent, self.waiting):
            for key in list(queue)[: MAX_ROWS - SWEEP_ROWS - len(keys)]:
                keys.append(key)
                left = queue.pop(key) - 1
                if left:
                    queue[key] = left
        keys += self._next_of_sweep()
        rows = [row for row in map(self._row, dict.fromkeys(keys)) if row]
        return {"rows": rows} if rows else {}

    def _next_of_sweep(self) -> list[RowKey]:
        if not self.sweep:
            self.evidence.fold(m.incarnation for m in self.members.members())
            self.sweep = [
                (incarnation, cell)
                for incarnation, cells in self.evidence.rows.items()
                for cell in cells
            ]
        keys = self.sweep[-SWEEP_ROWS:]
        del self.sweep[-SWEEP_ROWS:]
        return keys

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
