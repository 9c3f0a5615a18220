"""Roll-outs of a version of a service: orders, steps and pooled evidence."""

import dataclasses
import enum
import math


class RolloutStep(enum.Enum):
    """How far a roll-out is."""

    ACTIVE = "active"
    COMPLETED = "completed"
    REVERTED = "reverted"


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        service: Service to move.
        target: Version to move it to.
        duration_s: Time in which it is to be done, in seconds.
        offset: Place of the order in the store; a later order replaces it.
    """

    service: str
    target: str
    duration_s: float
    offset: int


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """The recorded state of a roll-out.

    Attributes:
        service: Service that is moved.
        target: Version that it is moved to.
        step: How far it is.
        began_ms: Unix milliseconds at which it became active.
    """

    service: str
    target: str
    step: RolloutStep
    began_ms: int


@dataclasses.dataclass
class OutcomeCount:
    """Answers of one version on one route; `bad` of `answers` were bad."""

    answers: int = 0
    bad: int = 0

    def add(self, other: "OutcomeCount") -> None:
        """Adds the counts of another node."""
        self.answers += other.answers
        self.bad += other.bad


Evidence = dict[str, dict[str, OutcomeCount]]
"""Version -> route name -> answers since the roll-out began."""

MIN_BAD = 5
"""Bad answers below which no version is judged; single faults occur daily."""
DEVIATIONS = 3.0
"""Standard deviations above the expected count that make a version bad; one
false alarm in about 1,000 judgements."""
MARGIN = 0.12
"""Share of answers by which a bad version fails more than the others; servers
that are busier than others are late more often without being bad."""
UNKNOWN_BAD_SHARE = 0.05
"""Share of bad answers assumed of the old version without evidence."""
PRIOR_ANSWERS = 10.0
"""Weight of `UNKNOWN_BAD_SHARE`, in answers."""


def pooled(parts: list[Evidence]) -> Evidence:
    """Adds the evidence of all nodes."""
    total: Evidence = {}
    for part in parts:
        for version, routes in part.items():
            kept = total.setdefault(version, {})
            for route, count in routes.items():
                kept.setdefault(route, OutcomeCount()).add(count)
    return total


def count_answers(evidence: Evidence, version: str) -> int:
    """Returns the number of answers of a version."""
    return sum(c.answers for c in evidence.get(version, {}).values())


def is_bad(evidence: Evidence, target: str) -> bool:
    """Tells whether `target` fails more than the other versions do.

    Each route is compared with the same route of the other versions, since
    routes differ in the share of answers that fail on any version; a fault
    may also show on one route only.
    """
    expected = 0.0
    total = OutcomeCount()
    for route, count in evidence.get(target, {}).items():
        share = usual_bad_share(evidence, target, route)
        if exceeds(count, share * count.answers):
            return True
        expected += share * count.answers
        total.add(count)
    return exceeds(total, expected)


def usual_bad_share(evidence: Evidence, target: str, route: str) -> float:
    """Returns the share of bad answers of the other versions on a route."""
    others = OutcomeCount()
    for version, routes in evidence.items():
        if version != target and route in routes:
            others.add(routes[route])
    return (others.bad + UNKNOWN_BAD_SHARE * PRIOR_ANSWERS) / (
        others.answers + PRIOR_ANSWERS
    )


def exceeds(count: OutcomeCount, expected: float) -> bool:
    """Tells whether more answers were bad than chance and load explain."""
    limit = max(
        expected + DEVIATIONS * math.sqrt(max(expected, 1.0)),
        expected + MARGIN * count.answers,
    )
    return count.bad >= MIN_BAD and count.bad > limit
