"""HTTP/1.1 connections to servers and to the store, parsed by httptools."""

import collections
import dataclasses
import socket

import httptools

from amaranthlug.transport.routing.sockets import connect, is_readable

READ_BYTES = 65_536
"""Most bytes taken from a socket at once."""
MAX_HEAD_BYTES = 65_536
"""Largest head of an answer, in bytes; more is a protocol error."""
NO_BODY = frozenset({204, 304})
"""Statuses whose answers have no body."""

Headers = list[tuple[str, str]]


class BrokenAnswerError(OSError):
    """A connection ended or an answer broke the protocol before its end."""


@dataclasses.dataclass
class ResponseHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers

    def get(self, name: str) -> str | None:
        """Returns the first value of a header; `name` in lower case."""
        for header, value in self.headers:
            if header.lower() == name:
                return value
        return None

    def closes_connection(self) -> bool:
        """Tells whether the connection ends with this answer."""
        return "close" in (self.get("connection") or "").lower()


class AnswerParser:
    """Turns bytes into heads, pieces of bodies and ends, in order."""

    def __init__(self) -> None:
        """Creates a parser for one connection."""
        self.parser = httptools.HttpResponseParser(self)
        self.items: collections.deque[ResponseHead | bytes | None] = (
            collections.deque()
        )
        self.headers: Headers = []
        self.head_bytes = 0
        self.in_body = False
        self.until_close = False

    def feed(self, data: bytes) -> None:
        """Parses bytes.

        Raises:
            BrokenAnswerError: They are no HTTP answer.
        """
        if not self.in_body:
            self.head_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserError as error:
            raise BrokenAnswerError(f"not an HTTP answer: {error}") from error
        if not self.in_body and self.head_bytes > MAX_HEAD_BYTES:
            raise BrokenAnswerError("the head of the answer is too large")

    def on_message_begin(self) -> None:
        """Starts an answer."""
        self.headers = []

    def on_header(self, name: bytes, value: bytes) -> None:
        """Keeps a header."""
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))

    def on_headers_complete(self) -> None:
        """Emits the head."""
        status = self.parser.get_status_code()
        head = ResponseHead(status, self.headers)
        self.head_bytes = 0
        if status < 200:
            return
        self.in_body = True
        encoding = (head.get("transfer-encoding") or "").lower()
        self.until_close = (
            status not in NO_BODY
            and head.get("content-length") is None
            and not encoding.endswith("chunked")
        )
        self.items.append(head)

    def on_body(self, body: bytes) -> None:
        """Emits a piece of the body."""
        self.items.append(body)

    def on_message_complete(self) -> None:
        """Emits the end of an answer."""
        if self.in_body:
            self.items.append(None)
        self.in_body = False


class HttpConnection:
    """A connection that sends one request at a time."""

    def __init__(self, sock: socket.socket):
        """Wraps a connected socket."""
        self.sock = sock
        self.parser = AnswerParser()
        self.reusable = True
        self.answering = False

    @classmethod
    def open(cls, address: str, timeout_s: float) -> "HttpConnection":
        """Connects to `host:port`.

        Raises:
            OSError: It was refused or not established in time.
        """
        return cls(connect(address, timeout_s))

    def is_open_and_idle(self) -> bool:
        """Tells whether an idle connection is open and has nothing to read."""
        return not self.parser.items and not is_readable(self.sock)

    def send(self, data: bytes, timeout_s: float) -> None:
        """Sends a whole request.

        Raises:
            OSError: The connection broke; some bytes may have arrived.
        """
        self.answering = True
        self.sock.settimeout(timeout_s)
        self.sock.sendall(data)

    def read_head(self, timeout_s: float) -> ResponseHead:
        """Waits for the head of the next answer.

        Raises:
            TimeoutError: Nothing came for `timeout_s` seconds.
            OSError: The connection or the answer broke.
        """
        while True:
            item = self.next_item(timeout_s)
            if isinstance(item, ResponseHead):
                return item

    def read_body(self, timeout_s: float) -> bytes | None:
        """Waits for a piece of the body; None at its end.

        Raises:
            TimeoutError: Nothing came for `timeout_s` seconds.
            OSError: The connection or the answer broke.
        """
        item = self.next_item(timeout_s)
        if isinstance(item, ResponseHead):
            raise BrokenAnswerError("a second answer began inside the first")
        if item is None:
            self.answering = False
        return item

    def request(
        self, data: bytes, timeout_s: float, most_bytes: int | None = None
    ) -> tuple[ResponseHead, bytes]:
        """Sends a whole request and waits for its whole answer.

        Args:
            data: The request.
            timeout_s: Longest wait for each part of the answer, in seconds.
            most_bytes: Largest body; None for any.

        Raises:
            TimeoutError: Nothing came for `timeout_s` seconds.
            OSError: The connection or the answer broke, or it is too large.
        """
        self.send(data, timeout_s)
        head = self.read_head(timeout_s)
        pieces: list[bytes] = []
        size = 0
        while (piece := self.read_body(timeout_s)) is not None:
            size += len(piece)
            if most_bytes is not None and size > most_bytes:
                raise BrokenAnswerError("the answer is too large")
            pieces.append(piece)
        return head, b"".join(pieces)

    def next_item(self, timeout_s: float) -> ResponseHead | bytes | None:
        """Returns what was parsed next, reading as needed."""
        parser = self.parser
        while not parser.items:
            self.sock.settimeout(max(timeout_s, 0.001))
            data = self.sock.recv(READ_BYTES)
            if not data:
                self.reusable = False
                if parser.in_body and parser.until_close:
                    parser.in_body = False
                    return None
                raise BrokenAnswerError(
                    "the connection ended before the answer"
                )
            try:
                parser.feed(data)
            except BrokenAnswerError:
                # Bytes behind a whole answer spoil only the connection.
                self.reusable = False
                if not parser.items:
                    raise
        return parser.items.popleft()

    def is_reusable(self) -> bool:
        """Tells whether the last answer was read whole and nothing follows."""
        return self.reusable and not self.answering and not self.parser.items

    def close(self) -> None:
        """Closes the connection; a server stops the request on it."""
        self.reusable = False
        self.sock.close()


def render_request(
    method: str, target: str, headers: Headers, body: bytes
) -> bytes:
    """Returns a request as bytes."""
    lines = [f"{method} {target} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in headers]
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body
