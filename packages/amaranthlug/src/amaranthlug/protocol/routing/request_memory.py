"""Decides which requests a process may hold while they are read or answered.

Callers that nobody controls may send many requests that are legal by
themselves. What all of them hold is counted in one account, in objects as well
as bytes. It is apart from that of servers' answers (`HeldBytes`), so that a
crowd of callers cannot turn the answers to others into failures.
"""

import dataclasses
import math
from collections.abc import Callable

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.protocol.routing.held_bytes import counted_bytes

MEMORY_SHARE = 0.12
"""Share of a VM's memory that requests may hold; a body has up to three copies
while it is completed and sent, and the process needs the rest."""
LINE_BYTES = 170
"""Memory of a header beyond its bytes: a tuple, two texts and a list slot."""
REQUEST_BYTES = 1_200
"""Memory of a request beyond its headers and body."""
MIN_AGE_S = 1.0
"""Age from which an unfinished request gives way to others, in seconds; 72 KB,
the largest ordinary prompt, take 0.12 s over the slowest links of 5 Mbit/s."""


@dataclasses.dataclass(eq=False)
class HeldRequest:
    """What one connection holds of its requests.

    Attributes:
        evict: Ends the connection and frees what it holds.
        size: Bytes held.
        began_at: Clock when its unfinished request began, in seconds; infinite
            if none is being read.
    """

    evict: Callable[[], None]
    size: int = 0
    began_at: float = math.inf

    def rate(self, now: float) -> float:
        """Returns the bytes a second in which the request arrived."""
        return self.size / max(now - self.began_at, 1e-3)


class RequestMemory:
    """Counts what all connections hold beyond `held_bytes.SMALL_BYTES` each.

    Ordinary requests fit into that, so that a crowd with large ones does not
    keep them out.

    Attributes:
        limit_bytes: Most bytes.
        used_bytes: Bytes that are held now.
        held: Open connections, the oldest first.
    """

    def __init__(
        self, limit_bytes: int, clock: Callable[[], float] = boot_seconds
    ):
        """Creates an account of nothing; `clock` returns seconds."""
        self.limit_bytes = limit_bytes
        self.clock = clock
        self.used_bytes = 0
        self.held: dict[HeldRequest, None] = {}

    @classmethod
    def from_memory(cls, memory_mb: float) -> "RequestMemory":
        """Creates the account of a VM with `memory_mb` MiB of memory."""
        return cls(round(memory_mb * MEMORY_SHARE * (1 << 20)))

    def add(self, evict: Callable[[], None]) -> HeldRequest:
        """Returns the entry of a new connection, which holds nothing."""
        entry = HeldRequest(evict)
        self.held[entry] = None
        return entry

    def remove(self, entry: HeldRequest) -> None:
        """Removes a connection with all that it holds."""
        if entry in self.held:
            self.used_bytes -= counted_bytes(entry.size)
            del self.held[entry]

    def resize(self, entry: HeldRequest, size: int) -> bool:
        """Sets what a connection holds; returns False if there is no room.

        Unfinished requests of others give way, the slowest first. If nobody
        else holds any counted bytes, there is room for whatever the limits on
        a single request allow.

        Args:
            entry: The connection.
            size: Bytes that it holds.
        """
        if entry not in self.held:
            return False  # It was evicted.
        others = self.used_bytes - counted_bytes(entry.size)
        more = counted_bytes(size)
        while more and others and others + more > self.limit_bytes:
            if not self.evict_slowest(entry):
                return False
            others = self.used_bytes - counted_bytes(entry.size)
        self.used_bytes = others + more
        entry.size = size
        return True

    def evict_slowest(self, asking: HeldRequest | None = None) -> bool:
        """Ends the slowest unfinished request; returns False if none may be.

        Args:
            asking: Connection for which this is done, None for a new one. For
                it, only requests that hold counted bytes are ended.
        """
        now = self.clock()
        slow = [
            entry
            for entry in self.held
            if entry is not asking
            and now - entry.began_at >= MIN_AGE_S
            and (asking is None or counted_bytes(entry.size))
        ]
        if not slow:
            return False
        slowest = min(slow, key=lambda entry: entry.rate(now))
        self.remove(slowest)
        slowest.evict()
        return True
