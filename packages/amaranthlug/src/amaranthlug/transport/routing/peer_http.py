"""Messages between nodes as JSON over HTTP."""

import collections
from collections.abc import Callable
from typing import Any, TypeVar

import msgspec

from amaranthlug.coordination.routing.entry_directory import (
    LifeAnswer,
    LifeRequest,
)
from amaranthlug.coordination.routing.fleet_suspects import (
    FleetSuspects,
    NoticeAnswer,
    SuspectNotice,
)
from amaranthlug.coordination.routing.grant_owners import (
    GrantAnswer,
    GrantOwners,
    GrantRequest,
)
from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_messages import (
    RelayAnswer,
    RelayRefusedError,
    RelayRequest,
    TopicsAnswer,
    TopicsRequest,
)
from amaranthlug.coordination.routing.session_owners import (
    ClaimAnswer,
    ClaimRequest,
    SessionOwners,
)
from amaranthlug.protocol.routing.messages import PathState
from amaranthlug.protocol.routing.server_paths import (
    PathReport,
    PathRequest,
    PeerPathError,
)
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug.transport.routing.http_server import Responder
from amaranthlug.transport.routing.peer_paths import (
    CHECK_PATH,
    FRAMING_HEADER,
    NO_PATH_STATUS,
    OPEN_PATH,
    PeerPaths,
)
from amaranthlug.transport.routing.request_parser import IncomingRequest

EXCHANGE_PATH = "/peer/exchange"
TOPICS_PATH = "/peer/topics"
CLAIM_PATH = "/peer/session-claim"
NOTICE_PATH = "/peer/suspects"
GRANT_PATH = "/peer/grants"
LIFE_PATH = "/peer/life"
CONNECT_TIMEOUT_S = 0.3
"""Longest wait for a connection to another node, in seconds."""
MAX_ANSWER_BYTES = 16 << 20
"""Largest response of a node, in bytes; a configuration with thousands of
routes takes less than a tenth of it."""
MAX_IDLE_CONNECTIONS = 4
"""Most idle connections kept to a node: one for exchanges with a relay, which
it holds open for a while, one for claims and two for requests for grants."""
MAX_IDLE_NODES = 64
"""Most nodes to which idle connections are kept; those of the least recently
used one are closed first, also if that node is gone."""

UNREADABLE = (msgspec.MsgspecError, RecursionError, ValueError)
"""Errors of decoding a message; deep nesting has one of its own."""

Message = TypeVar("Message")


class PeerStatusError(OSError):
    """A node answered with a status other than 200 and 503.

    Attributes:
        status: The status.
    """

    def __init__(self, status: int):
        """Creates the error of an answer with `status`."""
        super().__init__(f"the node answered {status}")
        self.status = status


class PeerEndpoint:
    """Serves all messages of other nodes."""

    def __init__(
        self,
        relay: Relay,
        owners: SessionOwners,
        suspects: FleetSuspects,
        grants: GrantOwners,
        paths: PeerPaths,
        answer_life: Callable[[LifeRequest], LifeAnswer],
    ):
        """Creates an endpoint for the parts of a node that answer others."""
        self.paths = paths
        self.handlers: dict[str, tuple[type, Callable[[Any], Any]]] = {
            EXCHANGE_PATH: (RelayRequest, relay.answer),
            TOPICS_PATH: (TopicsRequest, relay.answer_relay),
            CLAIM_PATH: (ClaimRequest, owners.answer),
            NOTICE_PATH: (SuspectNotice, suspects.receive),
            GRANT_PATH: (GrantRequest, grants.answer),
            CHECK_PATH: (PathRequest, paths.check),
            LIFE_PATH: (LifeRequest, answer_life),
        }

    def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answers one message, with 503 if the node cannot do so now."""
        if incoming.target == OPEN_PATH:
            self.paths.open(incoming, responder)
            return
        if incoming.target not in self.handlers:
            responder.send_response(404, [], b"")
            return
        request_type, answer_to = self.handlers[incoming.target]
        try:
            request: Any = msgspec.json.decode(incoming.body, type=request_type)
        except UNREADABLE as error:
            responder.send_response(400, [], str(error).encode())
            return
        answer = answer_to(request)
        if answer is None:
            responder.send_response(503, [], b"")
            return
        responder.send_response(
            200,
            [("Content-Type", "application/json")],
            msgspec.json.encode(answer),
        )


class HttpPeers:
    """Sends messages of all kinds, on connections that it keeps."""

    def __init__(self, source_host: str = "") -> None:
        """Creates a client without connections.

        Args:
            source_host: IP address from which connections come, by which other
                nodes recognise this one; by default that of the route.
        """
        self.source_host = source_host
        self.connections: collections.OrderedDict[str, list[HttpConnection]] = (
            collections.OrderedDict()
        )

    def exchange(
        self, address: str, request: RelayRequest, timeout_s: float
    ) -> RelayAnswer:
        """Returns the answer of the relay at `address`.

        Raises:
            RelayRefusedError: The node does not currently read the store.
            OSError: The node could not be reached or its response is invalid.
        """
        return self.post(
            address, EXCHANGE_PATH, request, timeout_s, RelayAnswer
        )

    def fetch_topics(
        self, address: str, request: TopicsRequest, timeout_s: float
    ) -> TopicsAnswer:
        """Returns the answer of the store reader at `address`.

        Raises:
            RelayRefusedError: The node does not currently read the store.
            OSError: The node could not be reached or its response is invalid.
        """
        return self.post(address, TOPICS_PATH, request, timeout_s, TopicsAnswer)

    def claim(
        self, address: str, request: ClaimRequest, timeout_s: float
    ) -> ClaimAnswer:
        """Returns the answer of the session owner at `address`.

        Raises:
            OSError: The node could not be reached or its response is invalid.
        """
        return self.post(address, CLAIM_PATH, request, timeout_s, ClaimAnswer)

    def notify(
        self, address: str, notice: SuspectNotice, timeout_s: float
    ) -> NoticeAnswer:
        """Sends a notice to the node at `address`.

        Raises:
            OSError: The node could not be reached or its response is invalid.
        """
        return self.post(address, NOTICE_PATH, notice, timeout_s, NoticeAnswer)

    def ask_grant(
        self, address: str, request: GrantRequest, timeout_s: float
    ) -> GrantAnswer:
        """Returns the answer of the owner of a server at `address`.

        Raises:
            OSError: The node could not be reached or its response is invalid.
        """
        return self.post(address, GRANT_PATH, request, timeout_s, GrantAnswer)

    def ask_life(
        self, address: str, request: LifeRequest, timeout_s: float
    ) -> LifeAnswer | None:
        """Returns the answer of a node; None if its build has no such answer.

        Raises:
            OSError: The node could not be reached or its response is invalid.
        """
        try:
            # An idle connection may have gone silent although the node lives.
            return self.post(
                address, LIFE_PATH, request, timeout_s, LifeAnswer, fresh=True
            )
        except PeerStatusError as error:
            if error.status == 404:
                return None
            raise

    def check_path(
        self, node: NodeEntry, server: ServerEntry, timeout_s: float
    ) -> PathReport:
        """Returns what the links of a node show of a server.

        Raises:
            OSError: The node could not be reached or its response is invalid.
        """
        request = PathRequest(server.instance_name)
        return self.post(
            node.peer_address, CHECK_PATH, request, timeout_s, PathReport
        )

    def open_path(
        self, node: NodeEntry, server: ServerEntry, timeout_s: float
    ) -> HttpConnection:
        """Returns a connection to a server that leads through a node.

        It carries one request.

        Raises:
            PeerPathError: The node opened none.
            OSError: The node could not be reached or its response is invalid.
        """
        address = node.peer_address
        request = PathRequest(server.instance_name, framed=True)
        body = msgspec.json.encode(request)
        headers = [("Host", address), ("Content-Length", str(len(body)))]
        connection = self.open_connection(address, timeout_s)
        try:
            head, content = connection.request(
                render_request("POST", OPEN_PATH, headers, body),
                timeout_s,
                MAX_ANSWER_BYTES,
            )
            if head.status == NO_PATH_STATUS:
                report = msgspec.json.decode(content, type=PathReport)
                raise PeerPathError(
                    f"node {node.node} does not reach the server", report
                )
            if head.status != 200:
                raise PeerPathError(f"node {node.node} answered {head.status}")
            if not connection.is_reusable():
                raise PeerPathError(
                    "the server sent or closed before the request",
                    PathReport(PathState.UNKNOWN, has_contact=True),
                )
        except UNREADABLE as error:
            connection.close()
            raise OSError(f"malformed response of a node: {error}") from error
        except BaseException:
            connection.close()
            raise
        is_framed = head.get(FRAMING_HEADER.lower()) is not None
        connection.lead_through(node.node, is_framed)
        return connection

    def post(
        self,
        address: str,
        path: str,
        request: Any,
        timeout_s: float,
        answer_type: type[Message],
        fresh: bool = False,
    ) -> Message:
        """Sends a message to the node at `address`; returns its answer.

        Args:
            address: `host:port` of the node.
            path: Path of the message's kind.
            request: The message.
            timeout_s: Longest wait for the answer, in seconds.
            answer_type: Type of the answer.
            fresh: Uses a new connection.

        Raises:
            RelayRefusedError: The node answered 503.
            OSError: The node could not be reached or its response is invalid.
        """
        if fresh:
            connection = self.open_connection(address, timeout_s)
        else:
            connection = self.take_connection(address, timeout_s)
        body = msgspec.json.encode(request)
        headers = [("Host", address), ("Content-Length", str(len(body)))]
        try:
            answer = self.send_request(
                connection,
                render_request("POST", path, headers, body),
                timeout_s,
                answer_type,
            )
        except BaseException:
            connection.close()
            raise
        self.keep_connection(address, connection)
        return answer

    def take_connection(self, address: str, timeout_s: float) -> HttpConnection:
        """Returns an idle connection to a node, or opens one.

        Raises:
            OSError: The node could not be reached.
        """
        idle = self.connections.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_open_and_idle():
                return connection
            connection.close()
        return self.open_connection(address, timeout_s)

    def open_connection(self, address: str, timeout_s: float) -> HttpConnection:
        """Opens a connection to a node.

        Raises:
            OSError: The node could not be reached.
        """
        return HttpConnection.open(
            address, min(CONNECT_TIMEOUT_S, timeout_s), self.source_host
        )

    def keep_connection(self, address: str, connection: HttpConnection) -> None:
        """Keeps a connection for the next message, or closes a surplus one."""
        idle = self.connections.setdefault(address, [])
        self.connections.move_to_end(address)
        if len(idle) < MAX_IDLE_CONNECTIONS:
            idle.append(connection)
        else:
            connection.close()
        if len(self.connections) > MAX_IDLE_NODES:
            _, unused = self.connections.popitem(last=False)
            for former in unused:
                former.close()

    def send_request(
        self,
        connection: HttpConnection,
        data: bytes,
        timeout_s: float,
        answer_type: type[Message],
    ) -> Message:
        """Sends a rendered request and decodes the response.

        Raises:
            RelayRefusedError: The node answered 503.
            OSError: The connection failed or the response is invalid.
        """
        head, body = connection.request(data, timeout_s, MAX_ANSWER_BYTES)
        if head.status == 503:
            raise RelayRefusedError("the node answered 503")
        if head.status != 200:
            raise PeerStatusError(head.status)
        try:
            return msgspec.json.decode(body, type=answer_type)
        except UNREADABLE as error:
            raise OSError(f"malformed response of a node: {error}") from error
