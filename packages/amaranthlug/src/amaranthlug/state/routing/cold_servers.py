"""Limits what all nodes together send to servers that are cold.

A server that has just started bears few requests a second. Nodes divide them
without messages: time is cut into slots, and in each slot a hash of node,
server and slot draws the nodes that may send. Unused shares are not saved, so
that no crowd of them is used at once when other servers fail.
"""

import math
from collections.abc import Callable

import xxhash

from amaranthlug.state.routing.config import RoutedService
from amaranthlug.state.routing.servers import ServerEntry

SLOT_S = 1.0
"""Length of a slot, in seconds; the time in which a cold server counts."""
SLOT_SHARE = 0.5
"""Share of the requests a second that all nodes together may send in one slot.
Slots of different nodes begin at different times, so that any second overlaps
two slots of each node."""
HASH_RANGE = float(1 << 64)


class ColdServers:
    """Which servers are cold, and what this node may send to them.

    Attributes:
        cold_until: Instance -> clock until which it is taken for cold since it
            returned, in seconds.
        sent: Instance -> slot and number of requests sent in it.
    """

    def __init__(
        self,
        own_name: str,
        service: Callable[[str], RoutedService | None],
        count_nodes: Callable[[], int],
        stated_at: Callable[[ServerEntry], float],
        clock: Callable[[], float],
    ):
        """Creates a register without cold servers.

        Args:
            own_name: Name of this node.
            service: Returns the configuration of a service, None if unknown.
            count_nodes: Returns the number of live nodes, at least 1.
            stated_at: Returns the clock when the warm-up time in an entry was
                read, in seconds.
            clock: Returns seconds.
        """
        self.own_name = own_name
        self.service = service
        self.count_nodes = count_nodes
        self.stated_at = stated_at
        self.clock = clock
        self.cold_until: dict[tuple[str, int], float] = {}
        self.sent: dict[tuple[str, int], tuple[int, int]] = {}
        self.phase_s = self.draw("phase", 0) * SLOT_S

    def limited_service(self, server: ServerEntry) -> RoutedService | None:
        """Returns the service of a server, None if its cold ones bear all."""
        service = self.service(server.service)
        if service is None or service.cold_per_s <= 0:
            return None
        return service

    def record_return(self, server: ServerEntry) -> None:
        """Records a server that comes back and may have become cold.

        Its own statement is read seconds later.
        """
        service = self.limited_service(server)
        if service is not None:
            until = self.clock() + service.cold_start_s
            self.cold_until[server.instance_key] = until

    def is_cold(self, server: ServerEntry) -> bool:
        """Returns whether a server is cold and its service limits that."""
        if not server.cold_ms and server.instance_key not in self.cold_until:
            return False
        if self.limited_service(server) is None:
            return False
        now = self.clock()
        if now < self.cold_until.get(server.instance_key, -math.inf):
            return True
        return now - self.stated_at(server) < server.cold_ms / 1_000

    def may_receive(self, server: ServerEntry) -> bool:
        """Returns whether this node may send a request to a server now."""
        if not self.is_cold(server):
            return True
        slot, sent = self.current(server)
        return sent < self.allowance(server, slot)

    def take(self, server: ServerEntry) -> bool:
        """Counts a request that is about to be sent; False if none may be."""
        if not self.is_cold(server):
            return True
        slot, sent = self.current(server)
        if sent >= self.allowance(server, slot):
            return False
        self.sent[server.instance_key] = slot, sent + 1
        return True

    def current(self, server: ServerEntry) -> tuple[int, int]:
        """Returns the slot of this moment and the requests sent in it."""
        slot = int((self.clock() + self.phase_s) / SLOT_S)
        last, sent = self.sent.get(server.instance_key, (slot, 0))
        return slot, sent if last == slot else 0

    def allowance(self, server: ServerEntry, slot: int) -> int:
        """Returns the requests that this node may send in a slot.

        The part of its share below one request is drawn by hash.
        """
        service = self.limited_service(server)
        if service is None:
            return 0
        in_slot = service.cold_per_s * SLOT_S * SLOT_SHARE
        share = in_slot / max(1, self.count_nodes())
        whole = int(share)
        return whole + (self.draw(server.instance_name, slot) < share - whole)

    def draw(self, text: str, slot: int) -> float:
        """Returns a number from 0 to 1 that differs between nodes."""
        key = f"{self.own_name}|{text}|{slot}"
        return xxhash.xxh3_64_intdigest(key.encode()) / HASH_RANGE

    def count(self, servers: list[ServerEntry]) -> int:
        """Returns how many of these servers are cold."""
        return sum(map(self.is_cold, servers))

    def keep_only(self, listed: set[tuple[str, int]]) -> None:
        """Forgets servers that are not listed and what has expired."""
        now = self.clock()
        for key, until in list(self.cold_until.items()):
            if key not in listed or until <= now:
                del self.cold_until[key]
        for key in [key for key in self.sent if key not in listed]:
            del self.sent[key]
