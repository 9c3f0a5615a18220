"""Measures how long a bad version gets new requests.

The times come from the engines' own records.
"""

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import (
    ScenarioContext,
    first_withdrawal_times,
)
from amaranthlug_standins.promise_checks import WITHDRAWAL_LIMIT_S
from amaranthlug_standins.truth import EngineRun, Truth


def bad_runs_since(truth: Truth, version: str, since: float) -> list[EngineRun]:
    """Returns the bad runs of a version started at `since` or later, sorted."""
    bad_runs = [
        run
        for runs in truth.runs.values()
        for run in runs
        if run.version == version and not run.good and run.started_at >= since
    ]
    return sorted(bad_runs, key=lambda run: run.started_at)


def check_exposure(
    context: ScenarioContext, truth: Truth, counts: Counts, version: str
) -> None:
    """Requires that a bad version is withdrawn and then gets no requests.

    Adds the times until then to the notes.
    """
    runs = bad_runs_since(truth, version, context.bad_since[version])
    new_request_times = [run.started_at for run in runs if run.first == 0]
    counts.notes["bad_version"] = version
    counts.notes["wrong_runs"] = len(runs)
    withdrawn_at = first_withdrawal_times(context.fleet).get(version)
    counts.require(withdrawn_at is not None, f"{version} was not withdrawn")
    if withdrawn_at is None or not new_request_times:
        return
    first_bad_answer_at = min(run.ended_at or run.started_at for run in runs)
    overrun_s = max(new_request_times) - withdrawn_at
    counts.notes["withdrawn_after_first_answer_s"] = round(
        withdrawn_at - first_bad_answer_at, 2
    )
    counts.notes["out_after_first_answer_s"] = round(
        max(new_request_times) - first_bad_answer_at, 2
    )
    counts.notes["out_after_withdrawal_s"] = round(overrun_s, 2)
    counts.require(
        overrun_s <= WITHDRAWAL_LIMIT_S,
        f"{version} got requests {overrun_s:.1f} s after its withdrawal",
    )
