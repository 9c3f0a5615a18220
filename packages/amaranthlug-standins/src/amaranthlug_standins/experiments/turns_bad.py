"""A fully rolled out version starts to give wrong answers under load."""

import time
from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.experiments.exposure import check_exposure
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
    set_engine_faults,
)
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 24.0
REQUESTS_PER_S = 40.0
TURNS_BAD_AT_S = 10.0


def turn_bad(context: ScenarioContext) -> None:
    """Makes the most used version give wrong answers on all engines."""
    version = context.answers_by_version().most_common(1)[0][0]
    context.bad_since[version] = time.time()
    context.results["bad"] = version
    set_engine_faults(context, bad_versions={version: 1.0})


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires that the version is withdrawn and then gets no requests."""
    check_exposure(context, truth, counts, context.results["bad"])


PLAN = Plan(
    "turns-bad",
    LOAD_S,
    REQUESTS_PER_S,
    (ScheduledAction(TURNS_BAD_AT_S, "turns bad", turn_bad),),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
