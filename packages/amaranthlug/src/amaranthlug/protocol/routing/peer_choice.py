"""Chooses the node through which a server is reached."""

import collections
import math
import random
from collections.abc import Callable

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.state.routing.fleet import NodeEntry

SAMPLE = 4
"""Nodes compared by the paths that lead through them already; enough to spread
the paths evenly without counts of other nodes."""
PEERS_AGE_S = 1.0
"""Time for which it is not looked up again whether there are other nodes, in
seconds; each new connection to a server asks."""


class PeerChoice:
    """The other nodes of the region, as ways to servers.

    Attributes:
        running: Node -> paths of this node that lead through it.
    """

    def __init__(
        self,
        own_name: str,
        region: str,
        nodes: Callable[[], list[NodeEntry]],
        clock: Callable[[], float] = boot_seconds,
        rng: random.Random | None = None,
    ):
        """Creates the choice of a node.

        Args:
            own_name: Name of this node.
            region: Its region.
            nodes: Returns the live nodes.
            clock: Returns seconds.
            rng: Source of random numbers.
        """
        self.own_name = own_name
        self.region = region
        self.nodes = nodes
        self.clock = clock
        self.random = rng or random.Random()
        self.avoided_until: dict[str, float] = {}
        self.peers_found = False
        self.peers_found_at = -math.inf
        self.running: collections.Counter[str] = collections.Counter()

    def peers(self) -> list[NodeEntry]:
        """Returns the other nodes that serve callers in the region."""
        return [
            entry
            for entry in self.nodes()
            if entry.node != self.own_name
            and entry.serving
            and entry.region == self.region
        ]

    def has_peers(self) -> bool:
        """Returns whether there was any other node within `PEERS_AGE_S`."""
        now = self.clock()
        if now - self.peers_found_at > PEERS_AGE_S:
            self.peers_found_at = now
            self.peers_found = bool(self.peers())
        return self.peers_found

    def pick(self, tried: set[str]) -> NodeEntry | None:
        """Returns a node that has not been tried, None if there is none.

        Nodes that report that they reach servers come first. The one with the
        fewest paths of a sample is taken. The zone does not count: the links of
        a zone are often lost together, before its nodes have reported it.
        """
        now = self.clock()
        untried = [
            entry
            for entry in self.peers()
            if entry.node not in tried
            and self.avoided_until.get(entry.node, 0.0) <= now
        ]
        reaching = [entry for entry in untried if entry.reaches_servers]
        nodes = reaching or untried
        if not nodes:
            return None
        sample = self.random.sample(nodes, min(SAMPLE, len(nodes)))
        return min(sample, key=lambda entry: self.running[entry.node])

    def avoid(self, node: str, duration_s: float) -> None:
        """Excludes a node for some seconds."""
        now = self.clock()
        for name in [n for n, at in self.avoided_until.items() if at <= now]:
            del self.avoided_until[name]
        self.avoided_until[node] = now + duration_s

    def record_start(self, node: str) -> None:
        """Counts a path through a node."""
        self.running[node] += 1

    def record_end(self, node: str) -> None:
        """Counts the end of a path through a node."""
        self.running[node] -= 1
        if self.running[node] <= 0:
            del self.running[node]
