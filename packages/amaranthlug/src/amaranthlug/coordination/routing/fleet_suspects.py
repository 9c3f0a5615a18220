"""Shares requests under which servers ended with all nodes.

A node sends a notice to the relays of all zones, and each relay passes it on to
the nodes for which it reads the store. The reports of the fleet repeat what is
recent or blocked, for nodes that a notice did not reach and for those that
start later.
"""

import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.relay_client import zone_relays
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.suspects import SuspectFact, SuspectTable

CRASHES_TO_BLOCK = 3
"""Servers that may end under a request before no further one gets it."""
NOTICE_DELAY_S = 0.02
"""Time for which facts are collected into one notice, in seconds; all requests
at a server that ends become suspects at once."""
NOTICE_TIMEOUT_S = 0.3
"""Longest wait for the receiver of a notice, in seconds."""
REPORT_RECENT_S = 10.0
"""Time for which reports repeat a fact that blocks nothing, in seconds; several
periods of the reports."""
MAX_REPORTED = 64
"""Most suspects in a report; those with the most crashes are kept."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class SuspectNotice:
    """Facts sent to another node.

    Attributes:
        facts: What the sender knows of some suspects.
        pass_on: The receiver sends them to the nodes for which it reads.
    """

    facts: list[SuspectFact]
    pass_on: bool


@dataclasses.dataclass(frozen=True)
class NoticeAnswer:
    """Confirms that a notice arrived."""


class NoticePort(Protocol):
    """Sends notices to other nodes."""

    def notify(
        self, address: str, notice: SuspectNotice, timeout_s: float
    ) -> NoticeAnswer:
        """Sends a notice to the node at `address`.

        Raises:
            OSError: The node did not answer within `timeout_s` seconds.
        """
        ...


class FleetSuspects:
    """The suspects that this node and the others have found."""

    def __init__(
        self,
        own_name: str,
        fleet: FleetView,
        port: NoticePort,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates an empty table and subscribes it to the fleet's reports.

        Args:
            own_name: Name of this node.
            fleet: Knows the other nodes.
            port: Sends notices.
            metrics: Counts blocked and cleared requests and lost notices.
            clock: Returns seconds.
        """
        self.own_name = own_name
        self.fleet = fleet
        self.port = port
        self.metrics = metrics
        self.table = SuspectTable(clock, CRASHES_TO_BLOCK)
        self.unsent: set[str] = set()
        fleet.receive_suspects = self.merge

    def record_end(self, digest: str, server: str) -> None:
        """Records that an instance of a server ended under a request."""
        self.merge_and_send(SuspectFact(digest, [server], []))

    def record_completed(self, digest: str) -> None:
        """Clears a suspect that a server has completed."""
        fact = self.table.fact(digest)
        if fact is None or not self.table.is_suspected(digest):
            return
        self.metrics.incr("suspects.cleared")
        self.merge_and_send(dataclasses.replace(fact, cleared=fact.crashes))

    def is_blocked(self, digest: str) -> bool:
        """Returns whether a request must reach no further server."""
        return self.table.is_blocked(digest)

    def block_remaining_s(self, digest: str) -> float:
        """Returns the time until a blocked request is allowed, in seconds."""
        suspect = self.table.find(digest)
        return self.table.remaining_s(suspect) if suspect else 0.0

    def reported_facts(self) -> list[SuspectFact]:
        """Returns the facts for this node's report."""
        return self.table.recent_facts(REPORT_RECENT_S, MAX_REPORTED)

    def receive(self, notice: SuspectNotice) -> NoticeAnswer:
        """Takes a notice of another node and passes on what is new."""
        new_digests = self.merge(notice.facts)
        if notice.pass_on and new_digests:
            self.send(new_digests, self.member_entries(), pass_on=False)
        return NoticeAnswer()

    def merge(self, facts: list[SuspectFact]) -> list[str]:
        """Adds facts; returns the digests of which something was new."""
        return [fact.digest for fact in facts if self.merge_one(fact)]

    def merge_one(self, fact: SuspectFact) -> bool:
        """Adds a fact; writes a line if it blocks or allows a request."""
        was_blocked = self.is_blocked(fact.digest)
        is_new = self.table.merge(fact)
        is_blocked = self.is_blocked(fact.digest)
        if is_blocked != was_blocked:
            known = self.table.suspects[fact.digest]
            self.metrics.incr(
                "suspects.blocked" if is_blocked else "suspects.allowed"
            )
            log.warning(
                "request %s is %s after %d servers ended under it",
                fact.digest,
                "blocked" if is_blocked else "allowed again",
                len(known.crashes),
                extra={
                    "event": "request_blocked"
                    if is_blocked
                    else "request_allowed",
                    "digest": fact.digest,
                    "servers": sorted(known.crashes),
                    "age_s": round(fact.age_s, 1),
                },
            )
        return is_new

    def merge_and_send(self, fact: SuspectFact) -> None:
        """Adds a fact of this node and sends it soon, with others."""
        if not self.merge_one(fact):
            return
        if not self.unsent:
            gevent.spawn_later(NOTICE_DELAY_S, self.send_unsent)
        self.unsent.add(fact.digest)

    def send_unsent(self) -> None:
        """Sends what was collected to the relays and to own members."""
        digests, self.unsent = sorted(self.unsent), set()
        relays = self.relay_entries()
        relay_names = {entry.node for entry in relays}
        members = [
            e for e in self.member_entries() if e.node not in relay_names
        ]
        self.send(digests, relays, pass_on=True)
        self.send(digests, members, pass_on=False)

    def send(
        self, digests: list[str], receivers: list[NodeEntry], pass_on: bool
    ) -> None:
        """Sends facts to nodes without waiting for them."""
        notice = SuspectNotice(self.table.facts(digests), pass_on)
        for entry in receivers:
            gevent.spawn(self.send_to, entry, notice)

    def send_to(self, receiver: NodeEntry, notice: SuspectNotice) -> None:
        """Sends a notice to one node; reports repeat it if it is lost."""
        try:
            self.port.notify(receiver.peer_address, notice, NOTICE_TIMEOUT_S)
        except OSError as error:
            self.metrics.incr("suspects.notice_lost")
            log.info(
                "node %s did not take a notice: %s",
                receiver.node,
                error,
                extra={"event": "notice_lost", "receiver": receiver.node},
            )

    def relay_entries(self) -> list[NodeEntry]:
        """Returns the relays of all zones but this node."""
        nodes = self.fleet.nodes()
        zones = {entry.zone for entry in nodes}
        relays = [e for zone in sorted(zones) for e in zone_relays(nodes, zone)]
        return [entry for entry in relays if entry.node != self.own_name]

    def member_entries(self) -> list[NodeEntry]:
        """Returns the nodes for which this one reads the store."""
        return [member.entry for member in self.fleet.live_members()]
