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
REQUESTS_PER_S = 40.0
CUT_AT_S = 3.0
CUT_DURATION_S = 12.0
ENGINE_COUNT = 3

CUT_AFTER_TOKENS = 8
"""Length at which an answer is cut; the shortest whole answer has 12."""


def cut_answers(context: ScenarioContext) -> None:
    """Makes some engines cut their answers for `CUT_DURATION_S` seconds."""
    engines = context.random.sample(context.fleet.engines, ENGINE_COUNT)
    for engine in engines:
        engine.fault(cut_after=CUT_AFTER_TOKENS)
    gevent.sleep(CUT_DURATION_S)
    for engine in engines:
        engine.fault()


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires that cut answers are continued.

    Only non-idempotent calls may fail.
    """
    continued = sum(
        run.first > 0 for runs in truth.runs.values() for run in runs
    )
    counts.notes["continued_runs"] = continued
    counts.require(continued > 0, "no answer was continued")
    # A non-idempotent request cannot be continued at another engine.
    refused = sum(
        call.outcome == REFUSED and call.idempotent
        for call in context.trial.load.calls
    )
    counts.require(not refused, f"{refused} idempotent calls were refused")


PLAN = Plan(
    "cut-streams",
    LOAD_S,
    REQUESTS_PER_S,
    (ScheduledAction(CUT_AT_S, "cut", cut_answers),),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
