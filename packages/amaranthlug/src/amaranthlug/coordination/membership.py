"""Tracks the members of the fleet by gossip: joins, failures and leaves."""

import random
from typing import Any

import gevent
from result import Ok

from amaranthlug.coordination.member_messages import (
    MAX_HEARTBEATS,
    MemberSection,
    pack_entry,
)
from amaranthlug.coordination.peers import (
    LogFeed,
    PeerHandlers,
    PeerLink,
    Rumours,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug.coordination.vm_watch import VmWatch
from amaranthlug.state.members import (
    JoinHistory,
    Member,
    MemberState,
    MemberTable,
)
from amaranthlug.state.records import LogEntry, NodeJoined, NodeLeft
from amaranthlug.state.settings import Timings

MAX_HEARTBEAT_AGE_S = 6.0
"""Maximum age of a heartbeat that counts towards the majority, in seconds.

It is below `gone_s`, so that a partitioned minority notices that it is one
before it could mark the others as gone."""

PROBE_TIMEOUT_S = 1.0
"""Timeout of one probe, in seconds."""

INDIRECT_PROBERS = 2
"""Members asked to probe a suspect indirectly."""

SUSPECT_TOPIC = "suspect"
"""Topic of rumours about suspected members."""

OUTSIDE_SHARE = 0.2
"""Fraction of peer choices that include an address outside the live members, so
that separated parts of the fleet find each other again."""


class Membership:
    """Tracks members and detects failures by heartbeats and indirect probes.

    It implements `MemberView`, `EntryView`, `PeerChoice` and the exchange
    section `members`.
    """

    name = "members"

    def __init__(
        self,
        me: Member,
        link: PeerLink,
        handlers: PeerHandlers,
        timers: TimerService,
        vms: VmWatch,
        timings: Timings,
        seeds: tuple[str, ...] = (),
        zone_order: tuple[str, ...] = (),
        bound: int = 1_024,
        seed: int | None = None,
    ):
        """Registers handlers; `start` starts failure detection."""
        self.me = me
        self.link = link
        self.timers = timers
        self.vms = vms
        self.timings = timings
        self.seeds = seeds
        self.zone_order = (me.zone, *zone_order)
        self.random = random.Random(seed)
        self.table = MemberTable(bound)
        self.table.insert(me)
        me.heard_at = timers.now()
        self.joins = JoinHistory()
        self.section = MemberSection(self.table, me, self.random)
        self.rumours: Rumours | None = None
        handlers.register("ping", self.on_ping)
        handlers.register("probe", self.on_probe)

    def start(self) -> None:
        """Schedules heartbeats and failure detection."""
        self.timers.every("members", self.timings.exchange_s, self.tick)

    def connect_rumours(self, rumours: Rumours) -> None:
        """Sets the rumours, which are built after this peer choice."""
        self.rumours = rumours
        rumours.subscribe(SUSPECT_TOPIC, self.on_suspect)

    def subscribe_to_log(self, feed: LogFeed) -> None:
        """Subscribes to the join and leave records of the log."""
        feed.subscribe(self.apply)

    # MemberView

    def members(self) -> list[Member]:
        """Returns all known members, this node included."""
        return list(self.table.members.values())

    def live(self) -> list[Member]:
        """Returns members that may get work, this node included."""
        return [m for m in self.members() if m.state == MemberState.LIVE]

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Returns a known member or None."""
        return self.table.members.get(incarnation)

    def heard_majority(self) -> bool:
        """Returns whether most present members sent a recent heartbeat."""
        now = self.timers.now()
        present = [m for m in self.members() if m.is_present()]
        recent = [
            m
            for m in present
            if m is self.me or now - m.heard_at <= MAX_HEARTBEAT_AGE_S
        ]
        return 2 * len(recent) > len(present)

    def is_certainly_gone(self, incarnation: str) -> bool:
        """Returns whether an incarnation has certainly ended.

        The evidence is the log, the VM list or a newer process at its address;
        missing heartbeats alone do not suffice.
        """
        if incarnation in self.joins.dead:
            return True
        member = self.by_incarnation(incarnation)
        if member is not None:
            return member.final
        address = self.joins.addresses.get(incarnation)
        return address is not None and self.vms.is_gone(address)

    # EntryView

    def entries(self, zone: str) -> list[tuple[str, str]]:
        """Returns (address, zone) of serving nodes, nearest zone first."""

        def distance(member: Member) -> int:
            if member.zone == zone:
                return -1
            if member.zone in self.zone_order:
                return self.zone_order.index(member.zone)
            return len(self.zone_order)

        serving = [m for m in self.live() if not self.vms.is_leaving(m.address)]
        self.random.shuffle(serving)
        return [(m.address, m.zone) for m in sorted(serving, key=distance)]

    def departing_upstreams(self) -> frozenset[str]:
        """Returns upstream addresses that must get no new work."""
        return self.vms.departing_upstreams()

    def is_vm_leaving(self) -> bool:
        """Returns whether the VM list shows this node's VM as leaving."""
        return self.vms.is_leaving(self.me.address)

    # PeerChoice

    def pick(self, count: int) -> list[str]:
        """Returns up to `count` random addresses of peers."""
        known = [
            m.address
            for m in self.members()
            if m.state in (MemberState.LIVE, MemberState.LEAVING)
            and m is not self.me
        ]
        addresses = self.random.sample(known, min(count, len(known)))
        outside = self.addresses_outside(known)
        if outside and (not addresses or self.random.random() < OUTSIDE_SHARE):
            addresses = [*addresses[: count - 1], self.random.choice(outside)]
        return addresses

    def addresses_outside(self, known: list[str]) -> list[str]:
        """Returns addresses of possible nodes that are not among `known`."""
        silent = [
            m.address
            for m in self.members()
            if m.state in (MemberState.SUSPECT, MemberState.GONE)
            and not m.final
        ]
        listed = [*self.seeds, *self.vms.live_entries(), *silent]
        return sorted(set(listed) - set(known) - {self.me.address})

    def contact_failed(self, address: str) -> None:
        """Suspects the member at an address if its heartbeats stopped too."""
        now = self.timers.now()
        for member in self.members():
            if (
                member is not self.me
                and member.address == address
                and now - member.heard_at >= self.timings.suspect_s
            ):
                self.suspect(member)

    # ExchangeSection

    def outgoing(self) -> dict[str, Any]:
        """Returns the section of one message."""
        return self.section.outgoing(self.timers.now())

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges a section.

        A message from an address proves that older incarnations there ended.
        """
        entry = self.section.incoming(section, self.timers.now())
        if entry.address != sender:
            return
        for member in self.members():
            if (
                member.address == sender
                and member.incarnation != entry.incarnation
                and member.heard_at
                < self.timers.now() - MAX_HEARTBEAT_AGE_S / 2
            ):
                self.table.mark_ended(member.incarnation, MemberState.GONE)

    # Liveness

    def tick(self) -> None:
        """Increments the heartbeat and updates the states of silent members."""
        now = self.timers.now()
        if self.me.state not in (MemberState.LEAVING, MemberState.LEFT):
            self.me.state = MemberState.LIVE
        self.me.heartbeat += 1
        self.me.heard_at = now
        has_majority = self.heard_majority()
        for member in self.members():
            if member is not self.me and not member.final:
                self.update_state(member, now, has_majority)

    def suspect_after_s(self) -> float:
        """Returns the time without a heartbeat until suspicion, in seconds.

        With more members than one message holds, counters arrive less often;
        a failed exchange then causes the suspicion earlier.
        """
        scale = max(1.0, len(self.table.members) / MAX_HEARTBEATS)
        return self.timings.suspect_s * scale

    def update_state(
        self, member: Member, now: float, has_majority: bool
    ) -> None:
        """Marks a member as suspect or gone according to its silence."""
        silence_s = now - member.heard_at
        if silence_s >= self.timings.suspect_s and self.vms.is_gone(
            member.address
        ):
            self.table.mark_ended(member.incarnation, MemberState.GONE)
        elif member.state in (MemberState.LIVE, MemberState.LEAVING):
            if silence_s >= self.suspect_after_s():
                self.suspect(member)
        elif member.state == MemberState.SUSPECT:
            wait_s = self.timings.gone_s - self.timings.suspect_s
            # A node without a majority may itself be partitioned.
            if has_majority and now - member.suspected_at >= wait_s:
                if member.confirmed:
                    member.state = MemberState.GONE
                else:
                    gevent.spawn(self.probe, member, member.heartbeat)

    def suspect(self, member: Member) -> None:
        """Marks a member as suspect and starts an indirect probe."""
        if self.table.suspect(
            member.incarnation, member.heartbeat, self.timers.now()
        ):
            gevent.spawn(self.probe, member, member.heartbeat)

    def probe(self, member: Member, heartbeat: int) -> None:
        """Asks other members to reach a suspect.

        If none can, the suspicion is confirmed and spread as a rumour.
        """
        probers = [m for m in self.live() if m not in (self.me, member)]
        probers = self.random.sample(
            probers, min(INDIRECT_PROBERS, len(probers))
        )
        message = {"address": member.address, "incarnation": member.incarnation}
        answers = [
            self.link.call(
                prober.address, "probe", message, 2 * PROBE_TIMEOUT_S
            )
            for prober in probers
        ]
        replies = [a.ok_value for a in answers if isinstance(a, Ok)]
        for reply in replies:
            if reply.get("alive"):
                self.table.merge_heartbeat(
                    member.incarnation, reply["heartbeat"], 0.0, self.now()
                )
                return
        if probers and not replies:
            return  # No evidence; this node may itself be partitioned.
        member.confirmed = member.heartbeat == heartbeat
        if member.confirmed and self.rumours is not None:
            fact = {"incarnation": member.incarnation, "heartbeat": heartbeat}
            self.rumours.spread(SUSPECT_TOPIC, fact)

    def now(self) -> float:
        """Returns monotonic seconds."""
        return self.timers.now()

    def on_ping(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers with an incremented heartbeat, which ends a suspicion."""
        self.me.heartbeat += 1
        return {"heartbeat": self.me.heartbeat}

    def on_probe(self, message: dict[str, Any]) -> dict[str, Any]:
        """Pings a member on behalf of another node."""
        answer = self.link.call(
            message["address"],
            "ping",
            {"to": message["incarnation"]},
            PROBE_TIMEOUT_S,
        )
        if isinstance(answer, Ok):
            return {"alive": True, "heartbeat": answer.ok_value["heartbeat"]}
        return {"alive": False}

    def on_suspect(self, fact: dict[str, Any]) -> bool:
        """Applies a confirmed suspicion, or refutes one of this node.

        Returns whether the fact was new.
        """
        incarnation, heartbeat = fact["incarnation"], fact["heartbeat"]
        if incarnation == self.me.incarnation:
            self.me.heartbeat = max(self.me.heartbeat, heartbeat) + 1
            return False
        member = self.by_incarnation(incarnation)
        if member is None or member.heartbeat > heartbeat or member.final:
            return False
        self.table.suspect(incarnation, heartbeat, self.now())
        member.confirmed = True
        return True

    # Joining and leaving

    def apply(self, entry: LogEntry) -> None:
        """Applies join and leave records of the log."""
        self.joins.apply(entry)
        record = entry.record
        if isinstance(record, NodeLeft):
            self.table.mark_ended(record.incarnation, MemberState.LEFT)
        elif isinstance(record, NodeJoined):
            for incarnation in self.joins.dead & self.table.members.keys():
                if incarnation != self.me.incarnation:
                    self.table.mark_ended(incarnation, MemberState.GONE)

    def announce_leaving(self) -> None:
        """Marks this node as leaving, so that it gets no new callers."""
        self.me.state, self.me.leaving = MemberState.LEAVING, True
        self.me.heartbeat += 1

    def announce_left(self) -> list[Any]:
        """Marks this node as left and returns its wire entry.

        Call it after the last request has finished.
        """
        self.me.state = MemberState.LEFT
        return pack_entry(self.me, self.now())
