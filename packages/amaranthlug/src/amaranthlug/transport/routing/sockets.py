"""TCP sockets with options that detect an unresponsive peer in seconds."""

import select
import socket

from gevent import socket as gsocket

KEEPALIVE_IDLE_S = 1
"""Idle time before the first keep-alive probe, in seconds."""
KEEPALIVE_INTERVAL_S = 1
"""Time between keep-alive probes, in seconds."""
KEEPALIVE_PROBES = 3
"""Unanswered probes after which the connection is closed, where there is no
`USER_TIMEOUT_MS`."""
USER_TIMEOUT_MS = 4_000
"""Time after which unacknowledged bytes close a connection, in milliseconds.
It replaces the limit of keep-alive probes, so that a host may be silent for
this time less `KEEPALIVE_IDLE_S` at any moment."""
CONNECT_TIMEOUT_S = 0.5
"""Longest wait for a new connection inside a region, in seconds; more than 100
round trips. A refused connection fails immediately."""


def set_tcp_options(sock: socket.socket) -> None:
    """Sets no-delay, keep-alive and timeout options on a TCP socket."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.TCP_KEEPCNT, KEEPALIVE_PROBES),
        (socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS),
    ):
        sock.setsockopt(socket.IPPROTO_TCP, option, value)


def split_address(address: str) -> tuple[str, int]:
    """Splits `host:port`.

    Raises:
        ValueError: The address has no numeric port.
    """
    host, _, port = address.rpartition(":")
    return host, int(port)


def connect(
    address: str, timeout_s: float, source_host: str = ""
) -> socket.socket:
    """Opens a connection to `host:port` with the options set.

    Args:
        address: `host:port` to connect to.
        timeout_s: Longest wait, in seconds.
        source_host: IP address from which the connection comes; by default
            that of the route.

    Raises:
        OSError: The address is none, or the connection was refused or not
            established in time.
    """
    sock = gsocket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.settimeout(timeout_s)
        if source_host:
            sock.bind((source_host, 0))
        try:
            sock.connect(split_address(address))
        except TimeoutError:
            # A stall of this process ends the wait, too.
            if not is_connected(sock):
                raise
        set_tcp_options(sock)
    except (ValueError, OverflowError) as error:
        sock.close()
        raise OSError(f"{address!r} is no address: {error}") from error
    except BaseException:
        sock.close()
        raise
    return sock


def is_time_limit(error: OSError) -> bool:
    """Returns whether a time limit of this process ended a wait.

    The kernel's time-out of a dead connection has the same type, but ends the
    connection: the next read would return its end.
    """
    return isinstance(error, TimeoutError) and error.errno is None


def is_connected(sock: socket.socket) -> bool:
    """Returns whether a connection that was begun is established."""
    try:
        sock.getpeername()
    except OSError:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLOUT)
    return bool(poll.poll(0)) and not sock.getsockopt(
        socket.SOL_SOCKET, socket.SO_ERROR
    )


def is_readable(sock: socket.socket) -> bool:
    """Returns whether a read would return data or end-of-file immediately."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))
