"""Ways to choose an engine that the simulation compares."""

import random
from typing import Protocol

from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.messages import RoutedRequest, ServerLoad
from amaranthlug.protocol.routing.placement import Placement
from amaranthlug.protocol.routing.server_health import HealthBook
from amaranthlug.protocol.routing.urgency import urgency_of
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug_standins.simulation.engines import (
    SimulatedEngine,
    SimulatedModel,
)
from amaranthlug_standins.simulation.workload import SimulatedRequest


class SimulatedClock:
    """The simulated time in seconds."""

    def __init__(self):
        """Starts at 0."""
        self.now = 0.0

    def __call__(self) -> float:
        """Returns the time."""
        return self.now


USUAL_URGENCY = 5
"""Rank of a prompt that bears none."""


class Chooser(Protocol):
    """Chooses engines for one node and sees what becomes of its requests."""

    def urgency(self, asked: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the rank that engines give a prompt."""

    def pick(
        self,
        servers: list[ServerEntry],
        request: RoutedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine for a prompt."""

    def sent(
        self, server: ServerEntry, request: RoutedRequest, model: SimulatedModel
    ) -> int:
        """Notes a sent prompt; returns a ticket."""

    def began(
        self,
        server: ServerEntry,
        request: RoutedRequest,
        model: SimulatedModel,
        ticket: int,
        load: ServerLoad,
    ) -> None:
        """Notes the first event."""

    def ended(self, server: ServerEntry) -> None:
        """Notes the end of an answer."""


class ProductChooser:
    """The product's own modules."""

    def __init__(self, zone: str, clock: SimulatedClock, seed: int):
        """Creates the modules of one node."""
        self.health = HealthBook(clock)
        self.queues = EngineQueues(clock)
        self.placement = Placement(
            zone, self.health, self.queues, lambda _: 0.0, seed
        )

    def pick(
        self,
        servers: list[ServerEntry],
        request: RoutedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine for a prompt."""
        return self.placement.pick_engine(servers, set(), request, model.name)

    def urgency(self, asked: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the product's rank."""
        pace = self.queues.pace("pool", model.name)
        return urgency_of(
            objective_ms=asked.kind.objective_ms,
            waited_ms=(self.queues.clock() - asked.arrived) * 1_000,
            start_ms=pace.start_ms,
            read_ms=asked.request.prompt_tokens * pace.read_ms,
        )

    def sent(
        self, server: ServerEntry, request: RoutedRequest, model: SimulatedModel
    ) -> int:
        """Notes a sent prompt; returns a ticket."""
        self.health.began(server)
        return self.queues.sent(server, model.name, request.prompt_tokens)

    def began(
        self,
        server: ServerEntry,
        request: RoutedRequest,
        model: SimulatedModel,
        ticket: int,
        load: ServerLoad,
    ) -> None:
        """Notes the first event."""
        self.queues.began(server, model.name, request.prompt_tokens, ticket)
        self.health.note_load(server, load)

    def ended(self, server: ServerEntry) -> None:
        """Notes the end of an answer."""
        self.health.ended(server)


class UnrankedChooser(ProductChooser):
    """The product's placement with prompts read as they come."""

    def urgency(self, asked: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the same rank for all."""
        return USUAL_URGENCY


class BlindChooser:
    """Random choice; the base of the baselines, which note nothing."""

    def __init__(self, seed: int):
        """Creates a chooser."""
        self.random = random.Random(seed)

    def pick(
        self,
        servers: list[ServerEntry],
        request: RoutedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns any engine."""
        return self.random.choice(servers)

    def urgency(self, asked: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the same rank for all."""
        return USUAL_URGENCY

    def sent(
        self, server: ServerEntry, request: RoutedRequest, model: SimulatedModel
    ) -> int:
        """Notes nothing."""
        return 0

    def began(
        self,
        server: ServerEntry,
        request: RoutedRequest,
        model: SimulatedModel,
        ticket: int,
        load: ServerLoad,
    ) -> None:
        """Notes nothing."""

    def ended(self, server: ServerEntry) -> None:
        """Notes nothing."""


class LeastLoadedChooser(BlindChooser):
    """The engine with the fewest requests by own counts and reports."""

    def __init__(self, clock: SimulatedClock, seed: int):
        """Creates a chooser."""
        super().__init__(seed)
        self.health = HealthBook(clock)

    def pick(
        self,
        servers: list[ServerEntry],
        request: RoutedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine with the lowest known load."""
        return min(
            servers,
            key=lambda s: (self.health.load(s), self.random.random()),
        )

    def sent(
        self, server: ServerEntry, request: RoutedRequest, model: SimulatedModel
    ) -> int:
        """Counts the request."""
        self.health.began(server)
        return 0

    def began(
        self,
        server: ServerEntry,
        request: RoutedRequest,
        model: SimulatedModel,
        ticket: int,
        load: ServerLoad,
    ) -> None:
        """Takes the reported load."""
        self.health.note_load(server, load)

    def ended(self, server: ServerEntry) -> None:
        """Counts the end."""
        self.health.ended(server)


class OracleChooser(BlindChooser):
    """The engine with the least to read: knows all queues at once."""

    def __init__(self, engines: dict[str, SimulatedEngine], seed: int):
        """Creates a chooser that sees `engines`."""
        super().__init__(seed)
        self.engines = engines

    def pick(
        self,
        servers: list[ServerEntry],
        request: RoutedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine with the least to read."""
        return min(servers, key=lambda s: self.engines[s.server_id].backlog_ms)
