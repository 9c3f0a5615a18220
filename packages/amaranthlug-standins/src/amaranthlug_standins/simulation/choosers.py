"""Engine selection strategies that the simulation compares."""

import dataclasses
import random

from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.messages import ServerLoad
from amaranthlug.protocol.routing.placement import (
    ENGINES_PER_NODE,
    Placement,
)
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
    """Clock that returns simulated time in seconds."""

    def __init__(self):
        """Starts at 0 s."""
        self.now = 0.0

    def __call__(self) -> float:
        """Returns the current time in seconds."""
        return self.now


DEFAULT_URGENCY = 5
"""Urgency rank of a prompt when the chooser does not rank prompts."""


@dataclasses.dataclass
class SentRequest:
    """A request sent to an engine; `ticket` is for the chooser's own use."""

    request: SimulatedRequest
    model: SimulatedModel
    server: ServerEntry
    ticket: int = 0


class Chooser:
    """Chooses an engine at random and records nothing; a baseline."""

    def __init__(self, seed: int):
        """Creates the chooser of one node."""
        self.random = random.Random(seed)

    def pick(
        self,
        servers: list[ServerEntry],
        request: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine for a prompt."""
        return self.random.choice(servers)

    def urgency(self, request: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the urgency rank of a prompt."""
        return DEFAULT_URGENCY

    def record_sent(self, sent_request: SentRequest) -> None:
        """Records that a prompt was sent."""

    def record_first_event(
        self, sent_request: SentRequest, load: ServerLoad
    ) -> None:
        """Records the first event and the load that the engine reports."""

    def record_end(self, sent_request: SentRequest) -> None:
        """Records the end of an answer."""


class LeastLoadedChooser(Chooser):
    """Chooses the engine with the fewest known requests.

    It knows its own requests and the load that engines report.
    """

    def __init__(self, clock: SimulatedClock, seed: int):
        """Creates the chooser of one node."""
        super().__init__(seed)
        self.health = ServerHealthTracker(clock)

    def pick(
        self,
        servers: list[ServerEntry],
        request: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine with the lowest known load."""
        return min(
            servers,
            key=lambda s: (self.health.load(s), self.random.random()),
        )

    def record_sent(self, sent_request: SentRequest) -> None:
        """Counts the request."""
        self.health.record_start(sent_request.server)

    def record_first_event(
        self, sent_request: SentRequest, load: ServerLoad
    ) -> None:
        """Records the reported load."""
        self.health.record_load(sent_request.server, load)

    def record_end(self, sent_request: SentRequest) -> None:
        """Removes the request from the count."""
        self.health.record_end(sent_request.server)


class UnrankedChooser(LeastLoadedChooser):
    """Uses the product's placement but gives all prompts the same rank."""

    def __init__(
        self,
        zone: str,
        clock: SimulatedClock,
        seed: int,
        engines_per_node: int = ENGINES_PER_NODE,
    ):
        """Creates the product's modules of one node.

        Args:
            zone: Zone of the node.
            clock: Simulated clock.
            seed: Number of the node.
            engines_per_node: Engines of its zone that it uses; 0 for all.
        """
        super().__init__(clock, seed)
        self.queues = EngineQueues(clock)
        self.placement = Placement(
            zone,
            self.health,
            self.queues,
            lambda _: 0.0,
            seed,
            f"node-{seed}",
            engines_per_node,
        )

    def pick(
        self,
        servers: list[ServerEntry],
        request: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine that the product chooses."""
        return self.placement.pick_engine(
            servers, set(), request.routed_request, model.name
        )

    def record_sent(self, sent_request: SentRequest) -> None:
        """Counts the request and its unprocessed prompt."""
        super().record_sent(sent_request)
        sent_request.ticket = self.queues.record_send(
            sent_request.server,
            sent_request.model.name,
            sent_request.request.routed_request.prompt_tokens,
        )

    def record_first_event(
        self, sent_request: SentRequest, load: ServerLoad
    ) -> None:
        """Records the time to the first event and the reported load."""
        self.queues.record_start(
            sent_request.server,
            sent_request.model.name,
            sent_request.request.routed_request.prompt_tokens,
            sent_request.ticket,
        )
        super().record_first_event(sent_request, load)


class ProductChooser(UnrankedChooser):
    """Uses the product's placement and urgency ranks."""

    def urgency(self, request: SimulatedRequest, model: SimulatedModel) -> int:
        """Returns the product's urgency rank."""
        latency = self.queues.latency(SERVICE, model.name)
        return urgency_of(
            objective_ms=request.kind.objective_ms,
            waited_ms=(self.queues.clock() - request.arrived) * 1_000,
            base_ms=latency.base_ms,
            prefill_ms=request.routed_request.prompt_tokens
            * latency.prefill_ms,
        )


class OracleChooser(Chooser):
    """Chooses by the actual backlog of every engine, without any delay."""

    def __init__(self, engines: dict[str, SimulatedEngine], seed: int):
        """Creates a chooser with direct access to `engines`."""
        super().__init__(seed)
        self.engines = engines

    def pick(
        self,
        servers: list[ServerEntry],
        request: SimulatedRequest,
        model: SimulatedModel,
    ) -> ServerEntry | None:
        """Returns the engine with the smallest backlog."""
        return min(servers, key=lambda s: self.engines[s.server_id].backlog_ms)
