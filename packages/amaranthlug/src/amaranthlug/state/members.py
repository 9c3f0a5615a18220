"""Fleet members as known to one node, and the merge of membership reports."""

import base64
import dataclasses
import enum
import functools

import xxhash

from amaranthlug.state.records import LogEntry, NodeJoined, NodeLeft


class MemberState(enum.StrEnum):
    """State of a member.

    `left` is final for an incarnation. `gone` is final if it is certain, from
    the VM list, a join record or contact with a newer process at the address.
    `gone` because of missing heartbeats is reset by a newer heartbeat, so that
    nodes of a zone that was cut off need no restart.
    """

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    GONE = "gone"


@dataclasses.dataclass
class Member:
    """One node process.

    Attributes:
        address: `host:port`.
        incarnation: Identifier of one process start; a replaced VM at the same
            address is another member.
        heartbeat: Counter that the member increments.
        heard_at: Monotonic time at which this node last saw the counter
            increase, in seconds.
        leaving: The member announced that it is shutting down.
        final: The state can no longer change.
        suspected_at: Monotonic time at which it became suspect, in seconds.
        confirmed: Indirect probes failed too.
    """

    address: str
    zone: str
    incarnation: str
    state: MemberState = MemberState.LIVE
    heartbeat: int = 0
    heard_at: float = 0.0
    leaving: bool = False
    final: bool = False
    suspected_at: float = 0.0
    confirmed: bool = False

    def is_present(self) -> bool:
        """Returns whether the member has neither left nor gone.

        Such members form the total of which a majority is needed.
        """
        return self.state not in (MemberState.GONE, MemberState.LEFT)


@dataclasses.dataclass(frozen=True)
class MemberEntry:
    """Report of one node to another about a member.

    Attributes:
        state: `live`, `leaving` or `left`; suspicions are sent as rumours.
        age_s: Seconds since the sender saw the heartbeat increase.
    """

    address: str
    zone: str
    incarnation: str
    state: MemberState
    heartbeat: int
    age_s: float


SHORT_CHARS = 6
"""Characters of a short name, which encode 32 bits. Two of 390 members have the
same name with a probability of 2 in 100,000. Heartbeats of such members are not
relayed."""


@functools.lru_cache(maxsize=4_096)
def short_name(incarnation: str) -> str:
    """Returns a short hash, for messages that list many members."""
    digest = xxhash.xxh32_digest(incarnation.encode())
    return base64.urlsafe_b64encode(digest)[:SHORT_CHARS].decode()


class MemberTable:
    """Known members by incarnation; merging is idempotent and commutative."""

    def __init__(self, bound: int = 1_024):
        """Creates an empty table of at most `bound` members."""
        self.bound = bound
        self.members: dict[str, Member] = {}
        self.incarnations_by_short_name: dict[str, set[str]] = {}

    def merge(self, entry: MemberEntry, now: float) -> bool:
        """Merges a report; returns whether to relay it to other nodes."""
        member = self.members.get(entry.incarnation)
        if member is None:
            if entry.state == MemberState.LEFT:
                return False
            self.add(entry, now)
            return True
        if member.final:
            return False
        if entry.state == MemberState.LEFT:
            member.state, member.final = MemberState.LEFT, True
            return True
        self.merge_heartbeat(
            entry.incarnation, entry.heartbeat, entry.age_s, now
        )
        if entry.state == MemberState.LEAVING and not member.leaving:
            member.leaving = True
            if member.state == MemberState.LIVE:
                member.state = MemberState.LEAVING
            return True
        return False

    def add(self, entry: MemberEntry, now: float) -> None:
        """Adds an unknown member."""
        leaving = entry.state == MemberState.LEAVING
        self.insert(
            Member(
                entry.address,
                entry.zone,
                entry.incarnation,
                MemberState.LEAVING if leaving else MemberState.LIVE,
                entry.heartbeat,
                now - entry.age_s,
                leaving,
            )
        )
        self.trim()

    def insert(self, member: Member) -> None:
        """Stores a member and indexes its short name."""
        self.members[member.incarnation] = member
        short = short_name(member.incarnation)
        self.incarnations_by_short_name.setdefault(short, set()).add(
            member.incarnation
        )

    def find_by_short_name(self, short: str) -> str | None:
        """Returns the only incarnation with a short name, or None."""
        matches = self.incarnations_by_short_name.get(short, set())
        return next(iter(matches)) if len(matches) == 1 else None

    def merge_heartbeat(
        self, incarnation: str, heartbeat: int, age_s: float, now: float
    ) -> bool:
        """Merges a heartbeat counter; returns whether it increased."""
        member = self.members.get(incarnation)
        if member is None or member.final or heartbeat <= member.heartbeat:
            return False
        member.heartbeat = heartbeat
        member.heard_at = max(member.heard_at, now - age_s)
        member.confirmed = False
        member.state = (
            MemberState.LEAVING if member.leaving else MemberState.LIVE
        )
        return True

    def suspect(self, incarnation: str, heartbeat: int, now: float) -> bool:
        """Marks a member without a heartbeat after `heartbeat` as suspect.

        Returns whether the state changed.
        """
        member = self.members.get(incarnation)
        if member is None or member.final or member.heartbeat > heartbeat:
            return False
        if member.state in (MemberState.SUSPECT, MemberState.GONE):
            return False
        member.state, member.suspected_at = MemberState.SUSPECT, now
        return True

    def mark_ended(self, incarnation: str, state: MemberState) -> bool:
        """Makes `gone` or `left` final; returns whether that is a change."""
        member = self.members.get(incarnation)
        if member is None or member.final:
            return False
        member.state, member.final = state, True
        return True

    def trim(self) -> None:
        """Drops ended members beyond the bound, the least recent first."""
        excess = len(self.members) - self.bound
        if excess <= 0:
            return
        ended = [m for m in self.members.values() if not m.is_present()]
        for member in sorted(ended, key=lambda m: m.heard_at)[:excess]:
            del self.members[member.incarnation]
            short = short_name(member.incarnation)
            self.incarnations_by_short_name[short].discard(member.incarnation)
            if not self.incarnations_by_short_name[short]:
                del self.incarnations_by_short_name[short]


class JoinHistory:
    """Incarnations that have ended according to the log.

    A join at an address shows that the previous incarnation there has ended.
    Nothing is known about members without a join record.
    """

    def __init__(self) -> None:
        """Creates an empty history."""
        self.latest: dict[str, str] = {}
        self.addresses: dict[str, str] = {}
        self.left: set[str] = set()
        self.dead: set[str] = set()

    def apply(self, entry: LogEntry) -> None:
        """Applies a log entry; only joins and leaves have an effect."""
        record = entry.record
        if isinstance(record, NodeJoined):
            if record.incarnation in self.addresses:
                return
            previous = self.latest.get(record.address)
            if previous is not None:
                self.dead.add(previous)
            self.latest[record.address] = record.incarnation
            self.addresses[record.incarnation] = record.address
        elif isinstance(record, NodeLeft):
            self.left.add(record.incarnation)
            self.dead.add(record.incarnation)
