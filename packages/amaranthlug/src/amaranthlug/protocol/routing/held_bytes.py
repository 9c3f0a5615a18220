"""Limits the memory of what all requests of a process hold."""

MEMORY_SHARE = 0.2
"""Share of a VM's memory that requests may hold; an answer has up to three
copies while it is joined and sent, and the process needs the rest."""
SMALL_BYTES = 16_384
"""Bytes that each holder may hold in any case; they do not count."""


class HeldBytes:
    """Counts the bytes that all requests hold beyond `SMALL_BYTES` each.

    Attributes:
        limit_bytes: Most bytes.
        used_bytes: Bytes that are held now.
    """

    def __init__(self, limit_bytes: int):
        """Creates a count of nothing."""
        self.limit_bytes = limit_bytes
        self.used_bytes = 0

    @classmethod
    def from_memory(cls, memory_mb: float) -> "HeldBytes":
        """Creates the count of a VM with `memory_mb` MiB of memory."""
        return cls(round(memory_mb * MEMORY_SHARE * (1 << 20)))

    def take(self, count: int) -> bool:
        """Counts bytes; returns False if there is no room for them."""
        if self.used_bytes + count > self.limit_bytes:
            return False
        self.used_bytes += count
        return True

    def give_back(self, count: int) -> None:
        """Frees bytes that were taken."""
        self.used_bytes -= count


class Holding:
    """The bytes that one request holds.

    Attributes:
        size: Bytes.
    """

    def __init__(self, total: HeldBytes):
        """Creates an account of nothing; `total` counts all requests."""
        self.total = total
        self.size = 0

    def resize(self, size: int) -> bool:
        """Sets the size, in bytes; returns False if there is no room for it."""
        more = counted_bytes(size) - counted_bytes(self.size)
        if more > 0 and not self.total.take(more):
            return False
        if more < 0:
            self.total.give_back(-more)
        self.size = size
        return True


def counted_bytes(size: int) -> int:
    """Returns how many of the bytes of a request count."""
    return max(0, size - SMALL_BYTES)
