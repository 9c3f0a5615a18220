"""Ranks the plans of a request by expected cost and quality."""

import dataclasses
import math

from amaranthlug.protocol.cascade import Step, expected
from amaranthlug.protocol.interfaces import PlanStep
from amaranthlug.state.catalog import RequestKind, Version
from amaranthlug.state.evidence import Bounds, Cell, Evidence
from amaranthlug.state.priors import prior_of

OUTPUT_SHARE = 0.5
"""Part of the longest answer that an average one takes."""

WORTH = 0.97
"""A cascade must cost less than this part of the direct use."""

SEEN_OFTEN = 20
"""Requests after which a difficulty counts as occurring in a kind."""

ASSUMED_SHARE = 0.5
"""Share of either difficulty in a session while none is known."""

WELL_KNOWN = 0.04
"""Error of an option's quality below which exploring it tells nothing new."""

MAX_FRONTIER = 8
"""Options of the other difficulty that each one is paired with."""

MAX_DEAR = 4
"""Second steps tried for each first one, which bounds the time taken."""


@dataclasses.dataclass(frozen=True)
class Option:
    """One way to answer with its expected cost and quality.

    Attributes:
        cells: Rows of evidence of the steps.
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
        surplus: Expected quality of the first option above the target.
        safe: The first option's lower bound meets the target.
    """

    options: tuple[Option, ...]
    unknown: tuple[Option, ...]
    surplus: float = 0.0
    safe: bool = False


@dataclasses.dataclass(frozen=True)
class Question:
    """What a ranking is asked for.

    Attributes:
        hard: The request looks hard.
        session: The version is kept for a session, so it serves both
            difficulties and cannot be a cascade.
        target: Quality target with the margin in force.
        prompt_tokens: Length of the prompt.
    """

    kind: RequestKind
    hard: bool
    session: bool
    target: float
    prompt_tokens: int


@dataclasses.dataclass(frozen=True)
class Mix:
    """Cost and quality of a kind whose two difficulties run on two options.

    The target holds for the kind as a whole, so a surplus of easy requests
    may make up for hard ones.
    """

    cost: float
    lower: float
    mean: float


def mix(one: Option, other: Option, share: float) -> Mix:
    """Returns the mix of `share` of one option and the rest of the other.

    The errors of the two are independent, so their squares add up.
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
    """Returns the share of a kind's requests that have this difficulty."""
    counts = {
        side: sum(
            evidence.pooled(Cell(label, kind, side)).started for label in labels
        )
        for side in (True, False)
    }
    total = counts[True] + counts[False]
    if total < SEEN_OFTEN:
        # Kinds are alike enough for the first requests of one of them.
        counts = evidence.started_by_difficulty()
        total = counts[True] + counts[False]
    if total < SEEN_OFTEN:
        # A session serves both difficulties; one that starts before any share
        # is known would else be pinned to the dearest version for hard ones.
        return ASSUMED_SHARE if session else 1.0
    if not counts[hard]:
        return 1.0
    return counts[hard] / total


def rank(
    evidence: Evidence, versions: list[tuple[Version, str]], ask: Question
) -> Ranking:
    """Ranks direct use and cascades of versions with their labels."""
    labels = [label for _, label in versions]
    share = share_of_difficulty(
        evidence, labels, ask.kind.name, ask.hard, ask.session
    )
    own = _options(evidence, versions, ask, ask.hard)
    others = _options(evidence, versions, ask, not ask.hard)
    if share == 1.0:
        pairs = [(o, [o]) for o in own]
    elif ask.session:
        pairs = [(o, [p]) for o, p in zip(own, others, strict=True)]
    else:
        frontier = _frontier(others)
        pairs = [(o, frontier) for o in own]
    return _order(
        [(o, _best(o, ps, share, ask.target)) for o, ps in pairs],
        [o for o in own if len(o.steps) == 1],
        others,
        share,
        ask.target,
    )


def _best(
    option: Option, partners: list[Option], share: float, target: float
) -> Mix:
    """Returns the cheapest mix that is safe, else likely, else the best."""
    mixes = [mix(option, partner, share) for partner in partners]
    safe = [m for m in mixes if m.lower >= target]
    if safe:
        return min(safe, key=lambda m: m.cost)
    return max(mixes, key=lambda m: (m.mean >= target, m.lower))


def _order(
    pairs: list[tuple[Option, Mix]],
    direct: list[Option],
    others: list[Option],
    share: float,
    target: float,
) -> Ranking:
    safe = [pair for pair in pairs if pair[1].lower >= target]
    safe.sort(key=lambda pair: pair[1].cost)
    likely = [p for p in pairs if p[1].lower < target <= p[1].mean]
    likely.sort(key=lambda pair: -pair[1].lower)
    if not safe and not likely:
        likely = sorted(pairs, key=lambda pair: -pair[1].mean)
    order = tuple(option for option, _ in safe + likely)
    if not order:
        return Ranking((), ())
    best = max(o.mean for o in others)
    unknown = tuple(
        o
        for o in direct
        if o.cost < order[0].cost
        and o.mean - o.lower > WELL_KNOWN
        and share * o.upper + (1 - share) * best >= target
    )
    chosen = next(m for option, m in pairs if option is order[0])
    return Ranking(order, unknown, chosen.mean - target, bool(safe))


def _frontier(options: list[Option]) -> list[Option]:
    """Returns options that no other beats in cost and quality."""
    found: list[Option] = []
    for option in sorted(options, key=lambda o: (o.cost, -o.lower)):
        if (
            not found
            or option.lower > found[-1].lower
            or (option.mean > max(o.mean for o in found))
        ):
            found.append(option)
    return found[:MAX_FRONTIER]


def _options(
    evidence: Evidence,
    versions: list[tuple[Version, str]],
    ask: Question,
    hard: bool,
) -> list[Option]:
    known = [_direct(evidence, v, label, ask, hard) for v, label in versions]
    options = [option for option, _ in known]
    if not ask.session:
        known.sort(key=lambda pair: pair[0].cost)
        options += _cascades(evidence, known)
    return options


def _direct(
    evidence: Evidence,
    version: Version,
    label: str,
    ask: Question,
    hard: bool,
) -> tuple[Option, Step]:
    kind = ask.kind
    cell = Cell(label, kind.name, hard)
    known = prior_of(version, kind.name, hard)
    prior = known.quality
    # A readmitted version has disproved its offline test once.
    offline = known.ratings if label == str(version.id) else 0.0
    bounds = evidence.bounds(cell, prior, offline=offline)
    output = int(kind.max_output_tokens * OUTPUT_SHARE)
    cost = float(version.cost(ask.prompt_tokens, output))
    step = Step(cell, prior, cost, bounds)
    return _option((PlanStep(version.id),), (cell,), cost, bounds), step


def _option(
    steps: tuple[PlanStep, ...],
    cells: tuple[Cell, ...],
    cost: float,
    bounds: Bounds,
) -> Option:
    return Option(steps, cells, cost, bounds.lower, bounds.mean, bounds.upper)


def _cascades(
    evidence: Evidence, known: list[tuple[Option, Step]]
) -> list[Option]:
    """Returns cascades that cost less than their second step alone."""
    found = []
    for index, (cheap_option, cheap) in enumerate(known):
        for dear_option, dear in known[index + 1 :][:MAX_DEAR]:
            both = expected(evidence, cheap, dear)
            if both is None or both.cost >= WORTH * dear.cost:
                continue
            if both.lower <= cheap_option.lower:
                continue
            first = PlanStep(cheap_option.steps[0].version, check=True)
            found.append(
                Option(
                    (first, *dear_option.steps),
                    (cheap.cell, dear.cell),
                    both.cost,
                    both.lower,
                    both.mean,
                    1.0,
                )
            )
    return found
