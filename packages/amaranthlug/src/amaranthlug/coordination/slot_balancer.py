"""Even spread of the slots over the nodes, and hand-over by a leaving one."""

import itertools
from collections.abc import Iterable
from typing import Any, Protocol

import gevent

from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.leases import ALL_SLOTS, choose_successors
from amaranthlug.state.members import Member, MemberState

HAND_OVER_SLOTS = 8
"""Slots handed over in one step; bounds the time they stand still."""

CATCH_UP_S = 2.0
"""Longest read of the log for slots that this node was given, in seconds."""


class ClaimWriter(Protocol):
    """Appends claims after transfers."""

    def is_idle(self, slot: int) -> bool:
        """Tells whether no claim of this node for the slot is under way."""
        ...

    def transfer_to(
        self, slots: dict[int, int], wanted: Iterable[str]
    ) -> list[str]:
        """Transfers slots to nodes and returns those that have them."""
        ...

    def append(
        self,
        slots: dict[int, int],
        owner: str,
        successors: Iterable[str],
        takeover: bool,
    ) -> None:
        """Appends a claim and reads its result."""
        ...


class SlotBalancer:
    """Hands slots over to nodes that hold too few."""

    def __init__(self, keeper: SlotLeaseManager, claims: ClaimWriter):
        """Takes the leases and the writer of claims."""
        self.keeper = keeper
        self.me = keeper.me
        self.claims = claims
        keeper.handlers.register("slot_given", self.on_given)

    def rebalance(self) -> None:
        """Hands slots over to nodes that hold too few, or all when leaving."""
        owned = self.keeper.fold.owned_by(self.me.incarnation)
        mine = sorted(x.slot for x in owned if self.claims.is_idle(x.slot))
        live = [m for m in self.keeper.usable() if m is not self.me]
        if not live or not mine or len(mine) < len(owned):
            return
        counts = {
            m.incarnation: len(self.keeper.fold.owned_by(m.incarnation))
            for m in live
        }
        target = min(live, key=lambda m: (counts[m.incarnation], m.incarnation))
        count = self.excess(len(mine), counts[target.incarnation], len(live))
        if count > 0:
            chosen = list(itertools.islice(reversed(mine), count))
            self.hand_over(chosen, target)

    def excess(self, mine: int, target: int, others: int) -> int:
        """Returns how many slots to hand over in one step."""
        if self.me.state != MemberState.LIVE:
            return min(mine, HAND_OVER_SLOTS)
        fair = ALL_SLOTS // (others + 1)
        return min(mine - fair, fair - target, HAND_OVER_SLOTS)

    def hand_over(self, slots: list[int], target: Member) -> None:
        """Hands slots over; this node does not act on them meanwhile."""
        keeper = self.keeper
        offsets = {s: keeper.fold.leases[s].offset for s in slots}
        keeper.frozen |= offsets.keys()
        wanted = choose_successors(target, keeper.usable())
        if not keeper.transfer(offsets, target.incarnation):
            for slot in slots:
                keeper.forget_claim(slot)
            return
        others = [w for w in wanted if w != self.me.incarnation]
        ready = set(self.claims.transfer_to(offsets, others))
        named = [w for w in wanted if w in ready or w == self.me.incarnation]
        keeper.metrics.incr("slots.handed_over", len(slots))
        self.claims.append(offsets, target.incarnation, named, True)
        keeper.send(target.incarnation, "slot_given", {})

    def on_given(self, message: dict[str, Any]) -> dict[str, Any]:
        """Reads the log at once; the exchange would bring the lease late."""
        gevent.spawn(self.keeper.feed.catch_up, CATCH_UP_S)
        return {}
