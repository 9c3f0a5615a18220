"""Tests of connections whose peer's host is silent for a while."""

import ctypes
import errno
import socket
import struct

import gevent
import pytest
from gevent import socket as gsocket

from amaranthlug.transport.routing import sockets
from amaranthlug_standins.loopback import process_address

SO_ATTACH_FILTER = 26
SO_DETACH_FILTER = 27
"""Socket options of Linux, which Python does not name."""
BPF_RETURN = 0x06
"""Instruction that ends a packet filter; its value 0 drops the packet."""
SILENT_S = 2.5
"""Length of the silence of a host, in seconds."""


def drop_packets(sock):
    """Drops all packets that reach a socket, so that it acknowledges none."""
    program = ctypes.create_string_buffer(
        struct.pack("HBBI", BPF_RETURN, 0, 0, 0)
    )
    sock.setsockopt(
        socket.SOL_SOCKET,
        SO_ATTACH_FILTER,
        struct.pack("HP", 1, ctypes.addressof(program)),
    )


@pytest.fixture
def connection():
    """Both ends of a connection; the first one has the options set."""
    with gsocket.create_server((process_address(), 0)) as listener:
        host, port = listener.getsockname()
        near = sockets.connect(f"{host}:{port}", 1.0)
        far, _ = listener.accept()
    yield near, far
    near.close()
    far.close()


# Guards against the cause of issue 29 in the options of a connection: one that
# waited for an answer was closed a second after an unanswered keep-alive probe.
@pytest.mark.parametrize("quiet_s", [0.9, 1.9])
def test_connection_outlasts_the_silence_of_a_host(connection, quiet_s):
    """The server was at work before its host fell silent."""
    near, far = connection
    near.sendall(b"request")
    far.recv(100)
    gevent.sleep(quiet_s)
    drop_packets(far)
    gevent.sleep(SILENT_S)
    far.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    far.sendall(b"answer")
    near.settimeout(2.0)
    assert near.recv(100) == b"answer"


# Guards against the cause of issue 29 in the options of a connection, while a
# request is sent.
def test_sent_bytes_outlast_the_silence_of_a_host(connection):
    """They are sent again until the host acknowledges them."""
    near, far = connection
    drop_packets(far)
    near.sendall(b"request")
    gevent.sleep(SILENT_S)
    far.setsockopt(socket.SOL_SOCKET, SO_DETACH_FILTER, 0)
    far.settimeout(3.0)
    assert far.recv(100) == b"request"


def test_connection_to_a_dead_host_ends(connection):
    """A host that never answers again must not hold a request for long."""
    near, far = connection
    drop_packets(far)
    near.settimeout(8.0)
    with pytest.raises(TimeoutError) as raised:
        near.recv(100)
    assert raised.value.errno == errno.ETIMEDOUT  # Not the limit of the read.


# Guards against a link that counts as lost since this process was stalled for
# longer than the wait for a connection.
def test_connection_made_during_a_stall_is_used(monkeypatch):
    """It was established before the time was found to be over."""

    class StalledSocket(gsocket.socket):
        """A socket whose process is stalled once it is connected."""

        def connect(self, address):
            """Connects.

            Raises:
                TimeoutError: Always.
            """
            super().connect(address)
            raise TimeoutError("timed out")

    with gsocket.create_server((process_address(), 0)) as listener:
        host, port = listener.getsockname()
        monkeypatch.setattr(sockets.gsocket, "socket", StalledSocket)
        sock = sockets.connect(f"{host}:{port}", 0.1)
        monkeypatch.undo()
        sock.sendall(b"x")
        far, _ = listener.accept()
        assert far.recv(1) == b"x"
        far.close()
        sock.close()


def test_connection_that_is_not_made_in_time_fails(monkeypatch):
    """A wait that is over is no connection."""
    waits = []

    class WaitingSocket(gsocket.socket):
        """A socket whose connection gets no answer."""

        def connect(self, address):
            """Waits in vain.

            Raises:
                TimeoutError: Always.
            """
            waits.append(address)
            raise TimeoutError("timed out")

    monkeypatch.setattr(sockets.gsocket, "socket", WaitingSocket)
    with pytest.raises(TimeoutError):
        sockets.connect("127.0.0.1:9", 0.1)
    assert waits == [("127.0.0.1", 9)]
