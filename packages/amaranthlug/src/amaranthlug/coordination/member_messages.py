"""Section of members in the exchange: compact and constant in size."""

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

BEATS = 30
"""Heartbeat counters in one message."""

FRESHEST = 2 * BEATS
"""Youngest counters among which those of a message are drawn: young ones are
news to most peers, and the draw keeps two messages from being alike."""

NEWS = 6
"""Whole entries of changed members in one message."""

SAMPLE_SHARE = 0.25
"""Share of messages with the whole entry of a random member, so that all learn
of all although a piece of news was lost."""

WELCOME = 64
"""Whole entries in the reply to a node that knows under half of the members."""

BEAT_AGE_S = 6.0
"""Oldest heartbeat that is passed on, in seconds."""

AGE_UNIT_S = 0.2
"""Unit of an age in a message, in seconds; 35 of them exceed `BEAT_AGE_S`."""

DIGITS = "0123456789abcdefghijklmnopqrstuvwxyz"

SHORT = {
    MemberState.LIVE: "l",
    MemberState.SUSPECT: "l",
    MemberState.GONE: "l",
    MemberState.LEAVING: "v",
    MemberState.LEFT: "x",
}
LONG = {
    "l": MemberState.LIVE,
    "v": MemberState.LEAVING,
    "x": MemberState.LEFT,
}


def pack(member: Member, now: float) -> list[Any]:
    """Returns the wire form of a whole entry."""
    state = member.state
    if member.leaving and state != MemberState.LEFT:
        state = MemberState.LEAVING
    return [
        member.address,
        member.zone,
        member.incarnation,
        SHORT[state],
        member.heartbeat,
        round(max(0.0, now - member.heard_at), 1),
    ]


def unpack(wire: list[Any]) -> MemberEntry:
    """Parses a whole entry.

    Raises:
        ValueError, KeyError: The entry is malformed.
    """
    address, zone, incarnation, state, heartbeat, age_s = wire
    return MemberEntry(
        address, zone, incarnation, LONG[state], int(heartbeat), float(age_s)
    )


def pack_age(age_s: float) -> str:
    """Returns an age as one digit to base 36, rounded up.

    Rounding down would make a counter younger at each node it passes.
    """
    return DIGITS[min(35, max(0, math.ceil(age_s / AGE_UNIT_S)))]


def pack_count(count: int) -> str:
    """Returns a counter to base 36."""
    digits = ""
    while count:
        count, digit = divmod(count, 36)
        digits = DIGITS[digit] + digits
    return digits or "0"


class MemberSection:
    """Builds and reads the exchange section `members`."""

    def __init__(self, table: MemberTable, me: Member, rng: random.Random):
        """Takes the table that it reads and merges into."""
        self.table = table
        self.me = me
        self.rng = rng
        self.news: dict[str, int] = {}
        self.welcome = False

    def add_news(self, incarnation: str) -> None:
        """Sends a changed member in the next messages.

        The number of times grows with the logarithm of the members, which is
        what an epidemic needs to reach all with high probability.
        """
        members = len(self.table.members) + 1
        self.news[incarnation] = 3 + 3 * math.ceil(math.log2(members + 1))

    def outgoing(self, now: float) -> dict[str, Any]:
        """Returns the section of one message."""
        section: dict[str, Any] = {
            "me": pack(self.me, now),
            "count": len(self.table.members),
            "beats": self.beats(now),
        }
        entries = self.entries(now)
        if entries:
            section["entries"] = entries
        return section

    def beats(self, now: float) -> str:
        """Returns counters of recently heard members as one string."""
        fresh = [
            m
            for m in self.table.members.values()
            if now - m.heard_at < BEAT_AGE_S
            and m.is_present()
            and m is not self.me
        ]
        if len(fresh) > BEATS:
            youngest = heapq.nlargest(FRESHEST, fresh, key=lambda m: m.heard_at)
            fresh = self.rng.sample(youngest, BEATS)
        return " ".join(
            short_name(m.incarnation)
            + pack_age(now - m.heard_at)
            + pack_count(m.heartbeat)
            for m in fresh
        )

    def entries(self, now: float) -> list[list[Any]]:
        """Returns whole entries: news, a sample, or many for a newcomer."""
        members = self.table.members
        chosen = [i for i in list(self.news)[:NEWS] if i in members]
        for incarnation in list(self.news)[:NEWS]:
            self.news[incarnation] -= 1
            left = self.news.pop(incarnation)
            if left > 0:  # Moves behind the others, so that each is sent.
                self.news[incarnation] = left
        count = WELCOME if self.welcome else 0
        count += self.rng.random() < SAMPLE_SHARE
        self.welcome = False
        others = [m.incarnation for m in members.values() if m.is_present()]
        chosen += self.rng.sample(others, min(count, len(others)))
        return [
            pack(members[i], now)
            for i in dict.fromkeys(chosen)
            if i != self.me.incarnation
        ]

    def incoming(self, section: dict[str, Any], now: float) -> MemberEntry:
        """Merges a section and returns the sender's own entry."""
        sender = unpack(section["me"])
        for entry in [sender, *map(unpack, section.get("entries", []))]:
            if entry.incarnation == self.me.incarnation:
                continue
            if self.table.merge(entry, now):
                self.add_news(entry.incarnation)
        for beat in section.get("beats", "").split():
            incarnation = self.table.find_by_short_name(beat[:SHORT_CHARS])
            if incarnation not in (None, self.me.incarnation):
                age_s = int(beat[SHORT_CHARS], 36) * AGE_UNIT_S
                heartbeat = int(beat[SHORT_CHARS + 1 :], 36)
                self.table.merge_heartbeat(incarnation, heartbeat, age_s, now)
        self.welcome = 2 * section.get("count", 0) < len(self.table.members)
        return sender
