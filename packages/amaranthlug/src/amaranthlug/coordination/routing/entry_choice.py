"""Chooses the node addresses that callers should connect to."""

import random
from collections.abc import Callable

from amaranthlug.state.routing.fleet import NodeEntry

MAX_ADDRESSES = 64
"""Maximum number of addresses in one answer; callers read no more."""
MIN_ZONE_NODES = 2
"""Serving nodes that a zone needs for its callers to be sent only there; with
fewer, the loss of one node could leave them without any."""


Confirm = Callable[[list[NodeEntry]], list[NodeEntry]]
"""Returns those of some nodes that are known to live."""


def choose_entries(
    nodes: list[NodeEntry],
    zone: str,
    region: str,
    rng: random.Random,
    confirm: Confirm = list,
) -> list[str]:
    """Returns addresses of serving nodes in random order.

    They come from the caller's zone, or from its region or the whole fleet if
    the zone has fewer than `MIN_ZONE_NODES`. Callers pick an address at random,
    so listing other zones as well would send traffic across zones. Nodes that
    reach servers only through others are left out while enough are left.

    Args:
        nodes: Nodes that are taken for live.
        zone: Zone of the caller.
        region: Region of the caller.
        rng: Source of random numbers.
        confirm: Is called with the nodes of one of these at a time.
    """
    serving = [node for node in nodes if node.serving]
    nearby = confirm([node for node in serving if node.zone == zone])
    if len(nearby) < MIN_ZONE_NODES:
        nearby = confirm(
            [node for node in serving if node.region == region]
        ) or confirm(serving)
    reaching = [node for node in nearby if node.reaches_servers]
    chosen = reaching if len(reaching) >= MIN_ZONE_NODES else list(nearby)
    rng.shuffle(chosen)
    return [node.address for node in chosen[:MAX_ADDRESSES]]
