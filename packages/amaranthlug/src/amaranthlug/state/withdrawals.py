"""Withdrawn versions by epoch; all merges are by maximum.

An epoch counts the readmissions of a version. A late withdrawal of an earlier
epoch therefore has no effect, and a late readmission cannot lift a newer
withdrawal, in whatever order they arrive.
"""

import dataclasses
from collections.abc import Mapping

NEVER = -1
"""Epoch of a version that was never withdrawn or never readmitted."""


@dataclasses.dataclass(frozen=True)
class Withdrawals:
    """Highest withdrawn and highest readmitted epoch by `model@version`."""

    withdrawn: Mapping[str, int] = dataclasses.field(default_factory=dict)
    readmitted: Mapping[str, int] = dataclasses.field(default_factory=dict)

    def is_withdrawn(self, version: str) -> bool:
        """Tells whether a version may receive no new work."""
        return self.withdrawn.get(version, NEVER) >= self.epoch(version)

    def epoch(self, version: str) -> int:
        """Returns the number of readmissions of a version so far."""
        return self.readmitted.get(version, NEVER) + 1

    def with_withdrawn(self, version: str, epoch: int) -> "Withdrawals":
        """Returns this set with a withdrawal merged in."""
        return self.merged(Withdrawals({version: epoch}))

    def with_readmitted(self, version: str, epoch: int) -> "Withdrawals":
        """Returns this set with a readmission merged in."""
        return self.merged(Withdrawals({}, {version: epoch}))

    def merged(self, other: "Withdrawals") -> "Withdrawals":
        """Returns the union of two sets; itself when nothing is new."""
        withdrawn = highest(self.withdrawn, other.withdrawn)
        readmitted = highest(self.readmitted, other.readmitted)
        if withdrawn == self.withdrawn and readmitted == self.readmitted:
            return self
        return Withdrawals(withdrawn, readmitted)


def highest(one: Mapping[str, int], other: Mapping[str, int]) -> dict[str, int]:
    """Returns the maximum of two mappings for each key."""
    return {
        key: max(one.get(key, NEVER), other.get(key, NEVER))
        for key in one.keys() | other.keys()
    }
