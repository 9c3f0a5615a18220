"""Cost and quality of fixed policies on the requests of a run."""

import dataclasses
import random
from collections.abc import Callable, Iterable, Mapping

from amaranthlug.state.catalog import Catalog, Version, VersionId
from amaranthlug_standins import answers
from amaranthlug_standins.answers import Quality
from amaranthlug_standins.calls import Call
from amaranthlug_standins.costs import allowed_versions, quality_of

SHORT_WORDS = 2
"""Length of a bad answer that the form check rejects, in words."""


@dataclasses.dataclass
class Baseline:
    """Results of a policy.

    Attributes:
        cost: Total cost of all calls, in micro-units.
        good_share: Fraction of good answers.
        kinds_below_target: Request kinds whose fraction of good answers over
            the whole run is below their quality target.
    """

    cost: int
    good_share: float
    kinds_below_target: list[str]


@dataclasses.dataclass(frozen=True)
class AnswerSimulator:
    """Computes the answers that the stand-in engines would have given.

    Attributes:
        catalog: Catalogue of the run.
        qualities: Answer quality by version.
        seed: Seed of the engines in the run.
    """

    catalog: Catalog
    qualities: Mapping[str, Quality]
    seed: int

    def simulate_step(
        self, call: Call, version: Version
    ) -> tuple[int, bool, bool]:
        """Returns cost, whether the answer is good, and whether it is short."""
        name = str(version.id)
        good = answers.is_good(
            self.seed,
            call.digest,
            name,
            call.kind,
            call.difficulty,
            self.qualities.get(name, Quality()),
        )
        draw = answers.hash_fraction(0, "give up", call.digest, name)
        short = not good and draw < answers.SHORT_BAD_SHARE
        words = SHORT_WORDS if short else call.answer_words
        return version.cost(call.prompt_words, words), good, short

    def simulate_steps(
        self, call: Call, steps: list[Version]
    ) -> tuple[int, bool]:
        """Runs steps until an answer passes the form check.

        Returns:
            The total cost, and whether the last answer is good.
        """
        total, good = 0, False
        for version in steps:
            cost, good, short = self.simulate_step(call, version)
            total += cost
            if not short:
                break
        return total, good

    def full_answer_cost(self, call: Call, version: Version) -> int:
        """Returns the cost of a full answer in micro-units."""
        return version.cost(call.prompt_words, call.answer_words)

    def versions_by_price(self, call: Call) -> list[Version]:
        """Returns the versions allowed for a call, cheapest first."""
        versions = allowed_versions(self.catalog, call)
        return sorted(versions, key=lambda v: self.full_answer_cost(call, v))

    def oracle_steps(self, call: Call) -> list[Version]:
        """Returns the cheapest version that meets the quality target.

        Uses the true quality for the difficulty of the call; if no version
        meets the target, returns the best one.
        """
        target = self.catalog.kinds[call.kind].quality_target
        versions = self.versions_by_price(call)

        def quality(version: VersionId) -> float:
            return quality_of(self.qualities, version, call.difficulty)

        meeting = [v for v in versions if quality(v.id) >= target]
        return (meeting or [max(versions, key=lambda v: quality(v.id))])[:1]


def policy_steps(
    simulator: AnswerSimulator,
) -> dict[str, Callable[[Call], list[Version]]]:
    """Returns, by policy, a function from a call to its steps."""
    rng = random.Random(simulator.seed)
    return {
        "always_best": lambda call: simulator.versions_by_price(call)[-1:],
        "always_cheapest": lambda call: simulator.versions_by_price(call)[:1],
        "random": lambda call: [rng.choice(simulator.versions_by_price(call))],
        "fixed_cascade": lambda call: [
            simulator.versions_by_price(call)[0],
            simulator.versions_by_price(call)[-1],
        ],
        "oracle": simulator.oracle_steps,
    }


def evaluate_baselines(
    simulator: AnswerSimulator, calls: Iterable[Call]
) -> dict[str, Baseline]:
    """Evaluates all policies on the same answered calls."""
    answered_calls = list(calls)
    baselines = {}
    for name, steps in policy_steps(simulator).items():
        results = [
            (call, *simulator.simulate_steps(call, steps(call)))
            for call in answered_calls
        ]
        kinds: dict[str, list[bool]] = {}
        for call, _, good in results:
            kinds.setdefault(call.kind, []).append(good)
        below_target = [
            kind
            for kind, good in sorted(kinds.items())
            if sum(good) / len(good)
            < simulator.catalog.kinds[kind].quality_target
        ]
        good_share = sum(good for _, _, good in results) / max(1, len(results))
        cost = sum(cost for _, cost, _ in results)
        baselines[name] = Baseline(cost, round(good_share, 4), below_target)
    return baselines
