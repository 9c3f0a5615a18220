"""Messages to peers over HTTP with long-lived pooled connections."""

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
from amaranthlug.transport.peer_auth import HEADER, PeerKeys
from amaranthlug.transport.peer_wire import (
    REPLY_HEAD_BYTES,
    REQUEST_HEAD_BYTES,
    count_bytes,
    count_message,
    decode_message,
    encode_message,
)

IDLE_PER_PEER = 4
"""Idle connections kept per peer; more are closed after use."""

FAILURES = (OSError, HTTPParseError)
"""Errors of a connection; a clean close by the peer is an `HTTPParseError`."""

PEERS_POOLED = 64
"""Peers with idle connections; the least recently used is closed beyond."""


class PeerHttpClient(HTTPClient):
    """Client without headers of its own; they cost 45 bytes a message."""

    DEFAULT_HEADERS = Headers()


class HttpPeerLink:
    """Implements `PeerLink`; adds sender and incarnation and signs."""

    def __init__(
        self,
        keys: PeerKeys,
        me: Member,
        metrics: Metrics,
        via: Mapping[str, str] | None = None,
    ):
        """Takes keys, identity and, for tests, the map `PeerSettings.via`."""
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
        """Sends `message` to handler `name` and returns its reply."""
        full = {
            **message,
            "sender": self.me.address,
            "incarnation": self.me.incarnation,
        }
        body = encode_message(full)
        auth = self.keys.sign(self.me.address, body)
        limit = gevent.Timeout(timeout_s)
        try:
            with limit:
                return self.post(address, name, body, auth)
        except gevent.Timeout as expired:
            if expired is not limit:
                raise  # A limit of the caller.
            self.metrics.incr("peer.timeout")
            return Err(
                PeerError(address, f"{name}: no answer in {timeout_s} s")
            )

    def post(
        self, address: str, name: str, body: bytes, auth: str
    ) -> Result[dict[str, Any], PeerError]:
        """Posts on an idle connection, or on a new one if that is dead.

        Peer messages are idempotent, so sending one again is harmless.
        """
        untried = True
        client = self.take_idle(address)
        if client is not None:
            try:
                return self.exchange(client, address, name, body, auth)
            except FAILURES:
                # The process may have acted before its connection broke.
                untried = False
                self.metrics.incr("retried.peer_connection")
        try:
            fresh = self.connect(address)
            return self.exchange(fresh, address, name, body, auth)
        except ConnectionRefusedError as error:
            return Err(PeerError(address, f"{name}: {error}", untried))
        except (*FAILURES, ValueError) as error:
            return Err(PeerError(address, f"{name}: {error}"))

    def exchange(
        self,
        client: HTTPClient,
        address: str,
        name: str,
        body: bytes,
        auth: str,
    ) -> Result[dict[str, Any], PeerError]:
        """Sends one request; closes the connection unless it went well."""
        sent = REQUEST_HEAD_BYTES + len(body) + len(auth)
        count_message(self.metrics, name, "sent")
        count_bytes(self.metrics, name, "sent", sent)
        whole = False
        try:
            response = client.post(
                f"/peer/{name}",
                body=body,
                headers={HEADER: auth},
            )
            data = bytes(response.read())
            whole = True
        finally:
            if whole:
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
        """Creates a client of one connection; limits come from `call`."""
        host, _, port = self.via.get(address, address).rpartition(":")
        return PeerHttpClient(host, int(port), concurrency=1)

    def take_idle(self, address: str) -> HTTPClient | None:
        """Takes an idle connection to a peer."""
        clients = self.idle.get(address)
        return clients.pop() if clients else None

    def put_idle(self, address: str, client: HTTPClient) -> None:
        """Keeps a connection for later within the bounds."""
        clients = self.idle.setdefault(address, [])
        self.idle.move_to_end(address)
        if len(clients) < IDLE_PER_PEER:
            clients.append(client)
        else:
            client.close()
        while len(self.idle) > PEERS_POOLED:
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
    """Decodes a reply."""
    try:
        return Ok(decode_message(data))
    except ValueError as error:
        return Err(PeerError(address, f"{name}: {error}"))
