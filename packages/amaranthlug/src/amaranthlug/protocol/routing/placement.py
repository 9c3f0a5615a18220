"""Chooses the server with the lowest expected cost, in milliseconds."""

import heapq
import random
from collections.abc import Callable

import xxhash

from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.messages import RoutedRequest
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug.state.routing.settings import RoutedNodeSettings

OTHER_ZONE_MS = 8.0
"""Extra cost of a server in another zone, in milliseconds; several times the
latency between zones, since traffic between zones is charged."""
OTHER_ZONE_ENGINE_MS = 100.0
"""Extra cost of an engine in another zone, in milliseconds. A node that uses
few engines observes each more often: with 56 engines and 90 nodes, the
simulation serves 0.962 of the requests in time, and 0.942 at 8 ms."""
OTHER_ZONE_KB_MS = 12.0
"""Extra cost of each KB of a request that goes to an engine in another zone,
in milliseconds; traffic between zones is charged, and most of it is prompts."""
REQUEST_MS = 6.0
"""Cost of a request that an engine already runs, in milliseconds; each slows
down the generation of the others a little."""
PLAIN_REQUEST_MS = 40.0
"""Cost of one request per slot of a plain server, in milliseconds; about the
usual duration of a request."""
FAILURE_MS = 400.0
"""Cost of a server that fails every request, in milliseconds."""
SLOWNESS_MS = 150.0
"""Cost of each multiple above the median duration, in milliseconds."""
WARM_UP_MS = 60.0
"""Cost of a server that is still warming up, in milliseconds."""
JITTER_MS = 8.0
"""Random part of a cost, in milliseconds; it keeps nodes with the same
information from all choosing the same server."""
AFFINITY_SERVERS = 2
"""Servers that cache the shared prompt parts of one subject."""
ENGINES_PER_NODE = RoutedNodeSettings.engines_per_node
"""Engines of its own zone that a node uses. What it knows of an engine comes
from the answers to its own requests, so that it knows few engines well or many
badly; see docs/design/even-load.md."""
MAX_RANKS = 10_000
"""Most hashes that are kept; ids of servers that are gone stay until then."""
MAX_ALL_COMPARED = 16
"""Engines up to which a node uses all of them; with 9 engines and 8 nodes it
hears from each about once a second, and leaving some out gains nothing."""
OTHER_ZONE_ENGINES = 3
"""Engines of other zones that it uses, in case its own zone is busy."""


class Placement:
    """Chooses servers for one node."""

    def __init__(
        self,
        zone: str,
        health: ServerHealthTracker,
        queues: EngineQueues,
        started_at: Callable[[ServerEntry], float],
        seed: int | None = None,
        node: str = "",
        engines_per_node: int = ENGINES_PER_NODE,
    ):
        """Creates the placement of a node.

        Args:
            zone: Zone of the node.
            health: Observations of the servers.
            queues: Expected delays at the engines.
            started_at: Returns the clock when the warm-up time of a server
                was read, in seconds.
            seed: Makes random choices repeatable; for tests only.
            node: Name of the node, which decides on the engines that it uses.
            engines_per_node: Engines of its zone that it uses; 0 for all.
        """
        self.zone = zone
        self.health = health
        self.queues = queues
        self.started_at = started_at
        self.random = random.Random(seed)
        self.node = node
        self.engines_per_node = engines_per_node
        self.ranks: dict[str, int] = {}

    def eligible(
        self, servers: list[ServerEntry], tried: set[tuple[str, int]]
    ) -> list[ServerEntry]:
        """Returns the servers that may receive a request.

        A server that failed often gets one trial request at a time, which
        shows whether it recovered. A silent one gets none while there are
        others. If no server may be tried, all are eligible but those that are
        gone.
        """
        untried = [
            s
            for s in servers
            if s.instance_key not in tried and not self.health.is_gone(s)
        ]
        eligible = [s for s in untried if self.health.may_try(s)]
        trials = [
            s
            for s in eligible
            if self.health.is_bad(self.health.get_or_create(s))
        ]
        responsive = [s for s in eligible if not self.health.is_silent(s)]
        return trials[:1] or responsive or eligible or untried

    def pick_plain(
        self, servers: list[ServerEntry], tried: set[tuple[str, int]]
    ) -> ServerEntry | None:
        """Returns the best plain server, None if there is none."""
        eligible = self.eligible(servers, tried)
        if not eligible:
            return None
        median_ms = self.health.median_pace_ms(eligible)
        return min(eligible, key=lambda s: self.plain_ms(s, median_ms))

    def pick_engine(
        self,
        servers: list[ServerEntry],
        tried: set[tuple[str, int]],
        request: RoutedRequest,
        model: str | None,
    ) -> ServerEntry | None:
        """Returns the best engine for a prompt, None if there is none."""
        compared = self.choose_subset(servers, request.subject)
        eligible = self.eligible(compared, tried) or self.eligible(
            servers, tried
        )
        if not eligible:
            return None
        savings_ms = self.cache_savings_ms(eligible, request, model)
        median_ms = self.health.median_pace_ms(eligible)
        other_zone_ms = (
            OTHER_ZONE_ENGINE_MS + OTHER_ZONE_KB_MS * len(request.body) / 1_000
        )

        def cost_ms(server: ServerEntry) -> float:
            cost = self.engine_ms(server, median_ms) - savings_ms.get(
                server.instance_key, 0.0
            )
            return cost + (other_zone_ms if server.zone != self.zone else 0.0)

        return min(eligible, key=cost_ms)

    def choose_subset(
        self, servers: list[ServerEntry], subject: str | None
    ) -> list[ServerEntry]:
        """Returns the engines that are compared for a request.

        They are the ones that this node uses, which it knows best, and those
        that are likely to cache the subject.
        """
        if not self.engines_per_node or len(servers) <= MAX_ALL_COMPARED:
            return servers
        same_zone = [s for s in servers if s.zone == self.zone]
        other_zones = [s for s in servers if s.zone != self.zone]
        if not same_zone:
            same_zone, other_zones = servers, []
        subset = self.highest(same_zone, self.engines_per_node)
        subset += self.highest(other_zones, OTHER_ZONE_ENGINES)
        if subject is not None:
            subset += affinity_servers(subject, same_zone)
        return list({server.instance_key: server for server in subset}.values())

    def highest(
        self, servers: list[ServerEntry], count: int
    ) -> list[ServerEntry]:
        """Returns servers by the rendezvous hash of this node."""
        if len(servers) <= count:
            return servers
        return heapq.nlargest(count, servers, key=self.rank)

    def rank(self, server: ServerEntry) -> int:
        """Returns the hash of this node with a server."""
        found = self.ranks.get(server.server_id)
        if found is None:
            if len(self.ranks) >= MAX_RANKS:
                self.ranks.clear()
            text = f"{self.node}|{server.server_id}"
            found = xxhash.xxh3_64_intdigest(text.encode())
            self.ranks[server.server_id] = found
        return found

    def cache_savings_ms(
        self,
        servers: list[ServerEntry],
        request: RoutedRequest,
        model: str | None,
    ) -> dict[tuple[str, int], float]:
        """Returns the prompt time saved by a likely cache hit, by server."""
        subject = request.subject
        if subject is None:
            return {}
        shared_tokens = sum(part.tokens for part in request.prompt[:-1])
        latency = self.queues.latency(servers[0].service, model)
        return {
            server.instance_key: shared_tokens
            * latency.prefill_ms
            / (position + 1)
            for position, server in enumerate(
                affinity_servers(subject, servers)
            )
        }

    def plain_ms(self, server: ServerEntry, median_ms: float | None) -> float:
        """Returns the expected cost of a plain server, in milliseconds."""
        requests_per_slot = (self.health.load(server) + 1) / max(
            1, server.slots
        )
        return PLAIN_REQUEST_MS * requests_per_slot + self.penalties_ms(
            server, median_ms
        )

    def engine_ms(self, server: ServerEntry, median_ms: float | None) -> float:
        """Returns the expected cost of an engine, in milliseconds."""
        return (
            self.queues.wait_ms(server)
            + REQUEST_MS * self.health.load(server)
            + self.penalties_ms(server, median_ms)
        )

    def penalties_ms(
        self, server: ServerEntry, median_ms: float | None
    ) -> float:
        """Returns the cost that does not depend on load, in milliseconds."""
        cost = self.random.random() * JITTER_MS
        if server.zone != self.zone:
            cost += OTHER_ZONE_MS
        cost += FAILURE_MS * self.health.get_or_create(server).failure_share
        cost += SLOWNESS_MS * (self.health.slowness(server, median_ms) - 1.0)
        if self.is_warming_up(server):
            cost += WARM_UP_MS
        return cost

    def is_warming_up(self, server: ServerEntry) -> bool:
        """Returns whether a server is still slow since it has just started."""
        if not server.cold_ms:
            return False
        age_s = self.health.clock() - self.started_at(server)
        return age_s * 1_000 < server.cold_ms


def affinity_servers(
    subject: str, servers: list[ServerEntry]
) -> list[ServerEntry]:
    """Returns the servers likely to cache a subject, most preferred first.

    They are chosen by rendezvous hashing, so all nodes send a subject to the
    same few servers without exchanging messages.
    """

    def rank(server: ServerEntry) -> int:
        text = f"{subject}|{server.server_id}"
        return xxhash.xxh3_64_intdigest(text.encode())

    return heapq.nlargest(AFFINITY_SERVERS, servers, key=rank)
