"""Connections to servers: pooling, late answers, typed heads."""

import collections
import dataclasses
from collections.abc import Callable
from typing import Protocol

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.protocol.routing.messages import (
    FailureKind,
    ReplyHead,
    UpstreamCall,
    UpstreamCallError,
)
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug.transport.routing.http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
    render_request,
)
from amaranthlug.transport.routing.sockets import CONNECT_TIMEOUT_S

IDLE_S = 2.0
"""Time for which an idle connection is used if the server names none."""
IDLE_MARGIN_S = 1.0
"""Time by which a connection is left before the server closes it."""
FRESH_S = 0.5
"""Idle time up to which a connection is used for a request that must not be
repeated: the shorter, the less likely that it was just closed."""
MAX_IDLE = 8
"""Idle connections kept to one server."""
SEND_TIMEOUT_S = 2.0
"""Longest wait until a server has taken a request, in seconds."""
REACHED_S = 0.5
"""Time for which the outcome of a probing connection holds, in seconds."""
MAX_FOREIGN = 3
"""Answers to other requests that are skipped on a connection."""


class HeaderCodec(Protocol):
    """Translates between typed calls and headers."""

    def encode(self, call: UpstreamCall) -> Headers:
        """Returns all headers of a call but the framing."""
        ...

    def decode(self, head: ResponseHead) -> ReplyHead:
        """Returns a typed head."""
        ...


@dataclasses.dataclass
class IdleConnection:
    """A connection without a request, and when it is too old."""

    connection: HttpConnection
    since: float
    until: float


class UpstreamPool:
    """Implements `ServerPort` with a pool of connections per life."""

    def __init__(
        self,
        codec: HeaderCodec,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates an empty pool."""
        self.codec = codec
        self.clock = clock
        self.idle: dict[tuple[str, int], collections.deque[IdleConnection]] = {}
        self.reached: dict[tuple[str, int], tuple[float, bool]] = {}

    def send(self, call: UpstreamCall) -> "SentRequest":
        """Sends a request.

        Raises:
            UpstreamCallError: It was not sent, or the connection broke.
        """
        life = call.server.life
        connection = self.take(life, call.repeatable) or self.connect(call)
        headers = self.codec.encode(call)
        request = call.request
        if request.body or request.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(request.body))))
        data = render_request(
            request.method, request.target, headers, request.body
        )
        try:
            connection.send(data, min(SEND_TIMEOUT_S, max(call.left_s, 0.001)))
        except OSError as error:
            connection.close()
            raise UpstreamCallError(
                FailureKind.BROKEN, f"sending failed: {error}"
            ) from error
        except BaseException:
            connection.close()
            raise
        return SentRequest(self, call, connection)

    def is_reachable(self, server: ServerEntry) -> bool:
        """Tells whether a server's VM takes a new connection.

        The answer holds for a moment, so that many waiting requests cause
        one connection.
        """
        now = self.clock()
        known = self.reached.get(server.life)
        if known is not None and now - known[0] < REACHED_S:
            return known[1]
        self.reached[server.life] = (now, True)
        try:
            HttpConnection.open(server.address, CONNECT_TIMEOUT_S).close()
            reached = True
        except OSError:
            reached = False
        self.reached[server.life] = (self.clock(), reached)
        return reached

    def connect(self, call: UpstreamCall) -> HttpConnection:
        """Opens a connection.

        Raises:
            UpstreamCallError: It was refused or not established in time.
        """
        timeout = min(CONNECT_TIMEOUT_S, max(call.left_s, 0.001))
        try:
            return HttpConnection.open(call.server.address, timeout)
        except OSError as error:
            raise UpstreamCallError(
                FailureKind.NOT_SENT, f"no connection: {error}"
            ) from error

    def take(
        self, life: tuple[str, int], repeatable: bool
    ) -> HttpConnection | None:
        """Returns a quiet idle connection, if there is one."""
        kept = self.idle.get(life)
        now = self.clock()
        while kept:
            found = kept.pop()
            fresh = repeatable or now - found.since < FRESH_S
            if (
                found.until > now
                and fresh
                and found.connection.is_open_and_idle()
            ):
                return found.connection
            found.connection.close()
        return None

    def give_back(
        self, life: tuple[str, int], connection: HttpConnection, idle_s: float
    ) -> None:
        """Keeps a connection for the next request."""
        kept = self.idle.setdefault(life, collections.deque())
        now = self.clock()
        kept.append(IdleConnection(connection, now, now + idle_s))
        if len(kept) > MAX_IDLE:
            kept.popleft().connection.close()

    def prune(self, listed: set[tuple[str, int]]) -> None:
        """Closes old connections and those to servers no longer listed."""
        now = self.clock()
        for life, kept in list(self.idle.items()):
            while kept and (life not in listed or kept[0].until <= now):
                kept.popleft().connection.close()
            if not kept:
                del self.idle[life]
        for life in [life for life in self.reached if life not in listed]:
            del self.reached[life]


class SentRequest:
    """Implements `SentCall`."""

    def __init__(
        self,
        pool: UpstreamPool,
        call: UpstreamCall,
        connection: HttpConnection,
    ):
        """Wraps a connection that carries a request."""
        self.pool = pool
        self.call = call
        self.connection = connection
        self.foreign = 0

    def reply(self, timeout_s: float) -> "Reply":
        """Waits for the head of the answer to this request.

        Raises:
            TimeoutError: No head came in time; it may be asked for again.
            UpstreamCallError: The connection or the answer broke.
        """
        while True:
            try:
                answer = self.connection.read_head(timeout_s)
                head = self.pool.codec.decode(answer)
                if self.is_mine(head):
                    return Reply(self, head, answer)
                self.skip(timeout_s)
            except TimeoutError:
                raise
            except (OSError, ValueError) as error:
                self.close()
                raise UpstreamCallError(
                    FailureKind.BROKEN, f"no answer: {error}"
                ) from error

    def is_mine(self, head: ReplyHead) -> bool:
        """Tells whether an answer belongs to this request.

        A refusal may come without the id; a success may not.
        """
        if head.request_id is None:
            return head.status >= 300
        return head.request_id == self.call.request.request_id

    def skip(self, timeout_s: float) -> None:
        """Reads over an answer to another request.

        Raises:
            ValueError: Too many of them came.
        """
        self.foreign += 1
        if self.foreign > MAX_FOREIGN:
            raise ValueError("answers to other requests only")
        self.connection.reusable = False
        while self.connection.read_body(timeout_s) is not None:
            pass

    def close(self) -> None:
        """Gives up on the answer."""
        self.connection.close()


class Reply:
    """Implements `UpstreamReply`."""

    def __init__(
        self, sent: SentRequest, head: ReplyHead, answer: ResponseHead
    ):
        """Wraps the head of an answer."""
        self.sent = sent
        self.head = head
        if answer.closes_connection():
            sent.connection.reusable = False

    def read(self, timeout_s: float) -> bytes | None:
        """Returns a piece of the body, None at its end.

        Raises:
            TimeoutError: Nothing came in time.
            UpstreamCallError: The answer broke.
        """
        try:
            return self.sent.connection.read_body(timeout_s)
        except TimeoutError:
            raise
        except OSError as error:
            raise UpstreamCallError(
                FailureKind.BROKEN, f"the answer broke: {error}"
            ) from error

    def close(self) -> None:
        """Ends the exchange; keeps the connection if the answer was whole."""
        connection = self.sent.connection
        if not connection.is_reusable():
            connection.close()
            return
        idle = IDLE_S
        if self.head.idle_s is not None:
            idle = min(idle, self.head.idle_s - IDLE_MARGIN_S)
        if idle <= 0:
            connection.close()
            return
        self.sent.pool.give_back(self.sent.call.server.life, connection, idle)
