"""One rule for each promise of the design, over a recorded history."""

import dataclasses
from collections.abc import Callable, Iterable, Mapping

from amaranthlug_standins import history_node_rules as node_rules
from amaranthlug_standins.config_timeline import (
    accepted_revisions,
    allowed_between,
    withdrawals,
)
from amaranthlug_standins.history import FAILED, Call
from amaranthlug_standins.promise_checks import (
    WITHDRAWAL_LIMIT_S,
    answered_not_whole,
    billed,
    disallowed_runs,
    false_refusal,
    repeated_runs,
    runs_after,
    session_moves,
)
from amaranthlug_standins.run_history import FAULT, Act, History
from amaranthlug_standins.truth import EngineRun, Truth
from amaranthlug_standins.violations import Violation, call_line, run_line

CONFIG_LIMIT_S = 12.0
"""Seconds until an accepted configuration is in force everywhere."""

CONFIRM_LIMIT_S = 6.0
"""Seconds without confirmed configuration after which a node that a fault
keeps from the others refuses work; it bounds the use of a withdrawn version
there in place of the 3 s."""

Rule = Callable[[History], list[Violation]]


def allowed_version(history: History) -> list[Violation]:
    """Finds runs on versions that no revision in force then allowed."""
    found = []
    truth = history.truth()
    revisions = accepted_revisions(history.records)
    for call in chats(history):
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
                found.append(
                    Violation(
                        "allowed-version",
                        f"{text}, but a request ran on {run.version}",
                        (call_line(call), run_line(run)),
                    )
                )
    return found


def withdrawn(history: History) -> list[Violation]:
    """Finds new runs of a version after its withdrawal."""
    found = []
    faults = history.acts_of(FAULT)
    for item in withdrawals(history.records):
        for run in history.runs:
            if not item.at < run.started_at < item.until:
                continue
            limit_s = WITHDRAWAL_LIMIT_S
            if any(overlaps(act, item.at, run.started_at) for act in faults):
                limit_s = CONFIRM_LIMIT_S
            if runs_after([run], {item.version: item.at}, limit_s):
                late_s = run.started_at - item.at
                found.append(
                    Violation(
                        "withdrawn",
                        f"{item.version} ran {late_s:.2f} s after its "
                        f"withdrawal (limit {limit_s:.0f} s)",
                        (f"withdrawn at {item.at:.3f}", run_line(run)),
                    )
                )
    return found


def overlaps(act: Act, start: float, end: float) -> bool:
    """Tells whether a fault lasted at some moment of a time."""
    return act.at <= end and max(act.until, act.at) >= start


def session_version(history: History) -> list[Violation]:
    """Finds sessions that changed their version without a reason."""
    gone = {item.version for item in withdrawals(history.records)}
    return [
        Violation(
            "session-version",
            f"session {move.after.session} moved from {move.before.version} "
            f"to {move.after.version}",
            (call_line(move.before), call_line(move.after)),
        )
        for move in session_moves(history.calls, gone)
    ]


def billed_once(history: History) -> list[Violation]:
    """Finds requests with too many bills, without one or with too much."""
    truth = history.truth()
    found = overcharged(history, truth)
    for call in chats(history):
        bills = billed(call, truth)
        if not (bills.twice or bills.missing):
            continue
        ids = ", ".join(bill.request_id for bill in bills.bills)
        text = f"{len(bills.bills)} bills, expected {bills.expected} ({ids})"
        if bills.missing:
            text = "no bill"
        lines = [call_line(call), *map(run_line, truth.runs_of(call))]
        found.append(Violation("billed-once", text, tuple(lines)))
    return found


def overcharged(history: History, truth: Truth) -> list[Violation]:
    """Finds bills of more tokens than engines generated for the request."""
    runs: dict[str, list[EngineRun]] = {}
    for run in history.runs:
        runs.setdefault(run.request_id, []).append(run)
    found = []
    for bill in truth.bills.values():
        ran = runs.get(bill.request_id, [])
        generated = sum(run.generated for run in ran)
        if bill.output_tokens > generated:
            text = (
                f"{bill.request_id} is billed for {bill.output_tokens} tokens, "
                f"engines generated {generated}"
            )
            lines = (str(bill), *map(run_line, ran))
            found.append(Violation("billed-once", text, lines))
    return found


def whole_answer(history: History) -> list[Violation]:
    """Finds calls without the whole answer to their own request.

    A call that ended without an answer and without a refusal counts too.
    """
    found = []
    for call in history.calls:
        if answered_not_whole(call):
            text = "the answer is cut" if call.own else "another's answer"
        elif call.outcome == FAILED:
            text = f"neither answer nor refusal: {call.code}"
        else:
            continue
        lines = [call_line(call), *(str(item) for item in call.tries)]
        found.append(Violation("whole-answer", text, tuple(lines)))
    return found


def not_run_true(history: History) -> list[Violation]:
    """Finds refusals that say "not run" of requests that ran."""
    truth = history.truth()
    return [
        Violation(
            "not-run-true",
            f"refused as not run ({call.code}), but it ran",
            (call_line(call), *map(run_line, truth.runs_of(call))),
        )
        for call in history.calls
        if false_refusal(call, truth)
    ]


def at_most_once(history: History) -> list[Violation]:
    """Finds non-idempotent requests that ran more than once."""
    truth = history.truth()
    found = []
    for call in history.calls:
        more = repeated_runs(call, truth)
        if more:
            lines = [call_line(call), *(str(item) for item in call.tries)]
            if not call.service:
                lines += map(run_line, truth.runs_of(call))
            found.append(
                Violation(
                    "at-most-once",
                    f"a non-idempotent request ran {more + 1} times",
                    tuple(lines),
                )
            )
    return found


def chats(history: History) -> Iterable[Call]:
    """Returns the calls that are no service calls."""
    return (call for call in history.calls if not call.service)


RULES: Mapping[str, Rule] = {
    "allowed-version": allowed_version,
    "withdrawn": withdrawn,
    "session-version": session_version,
    "billed-once": billed_once,
    "whole-answer": whole_answer,
    "not-run-true": not_run_true,
    "at-most-once": at_most_once,
    "departing-upstream": node_rules.departing_upstream,
    "graceful-shutdown": node_rules.graceful_shutdown,
    "config-in-force": node_rules.config_in_force,
}
"""Rules by the names of the promises."""


@dataclasses.dataclass(frozen=True)
class Checked:
    """Result of all rules on one history."""

    history: History
    violations: list[Violation]

    def broken(self) -> list[str]:
        """Returns the names of broken promises."""
        return sorted({found.rule for found in self.violations})

    def report(self, show_all: bool = False) -> list[str]:
        """Returns violations as text: all, or the shortest of each rule."""
        if show_all:
            return [str(found) for found in self.violations]
        lines = []
        for rule in self.broken():
            same = [found for found in self.violations if found.rule == rule]
            shortest = min(same, key=lambda found: len(str(found)))
            more = f"\n    and {len(same) - 1} more" if len(same) > 1 else ""
            lines.append(f"{shortest}{more}")
        return lines


def check_history(history: History) -> Checked:
    """Applies all rules."""
    found = [item for rule in RULES.values() for item in rule(history)]
    return Checked(history, found)
