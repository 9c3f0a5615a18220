"""Experiments by name."""

import dataclasses
from collections.abc import Callable, Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.experiments import config_race, steady
from amaranthlug_standins.trial import Progress


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A named experiment.

    Attributes:
        length_s: Seconds of load, for the progress bar.
        run: Runs it with a seed and returns counts by deployment.
    """

    name: str
    summary: str
    length_s: float
    run: Callable[[int, Progress], Mapping[str, Counts]]


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(
            "steady",
            "both sample deployments under their mixes, no failure",
            steady.LOAD_S,
            steady.run,
        ),
        Scenario(
            "config-race",
            "two operators publish against each other during a withdrawal",
            config_race.LOAD_S,
            config_race.run,
        ),
    )
}
