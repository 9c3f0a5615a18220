"""Urgent facts, passed on by every node that finds them new."""

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
"""Peers that a new fact is sent to. With 3, one of 8 nodes missed a fact in
about 2 of 100 cases, and a crashing request reached a third engine."""

SEEN_BOUND = 4_096
"""Facts remembered as seen; the oldest is forgotten beyond. A forgotten fact
that arrives again is stopped by its subscribers, which find it not new."""

SENDING_BOUND = 32
"""Facts being sent at a time; beyond, a fact is not passed on (counted as
`rumours.not_passed`), since the other receivers and the exchange carry it."""

TIMEOUT_S = 2.0
"""Limit of one message, in seconds."""

Receiver = Callable[[dict[str, Any]], bool]


class RumourSpreader:
    """Implements `Rumours` over the message `rumour`."""

    def __init__(
        self,
        link: PeerLink,
        peers: PeerChoice,
        handlers: PeerHandlers,
        metrics: Metrics,
    ):
        """Registers the handler."""
        self.link = link
        self.peers = peers
        self.metrics = metrics
        self.receivers: dict[str, list[Receiver]] = {}
        self.seen: OrderedDict[int, None] = OrderedDict()
        self.senders = Pool(SENDING_BOUND)
        handlers.register("rumour", self.on_rumour)

    def subscribe(self, topic: str, call: Receiver) -> None:
        """Adds a receiver that returns True when the fact was new to it."""
        self.receivers.setdefault(topic, []).append(call)

    def spread(self, topic: str, fact: dict[str, Any]) -> None:
        """Applies a fact here and sends it on; repeats are ignored."""
        if not self.remember(topic, fact):
            return
        # Every receiver must see the fact, hence a list and no generator.
        new = [call(fact) for call in self.receivers.get(topic, [])]
        if any(new) or not new:
            self.pass_on(topic, fact)

    def on_rumour(self, message: dict[str, Any]) -> dict[str, Any]:
        """Handles a fact from a peer."""
        self.spread(message["topic"], message["fact"])
        return {}

    def remember(self, topic: str, fact: dict[str, Any]) -> bool:
        """Marks a fact as seen; False when it was already."""
        text = json.dumps([topic, fact], sort_keys=True)
        digest = xxhash.xxh3_64_intdigest(text.encode())
        if digest in self.seen:
            self.seen.move_to_end(digest)
            return False
        self.seen[digest] = None
        if len(self.seen) > SEEN_BOUND:
            self.seen.popitem(last=False)
        return True

    def pass_on(self, topic: str, fact: dict[str, Any]) -> None:
        """Sends a fact to a few peers without waiting."""
        for address in self.peers.pick(FANOUT):
            if self.senders.full():
                self.metrics.incr("rumours.not_passed")
                return
            self.senders.spawn(
                self.link.call,
                address,
                "rumour",
                {"topic": topic, "fact": fact},
                TIMEOUT_S,
            )
