"""Counts that an experiment reports, from its calls and ground truth."""

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Any

from amaranthlug.state.catalog import Catalog
from amaranthlug_standins.answers import Quality
from amaranthlug_standins.calls import ANSWERED, FAILED, REFUSED, Call
from amaranthlug_standins.costs import best_model_cost, oracle_cost
from amaranthlug_standins.promise_checks import (
    check_bills,
    count_repeated_runs,
    disallowed_runs,
    is_false_refusal,
    is_invalid_answer,
    runs_after_withdrawal,
    unexplained_session_moves,
)
from amaranthlug_standins.truth import Truth

MIN_WINDOW_ANSWERS = 30
"""Smallest group of answers that is compared with its quality target."""

MAX_NOTED_CALLS = 5
"""Largest number of calls described in the notes per broken promise."""

WINDOW_S = 10.0
"""Length of the windows in which answers are compared with the target."""

ONE_SIDED_95_Z = 1.645
"""Standard errors below the target at which a one-sided test rejects (95%)."""

PROMISES = (
    "answered_not_whole",
    "unanswered",
    "refused_not_run_but_ran",
    "billed_twice",
    "unbilled",
    "ran_twice_non_idempotent",
    "disallowed_version",
    "after_withdrawal",
    "session_moved",
    "config_reverted",
    "config_not_in_force",
)
"""Counts that are 0 unless a promise is broken."""


@dataclasses.dataclass
class Counts:
    """Result of an experiment.

    Attributes:
        answered_not_whole: Calls whose answer was incomplete or belonged to
            another request.
        unanswered: Calls that ended with neither an answer nor a refusal.
        after_withdrawal: Runs of a withdrawn version that started more than
            3 s after the withdrawal was on the log.
        cost_ratio_to_best_model: Billed cost over the cost of the most
            expensive allowed version, for answered calls with one bill.
        cost_ratio_to_oracle: Billed cost over the oracle's cost.
        target_met_share: Share of groups (kind and window of 10 s after
            warm-up, at least 30 answers) whose good answers are not
            significantly below the target (one-sided, 95%).
        router_added_ttft_p95_ms: 95th percentile of the time to the first
            token at the caller minus that at the engine, for streams that ran
            once.
        exposed_callers: Calls whose caller received a wrong answer that a
            version generated after it had turned bad.
        cut_attempts: Attempts that ended without an answer or a refusal;
            callers may have sent the request again.
        config_reverted: Number of times that a node reported a lower revision
            than before.
        config_not_in_force: Nodes without the last accepted revision 12 s
            after it was on the log.
        failures: Missed requirements that are specific to the scenario.
        baselines: Results of fixed policies on the same requests.
        notes: Other results by name.
    """

    scenario: str
    seed: int
    requests: int = 0
    answered_whole: int = 0
    answered_not_whole: int = 0
    refused: int = 0
    unanswered: int = 0
    refused_not_run_but_ran: int = 0
    billed_once: int = 0
    billed_twice: int = 0
    unbilled: int = 0
    ran_twice_non_idempotent: int = 0
    disallowed_version: int = 0
    after_withdrawal: int = 0
    session_moved: int = 0
    cost_ratio_to_best_model: float | None = None
    cost_ratio_to_oracle: float | None = None
    target_met_share: float | None = None
    ttft_p95_ms: float | None = None
    router_added_ttft_p95_ms: float | None = None
    exposed_callers: int = 0
    cut_attempts: int = 0
    config_reverted: int = 0
    config_not_in_force: int = 0
    failures: list[str] = dataclasses.field(default_factory=list)
    baselines: dict[str, Any] = dataclasses.field(default_factory=dict)
    refusals: dict[str, int] = dataclasses.field(default_factory=dict)
    notes: dict[str, Any] = dataclasses.field(default_factory=dict)

    def broken(self) -> list[str]:
        """Returns the names of broken promises and the scenario's failures."""
        names = [name for name in PROMISES if getattr(self, name)]
        return names + self.failures

    def require(self, met: bool, failure: str) -> None:
        """Adds a failure unless a requirement of the scenario is met."""
        if not met:
            self.failures.append(failure)

    def exit_code(self) -> int:
        """Returns 1 if there are broken promises or failures, else 0."""
        return 1 if self.broken() else 0


@dataclasses.dataclass(frozen=True)
class Setting:
    """Conditions of a run that the counts depend on.

    Attributes:
        qualities: True quality by version.
        withdrawn_at: Wall-clock time of each withdrawal by version.
        bad_since: Wall-clock time from which a version was bad, by version.
        warm_until: Wall-clock time at which the warm-up ended.
    """

    catalog: Catalog
    qualities: Mapping[str, Quality]
    withdrawn_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    bad_since: Mapping[str, float] = dataclasses.field(default_factory=dict)
    warm_until: float = 0.0


def make_counts(
    scenario: str,
    seed: int,
    calls: Sequence[Call],
    truth: Truth,
    setting: Setting,
) -> Counts:
    """Counts the outcomes, runs, bills and costs of a run."""
    counts = Counts(scenario, seed, requests=len(calls))
    refusals: collections.Counter[str] = collections.Counter()
    for call in calls:
        count_outcome(counts, call, truth)
        count_forbidden_runs(counts, call, truth, setting)
        if not call.service:
            count_bills(counts, call, truth)
        if call.outcome in (REFUSED, FAILED):
            refusals[f"{call.outcome}: {call.code}"[:80]] += 1
    counts.refusals = dict(refusals)
    counts.session_moved = len(
        unexplained_session_moves(calls, setting.withdrawn_at)
    )
    counts.exposed_callers = sum(
        is_exposed(call, truth, setting) for call in calls
    )
    counts.cut_attempts = sum(
        attempt.outcome == FAILED for call in calls for attempt in call.tries
    )
    set_cost_ratios(counts, calls, truth, setting)
    counts.target_met_share = target_met_share(calls, setting)
    set_first_token_times(counts, calls, truth)
    return counts


def is_exposed(call: Call, truth: Truth, setting: Setting) -> bool:
    """Tells whether the caller received a wrong answer of a bad version.

    The answer of an escalated cascade step does not reach the caller. A wrong
    answer generated before the version turned bad is part of its normal error
    rate.
    """
    bad_since = setting.bad_since.get(call.version)
    if bad_since is None or call.outcome != ANSWERED or call.good:
        return False
    return any(
        run.version == call.version
        and not run.good
        and run.started_at >= bad_since
        for run in truth.runs_of(call)
    )


def count_outcome(counts: Counts, call: Call, truth: Truth) -> None:
    """Counts the outcome of a call."""
    if is_invalid_answer(call):
        counts.answered_not_whole += 1
    elif call.outcome == ANSWERED:
        counts.answered_whole += 1
    elif call.outcome == REFUSED:
        counts.refused += 1
        if is_false_refusal(call, truth):
            counts.refused_not_run_but_ran += 1
            add_call_note(counts, "false_refusals", call, truth)
    else:
        counts.unanswered += 1


def count_forbidden_runs(
    counts: Counts, call: Call, truth: Truth, setting: Setting
) -> None:
    """Counts repeated runs and runs on versions that were not allowed."""
    counts.ran_twice_non_idempotent += count_repeated_runs(call, truth) > 0
    if call.service:
        return
    runs = truth.runs_of(call)
    allowed = setting.catalog.organisations[call.organisation].allowed
    names = {str(version) for version in allowed}
    counts.disallowed_version += bool(disallowed_runs(runs, names))
    counts.after_withdrawal += len(
        runs_after_withdrawal(runs, setting.withdrawn_at)
    )


def count_bills(counts: Counts, call: Call, truth: Truth) -> None:
    """Counts the bills of a chat call."""
    bills = check_bills(call, truth)
    if bills.has_too_many:
        counts.billed_twice += 1
    elif bills.bills:
        counts.billed_once += 1
    elif bills.is_missing:
        counts.unbilled += 1
        add_call_note(counts, "unbilled_calls", call, truth)


def add_call_note(counts: Counts, name: str, call: Call, truth: Truth) -> None:
    """Adds a call that broke a promise to the notes, up to a few per name."""
    noted = counts.notes.setdefault(name, [])
    if len(noted) >= MAX_NOTED_CALLS:
        return
    runs = [
        f"{run.request_id} {run.outcome} {run.first}+{run.generated}"
        f" at {run.started_at - call.sent_at:.3f}"
        for run in truth.runs_of(call)
    ]
    noted.append(
        f"{call.number} {call.outcome} {call.code} by {call.node}"
        f" id {call.request_id} attempts {call.attempts}"
        f" ended {call.ended_at - call.sent_at:.3f} runs {runs}"
    )


def set_cost_ratios(
    counts: Counts, calls: Sequence[Call], truth: Truth, setting: Setting
) -> None:
    """Sets the ratios of billed costs to those of best model and oracle."""
    billed = best = oracle = 0
    for call in calls:
        if call.service or call.outcome != ANSWERED or call.attempts > 1:
            continue
        bills = truth.bills_of(call)
        if len(bills) != 1:
            continue
        billed += bills[0].cost
        best += best_model_cost(setting.catalog, call)
        oracle += oracle_cost(
            setting.catalog, setting.qualities, call, setting.bad_since
        )
    if best and oracle:
        counts.cost_ratio_to_best_model = round(billed / best, 4)
        counts.cost_ratio_to_oracle = round(billed / oracle, 4)
    counts.notes["billed_micro_units"] = billed
    counts.notes["best_model_micro_units"] = best


def target_met_share(calls: Sequence[Call], setting: Setting) -> float | None:
    """Returns the share of groups (kind and window) that met the target."""
    groups: dict[tuple[str, int], list[bool]] = {}
    for call in calls:
        if call.service or call.outcome != ANSWERED:
            continue
        if call.due_at < setting.warm_until:
            continue
        window = int((call.due_at - setting.warm_until) / WINDOW_S)
        groups.setdefault((call.kind, window), []).append(call.good)
    met = []
    for (kind, _), good in groups.items():
        if len(good) < MIN_WINDOW_ANSWERS:
            continue
        target = setting.catalog.kinds[kind].quality_target
        error = math.sqrt(target * (1 - target) / len(good))
        share = sum(good) / len(good)
        met.append(share >= target - ONE_SIDED_95_Z * error)
    return round(sum(met) / len(met), 4) if met else None


def set_first_token_times(
    counts: Counts, calls: Sequence[Call], truth: Truth
) -> None:
    """Sets percentiles of the time to the first token of answered streams."""
    total_ms, added_ms, plain_added_ms = [], [], []
    for call in calls:
        if call.first_token_s < 0 or call.outcome != ANSWERED:
            continue
        total_ms.append(call.first_token_s * 1000)
        runs = truth.runs_of(call)
        if len(runs) == 1 and runs[0].first_at and call.attempts == 1:
            engine_s = runs[0].first_at - runs[0].started_at
            added_ms.append((call.first_token_s - engine_s) * 1000)
            if not call.session and not call.key:
                plain_added_ms.append(added_ms[-1])
    counts.ttft_p95_ms = percentile(total_ms, 0.95)
    counts.router_added_ttft_p95_ms = percentile(added_ms, 0.95)
    # Calls with a session or key also wait for the slot's owner and copies.
    counts.notes["router_added_ttft_p50_ms"] = percentile(added_ms, 0.5)
    counts.notes["router_added_plain_ttft_p95_ms"] = percentile(
        plain_added_ms, 0.95
    )


def percentile(values: Sequence[float], share: float) -> float | None:
    """Returns the nearest-rank percentile, None without values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(0, math.ceil(share * len(ordered)) - 1)
    return round(ordered[rank], 3)
