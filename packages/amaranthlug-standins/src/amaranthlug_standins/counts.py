"""Counts of an experiment, from callers, engines, services and bills."""

import collections
import dataclasses
import math
from collections.abc import Mapping, Sequence
from typing import Any

from amaranthlug.state.catalog import Catalog
from amaranthlug_standins.answers import Quality
from amaranthlug_standins.costs import best_model_cost, oracle_cost
from amaranthlug_standins.history import ANSWERED, FAILED, REFUSED, Call
from amaranthlug_standins.promise_checks import (
    answered_not_whole,
    billed,
    disallowed_runs,
    false_refusal,
    repeated_runs,
    runs_after,
    session_moves,
)
from amaranthlug_standins.truth import Truth

MIN_WINDOW_ANSWERS = 30
"""Smaller groups say too little about a target."""

MAX_NOTED = 5
"""Calls that are described for each broken promise."""

WINDOW_S = 10.0

ONE_SIDED_95 = 1.645
"""Standard errors by which a sample may miss a target that is met."""

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
"""Counts that must be 0."""


@dataclasses.dataclass
class Counts:
    """Result of an experiment; the counts named in `PROMISES` must be 0.

    Attributes:
        unanswered: Calls that ended with neither an answer nor a refusal.
        after_withdrawal: Runs of a withdrawn version that started more than
            3 s after the withdrawal was on the log.
        cost_ratio_to_best_model: Billed cost over that of the dearest allowed
            version, for answered calls with one bill.
        cost_ratio_to_oracle: The same over the oracle's cost.
        target_met_share: Share of groups (kind and window of 10 s after
            warm-up, at least 30 answers) whose good answers are not
            significantly below the target (one-sided, 95%).
        router_added_ttft_p95_ms: Time to the first token at the caller less
            that at the engine, for streams that ran once.
        exposed_callers: Calls whose caller received an answer that a bad
            version generated wrongly after it had turned bad.
        cut_attempts: Attempts that ended without an answer or a refusal;
            callers may have sent the request again.
        config_reverted: Times that a node's revision was seen to fall.
        config_not_in_force: Nodes without the last accepted revision 12 s
            after it was on the log.
        failures: Bounds of the scenario itself that were missed.
        baselines: Figures of fixed policies on the same requests.
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
        """Returns the names of broken promises and the missed bounds."""
        names = [name for name in PROMISES if getattr(self, name)]
        return names + self.failures

    def require(self, met: bool, failure: str) -> None:
        """Records a failure unless a bound of the scenario is met."""
        if not met:
            self.failures.append(failure)

    def exit_code(self) -> int:
        """Returns 1 if a promise is broken, else 0."""
        return 1 if self.broken() else 0


@dataclasses.dataclass(frozen=True)
class Setting:
    """What a run was, as far as counting needs it.

    Attributes:
        withdrawn_at: Wall-clock time of each withdrawal by version.
        bad_since: Wall-clock time from which a version was bad, by version.
        warm_until: Wall-clock time at which the warm-up ended.
    """

    catalog: Catalog
    qualities: Mapping[str, Quality]
    withdrawn_at: Mapping[str, float] = dataclasses.field(default_factory=dict)
    bad_since: Mapping[str, float] = dataclasses.field(default_factory=dict)
    warm_until: float = 0.0


def count(
    scenario: str,
    seed: int,
    calls: Sequence[Call],
    truth: Truth,
    setting: Setting,
) -> Counts:
    """Counts a run."""
    counts = Counts(scenario, seed, requests=len(calls))
    refusals: collections.Counter[str] = collections.Counter()
    for call in calls:
        count_outcome(counts, call, truth)
        count_runs(counts, call, truth, setting)
        if not call.service:
            count_bills(counts, call, truth)
        if call.outcome in (REFUSED, FAILED):
            refusals[f"{call.outcome}: {call.code}"[:80]] += 1
    counts.refusals = dict(refusals)
    counts.session_moved = len(session_moves(calls, setting.withdrawn_at))
    counts.exposed_callers = sum(
        is_exposed(call, truth, setting) for call in calls
    )
    counts.cut_attempts = sum(
        found.outcome == FAILED for call in calls for found in call.tries
    )
    count_costs(counts, calls, truth, setting)
    counts.target_met_share = target_met_share(calls, setting)
    count_first_tokens(counts, calls, truth)
    return counts


def is_exposed(call: Call, truth: Truth, setting: Setting) -> bool:
    """Tells whether the caller got an answer that a bad version got wrong.

    An escalated step of a cascade reaches no caller, and a wrong answer from
    before the version turned bad is part of its normal quality.
    """
    since = setting.bad_since.get(call.version)
    if since is None or call.outcome != ANSWERED or call.good:
        return False
    return any(
        run.version == call.version and not run.good and run.started_at >= since
        for run in truth.runs_of(call)
    )


def count_outcome(counts: Counts, call: Call, truth: Truth) -> None:
    """Counts how a call ended."""
    if answered_not_whole(call):
        counts.answered_not_whole += 1
    elif call.outcome == ANSWERED:
        counts.answered_whole += 1
    elif call.outcome == REFUSED:
        counts.refused += 1
        if false_refusal(call, truth):
            counts.refused_not_run_but_ran += 1
            note_call(counts, "false_refusals", call, truth)
    else:
        counts.unanswered += 1


def count_runs(
    counts: Counts, call: Call, truth: Truth, setting: Setting
) -> None:
    """Counts runs that no promise allows."""
    counts.ran_twice_non_idempotent += repeated_runs(call, truth) > 0
    if call.service:
        return
    runs = truth.runs_of(call)
    allowed = setting.catalog.organisations[call.organisation].allowed
    names = {str(version) for version in allowed}
    counts.disallowed_version += bool(disallowed_runs(runs, names))
    counts.after_withdrawal += len(runs_after(runs, setting.withdrawn_at))


def count_bills(counts: Counts, call: Call, truth: Truth) -> None:
    """Counts the bills of a chat call."""
    found = billed(call, truth)
    if found.twice:
        counts.billed_twice += 1
    elif found.bills:
        counts.billed_once += 1
    elif found.missing:
        counts.unbilled += 1
        note_call(counts, "unbilled_calls", call, truth)


def note_call(counts: Counts, name: str, call: Call, truth: Truth) -> None:
    """Keeps a few calls that broke a promise, to find the cause."""
    noted = counts.notes.setdefault(name, [])
    if len(noted) >= MAX_NOTED:
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


def count_costs(
    counts: Counts, calls: Sequence[Call], truth: Truth, setting: Setting
) -> None:
    """Compares billed costs with the best model's and the oracle's."""
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
    """Returns the share of kinds and windows that met the target."""
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
        met.append(share >= target - ONE_SIDED_95 * error)
    return round(sum(met) / len(met), 4) if met else None


def count_first_tokens(
    counts: Counts, calls: Sequence[Call], truth: Truth
) -> None:
    """Measures times to the first token of answered streams."""
    times, added, plain = [], [], []
    for call in calls:
        if call.first_token_s < 0 or call.outcome != ANSWERED:
            continue
        times.append(call.first_token_s * 1000)
        runs = truth.runs_of(call)
        if len(runs) == 1 and runs[0].first_at and call.attempts == 1:
            at_engine = runs[0].first_at - runs[0].started_at
            added.append((call.first_token_s - at_engine) * 1000)
            if not call.session and not call.key:
                plain.append(added[-1])
    counts.ttft_p95_ms = percentile(times, 0.95)
    counts.router_added_ttft_p95_ms = percentile(added, 0.95)
    # Sessions and keys cost a message to the slot's owner and its copies.
    counts.notes["router_added_ttft_p50_ms"] = percentile(added, 0.5)
    counts.notes["router_added_plain_ttft_p95_ms"] = percentile(plain, 0.95)


def percentile(values: Sequence[float], share: float) -> float | None:
    """Returns the value below which a share lies, None without values."""
    if not values:
        return None
    ordered = sorted(values)
    rank = max(0, math.ceil(share * len(ordered)) - 1)
    return round(ordered[rank], 3)
