"""What fixed policies would have cost on the requests of a run."""

import dataclasses
import random
from collections.abc import Callable, Iterable, Mapping

from amaranthlug.state.catalog import Catalog, Version, VersionId
from amaranthlug_standins import answers
from amaranthlug_standins.answers import Quality
from amaranthlug_standins.costs import allowed_versions, quality_of
from amaranthlug_standins.history import Call

SHORT_WORDS = 2
"""Words of a bad answer that a check of its form finds."""


@dataclasses.dataclass
class Baseline:
    """Figures of a policy.

    Attributes:
        cost: Micro-units for all calls.
        good_share: Share of good answers.
        kinds_below_target: Kinds whose share of good answers over the whole
            run is below their target.
    """

    cost: int
    good_share: float
    kinds_below_target: list[str]


@dataclasses.dataclass(frozen=True)
class AnswerSimulator:
    """What decides the answers of the engines.

    Attributes:
        seed: Seed of the engines.
    """

    catalog: Catalog
    qualities: Mapping[str, Quality]
    seed: int

    def step(self, call: Call, version: Version) -> tuple[int, bool, bool]:
        """Returns the cost, whether the answer is good and whether short."""
        name = str(version.id)
        good = answers.is_good(
            self.seed,
            call.digest,
            name,
            call.kind,
            call.difficulty,
            self.qualities.get(name, Quality()),
        )
        draw = answers.chance(0, "give up", call.digest, name)
        short = not good and draw < answers.GIVE_UP_SHARE
        words = SHORT_WORDS if short else call.answer_words
        return version.cost(call.prompt_words, words), good, short

    def run(self, call: Call, steps: list[Version]) -> tuple[int, bool]:
        """Runs steps until one passes the check of its form."""
        total, good = 0, False
        for version in steps:
            cost, good, short = self.step(call, version)
            total += cost
            if not short:
                break
        return total, good

    def price(self, call: Call, version: Version) -> int:
        """Returns the price of a full answer."""
        return version.cost(call.prompt_words, call.answer_words)

    def by_price(self, call: Call) -> list[Version]:
        """Returns the allowed versions, cheapest first."""
        versions = allowed_versions(self.catalog, call)
        return sorted(versions, key=lambda v: self.price(call, v))

    def oracle_steps(self, call: Call) -> list[Version]:
        """Returns the cheapest version with the target for its difficulty."""
        target = self.catalog.kinds[call.kind].quality_target
        versions = self.by_price(call)

        def quality(version: VersionId) -> float:
            return quality_of(self.qualities, version, call.difficulty)

        meeting = [v for v in versions if quality(v.id) >= target]
        return (meeting or [max(versions, key=lambda v: quality(v.id))])[:1]


def policies(
    world: AnswerSimulator,
) -> dict[str, Callable[[Call], list[Version]]]:
    """Returns the steps that each policy takes for a call."""
    source = random.Random(world.seed)
    return {
        "always_best": lambda call: world.by_price(call)[-1:],
        "always_cheapest": lambda call: world.by_price(call)[:1],
        "random": lambda call: [source.choice(world.by_price(call))],
        "fixed_cascade": lambda call: [
            world.by_price(call)[0],
            world.by_price(call)[-1],
        ],
        "oracle": world.oracle_steps,
    }


def evaluate_baselines(
    world: AnswerSimulator, calls: Iterable[Call]
) -> dict[str, Baseline]:
    """Runs all policies on the same answered calls."""
    chats = list(calls)
    found = {}
    for name, steps in policies(world).items():
        results = [(call, *world.run(call, steps(call))) for call in chats]
        kinds: dict[str, list[bool]] = {}
        for call, _, good in results:
            kinds.setdefault(call.kind, []).append(good)
        below = [
            kind
            for kind, good in sorted(kinds.items())
            if sum(good) / len(good) < world.catalog.kinds[kind].quality_target
        ]
        good_share = sum(good for _, _, good in results) / max(1, len(results))
        cost = sum(cost for _, cost, _ in results)
        found[name] = Baseline(cost, round(good_share, 4), below)
    return found
