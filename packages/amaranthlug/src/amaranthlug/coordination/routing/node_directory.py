"""The nodes of the fleet: own report and those of the others."""

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
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.nodes import NodeReport

NODES_TOPIC = "keyed.nodes"
"""Topic of the reports."""
SILENT_S = 3.0
"""Age of a report after which its node is not named to callers, in seconds:
three periods, so that one lost write changes nothing."""
FORGET_S = 60.0
"""Age after which the first live node removes a report, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class KnownNode:
    """A node's last report and the clock at its arrival."""

    report: NodeReport
    heard_at: float


class NodeDirectory:
    """Publishes this node's report and keeps those of the others.

    An age counts only while this node reads the store: if it does not, no
    report can arrive, which says nothing of the others.
    """

    def __init__(
        self,
        store: KeyedStore,
        describe: Callable[[], NodeReport],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a directory; `describe` returns this node's report."""
        self.store = store
        self.describe = describe
        self.clock = clock
        self.nodes: dict[str, KnownNode] = {}
        self.follower = TopicFollower(
            store, NODES_TOPIC, self, wait_s=0.0, clock=clock
        )
        self.published_at = -math.inf

    def replace(self, records: list[KeyedRecord]) -> None:
        """Takes the reports of all nodes."""
        self.nodes.clear()
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> None:
        """Takes a report, or the removal of one."""
        if record.value is None:
            self.nodes.pop(record.key, None)
            return
        try:
            report = msgspec.json.decode(record.value, type=NodeReport)
        except msgspec.MsgspecError as error:
            log.warning(
                "a node's report cannot be read: %s",
                error,
                extra={"event": "report_unreadable", "subject": record.key},
            )
            return
        self.nodes[record.key] = KnownNode(report, self.clock())

    def exchange(self) -> None:
        """Publishes this node's report and reads those of the others."""
        self.publish()
        self.refresh()

    def refresh(self) -> None:
        """Reads the reports of the others."""
        self.follower.step()

    def publish(self) -> None:
        """Writes this node's report; a lost one is followed by the next."""
        report = self.describe()
        self.published_at = self.clock()
        records: list[tuple[str, bytes | None]] = [
            (report.node, msgspec.json.encode(report))
        ]
        records += [(key, None) for key in self.forgotten(report.node)]
        result = self.store.append(NODES_TOPIC, records)
        if isinstance(result, Err):
            log.info(
                "this node's report was not written: %s",
                result.err_value.message,
                extra={"event": "report_lost", "subject": "report"},
            )

    def withdraw(self) -> None:
        """Removes this node's report when the node is gone."""
        self.store.append(NODES_TOPIC, [(self.describe().node, None)])

    def forgotten(self, me: str) -> list[str]:
        """Returns reports that this node should remove."""
        live = sorted(self.live_names())
        if not live or live[0] != me:
            return []
        now = self.clock()
        return [
            key
            for key, known in self.nodes.items()
            if now - known.heard_at > FORGET_S
        ]

    def live_names(self) -> list[str]:
        """Returns the names of nodes with a recent report."""
        return [key for key, known in self.nodes.items() if self.is_live(known)]

    def is_live(self, known: KnownNode) -> bool:
        """Tells whether a report is recent as of the last read of the store."""
        return self.follower.confirmed_at - known.heard_at < SILENT_S

    def live(self) -> list[NodeReport]:
        """Returns the recent reports, also of nodes that do not serve."""
        return [k.report for k in self.nodes.values() if self.is_live(k)]

    def others(self, me: str) -> list[NodeReport]:
        """Returns the recent reports of the other nodes."""
        return [report for report in self.live() if report.node != me]
