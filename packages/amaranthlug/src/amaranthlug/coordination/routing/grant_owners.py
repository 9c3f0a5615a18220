"""Grants of requests at servers that limit what they take from all nodes.

While a server is brittle or names a limit, each node asks before it sends
there. The owner of the server, the first serving node in its rendezvous order,
counts what all nodes use and grants what fits.
"""

import collections
import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.routing.server_grants import (
    FULL_S,
    MIN_RATE,
    ServerGrants,
    ServerUsage,
)
from amaranthlug.state.routing.server_room import StatedLoad
from amaranthlug.state.routing.server_statements import ServerStatements
from amaranthlug.state.routing.servers import ServerEntry

MAX_OWNERS_TRIED = 2
"""Nodes that are asked for a server: its owner and the one that follows."""
GRANT_TIMEOUT_S = 0.15
"""Longest wait for an owner, in seconds; a VM that has used up its processor
quota stops for up to 0.1 s."""
AVOID_S = 1.0
"""Time before a node that did not answer is asked again, in seconds."""
USAGE_REPORT_PERIOD_S = 0.5
"""Period of the reports of what this node uses, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class GrantRequest:
    """A report of what a node uses, sent to the owner of these servers.

    Attributes:
        node: Name of the node.
        sequence: Increases with each report of the node.
        usage: What it uses of each server.
        wanted: A request is to be granted, which is counted in the only entry.
    """

    node: str
    sequence: int
    usage: list[ServerUsage]
    wanted: bool


@dataclasses.dataclass(frozen=True)
class GrantAnswer:
    """The answer of an owner.

    Attributes:
        granted: The request may be sent.
        full: Servers of this owner to which nothing is granted at present,
            and for how long, in seconds; only stated if the request was not
            granted.
    """

    granted: bool
    full: dict[str, float]


class GrantPort(Protocol):
    """Sends reports and requests for grants to other nodes."""

    def ask_grant(
        self, address: str, request: GrantRequest, timeout_s: float
    ) -> GrantAnswer:
        """Returns the answer of the node at `address`.

        Raises:
            OSError: The node did not answer within `timeout_s` seconds.
        """
        ...


class GrantOwners:
    """Asks the owners of servers, and answers for those that this node owns.

    Attributes:
        running: Instance -> requests of this node at it.
        used: Instance -> its entry, if this node has used it lately.
        full_until: Name of an instance -> clock until which it is not asked
            for, in seconds.
    """

    def __init__(
        self,
        own_name: str,
        nodes: Callable[[], list[NodeEntry]],
        statements: ServerStatements,
        port: GrantPort,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a node's view of the owners, with an empty register.

        Args:
            own_name: Name of this node.
            nodes: Returns all live nodes, this one included.
            statements: Knows which servers limit what they take.
            port: Sends requests to other nodes.
            metrics: Counts requests for grants by outcome.
            clock: Returns seconds.
        """
        self.own_name = own_name
        self.nodes = nodes
        self.statements = statements
        self.port = port
        self.metrics = metrics
        self.clock = clock
        self.grants = ServerGrants(clock)
        self.even_share = ServerGrants(clock)
        self.running: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.refused: collections.Counter[tuple[str, int]] = (
            collections.Counter()
        )
        self.loads: dict[tuple[str, int], tuple[StatedLoad, float]] = {}
        self.full_until: dict[str, float] = {}
        self.avoided_until: dict[str, float] = {}
        self.used: dict[tuple[str, int], ServerEntry] = {}
        self.told: dict[tuple[str, int], str] = {}
        self.ranked: dict[str, list[NodeEntry]] = {}
        self.sequence = 0

    def acquire(self, server: ServerEntry) -> bool:
        """Returns whether a request may be sent to a server; counts it then.

        `release` must follow once the request has ended.
        """
        key = server.instance_key
        self.running[key] += 1
        self.used[key] = server
        granted = False
        try:
            granted = not self.is_limited(server) or self.ask(server)
        finally:
            if not granted:
                self.count_end(key)
        return granted

    def release(self, server: ServerEntry) -> None:
        """Counts the end of a request at a server and tells its owner."""
        self.count_end(server.instance_key)
        if self.is_limited(server):
            self.tell_owners([server])

    def count_end(self, key: tuple[str, int]) -> None:
        """Counts one request less at an instance."""
        self.running[key] -= 1
        if self.running[key] <= 0:
            del self.running[key]

    def record_refusal(self, server: ServerEntry) -> None:
        """Records that a server turned a request away for want of room."""
        self.refused[server.instance_key] += 1

    def record_load(
        self, server: ServerEntry, running: int, waiting: int, refused: bool
    ) -> None:
        """Records the load in an answer, for the next report to the owner.

        Args:
            server: The server.
            running: Requests that it runs.
            waiting: Requests that it queues.
            refused: The answer turned a request away.
        """
        if self.is_limited(server):
            load = StatedLoad(running + waiting, waiting, refused=refused)
            self.loads[server.instance_key] = load, self.clock()

    def may_ask(self, server: ServerEntry) -> bool:
        """Returns whether a server may have room for one more request."""
        until = self.full_until.get(server.instance_name)
        return until is None or self.clock() >= until

    def is_limited(self, server: ServerEntry) -> bool:
        """Returns whether requests at a server have to be granted."""
        return (
            self.statements.max_refusals(server) is not None
            or self.statements.limit(server) is not None
        )

    def ask(self, server: ServerEntry) -> bool:
        """Asks for one request at a server, counted in `running`."""
        granted: bool | None = None
        for owner in self.owners(server):
            if owner.node == self.own_name:
                granted = self.grant_here(server)
            elif self.avoided_until.get(owner.node, 0.0) <= self.clock():
                granted = self.ask_owner(owner, server)
            if granted is not None:
                break
        if granted is None:
            granted = self.fits_even_share(server)
            self.metrics.incr("grants.unanswered")
        self.metrics.incr("grants.given" if granted else "grants.denied")
        if not granted and self.may_ask(server):
            self.mark_full({server.instance_name: FULL_S})
        return granted

    def grant_here(self, server: ServerEntry) -> bool:
        """Decides as the owner on a request of this node."""
        granted = self.grants.grant(
            self.own_name,
            self.next_sequence(),
            self.usage_for(self.own_name, server),
        )
        if not granted:
            self.mark_full(self.grants.full_servers())
        return granted

    def ask_owner(self, owner: NodeEntry, server: ServerEntry) -> bool | None:
        """Returns the answer of another node, None if there is none."""
        answer = self.send(owner, [server], wanted=True)
        if answer is None:
            return None
        self.mark_full(answer.full)
        return answer.granted

    def fits_even_share(self, server: ServerEntry) -> bool:
        """Returns whether a request fits an even share of slots and limit.

        It is what a node may use while no owner answers.
        """
        nodes = max(1, len(self.nodes()))
        usage = self.usage_for(self.own_name, server)
        usage = dataclasses.replace(
            usage,
            slots=max(1, usage.slots // nodes),
            limit=None if usage.limit is None else usage.limit / nodes,
        )
        return self.even_share.grant(self.own_name, self.next_sequence(), usage)

    def mark_full(self, waits: dict[str, float]) -> None:
        """Asks for none of these servers for the given seconds."""
        now = self.clock()
        for name, wait_s in waits.items():
            self.full_until[name] = now + wait_s

    def answer(self, request: GrantRequest) -> GrantAnswer:
        """Answers another node as the owner of the servers it names."""
        if not request.wanted:
            for usage in request.usage:
                self.grants.update(request.node, request.sequence, usage)
            return GrantAnswer(False, {})
        granted = self.grants.grant(
            request.node, request.sequence, request.usage[0]
        )
        full = {} if granted else self.grants.full_servers()
        return GrantAnswer(granted, full)

    def report(self) -> None:
        """Repeats to each owner what this node uses of its servers."""
        self.ranked.clear()
        self.metrics.gauge("grants.most_others", self.grants.most_others())
        self.tell_owners([s for s in self.used.values() if self.is_limited(s)])
        for key in [key for key in self.used if key not in self.running]:
            del self.used[key]
            self.told.pop(key, None)

    def tell_owners(self, used: list[ServerEntry]) -> None:
        """Tells the owner of each of these servers what this node uses."""
        by_owner: dict[str, tuple[NodeEntry, list[ServerEntry]]] = {}
        for server in used:
            owner = next(iter(self.owners(server)), None)
            if owner is None or owner.node == self.own_name:
                self.report_to_self(server)
            else:
                servers = by_owner.setdefault(owner.node, (owner, []))[1]
                servers.append(server)
        for owner, servers in by_owner.values():
            gevent.spawn(self.report_to, owner, servers)

    def report_to_self(self, server: ServerEntry) -> None:
        """Records what this node uses of a server that it owns."""
        self.grants.update(
            self.own_name,
            self.next_sequence(),
            self.usage_for(self.own_name, server),
        )

    def report_to(self, owner: NodeEntry, servers: list[ServerEntry]) -> None:
        """Tells an owner what this node uses of its servers."""
        if self.avoided_until.get(owner.node, 0.0) <= self.clock():
            self.send(owner, servers, wanted=False)

    def send(
        self, owner: NodeEntry, servers: list[ServerEntry], wanted: bool
    ) -> GrantAnswer | None:
        """Sends a report to an owner; None if it does not answer."""
        request = GrantRequest(
            self.own_name,
            self.next_sequence(),
            [self.usage_for(owner.node, server) for server in servers],
            wanted,
        )
        try:
            return self.port.ask_grant(
                owner.peer_address, request, GRANT_TIMEOUT_S
            )
        except OSError as error:
            self.avoided_until[owner.node] = self.clock() + AVOID_S
            log.info(
                "owner %s of a server did not answer: %s",
                owner.node,
                error,
                extra={"event": "grant_owner_lost", "owner": owner.node},
            )
            return None

    def usage_for(self, owner: str, server: ServerEntry) -> ServerUsage:
        """Returns what this node uses of a server, to tell an owner."""
        key = server.instance_key
        former = self.told.get(key, owner)
        self.told[key] = owner
        limit = self.statements.limit(server)
        return ServerUsage(
            server.instance_name,
            self.running[key],
            max(1, server.slots),
            self.statements.max_refusals(server),
            self.refused.pop(key, 0),
            former != owner,
            None if limit is None else max(limit, MIN_RATE),
            self.take_load(key),
        )

    def take_load(self, key: tuple[str, int]) -> StatedLoad | None:
        """Returns the load of an instance that no owner has been told."""
        stated = self.loads.pop(key, None)
        if stated is None:
            return None
        load, heard_at = stated
        return dataclasses.replace(load, age_s=self.clock() - heard_at)

    def next_sequence(self) -> int:
        """Returns the number of the next report, also after a restart."""
        self.sequence = max(self.sequence + 1, int(self.clock() * 1e6))
        return self.sequence

    def owners(self, server: ServerEntry) -> list[NodeEntry]:
        """Returns the nodes that are asked for a server, in order."""
        if server.server_id not in self.ranked:
            granting = {
                entry.node: entry
                for entry in self.nodes()
                if entry.serving and entry.grants_requests
            }
            order = rendezvous_order(f"grants|{server.server_id}", granting)
            self.ranked[server.server_id] = [
                granting[name] for name in order[:MAX_OWNERS_TRIED]
            ]
        return self.ranked[server.server_id]

    def keep_only(self, listed: list[ServerEntry]) -> None:
        """Forgets servers that are not listed and what has expired."""
        names = {entry.instance_name for entry in listed}
        self.grants.keep_only(names)
        self.even_share.keep_only(names)
        now = self.clock()
        for until_by_name in (self.full_until, self.avoided_until):
            for name in [n for n, at in until_by_name.items() if at <= now]:
                del until_by_name[name]
        keys = {entry.instance_key for entry in listed}
        for by_instance in (self.refused, self.told, self.loads):
            for key in [key for key in by_instance if key not in keys]:
                del by_instance[key]
