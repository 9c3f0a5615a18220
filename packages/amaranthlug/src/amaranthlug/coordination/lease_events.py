"""Logs and counts the slot leases that this node loses."""

import logging
from typing import Protocol

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.leases import Lease

log = logging.getLogger(__name__)

CHECK_PERIOD_S = 0.5
"""Period of the check for lost leases, in seconds."""


class SlotView(Protocol):
    """Slot leases of this node."""

    def held_lease(self, slot: int) -> Lease | None:
        """Returns the lease if this node may act on the slot now."""
        ...


class LeaseEvents:
    """Compares the slots held now with those held at the last check."""

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
        """Schedules the check."""
        self.timers.every("lease_events", CHECK_PERIOD_S, self.log_lost_leases)

    def log_lost_leases(self) -> None:
        """Logs the slots that were held at the last check but are not now."""
        held = {s for s in range(self.count) if self.slots.held_lease(s)}
        lost = sorted(self.held - held)
        self.held = held
        if not lost:
            return
        self.metrics.incr("slots.leases_lost", len(lost))
        log.warning(
            "slot leases lost",
            extra={"event": "lease_lost", "slots": lost},
        )
