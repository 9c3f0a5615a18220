"""The exchange section `members`, compact and bounded in size."""

import heapq
import math
import random
from typing import Any

from amaranthlug.state.members import (
    SHORT_CHARS,
    Member,
    MemberEntry,
    MemberState,
    MemberTable,
    short_name,
)

MAX_HEARTBEATS = 30
"""Maximum number of heartbeat counters in one message."""

RECENT_HEARTBEATS = 2 * MAX_HEARTBEATS
"""Number of most recent counters from which those of a message are drawn at
random. Recent ones are new to most peers, and the random choice makes messages
differ."""

MAX_CHANGES = 6
"""Maximum number of full entries of changed members in one message."""

SAMPLE_SHARE = 0.25
"""Fraction of messages with the full entry of a random member, so that every
node learns of every member even if a message was lost."""

NEWCOMER_ENTRIES = 64
"""Full entries in the next message after one from a node that knows less than
half of the members."""

MAX_RELAY_AGE_S = 6.0
"""Maximum age of a heartbeat that is relayed, in seconds."""

AGE_UNIT_S = 0.2
"""Unit of an age in a message, in seconds. The largest age, 35 units, exceeds
`MAX_RELAY_AGE_S`."""

DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"

CODE_BY_STATE = {
    MemberState.LIVE: "l",
    MemberState.SUSPECT: "l",
    MemberState.GONE: "l",
    MemberState.LEAVING: "v",
    MemberState.LEFT: "x",
}
STATE_BY_CODE = {
    "l": MemberState.LIVE,
    "v": MemberState.LEAVING,
    "x": MemberState.LEFT,
}


def pack_entry(member: Member, now: float) -> list[Any]:
    """Returns the wire form of a full entry."""
    state = member.state
    if member.leaving and state != MemberState.LEFT:
        state = MemberState.LEAVING
    return [
        member.address,
        member.zone,
        member.incarnation,
        CODE_BY_STATE[state],
        member.heartbeat,
        round(max(0.0, now - member.heard_at), 1),
    ]


def parse_entry(wire: list[Any]) -> MemberEntry:
    """Parses a full entry.

    Raises:
        ValueError, KeyError: The entry is malformed.
    """
    address, zone, incarnation, state, heartbeat, age_s = wire
    return MemberEntry(
        address,
        zone,
        incarnation,
        STATE_BY_CODE[state],
        int(heartbeat),
        float(age_s),
    )


def pack_age(age_s: float) -> str:
    """Returns an age as one base-36 digit, rounded up.

    Rounding down would make a counter appear younger with each relay.
    """
    return DIGITS[min(35, max(0, math.ceil(age_s / AGE_UNIT_S)))]


def to_base36(count: int) -> str:
    """Returns a counter in base 36."""
    digits = ""
    while count:
        count, digit = divmod(count, 36)
        digits = DIGITS[digit] + digits
    return digits or "0"


class MemberSection:
    """Builds and reads the exchange section `members`."""

    def __init__(self, table: MemberTable, me: Member, rng: random.Random):
        """Creates a section that reads and updates `table`."""
        self.table = table
        self.me = me
        self.rng = rng
        self.changes_to_send: dict[str, int] = {}
        self.peer_is_newcomer = False

    def add_change(self, incarnation: str) -> None:
        """Schedules a changed member to be sent in the next messages.

        The number of messages grows with the logarithm of the number of
        members, which gossip needs to reach all with high probability.
        """
        members = len(self.table.members) + 1
        self.changes_to_send[incarnation] = 3 + 3 * math.ceil(
            math.log2(members + 1)
        )

    def outgoing(self, now: float) -> dict[str, Any]:
        """Returns the section of one message."""
        section: dict[str, Any] = {
            "me": pack_entry(self.me, now),
            "count": len(self.table.members),
            "beats": self.heartbeats(now),
        }
        entries = self.entries(now)
        if entries:
            section["entries"] = entries
        return section

    def heartbeats(self, now: float) -> str:
        """Returns heartbeats of recently heard members as one string."""
        recent = [
            m
            for m in self.table.members.values()
            if now - m.heard_at < MAX_RELAY_AGE_S
            and m.is_present()
            and m is not self.me
        ]
        if len(recent) > MAX_HEARTBEATS:
            most_recent = heapq.nlargest(
                RECENT_HEARTBEATS, recent, key=lambda m: m.heard_at
            )
            recent = self.rng.sample(most_recent, MAX_HEARTBEATS)
        return " ".join(
            short_name(m.incarnation)
            + pack_age(now - m.heard_at)
            + to_base36(m.heartbeat)
            for m in recent
        )

    def entries(self, now: float) -> list[list[Any]]:
        """Returns full entries of changed and of randomly chosen members.

        Many are chosen if the last peer knew few members.
        """
        members = self.table.members
        chosen = [
            i for i in list(self.changes_to_send)[:MAX_CHANGES] if i in members
        ]
        for incarnation in list(self.changes_to_send)[:MAX_CHANGES]:
            self.changes_to_send[incarnation] -= 1
            remaining = self.changes_to_send.pop(incarnation)
            if remaining > 0:  # Moves to the end, so that each gets sent.
                self.changes_to_send[incarnation] = remaining
        count = NEWCOMER_ENTRIES if self.peer_is_newcomer else 0
        count += self.rng.random() < SAMPLE_SHARE
        self.peer_is_newcomer = False
        others = [m.incarnation for m in members.values() if m.is_present()]
        chosen += self.rng.sample(others, min(count, len(others)))
        return [
            pack_entry(members[i], now)
            for i in dict.fromkeys(chosen)
            if i != self.me.incarnation
        ]

    def incoming(self, section: dict[str, Any], now: float) -> MemberEntry:
        """Merges a section and returns the sender's own entry.

        Raises:
            ValueError, KeyError: The section is malformed.
        """
        sender = parse_entry(section["me"])
        for entry in [sender, *map(parse_entry, section.get("entries", []))]:
            if entry.incarnation == self.me.incarnation:
                continue
            if self.table.merge(entry, now):
                self.add_change(entry.incarnation)
        for encoded in section.get("beats", "").split():
            incarnation = self.table.find_by_short_name(encoded[:SHORT_CHARS])
            if incarnation not in (None, self.me.incarnation):
                age_s = int(encoded[SHORT_CHARS], 36) * AGE_UNIT_S
                heartbeat = int(encoded[SHORT_CHARS + 1 :], 36)
                self.table.merge_heartbeat(incarnation, heartbeat, age_s, now)
        self.peer_is_newcomer = 2 * section.get("count", 0) < len(
            self.table.members
        )
        return sender
