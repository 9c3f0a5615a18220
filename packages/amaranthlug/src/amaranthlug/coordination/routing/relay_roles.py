"""Which nodes read the store, and for whom.

All nodes derive the same roles from the list of nodes: in each zone a few
relays pass the store's topics on to the other nodes of the zone, and in a large
fleet a few of the relays, the store readers, pass them on to the other relays.
"""

import math

import xxhash

from amaranthlug.state.routing.fleet import NodeEntry

NODES_PER_RELAY = 24
"""Nodes of a zone per relay; at one exchange per node and second this takes a
few percent of the processor of a small VM."""
STANDBYS_PER_ZONE = 2
"""Nodes per zone that others try when no relay answers. After losing its relay
a standby reads the store immediately, so that the other nodes need not."""
MAX_DIRECT_RELAYS = 4
"""Relays up to which all of them read the store."""
RELAYS_PER_READER = 12
"""Relays per store reader, beyond which there are more than two."""
MIN_STORE_READERS = 2
"""Store readers of a fleet that has any, so that one may be lost."""


def relay_order(entry: NodeEntry) -> tuple[float, int]:
    """Returns the order in which nodes become relays, the same at every node.

    VMs with more processor come first: a relay answers its members beside its
    callers, and members of a late one read the store themselves.
    """
    return -entry.capacity, xxhash.xxh3_64_intdigest(entry.node.encode())


def zone_readers(
    nodes: list[NodeEntry], zone: str
) -> tuple[list[NodeEntry], list[NodeEntry]]:
    """Returns the relays and standbys of a zone."""
    ranked = sorted(
        (entry for entry in nodes if entry.zone == zone and entry.serving),
        key=relay_order,
    )
    count = math.ceil(len(ranked) / NODES_PER_RELAY)
    return ranked[:count], ranked[count : count + STANDBYS_PER_ZONE]


def zone_relays(nodes: list[NodeEntry], zone: str) -> list[NodeEntry]:
    """Returns the relays of a zone."""
    return zone_readers(nodes, zone)[0]


def store_readers(nodes: list[NodeEntry]) -> list[NodeEntry]:
    """Returns the relays that read the store for the other relays.

    They are in different zones where possible. All relays of a small fleet are
    store readers.
    """
    ranked = [
        (index, relay_order(entry), entry)
        for zone in {entry.zone for entry in nodes}
        for index, entry in enumerate(zone_relays(nodes, zone))
    ]
    ranked.sort(key=lambda row: row[:2])
    count = len(ranked)
    if count > MAX_DIRECT_RELAYS:
        count = max(MIN_STORE_READERS, math.ceil(count / RELAYS_PER_READER))
    return [entry for _, _, entry in ranked[:count]]
