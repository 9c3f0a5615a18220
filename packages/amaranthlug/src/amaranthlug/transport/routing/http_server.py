"""HTTP/1.1 server for callers: strict framing, whole bodies, early leavers."""

import collections
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
    harden,
    is_readable,
    split_address,
)

READ_BYTES = 65_536
"""Most bytes taken from a socket at once."""
BACKLOG = 1_024
"""Connections that may wait to be accepted; more are retried by callers."""
WRITE_TIMEOUT_S = 10.0
"""Longest wait for a caller that does not read, in seconds."""
MAX_PIPELINED_BYTES = 262_144
"""Bytes read ahead while a request is answered; more waits in the socket."""

log = logging.getLogger(__name__)


class CallerGone(gevent.GreenletExit):
    """The caller closed its connection before the answer."""


class RejectedRequestError(Exception):
    """A request that breaks the protocol or a limit."""

    def __init__(self, status: int, message: str):
        """Keeps the status to answer with."""
        super().__init__(message)
        self.status = status


@dataclasses.dataclass
class IncomingRequest:
    """A request as it was read.

    Attributes:
        method: Such as `GET`.
        target: Path and query as sent.
        headers: In the order of sending.
        body: The whole body without its framing.
        arrived: Boot clock at its first byte, in seconds.
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
    """Collects requests; more than one may come with one read."""

    def __init__(self, limits: Callable[[], CallerLimits]):
        """Creates a parser for one connection."""
        self.limits = limits
        self.parser = httptools.HttpRequestParser(self)
        self.done: collections.deque[tuple[IncomingRequest, bool]] = (
            collections.deque()
        )
        self.target = b""
        self.headers: Headers = []
        self.body: list[bytes] = []
        self.body_bytes = 0
        self.head_bytes = 0
        self.began: float | None = None
        self.in_head = True
        self.wants_continue = False

    def feed(self, data: bytes) -> None:
        """Parses bytes.

        Raises:
            RejectedRequestError: They break the protocol or a limit.
        """
        if self.began is None:
            self.began = boot_seconds()
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
                400, f"not an HTTP request: {error}"
            ) from (error)
        if self.in_head and self.head_bytes > self.limits().header_bytes:
            raise RejectedRequestError(431, "the request head is too large")

    def on_message_begin(self) -> None:
        """Starts a request."""
        self.target = b""
        self.headers = []
        self.body = []
        self.body_bytes = 0
        self.in_head = True
        if self.began is None:
            self.began = boot_seconds()

    def on_url(self, url: bytes) -> None:
        """Keeps a part of the target."""
        self.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True

    def on_headers_complete(self) -> None:
        """Ends the head."""
        self.in_head = False
        size = sum(len(name) + len(value) + 4 for name, value in self.headers)
        if size + len(self.target) > self.limits().header_bytes:
            raise RejectedRequestError(431, "the request head is too large")

    def on_body(self, body: bytes) -> None:
        """Keeps a piece of the body within the limit."""
        self.body_bytes += len(body)
        if self.body_bytes > self.limits().body_bytes:
            raise RejectedRequestError(413, "the request body is too large")
        self.body.append(body)

    def on_message_complete(self) -> None:
        """Emits a whole request."""
        request = IncomingRequest(
            self.parser.get_method().decode("latin-1"),
            self.target.decode("latin-1"),
            self.headers,
            b"".join(self.body),
            self.began or boot_seconds(),
        )
        self.body = []
        self.done.append((request, self.parser.should_keep_alive()))
        self.began = None
        self.head_bytes = 0
        self.in_head = True
        self.wants_continue = False


class Responder:
    """Writes the answer to one request."""

    def __init__(self, sock: socket.socket, keep: Callable[[], bool]):
        """Writes to `sock`; `keep` tells whether the connection goes on."""
        self.sock = sock
        self.may_keep = keep
        self.keep = False
        self.begun = False
        self.ended = False

    def head(self, status: int, headers: Headers) -> bytes:
        """Returns a rendered head with the connection header."""
        self.begun = True
        self.keep = self.may_keep()
        reason = http.HTTPStatus(status).phrase if status in REASONS else ""
        lines = [f"HTTP/1.1 {status} {reason}"]
        lines += [f"{name}: {value}" for name, value in headers]
        if not self.keep:
            lines.append("Connection: close")
        return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Sends a whole answer.

        Raises:
            OSError: The caller is gone.
        """
        length = [("Content-Length", str(len(body)))]
        self.sock.sendall(self.head(status, headers + length) + body)
        self.ended = True

    def start_stream(self, status: int, headers: Headers, data: bytes) -> None:
        """Sends the head of a chunked answer with its first bytes."""
        framing = [("Transfer-Encoding", "chunked")]
        self.sock.sendall(self.head(status, headers + framing) + chunk(data))

    def send_chunk(self, data: bytes) -> None:
        """Sends more bytes of a chunked answer."""
        if data:
            self.sock.sendall(chunk(data))

    def end_stream(self) -> None:
        """Completes a chunked answer."""
        self.sock.sendall(b"0\r\n\r\n")
        self.ended = True


REASONS = frozenset(status.value for status in http.HTTPStatus)


def chunk(data: bytes) -> bytes:
    """Returns bytes framed as one chunk; nothing for no bytes."""
    return b"%x\r\n%b\r\n" % (len(data), data) if data else b""


Handler = Callable[[IncomingRequest, Responder], None]


class HttpServer:
    """Accepts connections and gives each request to a handler."""

    def __init__(
        self,
        address: str,
        handler: Handler,
        limits: Callable[[], CallerLimits] = CallerLimits,
        max_connections: int = 2_000,
    ):
        """Creates a server; `start` begins to listen."""
        self.handler = handler
        self.limits = limits
        self.draining = False
        self.closed = False
        self.idle: dict[socket.socket, gevent.Greenlet] = {}
        self.pool = Pool(max_connections)
        self.server = StreamServer(
            split_address(address), self.serve, backlog=BACKLOG, spawn=self.pool
        )

    def start(self) -> None:
        """Listens.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server.start()

    def stop_accepting(self) -> None:
        """Closes the listener and idle connections; requests go on.

        A connection on which bytes have arrived is read and answered.
        """
        self.closed = True
        self.server.close()
        for sock, reader in list(self.idle.items()):
            if not is_readable(sock):
                reader.kill(CallerGone, block=False)

    def active_connections(self) -> int:
        """Returns the connections on which a request is read or answered."""
        return len(self.pool) - len(self.idle)

    def serve(self, sock: socket.socket, peer: object) -> None:
        """Reads the requests of one connection until it ends."""
        try:
            harden(sock)
            ServedConnection(self, sock).run()
        except (OSError, CallerGone):
            pass  # The caller left; its request was logged by the handler.
        finally:
            sock.close()


class ServedConnection:
    """One connection of a caller."""

    def __init__(self, server: HttpServer, sock: socket.socket):
        """Wraps an accepted socket."""
        self.server = server
        self.sock = sock
        self.parser = RequestParser(server.limits)
        self.ahead = b""

    def run(self) -> None:
        """Answers requests one after the other."""
        while True:
            try:
                found = self.next_request()
            except RejectedRequestError as error:
                self.reject(error)
                return
            if found is None:
                return
            request, keep_alive = found
            if not self.answer(request, keep_alive):
                return
            if self.server.closed and not self.has_more():
                return

    def has_more(self) -> bool:
        """Tells whether bytes of a next request have arrived."""
        return bool(self.parser.done or self.ahead) or is_readable(self.sock)

    def next_request(self) -> tuple[IncomingRequest, bool] | None:
        """Returns the next whole request; None at the connection's end."""
        parser = self.parser
        while not parser.done:
            data, self.ahead = self.ahead, b""
            data = data or self.read(parser)
            if not data:
                return None
            parser.feed(data)
            if parser.wants_continue and not parser.done:
                parser.wants_continue = False
                self.sock.sendall(b"HTTP/1.1 100 Continue\r\n\r\n")
        return parser.done.popleft()

    def read(self, parser: RequestParser) -> bytes:
        """Reads bytes within the idle or the header time."""
        limits = self.server.limits()
        begun = parser.began is not None
        self.sock.settimeout(
            limits.header_timeout_s if begun else limits.idle_timeout_s
        )
        if not begun:
            self.server.idle[self.sock] = gevent.getcurrent()
        try:
            return self.sock.recv(READ_BYTES)
        except TimeoutError:
            if begun:
                raise RejectedRequestError(
                    408, "the request came too slowly"
                ) from None
            return b""
        finally:
            self.server.idle.pop(self.sock, None)

    def reject(self, error: RejectedRequestError) -> None:
        """Answers a request that was not understood and ends the connection."""
        log.info(
            "request rejected: %s",
            error,
            extra={"event": "rejected", "status": error.status},
        )
        responder = Responder(self.sock, lambda: False)
        self.sock.settimeout(WRITE_TIMEOUT_S)
        responder.send_response(error.status, [], b"")
        # Unread bytes would turn the close into a reset that may overtake
        # the answer.
        self.sock.shutdown(socket.SHUT_WR)
        self.sock.settimeout(0.5)
        while self.sock.recv(READ_BYTES):
            pass

    def answer(self, request: IncomingRequest, keep_alive: bool) -> bool:
        """Runs the handler; True if the connection goes on."""
        server = self.server
        responder = Responder(
            self.sock, lambda: keep_alive and not server.draining
        )
        self.sock.settimeout(WRITE_TIMEOUT_S)
        worker = gevent.spawn(self.handle, request, responder)
        watcher = gevent.spawn(self.watch, worker)
        try:
            worker.join()
        finally:
            watcher.kill()
            worker.kill(CallerGone)
        return responder.ended and responder.keep

    def handle(self, request: IncomingRequest, responder: Responder) -> None:
        """Calls the handler; a failure ends the connection."""
        try:
            self.server.handler(request, responder)
        except OSError as error:
            log.debug("caller unreachable: %s", error)
        except Exception:
            log.exception("a request failed inside the node")

    def watch(self, worker: gevent.Greenlet) -> None:
        """Ends the handler when the caller closes; keeps pipelined bytes."""
        while len(self.ahead) < MAX_PIPELINED_BYTES:
            if self.sock.fileno() < 0:
                return  # The handler closed the connection itself.
            try:
                gevent.socket.wait_read(self.sock.fileno())
                data = self.sock.recv(READ_BYTES)
            except OSError:
                data = b""
            if not data:
                worker.kill(CallerGone, block=False)
                return
            self.ahead += data
