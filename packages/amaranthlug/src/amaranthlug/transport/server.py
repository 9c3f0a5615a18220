"""Gevent server of a node with a shutdown that cuts no request."""

import errno
import gc
import logging
import socket
import time
from typing import Any

import gevent
from gevent import pywsgi

from amaranthlug.transport.app import SOCKET_KEY

log = logging.getLogger(__name__)

STALL_S = 30.0
"""A caller that accepts or sends no byte for this long is cut, in seconds."""

PEER_PATH = " /peer/"
"""Part of the request line of messages between nodes."""

WORK_PATHS = (" /v1/chat/", " /v1/services/")
"""Parts of the request line of work, which must pause before the end."""

IDLE_CHECK_S = 0.05
"""Period of checks for running requests during a shutdown, in seconds."""

QUIET_S = 1.0
"""Time without new work before the listener closes, in seconds."""

GC_ALLOCATIONS = 20_000
"""Allocations between young collections; requests leave few cycles."""

BACKLOG = 1_024
"""Connections that wait for acceptance."""


class NodeHandler(pywsgi.WSGIHandler):
    """Handler of one connection that counts its running request."""

    ignored_socket_errors = (errno.EPIPE, errno.ECONNRESET, "timed out")
    server: "NodeServer"

    def __init__(self, sock: Any, address: Any, server: Any, rfile: Any = None):
        """Bounds stalls of the caller; sends small events at once."""
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.settimeout(server.stall_s)
        super().__init__(sock, address, server, rfile)
        self.counted = False
        self.corked: list[bytes] | None = None

    def _write_with_headers(self, data: bytes) -> None:
        # The library sends head and first block apart, which costs the
        # caller of a stream a second wake-up before its first token.
        self.corked = []
        try:
            super()._write_with_headers(data)
        finally:
            held, self.corked = self.corked, None
        self._sendall(b"".join(held))

    def _sendall(self, data: bytes) -> None:
        if self.corked is not None:
            self.corked.append(data)
            return
        # Most events fit the socket's buffer, so that one system call does.
        sent = self.socket.send(data)
        self.response_length += sent
        if sent < len(data):
            super()._sendall(memoryview(data)[sent:])

    def log_request(self) -> None:
        """Formats no access line; there is no access log."""

    def read_request(self, raw_requestline: str) -> Any:
        """Counts a caller's request as running from its first line on.

        Peers go on sending until the node has left, so their messages must
        not keep it from finishing.
        """
        if PEER_PATH not in raw_requestline:
            self.counted = True
            self.server.running += 1
        return super().read_request(raw_requestline)

    def start_response(
        self, status: str, headers: Any, exc_info: Any = None
    ) -> Any:
        """Asks callers of a leaving node to close their connections."""
        if self.server.leaving and exc_info is None:
            headers = [*headers, ("Connection", "close")]
        return super().start_response(status, headers, exc_info)

    def get_environ(self) -> dict[str, Any]:
        """Shows the caller's socket to the app, which watches it."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ

    def handle_one_request(self) -> Any:
        """Ends the count whatever happens."""
        try:
            return super().handle_one_request()
        finally:
            if self.counted:
                self.counted = False
                self.server.running -= 1
                # Probes and questions for entry addresses may never pause.
                if any(path in self.requestline for path in WORK_PATHS):
                    self.server.last_end = time.monotonic()


def freeze_heap() -> None:
    """Keeps the objects of start-up out of garbage collections.

    A full collection over the 52,000 objects of a daemon's imports took 32 to
    35 ms here, in which no token moves; after the freeze it took 0.01 ms.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(GC_ALLOCATIONS)


class NodeServer(pywsgi.WSGIServer):
    """Serves an app; `drain` stops when all requests have finished."""

    def __init__(self, address: str, app: Any, stall_s: float = STALL_S):
        """Creates a server of `host:port`; port 0 takes a free one."""
        host, _, port = address.rpartition(":")
        super().__init__(
            (host, int(port)),
            app,
            backlog=BACKLOG,
            log=None,
            error_log=log,
            handler_class=NodeHandler,
            # The library asks a name server for the host name otherwise.
            environ={"SERVER_NAME": host},
        )
        self.stall_s = stall_s
        self.running = 0
        self.leaving = False
        self.last_end = time.monotonic()

    def drain(self) -> None:
        """Stops accepting after all requests have finished.

        Call it when callers have stopped to send new requests; one that still
        arrives is answered.
        """
        self.leaving = True
        self.last_end = time.monotonic()
        while self.running or time.monotonic() - self.last_end < QUIET_S:
            gevent.sleep(IDLE_CHECK_S)
        # Connections accepted by the kernel but not yet by this process
        # would be reset by closing the listener.
        self.stop_accepting()
        while self.running:
            gevent.sleep(IDLE_CHECK_S)
        self.stop()
