"""Measures token latencies of versions and derives timeouts from them."""

import dataclasses

from amaranthlug.state.catalog import RequestKind, VersionId

EMA_WEIGHT = 0.1
"""Weight of a new observation in the exponential moving averages."""

FIRST_BYTE_TIMEOUT_FACTOR = 8.0
"""Timeout for the first byte as a multiple of the average time to the first
token."""

READ_TIMEOUT_FACTOR = 40.0
"""Timeout of a read as a multiple of the average time between tokens."""

MIN_FIRST_BYTE_TIMEOUT_S = 0.5
"""Shortest timeout for the first byte, in seconds."""

MIN_READ_TIMEOUT_S = 1.0
"""Shortest timeout of a read, in seconds."""

MAX_READ_TIMEOUT_S = 5.0
"""Longest timeout of a read, in seconds; also the default while a version has
no observations."""


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

    def first_byte_timeout_s(
        self, version: VersionId, kind: RequestKind
    ) -> float:
        """Returns the timeout for the first byte of a stream, in seconds."""
        max_timeout_s = 2 * kind.first_token_ms / 1_000
        latency = self.versions.get(version)
        if latency is None:
            return max_timeout_s
        return min(
            max_timeout_s,
            max(
                MIN_FIRST_BYTE_TIMEOUT_S,
                FIRST_BYTE_TIMEOUT_FACTOR * latency.first_token_s,
            ),
        )

    def read_timeout_s(self, version: VersionId) -> float:
        """Returns the timeout of a later read of a stream, in seconds."""
        latency = self.versions.get(version)
        if latency is None:
            return MAX_READ_TIMEOUT_S
        timeout_s = max(
            MIN_READ_TIMEOUT_S, READ_TIMEOUT_FACTOR * latency.token_gap_s
        )
        return min(MAX_READ_TIMEOUT_S, timeout_s)

    def fastest_first_token_s(self) -> float:
        """Returns the shortest average time to the first token of all versions.

        The unit is seconds; 0 means that there are no observations yet.
        """
        return min(
            (p.first_token_s for p in self.versions.values()), default=0.0
        )
