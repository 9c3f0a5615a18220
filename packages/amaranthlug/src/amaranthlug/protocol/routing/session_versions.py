"""Keeps the requests of a session on one version during a roll-out."""

import collections
from collections.abc import Callable

import xxhash

from amaranthlug.coordination.routing.rollout_tracker import VersionSplit
from amaranthlug.state.routing.servers import ServerEntry

MAX_SESSIONS = 20_000
"""Most sessions kept; the least recently used one is evicted first."""
HASH_RANGE = float(1 << 32)


class SessionVersions:
    """Keeps the version on which each session's last request ran."""

    def __init__(self, clock: Callable[[], float], session_s: float):
        """Creates an empty table; `session_s` is the idle limit in seconds."""
        self.clock = clock
        self.session_s = session_s
        self.versions: collections.OrderedDict[str, tuple[str, float]] = (
            collections.OrderedDict()
        )

    def servers_for(
        self, split: VersionSplit, session: str | None, request_id: str
    ) -> list[ServerEntry]:
        """Returns the servers of the version that a request should use."""
        if not split.new or split.share <= 0.0:
            return split.old
        if not split.old or split.share >= 1.0:
            return split.new
        version = self.version_of(session)
        if version is not None:
            if any(s.version == version for s in split.new):
                return split.new
            if split.keep_sessions:
                return split.old
        position = (
            xxhash.xxh32_intdigest((session or request_id).encode())
            / HASH_RANGE
        )
        return split.new if position < split.share else split.old

    def version_of(self, session: str | None) -> str | None:
        """Returns the version of a session, None if unknown or expired."""
        if session is None:
            return None
        entry = self.versions.get(session)
        if entry is None or self.clock() - entry[1] > self.session_s:
            return None
        return entry[0]

    def record_version(self, session: str | None, version: str) -> None:
        """Records the version on which a session's request runs."""
        if session is None:
            return
        self.versions[session] = (version, self.clock())
        self.versions.move_to_end(session)
        if len(self.versions) > MAX_SESSIONS:
            self.versions.popitem(last=False)
