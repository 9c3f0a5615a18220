"""Pooled HTTP connections to upstream servers."""

import collections
import dataclasses
import logging
import time
from collections.abc import Callable
from typing import Protocol

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.protocol.routing.messages import (
    BodyFraming,
    FailureKind,
    PathState,
    ReplyHead,
    UpstreamCall,
    UpstreamCallError,
)
from amaranthlug.protocol.routing.server_paths import (
    DIRECT_WAIT_S,
    ServerPaths,
)
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug.transport.routing.http_client import (
    Headers,
    HttpConnection,
    ResponseHead,
    render_request,
)
from amaranthlug.transport.routing.path_frames import PathBrokenError
from amaranthlug.transport.routing.response_limits import ResponseLimitError
from amaranthlug.transport.routing.sockets import CONNECT_TIMEOUT_S

DEFAULT_IDLE_S = 2.0
"""Idle time after which a connection expires, in seconds, unless the server's
limit is shorter."""
IDLE_MARGIN_S = 1.0
"""Seconds before the server's own idle limit at which a connection expires, so
that no request is sent while the server closes it."""
UNREPEATABLE_IDLE_S = 0.5
"""Longest idle time, in seconds, of a connection for a request that must not be
repeated; a short one makes it less likely that the server just closed it."""
MAX_IDLE = 8
"""Idle connections kept per server instance."""
SEND_TIMEOUT_S = 2.0
"""Longest time for sending a request, in seconds."""
PROBE_TTL_S = 0.5
"""Time for which the result of a connection probe is cached, in seconds."""
CLOSE_WAIT_S = 0.1
"""Time in which a forwarder closes a connection that it cannot pass on, in
seconds; more than 20 round trips."""
END_WAIT_S = 0.02
"""Time for which a new connection must stay open to show that a server that
closed another one still serves, in seconds; some round trips."""
END_CHECK_S = 0.5
"""Longest time in which that is found out, in seconds."""
MAX_SKIPPED_RESPONSES = 3
"""Responses to other requests that one request skips on its connection."""

log = logging.getLogger(__name__)


def open_connection(address: str, timeout_s: float) -> HttpConnection:
    """Connects to `host:port`.

    Raises:
        OSError: The connection was refused or not established in time.
    """
    return HttpConnection.open(address, timeout_s)


class HeaderCodec(Protocol):
    """Converts between typed calls and HTTP headers."""

    def encode(self, call: UpstreamCall) -> Headers:
        """Returns the headers of a call, without those that frame the body."""
        ...

    def decode(self, head: ResponseHead) -> ReplyHead:
        """Returns the typed form of a response head."""
        ...


@dataclasses.dataclass
class IdleConnection:
    """An idle connection; both times are readings of the pool's clock."""

    connection: HttpConnection
    idle_since: float
    expires_at: float


class UpstreamPool:
    """Implements `ServerPort` with a connection pool per server instance."""

    def __init__(
        self,
        codec: HeaderCodec,
        paths: ServerPaths[HttpConnection],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates an empty pool.

        Args:
            codec: Converts headers.
            paths: Opens connections to servers.
            clock: Returns seconds.
        """
        self.codec = codec
        self.paths = paths
        self.clock = clock
        paths.look = self.look
        self.idle: dict[tuple[str, int], collections.deque[IdleConnection]] = {}
        self.probes: dict[tuple[str, int], tuple[float, bool]] = {}
        self.running_probes: dict[tuple[str, int], gevent.Greenlet] = {}

    def send(self, call: UpstreamCall) -> "SentRequest":
        """Sends a request on an idle or a new connection.

        Raises:
            UpstreamCallError: The server could not be reached, or the
                connection failed while sending.
        """
        instance_key = call.server.instance_key
        if self.paths.links.is_hung(call.server):
            self.drop_idle(call.server)
        kept = self.take_idle(instance_key, call.repeatable)
        connection = kept or self.connect(call)
        if not call.may_send():
            connection.close()
            raise UpstreamCallError(
                FailureKind.NOT_SENT, "it must not be sent any more"
            )
        headers = self.codec.encode(call)
        request = call.request
        if request.body or request.method not in ("GET", "HEAD"):
            headers.append(("Content-Length", str(len(request.body))))
        data = render_request(
            request.method, request.target, headers, request.body
        )
        try:
            connection.send(
                data, min(SEND_TIMEOUT_S, max(call.remaining_s, 0.001))
            )
        except OSError as error:
            connection.close()
            raise UpstreamCallError(
                FailureKind.BROKEN, f"sending the request failed: {error}"
            ) from error
        except BaseException:
            connection.close()
            raise
        return SentRequest(self, call, connection, kept is not None)

    def is_reachable(self, server: ServerEntry) -> bool:
        """Returns whether a server's VM accepts a new connection.

        The result is cached briefly, so that many waiting requests cause only
        one probe. It outlives the request that started it, since others may
        wait for its result.
        """
        key = server.instance_key
        cached_probe = self.probes.get(key)
        if (
            cached_probe is not None
            and self.clock() - cached_probe[0] < PROBE_TTL_S
        ):
            return cached_probe[1]
        if key not in self.running_probes:
            self.running_probes[key] = gevent.spawn(self.probe, server)
        return bool(self.running_probes[key].get())

    def probe(self, server: ServerEntry) -> bool:
        """Connects to a server and caches whether its VM accepted that."""
        accepted = False
        try:
            self.paths.open(server, CONNECT_TIMEOUT_S).close()
            accepted = True
        except OSError:
            pass  # It is unreachable.
        finally:
            del self.running_probes[server.instance_key]
        self.probes[server.instance_key] = (self.clock(), accepted)
        return accepted

    def is_path_alive(self, server: ServerEntry, through_peer: bool) -> bool:
        """Returns whether an open connection to a server may still work.

        Args:
            server: The server.
            through_peer: The connection leads through another node.
        """
        if not self.is_reachable(server):
            return False
        return through_peer or not self.paths.links.is_hung(server)

    def is_link_lost(self, server: ServerEntry) -> bool:
        """Returns whether only other nodes reach a server."""
        return self.paths.links.is_lost(server)

    def check_path(self, server: ServerEntry) -> PathState:
        """Returns what this node and others find of a server.

        Unlike that of `is_reachable` the result is new.
        """
        return self.paths.check(server)

    def look(self, server: ServerEntry) -> PathState:
        """Opens a connection over this node's own link.

        A connection that is accepted may still be closed at once, by a
        forwarder before a process that is gone.
        """
        return self.look_within(server, CONNECT_TIMEOUT_S, CLOSE_WAIT_S)

    def look_within(
        self,
        server: ServerEntry,
        connect_s: float,
        close_wait_s: float,
        idle_s: float = 0.0,
    ) -> PathState:
        """Opens a connection over this node's own link.

        Args:
            server: The server.
            connect_s: Longest wait for the connection, in seconds.
            close_wait_s: Time for which it must stay open, in seconds.
            idle_s: Time for which it is kept for a next request, in seconds.
        """
        try:
            connection = self.paths.dial(server.address, connect_s)
        except ConnectionRefusedError:
            return PathState.REFUSED
        except OSError as error:
            log.info(
                "cannot tell whether server %s has ended: %s",
                server.server_id,
                error,
                extra={"event": "server_unknown", "server": server.server_id},
            )
            return PathState.UNKNOWN
        is_open = False
        try:
            is_open = connection.stays_open(close_wait_s)
        finally:
            if is_open and idle_s > 0 and connection.is_reusable():
                self.put_idle(server.instance_key, connection, idle_s)
            else:
                connection.close()
        return PathState.OPEN if is_open else PathState.CLOSED

    def is_still_serving(self, server: ServerEntry, idle_s: float = 0) -> bool:
        """Returns whether a server that closed a connection still serves.

        The kernel closes the connections of a process that has ended in the
        same way. What new connections show of the server tells the two apart.

        Args:
            server: The server.
            idle_s: Time for which a new connection is kept, in seconds.
        """
        state: PathState | None = None
        with gevent.Timeout(END_CHECK_S, False):
            state = self.look_within(
                server, DIRECT_WAIT_S, END_WAIT_S, max(idle_s, 0)
            )
            if state is PathState.UNKNOWN:
                state = self.paths.ask_others(server)
        # A server at its limit closes new connections, too.
        is_serving = state is PathState.OPEN or (
            state is PathState.CLOSED and self.has_open_idle(server)
        )
        kind = "confirmed" if is_serving else "unconfirmed"
        self.paths.metrics.incr(f"answer_ends.{kind}")
        if not is_serving:
            log.info(
                "server %s closed a connection and does not serve as far as "
                "this node can tell",
                server.server_id,
                extra={
                    "event": "answer_end_unconfirmed",
                    "server": server.server_id,
                    "state": state.value if state else None,
                },
            )
        return is_serving

    def has_open_idle(self, server: ServerEntry) -> bool:
        """Returns whether an idle connection to a server is still open."""
        return any(
            idle.connection.is_open_and_idle()
            for idle in self.idle.get(server.instance_key, ())
        )

    def connect(self, call: UpstreamCall) -> HttpConnection:
        """Opens a connection to the server of a call.

        Raises:
            UpstreamCallError: The connection was refused or not established
                in time.
        """
        timeout = min(CONNECT_TIMEOUT_S, max(call.remaining_s, 0.001))
        try:
            return self.paths.open(call.server, timeout)
        except OSError as error:
            raise UpstreamCallError(
                FailureKind.NOT_SENT, f"connecting failed: {error}"
            ) from error

    def take_idle(
        self, instance_key: tuple[str, int], repeatable: bool
    ) -> HttpConnection | None:
        """Takes a usable idle connection from the pool, or returns None."""
        idle_connections = self.idle.get(instance_key)
        now = self.clock()
        while idle_connections:
            candidate = idle_connections.pop()
            recent_enough = (
                repeatable or now - candidate.idle_since < UNREPEATABLE_IDLE_S
            )
            if (
                candidate.expires_at > now
                and recent_enough
                and candidate.connection.is_open_and_idle()
            ):
                return candidate.connection
            candidate.connection.close()
        return None

    def put_idle(
        self,
        instance_key: tuple[str, int],
        connection: HttpConnection,
        idle_s: float,
    ) -> None:
        """Keeps a connection for up to `idle_s` seconds for a next request."""
        idle_connections = self.idle.setdefault(
            instance_key, collections.deque()
        )
        now = self.clock()
        idle_connections.append(IdleConnection(connection, now, now + idle_s))
        if len(idle_connections) > MAX_IDLE:
            idle_connections.popleft().connection.close()

    def drop_idle(self, server: ServerEntry) -> None:
        """Closes the idle connections to a server, which are dead."""
        for idle in self.idle.pop(server.instance_key, ()):
            idle.connection.close()

    def prune(self, listed: set[tuple[str, int]]) -> None:
        """Closes expired connections and those to instances not `listed`."""
        now = self.clock()
        for instance_key, idle_connections in list(self.idle.items()):
            while idle_connections and (
                instance_key not in listed
                or idle_connections[0].expires_at <= now
            ):
                idle_connections.popleft().connection.close()
            if not idle_connections:
                del self.idle[instance_key]
        for instance_key in [
            instance_key
            for instance_key in self.probes
            if instance_key not in listed
        ]:
            del self.probes[instance_key]


class SentRequest:
    """Implements `SentCall`: a request whose response is still to come.

    Attributes:
        peer: Name of the node through which it was sent, None if directly.
    """

    def __init__(
        self,
        pool: UpstreamPool,
        call: UpstreamCall,
        connection: HttpConnection,
        is_kept: bool = False,
    ):
        """Wraps the connection on which the request was sent.

        Args:
            pool: The pool of connections.
            call: The request.
            connection: Where it was sent.
            is_kept: The connection has carried other requests before.
        """
        self.pool = pool
        self.call = call
        self.connection = connection
        self.peer = connection.peer
        self.is_kept = is_kept
        self.skipped_responses = 0

    def reply(self, timeout_s: float) -> "Reply":
        """Waits for the response head, skipping those of other requests.

        Raises:
            TimeoutError: No head arrived within `timeout_s` seconds; the call
                can be repeated.
            UpstreamCallError: The connection failed or the response is
                malformed.
        """
        give_up_at = time.monotonic() + timeout_s
        while True:
            try:
                response = self.connection.read_head(
                    give_up_at - time.monotonic()
                )
                head = self.pool.codec.decode(response)
                head.framing = self.connection.parser.framing
                if self.is_own_response(head):
                    return Reply(self, head, response)
                self.skip_response(give_up_at)
            except TimeoutError:
                raise
            except (OSError, ValueError) as error:
                self.close()
                raise self.broken_error("head", error) from error

    def is_own_response(self, head: ReplyHead) -> bool:
        """Returns whether a response belongs to this request.

        Only a response with status 300 or above may lack the request id, and
        only where no earlier request can be meant.
        """
        if head.request_id is None:
            is_first = not self.is_kept and not self.skipped_responses
            return head.status >= 300 and is_first
        return head.request_id == self.call.request.request_id

    def skip_response(self, give_up_at: float) -> None:
        """Reads and discards the body of a response to another request.

        Args:
            give_up_at: Monotonic time until which it must be complete.

        Raises:
            TimeoutError: It was not.
            OSError: The connection failed or the response is malformed.
            ValueError: Too many such responses arrived.
        """
        self.skipped_responses += 1
        if self.skipped_responses > MAX_SKIPPED_RESPONSES:
            raise ValueError("too many responses to other requests")
        self.connection.reusable = False
        self.connection.skip_body(give_up_at)

    def broken_error(self, part: str, error: Exception) -> UpstreamCallError:
        """Returns the error for a broken head or body."""
        if isinstance(error, ResponseLimitError):
            server_id = self.call.server.server_id
            log.warning(
                "server %s sent too much: %s",
                server_id,
                error,
                extra={"event": "response_limit", "server": server_id},
            )
        return UpstreamCallError(
            FailureKind.BROKEN,
            f"reading the response {part} failed: {error}",
            path_lost=isinstance(error, PathBrokenError),
        )

    def close(self) -> None:
        """Closes the connection without reading the response."""
        self.connection.close()


class Reply:
    """Implements `UpstreamReply`: a response whose body is being read."""

    def __init__(
        self, sent: SentRequest, head: ReplyHead, response: ResponseHead
    ):
        """Wraps the head of a response, typed and as received."""
        self.sent = sent
        self.head = head
        if response.closes_connection():
            sent.connection.reusable = False

    def read(self, timeout_s: float) -> bytes | None:
        """Returns the next bytes of the body, None at its end.

        Raises:
            TimeoutError: Nothing arrived within `timeout_s` seconds.
            UpstreamCallError: The connection failed or the body is malformed.
        """
        try:
            data = self.sent.connection.read_body(timeout_s)
        except TimeoutError:
            raise
        except OSError as error:
            raise self.sent.broken_error("body", error) from error
        if data is None and self.head.framing is BodyFraming.CLOSE:
            self.check_end()
        return data

    def check_end(self) -> None:
        """Checks an end of the connection that is to be that of the body.

        Raises:
            UpstreamCallError: Nothing shows that the server ended the body.
        """
        connection, server = self.sent.connection, self.sent.call.server
        if connection.is_framed:
            return  # The node of the path has checked it.
        if connection.peer is not None:
            raise UpstreamCallError(
                FailureKind.BROKEN,
                "the path ended, which does not show that the answer has",
                path_lost=True,
            )
        idle_s = 0.0 if self.head.leaving else self.idle_s()
        if not self.sent.pool.is_still_serving(server, idle_s):
            raise UpstreamCallError(
                FailureKind.BROKEN,
                "the connection ended, and the server seems to have",
            )

    def idle_s(self) -> float:
        """Returns for how long an idle connection is kept, in seconds."""
        if self.head.idle_s is None:
            return DEFAULT_IDLE_S
        return min(DEFAULT_IDLE_S, self.head.idle_s - IDLE_MARGIN_S)

    def close(self) -> None:
        """Ends the exchange; pools the connection after a complete body."""
        connection = self.sent.connection
        if not connection.is_reusable():
            connection.close()
            return
        idle_s = self.idle_s()
        if idle_s <= 0:
            connection.close()
            return
        self.sent.pool.put_idle(
            self.sent.call.server.instance_key, connection, idle_s
        )
