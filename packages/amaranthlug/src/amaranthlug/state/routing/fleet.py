"""What nodes tell each other, one by one and summed up."""

import dataclasses

from amaranthlug.state.routing.rollout import Evidence, pooled

EvidenceByRollout = dict[str, Evidence]
"""Roll-out -> answers by version and route."""
RunningByService = dict[str, dict[str, int]]
"""Service -> version -> requests in flight."""


@dataclasses.dataclass(frozen=True)
class NodeEntry:
    """A node as others see it.

    Attributes:
        node: Name of the node.
        incarnation: Changes with each start of the process.
        address: `host:port` that callers connect to.
        peer_address: `host:port` that other nodes connect to.
        zone: Availability zone.
        region: Region of the zone.
        serving: False while the node leaves or knows no configuration.
    """

    node: str
    incarnation: str
    address: str
    peer_address: str
    zone: str
    region: str
    serving: bool


@dataclasses.dataclass(frozen=True)
class NodeReport:
    """What one node tells the node that reads the store for it."""

    entry: NodeEntry
    evidence: EvidenceByRollout
    running: RunningByService


@dataclasses.dataclass(frozen=True)
class FleetReport:
    """What a node that reads the store records for itself and others.

    Attributes:
        reporter: Name of the node that wrote it; the key of its record.
        nodes: The reporter and the nodes for which it reads.
        evidence: Their answers, summed.
        running: Their requests in flight, summed.
    """

    reporter: str
    nodes: list[NodeEntry]
    evidence: EvidenceByRollout
    running: RunningByService


def sum_evidence(parts: list[EvidenceByRollout]) -> EvidenceByRollout:
    """Adds the answers of several nodes."""
    names = {name for part in parts for name in part}
    return {
        name: pooled([part[name] for part in parts if name in part])
        for name in names
    }


def sum_running(parts: list[RunningByService]) -> RunningByService:
    """Adds the requests in flight of several nodes."""
    total: RunningByService = {}
    for part in parts:
        for service, versions in part.items():
            kept = total.setdefault(service, {})
            for version, count in versions.items():
                kept[version] = kept.get(version, 0) + count
    return total


def merge_reports(reporter: str, reports: list[NodeReport]) -> FleetReport:
    """Returns one report for several nodes."""
    return FleetReport(
        reporter,
        [report.entry for report in reports],
        sum_evidence([report.evidence for report in reports]),
        sum_running([report.running for report in reports]),
    )
