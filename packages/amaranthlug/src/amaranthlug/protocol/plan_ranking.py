"""Ranks the plans of a request by expected cost and quality."""

import dataclasses
import math

from amaranthlug.protocol.cascade import StepEstimate, estimate_cascade
from amaranthlug.protocol.interfaces import PlanStep
from amaranthlug.state.catalog import RequestKind, Version
from amaranthlug.state.evidence import Cell, ConfidenceBounds, Evidence
from amaranthlug.state.priors import prior_of

MEAN_OUTPUT_FRACTION = 0.5
"""Average length of an answer as a fraction of the maximum."""

MAX_RELATIVE_COST = 0.97
"""Maximum cost of a cascade relative to its second step used directly."""

MIN_REQUESTS = 20
"""Minimum number of requests for an estimate of the share of a difficulty."""

ASSUMED_SHARE = 0.5
"""Share assumed for each difficulty in a session before there are enough
requests."""

MAX_KNOWN_ERROR = 0.04
"""Quality error up to which an option counts as known and is not explored."""

MAX_FRONTIER = 8
"""Maximum number of options for the other difficulty that each option is paired
with."""

MAX_SECOND_STEPS = 4
"""Maximum number of second steps evaluated per first step, which bounds the
time taken."""


@dataclasses.dataclass(frozen=True)
class Option:
    """A candidate plan with its expected cost and quality.

    Attributes:
        steps: Versions to run in order.
        cells: Evidence keys of the steps.
        cost: Expected cost in micro-units.
        lower: Lower confidence bound of quality.
        mean: Expected quality.
        upper: Upper confidence bound of quality.
    """

    steps: tuple[PlanStep, ...]
    cells: tuple[Cell, ...]
    cost: float
    lower: float
    mean: float
    upper: float


@dataclasses.dataclass(frozen=True)
class Ranking:
    """Options in order of preference, and cheaper ones worth exploring.

    Attributes:
        options: Options in order of preference.
        uncertain: Cheaper options whose quality is uncertain.
        surplus: Expected quality of the first option minus the target.
        safe: Whether the lower bound of the first option meets the target.
    """

    options: tuple[Option, ...]
    uncertain: tuple[Option, ...]
    surplus: float = 0.0
    safe: bool = False


@dataclasses.dataclass(frozen=True)
class RankingQuery:
    """Properties of a request that determine its ranking.

    Attributes:
        kind: Kind of the request.
        hard: Whether the request is classified as hard.
        session: Whether a session keeps the version, which then serves both
            difficulties and excludes cascades.
        target: Quality target including the current margin.
        prompt_tokens: Length of the prompt.
    """

    kind: RequestKind
    hard: bool
    session: bool
    target: float
    prompt_tokens: int


@dataclasses.dataclass(frozen=True)
class Mix:
    """Cost and quality of a kind that uses one option for each difficulty.

    The target applies to the kind as a whole, so a surplus of easy requests
    may compensate for hard ones.
    """

    cost: float
    lower: float
    mean: float


def mix(one: Option, other: Option, share: float) -> Mix:
    """Returns the mix of `share` of one option and the rest of the other.

    The errors of the two are independent, so their squares are added.
    """
    rest = 1 - share
    mean = share * one.mean + rest * other.mean
    error = math.hypot(
        share * (one.mean - one.lower), rest * (other.mean - other.lower)
    )
    cost = share * one.cost + rest * other.cost
    return Mix(cost, mean - error, mean)


def share_of_difficulty(
    evidence: Evidence,
    labels: list[str],
    kind: str,
    hard: bool,
    session: bool,
) -> float:
    """Returns the estimated share of a kind's requests with this difficulty.

    The result is 1 if the difficulty has no requests yet or, outside of
    sessions, if there is too little data for an estimate.
    """
    counts = {
        difficulty: sum(
            evidence.pooled(Cell(label, kind, difficulty)).started
            for label in labels
        )
        for difficulty in (True, False)
    }
    total = counts[True] + counts[False]
    if total < MIN_REQUESTS:
        # The shares of all kinds together approximate those of a new kind.
        counts = evidence.started_by_difficulty()
        total = counts[True] + counts[False]
    if total < MIN_REQUESTS:
        # A session serves both difficulties. Without an assumed share, a hard
        # first request would pin it to the most expensive version.
        return ASSUMED_SHARE if session else 1.0
    if not counts[hard]:
        return 1.0
    return counts[hard] / total


def rank(
    evidence: Evidence, versions: list[tuple[Version, str]], query: RankingQuery
) -> Ranking:
    """Ranks direct use and cascades of (version, evidence label) pairs."""
    labels = [label for _, label in versions]
    share = share_of_difficulty(
        evidence, labels, query.kind.name, query.hard, query.session
    )
    own_options = _options(evidence, versions, query, query.hard)
    other_options = _options(evidence, versions, query, not query.hard)
    if share == 1.0:
        pairs = [(o, [o]) for o in own_options]
    elif query.session:
        pairs = [
            (o, [p]) for o, p in zip(own_options, other_options, strict=True)
        ]
    else:
        frontier = _frontier(other_options)
        pairs = [(o, frontier) for o in own_options]
    return _rank_pairs(
        [(o, _preferred_mix(o, ps, share, query.target)) for o, ps in pairs],
        [o for o in own_options if len(o.steps) == 1],
        other_options,
        share,
        query.target,
    )


def _preferred_mix(
    option: Option, partners: list[Option], share: float, target: float
) -> Mix:
    """Returns the preferred mix of an option.

    It is the cheapest one whose lower bound meets the target. Without one, it
    is the one with the highest lower bound, preferably with a mean that meets
    the target.
    """
    mixes = [mix(option, partner, share) for partner in partners]
    safe = [m for m in mixes if m.lower >= target]
    if safe:
        return min(safe, key=lambda m: m.cost)
    return max(mixes, key=lambda m: (m.mean >= target, m.lower))


def _rank_pairs(
    pairs: list[tuple[Option, Mix]],
    direct: list[Option],
    other_options: list[Option],
    share: float,
    target: float,
) -> Ranking:
    safe = [pair for pair in pairs if pair[1].lower >= target]
    safe.sort(key=lambda pair: pair[1].cost)
    likely = [p for p in pairs if p[1].lower < target <= p[1].mean]
    likely.sort(key=lambda pair: -pair[1].lower)
    if not safe and not likely:
        likely = sorted(pairs, key=lambda pair: -pair[1].mean)
    ranked = tuple(option for option, _ in safe + likely)
    if not ranked:
        return Ranking((), ())
    best_mean = max(o.mean for o in other_options)
    uncertain = tuple(
        o
        for o in direct
        if o.cost < ranked[0].cost
        and o.mean - o.lower > MAX_KNOWN_ERROR
        and share * o.upper + (1 - share) * best_mean >= target
    )
    chosen = next(m for option, m in pairs if option is ranked[0])
    return Ranking(ranked, uncertain, chosen.mean - target, bool(safe))


def _frontier(options: list[Option]) -> list[Option]:
    """Returns the Pareto frontier of options by cost and quality."""
    selected: list[Option] = []
    for option in sorted(options, key=lambda o: (o.cost, -o.lower)):
        if (
            not selected
            or option.lower > selected[-1].lower
            or (option.mean > max(o.mean for o in selected))
        ):
            selected.append(option)
    return selected[:MAX_FRONTIER]


def _options(
    evidence: Evidence,
    versions: list[tuple[Version, str]],
    query: RankingQuery,
    hard: bool,
) -> list[Option]:
    estimates = [
        _direct(evidence, v, label, query, hard) for v, label in versions
    ]
    options = [option for option, _ in estimates]
    if not query.session:
        estimates.sort(key=lambda pair: pair[0].cost)
        options += _cascades(evidence, estimates)
    return options


def _direct(
    evidence: Evidence,
    version: Version,
    label: str,
    query: RankingQuery,
    hard: bool,
) -> tuple[Option, StepEstimate]:
    kind = query.kind
    cell = Cell(label, kind.name, hard)
    version_prior = prior_of(version, kind.name, hard)
    prior = version_prior.quality
    # Live evidence of a readmitted version contradicted its offline test, so
    # the offline ratings no longer count.
    offline = version_prior.ratings if label == str(version.id) else 0.0
    bounds = evidence.bounds(cell, prior, offline=offline)
    output = int(kind.max_output_tokens * MEAN_OUTPUT_FRACTION)
    cost = float(version.cost(query.prompt_tokens, output))
    step = StepEstimate(cell, prior, cost, bounds)
    return _option((PlanStep(version.id),), (cell,), cost, bounds), step


def _option(
    steps: tuple[PlanStep, ...],
    cells: tuple[Cell, ...],
    cost: float,
    bounds: ConfidenceBounds,
) -> Option:
    return Option(steps, cells, cost, bounds.lower, bounds.mean, bounds.upper)


def _cascades(
    evidence: Evidence, estimates: list[tuple[Option, StepEstimate]]
) -> list[Option]:
    """Returns cascades that cost less than their second step used directly."""
    selected = []
    for index, (cheap_option, cheap) in enumerate(estimates):
        for expensive_option, expensive in estimates[index + 1 :][
            :MAX_SECOND_STEPS
        ]:
            cascade = estimate_cascade(evidence, cheap, expensive)
            if (
                cascade is None
                or cascade.cost >= MAX_RELATIVE_COST * expensive.cost
            ):
                continue
            if cascade.lower <= cheap_option.lower:
                continue
            first = PlanStep(cheap_option.steps[0].version, check=True)
            selected.append(
                Option(
                    (first, *expensive_option.steps),
                    (cheap.cell, expensive.cell),
                    cascade.cost,
                    cascade.lower,
                    cascade.mean,
                    1.0,
                )
            )
    return selected
