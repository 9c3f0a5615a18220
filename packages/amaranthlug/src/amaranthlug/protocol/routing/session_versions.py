"""Keeps the requests of a session on one version during a roll-out."""

import collections
import dataclasses
import enum
from collections.abc import Callable
from typing import Any, Protocol

import xxhash

from amaranthlug.coordination.routing.rollout_tracker import VersionSplit
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug.state.routing.session_claims import SessionClaim

MAX_SESSIONS = 20_000
"""Most sessions kept; the least recently used one is evicted first."""
LONGEST_REQUEST_S = 25.0
"""Longest request, in seconds; its session is in use until it ends."""
HASH_RANGE = float(1 << 32)


class VersionBasis(enum.Enum):
    """What decided the version of a request.

    Attributes:
        ONLY: One version alone may get requests.
        SESSION: The version that this node knows for the session.
        OWNER: The version that the owner of the session knows or accepted.
        DRAWN: The hash of the session or request, and the share of the new
            version.
    """

    ONLY = "only"
    SESSION = "session"
    OWNER = "owner"
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


@dataclasses.dataclass(frozen=True)
class SessionEntry:
    """What a node knows of a session that it has served.

    Attributes:
        version: Version on which its last request ran.
        used_at: Clock when that request was sent, in seconds.
    """

    version: str
    used_at: float


class SharedVersions(Protocol):
    """Settles the versions of sessions among all nodes."""

    def settle(self, claim: SessionClaim) -> bool:
        """Returns whether a session uses the new version."""
        ...


class SessionVersions:
    """Keeps the version on which each session's last request ran."""

    def __init__(
        self,
        clock: Callable[[], float],
        session_s: float,
        shared: SharedVersions,
    ):
        """Creates an empty table.

        Args:
            clock: Returns seconds.
            session_s: Idle time after which a session expires, in seconds.
            shared: Settles the versions of sessions that may use a new one
                while sessions must not move.
        """
        self.clock = clock
        self.session_s = session_s
        self.shared = shared
        self.versions: collections.OrderedDict[
            tuple[str, str], SessionEntry
        ] = collections.OrderedDict()
        self.announced: dict[str, str] = {}

    def choose(
        self,
        split: VersionSplit,
        service: str,
        session: str | None,
        request_id: str,
    ) -> VersionChoice:
        """Chooses the version that a request should use."""
        entry = self.versions.get((service, session)) if session else None
        known = entry.version if entry else None
        age_s = self.clock() - entry.used_at if entry else None
        is_current = age_s is not None and age_s <= self.session_s
        use_new, basis = self.decide(
            split, session, request_id, known if is_current else None
        )
        if not split.new or split.share <= 0.0:
            use_new, basis = False, VersionBasis.ONLY
        elif not split.old or split.share >= 1.0:
            use_new, basis = True, VersionBasis.ONLY
        servers = split.new if use_new else split.old
        return VersionChoice(servers, basis, known, age_s)

    def decide(
        self,
        split: VersionSplit,
        session: str | None,
        request_id: str,
        known: str | None,
    ) -> tuple[bool, VersionBasis]:
        """Returns whether to use the new version, and what decided.

        While sessions must not move, one that is drawn for the new version is
        settled with its owner: another node may have run it on an old one.
        """
        if known is not None and known == split.target:
            return True, VersionBasis.SESSION
        is_drawn = draw_position(session or request_id) < split.share
        if session is None or not split.keep_sessions:
            return is_drawn and split.new_may_start, VersionBasis.DRAWN
        if known is not None:
            return False, VersionBasis.SESSION
        if not is_drawn:
            return False, VersionBasis.DRAWN
        may_start = split.new_may_start and bool(split.new)
        claim = SessionClaim(split.rollout_id, session, may_start)
        return self.shared.settle(claim), VersionBasis.OWNER

    def announce(self, service: str, split: VersionSplit) -> None:
        """Settles, once per roll-out, the sessions that this node has served.

        Without it their owners would not know that they are in use.
        """
        if self.announced.get(service) == split.rollout_id:
            return
        self.announced[service] = split.rollout_id
        for session, version in self.sessions_in_use(service):
            if draw_position(session) < split.share:
                self.shared.settle(
                    SessionClaim(
                        split.rollout_id, session, version == split.target
                    )
                )

    def sessions_in_use(self, service: str) -> list[tuple[str, str]]:
        """Returns the sessions of a service that are in use, with versions."""
        since = self.clock() - self.session_s - LONGEST_REQUEST_S
        return [
            (session, entry.version)
            for (name, session), entry in self.versions.items()
            if name == service and entry.used_at >= since
        ]

    def record_version(
        self, service: str, session: str | None, version: str
    ) -> None:
        """Records the version on which a session's request runs."""
        if session is None:
            return
        key = (service, session)
        self.versions[key] = SessionEntry(version, self.clock())
        self.versions.move_to_end(key)
        if len(self.versions) > MAX_SESSIONS:
            self.versions.popitem(last=False)


def draw_position(text: str) -> float:
    """Returns a pseudo-random position from 0 to 1 that all nodes agree on."""
    return xxhash.xxh32_intdigest(text.encode()) / HASH_RANGE
