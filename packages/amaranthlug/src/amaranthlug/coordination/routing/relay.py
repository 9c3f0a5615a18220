"""A node that reads the store for others, so that its load does not grow.

Offsets are those of the store, so a node can go on at another relay or at the
store.
"""

from collections.abc import Callable

import gevent
import xxhash

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.relay_messages import (
    RelayAnswer,
    RelayRequest,
    SentRecord,
    TopicUpdate,
)
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.fleet import NodeEntry

WATCH_S = 0.05
"""Period in which a held exchange looks for changes, in seconds."""


def digest_of(nodes: list[NodeEntry]) -> str:
    """Returns a digest of a list of nodes, whatever its order."""
    text = "\n".join(sorted(repr(entry) for entry in nodes))
    return xxhash.xxh3_64_hexdigest(text.encode())


class Relay:
    """Answers exchanges of other nodes while this one reads the store."""

    def __init__(
        self,
        followers: list[TopicFollower],
        fleet: FleetView,
        is_leaving: Callable[[], bool],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a relay for the given topics."""
        self.followers = followers
        self.fleet = fleet
        self.is_leaving = is_leaving
        self.clock = clock

    def is_able(self) -> bool:
        """Tells whether this node's knowledge is its own and fresh."""
        return not self.is_leaving() and all(
            follower.direct.is_set() and follower.is_undisturbed()
            for follower in self.followers
        )

    def answer(self, request: RelayRequest) -> RelayAnswer | None:
        """Answers an exchange, when something changed or the time is over.

        Returns None if another relay should be asked.
        """
        if not self.is_able():
            return None
        began = self.clock()
        self.fleet.take_member(request.report)
        while self.is_able() and not self.has_news(request):
            if self.clock() - began >= request.hold_s:
                break
            gevent.sleep(WATCH_S)
        if not self.is_able():
            return None
        topics = {f.topic: self.update(f, request) for f in self.followers}
        summary = self.fleet.summary_for(request.report.entry.node)
        digest = digest_of(summary.nodes)
        if digest == request.nodes_digest:
            summary.nodes = []
        return RelayAnswer(topics, self.clock() - began, digest, summary)

    def has_news(self, request: RelayRequest) -> bool:
        """Tells whether a topic changed for the node that asks."""
        return any(
            follower.since(request.positions.get(follower.topic)) != []
            for follower in self.followers
        )

    def update(
        self, follower: TopicFollower, request: RelayRequest
    ) -> TopicUpdate:
        """Returns what changed in a topic."""
        records = follower.since(request.positions.get(follower.topic))
        whole = records is None
        if records is None:
            records = [
                r for r in follower.newest.values() if r.value is not None
            ]
        return TopicUpdate(
            whole,
            [
                SentRecord.pack(record)
                for record in sorted(records, key=lambda r: r.offset)
            ],
            follower.position or 0,
            follower.age_s(),
        )
