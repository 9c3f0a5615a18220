"""Divides a limit over all nodes into shares of single nodes.

If all nodes know the same demand, their shares add up to the limit. Capacity
beyond the demand is split evenly, so that each node can admit new requests that
arrive before the next exchange.
"""

import dataclasses
import math

SHRINK_AFTER_S = 2.5
"""Age of the last exchange above which a share shrinks, in seconds. Two missed
periods plus jitter are normal."""

SHRINK_FOR_S = 5.0
"""Time in which a share shrinks to its minimum, in seconds."""

RATE_WINDOW_S = 1.0
"""Time constant of the exponential decay of rates, in seconds."""


def rate_share(limit: float, own: float, others: float, nodes: int) -> float:
    """Returns the share of a rate limit for one node.

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
    """Demand for a counted resource, such as concurrent streams.

    Attributes:
        active: Units in use, which cannot be revoked.
        waiting: Units refused recently.
    """

    active: float
    waiting: float


def count_share(
    limit: int, own: CountDemand, others: CountDemand, nodes: int, rank: int
) -> int:
    """Returns the number of units that one node may have in use.

    Only free units are divided by demand, because units in use stay in use when
    the demand moves to another node.

    Args:
        limit: Limit over all nodes.
        own: Demand at this node.
        others: Demand at all other nodes.
        nodes: Number of nodes.
        rank: Index of this node in the order of nodes, from 0. The first nodes
            receive the remainder of the even split.
    """
    free = max(0.0, limit - own.active - others.active)
    waiting = own.waiting + others.waiting
    if waiting > free:
        return math.floor(own.active + free * own.waiting / waiting)
    spare = math.floor(free - waiting)
    extra = 1 if rank < spare % nodes else 0
    return math.floor(own.active + own.waiting) + spare // nodes + extra


def aged_share(share: float, limit: float, nodes: int, age_s: float) -> float:
    """Returns a share reduced by the age of the last exchange.

    The minimum is an even part of the limit, or the share itself if that is
    smaller, so that nodes that cannot reach each other stay within the limit
    together.
    """
    minimum = min(share, limit / nodes)
    progress = (age_s - SHRINK_AFTER_S) / SHRINK_FOR_S
    return share - (share - minimum) * min(1.0, max(0.0, progress))


@dataclasses.dataclass
class DecayingRate:
    """Exponentially decaying rate of events, in units per second."""

    value: float = 0.0
    at: float = 0.0

    def add(self, units: float, now: float) -> None:
        """Adds units at a monotonic time."""
        self.value = self.read(now) + units / RATE_WINDOW_S
        self.at = now

    def read(self, now: float) -> float:
        """Returns the rate at a monotonic time."""
        return self.value * math.exp(-(now - self.at) / RATE_WINDOW_S)


@dataclasses.dataclass
class TokenBucket:
    """Token bucket whose balance may become negative.

    A request is admitted while the balance is above 0 and then charged in full.
    This allows a request larger than the burst and still keeps the rate in the
    long run.
    """

    balance: float = 0.0
    at: float | None = None

    def refill(self, rate: float, burst: float, now: float) -> None:
        """Adds the tokens of a rate since the last refill, up to `burst`."""
        elapsed_s = burst / rate if self.at is None and rate else 0.0
        if self.at is not None:
            elapsed_s = now - self.at
        self.balance = min(burst, self.balance + rate * elapsed_s)
        self.at = now

    def wait_s(self, rate: float) -> float:
        """Returns seconds until the balance is above 0."""
        if self.balance > 0:
            return 0.0
        return math.inf if rate <= 0 else -self.balance / rate
