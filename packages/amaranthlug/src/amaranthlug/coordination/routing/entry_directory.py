"""Names the nodes to which callers connect.

A node is named while it has a sign of life that is young enough. One whose sign
grows old is asked itself, so that it stays named while the store is away or its
reports are late, and a dead one does not.
"""

import dataclasses
import logging
import math
import random
from collections.abc import Callable
from typing import Protocol

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.entry_choice import choose_entries
from amaranthlug.coordination.routing.node_signs import NodeSigns
from amaranthlug.coordination.routing.relay_roles import NODES_PER_RELAY
from amaranthlug.coordination.supervised import record_error
from amaranthlug.state.routing.fleet import NodeEntry

MAX_SIGN_AGE_S = 2.8
"""Age of its newest sign of life up to which a node is named, in seconds."""
MAX_SIGN_AGE_FAR_S = 3.9
"""The same where a zone has several relays, in seconds; they learn of each
other's members through the store only."""
ASK_BEFORE_S = 0.8
"""Time before that age from which on a node is asked, in seconds."""
ASK_BEFORE_FAR_S = 0.5
"""The same where a zone has several relays, in seconds; most signs are younger
than that although they came through the store."""
ASK_TIMEOUT_S = 0.5
"""Longest wait for the answer of a node that is asked, in seconds."""
ANSWER_WAIT_S = 0.3
"""Longest time for which a caller's question waits for such answers, in
seconds; callers give up after 1 s."""
ASK_AGAIN_S = 1.0
"""Time after which a node that did not answer is asked again, in seconds."""
NODE_KEPT_S = 30.0
"""Age of its newest sign of life up to which a node that nobody lists any more
is asked, in seconds; it may be cut off from the store only."""
MAX_ASKED = 16
"""Most nodes that are asked at the same time."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class LifeRequest:
    """Asks a node whether it serves callers.

    Attributes:
        sender: Name of the node that asks.
    """

    sender: str


@dataclasses.dataclass(frozen=True)
class LifeAnswer:
    """The answer to `LifeRequest`.

    Attributes:
        node: Name of the node that answers.
        serving: It serves callers.
        confirmed: Its configuration is young enough for requests with keys.
    """

    node: str
    serving: bool
    confirmed: bool = True


class LifePort(Protocol):
    """Asks other nodes whether they live."""

    def ask_life(
        self, address: str, request: LifeRequest, timeout_s: float
    ) -> LifeAnswer | None:
        """Returns the answer of a node; None if its build has no such answer.

        Raises:
            OSError: The node did not answer within `timeout_s` seconds.
        """
        ...


class EntryDirectory:
    """Chooses the addresses for callers.

    Attributes:
        known: Node -> its newest registration.
        failed_at: Node -> boot clock at which it did not answer, or could not
            serve callers, in seconds.
        asking: Node -> greenlet that asks it.
        left_out: Nodes that are not named for want of a sign.
    """

    def __init__(
        self,
        own_name: str,
        nodes: Callable[[], list[NodeEntry]],
        signs: NodeSigns,
        port: LifePort,
        is_confirmed: Callable[[], bool],
        metrics: Metrics,
        rng: random.Random,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates the directory of a node.

        Args:
            own_name: Name of this node.
            nodes: Returns the nodes that are taken for live.
            signs: Their signs of life.
            port: Asks other nodes.
            is_confirmed: Returns whether this node's configuration is young
                enough for requests with keys.
            metrics: Receives the counters.
            rng: Source of random numbers.
            clock: Returns seconds.
        """
        self.own_name = own_name
        self.nodes = nodes
        self.signs = signs
        self.port = port
        self.is_confirmed = is_confirmed
        self.metrics = metrics
        self.random = rng
        self.clock = clock
        self.known: dict[str, NodeEntry] = {}
        self.failed_at: dict[str, float] = {}
        self.asking: dict[str, gevent.Greenlet] = {}
        self.left_out: set[str] = set()

    def addresses(self, zone: str, region: str) -> list[str]:
        """Returns the node addresses for a caller in `zone` of `region`."""
        self.refresh()
        return choose_entries(
            list(self.known.values()), zone, region, self.random, self.confirm
        )

    def refresh(self) -> None:
        """Takes over the registrations of all nodes that are listed now.

        Those of others are kept for a while.
        """
        listed = {entry.node: entry for entry in self.nodes()}
        kept = {
            node: entry
            for node, entry in self.known.items()
            if self.signs.age_s(node) < NODE_KEPT_S
        }
        self.known = kept | listed
        self.failed_at = {
            node: at
            for node, at in self.failed_at.items()
            if node in self.known
        }

    def answer(self, request: LifeRequest, serving: bool) -> LifeAnswer:
        """Answers another node, whose question is a sign of its life."""
        self.signs.record(request.sender, self.clock())
        return LifeAnswer(self.own_name, serving, self.is_confirmed())

    def confirm(self, entries: list[NodeEntry]) -> list[NodeEntry]:
        """Returns the nodes with a young sign of life; asks those in doubt.

        Waits for the answers of nodes that would be left out otherwise, unless
        they have just failed to answer.
        """
        limit_s, ask_before_s = MAX_SIGN_AGE_S, ASK_BEFORE_S
        if len(entries) > NODES_PER_RELAY:
            limit_s, ask_before_s = MAX_SIGN_AGE_FAR_S, ASK_BEFORE_FAR_S
        others = [entry for entry in entries if entry.node != self.own_name]
        self.ask_doubtful(others, limit_s - ask_before_s)
        awaited = [
            self.asking[entry.node]
            for entry in others
            if entry.node in self.asking
            and not self.has_failed(entry.node)
            and self.signs.age_s(entry.node) >= limit_s
        ]
        if awaited:
            gevent.joinall(awaited, timeout=ANSWER_WAIT_S)
        unconfirmed = {
            entry.node
            for entry in others
            if self.signs.age_s(entry.node) >= limit_s
        }
        self.log_changes(others, unconfirmed)
        return [entry for entry in entries if entry.node not in unconfirmed]

    def has_failed(self, node: str) -> bool:
        """Returns whether a node gave no answer since its newest sign."""
        failed_at = self.failed_at.get(node, -math.inf)
        return failed_at > self.signs.heard_at.get(node, -math.inf)

    def ask_doubtful(self, entries: list[NodeEntry], age_s: float) -> None:
        """Asks the nodes whose newest sign is older than `age_s` seconds."""
        now = self.clock()
        doubtful = [
            entry
            for entry in entries
            if self.signs.age_s(entry.node) >= age_s
            and entry.node not in self.asking
            and now - self.failed_at.get(entry.node, -math.inf) >= ASK_AGAIN_S
        ]
        free = MAX_ASKED - len(self.asking)
        if len(doubtful) > free:
            doubtful = self.random.sample(doubtful, max(0, free))
        for entry in doubtful:
            self.asking[entry.node] = gevent.spawn(self.ask, entry)

    def ask(self, entry: NodeEntry) -> None:
        """Asks a node and records its answer as a sign of life."""
        asked_at = self.clock()
        self.metrics.incr("life_asked")
        try:
            answer = self.port.ask_life(
                entry.peer_address, LifeRequest(self.own_name), ASK_TIMEOUT_S
            )
            fault = "" if answer is None else self.fault_of(entry, answer)
            if fault:
                self.record_failure(entry, fault)
            else:
                self.signs.record(entry.node, asked_at)
        except OSError as error:
            self.record_failure(entry, str(error))
        except Exception as error:
            record_error("ask for life", error, subject=entry.node)
            self.record_failure(entry, "unexpected error")
        finally:
            del self.asking[entry.node]

    def fault_of(self, entry: NodeEntry, answer: LifeAnswer) -> str:
        """Returns why callers are not sent to a node that answered, or ''.

        One with an old configuration refuses most of them; where this node
        would as well, none is known to be better.
        """
        if answer.node != entry.node:
            return f"node {answer.node} has its address"
        if not answer.serving:
            return "it does not serve callers"
        if not answer.confirmed and self.is_confirmed():
            return "its configuration is too old"
        return ""

    def record_failure(self, entry: NodeEntry, reason: str) -> None:
        """Records that a node was asked in vain."""
        self.failed_at[entry.node] = self.clock()
        self.metrics.incr("life_unanswered")
        log.info(
            "node %s was asked in vain: %s",
            entry.node,
            reason,
            extra={
                "event": "life_unanswered",
                "subject": entry.node,
                "sign_age_s": loggable(self.signs.age_s(entry.node)),
            },
        )

    def log_changes(
        self, entries: list[NodeEntry], unconfirmed: set[str]
    ) -> None:
        """Logs which nodes are left out of answers, and named again."""
        considered = {entry.node for entry in entries}
        for event, nodes in (
            ("node_left_out", unconfirmed - self.left_out),
            ("node_named_again", considered & self.left_out - unconfirmed),
        ):
            if nodes:
                log.info(
                    "%d nodes are %s in answers to callers",
                    len(nodes),
                    "left out" if event == "node_left_out" else "named again",
                    extra={
                        "event": event,
                        "sign_age_s": {
                            node: loggable(self.signs.age_s(node))
                            for node in sorted(nodes)[:MAX_ASKED]
                        },
                    },
                )
        self.left_out = (self.left_out - considered) | unconfirmed


def loggable(age_s: float) -> float | None:
    """Returns an age as it is logged, None if it is unknown."""
    return None if math.isinf(age_s) else round(age_s, 2)
