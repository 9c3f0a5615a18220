"""The nodes of the fleet and what they have seen, as this node knows it."""

import dataclasses
import logging
import math
from collections.abc import Callable

import msgspec
from result import Err

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.keyed_store import (
    KeyedRecord,
    KeyedStore,
)
from amaranthlug.coordination.routing.store_gate import StoreGate
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.fleet import (
    EvidenceByRollout,
    FleetReport,
    NodeEntry,
    NodeReport,
    RunningByService,
    merge_reports,
    sum_evidence,
    sum_running,
)

NODES_TOPIC = "keyed.nodes"
"""Topic of the fleet's reports."""
SILENT_S = 3.2
"""Age of a report after which its nodes are not named to callers, in seconds:
three periods, so that one lost write changes nothing."""
MEMBER_SILENT_S = 1.8
"""Time without a message after which a node that is read for counts as gone,
in seconds: two of its periods."""
FORGET_S = 60.0
"""Age after which the first reporter removes a report, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class HeardReport:
    """A fleet report and the clock at its arrival."""

    report: FleetReport
    heard_at: float


@dataclasses.dataclass
class FleetSummary:
    """What a node that reads the store tells one for which it reads.

    Attributes:
        nodes: All live nodes.
        evidence: Answers of all nodes but the one that asks.
        running: Requests in flight of all nodes but the one that asks.
    """

    nodes: list[NodeEntry]
    evidence: EvidenceByRollout
    running: RunningByService


class FleetView:
    """Reports for this node and its members; keeps what others report.

    An age counts only while this node reads the store: if it does not, no
    report can arrive, which says nothing of the others.
    """

    def __init__(
        self,
        store: KeyedStore,
        describe: Callable[[], NodeReport],
        gate: StoreGate | None = None,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a view; `describe` returns this node's report."""
        self.store = store
        self.describe = describe
        self.clock = clock
        self.reports: dict[str, HeardReport] = {}
        self.members: dict[str, tuple[NodeReport, float]] = {}
        self.follower = TopicFollower(
            store, NODES_TOPIC, self, wait_s=0.0, gate=gate, clock=clock
        )
        self.summary: FleetSummary | None = None
        self.summary_at = -math.inf

    def replace(self, records: list[KeyedRecord]) -> None:
        """Takes the reports of all reporters."""
        self.reports.clear()
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> bool:
        """Takes a report, or the removal of one."""
        if record.value is None:
            self.reports.pop(record.key, None)
            return True
        try:
            report = msgspec.json.decode(record.value, type=FleetReport)
        except msgspec.MsgspecError as error:
            log.warning(
                "a fleet report cannot be read: %s",
                error,
                extra={"event": "report_unreadable", "subject": record.key},
            )
            return False
        self.reports[record.key] = HeardReport(report, self.clock())
        return True

    def exchange(self) -> None:
        """Publishes the report of this node and its members, reads others.

        Neither is done while the store does not answer other calls.
        """
        if not self.follower.gate.is_open():
            return
        self.publish()
        self.follower.step()

    def publish(self) -> None:
        """Writes a report; a lost one is followed by the next."""
        report = self.own_report()
        records: list[tuple[str, bytes | None]] = [
            (report.reporter, msgspec.json.encode(report))
        ]
        records += [(key, None) for key in self.forgotten(report.reporter)]
        result = self.store.append(NODES_TOPIC, records)
        if isinstance(result, Err):
            log.info(
                "the fleet report was not written: %s",
                result.err_value.message,
                extra={"event": "report_lost"},
            )

    def withdraw(self) -> None:
        """Removes this node's report when the node is gone."""
        self.store.append(NODES_TOPIC, [(self.describe().entry.node, None)])

    def own_report(self) -> FleetReport:
        """Returns the report of this node and its members."""
        mine = self.describe()
        return merge_reports(mine.entry.node, [mine, *self.live_members()])

    def live_members(self) -> list[NodeReport]:
        """Returns the reports of nodes for which this one reads the store."""
        now = self.clock()
        gone = [
            name
            for name, (_, heard_at) in self.members.items()
            if now - heard_at > MEMBER_SILENT_S
        ]
        for name in gone:
            del self.members[name]
        return [report for report, _ in self.members.values()]

    def take_member(self, report: NodeReport) -> None:
        """Takes the report of a node for which this one reads."""
        self.members[report.entry.node] = (report, self.clock())

    def take_summary(self, summary: FleetSummary) -> None:
        """Takes what the node tells that reads the store for this one."""
        self.summary = summary
        self.summary_at = self.clock()

    def drop_summary(self) -> None:
        """Goes back to the reports that this node reads itself."""
        self.summary = None

    def summary_for(self, node: str) -> FleetSummary:
        """Returns what to tell a node for which this one reads."""
        mine = self.describe()
        parts = [mine, *self.live_members()]
        others = merge_reports("", [p for p in parts if p.entry.node != node])
        heard = self.live_reports(mine.entry.node)
        return FleetSummary(
            self.nodes(),
            sum_evidence([others.evidence, *(r.evidence for r in heard)]),
            sum_running([others.running, *(r.running for r in heard)]),
        )

    def forgotten(self, me: str) -> list[str]:
        """Returns reports that this node should remove."""
        live = sorted(r.reporter for r in self.live_reports(""))
        if not live or live[0] != me:
            return []
        now = self.clock()
        return [
            key
            for key, heard in self.reports.items()
            if now - heard.heard_at > FORGET_S
        ]

    def live_reports(self, me: str) -> list[FleetReport]:
        """Returns recent reports of reporters other than `me`.

        Whether a report is recent is judged at the last read of the store.
        """
        read_at = self.follower.confirmed_at
        return [
            heard.report
            for heard in self.reports.values()
            if heard.report.reporter != me
            and read_at - heard.heard_at < SILENT_S
        ]

    def nodes(self) -> list[NodeEntry]:
        """Returns all live nodes, this one included."""
        mine = self.describe().entry
        if self.summary is not None:
            found = {entry.node: entry for entry in self.summary.nodes}
        else:
            found = {
                entry.node: entry
                for report in self.live_reports(mine.node)
                for entry in report.nodes
            }
            for member in self.live_members():
                found[member.entry.node] = member.entry
        found[mine.node] = mine
        return list(found.values())

    def evidence(self) -> list[EvidenceByRollout]:
        """Returns the answers that other nodes have seen."""
        if self.summary is not None:
            return [self.summary.evidence]
        mine = self.describe().entry.node
        parts = [report.evidence for report in self.live_reports(mine)]
        return parts + [member.evidence for member in self.live_members()]

    def running(self) -> RunningByService:
        """Returns the requests in flight at other nodes."""
        if self.summary is not None:
            return self.summary.running
        mine = self.describe().entry.node
        parts = [report.running for report in self.live_reports(mine)]
        parts += [member.running for member in self.live_members()]
        return sum_running(parts)

    def age_s(self) -> float:
        """Returns the age of what is known of the others, in seconds."""
        if self.summary is not None:
            return self.clock() - self.summary_at
        return self.follower.age_s()
