"""Loopback addresses that no two processes on a machine share.

Runs side by side must not meet: a port that one of them has just left is soon
taken by another, and nodes then talk to servers of a foreign run.
"""

import random
import socket

GUARD_PORT = 17_999
"""UDP port that is held on a reserved address, below the ports of nodes."""
NODE_PORTS = range(18_000, 32_000)
"""Ports of listeners whose address is told before they are started, below the
range of ephemeral ports."""
MAX_ADDRESS_TRIES = 1_000
"""Addresses tried before a reservation is given up; 8 million exist."""


class LoopbackExhaustedError(Exception):
    """No loopback address or port is free."""


class LoopbackAddresses:
    """Reserves addresses of 127.0.0.0/8 for this process.

    A reservation is a bound UDP socket, so that it is exact among all processes
    of the machine and ends with this one.
    """

    def __init__(self) -> None:
        """Reserves nothing yet."""
        self.random = random.SystemRandom()
        self.guards: list[socket.socket] = []
        self.own_address: str | None = None
        self.next_port = 0

    def reserve(self) -> str:
        """Returns an IP address that no other process reserves.

        Raises:
            LoopbackExhaustedError: None was free.
        """
        for _ in range(MAX_ADDRESS_TRIES):
            address = (
                f"127.{self.random.randint(128, 254)}"
                f".{self.random.randint(0, 255)}.{self.random.randint(1, 254)}"
            )
            guard = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
            try:
                guard.bind((address, GUARD_PORT))
            except OSError:
                guard.close()
                continue
            self.guards.append(guard)
            return address
        raise LoopbackExhaustedError(
            f"no address of 127.0.0.0/8 has a free UDP port {GUARD_PORT}; end "
            "the processes that hold it"
        )

    def process_address(self) -> str:
        """Returns the IP address on which this process listens."""
        if self.own_address is None:
            self.own_address = self.reserve()
        return self.own_address

    def listener_addresses(self, count: int) -> list[str]:
        """Returns `host:port` of free ports that were not returned lately.

        Ports are given out in turn, so that the port of a listener that has
        ended is not soon taken by another one.

        Raises:
            LoopbackExhaustedError: Too few ports are free.
        """
        host = self.process_address()
        found: list[str] = []
        for _ in NODE_PORTS:
            if len(found) == count:
                break
            port = NODE_PORTS[self.next_port % len(NODE_PORTS)]
            self.next_port += 1
            if is_free(host, port):
                found.append(f"{host}:{port}")
        if len(found) == count:
            return found
        raise LoopbackExhaustedError(
            f"only {len(found)} of {count} ports are free on {host}; stop "
            "listeners of this process"
        )


def is_free(host: str, port: int) -> bool:
    """Tells whether a TCP listener can be opened there."""
    with socket.socket() as sock:
        try:
            sock.bind((host, port))
        except OSError:
            return False
    return True


ADDRESSES = LoopbackAddresses()
process_address = ADDRESSES.process_address
listener_addresses = ADDRESSES.listener_addresses
