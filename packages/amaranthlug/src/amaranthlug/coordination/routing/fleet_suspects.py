"""Shares requests and prompt parts under which servers ended with all nodes.

A node sends a notice to the relays of all zones, and each relay passes it on to
the nodes for which it reads the store. The reports of the fleet repeat what is
recent or blocked, for nodes that a notice did not reach and for those that
start later.
"""

import dataclasses
import logging
from collections.abc import Callable, Sequence
from typing import Protocol

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.relay_roles import zone_relays
from amaranthlug.state.attribution import (
    Crashes,
    explain,
    find_alternatives,
)
from amaranthlug.state.recent_names import RecentNames
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.suspects import FactSize, SuspectFact, SuspectTable

CRASHES_TO_BLOCK = 3
"""Servers that may end under a request before no further one gets it."""
NOTICE_DELAY_S = 0.02
"""Time for which facts are collected into one notice, in seconds; all requests
at a server that ends become suspects at once."""
NOTICE_TIMEOUT_S = 0.3
"""Longest wait for the receiver of a notice, in seconds."""
REPORT_RECENT_S = 3.0
"""Time for which reports repeat a fact that blocks nothing, in seconds; several
periods of the reports."""
MAX_REPORTED = 3
"""Most suspects in a report; those with the most crashes are kept. All nodes
receive the reports of all others, each about once a second."""
MAX_NOTICE_FACTS = 128
"""Most suspects in a notice; further ones are sent in another."""
SOUND_S = 2.0
"""Time for which a part that a server answered is not suspected, in seconds.
Many servers may end at the same moment with a common part at each of them."""
MAX_SOUND_PARTS = 10_000
"""Most parts that are remembered as answered."""

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
    """The suspects that this node and the others have found.

    Attributes:
        blocked: Subject that no server gets -> the crashes that it explains.
        alternatives: Blocked part -> others that explain the same crashes.
    """

    def __init__(
        self,
        own_name: str,
        fleet: FleetView,
        port: NoticePort,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates an empty table and subscribes it to the fleet's reports.

        `CrashWatch` sets `receive_crash`, which is called with the instance
        names in each new fact.

        Args:
            own_name: Name of this node.
            fleet: Knows the other nodes.
            port: Sends notices.
            metrics: Counts blocked and cleared suspects and lost notices.
            clock: Returns seconds.
        """
        self.own_name = own_name
        self.fleet = fleet
        self.port = port
        self.metrics = metrics
        self.table = SuspectTable(clock, CRASHES_TO_BLOCK)
        self.receive_crash: Callable[[str], None] | None = None
        self.unsent: set[str] = set()
        self.passed_on: dict[str, FactSize] = {}
        self.candidates: set[str] = set()
        self.blocked: dict[str, Crashes] = {}
        self.alternatives: dict[str, set[str]] = {}
        self.sound_parts = RecentNames(clock, SOUND_S, MAX_SOUND_PARTS)
        fleet.receive_suspects = self.merge

    def record_end(
        self, digest: str, server: str, parts: Sequence[str] = ()
    ) -> None:
        """Records that an instance of a server ended under a request.

        Args:
            digest: Digest of the request.
            server: Name of the instance.
            parts: Parts of its prompt that others may share, in order.
        """
        facts = [SuspectFact(digest, [server], [])]
        facts += [
            SuspectFact(part, [server], [], 0.0, [digest], depth)
            for depth, part in enumerate(parts)
            if part not in self.sound_parts
        ]
        self.merge_and_send(facts)

    def record_completed(self, digest: str) -> None:
        """Clears a request that a server has completed."""
        self.clear(digest)

    def record_sound(self, parts: Sequence[str]) -> None:
        """Clears parts of a prompt on which a server has answered."""
        for part in parts:
            self.sound_parts.add(part)
            self.clear(part)

    def clear(self, subject: str) -> None:
        """Clears a request or a part of the crashes known so far."""
        # Most subjects are no suspects; a fact takes sorting to build.
        if not self.table.is_suspected(subject):
            return
        fact = self.table.fact(subject)
        if fact is None:
            return  # The suspicion has just expired.
        self.metrics.incr("suspects.cleared")
        self.merge_and_send([dataclasses.replace(fact, cleared=fact.crashes)])

    def record_life(self, instance: str) -> None:
        """Clears all suspects of the end of an instance that still answers."""
        subjects = self.table.digests_of(instance)
        for fact in self.table.facts(subjects):
            cleared = sorted({*fact.cleared, instance})
            self.merge_and_send([dataclasses.replace(fact, cleared=cleared)])

    def is_blocked(self, subject: str) -> bool:
        """Returns whether a request or a part must reach no further server."""
        return subject in self.blocked and self.table.find(subject) is not None

    def block_remaining_s(self, subject: str) -> float:
        """Returns the time until a blocked subject is allowed, in seconds."""
        suspect = self.table.find(subject)
        return self.table.remaining_s(suspect) if suspect else 0.0

    def drop_expired(self) -> None:
        """Forgets the suspects whose suspicion has expired."""
        self.update_blocked()
        self.table.drop_expired()
        self.candidates.intersection_update(self.table.suspects)
        for digest in self.passed_on.keys() - self.table.suspects.keys():
            del self.passed_on[digest]
        self.metrics.gauge("suspects.known", len(self.table))
        self.metrics.gauge("suspects.blocked_now", len(self.blocked))

    def reported_facts(self) -> list[SuspectFact]:
        """Returns the facts for this node's report."""
        return self.table.recent_facts(REPORT_RECENT_S, MAX_REPORTED)

    def receive(self, notice: SuspectNotice) -> NoticeAnswer:
        """Takes a notice of another node and passes on what is new to others.

        A report of the sender may have been faster, so that is not what is new
        to this node.
        """
        self.merge(notice.facts)
        if notice.pass_on:
            unpassed = [
                fact.digest
                for fact in notice.facts
                if self.passed_on.get(fact.digest)
                != self.table.size(fact.digest)
            ]
            if unpassed:
                self.pass_on(unpassed)
        return NoticeAnswer()

    def pass_on(self, digests: list[str]) -> None:
        """Sends facts to the nodes for which this one reads."""
        for digest in digests:
            self.passed_on[digest] = self.table.size(digest)
        self.send(digests, self.member_entries(), pass_on=False)

    def merge(self, facts: list[SuspectFact]) -> list[str]:
        """Adds facts; returns the digests of which something was new."""
        new_digests = [fact.digest for fact in facts if self.merge_one(fact)]
        if new_digests:
            self.update_blocked()
        for digest in new_digests:
            if digest in self.sound_parts:
                self.clear(digest)
        return new_digests

    def merge_one(self, fact: SuspectFact) -> bool:
        """Adds a fact; returns whether it was new."""
        if not self.table.merge(fact):
            return False
        if self.receive_crash is not None:
            for crash in fact.crashes:
                self.receive_crash(crash)
        if self.table.is_blocked(fact.digest):
            self.candidates.add(fact.digest)
        else:
            self.candidates.discard(fact.digest)
        return True

    def update_blocked(self) -> None:
        """Finds the subjects to block; writes a line for each change.

        What an expired subject explained does not count against others that
        are suspected for a little longer.
        """
        for subject, crashes in self.blocked.items():
            if self.table.find(subject) is None:
                self.table.clear_all(crashes)
        found = {
            subject: suspect
            for subject in self.candidates
            if (suspect := self.table.find(subject)) is not None
        }
        former, self.blocked = (
            self.blocked,
            explain(found, CRASHES_TO_BLOCK, self.sound_parts.seen_at),
        )
        self.alternatives = {
            subject: find_alternatives(subject, crashes, found)
            for subject, crashes in self.blocked.items()
            if found[subject].depth is not None
        }
        for subject in sorted(self.blocked.keys() - former.keys()):
            self.log_change(subject, self.blocked[subject], is_blocked=True)
        for subject in sorted(former.keys() - self.blocked.keys()):
            self.log_change(subject, former[subject], is_blocked=False)

    def log_change(
        self, subject: str, crashes: Crashes, is_blocked: bool
    ) -> None:
        """Writes a line about a subject that is now blocked or allowed."""
        suspect = self.table.suspects.get(subject)
        is_part = suspect is not None and suspect.depth is not None
        if is_part:
            self.metrics.incr(
                "parts.blocked" if is_blocked else "parts.allowed"
            )
        else:
            self.metrics.incr(
                "suspects.blocked" if is_blocked else "suspects.allowed"
            )
        kind = "part" if is_part else "request"
        log.warning(
            "%s %s is %s after %d servers ended under it",
            kind,
            subject,
            "blocked" if is_blocked else "allowed again",
            len(crashes),
            extra={
                "event": f"{kind}_blocked" if is_blocked else f"{kind}_allowed",
                "digest": subject,
                "servers": sorted(crashes),
                "requests": len(suspect.requests) if suspect else 0,
                "age_s": self.table.age_s(suspect) if suspect else None,
            },
        )

    def merge_and_send(self, facts: list[SuspectFact]) -> None:
        """Adds facts of this node and sends the new ones soon, with others."""
        new_digests = self.merge(facts)
        if new_digests and not self.unsent:
            gevent.spawn_later(NOTICE_DELAY_S, self.send_unsent)
        self.unsent.update(new_digests)

    def send_unsent(self) -> None:
        """Sends what was collected to the relays and to own members."""
        digests, self.unsent = sorted(self.unsent), set()
        relays = self.relay_entries()
        relay_names = {entry.node for entry in relays}
        members = [
            e for e in self.member_entries() if e.node not in relay_names
        ]
        for first in range(0, len(digests), MAX_NOTICE_FACTS):
            some = digests[first : first + MAX_NOTICE_FACTS]
            self.send(some, relays, pass_on=True)
            self.send(some, members, pass_on=False)

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

    def is_drawn_for(self, subject: str) -> bool:
        """Returns whether this node is the one of the fleet for a subject."""
        names = {self.own_name, *(e.node for e in self.fleet.nodes())}
        return rendezvous_order(subject, names)[0] == self.own_name

    def relay_entries(self) -> list[NodeEntry]:
        """Returns the relays of all zones but this node."""
        nodes = self.fleet.nodes()
        zones = {entry.zone for entry in nodes}
        relays = [e for zone in sorted(zones) for e in zone_relays(nodes, zone)]
        return [entry for entry in relays if entry.node != self.own_name]

    def member_entries(self) -> list[NodeEntry]:
        """Returns the nodes for which this one reads the store."""
        return [member.entry for member in self.fleet.live_members()]
