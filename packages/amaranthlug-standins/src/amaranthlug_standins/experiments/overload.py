"""Callers send twice the load that the engines can serve."""

import dataclasses
from collections.abc import Mapping

from amaranthlug_standins.batch import Pace
from amaranthlug_standins.calls import (
    ANSWERED,
    REFUSED,
    Call,
    has_wrong_retry_time,
)
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import Plan, ScenarioContext, run_plan
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.load import Mix
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 18.0
OVERLOAD_FACTOR = 2.0

ENGINE_PACE = Pace(step_ms=50.0, step_per_run_ms=0.0, slots=4, queue=32)
"""Slow engines, so that they are the bottleneck and not the machine."""

MEAN_ANSWER_WORDS = 32.0
"""Mean length of an answer: 35% are hard with 41.5 words, the others have 25.5,
and some bad answers are shorter."""

WARM_UP_S = 4.0
"""Time until the engines are busy; the results leave it out."""

MIN_GOODPUT_SHARE = 0.9
"""Target: least share of the capacity used by whole answers on time."""

ENGINE_COUNT = 9


def capacity_tokens_per_s(engines: int) -> float:
    """Returns the tokens a second that fully loaded engines generate."""
    return engines * ENGINE_PACE.slots * 1000 / ENGINE_PACE.step_ms


REQUESTS_PER_S = (
    OVERLOAD_FACTOR * capacity_tokens_per_s(ENGINE_COUNT) / MEAN_ANSWER_WORDS
)


def chat_only(mix: Mix) -> Mix:
    """Removes calls of plain services, which the engines do not limit."""
    return dataclasses.replace(mix, service_share=0.0)


def is_timely(context: ScenarioContext, call: Call) -> bool:
    """Tells whether a whole answer came within the deadline of its kind."""
    kind = context.fleet.deployment.catalog.kinds[call.kind]
    return (
        call.outcome == ANSWERED
        and call.whole
        and call.total_s * 1000 <= kind.deadline_ms
    )


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires enough timely answers, and retry times where they are due."""
    calls = context.trial.load.calls
    measure_from, measure_until = calls[0].due_at + WARM_UP_S, calls[-1].due_at
    timely_tokens = sum(
        run.generated
        for call in calls
        if is_timely(context, call)
        and measure_from <= call.ended_at <= measure_until
        for run in truth.runs_of(call)[-1:]
    )
    generated_tokens = sum(
        run.generated
        for runs in truth.runs.values()
        for run in runs
        if measure_from <= run.ended_at <= measure_until
    )
    capacity = capacity_tokens_per_s(len(context.fleet.engines)) * (
        measure_until - measure_from
    )
    counts.notes["timely_share_of_capacity"] = round(
        timely_tokens / capacity, 4
    )
    counts.notes["generated_share_of_capacity"] = round(
        generated_tokens / capacity, 4
    )
    counts.notes["late"] = sum(
        call.outcome == ANSWERED and not is_timely(context, call)
        for call in calls
    )
    counts.require(
        timely_tokens >= MIN_GOODPUT_SHARE * capacity,
        f"timely answers use {timely_tokens / capacity:.2f} of the capacity",
    )
    refused = [call for call in calls if call.outcome == REFUSED]
    wrong = sum(map(has_wrong_retry_time, refused))
    counts.require(
        not wrong, f"{wrong} refusals have a missing or wrong retry_after_s"
    )
    refused_after_run = sum(not call.not_run for call in refused)
    counts.notes["refused_after_a_run"] = refused_after_run


PLAN = Plan(
    "overload",
    LOAD_S,
    REQUESTS_PER_S,
    check=check,
    mix=chat_only,
    options=FleetOptions(pace=ENGINE_PACE),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
