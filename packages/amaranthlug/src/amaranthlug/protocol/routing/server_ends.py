"""Finds out which instances of servers have ended, by several signs."""

import collections
import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.routing.messages import PathState, ServerPort
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.state.routing.server_ends import EndSign
from amaranthlug.state.routing.servers import ServerEntry

CHECK_DELAYS_S = (0.0, 0.25)
"""Times between an answer that broke and the checks of its server, in seconds;
a process takes a moment to end."""
SAME_MOMENT_S = 0.1
"""Time within which bytes that an instance sent before its end may be read
after the first of its answers broke, in seconds."""
LIFE_S = 0.5
"""Time after its end from which bytes of an instance show that it lives, in
seconds; they cannot have been on their way that long."""
RELISTING_S = 1.0
"""Time in which the entry of an instance that started again under the same id
is read, in seconds."""
REST_CHECK_S = 1.0
"""Period in which the path to an ended instance is checked, in seconds. A cut
between this node and all servers may refuse connections as well."""
MAX_KNOWN = 1_000
"""Most ended instances that are remembered; the oldest ones are dropped."""

log = logging.getLogger(__name__)


class ServerListing(Protocol):
    """Tells which instances are registered."""

    def is_listed(self, entry: ServerEntry) -> bool:
        """Returns whether this instance is registered."""
        ...

    def find_instance(self, name: str) -> ServerEntry | None:
        """Returns the entry of an instance, None if it is not registered."""
        ...


@dataclasses.dataclass(frozen=True)
class KnownEnd:
    """An instance that has ended.

    Attributes:
        sign: What showed it.
        known_at: Clock when this node learned it, in seconds.
    """

    sign: EndSign
    known_at: float


class ServerEnds:
    """The instances of servers that this node takes for ended.

    Attributes:
        receive_end: Called with the name of an instance that has ended.
        receive_life: Called with the name of one that still answers.
    """

    def __init__(
        self,
        port: ServerPort,
        health: ServerHealthTracker,
        listing: ServerListing,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a register without ended instances.

        Args:
            port: Checks the paths to servers.
            health: Keeps requests from ended instances.
            listing: Knows the registered instances.
            metrics: Counts ends by their sign.
            clock: Returns seconds.
        """
        self.port = port
        self.health = health
        self.listing = listing
        self.metrics = metrics
        self.clock = clock
        self.known: collections.OrderedDict[str, KnownEnd] = (
            collections.OrderedDict()
        )
        self.checking: set[str] = set()
        self.receive_end: Callable[[str], None] = lambda name: None
        self.receive_life: Callable[[str], None] = lambda name: None

    def check_soon(self, server: ServerEntry) -> None:
        """Checks in the background whether a server has ended."""
        name = server.instance_name
        if name in self.known or name in self.checking:
            return
        self.checking.add(name)
        gevent.spawn(self.check, server, self.clock())

    def check(self, server: ServerEntry, broke_at: float) -> None:
        """Checks a server at which an answer broke or was given up.

        Args:
            server: The instance.
            broke_at: Clock at that moment, in seconds.
        """
        try:
            for delay_s in CHECK_DELAYS_S:
                gevent.sleep(delay_s)
                sign = self.find_sign(server, broke_at)
                if sign is not None:
                    self.record_end(server, sign)
                    return
        finally:
            self.checking.discard(server.instance_name)
        log.info(
            "server %s has not ended as far as this node can tell, though an "
            "answer broke or was given up",
            server.server_id,
            extra={"event": "server_in_doubt", "server": server.server_id},
        )

    def find_sign(self, server: ServerEntry, broke_at: float) -> EndSign | None:
        """Returns what a new connection shows of the end of a server."""
        state = self.port.check_path(server)
        if state is PathState.REFUSED:
            return EndSign.REFUSED
        # A server at its limit closes new connections, too.
        if state is PathState.CLOSED and not self.is_in_use(server, broke_at):
            return EndSign.CLOSED
        return None

    def is_in_use(self, server: ServerEntry, broke_at: float) -> bool:
        """Returns whether a server runs or answers requests of this node."""
        health = self.health.get_or_create(server)
        return (
            health.own_requests > 0
            or health.last_byte_at > broke_at + SAME_MOMENT_S
        )

    def record_departure(self, server: ServerEntry, sign: EndSign) -> None:
        """Records an instance that ended as far as others tell."""
        if self.add(server.instance_name, sign):
            gevent.spawn(self.rest, server)

    def record_return(self, server: ServerEntry) -> None:
        """Records that an instance is registered again."""
        end = self.known.get(server.instance_name)
        if end is not None and end.sign is EndSign.REMOVED:
            self.record_life(server)

    def record_reported(self, name: str) -> None:
        """Records an instance of which another node says that it ended."""
        if name in self.known:
            return
        server = self.listing.find_instance(name)
        if server is None:
            self.receive_end(name)  # Its end is known from its entry.
        else:
            self.record_departure(server, EndSign.REPORTED)

    def record_end(self, server: ServerEntry, sign: EndSign) -> None:
        """Records that an instance ended; it gets no requests for a while."""
        if self.add(server.instance_name, sign):
            self.health.record_gone(server)
            # Its path has just been checked.
            gevent.spawn_later(REST_CHECK_S, self.rest, server)

    def add(self, name: str, sign: EndSign) -> bool:
        """Adds an end; returns whether it was new."""
        if name in self.known:
            return False
        self.known[name] = KnownEnd(sign, self.clock())
        if len(self.known) > MAX_KNOWN:
            self.known.popitem(last=False)
        self.metrics.incr(f"server_ends.{sign.value}")
        log.info(
            "instance %s ended: %s",
            name,
            sign.value,
            extra={"event": "instance_ended", "instance": name},
        )
        self.receive_end(name)
        return True

    def rest(self, server: ServerEntry) -> None:
        """Follows an ended instance until its entry is gone or it answers."""
        name = server.instance_name
        end = self.known.get(name)
        while (
            end is not None
            and self.known.get(name) is end
            and self.listing.is_listed(server)
        ):
            if self.has_answered_since(server, end.known_at):
                self.record_life(server)
                return
            state = self.port.check_path(server)
            if state in (PathState.REFUSED, PathState.CLOSED):
                self.health.record_gone(server)
            elif state is PathState.OPEN:
                self.health.record_reachable(server)
            gevent.sleep(REST_CHECK_S)

    def has_answered_since(self, server: ServerEntry, ended_at: float) -> bool:
        """Returns whether an instance has sent data since its end."""
        last_byte_at = self.health.get_or_create(server).last_byte_at
        return (
            last_byte_at > ended_at + LIFE_S
            and self.clock() - last_byte_at > RELISTING_S
        )

    def record_life(self, server: ServerEntry) -> None:
        """Records that an instance still answers, so it had not ended."""
        name = server.instance_name
        del self.known[name]
        self.health.record_reachable(server)
        self.metrics.incr("server_ends.wrong")
        log.warning(
            "instance %s answers, though it seemed to have ended",
            name,
            extra={"event": "instance_lives", "instance": name},
        )
        self.receive_life(name)
