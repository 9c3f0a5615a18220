"""Requests and prompt parts under which servers ended, known to one node."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable, Iterable

SUSPICION_LIFETIME_S = 600.0
"""Time from the first crash to the end of a suspicion, in seconds."""

MAX_SUSPECTS = 10_000
"""Maximum number of digests; the oldest ones are dropped."""

MAX_REQUESTS = 16
"""Most requests that are kept for a part of a prompt; the smallest digests, so
that all nodes keep the same ones."""


FactSize = tuple[int, int, int]
"""Numbers of crashes, of those cleared and of requests; they only rise."""


@dataclasses.dataclass(frozen=True)
class SuspectFact:
    """What nodes tell each other of a suspect.

    Attributes:
        digest: Digest of the request, or name of the part of a prompt.
        crashes: Names of the crashes during the request.
        cleared: Those of them that the request was cleared of.
        age_s: Time since the first crash, in seconds.
        requests: Digests of requests with a part, at most `MAX_REQUESTS`.
        depth: Position of a part in its prompt, None for a request.
    """

    digest: str
    crashes: list[str]
    cleared: list[str]
    age_s: float = 0.0
    requests: list[str] = dataclasses.field(default_factory=list)
    depth: int | None = None


@dataclasses.dataclass
class Suspect:
    """Crashes during a request, and those that it was cleared of.

    Attributes:
        suspected_at_s: Clock at the first crash, in seconds.
        changed_at_s: Clock when this node learned the last of it, in seconds.
        requests: Digests of requests with a part.
        depth: Position of a part in its prompt, None for a request.
    """

    suspected_at_s: float
    changed_at_s: float
    crashes: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)
    requests: set[str] = dataclasses.field(default_factory=set)
    depth: int | None = None

    def size(self) -> FactSize:
        """Returns a value that rises with each fact that is new."""
        return len(self.crashes), len(self.cleared), len(self.requests)

    def add(self, fact: SuspectFact) -> None:
        """Adds what a fact says."""
        self.crashes.update(fact.crashes)
        self.cleared.update(fact.cleared)
        self.requests = smallest(self.requests, fact.requests)
        self.depth = fact.depth

    def uncleared_crashes(self) -> int:
        """Returns the number of crashes the request was not cleared of."""
        return len(self.crashes - self.cleared)


def smallest(known: Iterable[str], more: Iterable[str]) -> set[str]:
    """Returns the smallest of two sets of digests, at most `MAX_REQUESTS`."""
    return set(sorted({*known, *more})[:MAX_REQUESTS])


class SuspectTable:
    """Suspects by digest.

    Facts are only ever added, so they may arrive in any order and repeatedly.
    """

    def __init__(self, now: Callable[[], float], crashes_to_block: int):
        """Creates an empty table.

        Args:
            now: Returns seconds.
            crashes_to_block: Uncleared crashes from which a request is blocked.
        """
        self.now = now
        self.crashes_to_block = crashes_to_block
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()

    def __len__(self) -> int:
        """Returns the number of suspects that were not dropped."""
        return len(self.suspects)

    def size(self, digest: str) -> FactSize:
        """Returns how much is known of a suspect; zeros if nothing is."""
        suspect = self.suspects.get(digest)
        return suspect.size() if suspect else (0, 0, 0)

    def merge(self, fact: SuspectFact) -> bool:
        """Adds a fact; returns whether it was new."""
        if fact.age_s > SUSPICION_LIFETIME_S:
            return False
        now = self.now()
        since = now - fact.age_s
        suspect = self.find(fact.digest)
        if suspect is None:
            suspect = self.suspects[fact.digest] = Suspect(since, now)
            self.suspects.move_to_end(fact.digest)
            if len(self.suspects) > MAX_SUSPECTS:
                self.suspects.popitem(last=False)
        before = suspect.size()
        suspect.suspected_at_s = min(suspect.suspected_at_s, since)
        suspect.add(fact)
        is_new = before != suspect.size()
        if is_new:
            suspect.changed_at_s = now
        return is_new

    def drop_expired(self) -> None:
        """Forgets the suspects whose suspicion has expired."""
        for digest, suspect in list(self.suspects.items()):
            if self.remaining_s(suspect) < 0:
                del self.suspects[digest]

    def clear_all(self, crashes: Iterable[str]) -> None:
        """Clears all suspects of crashes whose cause has expired."""
        explained = set(crashes)
        for suspect in self.suspects.values():
            suspect.cleared |= suspect.crashes & explained

    def find(self, digest: str) -> Suspect | None:
        """Returns a suspect whose suspicion has not expired."""
        suspect = self.suspects.get(digest)
        if suspect is None or self.remaining_s(suspect) < 0:
            return None
        return suspect

    def remaining_s(self, suspect: Suspect) -> float:
        """Returns the time to the end of a suspicion, in seconds."""
        return suspect.suspected_at_s + SUSPICION_LIFETIME_S - self.now()

    def age_s(self, suspect: Suspect) -> float:
        """Returns the time since the first crash, in tenths of a second."""
        return round(self.now() - suspect.suspected_at_s, 1)

    def uncleared_crashes(self, digest: str) -> int:
        """Returns the number of crashes a request was not cleared of."""
        suspect = self.find(digest)
        return suspect.uncleared_crashes() if suspect else 0

    def is_suspected(self, digest: str) -> bool:
        """Returns whether a request may have crashed a server."""
        return self.uncleared_crashes(digest) > 0

    def is_blocked(self, digest: str) -> bool:
        """Returns whether a request must reach no further server."""
        return self.uncleared_crashes(digest) >= self.crashes_to_block

    def digests_of(self, crash: str) -> list[str]:
        """Returns the digests that were not cleared of a crash."""
        return [
            digest
            for digest, suspect in self.suspects.items()
            if crash in suspect.crashes - suspect.cleared
        ]

    def fact(self, digest: str) -> SuspectFact | None:
        """Returns all that is known of a suspect."""
        suspect = self.find(digest)
        if suspect is None:
            return None
        return SuspectFact(
            digest,
            sorted(suspect.crashes),
            sorted(suspect.cleared),
            self.now() - suspect.suspected_at_s,
            sorted(suspect.requests),
            suspect.depth,
        )

    def recent_facts(
        self, changed_within_s: float, most: int
    ) -> list[SuspectFact]:
        """Returns blocked and recently changed suspects, blocked ones first."""
        now = self.now()
        chosen = sorted(
            (
                digest
                for digest, suspect in self.suspects.items()
                if self.is_blocked(digest)
                or now - suspect.changed_at_s <= changed_within_s
            ),
            key=self.uncleared_crashes,
            reverse=True,
        )
        return self.facts(chosen[:most])

    def facts(self, digests: list[str]) -> list[SuspectFact]:
        """Returns all that is known of those of `digests` that are suspects."""
        found = (self.fact(digest) for digest in digests)
        return [fact for fact in found if fact is not None]


def merge_facts(parts: Iterable[list[SuspectFact]]) -> list[SuspectFact]:
    """Combines what several nodes know, one fact for each digest."""
    merged: dict[str, SuspectFact] = {}
    for fact in (fact for part in parts for fact in part):
        known = merged.get(fact.digest, fact)
        merged[fact.digest] = SuspectFact(
            fact.digest,
            sorted({*known.crashes, *fact.crashes}),
            sorted({*known.cleared, *fact.cleared}),
            max(known.age_s, fact.age_s),
            sorted(smallest(known.requests, fact.requests)),
            fact.depth,
        )
    return list(merged.values())
