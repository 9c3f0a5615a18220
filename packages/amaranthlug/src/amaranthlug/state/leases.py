"""Slot leases, computed from `LeaseClaim` records by compare-and-set."""

import dataclasses
from collections.abc import Iterable

import xxhash

from amaranthlug.state.members import Member
from amaranthlug.state.records import LeaseClaim, LogEntry

KEY_SLOTS = 64
"""Number of slots that keys are hashed to."""

DRIVER_SLOT = 64
"""Slot of the roll-out driver; it has no rows to replicate."""

SNAPSHOT_SLOT = 65
"""Slot of the snapshot writer; it has no rows to replicate."""

ALL_SLOTS = 66
"""Number of all slots."""

NO_LEASE = -1
"""Value of `replaces` in the first claim of a slot."""


def slot_of(scope: str, key: str) -> int:
    """Returns the slot of a key; `scope` is `session|ORG` or `run|ORG`."""
    return xxhash.xxh3_64_intdigest(f"{scope}|{key}".encode()) % KEY_SLOTS


def rendezvous(topic: str, members: Iterable[Member]) -> list[Member]:
    """Returns members by rendezvous hash of a topic, highest first."""

    def weight(member: Member) -> int:
        text = f"{topic}|{member.incarnation}"
        return xxhash.xxh3_64_intdigest(text.encode())

    return sorted(members, key=weight, reverse=True)


@dataclasses.dataclass(frozen=True)
class Lease:
    """An accepted lease; `offset` is its fencing token.

    Attributes:
        replaces: Offset of the previous lease, -1 for none.
        is_predecessor_known: The reader saw the previous lease, or there
            was none.
    """

    slot: int
    offset: int
    owner: str
    successors: tuple[str, ...]
    replaces: int
    takeover: bool
    is_predecessor_known: bool = True


class LeaseTable:
    """Newest accepted lease of each slot; equal for all readers of the log.

    A reader whose log starts after a lease was written accepts the newest claim
    that replaces an offset before its first record. Owners renew their leases
    well within the retention time of the log.
    """

    def __init__(self) -> None:
        """Creates a table without leases."""
        self.first: int | None = None
        self.leases: dict[int, Lease] = {}

    def apply(self, entry: LogEntry) -> list[Lease]:
        """Applies a log entry and returns the leases that it created."""
        if self.first is None:
            self.first = entry.offset
        claim = entry.record
        if not isinstance(claim, LeaseClaim):
            return []
        accepted = []
        for slot, replaces in claim.slots.items():
            if not 0 <= slot < ALL_SLOTS:
                continue
            current = self.leases.get(slot)
            newest = current.offset if current else NO_LEASE
            is_unseen = self.continues_unseen_lease(current, replaces)
            if replaces != newest and not is_unseen:
                continue
            lease = Lease(
                slot,
                entry.offset,
                claim.owner,
                tuple(claim.successors),
                replaces,
                claim.takeover,
                is_predecessor_known=not is_unseen,
            )
            self.leases[slot] = lease
            accepted.append(lease)
        return accepted

    def continues_unseen_lease(
        self, current: Lease | None, replaces: int
    ) -> bool:
        """Returns whether a claim replaces a lease from before the first entry.

        Returns False once the slot has a lease whose predecessor is known.
        """
        if self.first is None or not 0 <= replaces < self.first:
            return False
        return current is None or not current.is_predecessor_known

    def owned_by(self, incarnation: str) -> list[Lease]:
        """Returns the leases of a node incarnation."""
        return [x for x in self.leases.values() if x.owner == incarnation]


def choose_successors(
    owner: Member, live: list[Member], prefer: Iterable[str] = ()
) -> tuple[str, ...]:
    """Returns up to two members to hold replicas, in other zones if possible.

    Among members that are equal by zone, those in `prefer` come first, because
    they already hold the tables.
    """
    others = [m for m in live if m.incarnation != owner.incarnation]
    preferred = set(prefer)
    order = rendezvous(f"successors|{owner.incarnation}", others)
    order.sort(key=lambda m: m.incarnation not in preferred)
    chosen: list[Member] = []
    for _ in range(2):
        used = [m.zone for m in chosen]
        remaining = [m for m in order if m not in chosen]
        # Prefer an unused zone, then any zone other than the owner's.
        remaining.sort(
            key=lambda m: (m.zone == owner.zone, m.zone in used),
        )
        chosen += remaining[:1]
    return tuple(m.incarnation for m in chosen)


def distribute_slots(
    slots: Iterable[int], live: list[Member]
) -> dict[int, str]:
    """Assigns slots evenly to members, alternating between zones."""
    by_zone: dict[str, list[Member]] = {}
    for member in sorted(live, key=lambda m: m.incarnation):
        by_zone.setdefault(member.zone, []).append(member)
    zones = [by_zone[zone] for zone in sorted(by_zone)]
    longest = max((len(zone) for zone in zones), default=0)
    order = [zone[i] for i in range(longest) for zone in zones if i < len(zone)]
    if not order:
        return {}
    return {slot: order[slot % len(order)].incarnation for slot in slots}
