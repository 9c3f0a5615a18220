"""Versions that sessions use while a roll-out must not move them."""

import collections
import dataclasses
import math
from collections.abc import Callable

CLAIM_TTL_S = 60.0
"""Time after its last use at which an entry expires, in seconds; longer than a
request and the idle time of a session together."""
COPY_REFRESH_S = CLAIM_TTL_S / 2
"""Time after which the owner of a session renews the copy, in seconds."""
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


@dataclasses.dataclass
class RegisteredVersion:
    """The version of a session in a register.

    Attributes:
        on_target: The session uses the new version, else an older one.
        used_at: Clock at its last use, in seconds.
        copied_at: Clock when another node last got a copy, in seconds.
        copied_to: Name of that node, None without one.
    """

    on_target: bool
    used_at: float
    copied_at: float = -math.inf
    copied_to: str | None = None


class SessionRegister:
    """Write-once register of the versions of sessions.

    The first claim on a session counts; later ones get its answer.
    """

    def __init__(self, clock: Callable[[], float]):
        """Creates an empty register; `clock` returns seconds."""
        self.clock = clock
        self.entries: collections.OrderedDict[
            tuple[str, str], RegisteredVersion
        ] = collections.OrderedDict()

    def find(self, claim: SessionClaim) -> bool | None:
        """Returns whether a session uses the new version, None if unknown."""
        entry = self.live_entry(claim)
        return None if entry is None else entry.on_target

    def live_entry(self, claim: SessionClaim) -> RegisteredVersion | None:
        """Returns the entry of a session unless it has expired."""
        entry = self.entries.get((claim.rollout, claim.session))
        return entry if entry is not None and self.is_live(entry) else None

    def is_live(self, entry: RegisteredVersion) -> bool:
        """Returns whether an entry has not expired."""
        return self.clock() - entry.used_at <= CLAIM_TTL_S

    def claims(self) -> list[SessionClaim]:
        """Returns the known versions."""
        return [
            SessionClaim(rollout, session, entry.on_target)
            for (rollout, session), entry in self.entries.items()
            if self.is_live(entry)
        ]

    def settle(self, claim: SessionClaim) -> bool:
        """Returns the known version, or stores and returns the proposed one."""
        key = (claim.rollout, claim.session)
        now = self.clock()
        entry = self.live_entry(claim)
        if entry is None:
            entry = RegisteredVersion(claim.on_target, now)
            self.entries[key] = entry
        entry.used_at = now
        self.entries.move_to_end(key)
        if len(self.entries) > MAX_CLAIMS:
            self.entries.popitem(last=False)
        return entry.on_target

    def needs_copy(self, claim: SessionClaim, holder: str | None) -> bool:
        """Returns whether the copy at `holder` is missing or soon expires."""
        entry = self.live_entry(claim)
        return (
            entry is None
            or entry.copied_to != holder
            or self.clock() - entry.copied_at > COPY_REFRESH_S
        )

    def mark_copied(self, claim: SessionClaim, holder: str | None) -> None:
        """Records that `holder` has a copy; None if no node can hold one."""
        entry = self.entries.get((claim.rollout, claim.session))
        if entry is not None:
            entry.copied_at = self.clock()
            entry.copied_to = holder
