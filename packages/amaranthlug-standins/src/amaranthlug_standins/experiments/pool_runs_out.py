"""All engines of the only pool drain for some seconds."""

import time
from collections.abc import Mapping

import gevent

from amaranthlug_standins.calls import (
    ANSWERED,
    REFUSED,
    has_wrong_retry_time,
)
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
REQUESTS_PER_S = 40.0
DRAIN_AT_S = 5.0
DRAIN_DURATION_S = 5.0

RECOVERY_LIMIT_S = 3.0
"""Longest time from the end of the drain until all calls are answered."""


def drain_pool(context: ScenarioContext) -> None:
    """Drains all engines for `DRAIN_DURATION_S` seconds."""
    set_engine_faults(context, drain=True)
    gevent.sleep(DRAIN_DURATION_S)
    set_engine_faults(context)
    context.results["back_at"] = time.time()


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires refusals with code and retry time, and full recovery."""
    calls = [call for call in context.trial.load.calls if not call.service]
    refused = [call for call in calls if call.outcome == REFUSED]
    pool_refusals = [call for call in refused if call.code == "pool_exhausted"]
    counts.require(bool(pool_refusals), "no call was refused by an empty pool")
    without_not_run = sum(not call.not_run for call in pool_refusals)
    counts.require(
        not without_not_run,
        f"{without_not_run} refusals are not marked as not run",
    )
    wrong = sum(map(has_wrong_retry_time, refused))
    counts.require(
        not wrong, f"{wrong} refusals have a missing or wrong retry_after_s"
    )
    # An engine that answers 503 has received the request, so the router cannot
    # report it as not run.
    counts.notes["refused_without_not_run"] = sum(
        not call.not_run for call in refused
    )
    recovered_at = context.results["back_at"] + RECOVERY_LIMIT_S
    failed_calls = [
        call
        for call in calls
        if call.due_at > recovered_at and call.outcome != ANSWERED
    ]
    counts.require(
        not failed_calls, f"{len(failed_calls)} calls failed after the recovery"
    )
    counts.notes["refused_longest_s"] = round(
        max((call.total_s for call in refused), default=0.0), 2
    )


PLAN = Plan(
    "pool-runs-out",
    LOAD_S,
    REQUESTS_PER_S,
    (ScheduledAction(DRAIN_AT_S, "out", drain_pool),),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
