"""Clients that hold a node's memory or connections, over loopback.

Each client is one connection. A crowd ends once all its clients have sent what
the node takes of them; their connections stay open until `close`.
"""

import contextlib
import dataclasses
import itertools
import pathlib
import re
import socket
from collections.abc import Iterator

import gevent
from gevent import socket as gsocket

from amaranthlug.transport.routing.sockets import split_address
from amaranthlug_platform_standins.soak_fleet import HOST

SEND_TIMEOUT_S = 5.0
"""Time in which a node takes no byte after which a client stops sending, in
seconds."""
BLOCK_BYTES = 65_536


@dataclasses.dataclass
class Crowd:
    """Connections that stay open.

    Attributes:
        socks: The connections.
        refused: Connections that the node closed while they sent.
    """

    socks: list[socket.socket]
    refused: int = 0

    def close(self) -> None:
        """Closes all connections."""
        for sock in self.socks:
            sock.close()


def start_crowd(address: str, clients: int, shape) -> Crowd:
    """Lets clients send at once; returns when all have sent what is taken.

    Args:
        address: Listener of the node.
        clients: Number of clients.
        shape: Returns the blocks that one client sends, by its number.
    """
    crowd = Crowd([])

    def send(number: int) -> None:
        sock = gsocket.create_connection(split_address(address), 10.0)
        crowd.socks.append(sock)
        sock.settimeout(SEND_TIMEOUT_S)
        try:
            for block in shape(number):
                sock.sendall(block)
        except TimeoutError:
            pass  # The node reads no more.
        except OSError:
            crowd.refused += 1

    tasks = [gevent.spawn(send, number) for number in range(clients)]
    gevent.joinall(tasks, raise_error=True)
    return crowd


def head(number: int, *lines: bytes, path: bytes = b"/once/x") -> bytes:
    """Returns the head of a request, with further lines."""
    return b"\r\n".join(
        [
            b"POST %s HTTP/1.1" % path,
            b"Host: %s" % HOST.encode(),
            b"Attempt-Id: crowd-%d" % number,
            b"Authorization: Bearer key-1",
            b"Deadline-Ms: 60000",
            *lines,
            b"\r\n",
        ]
    )


CHUNKED = b"Transfer-Encoding: chunked"
HEAD_BYTES = 16_000
"""Size of a large head that the limit of 16,384 bytes allows."""
BODY_BYTES = 1_000_000
"""Size of a large body that the limit of the test allows."""
LARGEST_BODY_BYTES = 4 << 20
"""Size of the largest body that the limit of the test allows."""
FLOOD_BYTES = 1_000_000
"""Bytes that a client sends at most beyond a complete body."""


def filled(line, size: int) -> Iterator[bytes]:
    """Yields lines by their number until they have `size` bytes."""
    sent = 0
    for number in itertools.count():
        text = line(number)
        sent += len(text)
        if sent > size:
            return
        yield text


def blocks(data: bytes) -> Iterator[bytes]:
    """Yields data in blocks."""
    for start in range(0, len(data), BLOCK_BYTES):
        yield data[start : start + BLOCK_BYTES]


def short_lines(number: int) -> Iterator[bytes]:
    """A legal head of the shortest lines; the body is missing."""
    lines = [b"a:"] * ((HEAD_BYTES - 300) // 4)
    yield head(number, *lines, b"Content-Length: 10")


def odd_lines(number: int) -> Iterator[bytes]:
    """A legal head of lines with odd names, each another one."""
    lines = [b"!%x:" % i for i in range((HEAD_BYTES - 300) // 8)]
    yield head(number, *lines, b"Content-Length: 10")


def oversized_head(number: int) -> Iterator[bytes]:
    """A head of 12,000 lines of one name."""
    yield from blocks(head(number, *[b"a: b"] * 12_000))


def short_trailers(number: int) -> Iterator[bytes]:
    """Trailers without end, in the shortest lines."""
    yield head(number, CHUNKED) + b"1\r\nx\r\n0\r\n"
    yield from blocks(b"a:\r\n" * (FLOOD_BYTES // 4))


def long_trailer(number: int) -> Iterator[bytes]:
    """One trailer whose value has no end."""
    yield head(number, CHUNKED) + b"1\r\nx\r\n0\r\na: "
    for _ in range(4):
        yield from blocks(b"x" * FLOOD_BYTES)


def large_chunks(number: int) -> Iterator[bytes]:
    """A body in chunks of 64 KB whose end is missing."""
    yield head(number, CHUNKED)
    for block in blocks(b"x" * BODY_BYTES):
        yield b"%x\r\n%b\r\n" % (len(block), block)


def small_chunks(number: int) -> Iterator[bytes]:
    """A body in chunks of one byte whose end is missing."""
    yield head(number, CHUNKED)
    yield from blocks(b"1\r\nx\r\n" * 200_000)


def long_extension(number: int) -> Iterator[bytes]:
    """A chunk whose extension has no end."""
    yield head(number, CHUNKED) + b"1;a="
    for _ in range(4):
        yield from blocks(b"x" * FLOOD_BYTES)


def missing_byte(number: int) -> Iterator[bytes]:
    """A body with a length whose last byte is missing."""
    yield head(number, b"Content-Length: %d" % (BODY_BYTES + 1))
    yield from blocks(b"x" * BODY_BYTES)


def endless_line(number: int) -> Iterator[bytes]:
    """A head whose last line has no end."""
    yield head(number).removesuffix(b"\r\n\r\n") + b"\r\na: "
    yield from blocks(b"x" * FLOOD_BYTES)


def pipelined(number: int) -> Iterator[bytes]:
    """Many complete requests at once, of which the first is answered late."""
    yield head(number, b"Content-Length: 0")
    small = b"GET /safe/x HTTP/1.1\r\n\r\n"
    yield from blocks(small * (FLOOD_BYTES // len(small)))


def silent(number: int) -> Iterator[bytes]:
    """A connection on which nothing is sent."""
    yield from ()


def unfinished_head(number: int) -> Iterator[bytes]:
    """A head that stops before its end."""
    yield head(number).removesuffix(b"\r\n")


def whole_many_lines(number: int) -> Iterator[bytes]:
    """A complete request with thousands of short lines."""
    yield head(number, *[b"a:"] * 3_000, b"Content-Length: 0")


def whole_large_body(number: int) -> Iterator[bytes]:
    """A complete request with the largest body."""
    yield head(number, b"Content-Length: %d" % LARGEST_BODY_BYTES)
    yield from blocks(b"x" * LARGEST_BODY_BYTES)


def whole_small_chunks(number: int) -> Iterator[bytes]:
    """A complete request in chunks of one byte."""
    yield from small_chunks(number)
    yield b"0\r\n\r\n"


def peak_memory_mb(process_id: int) -> float:
    """Returns the highest resident memory of a process, in MiB."""
    status = pathlib.Path(f"/proc/{process_id}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1]) / 1_024


def open_descriptors(process_id: int) -> int:
    """Returns the number of descriptors that a process has open."""
    with contextlib.suppress(FileNotFoundError):
        return len(list(pathlib.Path(f"/proc/{process_id}/fd").iterdir()))
    return 0
