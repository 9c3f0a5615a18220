"""Limits requests to unproven versions that are in flight or not yet rated."""

from collections import Counter

import xxhash

from amaranthlug.coordination.peers import MemberView
from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.quality_test import LIMIT_UNPROVEN
from amaranthlug.state.rendezvous import rendezvous_order

DEFAULT_MAX_UNRATED = 8
"""Limit over all nodes for a version that is not in a roll-out."""

INITIAL_MAX_UNRATED = 3
"""Limit over all nodes for a version without any rating."""

LOG_RATIO_PER_REQUEST = 0.6
"""Decrease of the withdrawal test's log likelihood ratio that allows one more
request; a good rating lowers the ratio by 0.36 to 0.92, a bad one raises it by
about 1 to 2."""


def hash_fraction(text: str) -> float:
    """Returns a hash of `text` in [0, 1) that is the same on every node."""
    return xxhash.xxh3_64_intdigest(text.encode()) / 2**64


class UnprovenQuota:
    """This node's share of a limit that applies over all nodes."""

    def __init__(
        self,
        members: MemberView,
        ratings: RatingCollector,
        watch: WithdrawalWatch,
    ):
        """Creates a quota without requests in flight."""
        self.members = members
        self.ratings = ratings
        self.watch = watch
        self.in_flight: Counter[str] = Counter()

    def quota(self, version: VersionId, name: str, max_unrated: int) -> int:
        """Returns this node's share of the limit for a version.

        The remainder of the division by the number of live nodes goes to the
        first nodes in the rendezvous order of `name`.
        """
        max_unrated = min(max_unrated, self._limit_by_evidence(version))
        live = [member.incarnation for member in self.members.live()]
        per_node, remainder = divmod(max_unrated, max(1, len(live)))
        own_incarnation = self.members.me.incarnation
        if not remainder or own_incarnation not in live:
            return per_node if own_incarnation in live else 0
        return per_node + (
            own_incarnation in rendezvous_order(name, live)[:remainder]
        )

    def _limit_by_evidence(self, version: VersionId) -> int:
        """Returns the limit over all nodes that the withdrawal test allows.

        A limit that grew with good ratings alone would let a version with half
        of its answers bad reach more and more callers. Good ratings count only
        once the evidence for the version is as strong as the evidence against
        it that a withdrawal requires.
        """
        relative_log_ratio = self.watch.relative_log_ratio(version)
        if relative_log_ratio > 0:
            return 1
        if relative_log_ratio <= -1:
            label = self.watch.label(version)
            return (
                INITIAL_MAX_UNRATED + self.watch.evidence.by_version(label).good
            )
        return INITIAL_MAX_UNRATED + int(
            -relative_log_ratio * LIMIT_UNPROVEN / LOG_RATIO_PER_REQUEST
        )

    def may_start(
        self, version: VersionId, name: str, max_unrated: int
    ) -> bool:
        """Returns whether one more request may go to an unproven version."""
        label = self.watch.label(version)
        pending = self.in_flight[label] + self.ratings.count_unrated(label)
        return pending < self.quota(version, name, max_unrated)
