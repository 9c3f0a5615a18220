"""The log applies 30% of the appends without answering them."""

import collections
from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import Plan, ScenarioContext, run_plan
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 18.0
REQUESTS_PER_S = 40.0
LOST_ANSWER_SHARE = 0.3


def lose_answers(context: ScenarioContext) -> None:
    """Makes the log lose answers; called before the load starts."""
    context.fleet.parts["log"].fault(lose_answers=LOST_ANSWER_SHARE)


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires that answers were lost, and notes repeated records."""
    log_state = context.fleet.parts["log"].seen()
    counts.notes["appends"] = log_state["appends"]
    counts.notes["lost_answers"] = log_state["lost_answers"]
    counts.require(log_state["lost_answers"] > 0, "no answer was lost")
    id_counts = collections.Counter(
        stored["record"]["id"] for stored in log_state["records_kept"]
    )
    bill_counts = collections.Counter(
        entry["request_id"]
        for stored in log_state["records_kept"]
        if stored["record"].get("type") == "bill_chunk"
        for entry in stored["record"]["entries"]
    )
    # Readers skip records with a known id, so repeats cost space and are no
    # fault.
    counts.notes["records_repeated"] = sum(n - 1 for n in id_counts.values())
    counts.notes["bills_repeated"] = sum(n - 1 for n in bill_counts.values())


PLAN = Plan(
    "log-lost-answers",
    LOAD_S,
    REQUESTS_PER_S,
    check=check,
    prepare=lose_answers,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
