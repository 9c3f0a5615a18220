"""Opens connections to servers, directly or through another node.

A node that fails to connect to a server asks another node to connect in its
place. The other node passes bytes in both directions and decides nothing:
server, deadline, retries and limits stay with the node that has the request.
A node asked by another one uses its own links only, so that there is one hop.
"""

import dataclasses
import functools
import logging
from collections.abc import Callable
from typing import Generic, Protocol, TypeVar

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.routing.messages import PathState
from amaranthlug.protocol.routing.peer_choice import PeerChoice
from amaranthlug.protocol.routing.server_links import (
    MIN_CUT_LINKS,
    ServerLinks,
)
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.routing.servers import ServerEntry

DIRECT_WAIT_S = 0.15
"""Time after which a connection that is not established is tried through
another node, in seconds; some 20 round trips."""
PEER_WAIT_S = 0.4
"""Longest wait for another node to connect, in seconds; its own
`DIRECT_WAIT_S`, a check of its links and two round trips."""
MAX_PEERS = 4
"""Most nodes that are asked for one connection."""
MAX_WITNESSES = 3
"""Most nodes that are asked whether a server has ended."""
FAILED_AVOID_S = 1.0
"""Time for which a node is not asked after it could not connect or did not
answer, in seconds."""
BUSY_AVOID_S = 0.3
"""Time for which a node is not asked after it refused to, in seconds."""
MIN_FAILED = 2
"""Nodes whose links hold that must fail to connect to a server, without being
refused, until no others are asked."""
UNREACHABLE_S = 0.3
"""Time for which no node is asked again for a path to a server that nodes whose
links hold do not reach, in seconds."""
CONTACT_S = 1.0
"""Age up to which a connection shows that the links of a node hold, in
seconds."""
CONTACT_CHECKS = 3
"""Most servers to which a node connects to check its own links."""
MAX_PROBES = 2
"""Most lost links that are probed at once."""

log = logging.getLogger(__name__)


class Connection(Protocol):
    """A connection to a server.

    Attributes:
        receive_close: Called once when it is closed.
    """

    receive_close: Callable[[], object] | None

    def close(self) -> None:
        """Closes it."""
        ...


ConnectionT = TypeVar("ConnectionT", bound=Connection)
OpenedT_co = TypeVar("OpenedT_co", bound=Connection, covariant=True)


@dataclasses.dataclass(frozen=True)
class PathRequest:
    """Asks a node for a connection to a server, or for the state of its path.

    Attributes:
        instance: Name of the server's instance.
        framed: The node that asks reads frames, which say how the connection
            to the server ended.
    """

    instance: str
    framed: bool = False


@dataclasses.dataclass(frozen=True)
class PathReport:
    """What a node's own links show of a server.

    Attributes:
        state: What a new connection showed; `UNKNOWN` as well if the node does
            not use the server.
        has_contact: The node reaches other servers, so that `state` tells of
            the server and not of the node's links.
    """

    state: PathState
    has_contact: bool

    @property
    def is_end(self) -> bool:
        """Returns whether the server has ended, as far as one node can tell."""
        return self.has_contact and self.state in (
            PathState.REFUSED,
            PathState.CLOSED,
        )


class PeerPathError(OSError):
    """Another node opened no connection.

    Attributes:
        report: What its links show, None if it did not try.
    """

    def __init__(self, message: str, report: PathReport | None = None):
        """Creates the error."""
        super().__init__(message)
        self.report = report


def report_of(error: OSError) -> PathReport | None:
    """Returns what another node reported, None if it reported nothing."""
    return error.report if isinstance(error, PeerPathError) else None


class PeerPathPort(Protocol[OpenedT_co]):
    """Asks other nodes for paths to servers."""

    def open_path(
        self, node: NodeEntry, server: ServerEntry, timeout_s: float
    ) -> OpenedT_co:
        """Returns a connection to a server that leads through a node.

        Raises:
            PeerPathError: The node opened none.
            OSError: The node could not be reached.
        """
        ...

    def check_path(
        self, node: NodeEntry, server: ServerEntry, timeout_s: float
    ) -> PathReport:
        """Returns what the links of a node show of a server.

        Raises:
            OSError: The node did not answer.
        """
        ...


class ServerPaths(Generic[ConnectionT]):
    """Connects this node to servers.

    Attributes:
        dial: Connects to `host:port` within a number of seconds.
        look: Returns what a new connection of this node to a server shows.
        listed: Returns the registered servers.
    """

    def __init__(
        self,
        links: ServerLinks,
        choice: PeerChoice,
        peers: PeerPathPort[ConnectionT],
        dial: Callable[[str, float], ConnectionT],
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates the paths of a node.

        Args:
            links: Knows which servers this node reaches itself.
            choice: Chooses other nodes.
            peers: Asks them.
            dial: Connects to `host:port` within a number of seconds.
            metrics: Counts connections through other nodes.
            clock: Returns seconds.
        """
        self.links = links
        self.choice = choice
        self.peers = peers
        self.dial = dial
        self.metrics = metrics
        self.clock = clock
        self.look: Callable[[ServerEntry], PathState] = lambda server: (
            PathState.UNKNOWN
        )
        self.listed: Callable[[], list[ServerEntry]] = list
        self.unreachable_until: dict[tuple[str, int], float] = {}

    def open(self, server: ServerEntry, timeout_s: float) -> ConnectionT:
        """Connects to a server, through another node if need be.

        Raises:
            OSError: Neither this node nor another one could connect in time.
        """
        give_up_at = self.clock() + timeout_s
        failure: OSError | None = None
        if not self.links.is_lost(server):
            wait_s = DIRECT_WAIT_S if self.choice.has_peers() else timeout_s
            try:
                return self.open_directly(server, min(timeout_s, wait_s))
            except OSError as error:
                failure = error
        connection = self.open_through_peer(server, give_up_at)
        if connection is not None:
            if failure is not None:
                self.record_lost(server, isinstance(failure, TimeoutError))
            return connection
        if failure is not None and not isinstance(failure, TimeoutError):
            raise failure
        remaining_s = give_up_at - self.clock()
        if remaining_s <= 0:
            raise failure or TimeoutError("no node connected in time")
        return self.open_directly(server, remaining_s)

    def open_directly(
        self, server: ServerEntry, timeout_s: float
    ) -> ConnectionT:
        """Connects over this node's own link.

        Raises:
            OSError: It was refused or not established in time.
        """
        connection = self.dial(server.address, timeout_s)
        self.links.record_opened(server)
        return connection

    def record_lost(self, server: ServerEntry, hung: bool) -> None:
        """Records a server that only other nodes reach.

        After the first one some other links are tried in the background, so
        that a node without any knows it before its next requests.
        """
        is_first = not self.links.lost
        self.links.record_lost(server, hung)
        if not is_first:
            return
        for other in self.other_servers(server)[: MIN_CUT_LINKS - 1]:
            gevent.spawn(self.try_link, other)

    def try_link(self, server: ServerEntry) -> None:
        """Finds out whether the link to a server is lost as well."""
        try:
            self.open(server, DIRECT_WAIT_S + PEER_WAIT_S).close()
        except OSError as error:
            log.debug("no path to server %s: %s", server.server_id, error)

    def open_through_peer(
        self, server: ServerEntry, give_up_at: float
    ) -> ConnectionT | None:
        """Connects through another node, None if none could connect."""
        if self.unreachable_until.get(server.instance_key, 0.0) > self.clock():
            return None
        tried: set[str] = set()
        failed_with_contact = 0
        while len(tried) < MAX_PEERS:
            remaining_s = min(give_up_at - self.clock(), PEER_WAIT_S)
            node = self.choice.pick(tried)
            if remaining_s <= 0 or node is None:
                return None
            tried.add(node.node)
            try:
                connection = self.peers.open_path(node, server, remaining_s)
            except OSError as error:
                self.record_refusal(node, error)
                report = report_of(error)
                if report is None or not report.has_contact:
                    continue
                failed_with_contact += 1
                if report.is_end or failed_with_contact >= MIN_FAILED:
                    self.record_unreachable(server)
                    return None
                continue
            self.metrics.incr("paths.opened_through_peer")
            self.choice.record_start(node.node)
            connection.receive_close = functools.partial(
                self.choice.record_end, node.node
            )
            return connection
        return None

    def record_refusal(self, node: NodeEntry, error: OSError) -> None:
        """Excludes a node that could not connect for a while.

        A node whose links hold is not excluded for a server that refused it.
        """
        self.metrics.incr("paths.peer_failed")
        report = report_of(error)
        if report is not None and report.has_contact:
            return
        is_busy = isinstance(error, PeerPathError) and report is None
        self.choice.avoid(
            node.node, BUSY_AVOID_S if is_busy else FAILED_AVOID_S
        )
        log.debug("no path through node %s: %s", node.node, error)

    def record_unreachable(self, server: ServerEntry) -> None:
        """Remembers a server that nodes whose links hold do not reach."""
        now = self.clock()
        expired = [k for k, at in self.unreachable_until.items() if at <= now]
        for key in expired:
            del self.unreachable_until[key]
        self.unreachable_until[server.instance_key] = now + UNREACHABLE_S

    def check(self, server: ServerEntry) -> PathState:
        """Returns what is known of a server, with the help of other nodes.

        A connection that this node alone is refused does not show that the
        server has ended.
        """
        own = self.look(server)
        if own is PathState.OPEN:
            self.links.record_opened(server)
            return own
        state = self.ask_others(server)
        if state is PathState.OPEN:
            self.record_lost(server, own is PathState.UNKNOWN)
        if state is not None:
            return state
        if (
            own is PathState.UNKNOWN
            or not self.choice.has_peers()
            or self.has_contact(server)
        ):
            return own
        return PathState.UNKNOWN

    def ask_others(self, server: ServerEntry) -> PathState | None:
        """Returns what other nodes find of a server, None if none can tell."""
        tried: set[str] = set()
        for _ in range(MAX_WITNESSES):
            node = self.choice.pick(tried)
            if node is None:
                break
            tried.add(node.node)
            try:
                report = self.peers.check_path(node, server, PEER_WAIT_S)
            except OSError as error:
                self.record_refusal(node, error)
                continue
            if report.state is PathState.OPEN or report.is_end:
                return report.state
        return None

    def report(self, server: ServerEntry) -> PathReport:
        """Returns what this node's own links show of a server."""
        state = self.look(server)
        if state is PathState.OPEN:
            self.links.record_opened(server)
            return PathReport(state, True)
        return PathReport(state, self.has_contact(server))

    def open_for_peer(self, server: ServerEntry) -> ConnectionT:
        """Connects over this node's own link for another node.

        Raises:
            PeerPathError: This node does not reach the server.
        """
        if self.links.is_lost(server):
            raise PeerPathError(
                "this node has no link to the server",
                PathReport(PathState.UNKNOWN, False),
            )
        try:
            return self.open_directly(server, DIRECT_WAIT_S)
        except OSError as error:
            if isinstance(error, ConnectionRefusedError):
                report = PathReport(PathState.REFUSED, self.has_contact(server))
            else:
                report = PathReport(
                    PathState.UNKNOWN,
                    self.links.opened_within(CONTACT_S, server),
                )
            raise PeerPathError(str(error), report) from error

    def has_contact(self, server: ServerEntry) -> bool:
        """Returns whether this node reaches servers other than this one.

        Without another server that cannot be told, and counts as true.
        """
        if self.links.opened_within(CONTACT_S, server):
            return True
        others = self.other_servers(server)
        if not others:
            return True
        checks = [
            gevent.spawn(self.is_directly_reachable, other)
            for other in others[:CONTACT_CHECKS]
        ]
        return any(check.value for check in gevent.iwait(checks))

    def is_directly_reachable(self, server: ServerEntry) -> bool:
        """Returns whether this node itself can connect to a server."""
        try:
            self.open_directly(server, DIRECT_WAIT_S).close()
        except OSError:
            return False
        return True

    def other_servers(self, server: ServerEntry) -> list[ServerEntry]:
        """Returns all servers but one, the last ones connected to first."""
        others = self.links.last_opened(server)
        known = {other.instance_key for other in others}
        known.add(server.instance_key)
        return others + [
            other for other in self.listed() if other.instance_key not in known
        ]

    def probe_lost(self) -> None:
        """Probes lost links in the background, a few at a time."""
        for server in self.links.due_probes(MAX_PROBES):
            gevent.spawn(self.probe, server)

    def probe(self, server: ServerEntry) -> None:
        """Probes a lost link."""
        try:
            self.dial(server.address, DIRECT_WAIT_S).close()
        except OSError:
            self.links.record_probe(server, opened=False)
        else:
            self.links.record_probe(server, opened=True)
