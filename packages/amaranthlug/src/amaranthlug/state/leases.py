"""Slot leases: a pure fold of `LeaseClaim` records by compare and set."""

import dataclasses
from collections.abc import Iterable

import xxhash

from amaranthlug.state.members import Member
from amaranthlug.state.records import LeaseClaim, LogEntry

KEY_SLOTS = 64
"""Slots that keys hash to."""

DRIVER_SLOT = 64
"""Lease of the roll-out driver; nothing is copied for it."""

SNAPSHOT_SLOT = 65
"""Lease of the snapshot writer; nothing is copied for it."""

ALL_SLOTS = 66
"""Number of leases."""

NO_LEASE = -1
"""Offset that a first claim replaces."""


def slot_of(scope: str, key: str) -> int:
    """Returns the slot of a key; scope is `session|ORG` or `run|ORG`."""
    return xxhash.xxh3_64_intdigest(f"{scope}|{key}".encode()) % KEY_SLOTS


def rendezvous(topic: str, members: Iterable[Member]) -> list[Member]:
    """Returns members in rendezvous-hashing order, highest first."""

    def weight(member: Member) -> int:
        text = f"{topic}|{member.incarnation}"
        return xxhash.xxh3_64_intdigest(text.encode())

    return sorted(members, key=weight, reverse=True)


@dataclasses.dataclass(frozen=True)
class Lease:
    """An accepted lease; `offset` is its fencing token.

    Attributes:
        replaces: Offset of the lease before, -1 for none.
        anchored: The lease before was seen, or there was none.
    """

    slot: int
    offset: int
    owner: str
    successors: tuple[str, ...]
    replaces: int
    takeover: bool
    anchored: bool = True


class LeaseTable:
    """Newest accepted lease of each slot; every reader reaches the same.

    A reader whose log begins after a lease was written trusts the newest claim
    that replaces an offset before its first record. Owners write their leases
    anew well within the time that the log keeps records.
    """

    def __init__(self) -> None:
        """Creates an empty fold."""
        self.first: int | None = None
        self.leases: dict[int, Lease] = {}

    def apply(self, entry: LogEntry) -> list[Lease]:
        """Folds a record and returns the leases that it created."""
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
            trusted = self.is_trusted(current, replaces)
            if replaces != newest and not trusted:
                continue
            lease = Lease(
                slot,
                entry.offset,
                claim.owner,
                tuple(claim.successors),
                replaces,
                claim.takeover,
                anchored=not trusted,
            )
            self.leases[slot] = lease
            accepted.append(lease)
        return accepted

    def is_trusted(self, current: Lease | None, replaces: int) -> bool:
        """Tells whether a claim continues leases from before the log begins."""
        if self.first is None or not 0 <= replaces < self.first:
            return False
        return current is None or not current.anchored

    def owned_by(self, incarnation: str) -> list[Lease]:
        """Returns the leases of an owner."""
        return [x for x in self.leases.values() if x.owner == incarnation]


def choose_successors(
    owner: Member, live: list[Member], prefer: Iterable[str] = ()
) -> tuple[str, ...]:
    """Returns two members to hold copies, in other zones where possible.

    Those in `prefer` come first among equals, since they have the tables.
    """
    others = [m for m in live if m.incarnation != owner.incarnation]
    preferred = set(prefer)
    order = rendezvous(f"successors|{owner.incarnation}", others)
    order.sort(key=lambda m: m.incarnation not in preferred)
    chosen: list[Member] = []
    for _ in range(2):
        used = [m.zone for m in chosen]
        left = [m for m in order if m not in chosen]
        # A zone of its own is best, then any zone but the owner's.
        left.sort(
            key=lambda m: (m.zone == owner.zone, m.zone in used),
        )
        chosen += left[:1]
    return tuple(m.incarnation for m in chosen)


def distribute_slots(
    slots: Iterable[int], live: list[Member]
) -> dict[int, str]:
    """Spreads slots evenly over members, alternating between zones."""
    by_zone: dict[str, list[Member]] = {}
    for member in sorted(live, key=lambda m: m.incarnation):
        by_zone.setdefault(member.zone, []).append(member)
    zones = [by_zone[zone] for zone in sorted(by_zone)]
    longest = max((len(zone) for zone in zones), default=0)
    order = [zone[i] for i in range(longest) for zone in zones if i < len(zone)]
    if not order:
        return {}
    return {slot: order[slot % len(order)].incarnation for slot in slots}
