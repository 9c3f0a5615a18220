"""A request that crashes each engine that runs it is sent again and again."""

from collections.abc import Mapping

import gevent

from amaranthlug_standins import answers
from amaranthlug_standins.caller import Caller
from amaranthlug_standins.calls import Call
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
POISON_AT_S = 4.0
SENDINGS = 12
SENDING_S = 0.8
MARK = "poisonous-mark"
KIND = "order-question"
ORGANISATION = "taipei-air"

CRASH_LIMIT = 2
"""Engines that one request may crash in the whole system."""


def send_poison(context: ScenarioContext) -> None:
    """Sends the request from a caller who does not give up."""
    set_engine_faults(context, poison=MARK)
    load = context.trial.load
    prompt = f"kind:{KIND} {MARK} please answer in short."
    outcomes = []
    for number in range(SENDINGS):
        call = Call(
            number=number,
            organisation=ORGANISATION,
            kind=KIND,
            stream=number % 2 == 0,
            digest=answers.prompt_digest(prompt),
        )
        kind = load.catalog.kinds[KIND]
        outgoing = load.build_chat_request(call, kind, prompt)
        book = load.entry_caches[number % len(load.entry_caches)]
        Caller(load.clients, book, call, outgoing).run()
        outcomes.append(call.code or call.outcome)
        gevent.sleep(SENDING_S)
    context.notes["poisoned_outcomes"] = outcomes


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires few crashes and no refusal of an innocent request."""
    crashes = sum(engine.seen()["crashes"] for engine in context.fleet.engines)
    counts.notes["engine_crashes"] = crashes
    counts.require(
        0 < crashes <= CRASH_LIMIT,
        f"{crashes} engines crashed; the limit is {CRASH_LIMIT}",
    )
    refused = counts.refused
    counts.require(not refused, f"{refused} innocent requests were refused")


PLAN = Plan(
    "poisoned-request",
    LOAD_S,
    RATE,
    (ScheduledAction(POISON_AT_S, "poison", send_poison),),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
