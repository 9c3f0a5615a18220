"""Frames in which a node passes the bytes of a server to another node.

A frame is a length, four bytes in network order, and as many bytes. Two lengths
stand alone: one says that the server closed its connection and still serves,
the other that the connection to the server broke. A path that ends without
either was lost, which tells nothing of the server.
"""

import socket
import struct
from typing import Protocol

from amaranthlug.transport.routing.sockets import is_time_limit

READ_BYTES = 65_536
"""Most bytes per read of a socket."""
HEADER = struct.Struct(">I")
CLOSED = 0
"""Length that says that the server closed the connection and still serves."""
BROKEN = 0xFFFFFFFF
"""Length that says that the connection to the server broke, or that the server
has ended."""


class PathBrokenError(OSError):
    """A path through another node was lost, the server maybe not."""


class PathWriter(Protocol):
    """Passes what a server sends to the node that opened the path."""

    def send(self, data: bytes) -> None:
        """Passes bytes, of which there is at least one.

        Raises:
            OSError: The connection of the other node failed.
        """
        ...

    def end(self, is_closed: bool) -> None:
        """Says how the connection to the server ended.

        Args:
            is_closed: The server closed it and still serves.

        Raises:
            OSError: The connection of the other node failed.
        """
        ...


class FramedWriter:
    """Passes bytes in frames."""

    def __init__(self, sock: socket.socket):
        """Writes to the connection of the other node."""
        self.sock = sock

    def send(self, data: bytes) -> None:
        """Passes bytes as one frame."""
        self.sock.sendall(HEADER.pack(len(data)) + data)

    def end(self, is_closed: bool) -> None:
        """Says how the connection to the server ended."""
        self.sock.sendall(HEADER.pack(CLOSED if is_closed else BROKEN))
        self.sock.shutdown(socket.SHUT_WR)


class UnframedWriter:
    """Passes bytes to a node of a former build.

    That node takes the end of the connection for that of an answer. It is a
    reset, also where this process is killed, unless the server closed.
    """

    def __init__(self, sock: socket.socket):
        """Writes to the connection of the other node."""
        self.sock = sock
        self.set_reset(True)

    def set_reset(self, is_reset: bool) -> None:
        """Sets whether the close of the connection is a reset."""
        self.sock.setsockopt(
            socket.SOL_SOCKET,
            socket.SO_LINGER,
            struct.pack("ii", is_reset, 0),
        )

    def send(self, data: bytes) -> None:
        """Passes bytes as they are."""
        self.sock.sendall(data)

    def end(self, is_closed: bool) -> None:
        """Ends the connection in order if the server closed."""
        if not is_closed:
            self.sock.close()
            return
        self.set_reset(False)
        self.sock.shutdown(socket.SHUT_WR)


class FramedReader:
    """Reads the bytes of a server from the frames of a path.

    Attributes:
        sock: The connection to the other node, with the time limit of reads.
    """

    def __init__(self, sock: socket.socket):
        """Reads from a connection on which frames begin."""
        self.sock = sock
        self.received = bytearray()
        self.frame_left = 0
        self.ended = False

    def recv(self, size: int) -> bytes:
        """Returns bytes of the server, none once it has closed.

        Raises:
            TimeoutError: Nothing arrived in time.
            ConnectionResetError: The connection to the server broke.
            PathBrokenError: The path was lost.
        """
        while not self.ended and not self.frame_left:
            self.read_header()
        if self.ended:
            return b""
        if not self.received:
            self.receive()
        part = bytes(self.received[: min(size, self.frame_left)])
        del self.received[: len(part)]
        self.frame_left -= len(part)
        return part

    def read_header(self) -> None:
        """Reads the length of the next frame.

        Raises:
            ConnectionResetError: The connection to the server broke.
            OSError: The path was lost or nothing arrived in time.
        """
        while len(self.received) < HEADER.size:
            self.receive()
        (self.frame_left,) = HEADER.unpack_from(self.received)
        del self.received[: HEADER.size]
        if self.frame_left == BROKEN:
            raise ConnectionResetError(
                "the server's connection to the node of the path broke"
            )
        self.ended = self.frame_left == CLOSED

    def receive(self) -> None:
        """Reads from the connection once.

        Raises:
            TimeoutError: Nothing arrived in time.
            PathBrokenError: The path was lost.
        """
        try:
            data = self.sock.recv(READ_BYTES)
        except OSError as error:
            if is_time_limit(error):
                raise
            raise PathBrokenError(f"the path was lost: {error}") from error
        if not data:
            raise PathBrokenError("the path was lost: its connection ended")
        self.received += data
