"""Balances requests whose session keeps a version above or below a target."""

import dataclasses

FADE = 0.99
"""What older requests of a kind count at each new one, so some 100 count."""

LEAST_FREE = 5.0
"""Freely routed requests assumed at first, so that a few pins alone do not
raise the target of a kind."""

MAX_MARGIN = 0.02
"""Largest margin. Where sessions miss a target by far, not even the best
version can make up for them; with 0.08 such a kind cost twice as much and
missed its target all the same."""


CREDIT = 0.5
"""Part of a surplus of pinned requests that lowers the target of the others;
the rest covers errors of the estimates."""

MAX_CREDIT = 0.03
"""Largest lowering of a target."""


@dataclasses.dataclass
class Balance:
    """What pinned requests of a kind lack, and how many others there are."""

    deficit: float = 0.0
    free: float = 0.0


class PinnedShare:
    """Margins by kind.

    A session keeps its version for requests of every kind, also for kinds
    whose target the version misses. The target holds for the kind as a whole,
    so requests without a pin have to make up for them.
    """

    def __init__(self) -> None:
        """Creates balances without requests."""
        self.balances: dict[str, Balance] = {}

    def pinned(self, kind: str, deficit: float) -> None:
        """Counts a pinned request that is expected to miss by `deficit`."""
        balance = self._fade(kind)
        balance.deficit += deficit

    def free(self, kind: str) -> None:
        """Counts a request whose version is chosen freely."""
        self._fade(kind).free += 1

    def _fade(self, kind: str) -> Balance:
        balance = self.balances.setdefault(kind, Balance())
        balance.deficit *= FADE
        balance.free *= FADE
        return balance

    def margin(self, kind: str) -> float:
        """Returns what is added to a kind's target for free requests."""
        balance = self.balances.get(kind)
        if balance is None:
            return 0.0
        share = balance.deficit / (balance.free + LEAST_FREE)
        if share < 0:
            return max(-MAX_CREDIT, CREDIT * share)
        return min(MAX_MARGIN, share)
