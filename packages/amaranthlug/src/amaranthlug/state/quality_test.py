"""Sequential probability ratio tests that find bad versions and servers.

Each test compares a share of bad outcomes that is still acceptable with the
average of three larger ones. The averaged likelihood ratio is a
supermartingale while the version is acceptable, so the probability that it
ever exceeds 1/alpha is at most alpha, however often it is looked at.
"""

import dataclasses
import math

WORSE_BY = (0.3, 0.6, 0.9)
"""Alternatives: this part of the good outcomes has turned bad."""

FALSE_ALARM = 0.004
"""Bound of the probability that a good unproven version is withdrawn. It must
stay below 1 in 200; a smaller one costs more callers of bad versions."""

HORIZON = 100_000
"""Outcomes of a proven version over which `FALSE_ALARM` holds. Its test
restarts, and each restart is a new chance of a false alarm."""

LIMIT_UNPROVEN = math.log(2 / FALSE_ALARM)
"""Limit of the log ratio; 2 because ratings and failures are both tested."""

LIMIT_PROVEN = math.log(2 * HORIZON / FALSE_ALARM)
"""Limit of the log ratio of a test that restarts."""

LEAST_BAD = 0.05
"""Share of bad answers that is always acceptable."""

TOLERANCE = 0.03
"""Share of bad outcomes above the reference that is still acceptable."""


def max_acceptable_bad(reference_bad: float, least: float = LEAST_BAD) -> float:
    """Returns the largest acceptable share of bad outcomes."""
    return min(0.9, max(least, reference_bad) + TOLERANCE)


@dataclasses.dataclass
class RatioTest:
    """Log likelihood ratios of the alternatives, summed over groups."""

    logs: list[float] = dataclasses.field(
        default_factory=lambda: [0.0] * len(WORSE_BY)
    )

    def add(
        self, good: float, bad: float, acceptable_bad: float, sign: int = 1
    ) -> None:
        """Adds outcomes of one group; `sign` -1 takes them out again."""
        for index, part in enumerate(WORSE_BY):
            worse = acceptable_bad + part * (1 - acceptable_bad)
            gain = bad * math.log(worse / acceptable_bad)
            loss = good * math.log((1 - worse) / (1 - acceptable_bad))
            self.logs[index] += sign * (gain + loss)

    def value(self) -> float:
        """Returns the log of the averaged ratio."""
        top = max(self.logs)
        total = sum(math.exp(entry - top) for entry in self.logs)
        return top + math.log(total / len(self.logs))


def log_ratio(good: float, bad: float, acceptable_bad: float) -> float:
    """Returns the log of the averaged ratio of one group.

    Without a bad outcome nothing speaks against the group, whatever its size;
    most groups are of this kind and need no logarithm.
    """
    if bad <= 0:
        return -math.inf
    test = RatioTest()
    test.add(good, bad, acceptable_bad)
    return test.value()
