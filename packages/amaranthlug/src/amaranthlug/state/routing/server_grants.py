"""Counts the requests of all nodes at servers that limit what they take."""

import collections
import dataclasses
from collections.abc import Callable

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
    """

    server: str
    running: int
    slots: int
    max_refusals: float | None = None
    refused: int = 0
    moved: bool = False


@dataclasses.dataclass
class NodeUsage:
    """The last report of a node; `heard_at` is a clock reading in seconds."""

    running: int
    sequence: int
    heard_at: float


@dataclasses.dataclass
class GrantedServer:
    """What all nodes use of a server.

    Attributes:
        settled_at: Clock from which all nodes have reported to this owner, in
            seconds; None if there was no other.
        slots: Requests that it runs at once.
        max_refusals: As in `ServerUsage`.
        nodes: Node -> its usage.
        refusals: Clock readings of requests that it turned away.
    """

    settled_at: float | None = None
    slots: int = 1
    max_refusals: float | None = None
    nodes: dict[str, NodeUsage] = dataclasses.field(default_factory=dict)
    refusals: collections.deque[float] = dataclasses.field(
        default_factory=collections.deque
    )

    def update(
        self, node: str, sequence: int, usage: ServerUsage, now: float
    ) -> None:
        """Takes over a report of a node, unless a later one has arrived."""
        self.slots = usage.slots
        self.max_refusals = usage.max_refusals
        self.refusals.extend([now] * usage.refused)
        if usage.moved and self.settled_at is None:
            self.settled_at = now + SETTLE_S
        known = self.nodes.get(node)
        if known is None or sequence > known.sequence:
            self.nodes[node] = NodeUsage(usage.running, sequence, now)

    def running(self, now: float) -> int:
        """Returns the requests of all nodes at the server."""
        return sum(
            usage.running
            for usage in self.nodes.values()
            if now - usage.heard_at <= USAGE_EXPIRY_S
        )

    def room(self, now: float) -> int:
        """Returns the number of requests that may be at the server."""
        if self.max_refusals is None:
            return self.slots
        while self.refusals and now - self.refusals[0] > ROOM_LOSS_S:
            self.refusals.popleft()
        recent = sum(1 for at in self.refusals if now - at <= REFUSAL_WINDOW_S)
        if recent and recent >= REFUSAL_SHARE * self.max_refusals:
            return 0
        slots = self.slots
        if self.settled_at is not None and now < self.settled_at:
            slots //= 2
        return max(1, slots - len(self.refusals))


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
        self.find(usage.server).update(node, sequence, usage, self.clock())

    def grant(self, node: str, sequence: int, usage: ServerUsage) -> bool:
        """Returns whether one more request of a node fits; counts it then.

        `usage.running` includes the request.
        """
        now = self.clock()
        server = self.find(usage.server)
        known = server.nodes.get(node)
        running = usage.running
        if known is not None and sequence < known.sequence:
            running = known.running + 1
        others = server.running(now)
        if known is not None and now - known.heard_at <= USAGE_EXPIRY_S:
            others -= known.running
        server.update(node, sequence, usage, now)
        granted = others + running <= server.room(now)
        server.nodes[node].running = running if granted else running - 1
        return granted

    def full_servers(self) -> list[str]:
        """Returns the instances to which nothing more is granted now."""
        now = self.clock()
        return [
            name
            for name, server in self.servers.items()
            if server.running(now) >= server.room(now)
        ]

    def find(self, name: str) -> GrantedServer:
        """Returns what is known of an instance, nothing if it is new."""
        return self.servers.setdefault(name, GrantedServer())

    def keep_only(self, listed: set[str]) -> None:
        """Forgets instances that are not listed and nodes that are silent."""
        now = self.clock()
        for name, server in list(self.servers.items()):
            server.nodes = {
                node: usage
                for node, usage in server.nodes.items()
                if now - usage.heard_at <= USAGE_EXPIRY_S
            }
            if name not in listed or not server.nodes:
                del self.servers[name]
