"""How long a bad version got new work, by the engines' own records."""

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import (
    ScenarioContext,
    first_withdrawal_times,
)
from amaranthlug_standins.promise_checks import WITHDRAWAL_LIMIT_S
from amaranthlug_standins.truth import EngineRun, Truth


def wrong_runs(truth: Truth, version: str, since: float) -> list[EngineRun]:
    """Returns the bad runs of a version from a time on, oldest first."""
    found = [
        run
        for runs in truth.runs.values()
        for run in runs
        if run.version == version and not run.good and run.started_at >= since
    ]
    return sorted(found, key=lambda run: run.started_at)


def check_exposure(
    context: ScenarioContext, truth: Truth, counts: Counts, version: str
) -> None:
    """Notes times until a bad version was out and requires its withdrawal."""
    runs = wrong_runs(truth, version, context.bad_since[version])
    new_work = [run.started_at for run in runs if run.first == 0]
    counts.notes["bad_version"] = version
    counts.notes["wrong_runs"] = len(runs)
    found = first_withdrawal_times(context.fleet).get(version)
    counts.require(found is not None, f"{version} was not withdrawn")
    if found is None or not new_work:
        return
    first_answer = min(run.ended_at or run.started_at for run in runs)
    out_s = max(new_work) - found
    counts.notes["withdrawn_after_first_answer_s"] = round(
        found - first_answer, 2
    )
    counts.notes["out_after_first_answer_s"] = round(
        max(new_work) - first_answer, 2
    )
    counts.notes["out_after_withdrawal_s"] = round(out_s, 2)
    counts.require(
        out_s <= WITHDRAWAL_LIMIT_S,
        f"{version} got new work {out_s:.1f} s after its withdrawal",
    )
