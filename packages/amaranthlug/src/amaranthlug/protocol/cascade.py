"""Estimates cascades of a cheap version, a check and an expensive version."""

import dataclasses
from collections.abc import Callable

from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.state.evidence import Cell, ConfidenceBounds, Evidence

MIN_CHECKED_ANSWERS = 50
"""Complete answers of a version required before a cascade starts with it."""

MIN_WORDS = 3
"""Minimum length of an answer that passes the check, in words."""

TAIL_WORDS = 60
"""Words at the end of an answer that are checked for repetition."""

MIN_DISTINCT_FRACTION = 0.2
"""Fraction of distinct words below which an answer counts as repetitive."""

LATENCY_MARGIN = 2.0
"""Safety factor on the mean latency of each step."""

DEFAULT_LATENCY_S = 5.0
"""Assumed time of a complete answer of a version without data, in seconds."""

REFUSAL_PREFIXES = (
    "i cannot",
    "i can't",
    "as an ai",
    "i'm unable",
    "i am unable",
)

AnswerCheck = Callable[[ChatRequest, str], bool]


def structural_check(request: ChatRequest, answer: str) -> bool:
    """Returns whether an answer is neither too short, a refusal nor repetitive.

    The check needs no further call. The ratings of answers that passed show
    how reliable it is, so a weak check only makes cascades unattractive.
    """
    words = answer.split()
    if len(words) < MIN_WORDS:
        return False
    if answer[:60].lower().startswith(REFUSAL_PREFIXES):
        return False
    tail = words[-TAIL_WORDS:]
    repetitive = len(set(tail)) < MIN_DISTINCT_FRACTION * len(tail)
    return not (len(tail) == TAIL_WORDS and repetitive)


@dataclasses.dataclass(frozen=True)
class StepEstimate:
    """Estimate of a version for one kind and difficulty.

    Attributes:
        cell: Key of its evidence.
        prior: Prior quality.
        cost: Expected cost in micro-units.
        bounds: Quality bounds when the version is used directly.
    """

    cell: Cell
    prior: float
    cost: float
    bounds: ConfidenceBounds


@dataclasses.dataclass(frozen=True)
class CascadeEstimate:
    """Estimate of a two-step plan.

    Attributes:
        cost: Expected cost in micro-units.
        lower: Lower confidence bound of quality.
        mean: Expected quality.
        escalated: Fraction of requests that need the second step.
    """

    cost: float
    lower: float
    mean: float
    escalated: float


def estimate_cascade(
    evidence: Evidence, cheap: StepEstimate, expensive: StepEstimate
) -> CascadeEstimate | None:
    """Returns the estimate of a cascade, None without enough check results.

    The cost is c1 + p(escalate) * c2. The error of the pass rate is small
    compared with that of the quality of passed answers, so the lower bound
    uses bounds only for the quality of the two steps.
    """
    tally = evidence.pooled(cheap.cell)
    if tally.complete < MIN_CHECKED_ANSWERS:
        return None
    pass_rate = tally.passed / tally.complete
    if not pass_rate:
        return None
    accepted = evidence.bounds(cheap.cell, cheap.prior, passed_only=True)
    escalated = 1 - pass_rate
    return CascadeEstimate(
        cheap.cost + escalated * expensive.cost,
        pass_rate * accepted.lower + escalated * expensive.bounds.lower,
        pass_rate * accepted.mean + escalated * expensive.bounds.mean,
        escalated,
    )


def latency_s(evidence: Evidence, cell: Cell) -> float:
    """Returns the mean time of a complete answer, in seconds."""
    tally = evidence.pooled(cell)
    if not tally.complete:
        return DEFAULT_LATENCY_S
    return tally.latency_ms / tally.complete / 1000


def fits_time_limits(
    evidence: Evidence, request: ChatRequest, now: float, steps: list[Cell]
) -> bool:
    """Returns whether both steps fit into the time limits of the request.

    The caller receives nothing until the first step's answer is checked, so
    for a stream its whole duration counts towards the first-token limit.
    """
    first_s = latency_s(evidence, steps[0]) * LATENCY_MARGIN
    second_s = latency_s(evidence, steps[1]) * LATENCY_MARGIN
    if now + first_s + second_s > request.deadline:
        return False
    return not request.stream or first_s * 1000 < request.kind.first_token_ms
