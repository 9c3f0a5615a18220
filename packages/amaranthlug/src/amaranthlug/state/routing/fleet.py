"""Reports that nodes exchange, from single nodes and aggregated."""

import dataclasses

from amaranthlug.state.routing.rollout import RolloutEvidence, pooled
from amaranthlug.state.suspects import SuspectFact, merge_facts

EvidenceByRollout = dict[str, RolloutEvidence]
"""Roll-out -> answer counts by version and route."""
RunningByService = dict[str, dict[str, int]]
"""Service -> version -> requests in flight."""
RolloutAges = dict[str, float]
"""Id of a roll-out -> seconds since its order reached the first node."""


@dataclasses.dataclass(frozen=True)
class ReportedBrittleness:
    """A statement that the servers of a service are brittle.

    Attributes:
        max_refusals: Requests that one of them may turn away in a second.
        age_s: Time since the reporting node last heard it, in seconds.
    """

    max_refusals: float
    age_s: float


BrittleServices = dict[str, ReportedBrittleness]
"""Service -> the youngest statement that its servers are brittle."""


@dataclasses.dataclass(frozen=True)
class NodeEntry:
    """The registration of a node.

    Attributes:
        node: Name of the node.
        incarnation: Identifies one start of the process.
        address: `host:port` that callers connect to.
        peer_address: `host:port` that other nodes connect to.
        zone: Availability zone.
        region: Region of the zone.
        serving: False while the node drains or has no configuration.
        store_era: Era of the store that it knows, None if unknown.
        config_version: Version of its configuration, -1 without one.
        reaches_servers: False while it reaches servers only through others.
        capacity: Processor of its VM in standard cores, 0 if unknown.
        grants_requests: It can count what all nodes send to a server; false
            for nodes of earlier builds.
    """

    node: str
    incarnation: str
    address: str
    peer_address: str
    zone: str
    region: str
    serving: bool
    store_era: int | None = None
    config_version: int = -1
    reaches_servers: bool = True
    capacity: float = 0.0
    grants_requests: bool = False


@dataclasses.dataclass(frozen=True)
class NodeReport:
    """The report of one node to the node that reads the store for it."""

    entry: NodeEntry
    evidence: EvidenceByRollout
    running: RunningByService
    rollout_ages: RolloutAges = dataclasses.field(default_factory=dict)
    suspects: list[SuspectFact] = dataclasses.field(default_factory=list)
    brittle: BrittleServices = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class FleetReport:
    """The report that a node which reads the store writes for a group.

    Attributes:
        reporter: Name of the node that wrote it; key of its store record.
        nodes: The reporter and the nodes for which it reads.
        evidence: Sum of the answer counts of these nodes.
        running: Sum of the requests in flight of these nodes.
        rollout_ages: Ages of active roll-outs that these nodes know.
        suspects: Requests under which servers ended.
        brittle: Services whose servers told these nodes that they are brittle.
        sign_ages: Ages of the newest signs of life of `nodes` at the reporter
            when it wrote this, as `NodeSigns.stated_ages` gives them; empty in
            reports of earlier builds.
    """

    reporter: str
    nodes: list[NodeEntry]
    evidence: EvidenceByRollout
    running: RunningByService
    rollout_ages: RolloutAges = dataclasses.field(default_factory=dict)
    suspects: list[SuspectFact] = dataclasses.field(default_factory=list)
    brittle: BrittleServices = dataclasses.field(default_factory=dict)
    sign_ages: list[int] = dataclasses.field(default_factory=list)


def sum_evidence(parts: list[EvidenceByRollout]) -> EvidenceByRollout:
    """Returns the sum of the answer counts of several nodes."""
    rollouts = {rollout for part in parts for rollout in part}
    return {
        rollout: pooled([part[rollout] for part in parts if rollout in part])
        for rollout in rollouts
    }


def sum_running(parts: list[RunningByService]) -> RunningByService:
    """Returns the sum of the requests in flight of several nodes."""
    total: RunningByService = {}
    for part in parts:
        for service, versions in part.items():
            totals = total.setdefault(service, {})
            for version, count in versions.items():
                totals[version] = totals.get(version, 0) + count
    return total


def highest_ages(parts: list[RolloutAges]) -> RolloutAges:
    """Returns the highest age of each roll-out.

    No node can have learned of an order before it was given.
    """
    highest: RolloutAges = {}
    for part in parts:
        for rollout, age_s in part.items():
            highest[rollout] = max(age_s, highest.get(rollout, 0.0))
    return highest


def youngest(parts: list[BrittleServices]) -> BrittleServices:
    """Returns the youngest statement for each service."""
    found: BrittleServices = {}
    for part in parts:
        for service, statement in part.items():
            known = found.get(service)
            if known is None or statement.age_s < known.age_s:
                found[service] = statement
    return found


def aged(brittle: BrittleServices, elapsed_s: float) -> BrittleServices:
    """Returns statements as of a later time."""
    return {
        service: dataclasses.replace(
            statement, age_s=statement.age_s + elapsed_s
        )
        for service, statement in brittle.items()
    }


def merge_reports(reporter: str, reports: list[NodeReport]) -> FleetReport:
    """Combines the reports of several nodes into one fleet report."""
    return FleetReport(
        reporter,
        [report.entry for report in reports],
        sum_evidence([report.evidence for report in reports]),
        sum_running([report.running for report in reports]),
        highest_ages([report.rollout_ages for report in reports]),
        merge_facts(report.suspects for report in reports),
        youngest([report.brittle for report in reports]),
    )
