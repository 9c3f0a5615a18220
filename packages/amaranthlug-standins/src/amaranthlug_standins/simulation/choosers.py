"""Ways to choose an engine that the simulation compares."""

import dataclasses
import random

from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.messages import ServerLoad
from amaranthlug.protocol.routing.placement import Placement
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.protocol.routing.urgency import urgency_of
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug_standins.simulation.engines import (
    SERVICE,
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


@dataclasses.dataclass
class Sending:
    """A prompt at one engine; `ticket` is the chooser's own mark."""

    asked: SimulatedRequest
    model: SimulatedModel
    server: ServerEntry
    ticket: int = 0


class Chooser:
    """Chooses at random and notes nothing; others do better."""

    def __init__(self, seed: int):
        """Creates the chooser of one node."""
        self.random = random.Random(seed)

    def pick(
        self,
        servers: list[ServerEntry],
        asked: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine for a prompt."""
        return self.random.choice(servers)

    def urgency(self, asked: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the rank that engines give a prompt."""
        return USUAL_URGENCY

    def record_send(self, sending: Sending) -> None:
        """Notes a sent prompt."""

    def record_start(self, sending: Sending, load: ServerLoad) -> None:
        """Notes the first event and the load that the engine tells."""

    def record_end(self, sending: Sending) -> None:
        """Notes the end of an answer."""


class LeastLoadedChooser(Chooser):
    """The engine with the fewest requests by own counts and reports."""

    def __init__(self, clock: SimulatedClock, seed: int):
        """Creates the chooser of one node."""
        super().__init__(seed)
        self.health = ServerHealthTracker(clock)

    def pick(
        self,
        servers: list[ServerEntry],
        asked: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine with the lowest known load."""
        return min(
            servers,
            key=lambda s: (self.health.load(s), self.random.random()),
        )

    def record_send(self, sending: Sending) -> None:
        """Counts the request."""
        self.health.record_start(sending.server)

    def record_start(self, sending: Sending, load: ServerLoad) -> None:
        """Takes the reported load."""
        self.health.record_load(sending.server, load)

    def record_end(self, sending: Sending) -> None:
        """Counts the end."""
        self.health.record_end(sending.server)


class UnrankedChooser(LeastLoadedChooser):
    """The product's placement with prompts read as they come."""

    def __init__(self, zone: str, clock: SimulatedClock, seed: int):
        """Creates the modules of one node."""
        super().__init__(clock, seed)
        self.queues = EngineQueues(clock)
        self.placement = Placement(
            zone, self.health, self.queues, lambda _: 0.0, seed
        )

    def pick(
        self,
        servers: list[ServerEntry],
        asked: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine that the product chooses."""
        return self.placement.pick_engine(
            servers, set(), asked.request, model.name
        )

    def record_send(self, sending: Sending) -> None:
        """Counts the request and the prompt to read."""
        super().record_send(sending)
        sending.ticket = self.queues.record_send(
            sending.server,
            sending.model.name,
            sending.asked.request.prompt_tokens,
        )

    def record_start(self, sending: Sending, load: ServerLoad) -> None:
        """Takes the time to the first event and the reported load."""
        self.queues.record_start(
            sending.server,
            sending.model.name,
            sending.asked.request.prompt_tokens,
            sending.ticket,
        )
        super().record_start(sending, load)


class ProductChooser(UnrankedChooser):
    """The product's placement and ranks."""

    def urgency(self, asked: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the product's rank."""
        latency = self.queues.latency(SERVICE, model.name)
        return urgency_of(
            objective_ms=asked.kind.objective_ms,
            waited_ms=(self.queues.clock() - asked.arrived) * 1_000,
            base_ms=latency.base_ms,
            prefill_ms=asked.request.prompt_tokens * latency.prefill_ms,
        )


class OracleChooser(Chooser):
    """The engine with the least to read: knows all queues at once."""

    def __init__(self, engines: dict[str, SimulatedEngine], seed: int):
        """Creates a chooser that sees `engines`."""
        super().__init__(seed)
        self.engines = engines

    def pick(
        self,
        servers: list[ServerEntry],
        asked: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine with the least to read."""
        return min(servers, key=lambda s: self.engines[s.server_id].backlog_ms)
