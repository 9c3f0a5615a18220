"""Withdrawn versions by epoch, merged by maximum.

The epoch of a version is the number of its readmissions. A late withdrawal from
an earlier epoch therefore has no effect, and a late readmission cannot cancel a
newer withdrawal, in whatever order they arrive.
"""

import dataclasses
from collections.abc import Mapping

NO_EPOCH = -1
"""Epoch of a version that was never withdrawn or never readmitted."""


@dataclasses.dataclass(frozen=True)
class Withdrawals:
    """Highest withdrawn and highest readmitted epoch by `model@version`."""

    withdrawn: Mapping[str, int] = dataclasses.field(default_factory=dict)
    readmitted: Mapping[str, int] = dataclasses.field(default_factory=dict)

    def is_withdrawn(self, version: str) -> bool:
        """Returns whether a version must not receive new requests."""
        return self.withdrawn.get(version, NO_EPOCH) >= self.epoch(version)

    def epoch(self, version: str) -> int:
        """Returns the number of readmissions of a version so far."""
        return self.readmitted.get(version, NO_EPOCH) + 1

    def with_withdrawn(self, version: str, epoch: int) -> "Withdrawals":
        """Returns a copy with a withdrawal merged in."""
        return self.merged(Withdrawals({version: epoch}))

    def with_readmitted(self, version: str, epoch: int) -> "Withdrawals":
        """Returns a copy with a readmission merged in."""
        return self.merged(Withdrawals({}, {version: epoch}))

    def merged(self, other: "Withdrawals") -> "Withdrawals":
        """Returns the merge with `other`; this object if nothing changes."""
        withdrawn = max_by_key(self.withdrawn, other.withdrawn)
        readmitted = max_by_key(self.readmitted, other.readmitted)
        if withdrawn == self.withdrawn and readmitted == self.readmitted:
            return self
        return Withdrawals(withdrawn, readmitted)


def max_by_key(
    one: Mapping[str, int], other: Mapping[str, int]
) -> dict[str, int]:
    """Returns the larger value of two mappings for each key."""
    return {
        key: max(one.get(key, NO_EPOCH), other.get(key, NO_EPOCH))
        for key in one.keys() | other.keys()
    }
