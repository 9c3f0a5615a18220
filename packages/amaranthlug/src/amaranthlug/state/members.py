"""Members of the fleet of nodes as one node knows them, and how they merge."""

import base64
import dataclasses
import enum
import functools

import xxhash

from amaranthlug.state.records import LogEntry, NodeJoined, NodeLeft


class MemberState(enum.StrEnum):
    """State of a member.

    `left` is final for an incarnation. `gone` is final when it is certain
    (VM list, join record, direct contact with a successor at the address);
    `gone` by silence is lifted by a newer heartbeat, so that a zone that was
    cut off needs no restart.
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
        incarnation: Unique per process start; a replaced VM on the same
            address is another member.
        heartbeat: Counter that the member raises.
        heard_at: Monotonic time when the counter last rose here, in seconds.
        leaving: The member announced that it leaves.
        final: The state cannot change any more.
        suspected_at: Monotonic time of the suspicion, in seconds.
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
        """Tells whether the member counts towards the majority's total."""
        return self.state not in (MemberState.GONE, MemberState.LEFT)


@dataclasses.dataclass(frozen=True)
class MemberEntry:
    """What one node tells another about a member; `age_s` since it was heard.

    Attributes:
        state: `live`, `leaving` or `left`; suspicion travels as a rumour.
    """

    address: str
    zone: str
    incarnation: str
    state: MemberState
    heartbeat: int
    age_s: float


SHORT_CHARS = 6
"""Characters of a short name: 32 bits, which two of 390 members share with a
chance of 2 in 100,000. Heartbeats of such a pair are not passed on."""


@functools.lru_cache(maxsize=4_096)
def short_name(incarnation: str) -> str:
    """Returns a name of fixed size for messages that carry many members."""
    digest = xxhash.xxh32_digest(incarnation.encode())
    return base64.urlsafe_b64encode(digest)[:SHORT_CHARS].decode()


class MemberTable:
    """Known members by incarnation; merging is idempotent and commutes."""

    def __init__(self, bound: int = 1_024):
        """Creates an empty table that keeps at most `bound` members."""
        self.bound = bound
        self.members: dict[str, Member] = {}
        self.incarnations_by_short_name: dict[str, set[str]] = {}

    def merge(self, entry: MemberEntry, now: float) -> bool:
        """Merges an entry; True when it is news worth passing on."""
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
        """Sets a member."""
        self.members[member.incarnation] = member
        short = short_name(member.incarnation)
        self.incarnations_by_short_name.setdefault(short, set()).add(
            member.incarnation
        )

    def find_by_short_name(self, short: str) -> str | None:
        """Returns the incarnation with a short name, None if not just one."""
        found = self.incarnations_by_short_name.get(short, set())
        return next(iter(found)) if len(found) == 1 else None

    def merge_heartbeat(
        self, incarnation: str, heartbeat: int, age_s: float, now: float
    ) -> bool:
        """Merges a heartbeat counter; True when the counter rose."""
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
        """Suspects a member that was not heard after `heartbeat`."""
        member = self.members.get(incarnation)
        if member is None or member.final or member.heartbeat > heartbeat:
            return False
        if member.state in (MemberState.SUSPECT, MemberState.GONE):
            return False
        member.state, member.suspected_at = MemberState.SUSPECT, now
        return True

    def mark_ended(self, incarnation: str, state: MemberState) -> bool:
        """Makes `gone` or `left` final; True when that is new."""
        member = self.members.get(incarnation)
        if member is None or member.final:
            return False
        member.state, member.final = state, True
        return True

    def trim(self) -> None:
        """Drops the longest unheard gone members beyond the bound."""
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
    """Incarnations that the log shows to be dead.

    A join at an address ends the one that joined there before. Members that
    have no join record on the log yet are not judged.
    """

    def __init__(self) -> None:
        """Creates an empty fold."""
        self.latest: dict[str, str] = {}
        self.addresses: dict[str, str] = {}
        self.left: set[str] = set()
        self.dead: set[str] = set()

    def apply(self, entry: LogEntry) -> None:
        """Folds `NodeJoined` and `NodeLeft`; other types are skipped."""
        record = entry.record
        if isinstance(record, NodeJoined):
            if record.incarnation in self.addresses:
                return
            before = self.latest.get(record.address)
            if before is not None:
                self.dead.add(before)
            self.latest[record.address] = record.incarnation
            self.addresses[record.incarnation] = record.address
        elif isinstance(record, NodeLeft):
            self.left.add(record.incarnation)
            self.dead.add(record.incarnation)
