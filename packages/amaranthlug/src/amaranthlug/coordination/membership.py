"""Who the members are: joining, heartbeats, suspicion, leaving."""

import random
from typing import Any

import gevent
from result import Ok

from amaranthlug.coordination.member_messages import BEATS, MemberSection, pack
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

HEARD_S = 6.0
"""Oldest heartbeat that counts towards the majority, in seconds. It is below
`gone_s`, so that a cut-off minority sees that it is one before it could take
the others for gone."""

PROBE_S = 1.0
"""Limit of one probe, in seconds."""

HELPERS = 2
"""Members asked for an indirect probe."""

TOPIC = "suspect"
"""Topic of rumours about members that are suspected."""

OUTSIDE_SHARE = 0.2
"""Share of picks that go to an address outside the live members, which joins
parts of the fleet that were separated."""


class Membership:
    """Implements `MemberView`, `EntryView`, `PeerChoice` and the section."""

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
        """Registers handlers; `start` begins heartbeats and suspicion."""
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
        """Subscribes heartbeat and suspicion to the timer service."""
        self.timers.every("members", self.timings.exchange_s, self.tick)

    def connect_rumours(self, rumours: Rumours) -> None:
        """Connects the rumours, which themselves need this peer choice."""
        self.rumours = rumours
        rumours.subscribe(TOPIC, self.on_suspect)

    def subscribe_to_log(self, feed: LogFeed) -> None:
        """Subscribes to join and leave records."""
        feed.subscribe(self.apply)

    # MemberView

    def members(self) -> list[Member]:
        """Returns all known members, this node included."""
        return list(self.table.members.values())

    def live(self) -> list[Member]:
        """Returns members that may get work, unless they leave."""
        return [m for m in self.members() if m.state == MemberState.LIVE]

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Returns a known member or None."""
        return self.table.members.get(incarnation)

    def heard_majority(self) -> bool:
        """Tells whether more than half of the members were just heard."""
        now = self.timers.now()
        total = [m for m in self.members() if m.is_present()]
        heard = [
            m for m in total if m is self.me or now - m.heard_at <= HEARD_S
        ]
        return 2 * len(heard) > len(total)

    def is_certainly_gone(self, incarnation: str) -> bool:
        """Tells whether log, VM list or contact show an incarnation dead.

        Silence alone never does.
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

    def vm_leaving(self) -> bool:
        """Tells whether the VM list asks this node's VM to leave."""
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
        outside = self.outside(known)
        if outside and (not addresses or self.random.random() < OUTSIDE_SHARE):
            addresses = [*addresses[: count - 1], self.random.choice(outside)]
        return addresses

    def outside(self, known: list[str]) -> list[str]:
        """Returns addresses where a node may be that is not a live member."""
        silent = [
            m.address
            for m in self.members()
            if m.state in (MemberState.SUSPECT, MemberState.GONE)
            and not m.final
        ]
        listed = [*self.seeds, *self.vms.live_entries(), *silent]
        return sorted(set(listed) - set(known) - {self.me.address})

    def contact_failed(self, address: str) -> None:
        """Suspects a silent member that did not answer either."""
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
        """Merges a section; direct contact ends older incarnations."""
        entry = self.section.incoming(section, self.timers.now())
        if entry.address != sender:
            return
        for member in self.members():
            if (
                member.address == sender
                and member.incarnation != entry.incarnation
                and member.heard_at < self.timers.now() - HEARD_S / 2
            ):
                self.table.mark_ended(member.incarnation, MemberState.GONE)

    # Liveness

    def tick(self) -> None:
        """Raises the heartbeat and judges silent members."""
        now = self.timers.now()
        if self.me.state not in (MemberState.LEAVING, MemberState.LEFT):
            self.me.state = MemberState.LIVE
        self.me.heartbeat += 1
        self.me.heard_at = now
        majority = self.heard_majority()
        for member in self.members():
            if member is not self.me and not member.final:
                self.judge(member, now, majority)

    def news_limit_s(self) -> float:
        """Returns the silence that makes a member suspect, in seconds.

        With more members than one message holds, counters arrive more rarely;
        there a failed exchange brings the suspicion.
        """
        scale = max(1.0, len(self.table.members) / BEATS)
        return self.timings.suspect_s * scale

    def judge(self, member: Member, now: float, majority: bool) -> None:
        """Moves a silent member on to suspect and gone."""
        silence = now - member.heard_at
        if silence >= self.timings.suspect_s and self.vms.is_gone(
            member.address
        ):
            self.table.mark_ended(member.incarnation, MemberState.GONE)
        elif member.state in (MemberState.LIVE, MemberState.LEAVING):
            if silence >= self.news_limit_s():
                self.suspect(member)
        elif member.state == MemberState.SUSPECT:
            wait = self.timings.gone_s - self.timings.suspect_s
            # A node without a majority may itself be the one cut off.
            if majority and now - member.suspected_at >= wait:
                if member.confirmed:
                    member.state = MemberState.GONE
                else:
                    gevent.spawn(self.probe, member, member.heartbeat)

    def suspect(self, member: Member) -> None:
        """Suspects a member and probes it through others."""
        if self.table.suspect(
            member.incarnation, member.heartbeat, self.timers.now()
        ):
            gevent.spawn(self.probe, member, member.heartbeat)

    def probe(self, member: Member, heartbeat: int) -> None:
        """Asks other members to reach a suspect; tells all if none can."""
        helpers = [m for m in self.live() if m not in (self.me, member)]
        helpers = self.random.sample(helpers, min(HELPERS, len(helpers)))
        message = {"address": member.address, "incarnation": member.incarnation}
        answers = [
            self.link.call(h.address, "probe", message, 2 * PROBE_S)
            for h in helpers
        ]
        replies = [a.ok_value for a in answers if isinstance(a, Ok)]
        for reply in replies:
            if reply.get("alive"):
                self.table.merge_heartbeat(
                    member.incarnation, reply["heartbeat"], 0.0, self.now()
                )
                return
        if helpers and not replies:
            return  # Nothing learned; this node may be the one cut off.
        member.confirmed = member.heartbeat == heartbeat
        if member.confirmed and self.rumours is not None:
            fact = {"incarnation": member.incarnation, "heartbeat": heartbeat}
            self.rumours.spread(TOPIC, fact)

    def now(self) -> float:
        """Returns monotonic seconds."""
        return self.timers.now()

    def on_ping(self, message: dict[str, Any]) -> dict[str, Any]:
        """Answers a probe with a raised counter, which lifts a suspicion."""
        self.me.heartbeat += 1
        return {"heartbeat": self.me.heartbeat}

    def on_probe(self, message: dict[str, Any]) -> dict[str, Any]:
        """Tries to reach a member for another node."""
        answer = self.link.call(
            message["address"], "ping", {"to": message["incarnation"]}, PROBE_S
        )
        if isinstance(answer, Ok):
            return {"alive": True, "heartbeat": answer.ok_value["heartbeat"]}
        return {"alive": False}

    def on_suspect(self, fact: dict[str, Any]) -> bool:
        """Takes over a confirmed suspicion, or refutes it."""
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
        """Folds join and leave records of the log."""
        self.joins.apply(entry)
        record = entry.record
        if isinstance(record, NodeLeft):
            self.table.mark_ended(record.incarnation, MemberState.LEFT)
        elif isinstance(record, NodeJoined):
            for incarnation in self.joins.dead & self.table.members.keys():
                if incarnation != self.me.incarnation:
                    self.table.mark_ended(incarnation, MemberState.GONE)

    def announce_leaving(self) -> None:
        """Announces that this node takes no new callers."""
        self.me.state, self.me.leaving = MemberState.LEAVING, True
        self.me.heartbeat += 1

    def announce_left(self) -> list[Any]:
        """Announces the end; call after the last request finished."""
        self.me.state = MemberState.LEFT
        return pack(self.me, self.now())
