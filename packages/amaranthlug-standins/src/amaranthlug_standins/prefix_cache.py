"""Prefix cache of an engine, with events that are delayed or lost."""

import collections
import dataclasses
import time
from typing import Any

import xxhash

from amaranthlug_standins.answers import hash_fraction

BLOCK_WORDS = 16
"""Words of a cached block; only complete blocks are cached."""

MAX_EVENTS = 10_000
"""Newest events that can be read; older ones are dropped."""


@dataclasses.dataclass
class CacheEvent:
    """A change of the cache; `visible_at` is a monotonic time."""

    seq: int
    event: str
    prefix: str
    visible_at: float


class PrefixCache:
    """Cache of prefix hashes, which evicts the least recently used."""

    def __init__(
        self, max_blocks: int, lag_s: float, gap_share: float, seed: int
    ):
        """Creates an empty cache.

        Args:
            max_blocks: Capacity in blocks.
            lag_s: Seconds until an event becomes visible.
            gap_share: Share of events that are lost.
            seed: Seed for the choice of lost events.
        """
        self.max_blocks = max_blocks
        self.lag_s = lag_s
        self.gap_share = gap_share
        self.seed = seed
        self.blocks: collections.OrderedDict[str, None] = (
            collections.OrderedDict()
        )
        self.events: collections.deque[CacheEvent] = collections.deque(
            maxlen=MAX_EVENTS
        )
        self.next_seq = 0

    def store(self, scope: str, text: str) -> int:
        """Caches the blocks of a text.

        Args:
            scope: Version, because versions do not share cached blocks.
            text: All messages of a request.

        Returns:
            Words of its prefix that were cached before.
        """
        cached_words = 0
        has_missed = False
        for prefix in block_hashes(scope, text):
            if prefix in self.blocks:
                self.blocks.move_to_end(prefix)
                cached_words += 0 if has_missed else BLOCK_WORDS
                continue
            has_missed = True
            self.blocks[prefix] = None
            self.add_event("stored", prefix)
        while len(self.blocks) > self.max_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self.add_event("evicted", evicted)
        return cached_words

    def add_event(self, event: str, prefix: str) -> None:
        """Adds an event, or only uses up its number if the event is lost."""
        seq = self.next_seq
        self.next_seq += 1
        if hash_fraction(self.seed, "gap", str(seq)) < self.gap_share:
            return
        visible_at = time.monotonic() + self.lag_s
        self.events.append(CacheEvent(seq, event, prefix, visible_at))

    def list_events(self, after: int) -> list[dict[str, Any]]:
        """Returns the visible events with a number above `after`."""
        now = time.monotonic()
        return [
            {"seq": event.seq, "event": event.event, "prefix": event.prefix}
            for event in self.events
            if event.seq > after and event.visible_at <= now
        ]

    def used_share(self) -> float:
        """Returns the used share of the capacity, 0 to 1."""
        return len(self.blocks) / self.max_blocks

    def clear(self) -> None:
        """Empties the cache without events, like a restart of an engine."""
        self.blocks.clear()


def block_hashes(scope: str, text: str) -> list[str]:
    """Returns the hash of each prefix that consists of complete blocks."""
    words = text.split()
    prefix_hash = xxhash.xxh3_64(scope.encode())
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        prefix_hash.update(
            " ".join(words[start : start + BLOCK_WORDS]).encode()
        )
        hashes.append(prefix_hash.hexdigest())
    return hashes
