"""Shares of a limit that holds over all nodes.

Shares of all nodes that know the same demand add up to the limit. What the
demand leaves over is split evenly, so that each node can admit at once what
arrives before the next exchange.
"""

import dataclasses
import math

SHRINK_AFTER_S = 2.5
"""Age of the last exchange from which a share shrinks, in seconds; two missed
periods and jitter are usual."""

SHRINK_FOR_S = 5.0
"""Time in which a share shrinks to its least value, in seconds."""

RATE_WINDOW_S = 1.0
"""Time constant of measured rates, in seconds."""


def rate_share(limit: float, own: float, others: float, nodes: int) -> float:
    """Returns one node's share of a rate.

    Args:
        limit: Limit over all nodes.
        own: Demand at this node.
        others: Demand at all other nodes.
        nodes: Number of nodes.
    """
    total = own + others
    if total > limit:
        return limit * own / total
    return own + (limit - total) / nodes


@dataclasses.dataclass(frozen=True)
class CountDemand:
    """Demand of a count, such as concurrent streams.

    Attributes:
        active: Units in use, which cannot be taken back.
        waiting: Units just refused.
    """

    active: float
    waiting: float


def count_share(
    limit: int, own: CountDemand, others: CountDemand, nodes: int, rank: int
) -> int:
    """Returns how many units one node may have in use.

    Only what is free is shared by demand, because units in use stay in use
    when the demand moves to another node.

    Args:
        limit: Limit over all nodes.
        own: Demand at this node.
        others: Demand at all other nodes.
        nodes: Number of nodes.
        rank: Place of this node, from 0; the first ones get what cannot be
            split evenly.
    """
    free = max(0.0, limit - own.active - others.active)
    waiting = own.waiting + others.waiting
    if waiting > free:
        return math.floor(own.active + free * own.waiting / waiting)
    left = math.floor(free - waiting)
    extra = 1 if rank < left % nodes else 0
    return math.floor(own.active + own.waiting) + left // nodes + extra


def aged_share(share: float, limit: float, nodes: int, age_s: float) -> float:
    """Returns a share that shrinks with the age of the last exchange.

    It ends at an even part of the limit or at the share itself if that is
    less: nodes that all lost each other then still keep the limit together.
    """
    least = min(share, limit / nodes)
    passed = (age_s - SHRINK_AFTER_S) / SHRINK_FOR_S
    return share - (share - least) * min(1.0, max(0.0, passed))


@dataclasses.dataclass
class DecayingRate:
    """Rate of events, in units per second, over the last seconds."""

    value: float = 0.0
    at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Counts units at a monotonic time."""
        self.value = self.read(now) + units / RATE_WINDOW_S
        self.at = now

    def read(self, now: float) -> float:
        """Returns the rate at a monotonic time."""
        return self.value * math.exp(-(now - self.at) / RATE_WINDOW_S)


@dataclasses.dataclass
class TokenBucket:
    """Token bucket that may go into debt by one request.

    A request is admitted while the balance is above 0 and then charged whole,
    so that a single large request is possible and the long-run rate holds.
    """

    balance: float = 0.0
    at: float | None = None

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Adds what a rate gives since the last refill, up to `burst`."""
        passed = burst / rate if self.at is None and rate else 0.0
        if self.at is not None:
            passed = now - self.at
        self.balance = min(burst, self.balance + rate * passed)
        self.at = now

    def wait_s(self, rate: float) -> float:
        """Returns seconds until the balance is above 0."""
        if self.balance > 0:
            return 0.0
        return math.inf if rate <= 0 else -self.balance / rate
