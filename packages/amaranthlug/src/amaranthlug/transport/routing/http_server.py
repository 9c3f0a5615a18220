"""HTTP/1.1 server that reads complete requests and detects disconnects."""

import contextlib
import http
import itertools
import logging
import math
import random
import socket
from collections.abc import Callable

import gevent
from gevent.pool import Pool
from gevent.server import StreamServer

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.transport.routing.http_client import Headers
from amaranthlug.transport.routing.request_parser import (
    IncomingRequest,
    RejectedRequestError,
    RequestParser,
)
from amaranthlug.transport.routing.server_limits import ServerLimits
from amaranthlug.transport.routing.sockets import (
    is_readable,
    set_tcp_options,
    split_address,
)

READ_BYTES = 65_536
"""Most bytes per read of a socket."""
READ_AHEAD_STEP_BYTES = 16_384
"""Most bytes per read while a request is answered."""
LINGER_S = 0.5
"""Time in which bytes of a rejected request are discarded, in seconds."""
MIN_FREE_CONNECTIONS = 8
"""Connections that are kept free for new callers, by closing idle ones."""
FREE_RETRY_S = 0.25
"""Time after which a server with few free connections closes more, in
seconds."""
NO_MEMORY_RETRY_S = (0.3, 0.8)
"""Range of the random `Retry-After` of a request for which there is no memory,
in seconds; random so that callers do not all return together."""
BACKLOG = 1_024
"""Connections that may wait to be accepted; callers retry beyond that."""
WRITE_TIMEOUT_S = 10.0
"""Longest wait for a caller that does not read its response, in seconds."""
MAX_PIPELINED_BYTES = 262_144
"""Bound of the bytes read ahead while a request is answered; the rest stays in
the socket buffer."""

log = logging.getLogger(__name__)


class CallerDisconnected(gevent.GreenletExit):
    """Kills a greenlet of a connection that closed or is being closed."""


class Responder:
    """Writes the response to one request.

    Attributes:
        take_over: Set by a handler that answers nothing: called with the socket
            and the bytes read from it after the request, once nothing else
            reads from it; the connection ends afterwards.
    """

    def __init__(self, sock: socket.socket, may_keep_alive: Callable[[], bool]):
        """Writes to `sock`; calls `may_keep_alive` when the head is sent."""
        self.sock = sock
        self.may_keep_alive = may_keep_alive
        self.keep_alive = False
        self.headers_sent = False
        self.is_complete = False
        self.take_over: Callable[[socket.socket, bytes], None] | None = None

    def head(self, status: int, headers: Headers) -> bytes:
        """Returns a response head, with `Connection: close` where it is due."""
        self.headers_sent = True
        self.keep_alive = self.may_keep_alive()
        reason = http.HTTPStatus(status).phrase if status in REASONS else ""
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not self.keep_alive:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a complete response.

        Raises:
            OSError: The caller disconnected.
        """
        length = [("Content-Length", str(len(body)))]
        self.sock.sendall(self.head(status, headers + length) + body)
        self.is_complete = True

    def start_stream(self, status: int, headers: Headers, data: bytes) -> None:
        """Sends the head of a chunked response with its first bytes."""
        framing = [("Transfer-Encoding", "chunked")]
        self.sock.sendall(self.head(status, headers + framing) + chunk(data))

    def send_chunk(self, data: bytes) -> None:
        """Sends more bytes of a chunked response."""
        if data:
            self.sock.sendall(chunk(data))

    def end_stream(self) -> None:
        """Completes a chunked response."""
        self.sock.sendall(b"0\r\n\r\n")
        self.is_complete = True


REASONS = frozenset(status.value for status in http.HTTPStatus)


def chunk(data: bytes) -> bytes:
    """Frames bytes as one chunk; an empty one would end the response."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


Handler = Callable[[IncomingRequest, Responder], None]


class HttpServer:
    """Accepts connections and passes each request to a handler."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: ServerLimits | None = None,
    ):
        """Creates a server that listens once `start` is called."""
        self.handler = handler
        self.limits = limits or ServerLimits()
        self.draining = False
        self.closed = False
        self.will_retry = False
        self.idle: dict[socket.socket, gevent.Greenlet] = {}
        self.pool = Pool(self.limits.max_connections)
        self.server = StreamServer(
            split_address(address),
            self.serve_connection,
            backlog=BACKLOG,
            spawn=self.pool,
        )

    def start(self) -> None:
        """Starts to listen.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server.start()

    def stop_accepting(self) -> None:
        """Closes the listener and idle connections; running requests go on.

        A connection with unread bytes stays open until its request is answered.
        """
        self.closed = True
        self.server.close()
        loop = gevent.get_hub().loop
        for sock, reader in list(self.idle.items()):
            # Run by the event loop, so that no reader wakes up between the
            # check and the end of its connection.
            loop.run_callback(self.close_if_idle, sock, reader)

    def close_if_idle(
        self, sock: socket.socket, reader: gevent.Greenlet
    ) -> None:
        """Ends a reader unless a request has arrived; runs in the hub."""
        is_idle = self.idle.get(sock) is reader
        if is_idle and not is_readable(sock):
            reader.throw(CallerDisconnected)

    def active_connections(self) -> int:
        """Returns the number of connections with a request in progress.

        A request that has arrived counts also before it is read.
        """
        idle = sum(not is_readable(sock) for sock in self.idle)
        return len(self.pool) - idle

    def serve_connection(self, sock: socket.socket, peer: object) -> None:
        """Serves the requests of one connection until it closes."""
        self.keep_connections_free()
        connection = ServedConnection(self, sock)
        try:
            set_tcp_options(sock)
            connection.run()
        except (OSError, CallerDisconnected):
            pass  # The caller disconnected; the handler logged its request.
        finally:
            self.limits.memory.remove(connection.held)
            sock.close()

    def keep_connections_free(self) -> None:
        """Closes idle or slow connections if few are left for new callers.

        Idle ones go first, those that are idle for the longest time before
        others, then unfinished requests, the slowest first. A full server
        accepts nothing, so that it is tried again until some are free.
        """
        spare = MIN_FREE_CONNECTIONS - self.pool.free_count()
        if spare <= 0:
            return
        self.limits.rejections.record(
            "connections",
            f"{self.limits.max_connections} connections are open; idle and "
            "slow ones are closed",
        )
        loop = gevent.get_hub().loop
        idle = list(itertools.islice(self.idle.items(), spare))
        for sock, reader in idle:
            loop.run_callback(self.close_if_idle, sock, reader)
        for _ in range(spare - len(idle)):
            self.limits.memory.evict_slowest()
        if not self.will_retry:
            self.will_retry = True
            gevent.spawn_later(FREE_RETRY_S, self.retry_to_free)

    def retry_to_free(self) -> None:
        """Checks again whether connections are free."""
        self.will_retry = False
        self.keep_connections_free()


class ServedConnection:
    """One connection of a caller.

    Attributes:
        held: What its requests hold of the server's memory.
        read_ahead: Bytes of later requests, read while one was answered.
        answering_bytes: Memory of the request that is being answered.
        body_time_s: Time for the body that is being read, in seconds; None
            until it is looked up.
        rejection: Why the bytes after the last complete request were rejected.
    """

    def __init__(self, server: HttpServer, sock: socket.socket):
        """Wraps an accepted socket."""
        self.server = server
        self.sock = sock
        self.parser = RequestParser(server.limits.callers)
        self.read_ahead = b""
        self.answering_bytes = 0
        self.rejection: RejectedRequestError | None = None
        self.body_time_s: float | None = None
        self.held = server.limits.memory.add(self.evict)

    def run(self) -> None:
        """Answers the requests of the connection in order."""
        while True:
            try:
                received = self.next_request()
            except RejectedRequestError as error:
                self.reject(error)
                return
            if received is None:
                return
            request, keep_alive = received
            self.answering_bytes = request.held_bytes
            if not self.answer(request, keep_alive):
                return
            self.answering_bytes = 0
            self.update_held()
            if self.server.closed and not self.has_more():
                return

    def has_more(self) -> bool:
        """Returns whether bytes of a next request, or the end, can be read."""
        return bool(
            self.parser.complete_requests or self.read_ahead or self.rejection
        ) or is_readable(self.sock)

    def update_held(self) -> bool:
        """Counts what the connection holds; False if there is no room."""
        held, parser = self.held, self.parser
        held.began_at = (
            math.inf
            if self.answering_bytes or parser.first_byte_at is None
            else parser.first_byte_at
        )
        return self.server.limits.memory.resize(
            held,
            self.answering_bytes + parser.held_bytes + len(self.read_ahead),
        )

    def evict(self) -> None:
        """Ends the connection in favour of others; its request has not run."""
        self.rejection = RejectedRequestError(
            408,
            "the request was received too slowly while others wanted room; "
            "send it again",
            "evicted",
        )
        self.parser.drop_all()
        self.read_ahead = b""
        with contextlib.suppress(OSError):  # The caller disconnected.
            self.sock.shutdown(socket.SHUT_RD)

    def next_request(self) -> tuple[IncomingRequest, bool] | None:
        """Returns the next complete request and whether to keep the connection.

        The result is None at the end of the connection.

        Raises:
            RejectedRequestError: The request is malformed, too large or slow.
        """
        parser = self.parser
        while not parser.complete_requests:
            if self.rejection is not None:
                raise self.rejection
            data = self.read_ahead or self.read(parser)
            if self.rejection is not None:
                continue  # It was evicted while it read.
            if not data:
                return None
            step = parser.step_bytes
            data, self.read_ahead = data[:step], data[step:]
            try:
                self.feed(data)
            except RejectedRequestError as error:
                # Complete requests before the malformed bytes are answered.
                self.rejection = error
                self.parser.drop_unfinished()
                self.read_ahead = b""
                continue
            if not self.update_held() and self.rejection is None:
                self.drop_beyond_first()
            if parser.wants_continue and not parser.complete_requests:
                parser.wants_continue = False
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return parser.complete_requests.popleft()

    def feed(self, data: bytes) -> None:
        """Parses bytes; fragmented bodies take half of the time at most.

        Else many of them at once would leave no time for other callers.

        Raises:
            RejectedRequestError: They violate the protocol or exceed a limit.
        """
        if not self.parser.is_fragmented():
            self.parser.feed(data)
            return
        with self.server.limits.fragments:
            started_at = boot_seconds()
            if self.rejection is None:  # Else it was evicted meanwhile.
                self.parser.feed(data)
            gevent.sleep(boot_seconds() - started_at)

    def drop_beyond_first(self) -> None:
        """Rejects what there is no memory for; one complete request is kept."""
        parser = self.parser
        first = list(parser.complete_requests)[:1]
        if (
            len(parser.complete_requests) == 1
            and parser.first_byte_at is None
            and not self.read_ahead
        ):
            return  # It has been counted until its body was complete.
        self.rejection = RejectedRequestError(
            503,
            "the requests of all callers take the memory of this node; send "
            "the request again after the given time",
            "memory",
        )
        parser.drop_all()
        parser.complete_requests.extend(first)
        self.read_ahead = b""

    def read(self, parser: RequestParser) -> bytes:
        """Reads bytes, within the idle timeout if no request has started.

        Raises:
            RejectedRequestError: A request started but did not go on in time.
        """
        in_request = parser.first_byte_at is not None
        if not in_request:
            self.server.idle[self.sock] = gevent.getcurrent()
        try:
            return self.receive(in_request)
        except TimeoutError:
            if in_request:
                raise RejectedRequestError(
                    408,
                    "the request was not received in time; send it faster",
                    "slow",
                ) from None
            return b""
        finally:
            self.server.idle.pop(self.sock, None)

    def receive(self, in_request: bool) -> bytes:
        """Reads bytes within the limit that is in force when it ends.

        Raises:
            TimeoutError: None arrived in time.
            OSError: The connection failed.
        """
        started_at = boot_seconds()
        while True:
            wait_s = started_at + self.limit_s(in_request) - boot_seconds()
            wait_s = min(wait_s, self.remaining_s())
            if wait_s <= 0 and not is_readable(self.sock):
                raise TimeoutError("no bytes arrived in time")
            if self.remaining_s() <= 0:
                raise TimeoutError("the request is not complete in time")
            self.sock.settimeout(max(wait_s, 0.001))
            try:
                return self.sock.recv(READ_BYTES)
            except TimeoutError:
                continue  # The configuration may have changed the limit.

    def limit_s(self, in_request: bool) -> float:
        """Returns the longest wait for bytes, in seconds."""
        limits = self.server.limits.callers()
        return limits.header_timeout_s if in_request else limits.idle_timeout_s

    def remaining_s(self) -> float:
        """Returns the time in which a request must be complete, in seconds.

        A body that never ends would hold its connection for ever.
        """
        parser = self.parser
        if parser.first_byte_at is None or parser.in_head:
            self.body_time_s = None
            return math.inf
        if self.body_time_s is None:
            self.body_time_s = self.server.limits.body_time_s(parser.headers)
        return parser.first_byte_at + self.body_time_s - boot_seconds()

    def reject(self, error: RejectedRequestError) -> None:
        """Answers a rejected request and ends the connection."""
        self.server.limits.rejections.record(
            error.reason, str(error), status=error.status
        )
        self.parser.drop_all()
        self.update_held()
        responder = Responder(self.sock, lambda: False)
        self.sock.settimeout(WRITE_TIMEOUT_S)
        headers = [("Content-Type", "text/plain")]
        if error.status == 503:
            wait_s = random.uniform(*NO_MEMORY_RETRY_S)
            headers.append(("Retry-After", f"{wait_s:.2f}"))
        responder.send_response(
            error.status, headers, f"{error}\n".encode("latin-1", "replace")
        )
        # Closing a socket with unread bytes sends a reset, which may reach the
        # caller before the response.
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(LINGER_S)
        with gevent.Timeout(LINGER_S, False):
            while self.sock.recv(READ_AHEAD_STEP_BYTES):
                pass

    def answer(self, request: IncomingRequest, keep_alive: bool) -> bool:
        """Runs the handler; returns whether the connection is kept alive."""
        server = self.server
        responder = Responder(
            self.sock, lambda: keep_alive and not server.draining
        )
        self.sock.settimeout(WRITE_TIMEOUT_S)
        worker = gevent.spawn(self.handle, request, responder)
        watcher = gevent.spawn(self.watch_for_disconnect, worker)
        try:
            worker.join()
        finally:
            watcher.kill()
            worker.kill(CallerDisconnected)
        if responder.take_over is not None:
            responder.take_over(self.sock, self.read_ahead)
            return False
        return responder.is_complete and responder.keep_alive

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        """Calls the handler; answers 500 if it fails before its answer."""
        try:
            self.server.handler(request, responder)
        except Exception as error:
            if responder.headers_sent and isinstance(error, OSError):
                log.debug("writing to the caller failed: %s", error)
                return
            log.exception(
                "unexpected error while handling a request",
                extra={"event": "internal_error"},
            )
        if not responder.headers_sent and responder.take_over is None:
            with contextlib.suppress(OSError):  # The caller disconnected.
                responder.send_response(500, [], b"")

    def watch_for_disconnect(self, worker: gevent.Greenlet) -> None:
        """Ends the handler on a disconnect; keeps pipelined bytes."""
        while len(self.read_ahead) < MAX_PIPELINED_BYTES:
            if self.sock.fileno() < 0:
                return  # The handler closed the connection itself.
            try:
                gevent.socket.wait_read(self.sock.fileno())
                data = self.sock.recv(READ_AHEAD_STEP_BYTES)
            except OSError:
                data = b""
            if not data:
                worker.kill(CallerDisconnected, block=False)
                return
            self.read_ahead += data
            if not self.update_held():
                return  # The rest stays in the socket buffer.
