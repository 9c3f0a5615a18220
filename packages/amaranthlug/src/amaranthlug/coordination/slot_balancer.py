"""Balances slots between nodes and hands them over when a node leaves."""

import itertools
from collections.abc import Iterable
from typing import Any, Protocol

import gevent

from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.leases import ALL_SLOTS, choose_successors
from amaranthlug.state.members import Member, MemberState

HAND_OVER_BATCH_SLOTS = 8
"""Maximum number of slots in one hand-over; they are unavailable during it."""

CATCH_UP_TIMEOUT_S = 2.0
"""Timeout of the log read after a hand-over to this node, in seconds."""


class ClaimWriter(Protocol):
    """Transfers slots and appends claims."""

    def is_idle(self, slot: int) -> bool:
        """Returns whether this node has no claim for the slot under way."""
        ...

    def transfer_to(
        self, slots: dict[int, int], new_successors: Iterable[str]
    ) -> list[str]:
        """Transfers slots to nodes and returns the nodes that stored them."""
        ...

    def append(
        self,
        slots: dict[int, int],
        owner: str,
        successors: Iterable[str],
        takeover: bool,
    ) -> None:
        """Appends a claim and reads its result from the log."""
        ...


class SlotBalancer:
    """Hands slots over to nodes that own too few."""

    def __init__(self, manager: SlotLeaseManager, claims: ClaimWriter):
        """Registers the handler of hand-overs."""
        self.manager = manager
        self.me = manager.me
        self.claims = claims
        manager.handlers.register("slot_given", self.on_slot_given)

    def rebalance(self) -> None:
        """Hands over excess slots, or all of them if this node is leaving."""
        owned = self.manager.lease_table.owned_by(self.me.incarnation)
        mine = sorted(x.slot for x in owned if self.claims.is_idle(x.slot))
        live = [m for m in self.manager.usable_members() if m is not self.me]
        if not live or not mine or len(mine) < len(owned):
            return
        counts = {
            m.incarnation: len(self.manager.lease_table.owned_by(m.incarnation))
            for m in live
        }
        target = min(live, key=lambda m: (counts[m.incarnation], m.incarnation))
        count = self.slots_to_hand_over(
            len(mine), counts[target.incarnation], len(live)
        )
        if count > 0:
            chosen = list(itertools.islice(reversed(mine), count))
            self.hand_over(chosen, target)

    def slots_to_hand_over(self, mine: int, target: int, others: int) -> int:
        """Returns the number of slots to hand over now; it may be negative.

        Args:
            mine: Slots of this node.
            target: Slots of the node that would receive some.
            others: Number of other live nodes.
        """
        if self.me.state != MemberState.LIVE:
            return min(mine, HAND_OVER_BATCH_SLOTS)
        fair = ALL_SLOTS // (others + 1)
        return min(mine - fair, fair - target, HAND_OVER_BATCH_SLOTS)

    def hand_over(self, slots: list[int], target: Member) -> None:
        """Hands slots over; this node does not act on them from now on.

        They stay with this node if the target does not receive the tables.
        """
        manager = self.manager
        offsets = {s: manager.lease_table.leases[s].offset for s in slots}
        manager.handing_over |= offsets.keys()
        new_successors = choose_successors(target, manager.usable_members())
        if not manager.transfer(offsets, target.incarnation):
            for slot in slots:
                manager.clear_claim(slot)
            return
        others = [w for w in new_successors if w != self.me.incarnation]
        ready = set(self.claims.transfer_to(offsets, others))
        named = [
            w for w in new_successors if w in ready or w == self.me.incarnation
        ]
        manager.metrics.incr("slots.handed_over", len(slots))
        self.claims.append(offsets, target.incarnation, named, True)
        manager.send(target.incarnation, "slot_given", {})

    def on_slot_given(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reads the log now, since the lease would arrive late by exchange."""
        gevent.spawn(self.manager.feed.catch_up, CATCH_UP_TIMEOUT_S)
        return {}
