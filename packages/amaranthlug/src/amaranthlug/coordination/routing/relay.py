"""Serves the contents of the store to other nodes.

Relays keep the load on the store from growing with the number of nodes.
Positions are offsets of the store, so a node can continue at another relay or
at the store itself.
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
    TopicsAnswer,
    TopicsRequest,
    TopicUpdate,
)
from amaranthlug.coordination.routing.store_era import StoreEra
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.fleet import NodeEntry

CHANGE_CHECK_S = 0.05
"""Period at which a held exchange checks for changes, in seconds."""
RESTORE_WAIT_S = 0.3
"""Longest wait of an exchange, beyond its hold time, until this node has read
an older copy to which the store returned, in seconds; within the time that
nodes allow for an answer. Refused, they would all read the store themselves."""


def digest_of(nodes: list[NodeEntry]) -> str:
    """Returns a digest of a list of nodes that does not depend on its order."""
    text = "\n".join(sorted(repr(entry) for entry in nodes))
    return xxhash.xxh3_64_hexdigest(text.encode())


class Relay:
    """Answers exchanges of other nodes while this node knows the store.

    Attributes:
        is_fed: Returns whether a store reader supplies this node; set by the
            node that has a relay client.
    """

    def __init__(
        self,
        followers: list[TopicFollower],
        fleet: FleetView,
        era: StoreEra,
        is_leaving: Callable[[], bool],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a relay for the topics of `followers`."""
        self.followers = followers
        self.fleet = fleet
        self.era = era
        self.is_leaving = is_leaving
        self.clock = clock
        self.is_fed: Callable[[], bool] = lambda: False

    def can_serve(self) -> bool:
        """Returns whether this node can be the relay of others.

        A relay that a store reader supplies must still reach the store, since
        it writes the report of its members there.
        """
        if self.is_leaving():
            return False
        if self.is_fed():
            return self.fleet.can_publish()
        return self.reads_store(self.followers)

    def reads_store(self, followers: list[TopicFollower]) -> bool:
        """Returns whether this node reads topics directly without errors."""
        return all(
            follower.reads_directly.is_set() and follower.is_healthy()
            for follower in followers
        )

    def answer(self, request: RelayRequest) -> RelayAnswer | None:
        """Answers once a topic has changed or the hold time has passed.

        Returns None if the caller should ask another relay.
        """
        started_at = self.clock()
        until = started_at + request.hold_s + RESTORE_WAIT_S
        self.wait_for_copy(until)
        if not self.can_serve() or self.is_behind(request):
            return None
        self.fleet.update_member(request.report)
        topics = self.wait_for_topics(
            request, self.followers, self.can_serve, started_at
        )
        if topics is None:
            return None
        summary = self.fleet.summary_for(request.report.entry.node)
        digest = digest_of(summary.nodes)
        if digest == request.nodes_digest:
            summary.nodes = []
        return RelayAnswer(
            topics,
            self.clock() - started_at,
            digest,
            summary,
            self.era.current,
        )

    def answer_relay(self, request: TopicsRequest) -> TopicsAnswer | None:
        """Answers another relay, with the reports of the fleet as a topic.

        Returns None if the caller should ask another store reader.
        """
        followers = [*self.followers, self.fleet.follower]
        started_at = self.clock()
        topics = self.wait_for_topics(
            request, followers, self.is_store_reader, started_at
        )
        if topics is None:
            return None
        held_s = self.clock() - started_at
        return TopicsAnswer(topics, held_s, self.era.current)

    def is_store_reader(self) -> bool:
        """Returns whether this node can supply other relays."""
        return (
            not self.is_leaving()
            and self.reads_store(self.followers)
            and self.fleet.follower.reads_directly.is_set()
            and self.fleet.follower.has_data()
        )

    def wait_for_topics(
        self,
        request: RelayRequest | TopicsRequest,
        followers: list[TopicFollower],
        can_serve: Callable[[], bool],
        started_at: float,
    ) -> dict[str, TopicUpdate] | None:
        """Returns the topics once one changed or the hold time has passed.

        Returns None if this node cannot serve or knows an older era.
        """
        until = started_at + request.hold_s + RESTORE_WAIT_S
        self.wait_for_copy(until)
        while can_serve() and not self.has_changes(followers, request):
            if self.clock() - started_at >= request.hold_s:
                break
            gevent.sleep(CHANGE_CHECK_S)
        self.wait_for_copy(until)
        if not can_serve() or self.is_behind(request):
            return None
        return {f.topic: self.topic_update(f, request) for f in followers}

    def wait_for_copy(self, until: float) -> None:
        """Waits until all topics were read after the store returned.

        Args:
            until: Clock at which the wait ends in any case, in seconds.
        """
        while self.clock() < until and any(
            follower.restored_from is not None for follower in self.followers
        ):
            gevent.sleep(CHANGE_CHECK_S)

    def is_behind(self, request: RelayRequest | TopicsRequest) -> bool:
        """Returns whether the requester knows a newer era of the store."""
        era = self.era.current
        return era is not None and request.era is not None and request.era > era

    def position_in(
        self, follower: TopicFollower, request: RelayRequest | TopicsRequest
    ) -> int | None:
        """Returns the requester's offset, None if it is of an older era."""
        if request.era is not None and request.era != self.era.current:
            return None
        return request.positions.get(follower.topic)

    def has_changes(
        self,
        followers: list[TopicFollower],
        request: RelayRequest | TopicsRequest,
    ) -> bool:
        """Returns whether a topic has changes after the requested positions."""
        return any(
            follower.changes_since(self.position_in(follower, request)) != []
            for follower in followers
        )

    def topic_update(
        self, follower: TopicFollower, request: RelayRequest | TopicsRequest
    ) -> TopicUpdate:
        """Returns the changes of a topic, or the complete topic if unknown."""
        records = follower.changes_since(self.position_in(follower, request))
        is_whole = records is None
        if records is None:
            records = [
                r
                for r in follower.latest_records.values()
                if r.value is not None
            ]
        return TopicUpdate(
            is_whole,
            [
                SentRecord.pack(record)
                for record in sorted(records, key=lambda r: r.offset)
            ],
            follower.position or 0,
            follower.age_s(),
        )
