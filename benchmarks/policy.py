"""Measures the policy offline: cost, targets, exposure, false withdrawals.

Run `python benchmarks/policy.py --part PART [--seeds N] [--seconds S]
[--runs R]`; without `--part` all parts run, which takes about ten minutes.
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
    print_rows,
    step_cost,
)
from policy_world import (
    COUNSEL,
    NEXT,
    QUALITY,
    SCRIBE,
    SERVERS,
    SWIFT,
    Clock,
    Drawn,
    RatingSim,
    SimNode,
    Truth,
    View,
    catalog_of,
    draw,
    gossip,
    start_rollout,
)

from amaranthlug.state.catalog import Rollout, RolloutStage, VersionId
from amaranthlug.state.evidence import Cell

OLD = (SWIFT, SCRIBE, COUNSEL)
WARM_UP_S = 600.0
"""Time after which targets and cost are measured, at 40 requests/s; 5 kinds,
2 difficulties and 3 versions make 30 cells to learn."""
STAGES = (
    RolloutStage(0.05, 20, 8),
    RolloutStage(0.25, 60, 32),
    RolloutStage(1.0, 0, 2000),
)
"""Stages of the sample folder `hengyun`."""
ROLLOUT = Rollout("swift-4", "swift", "3", "4", STAGES)

Ran = Callable[[Drawn, VersionId], None]


class Fleet:
    """Nodes that serve a stream in simulated time."""

    def __init__(
        self,
        count: int,
        view: View,
        seed: int,
        pooled: bool = True,
        delay_s: float = 0.5,
        rated: float = 0.5,
        watch_every: int = 1,
    ):
        """Creates nodes.

        Args:
            count: Number of nodes.
            view: Configuration of all nodes.
            seed: Seed of everything random.
            pooled: Nodes exchange evidence.
            delay_s: Mean delay of ratings, in seconds.
            rated: Share of answers that is rated.
            watch_every: Half seconds between tests of versions; longer where
                only cost is measured, as the tests take most of the time.
        """
        self.clock, self.view = Clock(), view
        self.ratings = RatingSim(self.clock, seed, delay_s, rated)
        self.nodes = [
            SimNode(i, count, view, self.ratings, self.clock, seed)
            for i in range(count)
        ]
        self.random = random.Random(seed)
        self.pooled = pooled
        self.watch_every = watch_every
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = 0

    def later(self, delay_s: float, call: Callable[[], None]) -> None:
        """Calls something later in simulated time."""
        self.order += 1
        due = self.clock() + delay_s
        heapq.heappush(self.events, (due, self.order, call))

    def run(self, stream: list[Drawn], ran: Ran) -> dict[int, Outcome]:
        """Serves a stream; `ran` is told of each step that starts."""
        self.outcomes: dict[int, Outcome] = {}
        self.ran = ran
        self.tick(0)
        for drawn in stream:
            self.until(drawn.at)
            self.serve(drawn)
        self.until(self.clock() + 5)
        return self.outcomes

    def until(self, at: float) -> None:
        """Runs what is due until a time."""
        while self.events and self.events[0][0] <= at:
            due, _, call = heapq.heappop(self.events)
            self.clock.time = due
            call()
        self.clock.time = at

    def tick(self, number: int) -> None:
        """Runs the timers of all nodes."""
        for node in self.nodes:
            node.tick(number, self.watch_every)
        if self.pooled and number % 2 and len(self.nodes) > 1:
            gossip(self.nodes, self.random)
        self.later(0.5, lambda: self.tick(number + 1))

    def serve(self, drawn: Drawn) -> None:
        """Chooses and starts a request on a random node."""
        node = self.random.choice(self.nodes)
        request = node.request(drawn)
        plan = node.chooser.choose(request, None).unwrap()
        outcome = self.outcomes[drawn.number] = Outcome(drawn, 0, False)
        steps = list(plan.steps)

        def start() -> None:
            step = steps.pop(0)
            outcome.cost += step_cost(drawn, step.version)
            node.chooser.started(request, step.version)
            self.ran(drawn, step.version)
            self.later(self.random.uniform(0.3, 1.2), lambda: end(step))

        def end(step) -> None:
            good = drawn.good[step.version]
            passes = drawn.passes[step.version]
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


def nothing(drawn: Drawn, version: VersionId) -> None:
    """Ignores a start."""


def compare_cost(seed: int, seconds: float, truth: Truth) -> None:
    """Prints cost and targets of all policies on one stream."""
    stream = draw(truth, seed, 40.0, seconds)
    rng = random.Random(seed)
    fleet = Fleet(8, View(catalog_of(OLD)), seed, watch_every=10)
    begun = time.process_time()
    served = fleet.run(stream, nothing)
    spent = (time.process_time() - begun) / len(stream) * 1e3
    oracle = best_pairs(truth)
    rows = {
        "policy": list(served.values()),
        "best": [fixed_cascade(d, (COUNSEL,)) for d in stream],
        "cheapest": [fixed_cascade(d, (SWIFT,)) for d in stream],
        "cascade": [fixed_cascade(d, (SWIFT, COUNSEL)) for d in stream],
        "random": [fixed_cascade(d, (rng.choice(OLD),)) for d in stream],
        "oracle": [
            fixed_cascade(d, oracle[d.kind.name, d.hard]) for d in stream
        ],
    }
    print(f"  seed {seed}, {len(stream)} requests, {spent:.2f} ms each")
    print_rows(rows, WARM_UP_S)


@dataclasses.dataclass(frozen=True)
class RolledOut:
    """What a roll-out's first stage did.

    Attributes:
        callers: Requests that the new version got.
        withdrawn_s: Seconds to its withdrawal, infinite without one.
        rated_s: Seconds until as many of its answers were rated as the first
            stage needs, infinite if they never were.
    """

    callers: int
    withdrawn_s: float
    rated_s: float


def roll_out(
    seed: int, pooled: bool, quality: tuple[float, float]
) -> RolledOut:
    """Runs the first stage with a new version of a quality (easy, hard)."""
    truth = Truth(QUALITY | {NEXT: quality})
    view = View(catalog_of((*OLD, NEXT), ROLLOUT))
    fleet = Fleet(8, view, seed, pooled)
    reached: set[int] = set()
    last = rated = math.inf
    start = 0.0
    evidence = fleet.nodes[0].evidence

    def ran(drawn: Drawn, version: VersionId) -> None:
        nonlocal last, rated
        if version == NEXT:
            reached.add(drawn.number)
            last = drawn.at - start
        if rated == math.inf and (
            evidence.by_version(str(NEXT)).rated >= STAGES[0].min_rated
        ):
            rated = drawn.at - start

    fleet.run(draw(truth, seed, 160.0, 60.0), ran)
    start_rollout(fleet.nodes, ROLLOUT)
    start = fleet.clock()
    moved = [
        dataclasses.replace(d, at=d.at + start, number=d.number + 10**6)
        for d in draw(truth, seed + 1, 160.0, 120.0)
    ]
    fleet.events.clear()
    fleet.run(moved, ran)
    gone = NEXT in view.withdrawn
    return RolledOut(len(reached), last if gone else math.inf, rated)


def fixed_canary(seed: int, bad: float) -> int:
    """Returns callers of the same version under a fixed share of 5%.

    Its threshold on errors never fires, because bad answers are no errors.
    """
    truth = Truth(QUALITY | {NEXT: (bad, bad)})
    rng = random.Random(seed)
    easy_kinds = {"station-log", "make-good", "order-question", "copy-note"}
    return sum(
        rng.random() < STAGES[0].share
        for d in draw(truth, seed + 1, 160.0, 120.0)
        if d.kind.name in easy_kinds
    )


def false_withdrawal(seed: int, ratings: int, proven: bool) -> bool:
    """Tells whether a good version is withdrawn within `ratings`.

    Half of the runs have a new version, as good as the one it replaces; the
    other half a proven version that stays as it is.
    """
    rng = random.Random(seed)
    view = View(catalog_of((*OLD, NEXT), ROLLOUT))
    node = Fleet(1, view, seed).nodes[0]
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
    return bool(view.withdrawn)


def learning(seed: int, count: int, pooled: bool) -> list[float]:
    """Returns cost over the oracle's in each 100 s."""
    truth = Truth({v: QUALITY[v] for v in OLD})
    stream = draw(truth, seed, 5.0 * count, 600.0)
    fleet = Fleet(count, View(catalog_of(OLD)), seed, pooled, watch_every=10)
    served = fleet.run(stream, nothing)
    oracle = best_pairs(truth)
    spent: dict[int, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for d in stream:
        ours = spent[int(d.at // 100)]
        ours[0] += served[d.number].cost
        ours[1] += fixed_cascade(d, oracle[d.kind.name, d.hard]).cost
    return [
        round(ours / ideal, 2) for _, (ours, ideal) in sorted(spent.items())
    ]


def measure_cost(seeds: int, seconds: float) -> None:
    """Prints cost and targets with a useful and a useless check."""
    for found in (0.6, 0.0):
        print(f"cost and targets, check finds {found:.0%} of bad answers")
        for seed in range(seeds):
            truth = Truth({v: QUALITY[v] for v in OLD}, found)
            compare_cost(seed, seconds, truth)


def measure_exposure(seeds: int, pooled_only: bool) -> None:
    """Prints how many callers a bad new version reaches."""
    good = QUALITY[NEXT]
    for quality in ((0.0, 0.0), (0.2, 0.2), (0.5, 0.5), (0.7, 0.7), good):
        print(f"callers of a new version with quality {quality}, 8 nodes")
        for pooled in (True,) if pooled_only else (True, False):
            runs = [roll_out(s, pooled, quality) for s in range(seeds)]
            print(
                f"  pooled={pooled}: callers {[r.callers for r in runs]},"
                f" withdrawn s {[round(r.withdrawn_s, 1) for r in runs]},"
                f" {STAGES[0].min_rated} rated s"
                f" {[round(r.rated_s, 1) for r in runs]}"
            )
        if quality != good:
            fixed = [fixed_canary(s, quality[0]) for s in range(seeds)]
            print(f"  fixed 5% canary with error threshold: {fixed} in 120 s")


def measure_false(runs: int) -> None:
    """Prints how often good versions are withdrawn."""
    for proven in (False, True):
        false = sum(false_withdrawal(s, 2000, proven) for s in range(runs))
        print(f"false withdrawals, proven={proven}: {false} of {runs} runs")


def measure_learning(seeds: int) -> None:
    """Prints how fast one and eight nodes learn."""
    for count, pooled in ((1, True), (8, False), (8, True)):
        for seed in range(seeds):
            print(
                f"learning, {count} nodes of 5 requests/s, pooled={pooled}:"
                f" cost over the oracle's each 100 s"
                f" {learning(seed, count, pooled)}"
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
    """Prints the figures of the policy."""
    parts = {
        "cost": lambda: measure_cost(seeds, seconds),
        "exposure": lambda: measure_exposure(seeds, pooled_only),
        "false": lambda: measure_false(runs),
        "learning": lambda: measure_learning(seeds),
    }
    for name, measure in parts.items():
        if part in {"", name}:
            measure()


if __name__ == "__main__":
    main()
