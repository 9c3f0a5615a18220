"""Retry budget, which keeps retries from multiplying load in a failure."""

import random
from collections import OrderedDict

RETRY_SHARE = 0.2
"""Retries added to the budget per first attempt."""
BURST = 10.0
"""Maximum number of retries saved up in a budget."""
MAX_UPSTREAMS = 4_096
"""Maximum number of balances; the least recently used one is dropped."""
BASE_WAIT_S = 0.01
"""Longest wait before the first retry, in seconds; doubles with each retry."""


class RetryBudget:
    """Token buckets for the retries of this process.

    One bucket limits all retries and one per upstream limits those sent to it,
    so that a slow server does not receive the retries of all others.

    Attributes:
        share: Retries added per first attempt.
        burst: Capacity of each bucket.
        first_attempts: First attempts so far.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        burst: float = BURST,
        seed: int | None = None,
    ):
        """Creates a budget with full buckets."""
        self.share = share
        self.burst = burst
        self.random = random.Random(seed)
        self.total = burst
        self.first_attempts = 0
        self.balances: OrderedDict[str, float] = OrderedDict()

    def record_first_attempt(self, address: str) -> None:
        """Adds to the budget for a first attempt at an upstream."""
        self.first_attempts += 1
        self.total = min(self.burst, self.total + self.share)
        balance = self.balances.get(address, self.burst)
        self.set_balance(address, min(self.burst, balance + self.share))

    def try_spend(self, address: str) -> bool:
        """Takes a retry at an upstream from the budget; False if empty."""
        if not self.can_spend(address):
            return False
        balance = self.balances.get(address, self.burst)
        self.total -= 1
        self.set_balance(address, balance - 1)
        return True

    def can_spend(self, address: str, reserve: float = 0.0) -> bool:
        """Returns whether `try_spend` would leave `reserve` retries or more."""
        required = 1 + reserve
        return self.total >= required and (
            self.balances.get(address, self.burst) >= required
        )

    def set_balance(self, address: str, balance: float) -> None:
        """Stores the balance of an upstream as the most recently used."""
        self.balances[address] = balance
        self.balances.move_to_end(address)
        if len(self.balances) > MAX_UPSTREAMS:
            self.balances.popitem(last=False)

    def wait_s(self, retries: int) -> float:
        """Returns a random back-off in seconds; `retries` counts from 1."""
        return self.random.uniform(0, BASE_WAIT_S * 2 ** (retries - 1))
