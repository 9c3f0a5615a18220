"""Evidence on the log, for nodes that start when nobody can tell them.

Each row of evidence belongs to a segment of a node process. A snapshot holds
sums and names the segments that they cover. A node that reads it ignores all
later rows of these segments and counts into a new segment of its own, so
nothing is in both a snapshot and a row that still grows. Sums are merged by
maximum: the snapshot plus the rows that it does not cover, or what the node
has. Both are at most what was really counted, and so is the larger one. Hence
two snapshots of two writers count nothing twice either, in any order.
"""

from amaranthlug.state.evidence import (
    COUNTERS,
    Cell,
    Estimate,
    Evidence,
    Tally,
    segment_digest,
)
from amaranthlug.state.records import EvidenceSnapshot

MAX_ROWS = 60
"""Rows of a snapshot, those with most ratings first; about 4 KB."""

MAX_COVERED = 480
"""Segments named in a snapshot; above the 390 live nodes of the design with
those that left since the last snapshots. About 6 KB at that size, 0.2 KB with
8 nodes."""


def take_snapshot(evidence: Evidence, record_id: str) -> EvidenceSnapshot:
    """Returns the sums of all versions by kind and difficulty."""
    cells = [
        cell
        for cell, tally in evidence.pool.items()
        if cell.version and cell.kind and tally.rated
    ]
    cells.sort(key=lambda cell: -evidence.pool[cell].rated)
    rows = [
        (cell.version, cell.kind, cell.hard, _remembered(evidence, cell))
        for cell in cells[:MAX_ROWS]
    ]
    covered = list(map(segment_digest, evidence.rows))
    earlier = [
        name for name in reversed(evidence.compacted) if name not in covered
    ]
    covered += earlier[: max(0, MAX_COVERED - len(covered))]
    return EvidenceSnapshot(id=record_id, rows=rows, covered=covered)


def _remembered(evidence: Evidence, cell: Cell) -> list[int]:
    """Returns counters reduced to the recent ratings of the estimate.

    Otherwise a version that changed lately would look to a new node as it was
    on average since its first request.
    """
    tally = evidence.pool[cell]
    recent = evidence.estimates.get(cell) or Estimate()
    part = min(1.0, (recent.good + recent.bad) / tally.rated)
    kept = {name: int(getattr(tally, name) * part) for name in COUNTERS}
    for name in ("good", "bad", "pass_good", "pass_bad"):
        kept[name] = min(getattr(tally, name), round(getattr(recent, name)))
    return list(kept.values())


def adopt_snapshot(evidence: Evidence, snapshot: EvidenceSnapshot) -> None:
    """Merges a snapshot; a repeated one changes nothing."""
    covered = set(snapshot.covered)
    open_rows = [
        cells
        for segment, cells in evidence.rows.items()
        if segment_digest(segment) not in covered
    ]
    for version, kind, hard, values in snapshot.rows:
        if len(values) != len(COUNTERS):
            continue
        cell = Cell(version, kind, hard)
        grown = Tally()
        known = evidence.pooled(cell)
        for name, value in zip(COUNTERS, values, strict=True):
            rows = sum(
                getattr(row[cell], name) for row in open_rows if cell in row
            )
            setattr(grown, name, max(0, value + rows - getattr(known, name)))
        evidence.add_to_pool(cell, grown)
    evidence.close_segments(covered)
