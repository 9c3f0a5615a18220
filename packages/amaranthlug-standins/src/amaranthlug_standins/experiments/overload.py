"""Callers ask for twice the capacity of the engines."""

import dataclasses
from collections.abc import Mapping

from amaranthlug_standins.batch import Pace
from amaranthlug_standins.calls import ANSWERED, REFUSED, Call
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import Plan, ScenarioContext, run_plan
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.load import Mix
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 18.0
OVERLOAD = 2.0

PACE = Pace(step_ms=50.0, step_per_run_ms=0.0, slots=4, queue=32)
"""Slow engines, so that the engines are the limit and not the machine."""

MEAN_WORDS = 32.0
"""Words of an answer of the mix on average: 35% hard ones with 41.5 words and
others with 25.5, less some short bad ones."""

WARM_S = 4.0
"""Seconds until the engines are busy; they do not count."""

GOODPUT_LIMIT = 0.9
"""Least share of the capacity that timely whole answers use (target)."""

ENGINES = 9


def capacity_tokens_per_s(engines: int) -> float:
    """Returns the tokens a second that all engines generate when full."""
    return engines * PACE.slots * 1000 / PACE.step_ms


RATE = OVERLOAD * capacity_tokens_per_s(ENGINES) / MEAN_WORDS


def chat_only(mix: Mix) -> Mix:
    """Leaves out plain services, which engines do not limit."""
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
    """Compares timely tokens with the capacity; refusals must be true."""
    calls = context.trial.load.calls
    begin, end = calls[0].due_at + WARM_S, calls[-1].due_at
    tokens = sum(
        run.generated
        for call in calls
        if is_timely(context, call) and begin <= call.ended_at <= end
        for run in truth.runs_of(call)[-1:]
    )
    used = sum(
        run.generated
        for runs in truth.runs.values()
        for run in runs
        if begin <= run.ended_at <= end
    )
    capacity = capacity_tokens_per_s(len(context.fleet.engines)) * (end - begin)
    counts.notes["timely_share_of_capacity"] = round(tokens / capacity, 4)
    counts.notes["generated_share_of_capacity"] = round(used / capacity, 4)
    counts.notes["late"] = sum(
        call.outcome == ANSWERED and not is_timely(context, call)
        for call in calls
    )
    counts.require(
        tokens >= GOODPUT_LIMIT * capacity,
        f"timely answers use {tokens / capacity:.2f} of the capacity",
    )
    refused = [call for call in calls if call.outcome == REFUSED]
    untimed = sum(call.retry_after_s is None for call in refused)
    counts.require(not untimed, f"{untimed} refusals lack retry_after_s")
    false = sum(not call.not_run for call in refused)
    counts.notes["refused_after_a_run"] = false


PLAN = Plan(
    "overload",
    LOAD_S,
    RATE,
    check=check,
    mix=chat_only,
    options=FleetOptions(pace=PACE),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
