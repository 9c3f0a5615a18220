"""Gossips urgent facts: every node relays a fact that is new to it."""

import json
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import xxhash
from gevent.pool import Pool

from amaranthlug.coordination.exchange import PeerChoice
from amaranthlug.coordination.peers import PeerHandlers, PeerLink
from amaranthlug.coordination.platform import Metrics

FANOUT = 5
"""Peers to which a node sends a new fact. With 3, one of 8 nodes missed a fact
in about 2 % of cases, and a request that crashes engines reached a third
one."""

MAX_SEEN_FACTS = 4_096
"""Maximum number of facts recorded as seen; the oldest is dropped above it. If
a dropped fact arrives again, its receivers report that it is not new, and it is
not relayed."""

MAX_CONCURRENT_MESSAGES = 32
"""Maximum number of concurrent messages. Above it a fact is not relayed, which
`rumours.not_passed` counts; other nodes and the exchange still spread it."""

TIMEOUT_S = 2.0
"""Timeout of one message, in seconds."""

Receiver = Callable[[dict[str, Any]], bool]


class RumourSpreader:
    """Implements `Rumours` with the peer message `rumour`."""

    def __init__(
        self,
        link: PeerLink,
        peers: PeerChoice,
        handlers: PeerHandlers,
        metrics: Metrics,
    ):
        """Registers the handler of the message."""
        self.link = link
        self.peers = peers
        self.metrics = metrics
        self.receivers: dict[str, list[Receiver]] = {}
        self.seen: OrderedDict[int, None] = OrderedDict()
        self.sender_pool = Pool(MAX_CONCURRENT_MESSAGES)
        handlers.register("rumour", self.on_rumour)

    def subscribe(self, topic: str, receiver: Receiver) -> None:
        """Adds a receiver, which returns True if a fact was new to it."""
        self.receivers.setdefault(topic, []).append(receiver)

    def spread(self, topic: str, fact: dict[str, Any]) -> None:
        """Applies a fact and relays it if new; ignores a repeated one."""
        if not self.mark_seen(topic, fact):
            return
        # Every receiver must get the fact, hence a list and no generator.
        was_new = [receiver(fact) for receiver in self.receivers.get(topic, [])]
        if any(was_new) or not was_new:
            self.relay(topic, fact)

    def on_rumour(self, message: dict[str, Any]) -> dict[str, Any]:
        """Applies and relays a fact received from a peer."""
        self.spread(message["topic"], message["fact"])
        return {}

    def mark_seen(self, topic: str, fact: dict[str, Any]) -> bool:
        """Records a fact as seen; returns False if it already was."""
        text = json.dumps([topic, fact], sort_keys=True)
        digest = xxhash.xxh3_64_intdigest(text.encode())
        if digest in self.seen:
            self.seen.move_to_end(digest)
            return False
        self.seen[digest] = None
        if len(self.seen) > MAX_SEEN_FACTS:
            self.seen.popitem(last=False)
        return True

    def relay(self, topic: str, fact: dict[str, Any]) -> None:
        """Sends a fact to a few peers without waiting for answers."""
        for address in self.peers.pick(FANOUT):
            if self.sender_pool.full():
                self.metrics.incr("rumours.not_passed")
                return
            self.sender_pool.spawn(
                self.link.call,
                address,
                "rumour",
                {"topic": topic, "fact": fact},
                TIMEOUT_S,
            )
