"""When other nodes were last known to live.

A sign of life is dated by the clock of this node, at the latest time at which
the other one is certain to have lived. What arrives second-hand states its age,
to which each node adds the time for which it held it, so that a sign does not
become newer on its way.
"""

import math
from collections.abc import Callable, Iterable

from amaranthlug.coordination.boot_clock import boot_seconds

UNKNOWN_AGE = -1
"""Stated instead of the age of a node without any sign."""
AGE_STEPS_PER_S = 10
"""Steps in a second of a stated age."""
MAX_NODES = 2_000
"""Nodes whose signs are kept; the oldest are dropped first."""


class NodeSigns:
    """The newest sign of life of each node.

    Attributes:
        heard_at: Node -> boot clock of its newest sign, in seconds.
    """

    def __init__(self, clock: Callable[[], float] = boot_seconds):
        """Starts without signs; `clock` returns seconds."""
        self.clock = clock
        self.heard_at: dict[str, float] = {}

    def record(self, node: str, heard_at: float) -> None:
        """Records a sign unless a newer one is known.

        Args:
            node: Name of the node.
            heard_at: Clock at the sign, in seconds; minus infinity for none.
        """
        if heard_at <= self.heard_at.get(node, -math.inf):
            return
        self.heard_at[node] = heard_at
        if len(self.heard_at) > MAX_NODES:
            del self.heard_at[min(self.heard_at, key=self.heard_at.__getitem__)]

    def age_s(self, node: str) -> float:
        """Returns the age of a node's newest sign in seconds, or infinity."""
        return self.clock() - self.heard_at.get(node, -math.inf)

    def stated_ages(self, nodes: Iterable[str]) -> list[int]:
        """Returns the ages of nodes, rounded up, as they are sent to others."""
        now, heard_at = self.clock(), self.heard_at
        return [
            max(0, math.ceil((now - heard_at[node]) * AGE_STEPS_PER_S))
            if node in heard_at
            else UNKNOWN_AGE
            for node in nodes
        ]

    def record_stated(
        self, nodes: Iterable[str], ages: Iterable[int], stated_at: float
    ) -> None:
        """Records the signs of which another node states the ages.

        Args:
            nodes: Names of the nodes.
            ages: Age of the sign of each.
            stated_at: Clock at which the ages were stated, in seconds.
        """
        for node, age in zip(nodes, ages, strict=False):
            if age >= 0:
                self.record(node, stated_at - age / AGE_STEPS_PER_S)
