"""Which nodes callers should connect to."""

import random

from amaranthlug.state.routing.fleet import NodeEntry

MAX_ADDRESSES = 64
"""Addresses in one answer that callers read."""
MIN_NEAR = 2
"""Serving nodes of a zone with which its callers stay there; with fewer, the
loss of one would leave them without a node."""


def choose_entries(
    nodes: list[NodeEntry], zone: str, region: str, rng: random.Random
) -> list[str]:
    """Returns addresses of serving nodes, those near the caller first.

    Callers draw one address at random, so nodes of other zones are named only
    where the caller's zone has too few.
    """
    serving = [node for node in nodes if node.serving]
    near = [node for node in serving if node.zone == zone]
    if len(near) < MIN_NEAR:
        near = [node for node in serving if node.region == region] or serving
    chosen = list(near)
    rng.shuffle(chosen)
    return [node.address for node in chosen[:MAX_ADDRESSES]]
