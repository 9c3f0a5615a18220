"""Sequential probability ratio tests that detect bad versions and servers.

Each test compares an acceptable share of bad outcomes with three larger shares
and averages the likelihood ratios. While the version is acceptable, the average
is a supermartingale, so the probability that it ever exceeds 1/alpha is at most
alpha, however often it is evaluated.
"""

import dataclasses
import math

DEGRADED_SHARES = (0.3, 0.6, 0.9)
"""Alternative hypotheses: share of the good outcomes that has become bad."""

FALSE_ALARM_PROBABILITY = 0.004
"""Maximum probability that a good unproven version is withdrawn. It must stay
below 1 in 200; a lower one exposes more callers to bad versions."""

PROVEN_HORIZON_OUTCOMES = 100_000
"""Outcomes of a proven version over which `FALSE_ALARM_PROBABILITY` holds. Its
test restarts, and each restart is a new chance of a false alarm."""

LIMIT_UNPROVEN = math.log(2 / FALSE_ALARM_PROBABILITY)
"""Limit of the log ratio; 2 because ratings and failures are both tested."""

LIMIT_PROVEN = math.log(2 * PROVEN_HORIZON_OUTCOMES / FALSE_ALARM_PROBABILITY)
"""Limit of the log ratio for a proven version, whose test restarts."""

ALWAYS_ACCEPTABLE_BAD = 0.05
"""Share of bad answers that is always acceptable."""

TOLERANCE = 0.03
"""Acceptable excess over the reference share of bad outcomes."""


def max_acceptable_bad(
    reference_bad: float, minimum: float = ALWAYS_ACCEPTABLE_BAD
) -> float:
    """Returns the largest acceptable share of bad outcomes."""
    return min(0.9, max(minimum, reference_bad) + TOLERANCE)


@dataclasses.dataclass
class RatioTest:
    """Log likelihood ratios per alternative hypothesis, summed over groups."""

    log_ratios: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(DEGRADED_SHARES)
    )

    def add(
        self, good: float, bad: float, acceptable_bad: float, sign: int = 1
    ) -> None:
        """Adds outcomes of one group; `sign=-1` removes them again."""
        for index, degraded in enumerate(DEGRADED_SHARES):
            alternative_bad = acceptable_bad + degraded * (1 - acceptable_bad)
            gain = bad * math.log(alternative_bad / acceptable_bad)
            loss = good * math.log((1 - alternative_bad) / (1 - acceptable_bad))
            self.log_ratios[index] += sign * (gain + loss)

    def value(self) -> float:
        """Returns the logarithm of the averaged ratio."""
        top = max(self.log_ratios)
        total = sum(math.exp(entry - top) for entry in self.log_ratios)
        return top + math.log(total / len(self.log_ratios))


def log_ratio(good: float, bad: float, acceptable_bad: float) -> float:
    """Returns the logarithm of the averaged ratio of one group.

    A group without bad outcomes is never suspicious, whatever its size. Most
    groups are of this kind, so the computation is skipped.
    """
    if bad <= 0:
        return -math.inf
    test = RatioTest()
    test.add(good, bad, acceptable_bad)
    return test.value()
