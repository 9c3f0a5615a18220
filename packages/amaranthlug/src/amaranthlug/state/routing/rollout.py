"""Roll-outs of a service version: orders, state and comparison of versions."""

import dataclasses
import enum
import math
from collections.abc import Callable


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
    """Number of answers of one version on one route.

    Attributes:
        answers: All answers.
        bad: Those that failed or came late.
        slow: Those that were slow beside the answers of other versions.
    """

    answers: int = 0
    bad: int = 0
    slow: int = 0

    def add(self, other: "OutcomeCount") -> None:
        """Adds other counts."""
        self.answers += other.answers
        self.bad += other.bad
        self.slow += other.slow


@dataclasses.dataclass(frozen=True)
class Fault:
    """A fault by which versions are compared.

    Attributes:
        cases: Returns the number of answers that have it.
        min_cases: Fewest such answers at which a version is bad.
        excess_share: Least excess share of such answers at which a version
            is bad.
    """

    cases: Callable[[OutcomeCount], int]
    min_cases: int
    excess_share: float


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
EXCESS_SLOW_SHARE = 0.2
"""Least excess share of slow answers at which a version is bad; new servers
have no cached prompt parts, and busy ones slow down."""
MIN_SLOW_ANSWERS = 8
"""Fewest slow answers to call a version bad; a long prompt delays several."""
PRIOR_BAD_SHARE = 0.05
"""Prior share of bad answers of the other versions."""
PRIOR_ANSWERS = 10.0
"""Weight of `PRIOR_BAD_SHARE`, in answers."""
FAULTS = (
    Fault(lambda count: count.bad, MIN_BAD_ANSWERS, EXCESS_BAD_SHARE),
    Fault(lambda count: count.slow, MIN_SLOW_ANSWERS, EXCESS_SLOW_SHARE),
)
"""Faults for each of which a version is bad."""


def pooled(parts: list[RolloutEvidence]) -> RolloutEvidence:
    """Returns the sum of the answer counts in `parts`."""
    total: RolloutEvidence = {}
    for part in parts:
        for version, routes in part.items():
            totals = total.setdefault(version, {})
            for route, count in routes.items():
                totals.setdefault(route, OutcomeCount()).add(count)
    return total


def sum_counts(evidence: RolloutEvidence, version: str) -> OutcomeCount:
    """Returns the counts of a version over all routes."""
    total = OutcomeCount()
    for count in evidence.get(version, {}).values():
        total.add(count)
    return total


def is_bad(evidence: RolloutEvidence, target: str) -> bool:
    """Returns whether `target` has significantly more faults than others."""
    return any(has_fault(evidence, target, fault) for fault in FAULTS)


def has_fault(evidence: RolloutEvidence, target: str, fault: Fault) -> bool:
    """Returns whether `target` has a fault significantly more often.

    Each route is compared with the same route of the other versions, since
    the usual share of bad answers differs between routes. A fault that affects
    one route only is found too.
    """
    expected = 0.0
    total = OutcomeCount()
    for route, count in evidence.get(target, {}).items():
        share = baseline_share(evidence, target, route, fault)
        if is_significant(count, share * count.answers, fault):
            return True
        expected += share * count.answers
        total.add(count)
    return is_significant(total, expected, fault)


def baseline_share(
    evidence: RolloutEvidence, target: str, route: str, fault: Fault
) -> float:
    """Returns the share of faulty answers of other versions on a route."""
    others = OutcomeCount()
    for version, routes in evidence.items():
        if version != target and route in routes:
            others.add(routes[route])
    return (fault.cases(others) + PRIOR_BAD_SHARE * PRIOR_ANSWERS) / (
        others.answers + PRIOR_ANSWERS
    )


def is_significant(count: OutcomeCount, expected: float, fault: Fault) -> bool:
    """Returns whether more answers are faulty than chance and load explain."""
    cases = fault.cases(count)
    limit = max(
        expected + MAX_DEVIATIONS * math.sqrt(max(expected, 1.0)),
        expected + fault.excess_share * count.answers,
    )
    return cases >= fault.min_cases and cases > limit
