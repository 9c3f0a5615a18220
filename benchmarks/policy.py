"""Measures the policy offline: cost, targets, exposure, false withdrawals.

Run `python benchmarks/policy.py [--part PART] [--seeds N] [--seconds S]
[--runs R]`. Without `--part` all parts run, which takes about ten minutes.
"""

import dataclasses
import heapq
import math
import random
import time
from collections import defaultdict
from collections.abc import Callable

import click
from policy_baselines import (
    Outcome,
    best_pairs,
    fixed_cascade,
    print_comparison,
    step_cost,
)
from policy_simulation import (
    COUNSEL,
    NEXT,
    QUALITY,
    SCRIBE,
    SERVERS,
    SWIFT,
    Clock,
    RatingSimulator,
    SharedConfig,
    SimulatedNode,
    SimulatedRequest,
    TrueQualities,
    draw_requests,
    gossip,
    make_catalog,
    start_rollout,
)

from amaranthlug.state.catalog import Rollout, RolloutStage, VersionId
from amaranthlug.state.evidence import Cell

PROVEN_VERSIONS = (SWIFT, SCRIBE, COUNSEL)
WARM_UP_S = 600.0
"""Time before cost and targets are measured. At 40 requests/s it covers the 30
cells to learn, of 5 kinds, 2 difficulties and 3 versions."""
ROLLOUT_STAGES = (
    RolloutStage(0.05, 20, 8),
    RolloutStage(0.25, 60, 32),
    RolloutStage(1.0, 0, 2000),
)
"""Roll-out stages of the sample `hengyun`."""
ROLLOUT = Rollout("swift-4", "swift", "3", "4", ROLLOUT_STAGES)

StepCallback = Callable[[SimulatedRequest, VersionId], None]


class Fleet:
    """Nodes that serve requests in simulated time."""

    def __init__(
        self,
        count: int,
        config: SharedConfig,
        seed: int,
        pooled: bool = True,
        delay_s: float = 0.5,
        rated: float = 0.5,
        watch_every: int = 1,
    ):
        """Creates nodes.

        Args:
            count: Number of nodes.
            config: Configuration of all nodes.
            seed: Seed of all random draws.
            pooled: Whether nodes exchange evidence.
            delay_s: Mean delay of ratings, in seconds.
            rated: Fraction of the answers that is rated.
            watch_every: Half seconds between the quality tests of versions;
                longer where only cost is measured, as the tests take most of
                the CPU time.
        """
        self.clock, self.config = Clock(), config
        self.ratings = RatingSimulator(self.clock, seed, delay_s, rated)
        self.nodes = [
            SimulatedNode(i, count, config, self.ratings, self.clock, seed)
            for i in range(count)
        ]
        self.random = random.Random(seed)
        self.pooled = pooled
        self.watch_every = watch_every
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.event_number = 0

    def schedule(self, delay_s: float, callback: Callable[[], None]) -> None:
        """Schedules a callback after a delay in simulated seconds."""
        self.event_number += 1
        due = self.clock() + delay_s
        heapq.heappush(self.events, (due, self.event_number, callback))

    def run(
        self, stream: list[SimulatedRequest], on_step: StepCallback
    ) -> dict[int, Outcome]:
        """Serves requests; `on_step` is called for each step that starts."""
        self.outcomes: dict[int, Outcome] = {}
        self.on_step = on_step
        self.tick(0)
        for simulated in stream:
            self.run_until(simulated.at)
            self.serve(simulated)
        self.run_until(self.clock() + 5)
        return self.outcomes

    def run_until(self, at: float) -> None:
        """Runs the callbacks that are due until a simulated time."""
        while self.events and self.events[0][0] <= at:
            due, _, callback = heapq.heappop(self.events)
            self.clock.time = due
            callback()
        self.clock.time = at

    def tick(self, number: int) -> None:
        """Runs the timers of all nodes in half second `number`."""
        for node in self.nodes:
            node.tick(number, self.watch_every)
        if self.pooled and number % 2 and len(self.nodes) > 1:
            gossip(self.nodes, self.random)
        self.schedule(0.5, lambda: self.tick(number + 1))

    def serve(self, simulated: SimulatedRequest) -> None:
        """Starts a request at a random node."""
        node = self.random.choice(self.nodes)
        request = node.request(simulated)
        plan = node.chooser.choose(request, None).unwrap()
        outcome = self.outcomes[simulated.number] = Outcome(simulated, 0, False)
        steps = list(plan.steps)

        def start() -> None:
            step = steps.pop(0)
            outcome.cost += step_cost(simulated, step.version)
            node.chooser.started(request, step.version)
            self.on_step(simulated, step.version)
            self.schedule(self.random.uniform(0.3, 1.2), lambda: end(step))

        def end(step) -> None:
            good = simulated.good[step.version]
            passes = simulated.passes[step.version]
            text = f"{'good' if good else 'bad'} {'passes' if passes else ''}"
            server = self.random.choice(SERVERS)
            node.chooser.finished(
                request, step.version, server, "complete", text
            )
            if step.check and not passes and steps:
                start()
            else:
                outcome.good = good

        start()


def ignore_step(simulated: SimulatedRequest, version: VersionId) -> None:
    """Does nothing."""


def compare_cost(
    seed: int, seconds: float, true_qualities: TrueQualities
) -> None:
    """Prints cost and targets of all policies on the same requests."""
    stream = draw_requests(true_qualities, seed, 40.0, seconds)
    rng = random.Random(seed)
    fleet = Fleet(
        8, SharedConfig(make_catalog(PROVEN_VERSIONS)), seed, watch_every=10
    )
    cpu_started_s = time.process_time()
    served = fleet.run(stream, ignore_step)
    cpu_ms = (time.process_time() - cpu_started_s) / len(stream) * 1e3
    oracle = best_pairs(true_qualities)
    rows = {
        "policy": list(served.values()),
        "best": [fixed_cascade(d, (COUNSEL,)) for d in stream],
        "cheapest": [fixed_cascade(d, (SWIFT,)) for d in stream],
        "cascade": [fixed_cascade(d, (SWIFT, COUNSEL)) for d in stream],
        "random": [
            fixed_cascade(d, (rng.choice(PROVEN_VERSIONS),)) for d in stream
        ],
        "oracle": [
            fixed_cascade(d, oracle[d.kind.name, d.hard]) for d in stream
        ],
    }
    print(f"  seed {seed}, {len(stream)} requests, {cpu_ms:.2f} ms each")
    print_comparison(rows, WARM_UP_S)


@dataclasses.dataclass(frozen=True)
class RolloutResult:
    """Result of the first stage of a roll-out.

    Attributes:
        callers: Number of requests that the new version got.
        withdrawn_s: Seconds until its withdrawal, infinite without one.
        rated_s: Seconds until it had the number of ratings that the first
            stage needs, infinite if it never had.
    """

    callers: int
    withdrawn_s: float
    rated_s: float


def run_first_stage(
    seed: int, pooled: bool, quality: tuple[float, float]
) -> RolloutResult:
    """Runs the first stage with a new version of quality (easy, hard)."""
    true_qualities = TrueQualities(QUALITY | {NEXT: quality})
    config = SharedConfig(make_catalog((*PROVEN_VERSIONS, NEXT), ROLLOUT))
    fleet = Fleet(8, config, seed, pooled)
    reached_requests: set[int] = set()
    last_run_s = rated_s = math.inf
    start = 0.0
    evidence = fleet.nodes[0].evidence

    def on_step(simulated: SimulatedRequest, version: VersionId) -> None:
        nonlocal last_run_s, rated_s
        if version == NEXT:
            reached_requests.add(simulated.number)
            last_run_s = simulated.at - start
        if rated_s == math.inf and (
            evidence.by_version(str(NEXT)).rated >= ROLLOUT_STAGES[0].min_rated
        ):
            rated_s = simulated.at - start

    fleet.run(draw_requests(true_qualities, seed, 160.0, 60.0), on_step)
    start_rollout(fleet.nodes, ROLLOUT)
    start = fleet.clock()
    shifted_requests = [
        dataclasses.replace(d, at=d.at + start, number=d.number + 10**6)
        for d in draw_requests(true_qualities, seed + 1, 160.0, 120.0)
    ]
    fleet.events.clear()
    fleet.run(shifted_requests, on_step)
    is_withdrawn = NEXT in config.withdrawn
    return RolloutResult(
        len(reached_requests), last_run_s if is_withdrawn else math.inf, rated_s
    )


def fixed_canary(seed: int, bad: float) -> int:
    """Returns the callers that a fixed canary share of 5% exposes.

    Its error threshold never triggers, because bad answers are not errors.
    """
    true_qualities = TrueQualities(QUALITY | {NEXT: (bad, bad)})
    rng = random.Random(seed)
    easy_kinds = {"station-log", "make-good", "order-question", "copy-note"}
    return sum(
        rng.random() < ROLLOUT_STAGES[0].share
        for d in draw_requests(true_qualities, seed + 1, 160.0, 120.0)
        if d.kind.name in easy_kinds
    )


def is_falsely_withdrawn(seed: int, ratings: int, proven: bool) -> bool:
    """Tells whether a good version is withdrawn within `ratings` ratings.

    The version is a proven one of constant quality if `proven`, else a new one
    that is as good as the version it replaces.
    """
    rng = random.Random(seed)
    config = SharedConfig(make_catalog((*PROVEN_VERSIONS, NEXT), ROLLOUT))
    node = Fleet(1, config, seed).nodes[0]
    start_rollout([node], ROLLOUT)

    def rate(version: VersionId) -> None:
        hard = rng.random() < 0.3
        good = rng.random() < QUALITY[SWIFT][hard]
        word = "good" if good else "bad"
        rows = (
            Cell(str(version), "station-log", hard),
            Cell(str(version), server=rng.choice(SERVERS)),
        )
        for cell in rows:
            node.evidence.count(cell, complete=1, **{word: 1})

    for _ in range(500):
        rate(SWIFT)
    node.watch.check()
    for number in range(ratings):
        rate(SWIFT if proven else NEXT)
        if number % 5 == 0:
            node.watch.check()
    return bool(config.withdrawn)


def measure_cost_ratios(seed: int, count: int, pooled: bool) -> list[float]:
    """Returns the cost divided by the oracle's, for each 100 s."""
    true_qualities = TrueQualities({v: QUALITY[v] for v in PROVEN_VERSIONS})
    stream = draw_requests(true_qualities, seed, 5.0 * count, 600.0)
    fleet = Fleet(
        count,
        SharedConfig(make_catalog(PROVEN_VERSIONS)),
        seed,
        pooled,
        watch_every=10,
    )
    served = fleet.run(stream, ignore_step)
    oracle = best_pairs(true_qualities)
    costs_by_window: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for d in stream:
        costs = costs_by_window[int(d.at // 100)]
        costs[0] += served[d.number].cost
        costs[1] += fixed_cascade(d, oracle[d.kind.name, d.hard]).cost
    return [
        round(cost / oracle_cost, 2)
        for _, (cost, oracle_cost) in sorted(costs_by_window.items())
    ]


def measure_cost(seeds: int, seconds: float) -> None:
    """Prints cost and targets with a useful and a useless check."""
    for detection_rate in (0.6, 0.0):
        print(
            f"cost and targets, check finds {detection_rate:.0%} of bad answers"
        )
        for seed in range(seeds):
            true_qualities = TrueQualities(
                {v: QUALITY[v] for v in PROVEN_VERSIONS}, detection_rate
            )
            compare_cost(seed, seconds, true_qualities)


def measure_exposure(seeds: int, pooled_only: bool) -> None:
    """Prints how many callers a new version reaches, by its quality."""
    good = QUALITY[NEXT]
    for quality in ((0.0, 0.0), (0.2, 0.2), (0.5, 0.5), (0.7, 0.7), good):
        print(f"callers of a new version with quality {quality}, 8 nodes")
        for pooled in (True,) if pooled_only else (True, False):
            runs = [run_first_stage(s, pooled, quality) for s in range(seeds)]
            print(
                f"  pooled={pooled}: callers {[r.callers for r in runs]},"
                f" withdrawn s {[round(r.withdrawn_s, 1) for r in runs]},"
                f" {ROLLOUT_STAGES[0].min_rated} rated s"
                f" {[round(r.rated_s, 1) for r in runs]}"
            )
        if quality != good:
            fixed = [fixed_canary(s, quality[0]) for s in range(seeds)]
            print(f"  fixed 5% canary with error threshold: {fixed} in 120 s")


def measure_false_withdrawals(runs: int) -> None:
    """Prints how often good versions are withdrawn."""
    for proven in (False, True):
        withdrawn = sum(
            is_falsely_withdrawn(s, 2000, proven) for s in range(runs)
        )
        print(f"false withdrawals, proven={proven}: {withdrawn} of {runs} runs")


def measure_learning(seeds: int) -> None:
    """Prints how fast one and eight nodes learn."""
    for count, pooled in ((1, True), (8, False), (8, True)):
        for seed in range(seeds):
            print(
                f"learning, {count} nodes of 5 requests/s, pooled={pooled}:"
                f" cost over the oracle's each 100 s"
                f" {measure_cost_ratios(seed, count, pooled)}"
            )


@click.command()
@click.option("--part", default="", help="cost, exposure, false or learning.")
@click.option("--seeds", default=3, help="Seeds of each comparison.")
@click.option("--seconds", default=1500.0, help="Simulated time of a stream.")
@click.option("--runs", default=200, help="Runs for false withdrawals.")
@click.option("--pooled-only", is_flag=True, help="Leave unpooled nodes out.")
def main(
    part: str, seeds: int, seconds: float, runs: int, pooled_only: bool
) -> None:
    """Prints the results of the selected parts."""
    parts = {
        "cost": lambda: measure_cost(seeds, seconds),
        "exposure": lambda: measure_exposure(seeds, pooled_only),
        "false": lambda: measure_false_withdrawals(runs),
        "learning": lambda: measure_learning(seeds),
    }
    for name, measure in parts.items():
        if part in {"", name}:
            measure()


if __name__ == "__main__":
    main()
