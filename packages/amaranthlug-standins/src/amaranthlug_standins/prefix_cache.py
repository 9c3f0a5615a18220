"""Prefix cache of an engine, with events that come late and with gaps."""

import collections
import dataclasses
import time
from typing import Any

import xxhash

from amaranthlug_standins.answers import hash_fraction

BLOCK_WORDS = 16
"""Words of one cached block; a prefix counts in whole blocks."""

MAX_EVENTS = 10_000
"""Events kept for readers; older ones are dropped."""


@dataclasses.dataclass
class CacheEvent:
    """A change of the cache, shown to readers from `due` on."""

    seq: int
    event: str
    prefix: str
    due: float


class PrefixCache:
    """Cached prefixes in least-recently-used order."""

    def __init__(
        self, max_blocks: int, lag_s: float, gap_share: float, seed: int
    ):
        """Creates an empty cache."""
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
        """Caches a text's blocks and returns how many words were cached.

        Args:
            scope: Version, because caches of versions are not shared.
            text: All messages of a request.
        """
        cached = 0
        missed = False
        for prefix in block_hashes(scope, text):
            if prefix in self.blocks:
                self.blocks.move_to_end(prefix)
                cached += 0 if missed else BLOCK_WORDS
                continue
            missed = True
            self.blocks[prefix] = None
            self.publish("stored", prefix)
        while len(self.blocks) > self.max_blocks:
            evicted, _ = self.blocks.popitem(last=False)
            self.publish("evicted", evicted)
        return cached

    def publish(self, event: str, prefix: str) -> None:
        """Queues an event, or leaves a gap in the numbers."""
        seq = self.next_seq
        self.next_seq += 1
        if hash_fraction(self.seed, "gap", str(seq)) < self.gap_share:
            return
        due = time.monotonic() + self.lag_s
        self.events.append(CacheEvent(seq, event, prefix, due))

    def shown(self, after: int) -> list[dict[str, Any]]:
        """Returns due events with a number above `after`."""
        now = time.monotonic()
        return [
            {"seq": event.seq, "event": event.event, "prefix": event.prefix}
            for event in self.events
            if event.seq > after and event.due <= now
        ]

    def used(self) -> float:
        """Returns the used share, 0 to 1."""
        return len(self.blocks) / self.max_blocks

    def clear(self) -> None:
        """Empties the cache without events, as a restart does."""
        self.blocks.clear()


def block_hashes(scope: str, text: str) -> list[str]:
    """Returns the hash of each prefix of whole blocks."""
    words = text.split()
    running = xxhash.xxh3_64(scope.encode())
    hashes = []
    for start in range(0, len(words) - BLOCK_WORDS + 1, BLOCK_WORDS):
        running.update(" ".join(words[start : start + BLOCK_WORDS]).encode())
        hashes.append(running.hexdigest())
    return hashes
