"""How a node keeps up with the store through relays, or without one.

In each zone a few nodes read the store. The others ask one of them, in one
long poll, for what changed since the offsets that they know.
"""

import logging
import math
from collections.abc import Callable

import gevent
import xxhash

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.relay_messages import (
    PeerPort,
    RelayAnswer,
    RelayRefusedError,
    RelayRequest,
)
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.fleet import NodeEntry

MEMBERS_PER_RELAY = 24
"""Nodes of a zone for which one node reads the store; at one exchange a
second and node this costs a small VM a few percent of its processor."""
STANDBYS = 2
"""Nodes of a zone after its relays that others ask when no relay answers;
they read the store themselves sooner, so the others need not."""
HOLD_S = 0.8
"""Longest time for which a relay holds an exchange, in seconds."""
ANSWER_S = 0.4
"""Longest wait for a relay's answer beyond that, in seconds; a frozen relay is
left in time for a new configuration to be in force after 2 s."""
AVOID_S = 1.0
"""Time for which a relay that did not answer is not asked again, in seconds;
an exchange costs no call to the store."""
REFUSED_AVOID_S = 0.3
"""Time for which a relay that cannot help now is not asked again, in seconds;
such an answer comes at once."""
SEARCH_S = 0.45
"""Time for which a node that lost its relay looks for another before it reads
the store, in seconds: with the lost exchange of 1.2 s, a new configuration
is still in force after 2 s."""
SEARCH_PAUSE_S = 0.1
"""Pause between two rounds of a search, in seconds."""
ROUND_TRIES = 4
"""Nodes that are asked in one round, so that many searching nodes do not use
up the processors of the few that can help."""
PACE_S = 0.25
"""Least time between two exchanges, in seconds."""
DIRECT_S = 0.7
"""Time after which a node without a relay looks for one again, in seconds."""
FIRST_LOOK_S = 0.25
"""Time after its first report at which a node looks for a relay, in seconds;
by then the reports of nodes that started with it are in the store."""

log = logging.getLogger(__name__)


def readers_of(
    nodes: list[NodeEntry], zone: str
) -> tuple[list[NodeEntry], list[NodeEntry]]:
    """Returns relays and standbys of a zone, the same at every node."""
    near = sorted(
        (entry for entry in nodes if entry.zone == zone and entry.serving),
        key=lambda e: xxhash.xxh3_64_intdigest(e.node.encode()),
    )
    count = math.ceil(len(near) / MEMBERS_PER_RELAY)
    return near[:count], near[count : count + STANDBYS]


def relays_of(nodes: list[NodeEntry], zone: str) -> list[NodeEntry]:
    """Returns the relays of a zone, the same at every node."""
    return readers_of(nodes, zone)[0]


class RelayedFollowing:
    """Keeps this node's knowledge by a relay, or by the store itself."""

    def __init__(
        self,
        me: str,
        zone: str,
        followers: list[TopicFollower],
        fleet: FleetView,
        peers: PeerPort,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Begins by the store; `run` looks for a relay."""
        self.me = me
        self.zone = zone
        self.followers = followers
        self.fleet = fleet
        self.peers = peers
        self.clock = clock
        self.relay: NodeEntry | None = None
        self.avoid: dict[str, float] = {}
        self.nodes_digest = ""

    def start(self) -> None:
        """Begins to look for a relay."""
        gevent.spawn(self.run)

    def run(self) -> None:
        """Exchanges with a relay while there is one."""
        gevent.sleep(FIRST_LOOK_S)
        self.fleet.follower.step()
        while True:
            while (relay := self.find()) is not None:
                self.stay(relay)
            self.go_direct()
            gevent.sleep(DIRECT_S)

    def stay(self, relay: NodeEntry) -> None:
        """Exchanges with a relay until it is lost or another is due."""
        while True:
            began = self.clock()
            best = next(iter(self.choices()), None)
            if best is None or best.node != relay.node:
                return
            if not self.exchange(relay, HOLD_S):
                return
            gevent.sleep(max(0.0, PACE_S - (self.clock() - began)))

    def find(self) -> NodeEntry | None:
        """Returns a relay that answers, None if this node reads the store.

        A node that already reads the store makes one round; one that lost its
        relay makes some, since others that can help may just be taking over.
        """
        until = self.clock() + (SEARCH_S if self.relay is not None else 0.0)
        while True:
            for relay in self.choices()[:ROUND_TRIES]:
                if self.exchange(relay, 0.0):
                    return relay
                if self.clock() > until:
                    return None
            if self.clock() + SEARCH_PAUSE_S > until or self.is_reader():
                return None
            gevent.sleep(SEARCH_PAUSE_S)

    def is_reader(self) -> bool:
        """Tells whether others ask this node when their relay is lost."""
        relays, standbys = readers_of(self.fleet.nodes(), self.zone)
        return any(entry.node == self.me for entry in relays + standbys)

    def choices(self) -> list[NodeEntry]:
        """Returns the nodes to ask, best first; none for a relay.

        Relays of other zones come after those of its own: an exchange across
        zones costs less than this node's own calls to the store.
        """
        if any(follower.position is None for follower in self.followers):
            return []
        nodes = self.fleet.nodes()
        near, standbys = readers_of(nodes, self.zone)
        if any(entry.node == self.me for entry in near):
            return []
        zones = sorted({entry.zone for entry in nodes} - {self.zone})
        far = [e for zone in zones for e in relays_of(nodes, zone)]
        now = self.clock()
        return [
            entry
            for group in (near, far, standbys)
            for entry in sorted(group, key=self.rank, reverse=True)
            if entry.node != self.me and self.avoid.get(entry.node, 0.0) <= now
        ]

    def rank(self, relay: NodeEntry) -> int:
        """Returns the place of a relay in this node's order."""
        return xxhash.xxh3_64_intdigest(f"{self.me}|{relay.node}".encode())

    def exchange(self, relay: NodeEntry, hold_s: float) -> bool:
        """Exchanges once; False if the relay is of no use now."""
        request = RelayRequest(
            self.fleet.describe(),
            {f.topic: f.position for f in self.followers},
            hold_s,
            self.nodes_digest,
        )
        sent = self.clock()
        try:
            answer = self.peers.exchange(
                relay.peer_address, request, hold_s + ANSWER_S
            )
        except RelayRefusedError as error:
            self.leave(relay, str(error), REFUSED_AVOID_S)
            return False
        except OSError as error:
            self.leave(relay, str(error), AVOID_S)
            return False
        self.take(relay, answer, sent)
        return True

    def take(self, relay: NodeEntry, answer: RelayAnswer, sent: float) -> None:
        """Takes a relay's answer."""
        if self.relay is None or self.relay.node != relay.node:
            log.info(
                "node %s reads the store for this one",
                relay.node,
                extra={"event": "relay", "relay": relay.node},
            )
        self.relay = relay
        # The answer was formed at least this long after it was asked for.
        formed = sent + answer.held_s
        for follower in self.followers:
            update = answer.topics.get(follower.topic)
            if update is None:
                continue
            follower.direct.clear()
            records = [record.unpack() for record in update.records]
            if update.whole:
                follower.replace(records, update.position)
            elif update.position >= (follower.position or 0):
                follower.take(records, update.position)
            else:
                continue  # Behind what this node knows already.
            follower.confirm(formed - update.age_s)
        summary = answer.summary
        if answer.nodes_digest == self.nodes_digest and self.fleet.summary:
            summary.nodes = self.fleet.summary.nodes
        self.nodes_digest = answer.nodes_digest
        self.fleet.take_summary(summary)

    def leave(self, relay: NodeEntry, reason: str, avoid_s: float) -> None:
        """Avoids a relay for a while."""
        self.avoid[relay.node] = self.clock() + avoid_s
        log.info(
            "relay %s is not used: %s",
            relay.node,
            reason,
            extra={"event": "relay_lost", "relay": relay.node},
        )

    def go_direct(self) -> None:
        """Reads the store itself."""
        if self.relay is None:
            return
        self.relay = None
        self.nodes_digest = ""
        self.fleet.drop_summary()
        for follower in self.followers:
            follower.direct.set()
        # Its last relay still reports this node; the timer does so later.
        gevent.spawn(self.fleet.follower.step)
        log.info("this node reads the store itself", extra={"event": "direct"})

    def tell_now(self) -> None:
        """Tells relay or store at once what changed about this node."""
        if self.relay is not None and self.exchange(self.relay, 0.0):
            return
        self.fleet.publish()
