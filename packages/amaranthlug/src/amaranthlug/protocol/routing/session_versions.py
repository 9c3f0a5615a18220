"""Keeps the requests of a session on one version during a roll-out."""

import collections
import dataclasses
import enum
from collections.abc import Callable
from typing import Any

import xxhash

from amaranthlug.coordination.routing.rollout_tracker import VersionSplit
from amaranthlug.state.routing.servers import ServerEntry

MAX_SESSIONS = 20_000
"""Most sessions kept; the least recently used one is evicted first."""
HASH_RANGE = float(1 << 32)


class VersionBasis(enum.Enum):
    """What decided the version of a request.

    Attributes:
        ONLY: One version alone may get requests.
        SESSION: The version that this node knows for the session.
        DRAWN: The hash of the session or request, and the share of the new
            version.
    """

    ONLY = "only"
    SESSION = "session"
    DRAWN = "drawn"


@dataclasses.dataclass(frozen=True)
class VersionChoice:
    """Servers of the version that a request should use, and why.

    Attributes:
        servers: The servers.
        basis: What decided the version.
        known_version: Version in this node's entry of the session, also if the
            entry has expired; None without an entry.
        known_age_s: Age of that entry, in seconds.
    """

    servers: list[ServerEntry]
    basis: VersionBasis
    known_version: str | None = None
    known_age_s: float | None = None

    def fields(self) -> dict[str, Any]:
        """Returns the fields of the request's log line."""
        age_s = self.known_age_s
        return {
            "version_basis": self.basis.value,
            "session_version": self.known_version,
            "session_age_s": None if age_s is None else round(age_s, 2),
        }


class SessionVersions:
    """Keeps the version on which each session's last request ran."""

    def __init__(self, clock: Callable[[], float], session_s: float):
        """Creates an empty table; `session_s` is the idle limit in seconds."""
        self.clock = clock
        self.session_s = session_s
        self.versions: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def choose(
        self, split: VersionSplit, session: str | None, request_id: str
    ) -> VersionChoice:
        """Chooses the version that a request should use."""
        known, age_s = self.entry_of(session)

        def choice(
            servers: list[ServerEntry], basis: VersionBasis
        ) -> VersionChoice:
            return VersionChoice(servers, basis, known, age_s)

        if not split.new or split.share <= 0.0:
            return choice(split.old, VersionBasis.ONLY)
        if not split.old or split.share >= 1.0:
            return choice(split.new, VersionBasis.ONLY)
        if age_s is not None and age_s <= self.session_s:
            if any(s.version == known for s in split.new):
                return choice(split.new, VersionBasis.SESSION)
            if split.keep_sessions:
                return choice(split.old, VersionBasis.SESSION)
        position = (
            xxhash.xxh32_intdigest((session or request_id).encode())
            / HASH_RANGE
        )
        return choice(
            split.new if position < split.share else split.old,
            VersionBasis.DRAWN,
        )

    def entry_of(self, session: str | None) -> tuple[str | None, float | None]:
        """Returns a session's version and the age of its entry, in seconds.

        Both are None without an entry; an expired one is returned too.
        """
        entry = self.versions.get(session) if session is not None else None
        if entry is None:
            return None, None
        return entry[0], self.clock() - entry[1]

    def record_version(self, session: str | None, version: str) -> None:
        """Records the version on which a session's request runs."""
        if session is None:
            return
        self.versions[session] = (version, self.clock())
        self.versions.move_to_end(session)
        if len(self.versions) > MAX_SESSIONS:
            self.versions.popitem(last=False)
