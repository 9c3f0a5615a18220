"""Parses the requests of a connection within the limits on callers."""

import collections
import dataclasses
from collections.abc import Callable

import httptools

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.protocol.routing.request_memory import (
    LINE_BYTES,
    REQUEST_BYTES,
)
from amaranthlug.state.routing.config import CallerLimits
from amaranthlug.transport.routing.http_client import Headers

HEAD_STEP_BYTES = 4_096
"""Most bytes of a head that are parsed before its limits are checked."""
BODY_STEP_BYTES = 16_384
"""The same of a body, after which further requests may follow."""
MIN_FRAGMENTS = 1_000
"""Chunks from which a body counts as fragmented if they are small; parsing so
many takes a few milliseconds."""
MIN_CHUNK_BYTES = 16
"""Mean size below which chunks are small, in bytes; the framing of each is 5
bytes or more."""


class RejectedRequestError(Exception):
    """A request that violates the protocol or exceeds a limit.

    Attributes:
        status: Status of the response; nothing of the request has run.
        reason: Name of the limit in logs and metrics.
    """

    def __init__(self, status: int, message: str, reason: str = "malformed"):
        """Creates the error; its message names limit and remedy."""
        super().__init__(message)
        self.status = status
        self.reason = reason


@dataclasses.dataclass
class IncomingRequest:
    """A request as received.

    Attributes:
        method: HTTP method, such as `GET`.
        target: Path and query as sent.
        headers: Headers in the order received.
        body: The complete body without its framing.
        arrived: Boot clock at the first byte of the request, in seconds.
        held_bytes: Memory that it takes, in bytes.
    """

    method: str
    target: str
    headers: Headers
    body: bytes
    arrived: float
    held_bytes: int = 0

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
        self.body = bytearray()
        self.head_bytes = 0
        self.parsed_head_bytes = 0
        self.trailer_bytes = 0
        self.chunks = 0
        self.first_byte_at: float | None = None
        self.in_head = True
        self.in_trailers = False
        self.wants_continue = False

    @property
    def step_bytes(self) -> int:
        """Returns the most bytes to feed before the limits are checked."""
        return HEAD_STEP_BYTES if self.in_head else BODY_STEP_BYTES

    @property
    def held_bytes(self) -> int:
        """Returns the memory of all requests that are not answered yet."""
        unfinished = 0
        if self.first_byte_at is not None:
            unfinished = self.current_bytes() + (
                self.head_bytes if self.in_head else self.trailer_bytes
            )
        return unfinished + sum(
            request.held_bytes for request, _ in self.complete_requests
        )

    def current_bytes(self) -> int:
        """Returns the memory of the request that is being read."""
        return (
            REQUEST_BYTES
            + self.parsed_head_bytes
            + len(self.headers) * LINE_BYTES
            + len(self.body)
        )

    def is_fragmented(self) -> bool:
        """Returns whether the body costs far more time than its size shows."""
        return (
            self.chunks > MIN_FRAGMENTS
            and len(self.body) < self.chunks * MIN_CHUNK_BYTES
        )

    def drop_all(self) -> None:
        """Frees all requests that are not answered yet."""
        self.complete_requests.clear()
        self.drop_unfinished()

    def drop_unfinished(self) -> None:
        """Frees the request that is being read."""
        self.headers = []
        self.body = bytearray()
        self.head_bytes = self.parsed_head_bytes = self.trailer_bytes = 0

    def feed(self, data: bytes) -> None:
        """Parses received bytes.

        Raises:
            RejectedRequestError: They violate the protocol or exceed a limit.
        """
        if self.first_byte_at is None:
            self.first_byte_at = boot_seconds()
        if self.in_head:
            self.head_bytes += len(data)
        elif self.in_trailers:
            self.trailer_bytes += len(data)
        try:
            self.parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            raise RejectedRequestError(
                400, "upgrades are not supported; send no Upgrade header"
            ) from None
        except httptools.HttpParserCallbackError as error:
            if isinstance(error.__context__, RejectedRequestError):
                # Its frames would keep the data until it is handled.
                raise error.__context__.with_traceback(None) from None
            raise
        except httptools.HttpParserError as error:
            raise RejectedRequestError(
                400, f"malformed HTTP request: {error}"
            ) from None
        limit = self.limits().header_bytes
        if self.in_head and self.head_bytes > limit:
            raise self.head_too_large(limit)
        if self.trailer_bytes > limit:
            raise RejectedRequestError(
                431,
                f"the trailers exceed {limit} bytes; send none, they are not "
                "used",
                "trailer_bytes",
            )

    def head_too_large(self, limit: int) -> RejectedRequestError:
        """Returns the rejection of a head that exceeds the limit."""
        return RejectedRequestError(
            431,
            f"the request head exceeds {limit} bytes; send fewer or shorter "
            "headers",
            "header_bytes",
        )

    def on_message_begin(self) -> None:
        """Resets the state for a new request."""
        self.target = b""
        self.headers = []
        self.body = bytearray()
        self.parsed_head_bytes = 0
        self.trailer_bytes = 0
        self.chunks = 0
        self.in_head = True
        self.in_trailers = False
        if self.first_byte_at is None:
            self.first_byte_at = boot_seconds()

    def on_url(self, url: bytes) -> None:
        """Appends to the target, which may arrive in parts."""
        self.target += url
        self.parsed_head_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Stores a header; trailers are dropped, since nothing uses them.

        Raises:
            RejectedRequestError: The head exceeds the limit.
        """
        if not self.in_head:
            self.in_trailers = True
            return
        self.parsed_head_bytes += len(name) + len(value) + 4
        limit = self.limits().header_bytes
        if self.parsed_head_bytes > limit:
            raise self.head_too_large(limit)
        self.headers.append((name.decode("latin-1"), value.decode("latin-1")))
        if name.lower() == b"expect" and value.lower() == b"100-continue":
            self.wants_continue = True

    def on_headers_complete(self) -> None:
        """Ends the head."""
        self.in_head = False

    def on_chunk_header(self) -> None:
        """Begins a chunk; trailers follow unless it has content."""
        self.chunks += 1
        self.in_trailers = True

    def on_body(self, body: bytes) -> None:
        """Appends to the body.

        Raises:
            RejectedRequestError: The body exceeds the limit.
        """
        self.in_trailers = False
        limit = self.limits().body_bytes
        if len(self.body) + len(body) > limit:
            raise RejectedRequestError(
                413,
                f"the request body exceeds {limit} bytes; send a smaller one",
                "body_bytes",
            )
        self.body += body

    def on_message_complete(self) -> None:
        """Queues a complete request."""
        # A second copy of the body is made when it is sent to a server.
        held_bytes = self.current_bytes() + len(self.body)
        request = IncomingRequest(
            self.parser.get_method().decode("latin-1"),
            self.target.decode("latin-1"),
            self.headers,
            bytes(self.body),
            self.first_byte_at or boot_seconds(),
            held_bytes,
        )
        self.drop_unfinished()
        self.complete_requests.append(
            (request, self.parser.should_keep_alive())
        )
        self.first_byte_at = None
        self.in_head = True
        self.in_trailers = False
        self.wants_continue = False
