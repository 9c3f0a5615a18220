"""HTTP/1.1 server that reads complete requests and detects disconnects."""

import collections
import contextlib
import dataclasses
import http
import logging
import socket
from collections.abc import Callable

import gevent
import httptools
from gevent.pool import Pool
from gevent.server import StreamServer

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.state.routing.config import CallerLimits
from amaranthlug.transport.routing.http_client import Headers
from amaranthlug.transport.routing.sockets import (
    is_readable,
    set_tcp_options,
    split_address,
)

READ_BYTES = 65_536
"""Most bytes per read of a socket."""
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


class RejectedRequestError(Exception):
    """A request that violates the protocol or exceeds a limit."""

    def __init__(self, status: int, message: str):
        """Stores the status of the response."""
        super().__init__(message)
        self.status = status


@dataclasses.dataclass
class IncomingRequest:
    """A request as received.

    Attributes:
        method: HTTP method, such as `GET`.
        target: Path and query as sent.
        headers: Headers in the order received.
        body: The complete body without its framing.
        arrived: Boot clock at the first byte of the request, in seconds.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float

    def get(self, name: str) -> str | None:
        """Returns the first value of a header; `name` in lower case."""
        for header, value in self.headers:
            if header.lower() == name:
                return value
        return None


class RequestParser:
    """Parses received bytes into requests; one read may hold several.

    Attributes:
        complete_requests: Complete requests, each with whether the connection
            may stay open after it.
        first_byte_at: Boot clock at the first byte of the current request, in
            seconds; None between requests.
    """

    def __init__(self, limits: Callable[[], CallerLimits]):
        """Creates a parser for one connection."""
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.complete_requests: collections.deque[
            tuple[IncomingRequest, bool]
        ] = collections.deque()
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.first_byte_at: float | None = None
        self.in_head = True
        self.wants_continue = False

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            RejectedRequestError: They violate the protocol or exceed a limit.
        """
        if self.first_byte_at is None:
            self.first_byte_at = boot_seconds()
        if self.in_head:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade as error:
            raise RejectedRequestError(
                400, "upgrades are not supported"
            ) from error
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RejectedRequestError):
                raise error.__context__ from None
            raise
        except httptools.HttpParserError as error:
            raise RejectedRequestError(
                400, f"malformed HTTP request: {error}"
            ) from (error)
        if self.in_head and self.head_bytes > self.limits().header_bytes:
            raise RejectedRequestError(431, "the request head is too large")

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self.target = b""
        self.headers = []
        self.body = []
        self.body_bytes = 0
        self.in_head = True
        if self.first_byte_at is None:
            self.first_byte_at = boot_seconds()

    def on_url(self, url: bytes) -> None:
        """Appends to the target, which may arrive in parts."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header."""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True

    def on_headers_complete(self) -> None:
        """Checks the size of the complete head.

        Raises:
            RejectedRequestError: It exceeds the limit.
        """
        self.in_head = False
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size + len(self.target) > self.limits().header_bytes:
            raise RejectedRequestError(431, "the request head is too large")

    def on_body(self, body: bytes) -> None:
        """Appends to the body.

        Raises:
            RejectedRequestError: The body exceeds the limit.
        """
        self.body_bytes += len(body)
        if self.body_bytes > self.limits().body_bytes:
            raise RejectedRequestError(413, "the request body is too large")
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Queues a complete request."""
        request = IncomingRequest(
            self.parser.get_method().decode("latin-1"),
            self.target.decode("latin-1"),
            self.headers,
            b"".join(self.body),
            self.first_byte_at or boot_seconds(),
        )
        self.body = []
        self.complete_requests.append(
            (request, self.parser.should_keep_alive())
        )
        self.first_byte_at = None
        self.head_bytes = 0
        self.in_head = True
        self.wants_continue = False


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
        limits: Callable[[], CallerLimits] = CallerLimits,
        max_connections: int = 2_000,
    ):
        """Creates a server that listens once `start` is called."""
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.closed = False
        self.idle: dict[socket.socket, gevent.Greenlet] = {}
        self.pool = Pool(max_connections)
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
        try:
            set_tcp_options(sock)
            ServedConnection(self, sock).run()
        except (OSError, CallerDisconnected):
            pass  # The caller disconnected; the handler logged its request.
        finally:
            sock.close()


class ServedConnection:
    """One connection of a caller.

    Attributes:
        read_ahead: Bytes of later requests, read while one was answered.
        rejection: Why the bytes after the last complete request were rejected.
    """

    def __init__(self, server: HttpServer, sock: socket.socket):
        """Wraps an accepted socket."""
        self.server = server
        self.sock = sock
        self.parser = RequestParser(server.limits)
        self.read_ahead = b""
        self.rejection: RejectedRequestError | None = None

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
            if not self.answer(request, keep_alive):
                return
            if self.server.closed and not self.has_more():
                return

    def has_more(self) -> bool:
        """Returns whether bytes of a next request, or the end, can be read."""
        return bool(
            self.parser.complete_requests or self.read_ahead or self.rejection
        ) or is_readable(self.sock)

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
            data, self.read_ahead = self.read_ahead, b""
            data = data or self.read(parser)
            if not data:
                return None
            try:
                parser.feed(data)
            except RejectedRequestError as error:
                # Complete requests before the malformed bytes are answered.
                self.rejection = error
                continue
            if parser.wants_continue and not parser.complete_requests:
                parser.wants_continue = False
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return parser.complete_requests.popleft()

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
                    408, "the request was not received in time"
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
            if wait_s <= 0 and not is_readable(self.sock):
                raise TimeoutError("no bytes arrived in time")
            self.sock.settimeout(max(wait_s, 0.001))
            try:
                return self.sock.recv(READ_BYTES)
            except TimeoutError:
                continue  # The configuration may have changed the limit.

    def limit_s(self, in_request: bool) -> float:
        """Returns the longest wait for bytes, in seconds."""
        limits = self.server.limits()
        return limits.header_timeout_s if in_request else limits.idle_timeout_s

    def reject(self, error: RejectedRequestError) -> None:
        """Answers a rejected request and ends the connection."""
        log.info(
            "request rejected: %s",
            error,
            extra={"event": "rejected", "status": error.status},
        )
        responder = Responder(self.sock, lambda: False)
        self.sock.settimeout(WRITE_TIMEOUT_S)
        responder.send_response(error.status, [], b"")
        # Closing a socket with unread bytes sends a reset, which may reach the
        # caller before the response.
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(0.5)
        while self.sock.recv(READ_BYTES):
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
                data = self.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                worker.kill(CallerDisconnected, block=False)
                return
            self.read_ahead += data
