"""Follows the store through a relay, or directly if there is none.

In each zone a few nodes, the relays, know the contents of the store. Each other
node requests the changes since its offsets from one of them, in a single long
poll for all topics. The relays of a large fleet do the same at a store reader,
but write their reports to the store themselves.
"""

import logging
import math
from collections.abc import Callable
from typing import TypeVar

import gevent
import xxhash

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.relay_messages import (
    PeerPort,
    RelayAnswer,
    RelayRefusedError,
    RelayRequest,
    TopicsAnswer,
    TopicsRequest,
    TopicUpdate,
)
from amaranthlug.coordination.routing.relay_roles import (
    store_readers,
    zone_readers,
    zone_relays,
)
from amaranthlug.coordination.routing.store_era import StoreEra
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.coordination.supervised import spawn_supervised
from amaranthlug.state.routing.fleet import NodeEntry

MAX_HOLD_S = 0.8
"""Maximum time for which a relay holds an exchange, in seconds."""
ANSWER_MARGIN_S = 0.4
"""Time allowed for a relay's answer beyond the hold time, in seconds; short
enough for a new configuration to be active within 2 s if a relay freezes."""
NO_ANSWER_AVOID_S = 1.0
"""Time before a relay that did not answer is tried again, in seconds; a retry
is cheap since it makes no call to the store."""
SILENT_AVOID_S = 5.0
"""Longest time for which a relay that did not answer is not tried for want of a
newer sign of life, in seconds."""
REFUSED_AVOID_S = 0.3
"""Time before a relay that refused is tried again, in seconds; shorter, since a
refusal comes without delay."""
RELAY_SEARCH_S = 0.45
"""Time for which a node that lost its relay looks for another before it reads
the store, in seconds. With the 1.2 s of the lost exchange, a new configuration
is still active within 2 s."""
MIN_ANSWER_S = 0.1
"""Least time for which a search waits for an answer, in seconds; with less left
it ends."""
SEARCH_PAUSE_S = 0.1
"""Pause between two rounds of a relay search, in seconds."""
MAX_TRIES_PER_ROUND = 4
"""Nodes tried in one round of a search; the limit keeps many searching nodes
from overloading the few that can act as relays."""
MAX_TRIES_AT_START = 2
"""Relays that a node asks at its start before it reads all topics itself."""
MIN_EXCHANGE_INTERVAL_S = 0.25
"""Minimum time between the starts of two exchanges, in seconds."""
RELAY_RETRY_INTERVAL_S = 0.7
"""Pause before a node without a relay searches for one again, in seconds."""
MAX_FEED_AGE_S = 1.7
"""Time since the last answer of a store reader after which a relay that has
found no other refuses its members, in seconds; an exchange that fails after its
longest wait, and the search for another reader."""
FIRST_SEARCH_DELAY_S = 0.25
"""Time between a node's first report and its first search for a relay, in
seconds; by then nodes that started at the same time have reported too."""

Answer = TypeVar("Answer", RelayAnswer, TopicsAnswer)

log = logging.getLogger(__name__)


class RelayClient:
    """Keeps this node's followers current through a relay or the store.

    Attributes:
        relay: Node that passes the topics on to this one, a member, and
            reports it; None if this node writes its own report.
        reader: Store reader that passes them on to this one, a relay; None if
            it reads the store or is a member.
        fed_at: Clock at the last answer of a reader, in seconds.
    """

    def __init__(
        self,
        own_name: str,
        zone: str,
        followers: list[TopicFollower],
        fleet: FleetView,
        era: StoreEra,
        peers: PeerPort,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Starts by reading the store; `run` searches for a relay."""
        self.own_name = own_name
        self.zone = zone
        self.followers = followers
        self.fleet = fleet
        self.era = era
        self.peers = peers
        self.clock = clock
        self.relay: NodeEntry | None = None
        self.reader: NodeEntry | None = None
        self.fed_at = -math.inf
        self.avoided_until: dict[str, float] = {}
        self.silent_since: dict[str, float] = {}
        self.nodes_digest = ""
        self.greenlet: gevent.Greenlet | None = None
        self.stopped = False

    def start(self) -> None:
        """Starts the greenlet that searches for a relay and polls it."""
        if not self.stopped:
            self.greenlet = spawn_supervised("relay client", self.run)

    def stop(self) -> None:
        """Stops the greenlet, also one that is yet to be started."""
        self.stopped = True
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def run(self) -> None:
        """Polls a relay while there is one and reads the store otherwise."""
        gevent.sleep(FIRST_SEARCH_DELAY_S)
        if self.relay is None:
            self.fleet.follower.read_once()
        while not self.stopped:
            while (relay := self.find_relay()) is not None:
                self.poll_relay(relay)
            self.switch_to_store()
            gevent.sleep(RELAY_RETRY_INTERVAL_S)

    def load_from_relay(self) -> bool:
        """Gets all topics from a relay at the start of this node.

        Only the list of nodes is read from the store. Returns False if no relay
        answers, as when all nodes start at once.
        """
        if not self.fleet.follower.read_once():
            return False
        candidates = self.member_candidates(self.fleet.nodes())
        return any(
            self.exchange(relay, 0.0)
            for relay in candidates[:MAX_TRIES_AT_START]
        )

    def poll_relay(self, relay: NodeEntry) -> None:
        """Polls a relay until it fails or another one ranks first."""
        while True:
            started_at = self.clock()
            best_relay = next(iter(self.relay_candidates()), None)
            if best_relay is None:
                return
            if best_relay.node != relay.node:
                # Lists of nodes may differ for a while, and the role with them.
                gevent.sleep(MIN_EXCHANGE_INTERVAL_S)
                return
            if not self.poll(relay, MAX_HOLD_S, ANSWER_MARGIN_S):
                return
            gevent.sleep(
                max(0.0, MIN_EXCHANGE_INTERVAL_S - (self.clock() - started_at))
            )

    def find_relay(self) -> NodeEntry | None:
        """Returns a relay that answers, or None to read the store directly.

        A node that already reads the store makes one round. A node that lost
        its relay makes several, since a standby may be about to take over.
        """
        is_lost = self.relay is not None or self.reader is not None
        deadline = self.clock() + (RELAY_SEARCH_S if is_lost else 0.0)
        last_start = deadline - (MIN_ANSWER_S if is_lost else 0.0)
        while True:
            for relay in self.relay_candidates()[:MAX_TRIES_PER_ROUND]:
                answer_s = ANSWER_MARGIN_S
                if is_lost:
                    answer_s = min(answer_s, deadline - self.clock())
                if self.poll(relay, 0.0, answer_s):
                    return relay
                if self.clock() > last_start:
                    return None
            if (
                self.clock() + SEARCH_PAUSE_S > last_start
                or self.is_zone_reader()
            ):
                return None
            gevent.sleep(SEARCH_PAUSE_S)

    def is_zone_reader(self) -> bool:
        """Returns whether this node is a relay or a standby of its zone."""
        relays, standbys = zone_readers(self.fleet.nodes(), self.zone)
        return self.is_in(relays + standbys)

    def is_in(self, entries: list[NodeEntry]) -> bool:
        """Returns whether this node is one of `entries`."""
        return any(entry.node == self.own_name for entry in entries)

    def is_fed(self) -> bool:
        """Returns whether a store reader supplies this node in time."""
        return (
            self.reader is not None
            and self.clock() - self.fed_at < MAX_FEED_AGE_S
        )

    def relay_candidates(self) -> list[NodeEntry]:
        """Returns the nodes to try in order of preference.

        A relay tries the store readers only, and none if it is one. For other
        nodes, relays of other zones follow those of the own zone: an exchange
        across zones costs less than this node's own calls to the store.
        """
        if not all(follower.has_data() for follower in self.followers):
            return []
        nodes = self.fleet.nodes()
        if not self.is_in(zone_relays(nodes, self.zone)):
            return self.member_candidates(nodes)
        readers = store_readers(nodes)
        return [] if self.is_in(readers) else self.usable([readers])

    def member_candidates(self, nodes: list[NodeEntry]) -> list[NodeEntry]:
        """Returns the nodes that a member tries, in order of preference."""
        local_relays, standbys = zone_readers(nodes, self.zone)
        zones = sorted({entry.zone for entry in nodes} - {self.zone})
        remote_relays = [e for zone in zones for e in zone_relays(nodes, zone)]
        return self.usable([local_relays, remote_relays, standbys])

    def usable(self, groups: list[list[NodeEntry]]) -> list[NodeEntry]:
        """Returns the nodes of groups, without avoided ones and this one.

        Each node ranks those of a group differently, which spreads the load.
        """
        now = self.clock()
        return [
            entry
            for group in groups
            for entry in sorted(group, key=self.relay_rank, reverse=True)
            if entry.node != self.own_name
            and self.avoided_until.get(entry.node, 0.0) <= now
            and not self.is_silent(entry)
        ]

    def is_silent(self, relay: NodeEntry) -> bool:
        """Returns whether a relay gave no sign of life since it was asked.

        It is tried again after `SILENT_AVOID_S` in any case.
        """
        silent_since = self.silent_since.get(relay.node, -math.inf)
        if self.clock() - silent_since > SILENT_AVOID_S:
            return False
        return silent_since > self.fleet.signs.heard_at.get(
            relay.node, -math.inf
        )

    def relay_rank(self, relay: NodeEntry) -> int:
        """Returns a pseudo-random rank, which spreads nodes over the relays."""
        return xxhash.xxh3_64_intdigest(
            f"{self.own_name}|{relay.node}".encode()
        )

    def poll(self, source: NodeEntry, hold_s: float, answer_s: float) -> bool:
        """Polls a store reader if this node is a relay, else a relay."""
        if self.is_in(zone_relays(self.fleet.nodes(), self.zone)):
            return self.fetch_topics(source, hold_s, answer_s)
        return self.exchange(source, hold_s, answer_s)

    def exchange(
        self,
        relay: NodeEntry,
        hold_s: float,
        answer_s: float = ANSWER_MARGIN_S,
    ) -> bool:
        """Makes one exchange; False if the relay refused or did not answer.

        Args:
            relay: The node to ask.
            hold_s: Time for which it may wait for a change, in seconds.
            answer_s: Longest wait for its answer beyond that, in seconds.
        """
        request = RelayRequest(
            self.fleet.describe_node(),
            {f.topic: f.position for f in self.followers},
            hold_s,
            self.nodes_digest,
            self.era.current,
        )
        sent_at = self.clock()
        answer = self.ask(
            relay,
            lambda: self.peers.exchange(
                relay.peer_address, request, hold_s + answer_s
            ),
        )
        if answer is None:
            return False
        self.apply_answer(relay, answer, sent_at)
        return True

    def fetch_topics(
        self, reader: NodeEntry, hold_s: float, answer_s: float
    ) -> bool:
        """Makes one exchange with a store reader; False if it failed.

        Args:
            reader: The node to ask.
            hold_s: Time for which it may wait for a change, in seconds.
            answer_s: Longest wait for its answer beyond that, in seconds.
        """
        followers = [*self.followers, self.fleet.follower]
        request = TopicsRequest(
            {f.topic: f.position for f in followers}, hold_s, self.era.current
        )
        sent_at = self.clock()
        answer = self.ask(
            reader,
            lambda: self.peers.fetch_topics(
                reader.peer_address, request, hold_s + answer_s
            ),
        )
        if answer is None:
            return False
        if self.reader is None or self.reader.node != reader.node:
            log.info(
                "using node %s as store reader",
                reader.node,
                extra={"event": "reader", "reader": reader.node},
            )
        if self.relay is not None:
            self.leave_relay()
        self.reader, self.fed_at = reader, self.clock()
        self.fleet.signs.record(reader.node, sent_at + answer.held_s)
        self.apply_topics(followers, answer.topics, sent_at + answer.held_s)
        return True

    def ask(self, node: NodeEntry, send: Callable[[], Answer]) -> Answer | None:
        """Returns a node's answer, None if it is of no use; avoids it then.

        Once this client is stopped it asks no node.
        """
        if self.stopped:
            return None
        asked_at = self.clock()
        try:
            answer = send()
        except RelayRefusedError as error:
            self.avoid_relay(node, str(error), REFUSED_AVOID_S)
            return None
        except OSError as error:
            self.avoid_relay(node, str(error), NO_ANSWER_AVOID_S)
            self.silent_since[node.node] = asked_at
            return None
        if not self.era.accept(answer.era):
            self.avoid_relay(node, "older era of the store", REFUSED_AVOID_S)
            return None
        return answer

    def apply_answer(
        self, relay: NodeEntry, answer: RelayAnswer, sent_at: float
    ) -> None:
        """Applies a relay's answer to the followers and the fleet view."""
        if self.relay is None or self.relay.node != relay.node:
            log.info(
                "using node %s as relay",
                relay.node,
                extra={"event": "relay", "relay": relay.node},
            )
        self.relay, self.reader = relay, None
        formed_at = sent_at + answer.held_s  # At the earliest.
        self.fleet.signs.record(relay.node, formed_at)
        self.apply_topics(self.followers, answer.topics, formed_at)
        summary = answer.summary
        if answer.nodes_digest == self.nodes_digest and self.fleet.summary:
            summary.nodes = self.fleet.summary.nodes
        self.nodes_digest = answer.nodes_digest
        self.fleet.set_summary(summary, formed_at)

    def apply_topics(
        self,
        followers: list[TopicFollower],
        topics: dict[str, TopicUpdate],
        formed_at: float,
    ) -> None:
        """Applies what a relay or reader sent of topics.

        Args:
            followers: The followers to which the topics belong.
            topics: Topic -> changes.
            formed_at: Clock at which the answer was built at the earliest, in
                seconds.
        """
        for follower in followers:
            update = topics.get(follower.topic)
            if update is None:
                continue
            follower.reads_directly.clear()
            read_at = formed_at - update.age_s
            follower.record_relayed_read(read_at)
            records = [record.unpack() for record in update.records]
            if update.whole:
                follower.replace(records, update.position)
            elif update.position >= (follower.position or 0):
                follower.apply_changes(records, update.position)
            else:
                continue  # The relay is behind this node.
            follower.mark_confirmed(read_at)

    def avoid_relay(
        self, relay: NodeEntry, reason: str, avoid_s: float
    ) -> None:
        """Excludes a relay from the search for `avoid_s` seconds."""
        self.avoided_until[relay.node] = self.clock() + avoid_s
        log.info(
            "relay %s failed: %s",
            relay.node,
            reason,
            extra={"event": "relay_lost", "relay": relay.node},
        )

    def switch_to_store(self) -> None:
        """Stops using a relay or reader and reads the store directly."""
        if self.relay is None and self.reader is None:
            return
        self.leave_relay()
        self.reader = None
        for follower in (*self.followers, self.fleet.follower):
            follower.reads_directly.set()
        # Only reads the reports: the last relay still lists this node, and the
        # periodic task publishes this node's own report later.
        gevent.spawn(self.fleet.follower.read_once)
        log.info("reading the store directly", extra={"event": "direct"})

    def leave_relay(self) -> None:
        """Forgets the relay and what it said of the fleet."""
        self.relay = None
        self.nodes_digest = ""
        self.fleet.clear_summary()

    def report_now(self) -> None:
        """Sends this node's report to its relay or the store immediately."""
        if self.relay is not None and self.exchange(self.relay, 0.0):
            return
        self.fleet.publish()
