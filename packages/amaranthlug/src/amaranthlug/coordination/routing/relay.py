"""Nodes that read the store for others, so that its load does not grow.

In each zone a few nodes read the store. The others ask one of them, in one
long poll, for what changed since the offsets that they know. Offsets are
those of the store, so a node can go on at another relay or at the store.
"""

import base64
import dataclasses
import functools
import logging
import math
import zlib
from collections.abc import Callable
from typing import Protocol

import gevent
import xxhash

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.fleet_view import (
    FleetSummary,
    FleetView,
)
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.fleet import NodeEntry, NodeReport

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
WATCH_S = 0.05
"""Period in which a held exchange looks for changes, in seconds."""

COMPRESSED_BYTES = 4_096
"""Size from which a content is compressed, in bytes. A configuration of 900
routes has over 200 KB and goes to 24 nodes at once, also over links of 5
Mbit/s."""
COMPRESS_LEVEL = 1
"""Level of zlib; a configuration shrinks to a tenth at the fastest."""
KEPT_COMPRESSED = 8
"""Contents that are kept compressed; only configurations are that large."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class SentRecord:
    """A record on its way to another node.

    Attributes:
        key: Key of the record.
        value: Content in base64, None for a removed key.
        offset: Offset in the store.
        compressed: The content was compressed by zlib before.
    """

    key: str
    value: str | None
    offset: int
    compressed: bool = False

    @classmethod
    def pack(cls, record: KeyedRecord) -> "SentRecord":
        """Returns a record as it is sent."""
        value = record.value
        if value is None:
            return cls(record.key, None, record.offset)
        compressed = len(value) >= COMPRESSED_BYTES
        if compressed:
            value = compress(value)
        text = base64.b64encode(value).decode()
        return cls(record.key, text, record.offset, compressed)

    def unpack(self) -> KeyedRecord:
        """Returns the record as the store gave it."""
        value = None if self.value is None else base64.b64decode(self.value)
        if value is not None and self.compressed:
            value = zlib.decompress(value)
        return KeyedRecord(self.key, value, self.offset)


@functools.lru_cache(maxsize=KEPT_COMPRESSED)
def compress(value: bytes) -> bytes:
    """Returns a compressed content, kept for the next node that asks."""
    return zlib.compress(value, COMPRESS_LEVEL)


@dataclasses.dataclass(frozen=True)
class TopicUpdate:
    """What changed in a topic.

    Attributes:
        whole: The records are the whole topic, not only what changed.
        records: Newest records, in the order of their offsets.
        position: Offset from which to ask the next time.
        age_s: Age of the relay's knowledge when it answered, in seconds.
    """

    whole: bool
    records: list[SentRecord]
    position: int
    age_s: float


@dataclasses.dataclass(frozen=True)
class RelayRequest:
    """What a node asks its relay.

    Attributes:
        report: What the node tells of itself.
        positions: Topic -> offset from which to send changes.
        hold_s: Longest time to wait for a change, in seconds.
        nodes_digest: Digest of the list of nodes that it knows.
    """

    report: NodeReport
    positions: dict[str, int | None]
    hold_s: float
    nodes_digest: str


@dataclasses.dataclass(frozen=True)
class RelayAnswer:
    """What a relay answers.

    Attributes:
        topics: Topic -> changes.
        held_s: Time for which the exchange was held, in seconds.
        nodes_digest: Digest of the relay's list of nodes.
        summary: The fleet; its list of nodes is empty if the digest is known.
    """

    topics: dict[str, TopicUpdate]
    held_s: float
    nodes_digest: str
    summary: FleetSummary


class RelayRefusedError(OSError):
    """A node answered that it cannot read the store for others now."""


class PeerPort(Protocol):
    """Sends an exchange to another node."""

    def exchange(
        self, address: str, request: RelayRequest, timeout_s: float
    ) -> RelayAnswer:
        """Returns the answer.

        Raises:
            RelayRefusedError: The node does not read the store now.
            OSError: The node did not answer.
        """
        ...


def digest_of(nodes: list[NodeEntry]) -> str:
    """Returns a digest of a list of nodes, whatever its order."""
    text = "\n".join(sorted(repr(entry) for entry in nodes))
    return xxhash.xxh3_64_hexdigest(text.encode())


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
            if relay.node not in [r.node for r in self.choices()[:1]]:
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
