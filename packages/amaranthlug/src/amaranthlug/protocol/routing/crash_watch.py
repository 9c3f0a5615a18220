"""Finds requests and prompt parts under which servers ended."""

import collections
import dataclasses
import logging
from collections.abc import Callable

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.fleet_suspects import FleetSuspects
from amaranthlug.protocol.routing.messages import FailureKind, ServerPort
from amaranthlug.protocol.routing.request_subjects import RequestSubjects
from amaranthlug.state.routing.servers import ServerEntry

DROPPED_S = 2.0
"""Time after an attempt was given up in which a crash of its server may be its
effect, in seconds; the end is often learned from another node."""
DROPPED_CHECK_S = 0.25
"""Time after an attempt was given up at which its server is checked while there
are suspects, in seconds."""
MAX_DROPPED = 32
"""Most of these attempts that are kept for a server."""

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
class DroppedAttempt:
    """An attempt that this node gave up; its server may end a moment later.

    Attributes:
        server: The server.
        request: What is kept of the request.
        dropped_at: Clock when it was given up, in seconds.
    """

    server: ServerEntry
    request: SuspectRequest
    dropped_at: float


class CrashWatch:
    """Finds the requests that crash servers and keeps servers from them.

    All requests at a server that ends become suspects, and so do the parts of
    their prompts. Those that did not cause it are cleared when a server
    completes them.
    """

    def __init__(
        self,
        port: ServerPort,
        suspects: FleetSuspects,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a watch.

        Args:
            port: Tells whether a server has ended.
            suspects: Shares the suspects with the other nodes.
            metrics: Counts the servers that ended, once for each request.
            clock: Returns seconds.
        """
        self.port = port
        self.suspects = suspects
        self.metrics = metrics
        self.clock = clock
        self.dropped: dict[str, collections.deque[DroppedAttempt]] = {}
        suspects.receive_crash = self.blame_dropped

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

    def block_remaining_s(self, subject: str) -> float:
        """Returns the time until a blocked subject is allowed, in seconds."""
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
    ) -> None:
        """Records an attempt that failed before its stream made progress.

        If its connection broke, the server is checked in the background. One
        that the node gave up itself was possibly about to crash the server.
        """
        if kind is FailureKind.BROKEN:
            gevent.spawn(self.check, server, subjects)
        elif kind in (FailureKind.WEAK, FailureKind.TIMEOUT):
            self.record_dropped(server, SuspectRequest.of(subjects))

    def check(self, server: ServerEntry, subjects: RequestSubjects) -> None:
        """Records that a server ended under a request, if it did."""
        request = SuspectRequest.of(subjects)
        if self.port.has_ended(server):
            self.record_end(server, request)
            self.blame_dropped(server.instance_name)
        else:
            log.info(
                "server %s has not ended as far as its VM tells, though an "
                "answer broke",
                server.server_id,
                extra={
                    "event": "server_in_doubt",
                    "server": server.server_id,
                    "request_id": request.request_id,
                },
            )
            self.record_dropped(server, request)

    def record_end(self, server: ServerEntry, request: SuspectRequest) -> None:
        """Records that a server ended under a request."""
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
            },
        )
        self.suspects.record_end(
            request.digest, server.instance_name, request.parts
        )

    def record_dropped(
        self, server: ServerEntry, request: SuspectRequest
    ) -> None:
        """Keeps an attempt that was given up, in case its server ends now."""
        now = self.clock()
        for instance, attempts in list(self.dropped.items()):
            if now - attempts[-1].dropped_at > DROPPED_S:
                del self.dropped[instance]
        attempts = self.dropped.setdefault(
            server.instance_name, collections.deque(maxlen=MAX_DROPPED)
        )
        attempts.append(DroppedAttempt(server, request, now))
        if self.has_suspects():
            gevent.spawn_later(DROPPED_CHECK_S, self.check_dropped, server)

    def check_dropped(self, server: ServerEntry) -> None:
        """Checks a server at which attempts were given up."""
        if server.instance_name in self.dropped and self.port.has_ended(server):
            self.blame_dropped(server.instance_name)

    def blame_dropped(self, instance: str) -> None:
        """Records that an instance ended under what was given up there."""
        now = self.clock()
        for attempt in self.dropped.pop(instance, ()):
            if now - attempt.dropped_at <= DROPPED_S:
                self.record_end(attempt.server, attempt.request)
