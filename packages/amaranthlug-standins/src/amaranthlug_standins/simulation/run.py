"""Runs a simulated deployment and summarises the latency of its requests."""

import dataclasses
import functools
import heapq
import itertools
import random
from collections.abc import Callable

from amaranthlug.state.routing.servers import ServerEntry, ServerState
from amaranthlug_standins.simulation.choosers import (
    Chooser,
    LeastLoadedChooser,
    OracleChooser,
    ProductChooser,
    SentRequest,
    SimulatedClock,
    UnrankedChooser,
)
from amaranthlug_standins.simulation.engines import (
    EVENT_INTERVAL_MS,
    LARGE,
    SERVICE,
    SMALL,
    SimulatedEngine,
    SimulatedModel,
)
from amaranthlug_standins.simulation.workload import (
    KINDS,
    SimulatedRequest,
    draw_request,
)

ZONE_LATENCY_MS = 0.5
"""One-way network latency between zones."""
WARM_UP_SHARE = 0.25
"""Fraction of a run, at its start, that is left out of the summary."""


@dataclasses.dataclass(frozen=True)
class Deployment:
    """Size and load of a simulated deployment.

    Attributes:
        nodes: Number of nodes.
        engines: Number of engines.
        zones: Number of availability zones.
        rate: Total requests a second.
        seconds: Duration in simulated seconds.
        slots: Concurrent requests of an engine.
        slow_share: Fraction of the engines that run at a fifth of the speed.
    """

    nodes: int = 8
    engines: int = 9
    zones: int = 4
    rate: float = 57.0
    seconds: float = 60.0
    slots: int = 48
    slow_share: float = 0.0


@dataclasses.dataclass(frozen=True)
class KindSummary:
    """Latency of the requests of one kind.

    Attributes:
        in_aim: Fraction whose first event met the objective of the kind.
        median_ms: Median time to the first event.
        ninth_ms: 90th percentile of the time to the first event.
    """

    in_aim: float
    median_ms: float
    ninth_ms: float


@dataclasses.dataclass(frozen=True)
class Summary:
    """Results of a run after its warm-up.

    Attributes:
        asked: Number of requests.
        in_aim: Fraction whose first event met the objective of its kind.
        by_kind: Latency by name of the kind.
        load_skew: Processing time of the busiest engine divided by the mean.
        use: Mean fraction of the time that engines spent on prompts.
        found_share: Fraction of the shared prompt tokens found in the cache.
    """

    asked: int
    in_aim: float
    by_kind: dict[str, KindSummary]
    load_skew: float
    use: float
    found_share: float

    def row(self) -> str:
        """Returns the summary as one line of text."""
        kinds = "  ".join(
            f"{name} {k.in_aim:.3f} {k.median_ms:.0f}/{k.ninth_ms:.0f} ms"
            for name, k in self.by_kind.items()
        )
        return (
            f"in aim {self.in_aim:.3f}  use {self.use:.2f}  skew "
            f"{self.load_skew:.2f}  found {self.found_share:.2f}  {kinds}"
        )


class Simulation:
    """One run of a deployment with one engine selection strategy."""

    def __init__(self, deployment: Deployment, chooser: str, seed: int):
        """Creates idle engines and nodes; `chooser` is one of `CHOOSERS`."""
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_numbers = itertools.count()
        slow_engines = round(deployment.slow_share * deployment.engines)
        self.engines = {
            f"s{n}": SimulatedEngine(
                ServerEntry(
                    server_id=f"s{n}",
                    started_ms=1,
                    service=SERVICE,
                    address=f"10.0.{n // 250}.{n % 250}:80",
                    zone=f"zone-{n % deployment.zones}",
                    version="v1",
                    slots=deployment.slots,
                    state=ServerState.READY,
                ),
                self.schedule,
                0.2 if n < slow_engines else 1.0,
            )
            for n in range(deployment.engines)
        }
        self.servers = [engine.entry for engine in self.engines.values()]
        create_chooser = self.chooser_factory(chooser)
        self.nodes = [create_chooser(n) for n in range(deployment.nodes)]
        self.requests: list[SimulatedRequest] = []

    def chooser_factory(self, chooser: str) -> Callable[[int], Chooser]:
        """Returns a function that creates the chooser of a node by index."""
        zones = self.deployment.zones
        factories: dict[str, Callable[[int], Chooser]] = {
            "product": lambda n: ProductChooser(
                f"zone-{n % zones}", self.clock, n
            ),
            "all-engines": lambda n: ProductChooser(
                f"zone-{n % zones}", self.clock, n, engines_per_node=0
            ),
            "unranked": lambda n: UnrankedChooser(
                f"zone-{n % zones}", self.clock, n
            ),
            "random": Chooser,
            "least-loaded": lambda n: LeastLoadedChooser(self.clock, n),
            "oracle": lambda n: OracleChooser(self.engines, n),
        }
        return factories[chooser]

    def schedule_at(self, due: float, callback: Callable[[], None]) -> None:
        """Schedules a callback at a simulated time in seconds."""
        heapq.heappush(self.events, (due, next(self.event_numbers), callback))

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in simulated seconds."""
        self.schedule_at(self.clock.now + delay_s, callback)

    def run(self) -> Summary:
        """Runs all requests to their end and returns the summary."""
        now = 0.0
        for number in itertools.count():
            now += self.rng.expovariate(self.deployment.rate)
            if now >= self.deployment.seconds:
                break
            self.requests.append(draw_request(number, now, KINDS, self.rng))
        for request in self.requests:
            node = self.rng.choice(self.nodes)
            self.schedule_at(
                request.arrived,
                functools.partial(self.send, request, node, SMALL),
            )
        while self.events:
            self.clock.now, _, callback = heapq.heappop(self.events)
            callback()
        return self.summary()

    def send(
        self, request: SimulatedRequest, node: Chooser, model: SimulatedModel
    ) -> None:
        """Sends a request to the engine that the node chooses."""
        server = node.pick(self.servers, request, model)
        if server is None:
            return
        sent_request = SentRequest(request, model, server)
        node.record_sent(sent_request)
        self.engines[server.server_id].enqueue(
            request.routed_request,
            model,
            node.urgency(request, model),
            lambda: self.handle_first_event(sent_request, node),
        )

    def handle_first_event(
        self, sent_request: SentRequest, node: Chooser
    ) -> None:
        """Handles the first event; resends the request if it needs LARGE."""
        request = sent_request.request
        node.record_first_event(
            sent_request, self.engines[sent_request.server.server_id].load()
        )
        if request.needs_large_model and sent_request.model is SMALL:
            self.finish(sent_request, node)
            self.send(request, node, LARGE)
            return
        request.first_ms = (self.clock.now - request.arrived) * 1_000
        self.schedule(
            request.events * EVENT_INTERVAL_MS / 1_000,
            lambda: self.finish(sent_request, node),
        )

    def finish(self, sent_request: SentRequest, node: Chooser) -> None:
        """Frees the slot of a finished answer."""
        self.engines[sent_request.server.server_id].release()
        node.record_end(sent_request)

    def summary(self) -> Summary:
        """Returns the summary of the requests after the warm-up."""
        warm_up_s = WARM_UP_SHARE * self.deployment.seconds
        counted = [r for r in self.requests if r.arrived >= warm_up_s]
        by_kind = {}
        for kind in KINDS:
            times = sorted(
                r.first_ms
                for r in counted
                if r.kind is kind and r.first_ms is not None
            )
            if not times:
                continue
            on_time = sum(t <= kind.objective_ms for t in times) / len(times)
            by_kind[kind.name] = KindSummary(
                on_time,
                times[len(times) // 2],
                times[int(len(times) * 0.9)],
            )
        on_time = sum(
            r.first_ms is not None and r.first_ms <= r.kind.objective_ms
            for r in counted
        )
        engines = list(self.engines.values())
        busy_s = [engine.busy_ms / 1_000 for engine in engines]
        mean = sum(busy_s) / len(busy_s)
        shared = sum(engine.shared_tokens for engine in engines)
        cache_hits = sum(engine.cache_hit_tokens for engine in engines)
        return Summary(
            asked=len(counted),
            in_aim=on_time / max(1, len(counted)),
            by_kind=by_kind,
            load_skew=max(busy_s) / mean if mean else 0.0,
            use=mean / self.deployment.seconds,
            found_share=cache_hits / max(1, shared),
        )


CHOOSERS = (
    "product",
    "all-engines",
    "unranked",
    "least-loaded",
    "random",
    "oracle",
)
"""Engine selection strategies, the product's first."""
