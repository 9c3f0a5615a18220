"""Agreement of all nodes on the version of a session during a roll-out.

Each session has an owner, the first serving node in rendezvous order, whose
register decides. The next node in that order holds a copy, so that the version
outlives the owner and is known to a node that becomes the owner later. Nodes
that join get the versions of the sessions that they hold from then on.
"""

import dataclasses
import logging
from collections.abc import Callable, Iterable
from typing import Protocol

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.routing.session_claims import (
    SessionClaim,
    SessionRegister,
)

MAX_OWNERS_TRIED = 2
"""Nodes that are asked for a session: its owner and the holder of the copy."""
COPY_TIMEOUT_S = 0.15
"""Longest wait of an owner for its copy, in seconds; a VM that has used up its
processor quota stops for up to 0.1 s."""
CLAIM_TIMEOUT_S = COPY_TIMEOUT_S + 0.2
"""Longest wait for an owner, in seconds, including its wait for the copy."""
AVOID_S = 1.0
"""Time before a node that did not answer is asked again, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ClaimRequest:
    """A claim as it is sent to another node.

    Attributes:
        claim: The proposed version.
        is_copy: The receiver only keeps the version; it asks no other node.
    """

    claim: SessionClaim
    is_copy: bool


@dataclasses.dataclass(frozen=True)
class ClaimAnswer:
    """The version that counts; `on_target` is true for the new one."""

    on_target: bool


class ClaimPort(Protocol):
    """Sends claims to other nodes."""

    def claim(
        self, address: str, request: ClaimRequest, timeout_s: float
    ) -> ClaimAnswer:
        """Returns the answer of the node at `address`.

        Raises:
            OSError: The node did not answer within `timeout_s` seconds.
        """
        ...


class SessionOwners:
    """Settles the versions of sessions with their owners."""

    def __init__(
        self,
        own_name: str,
        nodes: Callable[[], list[NodeEntry]],
        port: ClaimPort,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a node's view of the owners, with an empty register.

        Args:
            own_name: Name of this node.
            nodes: Returns all live nodes, this one included.
            port: Sends claims to other nodes.
            metrics: Counts claims by outcome.
            clock: Returns seconds.
        """
        self.own_name = own_name
        self.nodes = nodes
        self.port = port
        self.metrics = metrics
        self.clock = clock
        self.register = SessionRegister(clock)
        self.avoided_until: dict[str, float] = {}
        self.known_nodes: set[tuple[str, str]] = set()

    def settle(self, claim: SessionClaim) -> bool:
        """Returns whether a session uses the new version.

        If no owner answers it uses an old one, on which most sessions are.
        """
        owners = self.ranked_nodes(claim.session)[:MAX_OWNERS_TRIED]
        for node in self.available(owners):
            on_target = self.settle_at(node, claim)
            if on_target is not None:
                self.metrics.incr("session_claims.settled")
                return on_target
        self.metrics.incr("session_claims.unanswered")
        return False

    def settle_at(self, node: NodeEntry, claim: SessionClaim) -> bool | None:
        """Returns the version by one owner, None if it does not answer."""
        if node.node == self.own_name:
            return self.decide(claim)
        return self.ask(node, ClaimRequest(claim, False), CLAIM_TIMEOUT_S)

    def answer(self, request: ClaimRequest) -> ClaimAnswer:
        """Answers a claim of another node."""
        if request.is_copy:
            return ClaimAnswer(self.register.settle(request.claim))
        return ClaimAnswer(self.decide(request.claim))

    def decide(self, claim: SessionClaim) -> bool:
        """Decides as the owner; sends the version to a holder without a copy.

        The node with the copy may know the session from the time when it was
        the owner itself.
        """
        holder = self.copy_holder(claim.session)
        holder_name = holder.node if holder is not None else None
        if not self.register.needs_copy(claim, holder_name):
            return self.register.settle(claim)
        known = self.register.find(claim)
        if known is not None:
            claim = dataclasses.replace(claim, on_target=known)
        copied = None
        if holder is not None and self.is_available(holder):
            copied = self.ask(holder, ClaimRequest(claim, True), COPY_TIMEOUT_S)
        if known is None and copied is not None:
            claim = dataclasses.replace(claim, on_target=copied)
        on_target = self.register.settle(claim)
        if holder is None or copied is not None:
            self.register.mark_copied(claim, holder_name)
        return on_target

    def hand_over(self) -> None:
        """Sends the versions of sessions to nodes that now hold them.

        When several nodes join at once, the owner of a session and its copy may
        both be new.
        """
        now = self.clock()
        self.avoided_until = {
            name: until
            for name, until in self.avoided_until.items()
            if until > now
        }
        serving = self.serving_nodes()
        nodes = {(e.node, e.incarnation) for e in serving.values()}
        added = {name for name, _ in nodes - self.known_nodes}
        self.known_nodes = nodes
        added.discard(self.own_name)
        if not added:
            return
        for claim in self.register.claims():
            holders = rank_nodes(claim.session, serving)[:MAX_OWNERS_TRIED]
            for node in self.available(holders):
                if node.node in added:
                    self.ask(node, ClaimRequest(claim, True), COPY_TIMEOUT_S)

    def ask(
        self, node: NodeEntry, request: ClaimRequest, timeout_s: float
    ) -> bool | None:
        """Returns another node's answer, None if there is none."""
        try:
            answer = self.port.claim(node.peer_address, request, timeout_s)
        except OSError as error:
            self.avoided_until[node.node] = self.clock() + AVOID_S
            log.info(
                "owner %s of a session did not answer: %s",
                node.node,
                error,
                extra={"event": "owner_lost", "owner": node.node},
            )
            return None
        return answer.on_target

    def copy_holder(self, session: str) -> NodeEntry | None:
        """Returns the node that follows this one, None without one."""
        ranked = self.ranked_nodes(session)
        names = [entry.node for entry in ranked]
        if self.own_name not in names:
            return None
        rank = names.index(self.own_name)
        return next(iter(ranked[rank + 1 :]), None)

    def available(self, nodes: Iterable[NodeEntry]) -> list[NodeEntry]:
        """Returns the nodes that did not fail to answer a moment ago."""
        return [entry for entry in nodes if self.is_available(entry)]

    def is_available(self, node: NodeEntry) -> bool:
        """Returns whether a node did not fail to answer a moment ago."""
        return self.avoided_until.get(node.node, 0.0) <= self.clock()

    def ranked_nodes(self, session: str) -> list[NodeEntry]:
        """Returns the first serving nodes in rendezvous order of a session."""
        return rank_nodes(session, self.serving_nodes())

    def serving_nodes(self) -> dict[str, NodeEntry]:
        """Returns the serving nodes by name."""
        return {entry.node: entry for entry in self.nodes() if entry.serving}


def rank_nodes(session: str, serving: dict[str, NodeEntry]) -> list[NodeEntry]:
    """Returns the first of `serving` in rendezvous order of a session.

    They are the owner, the node with the copy, and the one that follows them.
    """
    names = rendezvous_order(session, serving)[: MAX_OWNERS_TRIED + 1]
    return [serving[name] for name in names]
