"""Relay exchanges between nodes as JSON over HTTP."""

import msgspec

from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_messages import (
    RelayAnswer,
    RelayRefusedError,
    RelayRequest,
)
from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug.transport.routing.http_server import (
    IncomingRequest,
    Responder,
)

EXCHANGE_PATH = "/peer/exchange"
CONNECT_TIMEOUT_S = 0.3
"""Longest wait for a connection to another node, in seconds."""
MAX_ANSWER_BYTES = 16 << 20
"""Largest response of a relay, in bytes; a configuration with thousands of
routes takes less than a tenth of it."""


class RelayEndpoint:
    """Serves relay exchanges to other nodes."""

    def __init__(self, relay: Relay):
        """Creates an endpoint that answers from `relay`."""
        self.relay = relay

    def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answers one exchange, with 503 if the relay cannot serve it."""
        if incoming.target != EXCHANGE_PATH:
            responder.send_response(404, [], b"")
            return
        try:
            request = msgspec.json.decode(incoming.body, type=RelayRequest)
        except msgspec.MsgspecError as error:
            responder.send_response(400, [], str(error).encode())
            return
        answer = self.relay.answer(request)
        if answer is None:
            responder.send_response(503, [], b"")
            return
        responder.send_response(
            200,
            [("Content-Type", "application/json")],
            msgspec.json.encode(answer),
        )


class HttpPeers:
    """Implements `PeerPort` with one keep-alive connection per node."""

    def __init__(self) -> None:
        """Creates a client without connections."""
        self.connections: dict[str, HttpConnection] = {}

    def exchange(
        self, address: str, request: RelayRequest, timeout_s: float
    ) -> RelayAnswer:
        """Returns the answer of the node at `address`.

        Raises:
            RelayRefusedError: The node does not currently read the store.
            OSError: The node could not be reached or its response is invalid.
        """
        connection = self.connections.pop(address, None)
        if connection is not None and not connection.is_open_and_idle():
            connection.close()
            connection = None
        if connection is None:
            connection = HttpConnection.open(address, CONNECT_TIMEOUT_S)
        body = msgspec.json.encode(request)
        headers = [("Host", address), ("Content-Length", str(len(body)))]
        try:
            answer = self.send_request(
                connection,
                render_request("POST", EXCHANGE_PATH, headers, body),
                timeout_s,
            )
        except BaseException:
            connection.close()
            raise
        self.connections[address] = connection
        return answer

    def send_request(
        self, connection: HttpConnection, data: bytes, timeout_s: float
    ) -> RelayAnswer:
        """Sends a rendered request and decodes the response.

        Raises:
            RelayRefusedError: The node answered 503.
            OSError: The connection failed or the response is invalid.
        """
        head, body = connection.request(data, timeout_s, MAX_ANSWER_BYTES)
        if head.status == 503:
            raise RelayRefusedError("the node answered 503")
        if head.status != 200:
            raise OSError(f"the node answered {head.status}")
        try:
            return msgspec.json.decode(body, type=RelayAnswer)
        except msgspec.MsgspecError as error:
            raise OSError(f"malformed relay response: {error}") from error
