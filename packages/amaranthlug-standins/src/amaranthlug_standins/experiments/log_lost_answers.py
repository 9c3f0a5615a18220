"""The log loses the answers of 30% of the appends after their effect."""

import collections
from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import Plan, ScenarioContext, run_plan
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 18.0
RATE = 40.0
LOST_SHARE = 0.3


def lose_answers(context: ScenarioContext) -> None:
    """Sets the fault before the load starts."""
    context.fleet.parts["log"].fault(lose_answers=LOST_SHARE)


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires that answers were lost and that no record is there twice."""
    seen = context.fleet.parts["log"].seen()
    counts.notes["appends"] = seen["appends"]
    counts.notes["lost_answers"] = seen["lost_answers"]
    counts.require(seen["lost_answers"] > 0, "no answer was lost")
    ids = collections.Counter(
        kept["record"]["id"] for kept in seen["records_kept"]
    )
    entries = collections.Counter(
        entry["request_id"]
        for kept in seen["records_kept"]
        if kept["record"].get("type") == "bill_chunk"
        for entry in kept["record"]["entries"]
    )
    # Readers are idempotent by id, so these are a cost and not a fault.
    counts.notes["records_repeated"] = sum(n - 1 for n in ids.values())
    counts.notes["bills_repeated"] = sum(n - 1 for n in entries.values())


PLAN = Plan("log-lost-answers", LOAD_S, RATE, check=check, prepare=lose_answers)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
