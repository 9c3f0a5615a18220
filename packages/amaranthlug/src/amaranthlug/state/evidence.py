"""Counters of what versions did, and confidence bounds of their quality."""

import dataclasses
import math
from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from amaranthlug.state.priors import Prior, agreement

MAX_INCARNATIONS = 64
"""Least number of node incarnations kept apart; older ones are folded."""

MAX_COMPACTED_IDS = 4_096
"""Folded incarnations remembered, so that a late row is not counted twice."""

MAX_CELLS = 20_000
"""Bound of rows of one incarnation; new cells beyond it are not counted."""

ESTIMATE_CAP = 1_500.0
"""Ratings that an estimate remembers; older ones fade, so that a version that
changes shows after some hundred ratings."""

PRIOR_WEIGHT = 4.0
"""Ratings that the prior of the catalogue is worth."""

SHARED_WEIGHT = 50.0
"""Ratings that a version's other kinds of the same difficulty are worth; few
enough that some dozen ratings of the kind itself prevail where kinds differ."""

Z_LOWER = 1.64
"""One-sided 95% quantile of the normal distribution."""


def version_label(version: object, epoch: int = 0) -> str:
    """Returns the name of a version in rows of evidence.

    A readmitted version starts from nothing, on nodes that join later too,
    so the number of its readmissions is part of the name.
    """
    return f"{version}#{epoch}" if epoch else str(version)


def segment_digest(segment: str) -> str:
    """Returns the short name of a segment in snapshots."""
    return xxhash.xxh3_64_hexdigest(segment.encode())[:10]


def process_of(segment: str) -> str:
    """Returns the incarnation that counts into a segment."""
    return segment.partition("+")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """What a row of counters is about.

    Attributes:
        version: `model@version`; empty in rows of all delivered answers.
        kind: Request kind; empty in rows by server.
        hard: The request looked hard.
        server: Address of the server; empty in rows by kind.
    """

    version: str
    kind: str = ""
    hard: bool = False
    server: str = ""


@dataclasses.dataclass(slots=True)
class Tally:
    """Counters that only grow.

    Attributes:
        started: Requests sent to the version.
        complete: Requests with a whole answer.
        passed: Whole answers that passed the check of a cascade.
        good: Answers rated good.
        bad: Answers rated bad.
        pass_good: Answers rated good that had passed the check.
        pass_bad: Answers rated bad that had passed the check.
        errors: Requests that ended with an error.
        cut: Streams that were cut by the upstream.
        empty: Answers without content.
        latency_ms: Total time of whole answers in milliseconds.
    """

    started: int = 0
    complete: int = 0
    passed: int = 0
    good: int = 0
    bad: int = 0
    pass_good: int = 0
    pass_bad: int = 0
    errors: int = 0
    cut: int = 0
    empty: int = 0
    latency_ms: int = 0

    def values(self) -> list[int]:
        """Returns the counters in the order of `COUNTERS`."""
        return [getattr(self, name) for name in COUNTERS]

    @property
    def rated(self) -> int:
        """Returns the number of rated answers."""
        return self.good + self.bad

    @property
    def failed(self) -> int:
        """Returns the number of errors, cut streams and empty answers."""
        return self.errors + self.cut + self.empty


COUNTERS = tuple(field.name for field in dataclasses.fields(Tally))


@dataclasses.dataclass(slots=True)
class Estimate:
    """Recent ratings of a cell; old ones fade at the cap."""

    good: float = 0.0
    bad: float = 0.0
    pass_good: float = 0.0
    pass_bad: float = 0.0

    def add(self, grown: Tally) -> None:
        """Adds new ratings and fades old ones beyond the cap."""
        self.good += grown.good
        self.bad += grown.bad
        self.pass_good += grown.pass_good
        self.pass_bad += grown.pass_bad
        total = self.good + self.bad
        if total > ESTIMATE_CAP:
            keep = ESTIMATE_CAP / total
            self.good *= keep
            self.bad *= keep
            self.pass_good *= keep
            self.pass_bad *= keep


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Share of good answers: lower bound, mean, upper bound, ratings used."""

    lower: float
    mean: float
    upper: float
    ratings: float


def beta_bounds(
    good: float, bad: float, prior: float, prior_weight: float = PRIOR_WEIGHT
) -> Bounds:
    """Returns one-sided 95% bounds of a Beta posterior.

    The Wilson interval on the counts with the prior's pseudo-counts stays
    within 0 and 1 for few ratings, where a plain normal interval does not.
    """
    ratings = good + bad
    total = ratings + prior_weight
    mean = (good + prior * prior_weight) / total
    z2 = Z_LOWER * Z_LOWER
    centre = (mean + z2 / (2 * total)) / (1 + z2 / total)
    spread = mean * (1 - mean) / total + z2 / (4 * total * total)
    half = Z_LOWER * math.sqrt(spread) / (1 + z2 / total)
    return Bounds(
        max(0.0, centre - half), mean, min(1.0, centre + half), ratings
    )


class Evidence:
    """Counters by cell and node incarnation, merged by maximum.

    Each incarnation alone raises its own counters, so a repeated, late or
    reordered row changes nothing that a newer one has already said.
    """

    def __init__(
        self, incarnation: str, max_incarnations: int = MAX_INCARNATIONS
    ):
        """Creates empty counters of the node process `incarnation`."""
        self.incarnation = incarnation
        self.segments = 0
        self.max_incarnations = max_incarnations
        self.rows: OrderedDict[str, dict[Cell, Tally]] = OrderedDict()
        self.rows[incarnation] = {}
        self.compacted: OrderedDict[str, None] = OrderedDict()
        self.pool: dict[Cell, Tally] = {}
        self.versions: dict[str, Tally] = {}
        self.servers: dict[str, dict[str, Tally]] = {}
        self.estimates: dict[Cell, Estimate] = {}
        self.sides: dict[Cell, Estimate] = {}
        self.generation = 0
        self.trust = 1.0
        self.dropped = 0
        self._bounds: dict[
            tuple[Cell, bool], tuple[tuple[float, ...], Bounds]
        ] = {}

    def count(self, cell: Cell, **amounts: int) -> None:
        """Raises counters of this node."""
        tally = self._row(self.incarnation, cell)
        if tally is None:
            return
        grown = Tally(**amounts)
        for name, amount in amounts.items():
            setattr(tally, name, getattr(tally, name) + amount)
        self.add_to_pool(cell, grown)

    def merge(self, incarnation: str, cell: Cell, values: list[int]) -> bool:
        """Merges a row by maximum; True when it told something new.

        A row of this process itself is ignored: nobody knows it better.
        """
        if process_of(incarnation) == process_of(self.incarnation):
            return False
        if segment_digest(incarnation) in self.compacted:
            return False
        if len(values) != len(COUNTERS):
            return False
        tally = self._row(incarnation, cell)
        if tally is None:
            return False
        grown = Tally()
        changed = False
        for name, value in zip(COUNTERS, values, strict=True):
            known = getattr(tally, name)
            if value > known:
                setattr(tally, name, value)
                setattr(grown, name, value - known)
                changed = True
        if changed:
            self.add_to_pool(cell, grown)
        return changed

    def _row(self, incarnation: str, cell: Cell) -> Tally | None:
        cells = self.rows.setdefault(incarnation, {})
        tally = cells.get(cell)
        if tally is None:
            if len(cells) >= MAX_CELLS:
                self.dropped += 1
                return None
            tally = cells[cell] = Tally()
        return tally

    def add_to_pool(self, cell: Cell, grown: Tally) -> None:
        """Adds growth of a cell to all sums."""
        sums = [self.pool.setdefault(cell, Tally())]
        if cell.server:
            servers = self.servers.setdefault(cell.version, {})
            servers[cell.server] = sums[0]
        else:
            sums.append(self.versions.setdefault(cell.version, Tally()))
        for name in COUNTERS:
            amount = getattr(grown, name)
            if amount:
                for pooled in sums:
                    setattr(pooled, name, getattr(pooled, name) + amount)
        if grown.good or grown.bad:
            self.estimates.setdefault(cell, Estimate()).add(grown)
            if cell.kind and cell.version:
                side = Cell(cell.version, hard=cell.hard)
                self.sides.setdefault(side, Estimate()).add(grown)
            self.generation += 1

    def pooled(self, cell: Cell) -> Tally:
        """Returns the sum over all nodes."""
        return self.pool.get(cell) or Tally()

    def bounds(
        self,
        cell: Cell,
        prior: float,
        passed_only: bool = False,
        offline: float = 0.0,
    ) -> Bounds:
        """Returns cached bounds of the share of good answers.

        Args:
            cell: Version, kind and difficulty.
            prior: Assumed share before any rating.
            passed_only: Only answers that passed the check of a cascade.
            offline: Rated offline answers behind `prior`.
        """
        estimate = self.estimates.get(cell)
        if estimate is None:
            good = bad = 0.0
        elif passed_only:
            good, bad = estimate.pass_good, estimate.pass_bad
        else:
            good, bad = estimate.good, estimate.bad
        weight = PRIOR_WEIGHT
        if not passed_only:
            prior, weight = self._shared_prior(cell, Prior(prior, offline))
        key, used = (cell, passed_only), (good, bad, self.trust, prior, weight)
        cached = self._bounds.get(key)
        if cached and cached[0] == used:
            return cached[1]
        bounds = beta_bounds(good * self.trust, bad * self.trust, prior, weight)
        if len(self._bounds) > MAX_CELLS:
            self._bounds.clear()
        self._bounds[key] = (used, bounds)
        return bounds

    def _shared_prior(self, cell: Cell, prior: Prior) -> tuple[float, float]:
        """Returns the prior and its weight with what other kinds showed."""
        side = self.sides.get(Cell(cell.version, hard=cell.hard)) or Estimate()
        own = self.estimates.get(cell) or Estimate()
        good = max(0.0, side.good - own.good) if cell.kind else 0.0
        others = good + max(0.0, side.bad - own.bad) if cell.kind else 0.0
        share = good / others if others else 0.0
        counted = min(SHARED_WEIGHT, others)
        left = agreement(
            prior, own.good + share * counted, own.good + own.bad + counted
        )
        assumed = PRIOR_WEIGHT + prior.ratings * left
        weight = counted * self.trust
        total = assumed + weight
        return (prior.quality * assumed + share * weight) / total, total

    def started_by_difficulty(self) -> dict[bool, int]:
        """Returns the requests of all kinds that look hard and easy."""
        counts = {True: 0, False: 0}
        for cell, tally in self.pool.items():
            if cell.version and cell.kind:
                counts[cell.hard] += tally.started
        return counts

    def by_version(self, version: str) -> Tally:
        """Returns the sum of a version over kinds and difficulties."""
        return self.versions.get(version) or Tally()

    def by_server(self, version: str) -> dict[str, Tally]:
        """Returns the sums of a version by server address."""
        return self.servers.get(version, {})

    def compact(self, live: Iterable[str]) -> None:
        """Folds incarnations beyond the bound, departed and oldest first.

        The pooled sums keep what folded incarnations counted. Live ones are
        never folded, because their later rows would be lost.
        """
        mine = process_of(self.incarnation)
        keep = set(live) | {mine}
        surplus = len(self.rows) - max(self.max_incarnations, len(keep))
        for segment in [i for i in self.rows if process_of(i) not in keep]:
            if surplus <= 0:
                break
            del self.rows[segment]
            self._remember(segment_digest(segment))
            surplus -= 1

    def _remember(self, digest: str) -> None:
        self.compacted[digest] = None
        while len(self.compacted) > MAX_COMPACTED_IDS:
            self.compacted.popitem(last=False)

    def close_segments(self, covered: Iterable[str]) -> None:
        """Ends segments by their digests; this node begins a new one.

        The pooled sums keep what the segments counted.
        """
        closed = set(covered)
        for digest in covered:
            self._remember(digest)
        for segment in list(self.rows):
            if segment_digest(segment) in closed:
                del self.rows[segment]
        if segment_digest(self.incarnation) in closed:
            self.segments += 1
            process = process_of(self.incarnation)
            self.incarnation = f"{process}+{self.segments}"
            self.rows[self.incarnation] = {}
