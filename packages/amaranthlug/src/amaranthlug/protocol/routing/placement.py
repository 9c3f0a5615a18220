"""Chooses the server of a request by load, health, zone and prompt parts."""

import random
from collections.abc import Callable

import xxhash

from amaranthlug.protocol.routing.server_health import HealthBook
from amaranthlug.state.routing.servers import ServerEntry

ZONE_PENALTY = 0.15
"""Load share that a server in another zone seems to have more."""
SPREAD = 1.25
"""Load, against the mean, up to which a subject stays at its server."""
SPREAD_REQUESTS = 3.0
"""Requests above the mean up to which a subject stays at its server, so that
an almost idle service does not scatter its subjects."""
SLOW_FACTOR = 2.0
"""Pace against the median above which a server counts as slow."""
COLD_PENALTY = 0.5
"""Load share that a server just after its start seems to have more."""


class Placement:
    """Chooses servers for one node."""

    def __init__(
        self,
        zone: str,
        health: HealthBook,
        started_at: Callable[[ServerEntry], float],
        seed: int | None = None,
    ):
        """Creates a chooser for a node in `zone`."""
        self.zone = zone
        self.health = health
        self.started_at = started_at
        self.random = random.Random(seed)

    def pick(
        self,
        servers: list[ServerEntry],
        subject: str | None,
        tried: set[tuple[str, int]],
    ) -> ServerEntry | None:
        """Returns the best server that was not tried, None if there is none."""
        fresh = [s for s in servers if s.life not in tried]
        able = [s for s in fresh if self.health.may_try(s)]
        trial = [s for s in able if self.health.is_bad(self.health.of(s))]
        if trial:
            # One request at a time finds out whether the server recovered.
            return trial[0]
        if not able:
            able = fresh
        if not able:
            return None
        if subject is not None:
            near = self.keeper_of(able, subject)
            if near is not None:
                return near
        return min(able, key=lambda s: self.cost(s, able))

    def keeper_of(
        self, servers: list[ServerEntry], subject: str
    ) -> ServerEntry | None:
        """Returns the first server in the subject's order with room.

        The order is a rendezvous hash, the same at every node, so that the
        parts of the prompt are kept by few servers without any message.
        """
        loads = {s.life: self.health.load(s) for s in servers}
        mean = sum(loads.values()) / len(loads)
        bound = max(SPREAD * mean, mean + SPREAD_REQUESTS)
        for server in sorted(
            servers, key=lambda s: rank(subject, s), reverse=True
        ):
            slow = self.health.slowness(server, servers)
            if slow > SLOW_FACTOR:
                continue
            if loads[server.life] + 1 <= bound:
                return server
        return None

    def cost(self, server: ServerEntry, peers: list[ServerEntry]) -> float:
        """Returns the expected load share with penalties; least is best."""
        share = (self.health.load(server) + 1) / max(1, server.slots)
        share *= self.health.slowness(server, peers)
        if server.zone != self.zone:
            share += ZONE_PENALTY
        share += self.health.of(server).failure_share
        if server.cold_ms:
            since = self.health.clock() - self.started_at(server)
            if since * 1_000 < server.cold_ms:
                share += COLD_PENALTY
        return share + self.random.random() * 0.01


def rank(subject: str, server: ServerEntry) -> int:
    """Returns the place of a server in a subject's order."""
    return xxhash.xxh3_64_intdigest(f"{subject}|{server.server_id}".encode())
