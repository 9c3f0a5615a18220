"""Adjusts quality targets for requests that are pinned by their session."""

import dataclasses

DECAY = 0.99
"""Weight factor of older requests per new request of a kind, which amounts to
a window of about 100 requests."""

INITIAL_UNPINNED = 5.0
"""Unpinned requests assumed initially, so that a few pinned requests alone do
not raise the target of a kind."""

MAX_INCREASE = 0.02
"""Maximum increase of a target. If pinned requests miss a target by far, not
even the best version compensates for them: with 0.08, such a kind cost twice as
much and still missed its target."""


SURPLUS_FRACTION = 0.5
"""Fraction of the quality surplus of pinned requests that lowers the target of
unpinned ones; the rest covers estimation errors."""

MAX_REDUCTION = 0.03
"""Maximum decrease of a target."""


@dataclasses.dataclass
class Balance:
    """Decayed sums over the requests of a kind.

    Attributes:
        deficit: Expected quality shortfall of pinned requests.
        unpinned: Number of unpinned requests.
    """

    deficit: float = 0.0
    unpinned: float = 0.0


class PinnedMargins:
    """Target adjustments for unpinned requests, by kind.

    A session keeps its version for requests of every kind, including kinds
    whose target the version misses. The target applies to a kind as a whole,
    so unpinned requests have to compensate.
    """

    def __init__(self) -> None:
        """Creates empty balances."""
        self.balances: dict[str, Balance] = {}

    def count_pinned(self, kind: str, deficit: float) -> None:
        """Counts a pinned request with quality `deficit` below the target."""
        balance = self._decay(kind)
        balance.deficit += deficit

    def count_unpinned(self, kind: str) -> None:
        """Counts an unpinned request."""
        self._decay(kind).unpinned += 1

    def _decay(self, kind: str) -> Balance:
        balance = self.balances.setdefault(kind, Balance())
        balance.deficit *= DECAY
        balance.unpinned *= DECAY
        return balance

    def margin(self, kind: str) -> float:
        """Returns the adjustment of a kind's target for unpinned requests."""
        balance = self.balances.get(kind)
        if balance is None:
            return 0.0
        share = balance.deficit / (balance.unpinned + INITIAL_UNPINNED)
        if share < 0:
            return max(-MAX_REDUCTION, SURPLUS_FRACTION * share)
        return min(MAX_INCREASE, share)
