"""Compares the cost at the quality target with that of fixed policies."""

import dataclasses
from collections.abc import Mapping

from amaranthlug_standins.calls import ANSWERED, Call
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import Plan, ScenarioContext, run_plan
from amaranthlug_standins.load import Mix
from amaranthlug_standins.policy_baselines import (
    AnswerSimulator,
    evaluate_baselines,
)
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 28.0
REQUESTS_PER_S = 120.0

WARM_UP_S = 18.0
"""Time in which the router learns; the results leave it out."""


def chat_only(mix: Mix) -> Mix:
    """Removes calls of plain services, which have no choice of versions."""
    return dataclasses.replace(mix, service_share=0.0)


def billed_cost(truth: Truth, call: Call) -> int:
    """Returns the billed cost of a call in micro-units."""
    return sum(bill.cost for bill in truth.bills_of(call))


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Compares the billed cost after the warm-up with that of the policies."""
    calls = context.trial.load.calls
    measure_from = calls[0].due_at + WARM_UP_S
    measured_calls = [
        call
        for call in calls
        if call.due_at >= measure_from
        and call.outcome == ANSWERED
        and call.attempts == 1
        and len(truth.bills_of(call)) == 1
    ]
    deployment = context.fleet.deployment
    simulator = AnswerSimulator(
        deployment.catalog, deployment.qualities, context.fleet.options.seed
    )
    baselines = evaluate_baselines(simulator, measured_calls)
    counts.baselines = {
        name: dataclasses.asdict(baseline)
        for name, baseline in baselines.items()
    }
    cost = sum(billed_cost(truth, call) for call in measured_calls)
    good_count = sum(call.good for call in measured_calls)
    counts.notes["requests_after_warm_up"] = len(measured_calls)
    counts.notes["cost_after_warm_up"] = cost
    counts.notes["good_share_after_warm_up"] = round(
        good_count / len(measured_calls), 4
    )
    for name in ("oracle", "always_best"):
        ratio = round(cost / baselines[name].cost, 4)
        counts.notes[f"cost_ratio_to_{name}_after_warm_up"] = ratio


PLAN = Plan("cost-quality", LOAD_S, REQUESTS_PER_S, check=check, mix=chat_only)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
