"""Versions that sessions use while a roll-out must not move them."""

import collections
import dataclasses
from collections.abc import Callable

CLAIM_TTL_S = 60.0
"""Time after its last use at which an entry expires, in seconds; longer than a
request and the idle time of a session together."""
MAX_CLAIMS = 20_000
"""Most entries kept; the least recently used one is evicted first."""


@dataclasses.dataclass(frozen=True)
class SessionClaim:
    """A proposal of the version that a session uses during a roll-out.

    Attributes:
        rollout: Id of the roll-out.
        session: Id of the session.
        on_target: The session uses the new version, else an older one.
    """

    rollout: str
    session: str
    on_target: bool


class SessionRegister:
    """Write-once register of the versions of sessions.

    The first claim on a session counts; later ones get its answer.
    """

    def __init__(self, clock: Callable[[], float]):
        """Creates an empty register; `clock` returns seconds."""
        self.clock = clock
        self.entries: collections.OrderedDict[
            tuple[str, str], tuple[bool, float]
        ] = collections.OrderedDict()

    def find(self, claim: SessionClaim) -> bool | None:
        """Returns whether a session uses the new version, None if unknown."""
        entry = self.entries.get((claim.rollout, claim.session))
        if entry is None or self.clock() - entry[1] > CLAIM_TTL_S:
            return None
        return entry[0]

    def claims(self) -> list[SessionClaim]:
        """Returns the known versions."""
        since = self.clock() - CLAIM_TTL_S
        return [
            SessionClaim(rollout, session, on_target)
            for (rollout, session), (on_target, used_at) in self.entries.items()
            if used_at >= since
        ]

    def settle(self, claim: SessionClaim) -> bool:
        """Returns the known version, or stores and returns the proposed one."""
        known = self.find(claim)
        on_target = claim.on_target if known is None else known
        key = (claim.rollout, claim.session)
        self.entries[key] = (on_target, self.clock())
        self.entries.move_to_end(key)
        if len(self.entries) > MAX_CLAIMS:
            self.entries.popitem(last=False)
        return on_target
