"""Fixed policies, the oracle and the figures of a served stream."""

import dataclasses
import itertools
from collections import defaultdict

from policy_world import HARD_SHARE, KINDS, PRICES, Drawn, Truth

from amaranthlug.state.catalog import Version, VersionId

WINDOW_S = 300.0
"""Window in which each kind's target must be met, in seconds."""

RECORDS = {
    v: Version(v, "drafting", price[0], price[1]) for v, price in PRICES.items()
}

Steps = tuple[VersionId, ...]


@dataclasses.dataclass
class Outcome:
    """What became of one request; cost in micro-units."""

    drawn: Drawn
    cost: float
    good: bool


def step_cost(drawn: Drawn, version: VersionId) -> float:
    """Returns the price of one step of a request."""
    output = drawn.kind.max_output_tokens // 2
    return RECORDS[version].cost(drawn.tokens, output)


def fixed_cascade(drawn: Drawn, steps: Steps) -> Outcome:
    """Runs a request on fixed steps with a check between them."""
    cost = 0.0
    for index, version in enumerate(steps):
        cost += step_cost(drawn, version)
        if index == len(steps) - 1 or drawn.passes[version]:
            return Outcome(drawn, cost, drawn.good[version])
    raise AssertionError("a plan has a step")


@dataclasses.dataclass(frozen=True)
class TrueOption:
    """True expected cost and quality of fixed steps."""

    steps: Steps
    cost: float
    quality: float


def true_options(truth: Truth, output: int, hard: bool) -> list[TrueOption]:
    """Returns all versions and cascades of two of them.

    Good answers of a cheap version are among those of a dear one in this
    world, so an escalated request is good with the dear version's share of
    the requests that did not pass.
    """
    tokens = 260 if hard else 55
    found = []
    versions = list(truth.quality)
    for version in versions:
        cost = RECORDS[version].cost(tokens, output)
        quality = truth.quality[version][hard]
        found.append(TrueOption((version,), cost, quality))
    for cheap, dear in itertools.permutations(versions, 2):
        low, high = truth.quality[cheap][hard], truth.quality[dear][hard]
        if low > high:
            continue
        kept = low * (1 - truth.wronged)
        escalated_good = low * truth.wronged + (high - low) * truth.found
        escalated = low * truth.wronged + (1 - low) * truth.found
        cost = RECORDS[cheap].cost(tokens, output)
        cost += escalated * RECORDS[dear].cost(tokens, output)
        found.append(TrueOption((cheap, dear), cost, kept + escalated_good))
    return found


def best_pairs(truth: Truth) -> dict[tuple[str, bool], Steps]:
    """Returns the oracle: the cheapest pair of options for each kind.

    It knows the true quality of each version for easy and hard requests, but
    not the fate of a single request.
    """
    chosen: dict[tuple[str, bool], Steps] = {}
    for kind in KINDS:
        output = kind.max_output_tokens // 2
        easy = true_options(truth, output, False)
        hard = true_options(truth, output, True)
        pairs = [
            (e.cost * (1 - HARD_SHARE) + h.cost * HARD_SHARE, e, h)
            for e, h in itertools.product(easy, hard)
            if e.quality * (1 - HARD_SHARE) + h.quality * HARD_SHARE
            >= kind.quality_target
        ]
        _, e, h = min(pairs, key=lambda pair: pair[0])
        chosen[kind.name, False], chosen[kind.name, True] = e.steps, h.steps
    return chosen


def missed_windows(outcomes: list[Outcome], warm_up_s: float) -> list[str]:
    """Returns kinds and windows whose target was missed, with the quality."""
    counts: dict[tuple[str, int], list[int]] = defaultdict(lambda: [0, 0])
    for outcome in outcomes:
        if outcome.drawn.at >= warm_up_s:
            window = int(outcome.drawn.at // WINDOW_S)
            pair = counts[outcome.drawn.kind.name, window]
            pair[outcome.good] += 1
    targets = {kind.name: kind.quality_target for kind in KINDS}
    return [
        f"{kind}/{window}:{good / (good + bad):.3f}<{targets[kind]}"
        for (kind, window), (bad, good) in sorted(counts.items())
        if good / (good + bad) < targets[kind]
    ]


def print_rows(rows: dict[str, list[Outcome]], warm_up_s: float) -> None:
    """Prints cost ratios and missed windows of each policy."""
    costs = {
        name: sum(o.cost for o in outcomes if o.drawn.at >= warm_up_s)
        for name, outcomes in rows.items()
    }
    for name, outcomes in rows.items():
        missed = missed_windows(outcomes, warm_up_s)
        whole = sum(o.cost for o in outcomes)
        ideal = sum(o.cost for o in rows["oracle"])
        print(
            f"    {name:9} / oracle {costs[name] / costs['oracle']:6.3f}"
            f" (with warm-up {whole / ideal:6.3f})"
            f"  / best {costs[name] / costs['best']:.3f}"
            f"  windows missed {len(missed)} {' '.join(missed[:3])}"
        )
