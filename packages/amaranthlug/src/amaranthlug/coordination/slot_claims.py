"""Claims of slot leases: first claims, takeover, replacement, hand-over."""

import logging
import uuid
from collections.abc import Callable, Iterable

import gevent
from result import Ok

from amaranthlug.coordination.peers import RecordWriter
from amaranthlug.coordination.slot_balancer import SlotBalancer
from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.leases import (
    ALL_SLOTS,
    KEY_SLOTS,
    NO_LEASE,
    Lease,
    choose_successors,
    distribute_slots,
)
from amaranthlug.state.members import Member, MemberState
from amaranthlug.state.records import LeaseClaim

PERIOD_S = 1.0
"""Period of the review of leases, in seconds."""

TAKEOVER_PERIOD_S = 0.25
"""Period in which promises are checked for their end, in seconds; a slot of a
lost owner stands still that much longer than the promise."""

LOG_FRESH_S = 3.0
"""Claims are sent only when the log was read within this, in seconds. A
successor that claims refuses renewals, so a claim during an outage would stop a
healthy owner."""

SETTLE_S = 4.0
"""Wait after the start before slots are claimed, in seconds, so that nodes that
start together share the slots out instead of racing."""

SECOND_DELAY_S = 1.5
"""Delay of the second successor's takeover, in seconds."""

UNCERTAIN_S = 10.0
"""Time after which a claim whose answer was lost is not on its way any more, in
seconds; then a read of the log decides."""

REFRESH_S = 300.0
"""Age at which an owner writes its leases anew, in seconds; well below the time
for which the log keeps records."""

MAJORITY_SAMPLE = 5
"""Members asked before slots are taken; constant at any number of nodes."""

log = logging.getLogger(__name__)


class SlotClaims:
    """Reviews the leases and appends claims where they are due."""

    def __init__(
        self,
        keeper: SlotLeaseManager,
        writer: RecordWriter,
        gone: Callable[[str], bool],
    ):
        """Takes the keeper and a test that an incarnation is certainly dead."""
        self.keeper = keeper
        self.me = keeper.me
        self.writer = writer
        self.gone = gone
        self.started_at = keeper.timers.now()
        self.tending = False
        self.spread = SlotBalancer(keeper, self)

    def start(self) -> None:
        """Subscribes the reviews to the timer service."""
        timers = self.keeper.timers
        timers.every("slot_claims", PERIOD_S, self.review)
        timers.every("slot_takeovers", TAKEOVER_PERIOD_S, self.take_over)
        self.keeper.silent_calls.append(self.tend_successors)

    def review(self) -> None:
        """Does whatever is due, one kind of claim after the other."""
        self.settle_uncertain()
        if not self.may_claim():
            return
        if self.me.state == MemberState.LIVE:
            self.claim_free()
            self.tend_successors()
        self.spread.rebalance()

    def may_claim(self) -> bool:
        """Tells whether the log is fresh and a majority was heard."""
        keeper = self.keeper
        if keeper.feed.confirmed_age() > LOG_FRESH_S:
            return False
        return keeper.members.heard_majority()

    def reaches_majority(self) -> bool:
        """Tells whether this node may take slots away from others.

        A cut-off minority that reaches the log must not; its last heartbeats
        look fresh for longer than a promise lasts, so a few members are asked.
        The claim on the log keeps one owner in any case. Of two nodes neither
        can be a majority, and the survivor goes on.
        """
        members = self.keeper.members
        counted = [m for m in members.members() if m.is_present()]
        if len(counted) == 2:
            return True
        if not members.heard_majority():
            return False
        others = [m for m in counted if m is not self.me]
        sample = self.keeper.timers.random.sample(
            others, min(MAJORITY_SAMPLE, len(others))
        )
        asked = [
            gevent.spawn(self.keeper.send, m.incarnation, "ping", {})
            for m in sample
        ]
        reached = 1
        for task in gevent.iwait(asked):
            reached += isinstance(task.value, Ok)
            if 2 * reached > len(sample) + 1:
                return True
        return False

    # Appending

    def append(
        self,
        slots: dict[int, int],
        owner: str,
        successors: Iterable[str],
        takeover: bool,
    ) -> None:
        """Appends a claim and reads its result.

        While the result is unknown the restrictions of the claim stay.
        """
        claim = LeaseClaim(
            id=uuid.uuid4().hex,
            at=self.keeper.wall_s(),
            slots=slots,
            owner=owner,
            successors=list(successors),
            takeover=takeover,
        )
        answer = self.writer.append(claim)
        if isinstance(answer, Ok):
            self.keeper.feed.catch_up(2.0)
        elif not answer.err_value.effect_unknown:
            for slot in slots:
                self.keeper.forget_claim(slot)
            return
        for slot, replaces in slots.items():
            lease = self.keeper.fold.leases.get(slot)
            if (lease.offset if lease else NO_LEASE) == replaces:
                self.keeper.uncertain[slot] = self.keeper.timers.now()

    def settle_uncertain(self) -> None:
        """Drops claims that the log does not show long after their append."""
        keeper = self.keeper
        now = keeper.timers.now()
        for slot, since in list(keeper.uncertain.items()):
            if now - since < UNCERTAIN_S:
                continue
            if isinstance(keeper.feed.catch_up(2.0), Ok):
                keeper.forget_claim(slot)

    def is_idle(self, slot: int) -> bool:
        """Tells whether no claim of this node for the slot is under way."""
        keeper = self.keeper
        return not (
            slot in keeper.claiming
            or slot in keeper.frozen
            or slot in keeper.pending
            or slot in keeper.uncertain
        )

    def transfer_to(
        self, slots: dict[int, int], wanted: Iterable[str]
    ) -> list[str]:
        """Transfers slots to nodes and returns those that have them."""
        nodes = list(wanted)
        tasks = [gevent.spawn(self.keeper.transfer, slots, w) for w in nodes]
        gevent.joinall(tasks)
        return [w for w, t in zip(nodes, tasks, strict=True) if t.value]

    # First claims and orphans

    def claim_free(self) -> None:
        """Claims this node's share of the slots that nobody can hold."""
        keeper = self.keeper
        if keeper.timers.now() - self.started_at < SETTLE_S:
            return
        live = keeper.members.live()
        usable = keeper.usable()
        free = [s for s in range(ALL_SLOTS) if self.is_free(s)]
        share = distribute_slots(free, live)
        mine = [s for s in free if share.get(s) == self.me.incarnation]
        orphans = {
            s: keeper.fold.leases[s].offset
            for s in mine
            if s in keeper.fold.leases
        }
        first = {s: NO_LEASE for s in mine if s not in orphans}
        wanted = choose_successors(self.me, usable)
        if first:
            self.append(first, self.me.incarnation, wanted, True)
        if orphans:
            for slot, offset in orphans.items():
                keeper.tables.mark_incomplete(slot, keeper.now_ms())
                keeper.synced[slot] = offset
            ready = self.transfer_to(orphans, wanted)
            self.append(orphans, self.me.incarnation, ready, True)

    def is_free(self, slot: int) -> bool:
        """Tells whether a slot has no lease, or only dead holders."""
        if not self.is_idle(slot):
            return False
        fold = self.keeper.fold
        lease = fold.leases.get(slot)
        if lease is not None:
            return all(self.gone(i) for i in (lease.owner, *lease.successors))
        # In a log that lost its beginning the lease may be older than the
        # first record; a living owner writes it anew within this time.
        uptime = self.keeper.timers.now() - self.started_at
        return not fold.first or uptime > 2 * REFRESH_S

    # Takeover

    def take_over(self) -> None:
        """Claims slots whose owner let this successor's promise expire."""
        if self.me.state != MemberState.LIVE or not self.due():
            return
        if self.keeper.feed.confirmed_age() > LOG_FRESH_S:
            return
        if not self.reaches_majority():
            return
        groups: dict[tuple[str, tuple[str, ...]], list[Lease]] = {}
        for lease in self.due():
            others = tuple(
                s for s in lease.successors if s != self.me.incarnation
            )
            groups.setdefault((lease.owner, others), []).append(lease)
        tasks = [
            gevent.spawn(self.take_over_group, owner, others, leases)
            for (owner, others), leases in groups.items()
        ]
        gevent.joinall(tasks)

    def due(self) -> list[Lease]:
        """Returns the leases that this node has to take over."""
        return [x for x in self.keeper.fold.leases.values() if self.is_due(x)]

    def is_due(self, lease: Lease) -> bool:
        """Tells whether a takeover by this node is due."""
        keeper = self.keeper
        mine = self.me.incarnation
        if mine not in lease.successors or lease.owner == mine:
            return False
        if not self.is_idle(lease.slot):
            return False
        until = max(
            keeper.promised.get(lease.slot, 0.0),
            keeper.seen_at[lease.slot] + keeper.timings.promise_s,
        )
        if lease.successors[0] != mine:
            until += SECOND_DELAY_S
        return keeper.timers.now() >= until

    def take_over_group(
        self, owner: str, others: tuple[str, ...], leases: list[Lease]
    ) -> None:
        """Takes over slots that share the owner and the other successor."""
        keeper = self.keeper
        slots = {lease.slot: lease.offset for lease in leases}
        keeper.claiming |= slots.keys()
        merges = [
            gevent.spawn(self.merge_or_mark, lease, others)
            for lease in leases
            if lease.slot < KEY_SLOTS
        ]
        gevent.joinall(merges)
        # The owner looks live for some seconds more, but does not answer.
        usable = [m for m in keeper.usable() if m.incarnation != owner]
        wanted = choose_successors(self.me, usable, others)
        ready = self.transfer_to(slots, wanted)
        log.info("taking over slots %s", sorted(slots))
        keeper.metrics.incr("slots.takeover", len(slots))
        self.append(slots, self.me.incarnation, ready, True)

    def merge_or_mark(self, lease: Lease, others: tuple[str, ...]) -> None:
        """Merges the other copy, or notes that keys may be missing here."""
        keeper = self.keeper
        if not self.merge_copies(lease, others):
            keeper.tables.mark_incomplete(lease.slot, keeper.now_ms())
        keeper.synced[lease.slot] = lease.offset

    def merge_copies(self, lease: Lease, others: tuple[str, ...]) -> bool:
        """Merges the other successor's copy; False if the slot lacks one."""
        keeper = self.keeper
        complete = keeper.synced.get(lease.slot) == lease.offset
        for other in others:
            message = {"slot": lease.slot, "offset": lease.offset}
            reply = keeper.send(other, "slot_merge", message)
            if not isinstance(reply, Ok) or not reply.ok_value["ok"]:
                return False
            for part in reply.ok_value["parts"]:
                keeper.tables.merge(lease.slot, part)
            complete = complete or reply.ok_value["synced"]
        return complete

    # Successors

    def tend_successors(self) -> None:
        """Replaces lost successors, and writes old leases anew.

        It is called by the review and as soon as a successor is silent.
        """
        if self.tending or not self.may_claim():
            return
        self.tending = True
        try:
            if self.tended() and self.reaches_majority():
                for wanted, slots in self.tended().items():
                    self.replace(slots, wanted)
        finally:
            self.tending = False

    def tended(self) -> dict[tuple[str, ...], dict[int, int]]:
        """Returns slots with their offsets by the successors they need."""
        keeper = self.keeper
        usable = keeper.usable()
        groups: dict[tuple[str, ...], dict[int, int]] = {}
        choices: dict[tuple[str, ...], tuple[str, ...]] = {}
        for lease in keeper.fold.owned_by(self.me.incarnation):
            if not self.is_idle(lease.slot):
                continue
            now = lease.successors
            if now not in choices:
                choices[now] = choose_successors(self.me, usable, now)
            wanted = choices[now]
            age = keeper.timers.now() - keeper.seen_at[lease.slot]
            if self.is_better(lease, wanted, usable) or age >= REFRESH_S:
                groups.setdefault(wanted, {})[lease.slot] = lease.offset
        return groups

    def is_better(
        self, lease: Lease, wanted: tuple[str, ...], live: list[Member]
    ) -> bool:
        """Tells whether a lease should name other successors."""
        zones = {m.incarnation: m.zone for m in live}
        if any(s not in zones for s in lease.successors):
            return True

        def spread(successors: tuple[str, ...]) -> tuple[int, int]:
            used = {self.me.zone} | {zones[s] for s in successors}
            return len(successors), len(used)

        return spread(wanted) > spread(lease.successors)

    def replace(self, slots: dict[int, int], wanted: tuple[str, ...]) -> None:
        """Names other successors after they have the tables.

        Rows written meanwhile go to the new successors too.
        """
        keeper = self.keeper
        for slot in slots:
            keeper.pending[slot] = set(wanted)
        old = {s for slot in slots for s in keeper.fold.leases[slot].successors}
        added = [w for w in wanted if w not in old]
        if len(self.transfer_to(slots, added)) < len(added):
            for slot in slots:
                keeper.forget_claim(slot)
            return
        self.append(slots, self.me.incarnation, wanted, False)

    # Leaving

    def is_named_in_leases(self) -> bool:
        """Tells whether others still have to take over this node's leases.

        A node without live peers has nobody to hand over to.
        """
        mine = self.me.incarnation
        live = self.keeper.members.live()
        if not any(m is not self.me for m in live):
            return False
        return any(
            mine in (lease.owner, *lease.successors)
            for lease in self.keeper.fold.leases.values()
        )
