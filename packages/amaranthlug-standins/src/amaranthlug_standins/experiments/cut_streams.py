"""Some engines cut every answer after a few tokens for most of the run."""

from collections.abc import Mapping

import gevent

from amaranthlug_standins.calls import REFUSED
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
)
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 20.0
RATE = 40.0
CUT_AT_S = 3.0
CUT_S = 12.0
ENGINES = 3

CUT_AFTER = 8
"""Tokens after which an answer is cut; the shortest whole one has 12."""


def cut(context: ScenarioContext) -> None:
    """Lets some engines cut their answers for a time."""
    engines = context.random.sample(context.fleet.engines, ENGINES)
    for engine in engines:
        engine.fault(cut_after=CUT_AFTER)
    gevent.sleep(CUT_S)
    for engine in engines:
        engine.fault()


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires that answers go on; calls that may run once may fail."""
    continued = sum(
        run.first > 0 for runs in truth.runs.values() for run in runs
    )
    counts.notes["continued_runs"] = continued
    counts.require(continued > 0, "no answer was continued")
    # A request that may run once cannot go on at another engine.
    refused = sum(
        call.outcome == REFUSED and call.idempotent
        for call in context.trial.load.calls
    )
    counts.require(not refused, f"{refused} idempotent calls were refused")


PLAN = Plan(
    "cut-streams", LOAD_S, RATE, (ScheduledAction(CUT_AT_S, "cut", cut),), check
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
