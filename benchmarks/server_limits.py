"""Compares ways to keep a bound that a server has towards all nodes together.

A simulation without network: nodes send to brittle servers, or to servers of
which a quarter name a limit, by one of three ways:

- `none`: each node sends to the server with the fewest of its own requests,
  and to another one if that turns the request away.
- `static`: slots and limits are dealt to the nodes by rendezvous hashing.
- `owner`: grants of the owner of each server, by the modules of the node.

    python benchmarks/server_limits.py [--seconds 10]
"""

import argparse
import collections
import dataclasses
import heapq
import itertools
import logging
import random
from collections.abc import Callable

import gevent

from amaranthlug.coordination.routing.grant_owners import (
    USAGE_REPORT_PERIOD_S,
    GrantAnswer,
    GrantOwners,
    GrantRequest,
)
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.routing.fleet import NodeEntry
from amaranthlug.state.routing.server_statements import ServerStatements
from amaranthlug.state.routing.servers import ServerEntry, ServerState

SLOTS = 12
REQUEST_S = 0.5
MAX_REFUSALS = 4
DOWN_S = 3.0
LIMIT = 2.5
WINDOW_S = 4.0
MAX_ATTEMPTS = 3
MAX_ASKED = 4
SHAPES = ((8, 9), (60, 40), (390, 100))
LOADS = (0.5, 1.0, 2.5)
WAYS = ("none", "static", "owner")


class Clock:
    """The simulated time, in seconds."""

    def __init__(self) -> None:
        """Starts at an arbitrary time."""
        self.now = 1_000.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now


class NoMetrics:
    """Drops all counts."""

    def incr(self, name: str, amount: int = 1) -> None:
        """Drops a count."""

    def timing(self, name: str, value_ms: float) -> None:
        """Drops a duration."""


@dataclasses.dataclass
class Server:
    """A simulated server; it falls over if it turns too many away."""

    entry: ServerEntry
    limit: float | None
    running: int = 0
    down_until: float = 0.0
    arrivals: list[float] = dataclasses.field(default_factory=list)
    refusals: collections.deque = dataclasses.field(
        default_factory=lambda: collections.deque(maxlen=MAX_REFUSALS + 1)
    )
    falls: int = 0

    def take(self, now: float) -> bool:
        """Returns whether it runs one more request."""
        self.arrivals.append(now)
        if now < self.down_until:
            return False
        if self.running < SLOTS:
            self.running += 1
            return True
        self.refusals.append(now)
        full = len(self.refusals) > MAX_REFUSALS
        if full and now - self.refusals[0] < 1.0:
            self.falls += 1
            self.running = 0
            self.down_until = now + DOWN_S
        return False


class StaticShares:
    """Slots and limits that are dealt to the nodes in advance."""

    def __init__(self, servers: list[Server], nodes: int, clock: Clock):
        """Deals each server's slots to the nodes in its rendezvous order."""
        self.clock = clock
        names = [str(node) for node in range(nodes)]
        self.slots: collections.Counter = collections.Counter()
        self.rates: dict[tuple[int, str], float] = {}
        self.next_at: dict[tuple[int, str], float] = {}
        for server in servers:
            order = rendezvous_order(server.entry.server_id, names)
            for name in itertools.islice(itertools.cycle(order), SLOTS):
                self.slots[int(name), server.entry.server_id] += 1
            if server.limit is not None:
                holders = order[: int(2 * server.limit + 3)]
                for name in holders:
                    key = int(name), server.entry.server_id
                    self.rates[key] = server.limit / len(holders)

    def fits(self, node: int, server: Server, running: int) -> bool:
        """Returns whether a request fits the share of a node."""
        key = node, server.entry.server_id
        if server.limit is None:
            return running < self.slots[key]
        now = self.clock()
        if key not in self.rates or now < self.next_at.get(key, 0.0):
            return False
        self.next_at[key] = now + 1 / self.rates[key]
        return True


class Fleet:
    """Nodes and servers in simulated time."""

    def __init__(self, nodes: int, servers: int, way: str, limited: bool):
        """Creates a fleet whose servers are brittle, or partly limited."""
        self.clock = Clock()
        self.random = random.Random(1)
        self.way = way
        self.limited = limited
        self.messages = 0
        self.served = 0
        self.sent = 0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.count = itertools.count()
        self.servers = [
            Server(make_server(n), LIMIT if limited and n % 4 == 0 else None)
            for n in range(servers)
        ]
        self.running: collections.Counter = collections.Counter()
        self.shares = StaticShares(self.servers, nodes, self.clock)
        self.entries = [make_node(node) for node in range(nodes)]
        self.nodes = [self.make_grants(entry) for entry in self.entries]

    def make_grants(self, entry: NodeEntry) -> GrantOwners:
        """Returns the grants of a node that has heard of all statements."""
        statements = ServerStatements(self.clock)
        grants = GrantOwners(
            entry.node,
            lambda: self.entries,
            statements,
            self,
            NoMetrics(),
            self.clock,
        )
        self.tell(statements)
        return grants

    def tell(self, statements: ServerStatements) -> None:
        """Repeats the statements of all servers to a node."""
        for server in self.servers:
            if server.limit is not None:
                statements.record_limit(server.entry, server.limit, 0.0)
            elif not self.limited:
                statements.record_brittle(server.entry, MAX_REFUSALS)

    def ask_grant(
        self, address: str, request: GrantRequest, timeout_s: float
    ) -> GrantAnswer:
        """Passes a message to its receiver at once."""
        self.messages += 1
        return self.nodes[int(address)].answer(request)

    def at(self, time: float, event: Callable[[], None]) -> None:
        """Runs an event at a time."""
        heapq.heappush(self.events, (time, next(self.count), event))

    def send(self, node: int) -> None:
        """Sends a request of a caller to one server after the other."""
        self.sent += 1
        tried: set[int] = set()
        attempts = 0
        for _ in range(MAX_ASKED):
            number = self.choose(node, tried)
            if number is None or attempts >= MAX_ATTEMPTS:
                return
            tried.add(number)
            server = self.servers[number]
            if not self.may_send(node, server):
                continue
            attempts += 1
            self.running[node, number] += 1
            if server.take(self.clock()):
                self.served += 1
                end = self.clock() + REQUEST_S
                self.at(end, lambda n=number: self.finish(node, n, True))
                return
            if self.way == "owner":
                self.nodes[node].record_refusal(server.entry)
            self.finish(node, number, False)

    def choose(self, node: int, tried: set[int]) -> int | None:
        """Returns the server with the fewest requests of a node."""
        now = self.clock()
        sample = self.random.sample(
            range(len(self.servers)), min(32, len(self.servers))
        )
        usable = [
            n
            for n in sample
            if n not in tried
            and now >= self.servers[n].down_until
            and self.nodes[node].may_ask(self.servers[n].entry)
        ]
        return min(usable, key=lambda n: self.running[node, n], default=None)

    def may_send(self, node: int, server: Server) -> bool:
        """Returns whether the way that is simulated allows a request."""
        if self.way == "owner":
            return self.nodes[node].acquire(server.entry)
        if self.way == "static":
            number = self.servers.index(server)
            return self.shares.fits(node, server, self.running[node, number])
        return True

    def finish(self, node: int, number: int, took_slot: bool) -> None:
        """Ends a request at a server."""
        server = self.servers[number]
        self.running[node, number] -= 1
        if took_slot and server.running:
            server.running -= 1
        if self.way == "owner":
            self.nodes[node].release(server.entry)
            gevent.sleep(0)  # Sends the report of the release.

    def report(self) -> None:
        """Sends the periodic reports of all nodes."""
        for node in self.nodes:
            self.tell(node.statements)
            node.report()
        gevent.sleep(0)
        self.at(self.clock() + USAGE_REPORT_PERIOD_S, self.report)

    def play(self, per_second: float, seconds: float, uneven: bool) -> None:
        """Sends requests at random times for a while."""
        until = self.clock() + seconds
        if self.way == "owner":
            self.report()

        def arrive() -> None:
            node = 0 if uneven else self.random.randrange(len(self.nodes))
            self.send(node)
            self.at(self.clock() + self.random.expovariate(per_second), arrive)

        arrive()
        while self.events[0][0] < until:
            self.clock.now, _, event = heapq.heappop(self.events)
            event()


def make_server(number: int) -> ServerEntry:
    """Returns the entry of a server."""
    return ServerEntry(
        f"s{number}", 1, "pool", "-", "z", "v1", SLOTS, ServerState.READY
    )


def make_node(number: int) -> NodeEntry:
    """Returns the entry of a node, whose address is its number."""
    return NodeEntry(
        str(number), "i", "-", str(number), "z", "r", True, grants_requests=True
    )


def most_in_window(times: list[float]) -> int:
    """Returns the most arrivals in any window."""
    first = 0
    most = 0
    for last, time in enumerate(times):
        while time - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def row(
    nodes: int, servers: int, way: str, load: float, limited: bool, **how
) -> str:
    """Plays one fleet; returns a line of the table."""
    fleet = Fleet(nodes, servers, way, limited)
    fits = servers * SLOTS / REQUEST_S
    seconds = how["seconds"]
    fleet.play(load * fits, seconds, how["uneven"])
    callers = "one node" if how["uneven"] else "even"
    text = f"| {nodes} x {servers} | {callers} | {load} | {way} "
    if limited:
        named = [s for s in fleet.servers if s.limit is not None]
        most = max(most_in_window(s.arrivals) for s in named)
        used = sum(len(s.arrivals) for s in named) / len(named) / seconds
        text += f"| {most} | {used:.2f} "
    else:
        served = fleet.served / min(fleet.sent, fits * seconds)
        text += f"| {sum(s.falls for s in fleet.servers)} | {served:.3f} "
    return text + f"| {fleet.messages / seconds:.0f} |"


def main() -> None:
    """Prints a table for brittle servers and one for named limits."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10.0)
    seconds = parser.parse_args().seconds
    logging.disable()
    for limited in (False, True):
        print("| nodes x servers | callers | load | way ", end="")
        print("| most in 4 s | used a second " if limited else "", end="")
        print("" if limited else "| falls | served of fit ", end="")
        print("| messages a second |")
        for nodes, servers in SHAPES:
            cases = [(load, False) for load in LOADS] + [(1.0, True)]
            for (load, uneven), way in itertools.product(cases, WAYS):
                text = row(
                    nodes,
                    servers,
                    way,
                    load,
                    limited,
                    seconds=seconds,
                    uneven=uneven,
                )
                print(text, flush=True)


if __name__ == "__main__":
    main()
