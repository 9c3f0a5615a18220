"""Availability zones whose servers must get no requests."""

import logging
from collections.abc import Callable

log = logging.getLogger(__name__)


class ZoneEvacuations:
    """The zones that an operator has ordered to be evacuated.

    Attributes:
        zones: Zone -> offset of its order in the operator's topic; -1 if the
            order is missing in an older copy to which the store returned.
        released: Zones that were taken back, which an older copy of the store
            does not evacuate again.
        receive_release: Called with each zone that is taken back.
    """

    def __init__(self) -> None:
        """Creates a register without an evacuated zone."""
        self.zones: dict[str, int] = {}
        self.released: set[str] = set()
        self.receive_release: Callable[[str], None] = lambda zone: None

    def is_evacuated(self, zone: str) -> bool:
        """Returns whether servers of a zone must get no request."""
        return zone in self.zones

    def evacuate(self, zone: str, offset: int) -> bool:
        """Applies an order; returns whether it changed anything."""
        if self.zones.get(zone, -2) >= offset:
            return False
        is_new = zone not in self.zones
        self.zones[zone] = offset
        self.released.discard(zone)
        if is_new:
            log.warning(
                "zone %s is evacuated: its servers get no more requests",
                zone,
                extra={"event": "zone_evacuated", "zone": zone},
            )
        return is_new

    def release(self, zone: str) -> bool:
        """Takes a zone back; returns whether it was evacuated until then."""
        if zone not in self.zones:
            return False
        del self.zones[zone]
        self.released.add(zone)
        log.warning(
            "zone %s is no longer evacuated",
            zone,
            extra={"event": "zone_released", "zone": zone},
        )
        self.receive_release(zone)
        return True

    def keep_only(self, ordered: set[str]) -> None:
        """Takes back the zones that no order names any more."""
        for zone in [zone for zone in self.zones if zone not in ordered]:
            self.release(zone)

    def restore(self, zone: str, offset: int) -> bool:
        """Applies an order of an older copy of the store.

        Returns whether it is in force: a zone that was taken back since the
        copy was made stays so until the operator orders it again.
        """
        if zone in self.released:
            return False
        if zone in self.zones:
            self.zones[zone] = offset
            return True
        return self.evacuate(zone, offset)

    def begin_restore(self) -> None:
        """Forgets offsets, which an older copy gives out again.

        Zones that the copy lacks stay evacuated until their order is removed.
        """
        self.zones = dict.fromkeys(self.zones, -1)
