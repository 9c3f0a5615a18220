"""Snapshots of evidence on the log, for nodes that start without live peers.

Each row of evidence belongs to a segment of a node process. A snapshot holds
sums and lists the segments that they cover. A node that reads it ignores later
rows of these segments and starts a new segment of its own, so nothing is
counted both in a snapshot and in a row that still grows.

The merged sum is the maximum of two values: the snapshot plus the rows that it
does not cover, and the sum that the node already has. Neither exceeds the true
count, so the maximum does not either. Snapshots of several writers therefore
count nothing twice, whatever their order.
"""

from amaranthlug.state.evidence import (
    COUNTER_NAMES,
    Cell,
    Estimate,
    Evidence,
    Tally,
    segment_digest,
)
from amaranthlug.state.records import EvidenceSnapshot

MAX_ROWS = 60
"""Maximum rows of a snapshot, those with the most ratings; about 4 KB."""

MAX_COVERED = 480
"""Maximum segments listed in a snapshot. It exceeds the 390 live nodes that the
system is designed for, to include nodes that left since the last snapshots.
About 6 KB at that size, 0.2 KB with 8 nodes."""


def take_snapshot(evidence: Evidence, record_id: str) -> EvidenceSnapshot:
    """Returns a snapshot of the sums by version, kind and difficulty."""
    cells = [
        cell
        for cell, tally in evidence.pool.items()
        if cell.version and cell.kind and tally.rated
    ]
    cells.sort(key=lambda cell: -evidence.pool[cell].rated)
    rows = [
        (cell.version, cell.kind, cell.hard, _recent_counters(evidence, cell))
        for cell in cells[:MAX_ROWS]
    ]
    covered = list(map(segment_digest, evidence.rows))
    earlier = [
        name for name in reversed(evidence.compacted) if name not in covered
    ]
    covered += earlier[: max(0, MAX_COVERED - len(covered))]
    return EvidenceSnapshot(id=record_id, rows=rows, covered=covered)


def _recent_counters(evidence: Evidence, cell: Cell) -> list[int]:
    """Returns counters scaled down to the recent ratings of the estimate.

    Otherwise a new node would judge a version that changed recently by its
    average since the first request.
    """
    tally = evidence.pool[cell]
    recent = evidence.estimates.get(cell) or Estimate()
    share = min(1.0, (recent.good + recent.bad) / tally.rated)
    scaled = {name: int(getattr(tally, name) * share) for name in COUNTER_NAMES}
    for name in ("good", "bad", "pass_good", "pass_bad"):
        scaled[name] = min(getattr(tally, name), round(getattr(recent, name)))
    return list(scaled.values())


def adopt_snapshot(evidence: Evidence, snapshot: EvidenceSnapshot) -> None:
    """Merges a snapshot; merging it again has no effect."""
    covered = set(snapshot.covered)
    uncovered_rows = [
        cells
        for segment, cells in evidence.rows.items()
        if segment_digest(segment) not in covered
    ]
    for version, kind, hard, values in snapshot.rows:
        if len(values) != len(COUNTER_NAMES):
            continue
        cell = Cell(version, kind, hard)
        increase = Tally()
        known = evidence.pooled(cell)
        for name, value in zip(COUNTER_NAMES, values, strict=True):
            rows = sum(
                getattr(row[cell], name)
                for row in uncovered_rows
                if cell in row
            )
            setattr(increase, name, max(0, value + rows - getattr(known, name)))
        evidence.add_to_pool(cell, increase)
    evidence.close_segments(covered)
