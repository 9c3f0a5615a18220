"""Observed pace of versions, from which time limits are derived."""

import dataclasses

from amaranthlug.state.catalog import RequestKind, VersionId

WEIGHT = 0.1
"""Weight of a new observation in the moving averages."""
FIRST_FACTOR = 8.0
"""A first token later than this many averages counts as silence."""
BETWEEN_FACTOR = 40.0
"""A gap of this many averages within a stream counts as silence."""
MIN_FIRST_S = 0.5
"""Shortest limit for a first token, in seconds."""
MIN_BETWEEN_S = 1.0
"""Shortest limit between two reads, in seconds."""
MAX_BETWEEN_S = 5.0
"""Longest limit between two reads, and the one before any observation."""


@dataclasses.dataclass
class VersionPace:
    """Moving averages of one version, in seconds."""

    first_s: float
    between_s: float


class Pace:
    """Time to the first token and between tokens by version."""

    def __init__(self) -> None:
        """Creates an empty table; the catalogue bounds its size."""
        self.versions: dict[VersionId, VersionPace] = {}

    def observe(
        self, version: VersionId, first_s: float, between_s: float
    ) -> None:
        """Adds a finished stream."""
        pace = self.versions.get(version)
        if pace is None:
            self.versions[version] = VersionPace(first_s, between_s)
            return
        pace.first_s += WEIGHT * (first_s - pace.first_s)
        pace.between_s += WEIGHT * (between_s - pace.between_s)

    def first_limit(self, version: VersionId, kind: RequestKind) -> float:
        """Returns the limit for a first token, in seconds."""
        longest = 2 * kind.first_token_ms / 1_000
        pace = self.versions.get(version)
        if pace is None:
            return longest
        return min(longest, max(MIN_FIRST_S, FIRST_FACTOR * pace.first_s))

    def between_limit(self, version: VersionId) -> float:
        """Returns the limit between two reads, in seconds."""
        pace = self.versions.get(version)
        if pace is None:
            return MAX_BETWEEN_S
        limit = max(MIN_BETWEEN_S, BETWEEN_FACTOR * pace.between_s)
        return min(MAX_BETWEEN_S, limit)

    def fastest_first(self) -> float:
        """Returns the least average time to a first token, 0 if unknown."""
        return min((p.first_s for p in self.versions.values()), default=0.0)
