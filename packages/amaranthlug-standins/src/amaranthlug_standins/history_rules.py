"""Rules that check a recorded history, one for each promise."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from amaranthlug_standins import history_node_rules as node_rules
from amaranthlug_standins.calls import FAILED, Call
from amaranthlug_standins.config_timeline import (
    accepted_revisions,
    allowed_between,
    withdrawal_periods,
)
from amaranthlug_standins.promise_checks import (
    WITHDRAWAL_LIMIT_S,
    check_bills,
    count_repeated_runs,
    disallowed_runs,
    is_false_refusal,
    is_invalid_answer,
    runs_after_withdrawal,
    unexplained_session_moves,
)
from amaranthlug_standins.run_history import FAULT, Act, History
from amaranthlug_standins.truth import EngineRun, Truth
from amaranthlug_standins.violations import Violation, format_call, format_run

CONFIG_LIMIT_S = 12.0
"""Time within which an accepted configuration must be in force everywhere."""

CONFIRM_LIMIT_S = 6.0
"""Time without confirmed configuration after which an isolated node refuses
work. While a fault lasts, it replaces the 3 s as the limit for runs of a
withdrawn version."""

Rule = Callable[[History], list[Violation]]


def find_disallowed_runs(history: History) -> list[Violation]:
    """Finds runs on versions that no revision then in force allowed."""
    violations = []
    truth = history.truth()
    revisions = accepted_revisions(history.records)
    for call in chat_calls(history):
        for run in truth.runs_of(call):
            names = allowed_between(
                revisions,
                call.organisation,
                run.started_at - CONFIG_LIMIT_S,
                run.started_at,
            )
            if disallowed_runs([run], names):
                allowed = ", ".join(sorted(names)) or "nothing"
                text = f"{call.organisation} may use {allowed}"
                violations.append(
                    Violation(
                        "allowed-version",
                        f"{text}, but a request ran on {run.version}",
                        (format_call(call), format_run(run)),
                    )
                )
    return violations


def find_runs_after_withdrawal(history: History) -> list[Violation]:
    """Finds runs of a version that started after its withdrawal."""
    violations = []
    faults = history.acts_of(FAULT)
    for period in withdrawal_periods(history.records):
        for run in history.runs:
            if not period.at < run.started_at < period.until:
                continue
            limit_s = WITHDRAWAL_LIMIT_S
            if any(
                is_active_between(act, period.at, run.started_at)
                for act in faults
            ):
                limit_s = CONFIRM_LIMIT_S
            if runs_after_withdrawal(
                [run], {period.version: period.at}, limit_s
            ):
                late_s = run.started_at - period.at
                violations.append(
                    Violation(
                        "withdrawn",
                        f"{period.version} ran {late_s:.2f} s after its "
                        f"withdrawal (limit {limit_s:.0f} s)",
                        (f"withdrawn at {period.at:.3f}", format_run(run)),
                    )
                )
    return violations


def is_active_between(act: Act, start: float, end: float) -> bool:
    """Tells whether a fault was active at any time between start and end."""
    return act.at <= end and max(act.until, act.at) >= start


def find_session_moves(history: History) -> list[Violation]:
    """Finds sessions that changed version without a stated reason."""
    withdrawn_versions = {
        period.version for period in withdrawal_periods(history.records)
    }
    return [
        Violation(
            "session-version",
            f"session {move.after.session} moved from {move.before.version} "
            f"to {move.after.version}",
            (format_call(move.before), format_call(move.after)),
        )
        for move in unexplained_session_moves(history.calls, withdrawn_versions)
    ]


def find_billing_errors(history: History) -> list[Violation]:
    """Finds requests with extra, missing or too high bills."""
    truth = history.truth()
    violations = find_overcharges(history, truth)
    for call in chat_calls(history):
        bills = check_bills(call, truth)
        if not (bills.has_too_many or bills.is_missing):
            continue
        ids = ", ".join(bill.request_id for bill in bills.bills)
        text = f"{len(bills.bills)} bills, expected {bills.max_bills} ({ids})"
        if bills.is_missing:
            text = "no bill"
        lines = [format_call(call), *map(format_run, truth.runs_of(call))]
        violations.append(Violation("billed-once", text, tuple(lines)))
    return violations


def find_overcharges(history: History, truth: Truth) -> list[Violation]:
    """Finds bills for more tokens than engines generated for the request."""
    runs: dict[str, list[EngineRun]] = {}
    for run in history.runs:
        runs.setdefault(run.request_id, []).append(run)
    violations = []
    for bill in truth.bills.values():
        ran = runs.get(bill.request_id, [])
        generated = sum(run.generated for run in ran)
        if bill.output_tokens > generated:
            text = (
                f"{bill.request_id} is billed for {bill.output_tokens} tokens, "
                f"engines generated {generated}"
            )
            lines = (str(bill), *map(format_run, ran))
            violations.append(Violation("billed-once", text, lines))
    return violations


def find_invalid_answers(history: History) -> list[Violation]:
    """Finds calls whose answer is incomplete or belongs to another request.

    Calls that ended with neither an answer nor a refusal are included.
    """
    violations = []
    for call in history.calls:
        if is_invalid_answer(call):
            text = "incomplete answer" if call.own else "answer of another call"
        elif call.outcome == FAILED:
            text = f"neither answer nor refusal: {call.code}"
        else:
            continue
        lines = [format_call(call), *(str(attempt) for attempt in call.tries)]
        violations.append(Violation("whole-answer", text, tuple(lines)))
    return violations


def find_false_refusals(history: History) -> list[Violation]:
    """Finds requests that ran although they were refused as not run."""
    truth = history.truth()
    return [
        Violation(
            "not-run-true",
            f"refused as not run ({call.code}), but it ran",
            (format_call(call), *map(format_run, truth.runs_of(call))),
        )
        for call in history.calls
        if is_false_refusal(call, truth)
    ]


def find_repeated_runs(history: History) -> list[Violation]:
    """Finds non-idempotent requests that ran more than once."""
    truth = history.truth()
    violations = []
    for call in history.calls:
        repeats = count_repeated_runs(call, truth)
        if repeats:
            lines = [
                format_call(call),
                *(str(attempt) for attempt in call.tries),
            ]
            if not call.service:
                lines += map(format_run, truth.runs_of(call))
            violations.append(
                Violation(
                    "at-most-once",
                    f"a non-idempotent request ran {repeats + 1} times",
                    tuple(lines),
                )
            )
    return violations


def chat_calls(history: History) -> Iterable[Call]:
    """Returns the calls that are not service calls."""
    return (call for call in history.calls if not call.service)


RULES: Mapping[str, Rule] = {
    "allowed-version": find_disallowed_runs,
    "withdrawn": find_runs_after_withdrawal,
    "session-version": find_session_moves,
    "billed-once": find_billing_errors,
    "whole-answer": find_invalid_answers,
    "not-run-true": find_false_refusals,
    "at-most-once": find_repeated_runs,
    "departing-upstream": node_rules.find_work_at_departing_upstreams,
    "graceful-shutdown": node_rules.find_shutdown_errors,
    "config-in-force": node_rules.find_config_errors,
}
"""Rules by the name of their promise."""


@dataclasses.dataclass(frozen=True)
class CheckResult:
    """Result of applying all rules to one history."""

    history: History
    violations: list[Violation]

    def broken(self) -> list[str]:
        """Returns the sorted names of the broken promises."""
        return sorted({violation.rule for violation in self.violations})

    def report(self, show_all: bool = False) -> list[str]:
        """Formats all violations, or only the shortest one of each rule."""
        if show_all:
            return [str(violation) for violation in self.violations]
        lines = []
        for rule in self.broken():
            same_rule = [
                violation
                for violation in self.violations
                if violation.rule == rule
            ]
            shortest = min(same_rule, key=lambda violation: len(str(violation)))
            more = (
                f"\n    and {len(same_rule) - 1} more"
                if len(same_rule) > 1
                else ""
            )
            lines.append(f"{shortest}{more}")
        return lines


def check_history(history: History) -> CheckResult:
    """Applies all rules to a history."""
    violations = [
        violation for rule in RULES.values() for violation in rule(history)
    ]
    return CheckResult(history, violations)
