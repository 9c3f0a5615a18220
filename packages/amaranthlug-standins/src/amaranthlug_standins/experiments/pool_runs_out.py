"""All engines of the only pool drain for some seconds."""

import time
from collections.abc import Mapping

import gevent

from amaranthlug_standins.calls import ANSWERED, REFUSED
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
    set_engine_faults,
)
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 18.0
RATE = 40.0
OUT_AT_S = 5.0
OUT_S = 5.0

RECOVERY_LIMIT_S = 3.0
"""Seconds after the return of the engines until all calls are answered."""


def empty_pool(context: ScenarioContext) -> None:
    """Drains all engines and brings them back."""
    set_engine_faults(context, drain=True)
    gevent.sleep(OUT_S)
    set_engine_faults(context)
    context.results["back_at"] = time.time()


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires typed refusals with a time to retry, and full recovery."""
    calls = [call for call in context.trial.load.calls if not call.service]
    refused = [call for call in calls if call.outcome == REFUSED]
    empty = [call for call in refused if call.code == "pool_exhausted"]
    counts.require(bool(empty), "no call was refused by an empty pool")
    false = sum(not call.not_run for call in empty)
    counts.require(not false, f"{false} refusals do not say not run")
    # The outcome of a key that may have run stays unknown at any time.
    untimed = sum(
        call.retry_after_s is None and call.code != "unknown_outcome"
        for call in refused
    )
    counts.require(not untimed, f"{untimed} refusals lack retry_after_s")
    # An engine that answers 503 has received the request, so the router does
    # not say that it did not run.
    counts.notes["refused_without_not_run"] = sum(
        not call.not_run for call in refused
    )
    begin = context.results["back_at"] + RECOVERY_LIMIT_S
    late = [
        call
        for call in calls
        if call.due_at > begin and call.outcome != ANSWERED
    ]
    counts.require(not late, f"{len(late)} calls failed after the recovery")
    counts.notes["refused_longest_s"] = round(
        max((call.total_s for call in refused), default=0.0), 2
    )


PLAN = Plan(
    "pool-runs-out",
    LOAD_S,
    RATE,
    (ScheduledAction(OUT_AT_S, "out", empty_pool),),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
