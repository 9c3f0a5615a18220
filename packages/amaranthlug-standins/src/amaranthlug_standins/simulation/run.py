"""Runs a simulated deployment and sums up how its requests fared."""

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
    Sending,
    SimulatedClock,
    UnrankedChooser,
)
from amaranthlug_standins.simulation.engines import (
    EVENT_MS,
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

ZONE_WAY_MS = 0.5
"""One way between zones, in milliseconds."""
WARM_UP_SHARE = 0.25
"""Part of a run that is not counted."""


@dataclasses.dataclass(frozen=True)
class Deployment:
    """What is simulated.

    Attributes:
        nodes: Number of nodes.
        engines: Number of engines.
        zones: Number of availability zones.
        rate: Requests a second in all.
        seconds: Simulated time.
        slots: Requests that an engine runs at once.
        slow_share: Part of the engines that read at a fifth of the pace.
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
    """How the requests of one kind fared.

    Attributes:
        in_aim: Part whose first event was in time.
        median_ms: Time to the first event of half of them.
        ninth_ms: Time to the first event of nine of ten.
    """

    in_aim: float
    median_ms: float
    ninth_ms: float


@dataclasses.dataclass(frozen=True)
class Summary:
    """How the requests of a run fared.

    Attributes:
        asked: Requests after the warm-up.
        in_aim: Part whose first event was in time.
        by_kind: The same for each kind.
        load_skew: Reading time of the busiest engine against the mean.
        use: Part of the time in which the mean engine read prompts.
        found_share: Part of the shared tokens that were found kept.
    """

    asked: int
    in_aim: float
    by_kind: dict[str, KindSummary]
    load_skew: float
    use: float
    found_share: float

    def row(self) -> str:
        """Returns a line of a table."""
        kinds = "  ".join(
            f"{name} {k.in_aim:.3f} {k.median_ms:.0f}/{k.ninth_ms:.0f} ms"
            for name, k in self.by_kind.items()
        )
        return (
            f"in aim {self.in_aim:.3f}  use {self.use:.2f}  skew "
            f"{self.load_skew:.2f}  found {self.found_share:.2f}  {kinds}"
        )


class Simulation:
    """One run of a deployment with one way to choose engines."""

    def __init__(self, deployment: Deployment, chooser: str, seed: int):
        """Creates idle engines and nodes."""
        self.deployment = deployment
        self.rng = random.Random(seed)
        self.clock = SimulatedClock()
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = itertools.count()
        slow = round(deployment.slow_share * deployment.engines)
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
                self.plan,
                0.2 if n < slow else 1.0,
            )
            for n in range(deployment.engines)
        }
        self.servers = [engine.entry for engine in self.engines.values()]
        make = self.maker(chooser)
        self.nodes = [make(n) for n in range(deployment.nodes)]
        self.requests: list[SimulatedRequest] = []

    def maker(self, chooser: str) -> Callable[[int], Chooser]:
        """Returns what makes the chooser of a node."""
        zones = self.deployment.zones
        makers: dict[str, Callable[[int], Chooser]] = {
            "product": lambda n: ProductChooser(
                f"zone-{n % zones}", self.clock, n
            ),
            "unranked": lambda n: UnrankedChooser(
                f"zone-{n % zones}", self.clock, n
            ),
            "random": Chooser,
            "least-loaded": lambda n: LeastLoadedChooser(self.clock, n),
            "oracle": lambda n: OracleChooser(self.engines, n),
        }
        return makers[chooser]

    def at(self, when: float, act: Callable[[], None]) -> None:
        """Plans an act."""
        heapq.heappush(self.events, (when, next(self.order), act))

    def plan(self, delay_s: float, act: Callable[[], None]) -> None:
        """Plans an act some seconds from now."""
        self.at(self.clock.now + delay_s, act)

    def run(self) -> Summary:
        """Plays the deployment."""
        now = 0.0
        for number in itertools.count():
            now += self.rng.expovariate(self.deployment.rate)
            if now >= self.deployment.seconds:
                break
            self.requests.append(draw_request(number, now, KINDS, self.rng))
        for request in self.requests:
            node = self.rng.choice(self.nodes)
            self.at(
                request.arrived,
                functools.partial(self.send, request, node, SMALL),
            )
        while self.events:
            self.clock.now, _, act = heapq.heappop(self.events)
            act()
        return self.summary()

    def send(
        self, asked: SimulatedRequest, node: Chooser, model: SimulatedModel
    ) -> None:
        """Sends a prompt to the engine that its node chooses."""
        server = node.pick(self.servers, asked, model)
        if server is None:
            return
        sending = Sending(asked, model, server)
        node.record_send(sending)
        self.engines[server.server_id].read(
            asked.request,
            model,
            node.urgency(asked, model),
            lambda: self.begin(sending, node),
        )

    def begin(self, sending: Sending, node: Chooser) -> None:
        """Takes the first event; a weak answer is asked for again."""
        asked = sending.asked
        node.record_start(
            sending, self.engines[sending.server.server_id].load()
        )
        if asked.weak and sending.model is SMALL:
            self.finish(sending, node)
            self.send(asked, node, LARGE)
            return
        asked.first_ms = (self.clock.now - asked.arrived) * 1_000
        self.plan(
            asked.events * EVENT_MS / 1_000,
            lambda: self.finish(sending, node),
        )

    def finish(self, sending: Sending, node: Chooser) -> None:
        """Ends an answer."""
        self.engines[sending.server.server_id].release()
        node.record_end(sending)

    def summary(self) -> Summary:
        """Sums up the requests after the warm-up."""
        warm = WARM_UP_SHARE * self.deployment.seconds
        counted = [r for r in self.requests if r.arrived >= warm]
        by_kind = {}
        for kind in KINDS:
            times = sorted(
                r.first_ms
                for r in counted
                if r.kind is kind and r.first_ms is not None
            )
            if not times:
                continue
            timely = sum(t <= kind.objective_ms for t in times) / len(times)
            by_kind[kind.name] = KindSummary(
                timely,
                times[len(times) // 2],
                times[int(len(times) * 0.9)],
            )
        timely = sum(
            r.first_ms is not None and r.first_ms <= r.kind.objective_ms
            for r in counted
        )
        engines = list(self.engines.values())
        busy = [engine.busy_ms / 1_000 for engine in engines]
        mean = sum(busy) / len(busy)
        shared = sum(engine.shared_tokens for engine in engines)
        found = sum(engine.found_tokens for engine in engines)
        return Summary(
            asked=len(counted),
            in_aim=timely / max(1, len(counted)),
            by_kind=by_kind,
            load_skew=max(busy) / mean if mean else 0.0,
            use=mean / self.deployment.seconds,
            found_share=found / max(1, shared),
        )


CHOOSERS = ("product", "unranked", "least-loaded", "random", "oracle")
"""Ways to choose, the product's first."""
