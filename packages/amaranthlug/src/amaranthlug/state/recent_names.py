"""Names that were seen within a limited time."""

import collections
from collections.abc import Callable


class RecentNames:
    """Remembers when names were last seen; bounded in time and number."""

    def __init__(
        self, now: Callable[[], float], lifetime_s: float, max_names: int
    ):
        """Creates an empty memory.

        Args:
            now: Returns seconds.
            lifetime_s: Time for which a name is recent, in seconds.
            max_names: Most names; the oldest ones are dropped.
        """
        self.now = now
        self.lifetime_s = lifetime_s
        self.max_names = max_names
        self.seen_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )

    def add(self, name: str) -> None:
        """Records that a name was seen."""
        self.seen_at[name] = self.now()
        self.seen_at.move_to_end(name)
        if len(self.seen_at) > self.max_names:
            self.seen_at.popitem(last=False)

    def __contains__(self, name: str) -> bool:
        """Returns whether a name was seen recently."""
        seen_at = self.seen_at.get(name)
        return seen_at is not None and self.now() - seen_at <= self.lifetime_s
