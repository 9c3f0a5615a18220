"""HTTP/1.1 client connections to servers and the store, using httptools."""

import collections
import dataclasses
import socket
import time
from collections.abc import Callable

import gevent
import httptools

from amaranthlug.protocol.routing.messages import BodyFraming
from amaranthlug.transport.routing.path_frames import FramedReader
from amaranthlug.transport.routing.response_limits import (
    MAX_HEADERS,
    BrokenResponseError,
    ResponseLimitError,
    ResponseMeter,
)
from amaranthlug.transport.routing.sockets import (
    connect,
    is_readable,
    is_time_limit,
)

READ_BYTES = 65_536
"""Most bytes per read of a socket."""
NO_BODY = frozenset({204, 304})
"""Statuses whose responses have no body."""
YIELD_BYTES = READ_BYTES
"""Bytes read from a connection after which other greenlets run, in bytes; a
read does not wait, and so does not let them run, while there is data."""

Headers = list[tuple[str, str]]


@dataclasses.dataclass
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers

    def get(self, name: str) -> str | None:
        """Returns the first value of a header; `name` in lower case."""
        for header, value in self.headers:
            if header.lower() == name:
                return value
        return None

    def get_all(self, name: str) -> list[str]:
        """Returns all values of a header in lower case."""
        return [
            value.strip().lower()
            for header, value in self.headers
            if header.lower() == name
        ]

    def closes_connection(self) -> bool:
        """Returns whether the connection closes after this response."""
        return "close" in (self.get("connection") or "").lower()


class ResponseParser:
    """Parses received bytes into a queue of heads, body bytes and ends.

    Attributes:
        items: What was parsed and not yet read; None marks the end of a body.
        body_bytes: Bytes of the body in the last bytes that were fed.
        ends_with_head: The response answers HEAD, so it has no body.
        in_message: A response has begun and is not complete.
        framing: How the end of the last body is told.
    """

    def __init__(self) -> None:
        """Creates a parser for one connection."""
        self.parser = httptools.HttpResponseParser(self)
        self.items: collections.deque[ResponseHead | bytes | None] = (
            collections.deque()
        )
        self.headers: Headers = []
        self.body_parts: list[bytes] = []
        self.body_bytes = 0
        self.ends_with_head = False
        self.in_message = False
        self.in_body = False
        self.framing = BodyFraming.LENGTH

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            BrokenResponseError: The bytes are malformed or have an unknown
                transfer coding.
        """
        self.body_bytes = 0
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            # The parser chains an error of its callbacks.
            if isinstance(error.__context__, BrokenResponseError):
                raise error.__context__ from None
            raise BrokenResponseError(
                f"malformed HTTP response: {error.__context__ or error}"
            ) from error
        finally:
            self.queue_body()

    def queue_body(self) -> None:
        """Queues the body bytes of one read as one item."""
        if self.body_parts:
            self.items.append(b"".join(self.body_parts))
            self.body_parts.clear()

    def on_message_begin(self) -> None:
        """Resets the headers for a new response."""
        self.in_message = True
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header.

        Raises:
            ResponseLimitError: There are too many.
        """
        if len(self.headers) >= MAX_HEADERS:
            raise ResponseLimitError(
                f"over {MAX_HEADERS} headers; check what the server sends "
                "instead of its answer"
            )
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Queues the head; informational (1xx) responses are skipped.

        Raises:
            BrokenResponseError: The body has an unknown transfer coding.
        """
        status = self.parser.get_status_code()
        head = ResponseHead(status, self.headers)
        if status < 200:
            return
        codings = head.get_all("transfer-encoding")
        if codings and codings != ["chunked"]:
            raise BrokenResponseError(
                "unknown transfer coding; the server may use only chunks"
            )
        self.in_body = True
        self.framing = BodyFraming.CHUNKS if codings else BodyFraming.LENGTH
        if not (
            self.ends_with_head
            or status in NO_BODY
            or codings
            or head.get("content-length") is not None
        ):
            self.framing = BodyFraming.CLOSE
        self.items.append(head)
        if self.ends_with_head:
            self.items.append(None)

    def on_body(self, body: bytes) -> None:
        """Keeps body bytes until the end of the read or of the body."""
        self.body_bytes += len(body)
        self.body_parts.append(body)

    def on_message_complete(self) -> None:
        """Queues the end of a response."""
        self.queue_body()
        if self.in_body and not self.ends_with_head:
            self.items.append(None)
        self.in_message = False
        self.in_body = False


class HttpConnection:
    """A connection that carries one request at a time.

    Attributes:
        peer: Name of the node through which it leads, None if it is direct.
        receive_close: Called once when it is closed.
    """

    def __init__(self, sock: socket.socket):
        """Wraps a connected socket."""
        self.sock = sock
        self.framed: FramedReader | None = None
        self.peer: str | None = None
        self.receive_close: Callable[[], object] | None = None
        self.parser = ResponseParser()
        self.meter = ResponseMeter()
        self.unyielded_bytes = 0
        self.reusable = True
        self.awaiting_response = False

    @classmethod
    def open(
        cls, address: str, timeout_s: float, source_host: str = ""
    ) -> "HttpConnection":
        """Connects to `host:port`, from `source_host` if that is given.

        Raises:
            OSError: The connection was refused or not established in time.
        """
        return cls(connect(address, timeout_s, source_host))

    @property
    def is_framed(self) -> bool:
        """Returns whether the other node says how the connection ends."""
        return self.framed is not None

    def lead_through(self, peer: str, is_framed: bool) -> None:
        """Makes the connection to a node a path through it.

        Args:
            peer: Name of the node.
            is_framed: It passes the bytes of the server in frames.
        """
        self.peer = peer
        self.reusable = False
        if is_framed:
            self.framed = FramedReader(self.sock)

    def is_open_and_idle(self) -> bool:
        """Returns whether a connection is open and has nothing to read."""
        return (
            not self.parser.items
            and not self.parser.in_message
            and not is_readable(self.sock)
        )

    def stays_open(self, wait_s: float) -> bool:
        """Returns whether an unused connection is still open after a while."""
        self.sock.settimeout(wait_s)
        try:
            data = self.sock.recv(1)
        except TimeoutError:
            return True
        except OSError:
            return False  # It was reset.
        self.reusable = False
        return bool(data)

    def send(self, data: bytes, timeout_s: float) -> None:
        """Sends a complete request.

        Raises:
            OSError: The connection failed; the server may have received some
                of the bytes.
        """
        self.awaiting_response = True
        self.meter.restart()
        if data.startswith(b"HEAD "):
            # The parser takes the length in the head for that of a body.
            self.parser.ends_with_head = True
            self.reusable = False
        self.sock.settimeout(timeout_s)
        self.sock.sendall(data)

    def read_head(self, timeout_s: float) -> ResponseHead:
        """Waits for the head of the next response.

        Raises:
            TimeoutError: No complete head arrived within `timeout_s` seconds.
            OSError: The connection failed or the response is malformed.
        """
        give_up_at = time.monotonic() + timeout_s
        while True:
            item = self.next_item(give_up_at - time.monotonic())
            if isinstance(item, ResponseHead):
                return item
            if item is not None:
                self.meter.skip(len(item))

    def skip_body(self, give_up_at: float) -> None:
        """Reads and discards the rest of a body.

        Args:
            give_up_at: Monotonic time until which it must be complete.

        Raises:
            TimeoutError: It was not; `read_head` skips the rest.
            OSError: The connection failed, or the response is malformed or too
                large.
        """
        while (
            part := self.read_body(give_up_at - time.monotonic())
        ) is not None:
            self.meter.skip(len(part))

    def read_body(self, timeout_s: float) -> bytes | None:
        """Waits for the next bytes of the body; returns None at its end.

        Raises:
            TimeoutError: No byte of it arrived within `timeout_s` seconds.
            OSError: The connection failed or the response is malformed.
        """
        item = self.next_item(timeout_s)
        if isinstance(item, ResponseHead):
            raise BrokenResponseError(
                "a second response started inside the first"
            )
        if item is None:
            self.awaiting_response = False
        return item

    def request(
        self, data: bytes, timeout_s: float, max_body_bytes: int | None = None
    ) -> tuple[ResponseHead, bytes]:
        """Sends a request and returns the head and the complete body.

        Args:
            data: The request.
            timeout_s: Time limit of the send, of the head and of each part of
                the body, in seconds.
            max_body_bytes: Largest body, in bytes; None for no limit.

        Raises:
            TimeoutError: One of these was not complete in time.
            OSError: The connection failed, or the response is malformed or too
                large.
        """
        self.send(data, timeout_s)
        head = self.read_head(timeout_s)
        chunks: list[bytes] = []
        size = 0
        while (chunk := self.read_body(timeout_s)) is not None:
            size += len(chunk)
            if max_body_bytes is not None and size > max_body_bytes:
                raise BrokenResponseError("the response body is too large")
            chunks.append(chunk)
        return head, b"".join(chunks)

    def next_item(self, timeout_s: float) -> ResponseHead | bytes | None:
        """Returns the next parsed item, reading from the socket as needed.

        Raises:
            TimeoutError: None was complete within `timeout_s` seconds.
            OSError: The connection failed or the response is malformed.
        """
        items = self.parser.items
        if not items:
            give_up_at = time.monotonic() + timeout_s
            self.receive(timeout_s)
            while not items:
                self.receive(give_up_at - time.monotonic())
        return items.popleft()

    def receive(self, timeout_s: float) -> None:
        """Reads from the socket once and parses the bytes.

        Raises:
            TimeoutError: Nothing arrived within `timeout_s` seconds.
            OSError: The connection failed or the response is malformed.
        """
        if timeout_s <= 0:
            raise TimeoutError("no time is left to read the response")
        parser = self.parser
        if self.unyielded_bytes >= YIELD_BYTES:
            self.unyielded_bytes = 0
            gevent.sleep(0)
        self.sock.settimeout(timeout_s)
        try:
            data = (self.framed or self.sock).recv(READ_BYTES)
        except TimeoutError as error:
            if is_time_limit(error):
                raise
            self.reusable = False
            raise BrokenResponseError(
                f"the connection is dead: {error}"
            ) from error
        self.unyielded_bytes += len(data)
        if not data:
            self.reusable = False
            if not parser.in_body or parser.framing is not BodyFraming.CLOSE:
                raise BrokenResponseError(
                    "the connection ended before the response"
                )
            parser.in_body = False
            parser.items.append(None)
            return
        try:
            parser.feed(data)
            self.meter.add(len(data), parser.body_bytes)
        except BrokenResponseError:
            # Malformed or surplus bytes after a complete response only prevent
            # reuse of the connection.
            self.reusable = False
            if not parser.items:
                raise

    def is_reusable(self) -> bool:
        """Returns whether the last response was read and nothing follows it."""
        return (
            self.reusable
            and not self.awaiting_response
            and not self.parser.items
            and not self.parser.in_message
        )

    def close(self) -> None:
        """Closes the connection; the server then stops a request on it."""
        self.reusable = False
        self.sock.close()
        receive_close, self.receive_close = self.receive_close, None
        if receive_close is not None:
            receive_close()


def render_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Returns a request as bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
