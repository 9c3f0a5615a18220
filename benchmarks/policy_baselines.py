"""Fixed policies, the oracle, and the comparison of their results."""

import dataclasses
import itertools
from collections import defaultdict

from policy_simulation import (
    HARD_SHARE,
    KINDS,
    PRICES,
    SimulatedRequest,
    TrueQualities,
)

from amaranthlug.state.catalog import Version, VersionId

WINDOW_S = 300.0
"""Length of the windows in which each kind must meet its target."""

VERSION_PRICES = {
    v: Version(v, "drafting", price[0], price[1]) for v, price in PRICES.items()
}

Steps = tuple[VersionId, ...]


@dataclasses.dataclass
class Outcome:
    """Result of one request; the cost is in micro-units."""

    request: SimulatedRequest
    cost: float
    good: bool


def step_cost(request: SimulatedRequest, version: VersionId) -> float:
    """Returns the cost of one step of a request, in micro-units."""
    output = request.kind.max_output_tokens // 2
    return VERSION_PRICES[version].cost(request.tokens, output)


def fixed_cascade(request: SimulatedRequest, steps: Steps) -> Outcome:
    """Runs a request through fixed steps until an answer passes the check."""
    cost = 0.0
    for index, version in enumerate(steps):
        cost += step_cost(request, version)
        if index == len(steps) - 1 or request.passes[version]:
            return Outcome(request, cost, request.good[version])
    raise AssertionError("a plan has a step")


@dataclasses.dataclass(frozen=True)
class TrueOption:
    """Expected cost and quality of fixed steps, from the true qualities."""

    steps: Steps
    cost: float
    quality: float


def true_options(
    true_qualities: TrueQualities, output: int, hard: bool
) -> list[TrueOption]:
    """Returns all versions and cascades of two of them.

    In this simulation, a request that a version answers well is also answered
    well by every better version. A request that the check escalates is good
    with the better version's share of the requests that did not pass.
    """
    tokens = 260 if hard else 55
    options = []
    versions = list(true_qualities.quality)
    for version in versions:
        cost = VERSION_PRICES[version].cost(tokens, output)
        quality = true_qualities.quality[version][hard]
        options.append(TrueOption((version,), cost, quality))
    for cheap, expensive in itertools.permutations(versions, 2):
        low, high = (
            true_qualities.quality[cheap][hard],
            true_qualities.quality[expensive][hard],
        )
        if low > high:
            continue
        kept_good = low * (1 - true_qualities.false_alarm_rate)
        escalated_good = (
            low * true_qualities.false_alarm_rate
            + (high - low) * true_qualities.detection_rate
        )
        escalated = (
            low * true_qualities.false_alarm_rate
            + (1 - low) * true_qualities.detection_rate
        )
        cost = VERSION_PRICES[cheap].cost(tokens, output)
        cost += escalated * VERSION_PRICES[expensive].cost(tokens, output)
        options.append(
            TrueOption((cheap, expensive), cost, kept_good + escalated_good)
        )
    return options


def best_pairs(true_qualities: TrueQualities) -> dict[tuple[str, bool], Steps]:
    """Returns the oracle: the cheapest options for easy and hard requests.

    It knows the true quality of each version for easy and hard requests, but
    not the result of a single request.
    """
    chosen: dict[tuple[str, bool], Steps] = {}
    for kind in KINDS:
        output = kind.max_output_tokens // 2
        easy_options = true_options(true_qualities, output, False)
        hard_options = true_options(true_qualities, output, True)
        pairs = [
            (easy.cost * (1 - HARD_SHARE) + hard.cost * HARD_SHARE, easy, hard)
            for easy, hard in itertools.product(easy_options, hard_options)
            if easy.quality * (1 - HARD_SHARE) + hard.quality * HARD_SHARE
            >= kind.quality_target
        ]
        _, easy, hard = min(pairs, key=lambda pair: pair[0])
        chosen[kind.name, False], chosen[kind.name, True] = (
            easy.steps,
            hard.steps,
        )
    return chosen


def missed_windows(outcomes: list[Outcome], warm_up_s: float) -> list[str]:
    """Returns the kinds and windows that missed the target, with quality."""
    counts: dict[tuple[str, int], list[int]] = defaultdict(lambda: [0, 0])
    for outcome in outcomes:
        if outcome.request.at >= warm_up_s:
            window = int(outcome.request.at // WINDOW_S)
            bad_and_good = counts[outcome.request.kind.name, window]
            bad_and_good[outcome.good] += 1
    targets = {kind.name: kind.quality_target for kind in KINDS}
    return [
        f"{kind}/{window}:{good / (good + bad):.3f}<{targets[kind]}"
        for (kind, window), (bad, good) in sorted(counts.items())
        if good / (good + bad) < targets[kind]
    ]


def print_comparison(rows: dict[str, list[Outcome]], warm_up_s: float) -> None:
    """Prints cost ratios and missed windows of each policy."""
    costs = {
        name: sum(o.cost for o in outcomes if o.request.at >= warm_up_s)
        for name, outcomes in rows.items()
    }
    for name, outcomes in rows.items():
        missed = missed_windows(outcomes, warm_up_s)
        total_cost = sum(o.cost for o in outcomes)
        oracle_cost = sum(o.cost for o in rows["oracle"])
        print(
            f"    {name:9} / oracle {costs[name] / costs['oracle']:6.3f}"
            f" (with warm-up {total_cost / oracle_cost:6.3f})"
            f"  / best {costs[name] / costs['best']:.3f}"
            f"  windows missed {len(missed)} {' '.join(missed[:3])}"
        )
