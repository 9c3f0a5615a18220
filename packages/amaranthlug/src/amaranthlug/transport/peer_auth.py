"""Authenticates messages between nodes and dispatches them to handlers."""

import hashlib
import hmac
import logging
import time
from collections.abc import Callable

from result import Err, Ok, Result

from amaranthlug.coordination.peers import (
    PeerHandlers,
    WrongProcessError,
    handle_message,
)
from amaranthlug.coordination.platform import Metrics
from amaranthlug.state.members import Member
from amaranthlug.transport.peer_wire import (
    REPLY_HEAD_BYTES,
    REQUEST_HEAD_BYTES,
    count_bytes,
    count_message,
    decode_message,
    encode_message,
)

AUTH_HEADER = "X-Peer-Auth"
MAX_CLOCK_SKEW_S = 60.0
"""Largest accepted difference between the clocks of two nodes, in seconds."""

log = logging.getLogger(__name__)


class PeerKeys:
    """Shared keys by id: the first one signs, all of them verify."""

    def __init__(
        self,
        keys: dict[str, str],
        wall_s: Callable[[], float] = time.time,
    ):
        """Takes the keys; their order matters.

        Raises:
            ValueError: There are no keys.
        """
        if not keys:
            raise ValueError("peers.keys is empty; set at least one key")
        self.keys = keys
        self.signing_key_id = next(iter(keys))
        self.wall_s = wall_s

    def mac(self, key_id: str, at_ms: str, sender: str, body: bytes) -> str:
        """Returns the hexadecimal MAC of a time, a sender and a body."""
        head = f"{at_ms}\n{sender}\n".encode()
        secret = self.keys[key_id].encode()
        return hmac.new(secret, head + body, hashlib.sha256).hexdigest()

    def sign(self, sender: str, body: bytes) -> str:
        """Returns the value of the `X-Peer-Auth` header for a message."""
        at_ms = str(int(self.wall_s() * 1000))
        mac = self.mac(self.signing_key_id, at_ms, sender, body)
        return f"{self.signing_key_id}:{at_ms}:{sender}:{mac}"

    def verify(self, header: str, body: bytes) -> Result[str, str]:
        """Returns the sender's address, or why the message is refused."""
        # The sender is host:port, so it contains a colon.
        key_id, _, rest = header.partition(":")
        at_ms, _, rest = rest.partition(":")
        sender, _, mac = rest.rpartition(":")
        if key_id not in self.keys:
            return Err("unknown peer key; add it to peers.keys")
        if not at_ms.isascii() or not at_ms.isdigit():
            return Err(f"malformed {AUTH_HEADER}")
        if not hmac.compare_digest(
            mac.encode(), self.mac(key_id, at_ms, sender, body).encode()
        ):
            return Err("wrong MAC; compare peers.keys of both nodes")
        if abs(self.wall_s() - int(at_ms) / 1000) > MAX_CLOCK_SKEW_S:
            return Err("clock skew above 60 s; set the clock of the VM")
        return Ok(sender)


class PeerReceiver:
    """Handles `POST /peer/NAME`: verifies, dispatches and counts messages.

    An app that dispatches messages itself uses `verify` alone. `receive` also
    checks the sender and counts the bytes of the reply.
    """

    def __init__(
        self,
        keys: PeerKeys,
        handlers: PeerHandlers,
        me: Member,
        metrics: Metrics,
    ):
        """Creates a receiver; `me` is the identity of this node."""
        self.keys = keys
        self.handlers = handlers
        self.me = me
        self.metrics = metrics

    def verify(self, name: str, header: str, body: bytes) -> bool:
        """Returns whether the `X-Peer-Auth` header is valid for the body."""
        received = REQUEST_HEAD_BYTES + len(body) + len(header)
        count_message(self.metrics, name, "received")
        count_bytes(self.metrics, name, "received", received)
        verified = self.keys.verify(header, body)
        if isinstance(verified, Err):
            self.metrics.incr("peer.unauthenticated")
            log.warning("peer message refused: %s", verified.err_value)
            return False
        return True

    def receive(self, name: str, header: str, body: bytes) -> tuple[int, bytes]:
        """Returns the HTTP status and the encoded reply."""
        if self.verify(name, header, body):
            status, reply = self.dispatch(name, header, body)
        else:
            status, reply = 401, {"error": "not_authenticated"}
        data = encode_message(reply)
        sent = REPLY_HEAD_BYTES + len(data)
        count_bytes(self.metrics, name, "sent", sent)
        return status, data

    def dispatch(
        self, name: str, header: str, body: bytes
    ) -> tuple[int, dict[str, object]]:
        """Dispatches an authenticated message; returns status and reply."""
        try:
            message = decode_message(body)
        except ValueError:
            return 400, {"error": "malformed_message"}
        if name not in self.handlers.handlers:
            return 404, {"error": "unknown_message"}
        if f":{message.get('sender')}:" not in header:
            return 401, {"error": "sender differs from the signed one"}
        try:
            return 200, handle_message(self.handlers, self.me, name, message)
        except WrongProcessError as error:
            return 410, {"error": str(error)}
        except (KeyError, TypeError, ValueError) as error:
            log.warning("malformed peer message %s: %r", name, error)
            return 400, {"error": "malformed_message"}
