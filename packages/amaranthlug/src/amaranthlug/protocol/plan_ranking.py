"""Ranks the plans of a request by expected cost and quality."""

import dataclasses

from amaranthlug.protocol.cascade import Step, expected
from amaranthlug.protocol.services import PlanStep
from amaranthlug.state.catalog import RequestKind, Version
from amaranthlug.state.evidence import Bounds, Cell, Evidence

OUTPUT_SHARE = 0.5
"""Part of the longest answer that an average one takes."""

WORTH = 0.97
"""A cascade must cost less than this part of the direct use."""

SEEN_OFTEN = 20
"""Requests after which a difficulty counts as occurring in a kind."""

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
    """Options in order of preference, and cheaper ones worth exploring."""

    options: tuple[Option, ...]
    unknown: tuple[Option, ...]
    direct: tuple[Option, ...]


@dataclasses.dataclass(frozen=True)
class Question:
    """What a ranking is asked for.

    Attributes:
        hard: The request looks hard.
        session: The version is kept for a session, so it must meet the
            target for both difficulties and cannot be a cascade.
        target: Quality target with the margin in force.
        prompt_tokens: Length of the prompt.
    """

    kind: RequestKind
    hard: bool
    session: bool
    target: float
    prompt_tokens: int


def rank(
    evidence: Evidence, versions: list[tuple[Version, str]], ask: Question
) -> Ranking:
    """Ranks direct use and cascades of versions with their labels."""
    known = [_direct(evidence, v, label, ask) for v, label in versions]
    known.sort(key=lambda pair: pair[0].cost)
    direct = [option for option, _ in known]
    options = list(direct)
    if not ask.session:
        options += _cascades(evidence, known, ask.target)
    safe = [o for o in options if o.lower >= ask.target]
    safe.sort(key=lambda o: o.cost)
    likely = [o for o in options if o.lower < ask.target <= o.mean]
    likely.sort(key=lambda o: -o.lower)
    if not safe and not likely:
        likely = sorted(options, key=lambda o: -o.mean)
    order = tuple(safe + likely)
    unknown = tuple(
        o
        for o in direct
        if order and o.cost < order[0].cost and o.lower < ask.target <= o.upper
    )
    return Ranking(order, unknown, tuple(direct))


def _direct(
    evidence: Evidence, version: Version, label: str, ask: Question
) -> tuple[Option, Step]:
    kind = ask.kind
    cell = Cell(label, kind.name, ask.hard)
    prior = version.prior_quality
    bounds = evidence.bounds(cell, prior)
    other = Cell(label, kind.name, not ask.hard)
    if ask.session and evidence.pooled(other).started >= SEEN_OFTEN:
        second = evidence.bounds(other, prior)
        bounds = min(bounds, second, key=lambda b: b.lower)
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
    evidence: Evidence, known: list[tuple[Option, Step]], target: float
) -> list[Option]:
    """Returns cascades that cost less than their second step alone."""
    found = []
    dear_ones = [pair for pair in known if pair[0].lower >= target][:MAX_DEAR]
    for cheap_option, cheap in known:
        for dear_option, dear in dear_ones:
            if dear.cost <= cheap.cost or cheap_option.lower >= target:
                continue
            both = expected(evidence, cheap, dear)
            if both is None or both.cost >= WORTH * dear.cost:
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
