"""One engine gives wrong answers with all its versions."""

import time
from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
)
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 28.0
REQUESTS_PER_S = 50.0
TURNS_BAD_AT_S = 8.0
LAST_WINDOW_S = 5.0
"""Length of the window at the end of the load in which runs are counted."""


def turn_engine_bad(context: ScenarioContext) -> None:
    """Makes a random engine give wrong answers with all versions."""
    engine = context.random.choice(context.fleet.engines)
    context.results["engine"] = engine
    version_names = [
        str(version) for version in context.fleet.deployment.qualities
    ]
    engine.fault(bad_versions=dict.fromkeys(version_names, 1.0))
    context.results["turned_at"] = time.time()


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires that no version is withdrawn because of one bad engine."""
    withdrawn = counts.notes["withdrawn"]
    counts.require(
        not withdrawn, f"{withdrawn} withdrawn because of one engine"
    )
    turned_at = context.results["turned_at"]
    runs = [
        run
        for run in context.results["engine"].seen()["runs"]
        if run["started_at"] >= turned_at
    ]
    last_run_at = max(run[-1].started_at for run in truth.runs.values())
    counts.notes["wrong_runs"] = len(runs)
    counts.notes["wrong_runs_last_5_s"] = sum(
        run["started_at"] > last_run_at - LAST_WINDOW_S for run in runs
    )
    by_version: dict[str, list[float]] = {}
    for run in runs:
        after_s = round(run["started_at"] - turned_at, 2)
        by_version.setdefault(run["version"], []).append(after_s)
    counts.notes["last_work_s_by_version"] = {
        version: max(times) for version, times in by_version.items()
    }
    counts.notes["wrong_runs_by_version"] = {
        version: len(times) for version, times in by_version.items()
    }


PLAN = Plan(
    "one-bad-server",
    LOAD_S,
    REQUESTS_PER_S,
    (ScheduledAction(TURNS_BAD_AT_S, "turns bad", turn_engine_bad),),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
