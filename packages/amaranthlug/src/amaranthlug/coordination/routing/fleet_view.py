"""Tracks the live nodes of the fleet and the evidence that they report."""

import dataclasses
import logging
import math
from collections.abc import Callable

import msgspec
from result import Err

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.circuit_breaker import StoreCircuitBreaker
from amaranthlug.coordination.routing.keyed_store import (
    KeyedRecord,
    KeyedStore,
)
from amaranthlug.coordination.routing.node_signs import (
    AGE_STEPS_PER_S,
    NodeSigns,
)
from amaranthlug.coordination.routing.report_follower import ReportFollower
from amaranthlug.state.routing.fleet import (
    BrittleServices,
    EvidenceByRollout,
    FleetReport,
    NodeEntry,
    NodeReport,
    RolloutAges,
    RunningByService,
    aged,
    highest_ages,
    merge_reports,
    sum_evidence,
    sum_running,
    youngest,
)
from amaranthlug.state.suspects import SuspectFact, merge_facts

NODES_TOPIC = "keyed.nodes"
"""Topic of the fleet reports."""
MAX_REPORT_AGE_S = 3.2
"""Age at which a report expires and its nodes are no longer listed to callers,
in seconds; three reporting periods, so that one lost write has no effect."""
MAX_MEMBER_AGE_S = 1.8
"""Time without an exchange after which a member (a node that uses this one as
its relay) counts as gone, in seconds; two of its exchange periods."""
MAX_WRITE_S = 0.5
"""Time after which a report that the store has not confirmed counts as failed,
in seconds. Members must find another relay that reports them before their last
report expires."""
MAX_LOGGED_NODES = 20
"""Maximum number of nodes in one log line about changes of the fleet."""
REPORT_PERIOD_S = 1.0
"""Period of this node's reports, in seconds."""
REPORT_REMOVAL_AGE_S = 60.0
"""Age at which the first live reporter, by name, removes a report from the
store, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class ReceivedReport:
    """A fleet report as it was read.

    Attributes:
        report: The report.
        received_at: Local clock when it was first received, less the time for
            which it was in the store as the reports behind it show, in seconds.
        offset: Its offset in the store; None if offsets began anew since.
    """

    report: FleetReport
    received_at: float
    offset: int | None

    def entry_ages(self) -> list[tuple[NodeEntry, float]]:
        """Returns the nodes with their ages when it was written, in seconds."""
        nodes = self.report.nodes
        ages = [age / AGE_STEPS_PER_S for age in self.report.sign_ages]
        if len(ages) != len(nodes):  # Of an earlier build.
            ages = [MAX_MEMBER_AGE_S] * len(nodes)
        return [
            (entry, 0.0 if entry.node == self.report.reporter else age_s)
            for entry, age_s in zip(nodes, ages, strict=True)
        ]


class MergedNodes:
    """The nodes of several reports, merged again when these change.

    The ages of all of them grow alike, so that the order stays.
    """

    def __init__(self) -> None:
        """Starts without reports."""
        self.reports: list[ReceivedReport] = []
        self.nodes: dict[str, NodeEntry] = {}

    def update(self, reports: list[ReceivedReport]) -> dict[str, NodeEntry]:
        """Returns a copy of the newest entry of each node, by name."""
        if [id(r) for r in reports] != [id(r) for r in self.reports]:
            self.reports = reports
            self.nodes = self.merge()
        return dict(self.nodes)

    def merge(self) -> dict[str, NodeEntry]:
        """Returns the newest entry of each node in the reports."""
        spoke_at: dict[str, float] = {}
        found: dict[str, NodeEntry] = {}
        for received in self.reports:
            for entry, age_s in received.entry_ages():
                at = received.received_at - age_s
                if at > spoke_at.get(entry.node, -math.inf):
                    spoke_at[entry.node] = at
                    found[entry.node] = entry
        return found


@dataclasses.dataclass
class FleetSummary:
    """State of the fleet that a relay sends to one of its members.

    Attributes:
        nodes: All live nodes.
        evidence: Answer counts of all nodes but the receiving one.
        running: Requests in flight at all nodes but the receiving one.
        rollout_ages: Ages of active roll-outs when the relay answered.
        suspects: Requests under which servers ended, from all nodes.
        brittle: Services whose servers are brittle, from all nodes.
        sign_ages: Ages of the newest signs of life of all live nodes, sorted by
            their names, as `NodeSigns.stated_ages` gives them; empty from
            earlier builds.
    """

    nodes: list[NodeEntry]
    evidence: EvidenceByRollout
    running: RunningByService
    rollout_ages: RolloutAges = dataclasses.field(default_factory=dict)
    suspects: list[SuspectFact] = dataclasses.field(default_factory=list)
    brittle: BrittleServices = dataclasses.field(default_factory=dict)
    sign_ages: list[int] = dataclasses.field(default_factory=list)


class FleetView:
    """Publishes the report of this node and its members; collects the others'.

    The age of a report is taken at the last complete read of the store, not at
    the present time: while the store is unreachable no report can arrive, so a
    missing one does not mean that its node is gone.
    """

    def __init__(
        self,
        store: KeyedStore,
        describe_node: Callable[[], NodeReport],
        breaker: StoreCircuitBreaker | None = None,
        clock: Callable[[], float] = boot_seconds,
        describe_entry: Callable[[], NodeEntry] | None = None,
    ):
        """Creates a view.

        `FleetSuspects` sets `receive_suspects`, which is called with the
        suspects of each report; without it they are ignored. So are the brittle
        services of each report without `receive_brittle`.

        Args:
            store: Holds the fleet reports.
            describe_node: Returns this node's own report.
            breaker: Shared by all calls to the store from this node.
            clock: Returns seconds.
            describe_entry: Returns this node's registration alone, which
                needs no counts of its servers; by default that of its report.
        """
        self.store = store
        self.describe_node = describe_node
        self.describe_entry = describe_entry or (lambda: describe_node().entry)
        self.clock = clock
        self.signs = NodeSigns(clock)
        self.reports: dict[str, ReceivedReport] = {}
        self.merged = MergedNodes()
        self.members: dict[str, tuple[NodeReport, float]] = {}
        self.periods_behind: dict[int, int] = {}
        self.follower = ReportFollower(
            store, NODES_TOPIC, self, wait_s=0.0, breaker=breaker, clock=clock
        )
        self.summary: FleetSummary | None = None
        self.summary_received_at = -math.inf
        self.logged_nodes: set[str] = set()
        self.write_failed = False
        self.write_started_at = math.inf
        self.receive_suspects: Callable[[list[SuspectFact]], object] | None = (
            None
        )
        self.receive_brittle: Callable[[BrittleServices], object] = (
            lambda brittle: None
        )

    def replace(self, records: list[KeyedRecord]) -> None:
        """Replaces all known reports; keeps the dates of those known before."""
        former, self.reports = self.reports, {}
        for record in records:
            known = former.get(record.key)
            if known is not None and known.offset == record.offset:
                self.reports[record.key] = known
            else:
                self.apply(record)

    def restore(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        """Keeps the known reports; those of a copy may be of former nodes.

        Live nodes report again within a second.
        """
        for received in self.reports.values():
            received.offset = None
        return []

    def apply(self, record: KeyedRecord) -> bool:
        """Applies a report or its removal; False if it is malformed."""
        if record.value is None:
            self.reports.pop(record.key, None)
            return True
        try:
            report = msgspec.json.decode(record.value, type=FleetReport)
        except (msgspec.MsgspecError, RecursionError) as error:
            log.warning(
                "ignoring malformed fleet report: %s",
                error,
                extra={"event": "report_unreadable", "subject": record.key},
            )
            return False
        stored_s = self.periods_behind.get(record.offset, 0) * REPORT_PERIOD_S
        self.reports[record.key] = ReceivedReport(
            report, self.clock() - stored_s, record.offset
        )
        self.record_signs(report)
        self.pass_on(report)
        return True

    def record_signs(self, report: FleetReport) -> None:
        """Records the signs of life in a report that was not read before.

        It may have been written at any time since the last complete read.
        """
        written_at = self.follower.confirmed_at
        self.signs.record_stated(
            (entry.node for entry in report.nodes), report.sign_ages, written_at
        )
        self.signs.record(report.reporter, written_at)

    def sync(self) -> None:
        """Publishes this node's fleet report and reads those of the others.

        Does nothing while the circuit breaker is open.
        """
        if not self.follower.breaker.is_closed():
            return
        self.announce()
        if self.follower.reads_directly.is_set():
            self.follower.read_once()

    def announce(self) -> None:
        """Publishes this node's fleet report.

        Before the first report it reads, so that the report of a node that
        starts again does not replace what only the one before knew.
        """
        if not self.follower.has_data():
            self.follower.read_once()
        self.publish()

    def can_publish(self) -> bool:
        """Returns whether the store takes this node's reports."""
        waited_s = self.clock() - self.write_started_at
        return not self.write_failed and waited_s < MAX_WRITE_S

    def publish(self) -> None:
        """Writes a fleet report; a failed write is not retried.

        The next periodic report replaces it.
        """
        report = self.fleet_report()
        records: list[tuple[str, bytes | None]] = [
            (report.reporter, msgspec.json.encode(report))
        ]
        records += [
            (key, None) for key in self.removable_report_keys(report.reporter)
        ]
        self.write_started_at = self.clock()
        result = self.store.append(NODES_TOPIC, records)
        self.write_started_at = math.inf
        self.write_failed = isinstance(result, Err)
        if isinstance(result, Err):
            log.info(
                "could not write the fleet report: %s",
                result.err_value.message,
                extra={"event": "report_lost"},
            )

    def withdraw(self) -> None:
        """Removes this node's report from the store at shutdown."""
        self.store.append(NODES_TOPIC, [(self.describe_entry().node, None)])

    def fleet_report(self) -> FleetReport:
        """Returns the combined report of this node and its members."""
        mine = self.describe_node()
        report = merge_reports(mine.entry.node, [mine, *self.live_members()])
        return dataclasses.replace(
            report,
            sign_ages=self.signs.stated_ages(e.node for e in report.nodes),
        )

    def live_members(self) -> list[NodeReport]:
        """Drops members that are gone and returns the reports of the others.

        Their statements of servers are as of now.
        """
        now = self.clock()
        gone = [
            name
            for name, (_, received_at) in self.members.items()
            if now - received_at > MAX_MEMBER_AGE_S
        ]
        for name in gone:
            del self.members[name]
        return [
            dataclasses.replace(
                report, brittle=aged(report.brittle, now - received_at)
            )
            if report.brittle
            else report
            for report, received_at in self.members.values()
        ]

    def update_member(self, report: NodeReport) -> None:
        """Stores the report of a member."""
        self.members[report.entry.node] = (report, self.clock())
        self.signs.record(report.entry.node, self.clock())
        self.pass_on(report)

    def set_summary(
        self, summary: FleetSummary, formed_at: float = -math.inf
    ) -> None:
        """Stores the summary sent by this node's relay.

        Args:
            summary: The summary, with the list of nodes in any case.
            formed_at: Clock at which it was formed at the earliest, in seconds;
                minus infinity if unknown.
        """
        self.summary = summary
        self.summary_received_at = self.clock()
        self.signs.record_stated(
            node_names(summary.nodes), summary.sign_ages, formed_at
        )
        self.pass_on(summary)

    def pass_on(self, report: NodeReport | FleetReport | FleetSummary) -> None:
        """Passes on suspects and statements of servers that arrived."""
        if self.receive_suspects is not None:
            self.receive_suspects(report.suspects)
        self.receive_brittle(report.brittle)

    def clear_summary(self) -> None:
        """Drops the relay's summary, so that reports from the store count."""
        self.summary = None

    def summary_for(self, node: str) -> FleetSummary:
        """Returns the summary to send to the member `node`."""
        mine = self.describe_node()
        parts = [mine, *self.live_members()]
        others = merge_reports("", [p for p in parts if p.entry.node != node])
        all_received = self.live_received(mine.entry.node)
        received = [each.report for each in all_received]
        now = self.clock()
        nodes = self.nodes()
        return FleetSummary(
            nodes,
            sum_evidence([others.evidence, *(r.evidence for r in received)]),
            sum_running([others.running, *(r.running for r in received)]),
            highest_ages([others.rollout_ages, self.reported_ages()]),
            merge_facts(
                [others.suspects, *(report.suspects for report in received)]
            ),
            youngest(
                [
                    others.brittle,
                    *(
                        aged(each.report.brittle, now - each.received_at)
                        for each in all_received
                    ),
                ]
            ),
            self.signs.stated_ages(node_names(nodes)),
        )

    def removable_report_keys(self, own_name: str) -> list[str]:
        """Returns the keys of old reports that this node should remove.

        Only the first live reporter by name removes any.
        """
        live = sorted(r.reporter for r in self.live_reports(""))
        if not live or live[0] != own_name:
            return []
        now = self.clock()
        return [
            key
            for key, received in self.reports.items()
            if now - received.received_at > REPORT_REMOVAL_AGE_S
        ]

    def live_reports(self, excluded: str) -> list[FleetReport]:
        """Returns unexpired reports of reporters other than `excluded`.

        A report's age is taken at the last complete read of the store.
        """
        return [received.report for received in self.live_received(excluded)]

    def live_received(self, excluded: str) -> list[ReceivedReport]:
        """Returns the same reports with the times of their receipt."""
        read_at = self.follower.confirmed_at
        return [
            received
            for received in self.reports.values()
            if received.report.reporter != excluded
            and read_at - received.received_at < MAX_REPORT_AGE_S
        ]

    def nodes(self) -> list[NodeEntry]:
        """Returns all live nodes, including this one."""
        mine = self.describe_entry()
        if self.summary is not None:
            found = {entry.node: entry for entry in self.summary.nodes}
        else:
            found = self.reported_nodes(mine.node)
        found[mine.node] = mine
        return list(found.values())

    def reported_nodes(self, own_name: str) -> dict[str, NodeEntry]:
        """Returns the nodes in live reports and the members of this node.

        Each is as it was reported last: a node that has changed its relay is in
        the reports of both for a while.
        """
        found = self.merged.update(self.live_received(own_name))
        for member in self.live_members():
            found[member.entry.node] = member.entry
        return found

    def log_changes(self) -> None:
        """Logs which nodes joined or left the live ones since the last call."""
        present = {entry.node for entry in self.nodes()}
        joined = sorted(present - self.logged_nodes)
        left = sorted(self.logged_nodes - present)
        self.logged_nodes = present
        if not joined and not left:
            return
        log.info(
            "%d nodes joined the fleet and %d left it",
            len(joined),
            len(left),
            extra={
                "event": "nodes",
                "live": len(present),
                "joined": {n: self.basis(n) for n in joined[:MAX_LOGGED_NODES]},
                "left": {n: self.basis(n) for n in left[:MAX_LOGGED_NODES]},
                "through_relay": self.summary is not None,
                "age_s": round(self.age_s(), 2),
            },
        )

    def basis(self, node: str) -> dict[str, float]:
        """Returns who reports a node -> seconds since the report arrived."""
        now = self.clock()
        found = {
            received.report.reporter: round(now - received.received_at, 2)
            for received in self.reports.values()
            if any(entry.node == node for entry in received.report.nodes)
        }
        if node in self.members:
            found["itself"] = round(now - self.members[node][1], 2)
        return found

    def reported_config_version(self) -> int:
        """Returns the newest configuration at any reported node, -1 if none."""
        entries = [
            entry
            for received in self.reports.values()
            for entry in received.report.nodes
        ]
        if self.summary is not None:
            entries += self.summary.nodes
        return max((entry.config_version for entry in entries), default=-1)

    def evidence(self) -> list[EvidenceByRollout]:
        """Returns the answer counts reported by other nodes."""
        if self.summary is not None:
            return [self.summary.evidence]
        mine = self.describe_entry().node
        parts = [report.evidence for report in self.live_reports(mine)]
        return parts + [member.evidence for member in self.live_members()]

    def running(self) -> RunningByService:
        """Returns the requests in flight at other nodes."""
        if self.summary is not None:
            return self.summary.running
        mine = self.describe_entry().node
        parts = [report.running for report in self.live_reports(mine)]
        parts += [member.running for member in self.live_members()]
        return sum_running(parts)

    def rollout_ages(self) -> RolloutAges:
        """Returns the ages of roll-outs by other nodes, as of now."""
        if self.summary is not None:
            elapsed_s = self.clock() - self.summary_received_at
            ages = self.summary.rollout_ages
            return {name: age + elapsed_s for name, age in ages.items()}
        members = [member.rollout_ages for member in self.live_members()]
        return highest_ages([*members, self.reported_ages()])

    def reported_ages(self) -> RolloutAges:
        """Returns the ages of roll-outs in the reports of others, as of now."""
        now = self.clock()
        own_name = self.describe_entry().node
        return highest_ages(
            [
                {
                    name: age + now - received.received_at
                    for name, age in received.report.rollout_ages.items()
                }
                for received in self.live_received(own_name)
            ]
        )

    def age_s(self) -> float:
        """Returns the age of the data about other nodes, in seconds."""
        if self.summary is not None:
            return self.clock() - self.summary_received_at
        return self.follower.age_s()


def node_names(nodes: list[NodeEntry]) -> list[str]:
    """Returns the names of nodes in the order in which ages are stated."""
    return sorted(entry.node for entry in nodes)
