"""Nodes and servers that limit what all nodes together send, without network.

Nodes choose servers by one of three ways:

- `none`: each node sends to the server with the least known load, and to
  another one if that turns the request away.
- `static`: slots and limits are dealt to the nodes by rendezvous hashing.
- `owner`: grants of the owner of each server, by the modules of the node.
"""

import collections
import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

import gevent

from amaranthlug.coordination.routing.grant_owners import (
    USAGE_REPORT_PERIOD_S,
    GrantAnswer,
    GrantOwners,
    GrantRequest,
)
from amaranthlug.protocol.routing.messages import ServerLoad
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.routing.server_statements import ServerStatements
from amaranthlug.state.routing.servers import ServerEntry, ServerState

START_S = 1_000.0
"""First reading of the simulated clock, in seconds."""
LIMIT = 2.5
"""Requests a second that a limited server takes."""
MAX_ATTEMPTS = 3
"""Servers to which one request is sent."""
MAX_ASKED = 4
"""Servers without room for which one request asks."""
MAX_COMPARED = 32
"""Servers among which a request chooses."""


@dataclasses.dataclass
class LimitScenario:
    """What is simulated.

    Attributes:
        nodes: Number of nodes.
        servers: Number of servers.
        way: How nodes choose servers: `none`, `static` or `owner`.
        limited: A quarter of the servers name a limit; else all are brittle.
        unaware: Nodes that know nothing of limits, as those of earlier builds.
        slots: Requests that a server runs at once.
        stated_slots: Slots that servers state, 0 if they are the true ones.
        request_s: Duration of a request, in seconds.
        max_refusals: Refusals in one second that a server bears.
        down_s: Time for which a server is down after a fall, in seconds.
        notice_s: Time for which servers bear refusals at first, in seconds.
    """

    nodes: int = 8
    servers: int = 9
    way: str = "owner"
    limited: bool = False
    unaware: int = 0
    slots: int = 12
    stated_slots: int = 0
    request_s: float = 0.5
    max_refusals: int = 4
    down_s: float = 3.0
    notice_s: float = 0.0

    @property
    def fits_per_s(self) -> float:
        """Returns the requests a second that the servers can run."""
        return self.servers * self.slots / self.request_s


class SimulatedClock:
    """The simulated time, in seconds."""

    def __init__(self) -> None:
        """Starts at an arbitrary time."""
        self.now = START_S

    def __call__(self) -> float:
        """Returns the time."""
        return self.now


class DroppedMetrics:
    """Drops all counts."""

    def incr(self, name: str, amount: int = 1) -> None:
        """Drops a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drops a value."""

    def timing(self, name: str, value_ms: float) -> None:
        """Drops a duration."""


class LimitedServer:
    """A server; a brittle one falls over if it turns too many away."""

    def __init__(self, scenario: LimitScenario, number: int):
        """Creates an idle server."""
        self.scenario = scenario
        self.number = number
        self.starts = 1
        self.entry = self.make_entry()
        is_limited = scenario.limited and number % 4 == 0
        self.limit = LIMIT if is_limited else None
        self.running = 0
        self.falls_from = START_S + scenario.notice_s
        self.down_until = 0.0
        self.arrivals: list[float] = []
        self.refusals: collections.deque[float] = collections.deque(
            maxlen=scenario.max_refusals + 1
        )
        self.falls = 0

    def make_entry(self) -> ServerEntry:
        """Returns the entry of the present instance."""
        slots = self.scenario.stated_slots or self.scenario.slots
        return ServerEntry(
            f"s{self.number}",
            self.starts,
            "pool",
            "-",
            "z",
            "v1",
            slots,
            ServerState.READY,
        )

    def take(self, now: float) -> bool:
        """Returns whether it runs one more request."""
        self.arrivals.append(now)
        if self.running < self.scenario.slots:
            self.running += 1
            return True
        if now >= self.falls_from:
            self.refusals.append(now)
        is_over = len(self.refusals) > self.scenario.max_refusals
        if is_over and now - self.refusals[0] < 1.0:
            self.fall(now)
        return False

    def fall(self, now: float) -> None:
        """Falls over; another instance starts after a while."""
        self.falls += 1
        self.running = 0
        self.refusals.clear()
        self.down_until = now + self.scenario.down_s
        self.starts += 1
        self.entry = self.make_entry()

    def load(self) -> ServerLoad:
        """Returns the load that it states."""
        return ServerLoad(self.running, 0, self.entry.slots)


class StaticShares:
    """Slots and limits that are dealt to the nodes in advance."""

    def __init__(
        self,
        servers: list[LimitedServer],
        scenario: LimitScenario,
        clock: SimulatedClock,
    ):
        """Deals each server's slots to the nodes in its rendezvous order."""
        self.clock = clock
        names = [str(node) for node in range(scenario.nodes)]
        self.slots: collections.Counter[tuple[int, int]] = collections.Counter()
        self.rates: dict[tuple[int, int], float] = {}
        self.next_at: dict[tuple[int, int], float] = {}
        for server in servers:
            order = rendezvous_order(server.entry.server_id, names)
            for name in itertools.islice(
                itertools.cycle(order), scenario.slots
            ):
                self.slots[int(name), server.number] += 1
            if server.limit is not None:
                holders = order[: int(2 * server.limit + 3)]
                for name in holders:
                    key = int(name), server.number
                    self.rates[key] = server.limit / len(holders)

    def fits(self, node: int, server: LimitedServer, running: int) -> bool:
        """Returns whether a request fits the share of a node."""
        key = node, server.number
        if server.limit is None:
            return running < self.slots[key]
        now = self.clock()
        if key not in self.rates or now < self.next_at.get(key, 0.0):
            return False
        self.next_at[key] = now + 1 / self.rates[key]
        return True


class SimulatedNode:
    """What one node knows of the servers."""

    def __init__(
        self, number: int, fleet: "LimitSimulation", is_aware: bool
    ) -> None:
        """Creates a node that has used no server."""
        self.is_aware = is_aware
        self.entry = NodeEntry(
            str(number),
            "i",
            "-",
            str(number),
            "z",
            "r",
            True,
            grants_requests=is_aware,
        )
        self.statements = ServerStatements(fleet.clock)
        self.health = ServerHealthTracker(fleet.clock)
        self.grants = GrantOwners(
            self.entry.node,
            lambda: [node.entry for node in fleet.nodes],
            self.statements,
            fleet,
            DroppedMetrics(),
            fleet.clock,
        )


class LimitSimulation:
    """Nodes and servers in simulated time."""

    def __init__(self, scenario: LimitScenario, seed: int = 1):
        """Creates a fleet in which all nodes have heard of the statements."""
        self.scenario = scenario
        self.clock = SimulatedClock()
        self.random = random.Random(seed)
        self.messages = 0
        self.served = 0
        self.sent = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.servers = [
            LimitedServer(scenario, n) for n in range(scenario.servers)
        ]
        self.shares = StaticShares(self.servers, scenario, self.clock)
        self.nodes: list[SimulatedNode] = []
        for number in range(scenario.nodes):
            is_aware = scenario.way == "owner" and number >= scenario.unaware
            self.nodes.append(SimulatedNode(number, self, is_aware))
            self.tell(self.nodes[-1].statements)

    @property
    def falls(self) -> int:
        """Returns how often servers have fallen over."""
        return sum(server.falls for server in self.servers)

    def tell(self, statements: ServerStatements) -> None:
        """Repeats the statements of all servers to a node."""
        for server in self.servers:
            if server.limit is not None:
                statements.record_limit(server.entry, server.limit, 0.0)
            elif not self.scenario.limited:
                statements.record_brittle(
                    server.entry, self.scenario.max_refusals
                )

    def ask_grant(
        self, address: str, request: GrantRequest, timeout_s: float
    ) -> GrantAnswer:
        """Passes a message to its receiver at once."""
        self.messages += 1
        return self.nodes[int(address)].grants.answer(request)

    def at(self, time: float, event: Callable[[], None]) -> None:
        """Runs an event at a time."""
        heapq.heappush(self.events, (time, next(self.count), event))

    def send(self, node: SimulatedNode) -> None:
        """Sends a request of a caller to one server after the other."""
        self.sent += 1
        tried: set[int] = set()
        attempts = 0
        for _ in range(MAX_ASKED):
            server = self.choose(node, tried)
            if server is None or attempts >= MAX_ATTEMPTS:
                return
            tried.add(server.number)
            if not self.may_send(node, server):
                continue
            attempts += 1
            entry = server.entry
            node.health.record_start(entry)
            if server.take(self.clock()):
                self.served += 1
                self.at(
                    self.clock() + self.scenario.request_s,
                    functools.partial(self.finish, node, server, entry, False),
                )
                return
            self.finish(node, server, entry, True)

    def choose(
        self, node: SimulatedNode, tried: set[int]
    ) -> LimitedServer | None:
        """Returns the server with the least load that a node knows of."""
        now = self.clock()
        sample = self.random.sample(
            self.servers, min(MAX_COMPARED, len(self.servers))
        )
        usable = [
            server
            for server in sample
            if server.number not in tried
            and now >= server.down_until
            and node.grants.may_ask(server.entry)
        ]
        return min(
            usable, key=lambda s: node.health.load(s.entry), default=None
        )

    def may_send(self, node: SimulatedNode, server: LimitedServer) -> bool:
        """Returns whether the way that is simulated allows a request."""
        if node.is_aware:
            return node.grants.acquire(server.entry)
        if self.scenario.way == "static":
            own = node.health.get_or_create(server.entry).own_requests
            return self.shares.fits(int(node.entry.node), server, own)
        return True

    def finish(
        self,
        node: SimulatedNode,
        server: LimitedServer,
        entry: ServerEntry,
        refused: bool,
    ) -> None:
        """Ends a request at an instance, which states its load."""
        if server.entry is entry:
            node.health.record_load(entry, server.load())
            if not refused:
                server.running -= 1
        node.health.record_end(entry)
        if node.is_aware:
            self.report_end(node, server, entry, refused)

    def report_end(
        self,
        node: SimulatedNode,
        server: LimitedServer,
        entry: ServerEntry,
        refused: bool,
    ) -> None:
        """Tells the owner of a server that a request has ended."""
        if refused and not self.scenario.limited:
            node.grants.record_refusal(entry)
        if server.entry is entry:
            load = server.running + (not refused)
            node.grants.record_load(entry, load, 0, refused)
        node.grants.release(entry)
        gevent.sleep(0)  # Sends the report of the release.

    def report(self) -> None:
        """Sends the periodic reports of all nodes."""
        for node in self.nodes:
            if node.is_aware:
                self.tell(node.statements)
                node.grants.report()
        gevent.sleep(0)
        self.at(self.clock() + USAGE_REPORT_PERIOD_S, self.report)

    def play(
        self, per_second: float, seconds: float, uneven: bool = False
    ) -> None:
        """Sends requests at random times for a while.

        Args:
            per_second: Requests a second.
            seconds: Simulated time, in seconds.
            uneven: All callers are at the last node.
        """
        until = self.clock() + seconds
        self.report()

        def arrive() -> None:
            node = self.nodes[-1] if uneven else self.random.choice(self.nodes)
            self.send(node)
            self.at(self.clock() + self.random.expovariate(per_second), arrive)

        arrive()
        while self.events[0][0] < until:
            self.clock.now, _, event = heapq.heappop(self.events)
            event()
