"""Budget that keeps retries from multiplying load during a failure."""

import random
from collections import OrderedDict

RETRY_SHARE = 0.2
"""Retries allowed per request."""
BURST = 10.0
"""Retries that may be saved up."""
MAX_UPSTREAMS = 4_096
"""Upstreams remembered; the least recently used one is dropped first."""
BASE_WAIT_S = 0.01
"""Longest wait before the first retry, in seconds; doubled for each next."""


class RetryBudget:
    """Retries allowed to this process, in all and towards each upstream.

    The part of an upstream counts retries sent to it, so that one slow
    server does not receive the retries of all the others.
    """

    def __init__(
        self,
        share: float = RETRY_SHARE,
        burst: float = BURST,
        seed: int | None = None,
    ):
        """Creates a full budget."""
        self.share = share
        self.burst = burst
        self.random = random.Random(seed)
        self.total = burst
        self.first_attempts = 0
        self.balances: OrderedDict[str, float] = OrderedDict()

    def record_first_attempt(self, address: str) -> None:
        """Counts a first attempt that goes to an upstream."""
        self.first_attempts += 1
        self.total = min(self.burst, self.total + self.share)
        balance = self.balances.get(address, self.burst)
        self.set_balance(address, min(self.burst, balance + self.share))

    def try_spend(self, address: str) -> bool:
        """Spends a retry towards an upstream; False when none is left."""
        if not self.can_spend(address):
            return False
        balance = self.balances.get(address, self.burst)
        self.total -= 1
        self.set_balance(address, balance - 1)
        return True

    def can_spend(self, address: str, reserve: float = 0.0) -> bool:
        """Tells whether `try_spend` would leave at least `reserve` retries."""
        required = 1 + reserve
        return self.total >= required and (
            self.balances.get(address, self.burst) >= required
        )

    def set_balance(self, address: str, balance: float) -> None:
        """Remembers what is left for an upstream."""
        self.balances[address] = balance
        self.balances.move_to_end(address)
        if len(self.balances) > MAX_UPSTREAMS:
            self.balances.popitem(last=False)

    def wait_s(self, retries: int) -> float:
        """Returns a random wait before retry number `retries`, from 1."""
        return self.random.uniform(0, BASE_WAIT_S * 2 ** (retries - 1))
