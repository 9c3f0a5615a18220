"""Chooses the node addresses that callers should connect to."""

import random

from amaranthlug.state.routing.fleet import NodeEntry

MAX_ADDRESSES = 64
"""Maximum number of addresses in one answer; callers read no more."""
MIN_ZONE_NODES = 2
"""Serving nodes that a zone needs for its callers to be sent only there; with
fewer, the loss of one node could leave them without any."""


def choose_entries(
    nodes: list[NodeEntry], zone: str, region: str, rng: random.Random
) -> list[str]:
    """Returns addresses of serving nodes in random order.

    They come from the caller's zone, or from its region or the whole fleet if
    the zone has fewer than `MIN_ZONE_NODES`. Callers pick an address at random,
    so listing other zones as well would send traffic across zones. Nodes that
    reach servers only through others are left out while enough are left.
    """
    serving = [node for node in nodes if node.serving]
    nearby = [node for node in serving if node.zone == zone]
    if len(nearby) < MIN_ZONE_NODES:
        nearby = [node for node in serving if node.region == region] or serving
    reaching = [node for node in nearby if node.reaches_servers]
    chosen = reaching if len(reaching) >= MIN_ZONE_NODES else list(nearby)
    rng.shuffle(chosen)
    return [node.address for node in chosen[:MAX_ADDRESSES]]
