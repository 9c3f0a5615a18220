"""Roll-outs of a service version: orders, state and comparison of versions."""

import dataclasses
import enum
import math


class RolloutPhase(enum.Enum):
    """Phase of a roll-out."""

    ACTIVE = "active"
    COMPLETED = "completed"
    REVERTED = "reverted"


@dataclasses.dataclass(frozen=True)
class RolloutOrder:
    """An operator's order to move a service to a version.

    Attributes:
        service: Service to move.
        target: Version to move it to.
        duration_s: Time in which to complete the roll-out, in seconds.
        offset: Offset of the order in the store; a later order replaces it.
    """

    service: str
    target: str
    duration_s: float
    offset: int


@dataclasses.dataclass(frozen=True)
class RolloutStatus:
    """The recorded state of a roll-out.

    Attributes:
        service: Service to move.
        target: Version to move it to.
        phase: Phase of the roll-out.
        began_ms: Unix time at which it became active, in milliseconds.
    """

    service: str
    target: str
    phase: RolloutPhase
    began_ms: int


@dataclasses.dataclass
class OutcomeCount:
    """Number of answers, and of bad ones, of one version on one route."""

    answers: int = 0
    bad: int = 0

    def add(self, other: "OutcomeCount") -> None:
        """Adds the counts of another node."""
        self.answers += other.answers
        self.bad += other.bad


RolloutEvidence = dict[str, dict[str, OutcomeCount]]
"""Version -> route name -> answer counts since the roll-out started."""

MIN_BAD_ANSWERS = 5
"""Fewest bad answers to call a version bad; single faults occur daily."""
MAX_DEVIATIONS = 3.0
"""Standard deviations above the expected count at which a version is bad;
gives one false alarm in about 1,000 checks."""
EXCESS_BAD_SHARE = 0.12
"""Least excess share of bad answers at which a version is bad; busier servers
are late more often without being bad."""
PRIOR_BAD_SHARE = 0.05
"""Prior share of bad answers of the other versions."""
PRIOR_ANSWERS = 10.0
"""Weight of `PRIOR_BAD_SHARE`, in answers."""


def pooled(parts: list[RolloutEvidence]) -> RolloutEvidence:
    """Returns the sum of the answer counts in `parts`."""
    total: RolloutEvidence = {}
    for part in parts:
        for version, routes in part.items():
            totals = total.setdefault(version, {})
            for route, count in routes.items():
                totals.setdefault(route, OutcomeCount()).add(count)
    return total


def count_answers(evidence: RolloutEvidence, version: str) -> int:
    """Returns the number of answers of a version."""
    return sum(c.answers for c in evidence.get(version, {}).values())


def is_bad(evidence: RolloutEvidence, target: str) -> bool:
    """Returns whether `target` fails significantly more than other versions.

    Each route is compared with the same route of the other versions, since
    the usual share of bad answers differs between routes. A fault that affects
    one route only is found too.
    """
    expected = 0.0
    total = OutcomeCount()
    for route, count in evidence.get(target, {}).items():
        expected_share = baseline_bad_share(evidence, target, route)
        if is_significant(count, expected_share * count.answers):
            return True
        expected += expected_share * count.answers
        total.add(count)
    return is_significant(total, expected)


def baseline_bad_share(
    evidence: RolloutEvidence, target: str, route: str
) -> float:
    """Returns the share of bad answers of other versions on a route."""
    others = OutcomeCount()
    for version, routes in evidence.items():
        if version != target and route in routes:
            others.add(routes[route])
    return (others.bad + PRIOR_BAD_SHARE * PRIOR_ANSWERS) / (
        others.answers + PRIOR_ANSWERS
    )


def is_significant(count: OutcomeCount, expected: float) -> bool:
    """Returns whether more answers were bad than chance and load explain."""
    limit = max(
        expected + MAX_DEVIATIONS * math.sqrt(max(expected, 1.0)),
        expected + EXCESS_BAD_SHARE * count.answers,
    )
    return count.bad >= MIN_BAD_ANSWERS and count.bad > limit
