"""Runs both sample deployments under their mixes as real processes."""

from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.deployments import sample_deployments
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import (
    Progress,
    Trial,
    finish_all,
    run_loads,
    start_fleets,
    stop_fleets,
)

LOAD_S = 18.0
REQUESTS_PER_S = 40.0
"""Requests a second on each deployment."""


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    options = FleetOptions(seed=seed)
    fleets = [Fleet(deployment, options) for deployment in sample_deployments()]
    start_fleets(fleets)
    try:
        trials = [
            Trial.from_mix(
                "steady",
                seed,
                fleet,
                sample_mix(fleet.deployment, REQUESTS_PER_S, LOAD_S),
            )
            for fleet in fleets
        ]
        run_loads(trials, progress)
        return finish_all(trials)
    finally:
        stop_fleets(fleets)
