"""Claims of slot leases: first claims, takeovers, changes of successors."""

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

CHECK_PERIOD_S = 1.0
"""Period of the review of leases, in seconds."""

TAKEOVER_PERIOD_S = 0.25
"""Period of the check for expired promises, in seconds. It adds to the time for
which a lost owner's slot is unavailable."""

MAX_LOG_AGE_S = 3.0
"""Maximum age of the last log read for claims, in seconds. A claiming successor
refuses renewals, so a claim during a log outage would stop a healthy owner."""

STARTUP_DELAY_S = 4.0
"""Delay after the start before free slots are claimed, in seconds, so that
nodes that start together divide the slots instead of racing for them."""

SECOND_SUCCESSOR_DELAY_S = 1.5
"""Extra delay before the second successor takes over, in seconds."""

CLAIM_CONFIRM_TIMEOUT_S = 10.0
"""Time after which a claim with a lost reply can no longer reach the log, in
seconds; a read of the log then shows whether it took effect."""

LEASE_REFRESH_AGE_S = 300.0
"""Age at which an owner renews its leases on the log, in seconds; well below
the log's retention time."""

MAJORITY_SAMPLE_SIZE = 5
"""Members pinged before a takeover; constant so that the cost does not grow
with the number of nodes."""

log = logging.getLogger(__name__)


class SlotClaims:
    """Checks the leases periodically and appends claims that are due."""

    def __init__(
        self,
        manager: SlotLeaseManager,
        writer: RecordWriter,
        is_certainly_gone: Callable[[str], bool],
    ):
        """Sets up the parts; `start` begins the checks.

        Args:
            manager: Slot leases.
            writer: Appends records to the log.
            is_certainly_gone: Returns whether an incarnation is known to be
                dead.
        """
        self.manager = manager
        self.me = manager.me
        self.writer = writer
        self.is_certainly_gone = is_certainly_gone
        self.started_at = manager.timers.now()
        self.is_maintaining_successors = False
        self.balancer = SlotBalancer(manager, self)

    def start(self) -> None:
        """Schedules the checks."""
        timers = self.manager.timers
        timers.every("slot_claims", CHECK_PERIOD_S, self.make_due_claims)
        timers.every("slot_takeovers", TAKEOVER_PERIOD_S, self.take_over)
        self.manager.peer_silent_callbacks.append(self.maintain_successors)

    def make_due_claims(self) -> None:
        """Makes the claims that are due, except takeovers."""
        self.resolve_unconfirmed_claims()
        if not self.may_claim():
            return
        if self.me.state == MemberState.LIVE:
            self.claim_free_slots()
            self.maintain_successors()
        self.balancer.rebalance()

    def may_claim(self) -> bool:
        """Returns whether the log read is recent and a majority was heard."""
        manager = self.manager
        if manager.feed.confirmed_age() > MAX_LOG_AGE_S:
            return False
        return manager.members.heard_majority()

    def reaches_majority(self) -> bool:
        """Returns whether this node may take slots away from others.

        A partitioned minority that reaches the log may not. The heartbeats
        that it received last look recent for longer than a promise lasts, so a
        sample of members is pinged. The claim on the log ensures a single
        owner in any case. With two nodes neither has a majority, so the
        survivor may take over.
        """
        members = self.manager.members
        present = [m for m in members.members() if m.is_present()]
        if len(present) == 2:
            return True
        if not members.heard_majority():
            return False
        others = [m for m in present if m is not self.me]
        sample = self.manager.timers.random.sample(
            others, min(MAJORITY_SAMPLE_SIZE, len(others))
        )
        pings = [
            gevent.spawn(self.manager.send, m.incarnation, "ping", {})
            for m in sample
        ]
        reached = 1
        for task in gevent.iwait(pings):
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
        """Appends a claim and reads its result from the log.

        The restrictions of the claim stay while its result is unknown.
        """
        claim = LeaseClaim(
            id=uuid.uuid4().hex,
            at=self.manager.wall_s(),
            slots=slots,
            owner=owner,
            successors=list(successors),
            takeover=takeover,
        )
        answer = self.writer.append(claim)
        if isinstance(answer, Ok):
            self.manager.feed.catch_up(2.0)
        elif not answer.err_value.effect_unknown:
            for slot in slots:
                self.manager.clear_claim(slot)
            return
        for slot, replaces in slots.items():
            lease = self.manager.lease_table.leases.get(slot)
            if (lease.offset if lease else NO_LEASE) == replaces:
                self.manager.unconfirmed_claims[slot] = (
                    self.manager.timers.now()
                )

    def resolve_unconfirmed_claims(self) -> None:
        """Drops unconfirmed claims that are too old to appear on the log."""
        manager = self.manager
        now = manager.timers.now()
        for slot, since in list(manager.unconfirmed_claims.items()):
            if now - since < CLAIM_CONFIRM_TIMEOUT_S:
                continue
            if isinstance(manager.feed.catch_up(2.0), Ok):
                manager.clear_claim(slot)

    def is_idle(self, slot: int) -> bool:
        """Returns whether this node has no claim for the slot under way."""
        manager = self.manager
        return not (
            slot in manager.claiming
            or slot in manager.handing_over
            or slot in manager.pending_successors
            or slot in manager.unconfirmed_claims
        )

    def transfer_to(
        self, slots: dict[int, int], new_successors: Iterable[str]
    ) -> list[str]:
        """Transfers slots to nodes and returns the nodes that stored them."""
        nodes = list(new_successors)
        tasks = [gevent.spawn(self.manager.transfer, slots, w) for w in nodes]
        gevent.joinall(tasks)
        return [w for w, t in zip(nodes, tasks, strict=True) if t.value]

    # Free and orphaned slots

    def claim_free_slots(self) -> None:
        """Claims this node's share of the free slots."""
        manager = self.manager
        if manager.timers.now() - self.started_at < STARTUP_DELAY_S:
            return
        live = manager.members.live()
        usable = manager.usable_members()
        free = [s for s in range(ALL_SLOTS) if self.is_free(s)]
        assignment = distribute_slots(free, live)
        mine = [s for s in free if assignment.get(s) == self.me.incarnation]
        orphans = {
            s: manager.lease_table.leases[s].offset
            for s in mine
            if s in manager.lease_table.leases
        }
        first_claims = {s: NO_LEASE for s in mine if s not in orphans}
        new_successors = choose_successors(self.me, usable)
        if first_claims:
            self.append(first_claims, self.me.incarnation, new_successors, True)
        if orphans:
            for slot, offset in orphans.items():
                manager.tables.mark_incomplete(slot, manager.now_ms())
                manager.synced[slot] = offset
            ready = self.transfer_to(orphans, new_successors)
            self.append(orphans, self.me.incarnation, ready, True)

    def is_free(self, slot: int) -> bool:
        """Returns whether a slot has no lease, or only dead nodes in it."""
        if not self.is_idle(slot):
            return False
        lease_table = self.manager.lease_table
        lease = lease_table.leases.get(slot)
        if lease is not None:
            return all(
                self.is_certainly_gone(i)
                for i in (lease.owner, *lease.successors)
            )
        # If the start of the log was trimmed, the lease may be older than the
        # first record. A living owner renews it within this time.
        uptime = self.manager.timers.now() - self.started_at
        return not lease_table.first or uptime > 2 * LEASE_REFRESH_AGE_S

    # Takeover

    def take_over(self) -> None:
        """Claims slots whose owner did not renew this node's promise."""
        if self.me.state != MemberState.LIVE or not self.due_takeovers():
            return
        if self.manager.feed.confirmed_age() > MAX_LOG_AGE_S:
            return
        if not self.reaches_majority():
            return
        groups: dict[tuple[str, tuple[str, ...]], list[Lease]] = {}
        for lease in self.due_takeovers():
            others = tuple(
                s for s in lease.successors if s != self.me.incarnation
            )
            groups.setdefault((lease.owner, others), []).append(lease)
        tasks = [
            gevent.spawn(self.take_over_group, owner, others, leases)
            for (owner, others), leases in groups.items()
        ]
        gevent.joinall(tasks)

    def due_takeovers(self) -> list[Lease]:
        """Returns the leases that this node must take over."""
        return [
            x
            for x in self.manager.lease_table.leases.values()
            if self.is_takeover_due(x)
        ]

    def is_takeover_due(self, lease: Lease) -> bool:
        """Returns whether this node must take over a lease now."""
        manager = self.manager
        mine = self.me.incarnation
        if mine not in lease.successors or lease.owner == mine:
            return False
        if not self.is_idle(lease.slot):
            return False
        until = max(
            manager.given_promises.get(lease.slot, 0.0),
            manager.lease_seen_at[lease.slot] + manager.timings.promise_s,
        )
        if lease.successors[0] != mine:
            until += SECOND_SUCCESSOR_DELAY_S
        return manager.timers.now() >= until

    def take_over_group(
        self, owner: str, others: tuple[str, ...], leases: list[Lease]
    ) -> None:
        """Takes over slots that share an owner and the other successors."""
        manager = self.manager
        slots = {lease.slot: lease.offset for lease in leases}
        manager.claiming |= slots.keys()
        merges = [
            gevent.spawn(self.merge_or_mark_incomplete, lease, others)
            for lease in leases
            if lease.slot < KEY_SLOTS
        ]
        gevent.joinall(merges)
        # Heartbeats still show the owner as live for some seconds.
        usable = [m for m in manager.usable_members() if m.incarnation != owner]
        new_successors = choose_successors(self.me, usable, others)
        ready = self.transfer_to(slots, new_successors)
        log.info("taking over slots %s", sorted(slots))
        manager.metrics.incr("slots.takeover", len(slots))
        self.append(slots, self.me.incarnation, ready, True)

    def merge_or_mark_incomplete(
        self, lease: Lease, others: tuple[str, ...]
    ) -> None:
        """Merges the other copy, or marks the slot as incomplete."""
        manager = self.manager
        if not self.merge_copies(lease, others):
            manager.tables.mark_incomplete(lease.slot, manager.now_ms())
        manager.synced[lease.slot] = lease.offset

    def merge_copies(self, lease: Lease, others: tuple[str, ...]) -> bool:
        """Merges other copies; returns whether the result is complete."""
        manager = self.manager
        complete = manager.synced.get(lease.slot) == lease.offset
        for other in others:
            message = {"slot": lease.slot, "offset": lease.offset}
            reply = manager.send(other, "slot_merge", message)
            if not isinstance(reply, Ok) or not reply.ok_value["ok"]:
                return False
            for part in reply.ok_value["parts"]:
                manager.tables.merge(lease.slot, part)
            complete = complete or reply.ok_value["synced"]
        return complete

    # Successors

    def maintain_successors(self) -> None:
        """Replaces lost successors and renews old leases.

        Runs periodically and as soon as a successor stops answering.
        """
        if self.is_maintaining_successors or not self.may_claim():
            return
        self.is_maintaining_successors = True
        try:
            if self.due_successor_changes() and self.reaches_majority():
                for successors, slots in self.due_successor_changes().items():
                    self.change_successors(slots, successors)
        finally:
            self.is_maintaining_successors = False

    def due_successor_changes(self) -> dict[tuple[str, ...], dict[int, int]]:
        """Returns the slots to claim anew, by the successors to name."""
        manager = self.manager
        usable = manager.usable_members()
        groups: dict[tuple[str, ...], dict[int, int]] = {}
        choices: dict[tuple[str, ...], tuple[str, ...]] = {}
        for lease in manager.lease_table.owned_by(self.me.incarnation):
            if not self.is_idle(lease.slot):
                continue
            current = lease.successors
            if current not in choices:
                choices[current] = choose_successors(self.me, usable, current)
            new_successors = choices[current]
            age = manager.timers.now() - manager.lease_seen_at[lease.slot]
            if (
                self.should_replace_lease(lease, new_successors, usable)
                or age >= LEASE_REFRESH_AGE_S
            ):
                groups.setdefault(new_successors, {})[lease.slot] = lease.offset
        return groups

    def should_replace_lease(
        self, lease: Lease, new_successors: tuple[str, ...], live: list[Member]
    ) -> bool:
        """Returns whether a lease should name other successors."""
        zones = {m.incarnation: m.zone for m in live}
        if any(s not in zones for s in lease.successors):
            return True

        def copies_and_zones(successors: tuple[str, ...]) -> tuple[int, int]:
            used = {self.me.zone} | {zones[s] for s in successors}
            return len(successors), len(used)

        return copies_and_zones(new_successors) > copies_and_zones(
            lease.successors
        )

    def change_successors(
        self, slots: dict[int, int], new_successors: tuple[str, ...]
    ) -> None:
        """Claims slots with other successors once these have the tables.

        Rows written during the transfer go to the new successors too.
        """
        manager = self.manager
        for slot in slots:
            manager.pending_successors[slot] = set(new_successors)
        old = {
            s
            for slot in slots
            for s in manager.lease_table.leases[slot].successors
        }
        added = [w for w in new_successors if w not in old]
        if len(self.transfer_to(slots, added)) < len(added):
            for slot in slots:
                manager.clear_claim(slot)
            return
        self.append(slots, self.me.incarnation, new_successors, False)

    # Leaving

    def is_named_in_leases(self) -> bool:
        """Returns whether a lease still names this node.

        Returns False without live peers, since no node could take over.
        """
        mine = self.me.incarnation
        live = self.manager.members.live()
        if not any(m is not self.me for m in live):
            return False
        return any(
            mine in (lease.owner, *lease.successors)
            for lease in self.manager.lease_table.leases.values()
        )
