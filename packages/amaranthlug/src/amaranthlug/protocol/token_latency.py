"""Measures token latencies of versions and derives time limits from them."""

import dataclasses

from amaranthlug.state.catalog import RequestKind, VersionId

EMA_WEIGHT = 0.1
"""Weight of a new observation in the exponential moving averages."""

FIRST_TOKEN_FACTOR = 8.0
"""Time limit for the first token as a multiple of its average latency."""

READ_GAP_FACTOR = 40.0
"""Time limit between two reads as a multiple of the average token gap."""

MIN_FIRST_TOKEN_LIMIT_S = 0.5
"""Shortest time limit for the first token, in seconds."""

MIN_READ_GAP_LIMIT_S = 1.0
"""Shortest time limit between two reads, in seconds."""

MAX_READ_GAP_LIMIT_S = 5.0
"""Longest time limit between two reads, in seconds; also the default while a
version has no observations."""


@dataclasses.dataclass
class VersionLatency:
    """Moving averages of one version.

    Attributes:
        first_token_s: Time to the first token, in seconds.
        token_gap_s: Time between two tokens, in seconds.
    """

    first_token_s: float
    token_gap_s: float


class TokenLatencies:
    """Moving averages of token latencies, by version."""

    def __init__(self) -> None:
        """Creates an empty table; the number of versions bounds its size."""
        self.versions: dict[VersionId, VersionLatency] = {}

    def observe(
        self, version: VersionId, first_token_s: float, token_gap_s: float
    ) -> None:
        """Adds the latencies of a finished stream, in seconds."""
        latency = self.versions.get(version)
        if latency is None:
            self.versions[version] = VersionLatency(first_token_s, token_gap_s)
            return
        latency.first_token_s += EMA_WEIGHT * (
            first_token_s - latency.first_token_s
        )
        latency.token_gap_s += EMA_WEIGHT * (token_gap_s - latency.token_gap_s)

    def first_token_limit_s(
        self, version: VersionId, kind: RequestKind
    ) -> float:
        """Returns the time limit for the first token, in seconds."""
        max_limit_s = 2 * kind.first_token_ms / 1_000
        latency = self.versions.get(version)
        if latency is None:
            return max_limit_s
        return min(
            max_limit_s,
            max(
                MIN_FIRST_TOKEN_LIMIT_S,
                FIRST_TOKEN_FACTOR * latency.first_token_s,
            ),
        )

    def read_gap_limit_s(self, version: VersionId) -> float:
        """Returns the time limit between two reads, in seconds."""
        latency = self.versions.get(version)
        if latency is None:
            return MAX_READ_GAP_LIMIT_S
        limit_s = max(
            MIN_READ_GAP_LIMIT_S, READ_GAP_FACTOR * latency.token_gap_s
        )
        return min(MAX_READ_GAP_LIMIT_S, limit_s)

    def fastest_first_token_s(self) -> float:
        """Returns the shortest average time to the first token of all versions.

        The unit is seconds; 0 means that there are no observations yet.
        """
        return min(
            (p.first_token_s for p in self.versions.values()), default=0.0
        )
