"""What each node tells the others through the store."""

import dataclasses

from amaranthlug.state.routing.rollout import Evidence


@dataclasses.dataclass(frozen=True)
class NodeReport:
    """A node's periodic record.

    Attributes:
        node: Name of the node; the key of its record.
        incarnation: Changes with each start of the process.
        address: `host:port` that callers connect to.
        zone: Availability zone.
        region: Region of the zone.
        serving: False while the node leaves or knows no configuration.
        evidence: Service -> answers by version and route.
        running: Service -> version -> requests in flight.
        suspects: Digest of a request -> confirmed crashes of servers.
    """

    node: str
    incarnation: str
    address: str
    zone: str
    region: str
    serving: bool
    evidence: dict[str, Evidence]
    running: dict[str, dict[str, int]]
    suspects: dict[str, int]
