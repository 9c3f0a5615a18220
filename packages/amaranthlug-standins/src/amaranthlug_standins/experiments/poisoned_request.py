"""A request that crashes every engine that runs it is sent repeatedly."""

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
REQUESTS_PER_S = 40.0
POISON_AT_S = 4.0
SEND_COUNT = 12
SEND_INTERVAL_S = 0.8
POISON_MARK = "poisonous-mark"
KIND = "order-question"
ORGANISATION = "taipei-air"

MAX_CRASHES = 2
"""Greatest number of engines that one request may crash in the fleet."""


def send_poison(context: ScenarioContext) -> None:
    """Sends the request repeatedly from one caller."""
    set_engine_faults(context, poison=POISON_MARK)
    load = context.trial.load
    prompt = f"kind:{KIND} {POISON_MARK} please answer in short."
    outcomes = []
    for number in range(SEND_COUNT):
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
        gevent.sleep(SEND_INTERVAL_S)
    context.notes["poisoned_outcomes"] = outcomes


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires few crashes, and that no other request is refused."""
    crashes = sum(engine.seen()["crashes"] for engine in context.fleet.engines)
    counts.notes["engine_crashes"] = crashes
    counts.require(
        0 < crashes <= MAX_CRASHES,
        f"{crashes} engines crashed; the limit is {MAX_CRASHES}",
    )
    refused = counts.refused
    counts.require(not refused, f"{refused} other requests were refused")


PLAN = Plan(
    "poisoned-request",
    LOAD_S,
    REQUESTS_PER_S,
    (ScheduledAction(POISON_AT_S, "poison", send_poison),),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
