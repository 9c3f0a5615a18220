"""Bounds requests to unproven versions that are in flight or not yet rated."""

from collections import Counter

import xxhash

from amaranthlug.coordination.peers import MemberView
from amaranthlug.coordination.rating_pump import RatingPump
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.quality_test import LIMIT_UNPROVEN
from amaranthlug.state.rendezvous import rendezvous_order

DEFAULT_MAX_UNRATED = 8
"""Bound over all nodes for a version that is not in a roll-out."""

FIRST_UNRATED = 3
"""Requests to a version without any rating, over all nodes."""

GAIN = 0.6
"""Fall of the test's log ratio that allows one more request; a good rating
lowers it by 0.36 to 0.92, a bad one raises it by about 1 to 2."""


def drawn_share(text: str) -> float:
    """Returns a number from 0 to 1 that is the same on every node."""
    return xxhash.xxh3_64_intdigest(text.encode()) / 2**64


class UnprovenQuota:
    """This node's part of the bound that holds over all nodes."""

    def __init__(
        self,
        members: MemberView,
        ratings: RatingPump,
        watch: WithdrawalWatch,
    ):
        """Creates a quota without requests in flight."""
        self.members = members
        self.ratings = ratings
        self.watch = watch
        self.in_flight: Counter[str] = Counter()

    def quota(self, version: VersionId, name: str, max_unrated: int) -> int:
        """Returns this node's quota, by rendezvous order of `name`."""
        max_unrated = min(max_unrated, self._earned(version))
        live = [member.incarnation for member in self.members.live()]
        each, extra = divmod(max_unrated, max(1, len(live)))
        mine = self.members.me.incarnation
        if not extra or mine not in live:
            return each if mine in live else 0
        return each + (mine in rendezvous_order(name, live)[:extra])

    def _earned(self, version: VersionId) -> int:
        """Returns what the state of the withdrawal test allows.

        Counting good ratings alone lets a version whose answers are half bad
        reach more and more callers. Once the test speaks as clearly for the
        version as a withdrawal would need against it, each good rating counts.
        """
        doubt = self.watch.doubt(version)
        if doubt > 0:
            return 1
        if doubt <= -1:
            label = self.watch.label(version)
            return FIRST_UNRATED + self.watch.evidence.by_version(label).good
        return FIRST_UNRATED + int(-doubt * LIMIT_UNPROVEN / GAIN)

    def may_start(
        self, version: VersionId, name: str, max_unrated: int
    ) -> bool:
        """Tells whether one more request may go to an unproven version."""
        label = self.watch.label(version)
        waiting = self.in_flight[label] + self.ratings.unrated_of(label)
        return waiting < self.quota(version, name, max_unrated)
