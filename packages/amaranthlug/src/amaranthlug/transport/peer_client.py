"""HTTP client for messages to peers, with pooled keep-alive connections."""

from collections import OrderedDict
from collections.abc import Mapping
from typing import Any

import gevent
from geventhttpclient import HTTPClient
from geventhttpclient.header import Headers
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from amaranthlug.coordination.peers import PeerError
from amaranthlug.coordination.platform import Metrics
from amaranthlug.state.members import Member
from amaranthlug.transport.peer_auth import AUTH_HEADER, PeerKeys
from amaranthlug.transport.peer_wire import (
    REPLY_HEAD_BYTES,
    REQUEST_HEAD_BYTES,
    count_bytes,
    count_message,
    decode_message,
    encode_message,
)

MAX_IDLE_PER_PEER = 4
"""Idle connections kept per peer; excess ones are closed after use."""

CONNECTION_ERRORS = (OSError, HTTPParseError)
"""Connection errors; a clean close by the peer is an `HTTPParseError`."""

MAX_POOLED_PEERS = 64
"""Peers with pooled connections; beyond that, connections of the least recently
used peer are closed."""


class PeerHttpClient(HTTPClient):
    """Client without default headers, which cost 45 bytes per message."""

    DEFAULT_HEADERS = Headers()


class HttpPeerLink:
    """Implements `PeerLink`: adds sender and incarnation and signs messages."""

    def __init__(
        self,
        keys: PeerKeys,
        me: Member,
        metrics: Metrics,
        via: Mapping[str, str] | None = None,
    ):
        """Creates a client; `via` is `PeerSettings.via`, set only in tests."""
        self.via = via or {}
        self.keys = keys
        self.me = me
        self.metrics = metrics
        self.idle: OrderedDict[str, list[HTTPClient]] = OrderedDict()

    def call(
        self,
        address: str,
        name: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> Result[dict[str, Any], PeerError]:
        """Sends a message to the handler `name` and returns its reply."""
        full_message = {
            **message,
            "sender": self.me.address,
            "incarnation": self.me.incarnation,
        }
        body = encode_message(full_message)
        auth = self.keys.sign(self.me.address, body)
        timeout = gevent.Timeout(timeout_s)
        try:
            with timeout:
                return self.post(address, name, body, auth)
        except gevent.Timeout as expired:
            if expired is not timeout:
                raise  # A timeout that the caller of this method set.
            self.metrics.incr("peer.timeout")
            return Err(
                PeerError(address, f"{name}: no reply within {timeout_s} s")
            )

    def post(
        self, address: str, name: str, body: bytes, auth: str
    ) -> Result[dict[str, Any], PeerError]:
        """Posts on an idle connection and, if that fails, on a new one.

        Peer messages are idempotent, so a repeated one is harmless.
        """
        not_received = True
        client = self.take_idle(address)
        if client is not None:
            try:
                return self.exchange(client, address, name, body, auth)
            except CONNECTION_ERRORS:
                # The peer may have handled the message before the failure.
                not_received = False
                self.metrics.incr("retried.peer_connection")
        try:
            new_client = self.connect(address)
            return self.exchange(new_client, address, name, body, auth)
        except ConnectionRefusedError as error:
            return Err(PeerError(address, f"{name}: {error}", not_received))
        except (*CONNECTION_ERRORS, ValueError) as error:
            return Err(PeerError(address, f"{name}: {error}"))

    def exchange(
        self,
        client: HTTPClient,
        address: str,
        name: str,
        body: bytes,
        auth: str,
    ) -> Result[dict[str, Any], PeerError]:
        """Sends one request; pools the connection after a complete reply."""
        sent = REQUEST_HEAD_BYTES + len(body) + len(auth)
        count_message(self.metrics, name, "sent")
        count_bytes(self.metrics, name, "sent", sent)
        is_complete = False
        try:
            response = client.post(
                f"/peer/{name}",
                body=body,
                headers={AUTH_HEADER: auth},
            )
            data = bytes(response.read())
            is_complete = True
        finally:
            if is_complete:
                self.put_idle(address, client)
            else:
                client.close()
        received = REPLY_HEAD_BYTES + len(data)
        count_bytes(self.metrics, name, "received", received)
        if response.status_code != 200:
            return Err(
                PeerError(
                    address,
                    f"{name}: status {response.status_code}: {data[:200]!r}",
                    not_received=response.status_code in (401, 404, 410),
                )
            )
        return decode(address, name, data)

    def connect(self, address: str) -> HTTPClient:
        """Creates a client with one connection; `call` sets the timeout."""
        host, _, port = self.via.get(address, address).rpartition(":")
        return PeerHttpClient(host, int(port), concurrency=1)

    def take_idle(self, address: str) -> HTTPClient | None:
        """Takes an idle connection to a peer, or returns None."""
        clients = self.idle.get(address)
        return clients.pop() if clients else None

    def put_idle(self, address: str, client: HTTPClient) -> None:
        """Pools a connection for reuse, closing those above the limits."""
        clients = self.idle.setdefault(address, [])
        self.idle.move_to_end(address)
        if len(clients) < MAX_IDLE_PER_PEER:
            clients.append(client)
        else:
            client.close()
        while len(self.idle) > MAX_POOLED_PEERS:
            for old in self.idle.popitem(last=False)[1]:
                old.close()

    def close(self) -> None:
        """Closes all idle connections."""
        for clients in self.idle.values():
            for client in clients:
                client.close()
        self.idle.clear()


def decode(
    address: str, name: str, data: bytes
) -> Result[dict[str, Any], PeerError]:
    """Decodes a reply; a malformed one is an error."""
    try:
        return Ok(decode_message(data))
    except ValueError as error:
        return Err(PeerError(address, f"{name}: {error}"))
