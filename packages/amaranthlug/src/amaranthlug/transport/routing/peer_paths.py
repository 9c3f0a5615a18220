"""Connections that this node opens to servers for other nodes."""

import functools
import logging
import socket
from collections.abc import Callable
from typing import Protocol

import gevent
import msgspec

from amaranthlug.protocol.routing.messages import PathState
from amaranthlug.protocol.routing.server_paths import (
    PathReport,
    PathRequest,
    PeerPathError,
    ServerPaths,
)
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug.transport.routing.http_client import (
    READ_BYTES,
    HttpConnection,
)
from amaranthlug.transport.routing.http_server import Responder
from amaranthlug.transport.routing.path_frames import (
    FramedWriter,
    PathWriter,
    UnframedWriter,
)
from amaranthlug.transport.routing.request_parser import IncomingRequest
from amaranthlug.transport.routing.sockets import split_address

OPEN_PATH = "/peer/open-path"
CHECK_PATH = "/peer/check-path"
NO_PATH_STATUS = 502
"""Status of a node that could not connect; the body is its report."""
FRAMING_HEADER = "Path-Framing"
"""Header of an answer after which the bytes of the server come in frames."""
ESTABLISHED = b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"
"""Answer after which the connection carries the bytes of the server."""
ESTABLISHED_FRAMED = ESTABLISHED.replace(
    b"\r\n\r\n", f"\r\n{FRAMING_HEADER}: 1\r\n\r\n".encode()
)
NOT_USED = PathReport(PathState.UNKNOWN, has_contact=True)
"""Report on a server that this node does not know or no longer uses."""
CLOSE_WAIT_S = 1.0
"""Time in which the other node closes its end after that of the server, in
seconds; bytes that it sends meanwhile are discarded."""
DESCRIPTORS_SHARE = 8
"""One in so many descriptors may serve paths for other nodes."""

log = logging.getLogger(__name__)


class UsableServers(Protocol):
    """Tells which servers may receive requests."""

    def find_instance(self, name: str) -> ServerEntry | None:
        """Returns the entry of an instance, None if it is not registered."""
        ...

    def is_usable(self, entry: ServerEntry) -> bool:
        """Returns whether an instance may still receive requests."""
        ...


def path_limit(max_descriptors: int) -> int:
    """Returns how many paths a node opens for others at a time.

    Each takes two descriptors.
    """
    return max(4, max_descriptors // DESCRIPTORS_SHARE // 2)


class PeerPaths:
    """Passes bytes between other nodes and servers.

    A path carries one request, so that it is open exactly while a request
    runs.

    Attributes:
        running: Number of open paths.
    """

    def __init__(
        self,
        paths: ServerPaths[HttpConnection],
        servers: UsableServers,
        nodes: Callable[[], list[NodeEntry]],
        is_leaving: Callable[[], bool],
        is_serving: Callable[[ServerEntry], bool],
        limit: int,
    ):
        """Creates the paths of a node, none of which is open.

        Args:
            paths: Connects over this node's own links.
            servers: Knows the servers that may be used.
            nodes: Returns the live nodes, which alone may ask.
            is_leaving: Returns whether this node stops.
            is_serving: Returns whether a server that closed a connection still
                serves.
            limit: Most paths that are open at a time.
        """
        self.paths = paths
        self.servers = servers
        self.nodes = nodes
        self.is_leaving = is_leaving
        self.is_serving = is_serving
        self.limit = limit
        self.running = 0

    def check(self, request: PathRequest) -> PathReport:
        """Returns what this node's links show of a server."""
        server = self.servers.find_instance(request.instance)
        return NOT_USED if server is None else self.paths.report(server)

    def open(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Connects another node to a server, or says why not."""
        if not self.is_node(responder.sock):
            responder.send_response(403, [], b"")
            return
        try:
            request = msgspec.json.decode(incoming.body, type=PathRequest)
        except (msgspec.MsgspecError, RecursionError) as error:
            responder.send_response(400, [], str(error).encode())
            return
        server = self.servers.find_instance(request.instance)
        if server is None or not self.servers.is_usable(server):
            refuse(responder, NOT_USED)
            return
        if self.is_leaving() or self.running >= self.limit:
            responder.send_response(503, [], b"")
            return
        self.running += 1  # While it is being opened as well.
        try:
            connection = self.paths.open_for_peer(server)
        except PeerPathError as error:
            refuse(responder, error.report)
            return
        finally:
            self.running -= 1

        responder.take_over = functools.partial(
            self.pass_bytes, server, connection.sock, request.framed
        )

    def is_node(self, sock: socket.socket) -> bool:
        """Returns whether a connection comes from the host of a node."""
        host = sock.getpeername()[0]
        return any(
            split_address(entry.peer_address)[0] == host
            for entry in self.nodes()
        )

    def pass_bytes(
        self,
        server: ServerEntry,
        server_sock: socket.socket,
        is_framed: bool,
        node_sock: socket.socket,
        received: bytes,
    ) -> None:
        """Passes bytes until one side ends; then ends the other likewise.

        Args:
            server: The server.
            server_sock: Connection to the server.
            is_framed: The other node reads frames.
            node_sock: Connection of the other node.
            received: Bytes that were already read from it.
        """
        self.running += 1
        answering = None
        try:
            node_sock.settimeout(None)
            server_sock.settimeout(None)
            node_sock.sendall(ESTABLISHED_FRAMED if is_framed else ESTABLISHED)
            answering = gevent.spawn(
                self.pass_answer, server, server_sock, is_framed, node_sock
            )
            pass_request(node_sock, server_sock, received, answering)
        except OSError as error:
            log.debug("a path for another node ended: %s", error)
        finally:
            self.running -= 1
            if answering is not None:
                answering.kill()
            server_sock.close()

    def pass_answer(
        self,
        server: ServerEntry,
        server_sock: socket.socket,
        is_framed: bool,
        node_sock: socket.socket,
    ) -> None:
        """Passes the bytes of a server and says how they ended."""
        writer: PathWriter = (
            FramedWriter(node_sock) if is_framed else UnframedWriter(node_sock)
        )
        try:
            while data := receive(server_sock):
                writer.send(data)
            writer.end(data is not None and self.is_serving(server))
            # Closing with unread bytes would reset the connection before the
            # other node has read the answer.
            gevent.sleep(CLOSE_WAIT_S)
        except OSError as error:
            log.debug("a path for another node ended: %s", error)
        finally:
            node_sock.close()


def receive(server_sock: socket.socket) -> bytes | None:
    """Returns bytes of a server, none at its end, None if it broke."""
    try:
        return server_sock.recv(READ_BYTES)
    except OSError as error:
        log.debug("the connection to a server broke: %s", error)
        return None


def refuse(responder: Responder, report: PathReport | None) -> None:
    """Answers that this node opens no path to a server."""
    responder.send_response(NO_PATH_STATUS, [], msgspec.json.encode(report))


def pass_request(
    node_sock: socket.socket,
    server_sock: socket.socket,
    data: bytes,
    answering: gevent.Greenlet,
) -> None:
    """Copies `data` and what follows from another node to a server.

    A server may answer and close before it has read everything.

    Raises:
        OSError: The connection of the other node failed.
    """
    data = data or node_sock.recv(READ_BYTES)
    while data:
        try:
            server_sock.sendall(data)
        except OSError:
            answering.join(CLOSE_WAIT_S)
            return
        data = node_sock.recv(READ_BYTES)
