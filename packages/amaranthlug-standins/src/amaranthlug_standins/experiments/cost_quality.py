"""Cost at the quality target beside fixed policies on the same requests."""

import dataclasses
from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import Plan, Stage, run_plan
from amaranthlug_standins.history import ANSWERED, Call
from amaranthlug_standins.load import Mix
from amaranthlug_standins.policy_baselines import (
    AnswerSimulator,
    evaluate_baselines,
)
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 28.0
RATE = 120.0

WARM_S = 18.0
"""Seconds in which the router learns; the figures are of the rest."""


def chat_only(mix: Mix) -> Mix:
    """Leaves out plain services, which have no choice of versions."""
    return dataclasses.replace(mix, service_share=0.0)


def cost_of(truth: Truth, call: Call) -> int:
    """Returns the billed cost of a call."""
    return sum(bill.cost for bill in truth.bills_of(call))


def check(stage: Stage, truth: Truth, counts: Counts) -> None:
    """Compares the billed cost after the warm-up with fixed policies."""
    calls = stage.trial.load.calls
    begin = calls[0].due_at + WARM_S
    chats = [
        call
        for call in calls
        if call.due_at >= begin
        and call.outcome == ANSWERED
        and call.attempts == 1
        and len(truth.bills_of(call)) == 1
    ]
    deployment = stage.fleet.deployment
    world = AnswerSimulator(
        deployment.catalog, deployment.qualities, stage.fleet.options.seed
    )
    found = evaluate_baselines(world, chats)
    counts.baselines = {
        name: dataclasses.asdict(item) for name, item in found.items()
    }
    cost = sum(cost_of(truth, call) for call in chats)
    good = sum(call.good for call in chats)
    counts.notes["requests_after_warm_up"] = len(chats)
    counts.notes["cost_after_warm_up"] = cost
    counts.notes["good_share_after_warm_up"] = round(good / len(chats), 4)
    for name in ("oracle", "always_best"):
        ratio = round(cost / found[name].cost, 4)
        counts.notes[f"cost_ratio_to_{name}_after_warm_up"] = ratio


PLAN = Plan("cost-quality", LOAD_S, RATE, check=check, mix=chat_only)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
