"""Chooses the server of a request by expected cost in time."""

import heapq
import random
from collections.abc import Callable

import xxhash

from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.messages import RoutedRequest
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.state.routing.servers import ServerEntry

ZONE_MS = 8.0
"""Extra cost of a server in another zone, in milliseconds: several times the
way between zones, since bytes between zones are priced."""
ZONE_ENGINE_MS = 100.0
"""Extra cost of an engine in another zone, in milliseconds: a node that uses
few engines sees each often, so with 56 engines and 90 nodes the simulation
serves 0.962 in time against 0.942 at 8 ms."""
ZONE_KB_MS = 12.0
"""Extra cost of each KB of a request that goes to an engine in another zone,
in milliseconds: bytes between zones are priced, and a prompt is most of
them."""
REQUEST_MS = 6.0
"""Cost of a request that an engine already runs, in milliseconds; each slows
the tokens of the others a little."""
PLAIN_REQUEST_MS = 40.0
"""Cost of a request on each slot of a plain server, in milliseconds; about
the usual work of a request."""
FAILURE_MS = 400.0
"""Cost of a server that fails every request, in milliseconds."""
SLOW_MS = 150.0
"""Cost of each multiple of the usual pace, in milliseconds."""
COLD_MS = 60.0
"""Cost of a server just after its start, in milliseconds."""
JITTER_MS = 8.0
"""Random part of a cost, in milliseconds; it keeps nodes that see the same
from choosing the same."""
KEEPERS = 2
"""Servers that keep the parts of a subject's prompts."""
MOST_COMPARED = 64
"""Engines up to which all are compared; a comparison takes 12 us, so among
3,600 a choice would take 43 ms of a processor."""
FAR_COMPARED = 8
"""Engines of any zone in a sample, for when those of the zone are busy."""


class Placement:
    """Chooses servers for one node."""

    def __init__(
        self,
        zone: str,
        health: ServerHealthTracker,
        queues: EngineQueues,
        started_at: Callable[[ServerEntry], float],
        seed: int | None = None,
    ):
        """Creates a chooser for a node in `zone`."""
        self.zone = zone
        self.health = health
        self.queues = queues
        self.started_at = started_at
        self.random = random.Random(seed)

    def able(
        self, servers: list[ServerEntry], tried: set[tuple[str, int]]
    ) -> list[ServerEntry]:
        """Returns the servers to choose from.

        A server that failed often gets one request at a time, which finds out
        whether it recovered; if all did, all are asked.
        """
        fresh = [s for s in servers if s.instance_key not in tried]
        able = [s for s in fresh if self.health.may_try(s)]
        trials = [
            s for s in able if self.health.is_bad(self.health.get_or_create(s))
        ]
        return trials[:1] or able or fresh

    def pick_plain(
        self, servers: list[ServerEntry], tried: set[tuple[str, int]]
    ) -> ServerEntry | None:
        """Returns the best plain server, None if there is none."""
        able = self.able(servers, tried)
        if not able:
            return None
        usual = self.health.usual_pace_ms(able)
        return min(able, key=lambda s: self.plain_ms(s, usual))

    def pick_engine(
        self,
        servers: list[ServerEntry],
        tried: set[tuple[str, int]],
        request: RoutedRequest,
        model: str | None,
    ) -> ServerEntry | None:
        """Returns the best engine for a prompt, None if there is none."""
        compared = self.compared(servers, request.subject)
        able = self.able(compared, tried)
        if not able:
            return None
        saved = self.saved_ms(able, request, model)
        usual = self.health.usual_pace_ms(able)
        away_ms = ZONE_ENGINE_MS + ZONE_KB_MS * len(request.body) / 1_000

        def cost_ms(server: ServerEntry) -> float:
            cost = self.engine_ms(server, usual) - saved.get(
                server.instance_key, 0.0
            )
            return cost + (away_ms if server.zone != self.zone else 0.0)

        return min(able, key=cost_ms)

    def compared(
        self, servers: list[ServerEntry], subject: str | None
    ) -> list[ServerEntry]:
        """Returns the engines to compare: all, or a sample of many.

        A sample holds engines of this zone, the keepers of the subject among
        them, and a few of any zone.
        """
        if len(servers) <= MOST_COMPARED:
            return servers
        near = [s for s in servers if s.zone == self.zone] or servers
        sample = self.random.sample(near, min(len(near), MOST_COMPARED))
        sample += self.random.sample(servers, FAR_COMPARED)
        if subject is not None:
            sample += keepers(subject, near)
        return list({server.instance_key: server for server in sample}.values())

    def saved_ms(
        self,
        servers: list[ServerEntry],
        request: RoutedRequest,
        model: str | None,
    ) -> dict[tuple[str, int], float]:
        """Returns the reading time saved by servers that keep the subject."""
        subject = request.subject
        if subject is None:
            return {}
        shared = sum(part.tokens for part in request.prompt[:-1])
        latency = self.queues.latency(servers[0].service, model)
        return {
            server.instance_key: shared * latency.read_ms / (place + 1)
            for place, server in enumerate(keepers(subject, servers))
        }

    def plain_ms(self, server: ServerEntry, usual_ms: float | None) -> float:
        """Returns the expected cost of a plain server, in milliseconds."""
        share = (self.health.load(server) + 1) / max(1, server.slots)
        return PLAIN_REQUEST_MS * share + self.penalties_ms(server, usual_ms)

    def engine_ms(self, server: ServerEntry, usual_ms: float | None) -> float:
        """Returns the expected cost of an engine, in milliseconds."""
        return (
            self.queues.wait_ms(server)
            + REQUEST_MS * self.health.load(server)
            + self.penalties_ms(server, usual_ms)
        )

    def penalties_ms(
        self, server: ServerEntry, usual_ms: float | None
    ) -> float:
        """Returns the cost that does not depend on load, in milliseconds."""
        cost = self.random.random() * JITTER_MS
        if server.zone != self.zone:
            cost += ZONE_MS
        cost += FAILURE_MS * self.health.get_or_create(server).failure_share
        cost += SLOW_MS * (self.health.slowness(server, usual_ms) - 1.0)
        if server.cold_ms:
            since = self.health.clock() - self.started_at(server)
            if since * 1_000 < server.cold_ms:
                cost += COLD_MS
        return cost


def keepers(subject: str, servers: list[ServerEntry]) -> list[ServerEntry]:
    """Returns the servers that keep a subject, the first one best.

    They are the first by rendezvous hash, the same at every node, so that few
    servers keep a subject without any message.
    """

    def rank(server: ServerEntry) -> int:
        text = f"{subject}|{server.server_id}"
        return xxhash.xxh3_64_intdigest(text.encode())

    return heapq.nlargest(KEEPERS, servers, key=rank)
