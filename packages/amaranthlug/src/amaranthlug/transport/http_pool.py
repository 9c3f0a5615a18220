"""Pooled HTTP connections; errors tell whether the request may have arrived."""

import contextlib
import dataclasses
import socket
from collections.abc import Mapping
from typing import Any

from geventhttpclient.connectionpool import ConnectionPool
from geventhttpclient.response import (
    HTTPConnectionClosed,
    HTTPParseError,
    HTTPResponse,
    HTTPSocketPoolResponse,
)
from result import Err, Ok, Result

from amaranthlug.protocol.upstream import UpstreamError

CONNECT_TIMEOUT_S = 1.0
"""Timeout of a TCP connect, in seconds; upstreams are in the same region."""

POOL_SIZE = 4_096
"""Connections per address; more than the limit of requests in flight, so that
no request waits for one."""

READ_BYTES = 65_536
"""Most bytes per read; under load many small events arrive together."""
MAX_FRAMING_BYTES = 65_536
"""Most bytes of heads and framing without a byte of the body between them."""

MAX_ANSWER_BYTES = 16 << 20
"""Largest answer that is read as a whole, in bytes."""


class PooledResponse(HTTPSocketPoolResponse):
    """A response whose connection is reused only after `finish(True)`."""

    accepted = False
    framing_bytes = 0
    _pool: ConnectionPool | None = None

    def feed(self, data: str | bytes) -> None:
        """Parses received bytes.

        Raises:
            HTTPParseError: They are malformed, or there is no end of a head or
                of the framing of a body.
        """
        super().feed(data)
        if self._body_buffer:
            self.framing_bytes = 0
            return
        self.framing_bytes += len(data)
        if self.framing_bytes > MAX_FRAMING_BYTES:
            raise HTTPParseError(
                f"over {MAX_FRAMING_BYTES} bytes of heads and framing; check "
                "what the upstream sends instead of its answer"
            )

    def release(self) -> None:
        """Pools the connection, after a complete body only once accepted."""
        if self.message_complete and not self.accepted:
            return
        super().release()

    def _on_message_complete(self) -> None:
        # The library returns the connection to the pool here, before the
        # end marker of the stream was checked.
        HTTPResponse._on_message_complete(self)

    def finish(self, reuse: bool) -> None:
        """Ends use of the response.

        The connection is reused if `reuse` is set and the body is complete;
        otherwise it is closed.
        """
        pool, sock = self._pool, self._sock
        if reuse and self.message_complete:
            self.accepted = True
            self.release()
        elif pool is not None and sock is not None:
            self._pool = self._sock = None
            pool.release_socket(sock)

    def set_read_timeout(self, seconds: float) -> None:
        """Sets the time limit of each following read, in seconds."""
        if self._sock is not None:
            self._sock.settimeout(max(seconds, 0.001))

    def clear_read_timeout(self) -> None:
        """Removes the time limit of reads."""
        if self._sock is not None:
            self._sock.settimeout(None)

    def shut_down(self) -> None:
        """Shuts down the connection, which ends a waiting read."""
        if self._sock is not None:
            with contextlib.suppress(OSError):
                self._sock.shutdown(socket.SHUT_RDWR)

    def read_some(self) -> bytes:
        """Returns the next bytes of the body, empty at its end.

        Raises:
            OSError: The connection failed or the read timed out.
            HTTPParseError: The body ended early or is malformed.
        """
        while not self._body_buffer:
            if self.message_complete:
                return b""
            if self._sock is None:
                raise HTTPConnectionClosed("connection closed")
            data = self._sock.recv(READ_BYTES)
            self.feed(data)
            if not data and not self.message_complete:
                raise HTTPConnectionClosed("connection closed in the body")
        block = bytes(self._body_buffer)
        self._body_buffer.clear()
        return block

    def read_all(self) -> bytes:
        """Returns the rest of the body.

        Raises:
            OSError: The connection failed or a read timed out.
            HTTPParseError: The body ended early, is malformed or too large.
        """
        parts = []
        size = 0
        while part := self.read_some():
            size += len(part)
            if size > MAX_ANSWER_BYTES:
                raise HTTPParseError(
                    f"the answer exceeds {MAX_ANSWER_BYTES} bytes; check what "
                    "the upstream sends"
                )
            parts.append(part)
        return b"".join(parts)


class NoDelayPool(ConnectionPool):
    """A connection pool whose sockets have Nagle's algorithm disabled.

    Attributes:
        unused: Ids of sockets that were connected but not yet used.
    """

    def __init__(self, *arguments: Any, **options: Any):
        """Creates a pool; takes the arguments of `ConnectionPool`."""
        super().__init__(*arguments, **options)
        self.unused: set[int] = set()

    def acquire(self) -> tuple[Any, bool]:
        """Returns a socket and whether it was used before.

        Raises:
            OSError: The connection cannot be established.
        """
        sock = self.get_socket()
        is_new = id(sock) in self.unused
        self.unused.discard(id(sock))
        return sock, not is_new

    def after_connect(self, sock: Any) -> None:
        """Sets TCP_NODELAY and marks the socket as unused."""
        self.unused.add(id(sock))
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)

    def _is_socket_alive(self, sock: Any) -> bool:
        # The library uses select(), which fails for descriptors above 1023.
        try:
            sock._sock.recv(1, socket.MSG_PEEK | socket.MSG_DONTWAIT)
        except BlockingIOError:
            return True
        except (OSError, AttributeError):
            return False
        return False


@dataclasses.dataclass(frozen=True)
class HttpAnswer:
    """A complete HTTP response."""

    status: int
    content_type: str
    retry_after_s: float | None
    body: bytes


def transport_error(
    address: str, error: Exception, sent: bool, reused: bool = False
) -> UpstreamError:
    """Returns the typed error for an exception in a call to `address`.

    Args:
        address: The upstream, `host:port`.
        error: The exception.
        sent: Whether bytes of the request may have been sent.
        reused: Whether the connection was used before.
    """
    if not sent:
        reason = "connect"
    elif isinstance(error, TimeoutError):
        reason = "timeout"
    elif isinstance(error, HTTPConnectionClosed | OSError):
        reason = "reset"
    else:
        reason = "malformed"
    text = f"{address}: {reason}: {error or type(error).__name__}"
    return UpstreamError(
        address, reason, text, not_received=not sent, reused=reused
    )


def retry_after(response: HTTPResponse) -> float | None:
    """Returns `Retry-After` in seconds, None if absent or not a number."""
    value = response.get("retry-after")
    try:
        return float(value) if isinstance(value, str) else None
    except ValueError:
        return None


def request_head(
    address: str, method: str, target: str, size: int, headers: Mapping
) -> bytes:
    """Returns the rendered head of a request.

    Raises:
        ValueError: A header or the target contains a line break.
    """
    lines = [f"{method} {target} HTTP/1.1", f"Host: {address}"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if size or method not in ("GET", "HEAD"):
        lines.append(f"Content-Length: {size}")
    if any("\r" in line or "\n" in line for line in lines):
        raise ValueError("a request header or the target contains a line break")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1")


class HttpPools:
    """Connection pools by address `host:port`; they retry nothing."""

    def __init__(
        self,
        connect_timeout_s: float = CONNECT_TIMEOUT_S,
        size: int = POOL_SIZE,
    ):
        """Creates an empty set of pools."""
        self.connect_timeout_s = connect_timeout_s
        self.size = size
        self.pools: dict[str, NoDelayPool] = {}

    def pool(self, address: str) -> NoDelayPool:
        """Returns the pool of an address, creating it at first use."""
        pool = self.pools.get(address)
        if pool is None:
            host, _, port = address.rpartition(":")
            pool = NoDelayPool(
                host,
                int(port),
                host,
                int(port),
                size=self.size,
                connection_timeout=self.connect_timeout_s,
            )
            self.pools[address] = pool
        return pool

    def drop(self, address: str) -> None:
        """Closes the pool of an address.

        After one connection timed out, its idle ones may be dead as well.
        """
        pool = self.pools.pop(address, None)
        if pool is not None:
            pool.close()

    def close_all_but(self, addresses: set[str]) -> None:
        """Closes the pools of all other addresses."""
        for address in set(self.pools) - addresses:
            self.drop(address)

    def send(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        headers: Mapping[str, str],
        timeout_s: float,
    ) -> Result[PooledResponse, UpstreamError]:
        """Sends a request and returns the response once its head is complete.

        `timeout_s` limits each write and each read up to that point.
        """
        head = request_head(address, method, target, len(body), headers)
        pool = self.pool(address)
        try:
            sock, reused = pool.acquire()
        except (OSError, RuntimeError) as error:
            return Err(transport_error(address, error, sent=False))
        sock.settimeout(max(timeout_s, 0.001))
        try:
            sock.sendall(head + body)
        except OSError as error:
            pool.release_socket(sock)
            return Err(transport_error(address, error, True, reused))
        except BaseException:
            pool.release_socket(sock)
            raise
        try:
            return Ok(PooledResponse(sock, pool=pool, method=method))
        except (OSError, HTTPParseError) as error:
            # The response has already released its socket.
            if isinstance(error, TimeoutError):
                self.drop(address)
            return Err(transport_error(address, error, True, reused))

    def call(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float = 5.0,
    ) -> Result[HttpAnswer, UpstreamError]:
        """Sends a request and returns the complete response, of any status."""
        sent = self.send(
            address, method, target, body, headers or {}, timeout_s
        )
        if isinstance(sent, Err):
            return sent
        response = sent.ok_value
        try:
            content = response.read_all()
        except (OSError, HTTPParseError) as error:
            response.finish(reuse=False)
            return Err(transport_error(address, error, sent=True))
        response.finish(reuse=True)
        content_type_header = response.get("content-type")
        return Ok(
            HttpAnswer(
                response.status_code,
                content_type_header
                if isinstance(content_type_header, str)
                else "application/octet-stream",
                retry_after(response),
                content,
            )
        )
