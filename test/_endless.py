"""Sockets and connections for tests of endless and unsized answers."""

import itertools

import gevent
from _paths import make_pool

from amaranthlug.protocol.routing.messages import UpstreamCall
from amaranthlug.transport.routing.http_client import HttpConnection
from amaranthlug.transport.routing.upstreams import SentRequest

MAX_READ_BYTES = 16 << 20
"""Bytes after which a test gives up on a reader without a limit."""


class ScriptedSocket:
    """A socket from which scripted blocks are read.

    Attributes:
        read_bytes: Bytes that were read.
    """

    def __init__(self, blocks, end=b"", pause_s: float = 0.0):
        """Creates a socket.

        Args:
            blocks: What the reads return, one block for each.
            end: What later reads return, or the error that they raise.
            pause_s: Time that each read takes, in seconds.
        """
        self.blocks = iter(blocks)
        self.end = end
        self.pause_s = pause_s
        self.read_bytes = 0
        self.closed = False

    def settimeout(self, seconds):
        """Accepts a timeout, which no read reaches."""

    def sendall(self, data):
        """Accepts a request."""

    def close(self):
        """Closes the socket."""
        self.closed = True

    def recv(self, size):
        """Returns the next block."""
        if self.pause_s:
            gevent.sleep(self.pause_s)
        block = next(self.blocks, self.end)
        if isinstance(block, Exception):
            raise block
        self.read_bytes += len(block)
        assert self.read_bytes < MAX_READ_BYTES, "read without a limit"
        return block


def endless(first: bytes, repeated: bytes):
    """Returns blocks that begin with `first` and go on with `repeated`."""
    start = [first] if first else []
    return itertools.chain(start, itertools.repeat(repeated))


def make_connection(blocks, **more) -> HttpConnection:
    """Returns a connection on which a request was sent."""
    connection = HttpConnection(ScriptedSocket(blocks, **more))
    connection.send(b"GET / HTTP/1.1\r\n\r\n", 1.0)
    return connection


def read_response(connection: HttpConnection, timeout_s: float = 1.0):
    """Returns the status and the body of a response."""
    head = connection.read_head(timeout_s)
    body = b""
    while (part := connection.read_body(timeout_s)) is not None:
        body += part
    return head.status, body


def make_sent_request(connection, request, server) -> SentRequest:
    """Returns a request that was sent on a connection."""
    call = UpstreamCall(request, server, None, 1.0, repeatable=True)
    return SentRequest(make_pool(), call, connection)
