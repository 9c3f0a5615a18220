"""Outcome counters of versions and confidence bounds of their quality."""

import dataclasses
import math
from collections import OrderedDict
from collections.abc import Iterable

import xxhash

from amaranthlug.state.priors import Prior, prior_agreement

MAX_INCARNATIONS = 64
"""Node incarnations whose rows are kept; rows of older ones are compacted."""

MAX_COMPACTED_IDS = 4_096
"""Compacted segments remembered, so that a late row is not counted twice."""

MAX_CELLS = 20_000
"""Maximum rows of one incarnation; further new cells are not counted."""

ESTIMATE_CAP = 1_500.0
"""Maximum weight of an estimate, in ratings. Older ratings are scaled down, so
that a change of quality becomes visible after a few hundred ratings."""

PRIOR_WEIGHT = 4.0
"""Weight of the catalogue's prior, in ratings."""

SHARED_WEIGHT = 50.0
"""Maximum weight of a version's other kinds of the same difficulty, in ratings.
It is small, so that a few dozen ratings of the kind itself outweigh it where
kinds differ."""

Z_LOWER = 1.64
"""One-sided 95% quantile of the normal distribution."""


def version_label(version: object, epoch: int = 0) -> str:
    """Returns the name of a version in rows of evidence.

    The number of readmissions is part of the name, so that a readmitted
    version starts without evidence, also on nodes that join later.
    """
    return f"{version}#{epoch}" if epoch else str(version)


def segment_digest(segment: str) -> str:
    """Returns the digest that identifies a segment in snapshots."""
    return xxhash.xxh3_64_hexdigest(segment.encode())[:10]


def process_of(segment: str) -> str:
    """Returns the incarnation that a segment belongs to."""
    return segment.partition("+")[0]


@dataclasses.dataclass(frozen=True, slots=True)
class Cell:
    """Key of a row of counters.

    Attributes:
        version: `model@version`; empty in rows over all delivered answers.
        kind: Request kind; empty in rows by server.
        hard: The requests looked hard.
        server: Address of the server; empty in rows by kind.
    """

    version: str
    kind: str = ""
    hard: bool = False
    server: str = ""


@dataclasses.dataclass(slots=True)
class Tally:
    """Counters of outcomes; they never decrease.

    Attributes:
        started: Requests sent to the version.
        complete: Requests with a complete answer.
        passed: Complete answers that passed the check of a cascade.
        good: Answers rated good.
        bad: Answers rated bad.
        pass_good: Answers that passed the check and were rated good.
        pass_bad: Answers that passed the check and were rated bad.
        errors: Requests that ended with an error.
        cut: Streams that were cut by the upstream.
        empty: Answers without content.
        latency_ms: Total duration of complete answers, in milliseconds.
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
        """Returns the counters in the order of `COUNTER_NAMES`."""
        return [getattr(self, name) for name in COUNTER_NAMES]

    @property
    def rated(self) -> int:
        """Returns the number of rated answers."""
        return self.good + self.bad

    @property
    def failed(self) -> int:
        """Returns the number of errors, cut streams and empty answers."""
        return self.errors + self.cut + self.empty


COUNTER_NAMES = tuple(field.name for field in dataclasses.fields(Tally))


@dataclasses.dataclass(slots=True)
class Estimate:
    """Ratings of a cell, with older ones scaled down at `ESTIMATE_CAP`."""

    good: float = 0.0
    bad: float = 0.0
    pass_good: float = 0.0
    pass_bad: float = 0.0

    def add(self, increase: Tally) -> None:
        """Adds new ratings and scales the sums down to the cap."""
        self.good += increase.good
        self.bad += increase.bad
        self.pass_good += increase.pass_good
        self.pass_bad += increase.pass_bad
        total = self.good + self.bad
        if total > ESTIMATE_CAP:
            scale = ESTIMATE_CAP / total
            self.good *= scale
            self.bad *= scale
            self.pass_good *= scale
            self.pass_bad *= scale


@dataclasses.dataclass(frozen=True, slots=True)
class ConfidenceBounds:
    """Confidence bounds of the share of good answers.

    Attributes:
        ratings: Weight of the ratings used, without the prior.
    """

    lower: float
    mean: float
    upper: float
    ratings: float


def beta_bounds(
    good: float, bad: float, prior: float, prior_weight: float = PRIOR_WEIGHT
) -> ConfidenceBounds:
    """Returns one-sided 95% bounds of the share of good answers.

    Approximates a Beta posterior by the Wilson interval, with the prior as
    pseudo-counts. Unlike a normal interval, it stays within 0 and 1 for few
    ratings.
    """
    ratings = good + bad
    total = ratings + prior_weight
    mean = (good + prior * prior_weight) / total
    z2 = Z_LOWER * Z_LOWER
    centre = (mean + z2 / (2 * total)) / (1 + z2 / total)
    variance = mean * (1 - mean) / total + z2 / (4 * total * total)
    half_width = Z_LOWER * math.sqrt(variance) / (1 + z2 / total)
    return ConfidenceBounds(
        max(0.0, centre - half_width),
        mean,
        min(1.0, centre + half_width),
        ratings,
    )


class Evidence:
    """Counters by cell and node incarnation, merged by maximum.

    Only an incarnation itself increments its counters, so a repeated, late or
    reordered row has no effect once a newer one has been merged.

    Attributes:
        incarnation: Segment that this node currently counts into.
        rows: Counters by segment and cell.
        compacted: Digests of segments whose rows were dropped, oldest first.
        pool: Counters by cell, summed over all nodes.
        versions: Counters by version, summed over kinds and difficulties.
        servers: Counters by version and server address.
        estimates: Recent ratings by cell.
        difficulty_estimates: Recent ratings by version and difficulty.
        generation: Increases whenever ratings are added.
        rating_weight: Factor applied to ratings, 0 to 1; it falls while new
            ratings are overdue.
        dropped: Number of updates not counted because of `MAX_CELLS`.
    """

    def __init__(
        self, incarnation: str, max_incarnations: int = MAX_INCARNATIONS
    ):
        """Creates empty counters for the node process `incarnation`."""
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
        self.difficulty_estimates: dict[Cell, Estimate] = {}
        self.generation = 0
        self.rating_weight = 1.0
        self.dropped = 0
        self._bounds: dict[
            tuple[Cell, bool], tuple[tuple[float, ...], ConfidenceBounds]
        ] = {}

    def count(self, cell: Cell, **amounts: int) -> None:
        """Increments counters of this node by the given amounts."""
        tally = self._row(self.incarnation, cell)
        if tally is None:
            return
        increase = Tally(**amounts)
        for name, amount in amounts.items():
            setattr(tally, name, getattr(tally, name) + amount)
        self.add_to_pool(cell, increase)

    def merge(self, incarnation: str, cell: Cell, values: list[int]) -> bool:
        """Merges a row by maximum; returns whether any counter increased.

        Rows of this process are ignored, because its own counters are the
        source of them.
        """
        if process_of(incarnation) == process_of(self.incarnation):
            return False
        if segment_digest(incarnation) in self.compacted:
            return False
        if len(values) != len(COUNTER_NAMES):
            return False
        tally = self._row(incarnation, cell)
        if tally is None:
            return False
        increase = Tally()
        has_increased = False
        for name, value in zip(COUNTER_NAMES, values, strict=True):
            known = getattr(tally, name)
            if value > known:
                setattr(tally, name, value)
                setattr(increase, name, value - known)
                has_increased = True
        if has_increased:
            self.add_to_pool(cell, increase)
        return has_increased

    def _row(self, incarnation: str, cell: Cell) -> Tally | None:
        cells = self.rows.setdefault(incarnation, {})
        tally = cells.get(cell)
        if tally is None:
            if len(cells) >= MAX_CELLS:
                self.dropped += 1
                return None
            tally = cells[cell] = Tally()
        return tally

    def add_to_pool(self, cell: Cell, increase: Tally) -> None:
        """Adds an increase of a cell to all sums and estimates."""
        sums = [self.pool.setdefault(cell, Tally())]
        if cell.server:
            servers = self.servers.setdefault(cell.version, {})
            servers[cell.server] = sums[0]
        else:
            sums.append(self.versions.setdefault(cell.version, Tally()))
        for name in COUNTER_NAMES:
            amount = getattr(increase, name)
            if amount:
                for pooled in sums:
                    setattr(pooled, name, getattr(pooled, name) + amount)
        if increase.good or increase.bad:
            self.estimates.setdefault(cell, Estimate()).add(increase)
            if cell.kind and cell.version:
                all_kinds = Cell(cell.version, hard=cell.hard)
                self.difficulty_estimates.setdefault(all_kinds, Estimate()).add(
                    increase
                )
            self.generation += 1

    def pooled(self, cell: Cell) -> Tally:
        """Returns the counters of a cell, summed over all nodes."""
        return self.pool.get(cell) or Tally()

    def bounds(
        self,
        cell: Cell,
        prior: float,
        passed_only: bool = False,
        offline: float = 0.0,
    ) -> ConfidenceBounds:
        """Returns bounds of the share of good answers; results are cached.

        Args:
            cell: Version, kind and difficulty.
            prior: Assumed share of good answers before any rating.
            passed_only: Use only answers that passed the check of a cascade.
            offline: Number of rated offline answers that `prior` is based on.
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
        key, inputs = (
            (cell, passed_only),
            (good, bad, self.rating_weight, prior, weight),
        )
        cached = self._bounds.get(key)
        if cached and cached[0] == inputs:
            return cached[1]
        bounds = beta_bounds(
            good * self.rating_weight, bad * self.rating_weight, prior, weight
        )
        if len(self._bounds) > MAX_CELLS:
            self._bounds.clear()
        self._bounds[key] = (inputs, bounds)
        return bounds

    def _shared_prior(self, cell: Cell, prior: Prior) -> tuple[float, float]:
        """Returns the prior and its weight, with ratings of other kinds."""
        all_kinds = (
            self.difficulty_estimates.get(Cell(cell.version, hard=cell.hard))
            or Estimate()
        )
        own = self.estimates.get(cell) or Estimate()
        good = max(0.0, all_kinds.good - own.good) if cell.kind else 0.0
        others = good + max(0.0, all_kinds.bad - own.bad) if cell.kind else 0.0
        share = good / others if others else 0.0
        counted = min(SHARED_WEIGHT, others)
        remaining = prior_agreement(
            prior, own.good + share * counted, own.good + own.bad + counted
        )
        prior_weight = PRIOR_WEIGHT + prior.ratings * remaining
        shared = counted * self.rating_weight
        total = prior_weight + shared
        return (prior.quality * prior_weight + share * shared) / total, total

    def started_by_difficulty(self) -> dict[bool, int]:
        """Returns the number of requests started, by whether they look hard."""
        counts = {True: 0, False: 0}
        for cell, tally in self.pool.items():
            if cell.version and cell.kind:
                counts[cell.hard] += tally.started
        return counts

    def by_version(self, version: str) -> Tally:
        """Returns the counters of a version over all kinds and difficulties."""
        return self.versions.get(version) or Tally()

    def by_server(self, version: str) -> dict[str, Tally]:
        """Returns the counters of a version by server address."""
        return self.servers.get(version, {})

    def compact(self, live: Iterable[str]) -> None:
        """Drops rows of departed incarnations beyond the bound, oldest first.

        The pooled sums keep their counts. Rows of live incarnations are never
        dropped, because their later increases would be lost.
        """
        own = process_of(self.incarnation)
        keep = set(live) | {own}
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
        """Closes segments by their digests; the pooled sums keep their counts.

        If the segment of this node is among them, it starts a new one.
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
