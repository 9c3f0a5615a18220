"""Finds requests and prompt parts under which servers ended."""

import collections
import dataclasses
import logging
from collections.abc import Callable

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.fleet_suspects import FleetSuspects
from amaranthlug.protocol.routing.block_trials import BlockTrials
from amaranthlug.protocol.routing.messages import FailureKind
from amaranthlug.protocol.routing.request_subjects import RequestSubjects
from amaranthlug.protocol.routing.server_ends import (
    SAME_MOMENT_S,
    ServerEnds,
)
from amaranthlug.state.routing.server_ends import EndSign
from amaranthlug.state.routing.servers import ServerEntry

DROPPED_S = 2.0
"""Time after an attempt was given up in which a crash of its server may be its
effect, in seconds; the end is often learned from another node."""
BROKEN_S = 6.0
"""Time for which attempts that broke are kept, in seconds; where a path accepts
connections for an ended server, its end is learned once its entry lapses or it
starts again."""
DROPPED_CHECK_S = 0.25
"""Time after an attempt was given up at which its server is checked while there
are suspects, in seconds."""
UNDECIDED_S = 2.0
"""Time in which trials show whether a part was blocked wrongly, in seconds."""
CRASH_KINDS = frozenset(
    {FailureKind.BROKEN, FailureKind.WEAK, FailureKind.TIMEOUT}
)
"""Failures of an attempt under which its server may end."""
MAX_FAILED = 64
"""Most failed attempts that are kept for a server."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class SuspectRequest:
    """What is kept of a request under which a server may have ended.

    Attributes:
        request_id: Id of the client attempt.
        digest: Digest of the request.
        parts: Names of the parts of its prompt that others may share.
    """

    request_id: str
    digest: str
    parts: tuple[str, ...]

    @classmethod
    def of(cls, subjects: RequestSubjects) -> "SuspectRequest":
        """Returns what is kept of the request with these subjects."""
        return cls(subjects.request.request_id, subjects.digest, subjects.parts)


@dataclasses.dataclass(frozen=True)
class FailedAttempt:
    """An attempt that may have crashed its server.

    Attributes:
        server: The server.
        request: What is kept of the request.
        began_at: Clock when it was sent, in seconds.
        failed_at: Clock when it broke or was given up, in seconds.
        is_broken: Its connection broke; else this node gave it up, and the
            server may have ended a moment later.
    """

    server: ServerEntry
    request: SuspectRequest
    began_at: float
    failed_at: float
    is_broken: bool


class CrashWatch:
    """Finds the requests that crash servers and keeps servers from them.

    All requests at a server that ends become suspects, and so do the parts of
    their prompts. Those that did not cause it are cleared when a server
    completes them.
    """

    def __init__(
        self,
        ends: ServerEnds,
        suspects: FleetSuspects,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a watch.

        Args:
            ends: Tells which servers have ended.
            suspects: Shares the suspects with the other nodes.
            metrics: Counts the servers that ended, once for each request.
            clock: Returns seconds.
        """
        self.ends = ends
        self.suspects = suspects
        self.metrics = metrics
        self.clock = clock
        self.trials = BlockTrials(suspects, metrics, clock)
        self.failed: dict[str, collections.deque[FailedAttempt]] = {}
        ends.receive_end = self.blame
        ends.receive_life = suspects.record_life
        suspects.receive_crash = ends.record_reported

    def has_suspects(self) -> bool:
        """Returns whether the digest of a request matters at present."""
        return len(self.suspects.table) > 0

    def blocked_subject(self, subjects: RequestSubjects) -> str | None:
        """Returns what of a request is blocked: a part, it, or nothing.

        A request that holds a blocked part must reach no further server.
        """
        if not self.suspects.blocked:
            return None
        for subject in (*subjects.parts, subjects.digest):
            if self.suspects.is_blocked(subject):
                return subject
        return None

    def begin_trial(self, blocked: str, subjects: RequestSubjects) -> bool:
        """Returns whether a request may try a blocked part; counts it then."""
        return blocked in subjects.parts and self.trials.begin(
            blocked, subjects
        )

    def block_remaining_s(self, subject: str) -> float:
        """Returns the time until a blocked subject may be allowed, in seconds.

        That is soon if others explain the same crashes, since trials decide.
        """
        if self.suspects.alternatives.get(subject):
            return UNDECIDED_S
        return self.suspects.block_remaining_s(subject)

    def record_completed(self, subjects: RequestSubjects) -> None:
        """Clears a request that a server has completed, and its parts."""
        self.suspects.record_sound(subjects.parts)
        if self.has_suspects():
            self.suspects.record_completed(subjects.digest)

    def record_failure(
        self,
        server: ServerEntry,
        subjects: RequestSubjects,
        kind: FailureKind,
        began_at: float,
    ) -> None:
        """Records an attempt that failed before its stream made progress.

        If its connection broke, the server is checked in the background. One
        that the node gave up itself was possibly about to crash the server.
        """
        if kind is FailureKind.REPLACED:
            self.ends.record_departure(server, EndSign.REPLACED)
        if kind not in CRASH_KINDS:
            return
        attempt = FailedAttempt(
            server,
            SuspectRequest.of(subjects),
            began_at,
            self.clock(),
            kind is FailureKind.BROKEN,
        )
        end = self.ends.known.get(server.instance_name)
        if end is not None:
            if began_at < end.known_at:
                self.record_end(attempt)
            return
        self.keep(attempt)
        if attempt.is_broken:
            self.ends.check_soon(server)
        elif self.has_suspects():
            gevent.spawn_later(DROPPED_CHECK_S, self.ends.check_soon, server)

    def keep(self, attempt: FailedAttempt) -> None:
        """Keeps a failed attempt, in case its server has ended or ends now."""
        now = self.clock()
        for instance, attempts in list(self.failed.items()):
            if now - attempts[-1].failed_at > BROKEN_S:
                del self.failed[instance]
        self.failed.setdefault(
            attempt.server.instance_name, collections.deque(maxlen=MAX_FAILED)
        ).append(attempt)

    def record_byte(self, server: ServerEntry, began_at: float) -> None:
        """Records that a server sent data to an attempt.

        It has not ended when another attempt broke, if this one is older.

        Args:
            server: The server.
            began_at: Clock when the attempt was sent, in seconds.
        """
        if not self.failed:
            return
        name = server.instance_name
        attempts = self.failed.get(name)
        if not attempts:
            return
        until = self.clock() - SAME_MOMENT_S
        for attempt in list(attempts):
            if attempt.is_broken and began_at < attempt.failed_at < until:
                attempts.remove(attempt)
        if not attempts:
            del self.failed[name]

    def blame(self, instance: str) -> None:
        """Records that an instance ended under what failed there."""
        attempts = self.failed.pop(instance, None)
        if not attempts:
            return
        now = self.clock()
        breaks = [
            attempt
            for attempt in attempts
            if attempt.is_broken and now - attempt.failed_at <= BROKEN_S
        ]
        ended_at = min((each.failed_at for each in breaks), default=now)
        dropped = [
            attempt
            for attempt in attempts
            if not attempt.is_broken
            and ended_at - attempt.failed_at <= DROPPED_S
        ]
        for attempt in breaks + dropped:
            # Where a path still accepts, attempts may begin after the end.
            if attempt.began_at < ended_at:
                self.record_end(attempt)

    def record_end(self, attempt: FailedAttempt) -> None:
        """Records that a server ended under a request."""
        server, request = attempt.server, attempt.request
        self.metrics.incr("suspects.server_ended")
        log.info(
            "server %s ended under a request",
            server.server_id,
            extra={
                "event": "server_ended",
                "server": server.server_id,
                "request_id": request.request_id,
                "digest": request.digest,
                "parts": request.parts,
                "before_s": round(self.clock() - attempt.failed_at, 3),
                "broken": attempt.is_broken,
            },
        )
        self.suspects.record_end(
            request.digest, server.instance_name, request.parts
        )
