"""Log lines when this node may no longer act on key slots."""

import logging
from typing import Protocol

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.leases import Lease

log = logging.getLogger(__name__)

PERIOD_S = 0.5
"""Period in which losses are looked for, in seconds."""


class SlotView(Protocol):
    """Leases as this node knows them."""

    def held_lease(self, slot: int) -> Lease | None:
        """Returns the lease if this node may act on the slot right now."""
        ...


class LeaseEvents:
    """Compares the slots that this node holds with those it held before."""

    def __init__(
        self,
        slots: SlotView,
        count: int,
        timers: TimerService,
        metrics: Metrics,
    ):
        """Watches the slots below `count`."""
        self.slots = slots
        self.count = count
        self.timers = timers
        self.metrics = metrics
        self.held: set[int] = set()

    def start(self) -> None:
        """Subscribes to the timer service."""
        self.timers.every("lease_events", PERIOD_S, self.review)

    def review(self) -> None:
        """Logs slots that were held at the last call and are not now."""
        held = {s for s in range(self.count) if self.slots.held_lease(s)}
        lost = sorted(self.held - held)
        self.held = held
        if not lost:
            return
        self.metrics.incr("slots.leases_lost", len(lost))
        log.warning(
            "leases of slots lost",
            extra={"event": "lease_lost", "slots": lost},
        )
