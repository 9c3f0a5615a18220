"""Two-step plans: a cheap version, a check, a dearer one only if needed."""

import dataclasses
from collections.abc import Callable

from amaranthlug.protocol.interfaces import RoutedRequest
from amaranthlug.state.evidence import Bounds, Cell, Evidence

MIN_CHECKED = 50
"""Answers with a known check result before a cascade is considered."""

MIN_WORDS = 3
"""Shorter answers do not pass the check."""

REPEAT_WORDS = 60
"""Answers of this length are looked at for loops."""

LOOP_SHARE = 0.2
"""Share of distinct words below which an answer counts as a loop."""

TIME_MARGIN = 2.0
"""Times of both steps are taken that much longer than their mean."""

DEFAULT_LATENCY_S = 5.0
"""Time of a whole answer of a version that has none yet, in seconds."""

GIVE_UP = ("i cannot", "i can't", "as an ai", "i'm unable", "i am unable")

AnswerCheck = Callable[[RoutedRequest, str], bool]


def structural_check(request: RoutedRequest, answer: str) -> bool:
    """Tells whether an answer has the form of a good one.

    It costs no call; how much a pass is worth is measured by the ratings of
    answers that passed, so a weak check only makes cascades unattractive.
    """
    words = answer.split()
    if len(words) < MIN_WORDS:
        return False
    if answer[:60].lower().startswith(GIVE_UP):
        return False
    tail = words[-REPEAT_WORDS:]
    looped = len(set(tail)) < LOOP_SHARE * len(tail)
    return not (len(tail) == REPEAT_WORDS and looped)


@dataclasses.dataclass(frozen=True)
class Step:
    """What is known of a version for one kind and difficulty.

    Attributes:
        cell: Its row of evidence.
        prior: Its assumed quality.
        cost: Expected cost in micro-units.
        bounds: Quality when used directly.
    """

    cell: Cell
    prior: float
    cost: float
    bounds: Bounds


@dataclasses.dataclass(frozen=True)
class Cascade:
    """Expected cost in micro-units and quality bounds of two steps."""

    cost: float
    lower: float
    mean: float
    escalated: float


def expected(evidence: Evidence, cheap: Step, dear: Step) -> Cascade | None:
    """Returns cost c1 + p(escalate) * c2 and quality, None if unknown.

    The error of the pass rate is small beside that of the quality of passed
    answers, so only the latter and the dear step's are taken at their bound.
    """
    tally = evidence.pooled(cheap.cell)
    if tally.complete < MIN_CHECKED:
        return None
    passed = tally.passed / tally.complete
    if not passed:
        return None
    accepted = evidence.bounds(cheap.cell, cheap.prior, passed_only=True)
    escalated = 1 - passed
    return Cascade(
        cheap.cost + escalated * dear.cost,
        passed * accepted.lower + escalated * dear.bounds.lower,
        passed * accepted.mean + escalated * dear.bounds.mean,
        escalated,
    )


def latency_s(evidence: Evidence, cell: Cell) -> float:
    """Returns the mean time of a whole answer in seconds."""
    tally = evidence.pooled(cell)
    if not tally.complete:
        return DEFAULT_LATENCY_S
    return tally.latency_ms / tally.complete / 1000


def in_time(
    evidence: Evidence, request: RoutedRequest, now: float, steps: list[Cell]
) -> bool:
    """Tells whether both steps fit into the request's limits.

    The first step's answer is checked before the caller sees any of it, so
    with a stream all of it counts against the limit of the first token.
    """
    first = latency_s(evidence, steps[0]) * TIME_MARGIN
    second = latency_s(evidence, steps[1]) * TIME_MARGIN
    if now + first + second > request.deadline:
        return False
    return not request.stream or first * 1000 < request.kind.first_token_ms
