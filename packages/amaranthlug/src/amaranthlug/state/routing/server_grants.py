"""Counts the requests of all nodes at servers that limit what they take."""

import collections
import dataclasses
import logging
import math
import sys
from collections.abc import Callable

from amaranthlug.state.routing.server_room import ServerRoom, StatedLoad

USAGE_EXPIRY_S = 2.0
"""Time after which the usage of a node that did not repeat it is forgotten, in
seconds; nodes repeat it several times as often."""
SETTLE_S = 0.6
"""Time in which the new owner of a server hears from all nodes what they use,
in seconds. Until then it grants half of the slots, since requests that the
former owner has granted may still run."""
REFUSAL_WINDOW_S = 1.0
"""Time in which a brittle server counts what it turns away, in seconds."""
REFUSAL_SHARE = 0.5
"""Share of the refusals that a brittle server bears from which nothing more is
granted until they are older than the window."""
ROOM_LOSS_S = 2.0
"""Time for which each refusal lowers the number of requests that are granted by
one, in seconds; requests that are not granted, such as those of nodes that have
not heard of the limit, use slots as well."""
FULL_S = 0.02
"""Time for which a server without room is not asked for again, in seconds;
without it each request that is refused would ask for all servers."""
MIN_RATE = 0.2
"""Requests a second that all nodes send to a server with a lower limit, also
with one of zero; only answers show that a limit has ended."""
BURST_REQUESTS = 1.0
"""Requests that are granted at once after a pause, plus those of `BURST_S`."""
BURST_S = 0.5
"""Time for which unused grants of a server with a limit add up, in seconds."""
MAX_WAIT_S = 1.0
"""Longest time for which a server without room is not asked for, in seconds;
its limit may end or rise meanwhile."""
SETTLING_SHARE = 0.5
"""Share of slots and rate that a new owner grants before it has settled."""
LOG_PERIOD_S = 1.0
"""Least time between two log lines on the room at a server, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class ServerUsage:
    """What a node uses of a server that limits what it takes.

    Attributes:
        server: Name of the instance.
        running: Requests of the node at it, with those that it asks for.
        slots: Requests that the server runs at once.
        max_refusals: Requests that it may turn away in a second, None if it is
            not brittle.
        refused: Requests of the node that it turned away since the last report.
        moved: The node has sent its last report to another owner.
        limit: Requests a second that the server takes from all nodes, None if
            it names no limit.
        load: Load in an answer since the last report, None if there was none.
    """

    server: str
    running: int
    slots: int
    max_refusals: float | None = None
    refused: int = 0
    moved: bool = False
    limit: float | None = None
    load: StatedLoad | None = None


@dataclasses.dataclass
class NodeUsage:
    """The last report of a node; `heard_at` is a clock reading in seconds."""

    running: int
    sequence: int
    heard_at: float

    def is_recent(self, now: float) -> bool:
        """Returns whether the node has repeated it in time."""
        return now - self.heard_at <= USAGE_EXPIRY_S


@dataclasses.dataclass
class GrantedServer:
    """What all nodes use of a server.

    Attributes:
        known_from: Clock from which all nodes have reported to this owner, in
            seconds; earlier, requests of some look like those of others.
        settled_at: The same if there was another owner, None if not.
        slots: Requests that it runs at once.
        max_refusals: As in `ServerUsage`.
        nodes: Node -> its usage.
        refusals: Clock readings of requests that it turned away.
        unstated: Those of them that came without its load.
        learnt: What its load shows of its room.
        brittle_at: Clock when a node last said that it is brittle, in seconds.
        limit: As in `ServerUsage`.
        limited_at: Clock when a node last said that it names a limit, in
            seconds.
        unused: Grants within the limit that may be used at once.
        counted_at: Clock to which `unused` applies, in seconds.
        logged: Slots kept free and requests that fit in the last log line.
        logged_at: Clock of that line, in seconds.
    """

    known_from: float
    settled_at: float | None = None
    slots: int = 1
    max_refusals: float | None = None
    nodes: dict[str, NodeUsage] = dataclasses.field(default_factory=dict)
    refusals: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    unstated: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )
    learnt: ServerRoom = dataclasses.field(default_factory=ServerRoom)
    brittle_at: float = -math.inf
    limit: float | None = None
    limited_at: float = -math.inf
    unused: float = 0.0
    counted_at: float = 0.0
    logged: tuple[int, int | None] = (0, None)
    logged_at: float = -math.inf

    def update(
        self, node: str, sequence: int, usage: ServerUsage, now: float
    ) -> None:
        """Takes over a report of a node, unless a later one has arrived."""
        self.slots = usage.slots
        self.update_refusals(usage, now)
        if usage.moved and self.settled_at is None:
            self.settled_at = self.known_from = now + SETTLE_S
        self.update_statements(usage, now)
        known = self.recent_usage(node, now)
        if known is None or sequence > known.sequence:
            self.nodes[node] = NodeUsage(usage.running, sequence, now)
            self.learnt.record_count(self.running(now), now)

    def update_refusals(self, usage: ServerUsage, now: float) -> None:
        """Takes over the refusals in a report and the load that it states."""
        refused, load = usage.refused, usage.load
        if load is None:
            self.unstated.extend([now] * refused)
        else:
            self.learnt.record_queue(load, usage.slots, now)
            if load.refused:
                running = load.requests - load.waiting
                self.learnt.record_full(running, usage.slots, now)
                # Only granted requests were there, so no other one is refused.
                refused -= load.requests <= self.learnt.granted_then(load, now)
            if now >= self.known_from:
                self.learnt.record_load(load, now, usage.slots)
        self.refusals.extend([now] * refused)

    def update_statements(self, usage: ServerUsage, now: float) -> None:
        """Takes over what a node has heard from the server.

        A node may not have heard what others have, so that a statement holds
        until no node has repeated it for a while.
        """
        if usage.max_refusals is not None:
            self.max_refusals, self.brittle_at = usage.max_refusals, now
        elif now - self.brittle_at > USAGE_EXPIRY_S:
            self.max_refusals = None
        self.add_unused(now)
        if usage.limit is not None:
            if self.limit is None:
                self.unused = 0.0 if usage.moved else BURST_REQUESTS
            self.limit, self.limited_at = usage.limit, now
        elif now - self.limited_at > USAGE_EXPIRY_S:
            self.limit = None

    def recent_usage(self, node: str, now: float) -> NodeUsage | None:
        """Returns the usage of a node, None if it has not repeated it."""
        usage = self.nodes.get(node)
        return usage if usage is not None and usage.is_recent(now) else None

    def running(self, now: float) -> int:
        """Returns the requests of all nodes at the server."""
        return sum(
            usage.running
            for usage in self.nodes.values()
            if usage.is_recent(now)
        )

    def is_settling(self, now: float) -> bool:
        """Returns whether a former owner's grants may be unknown here."""
        return self.settled_at is not None and now < self.settled_at

    def rate(self, now: float) -> float:
        """Returns the requests a second that are granted within the limit."""
        rate = self.limit or MIN_RATE
        return rate * SETTLING_SHARE if self.is_settling(now) else rate

    def add_unused(self, now: float) -> None:
        """Adds the grants of the time since they were last counted."""
        rate = self.rate(now)
        self.unused = min(
            self.unused + (now - self.counted_at) * rate,
            BURST_REQUESTS + BURST_S * rate,
        )
        self.counted_at = now

    def wait_s(self, now: float) -> float:
        """Returns when one more request may fit, in seconds from now."""
        wait = FULL_S if self.running(now) >= self.room(now) else 0.0
        if self.limit is not None:
            self.add_unused(now)
            wait = max(wait, (1.0 - self.unused) / self.rate(now))
        return min(wait, MAX_WAIT_S)

    def room(self, now: float) -> int:
        """Returns the number of requests that may be at a brittle server."""
        if self.max_refusals is None:
            return sys.maxsize
        drop_before(self.refusals, now - REFUSAL_WINDOW_S)
        drop_before(self.unstated, now - ROOM_LOSS_S)
        refused = len(self.refusals)
        if refused and refused >= REFUSAL_SHARE * self.max_refusals:
            return 0
        room = self.learnt.room(self.slots, now)
        if room and self.is_settling(now):
            room = max(1, int(room * SETTLING_SHARE))
        if room and self.unstated:
            room = max(1, room - len(self.unstated))
        return room


def drop_before(times: collections.deque[float], limit: float) -> None:
    """Drops clock readings before a limit from a sorted queue."""
    while times and times[0] < limit:
        times.popleft()


class ServerGrants:
    """The register of the node that counts for a server."""

    def __init__(self, clock: Callable[[], float]):
        """Creates an empty register; `clock` returns seconds."""
        self.clock = clock
        self.servers: dict[str, GrantedServer] = {}

    def update(self, node: str, sequence: int, usage: ServerUsage) -> None:
        """Records what a node uses.

        Args:
            node: Name of the node.
            sequence: Increases with each report of the node; one that was
                overtaken is ignored.
            usage: What it uses.
        """
        now = self.clock()
        server = self.find(usage.server)
        server.update(node, sequence, usage, now)
        self.log_room(usage.server, server, now)

    def log_room(self, name: str, server: GrantedServer, now: float) -> None:
        """Logs what has been learnt of the room at a server, if it changed."""
        learnt = server.learnt
        shown = learnt.reserve(), learnt.capacity
        if shown == server.logged or now - server.logged_at < LOG_PERIOD_S:
            return
        server.logged, server.logged_at = shown, now
        log.info(
            "%d slots of server %s are kept free for requests of others",
            shown[0],
            name,
            extra={
                "event": "server_room",
                "server": name,
                "others": round(learnt.others, 1),
                "granted": server.running(now),
                "capacity": shown[1],
                "slots": server.slots,
                "room": min(server.room(now), server.slots),
            },
        )

    def most_others(self) -> float:
        """Returns the most requests of others that one server has."""
        return max((s.learnt.others for s in self.servers.values()), default=0)

    def grant(self, node: str, sequence: int, usage: ServerUsage) -> bool:
        """Returns whether one more request of a node fits; counts it then.

        `usage.running` includes the request.
        """
        now = self.clock()
        server = self.find(usage.server)
        known = server.recent_usage(node, now)
        running = usage.running
        others = server.running(now)
        if known is not None:
            others -= known.running
            if sequence < known.sequence:
                running = known.running + 1
        server.update(node, sequence, usage, now)
        granted = others + running <= server.room(now)
        if server.limit is not None:
            granted = granted and server.unused >= 1.0
            server.unused -= granted
        server.nodes[node].running = running if granted else running - 1
        server.learnt.record_count(server.running(now), now)
        return granted

    def full_servers(self) -> dict[str, float]:
        """Returns the instances to which nothing more is granted now.

        Each with the time until that may change, in seconds.
        """
        now = self.clock()
        waits = {name: s.wait_s(now) for name, s in self.servers.items()}
        return {name: wait for name, wait in waits.items() if wait > 0}

    def find(self, name: str) -> GrantedServer:
        """Returns what is known of an instance.

        A new one is expected to get as many requests of others as the rest;
        after a fall the first refusals would make it fall again.
        """
        if name not in self.servers:
            known = [s.learnt.others for s in self.servers.values()]
            self.servers[name] = GrantedServer(self.clock() + SETTLE_S)
            if known:
                self.servers[name].learnt.others = sum(known) / len(known)
        return self.servers[name]

    def keep_only(self, listed: set[str]) -> None:
        """Forgets instances that are not listed and nodes that are silent."""
        now = self.clock()
        for name, server in list(self.servers.items()):
            server.nodes = {
                node: usage
                for node, usage in server.nodes.items()
                if usage.is_recent(now)
            }
            if name not in listed or not server.nodes:
                del self.servers[name]
