"""Checks of promises on single calls, shared by counts and history rules."""

import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from amaranthlug.state.records import BillEntry
from amaranthlug_standins.calls import ANSWERED, REFUSED, Call
from amaranthlug_standins.truth import EngineRun, Truth

WITHDRAWAL_LIMIT_S = 3.0
"""Time within which a withdrawal must be in force everywhere."""


def is_invalid_answer(call: Call) -> bool:
    """Tells whether the answer is incomplete or of another request."""
    return call.outcome == ANSWERED and not (call.whole and call.own)


def is_false_refusal(call: Call, truth: Truth) -> bool:
    """Tells whether a call ran although it was refused as not run.

    With several attempts, a run may belong to an attempt that was not refused,
    so the refusal is false only if every attempt was refused as not run. A
    call that is sent again with the same key is skipped, since the other call
    may have run; the scenarios that do so check such calls together.
    """
    if call.resent:
        return False
    refused = call.outcome == REFUSED and call.not_run
    if call.tries:
        refused = all(
            attempt.outcome == REFUSED and attempt.not_run
            for attempt in call.tries
        )
    elif call.attempts != 1:
        refused = False
    return refused and truth.has_run(call)


def count_repeated_runs(call: Call, truth: Truth) -> int:
    """Counts the runs of a non-idempotent call beyond the first."""
    if call.idempotent:
        return 0
    if call.service:
        return max(0, truth.service_runs[call.path] - 1)
    return max(0, sum(run.first == 0 for run in truth.runs_of(call)) - 1)


def disallowed_runs(
    runs: Iterable[EngineRun], allowed: Collection[str]
) -> list[EngineRun]:
    """Returns the runs on versions that are not among the allowed ones."""
    return [run for run in runs if run.version not in allowed]


def runs_after_withdrawal(
    runs: Iterable[EngineRun],
    withdrawn_at: Mapping[str, float],
    limit_s: float = WITHDRAWAL_LIMIT_S,
) -> list[EngineRun]:
    """Returns runs that started too late after their version's withdrawal.

    A run that continues an answer already under way is not counted.

    Args:
        runs: Runs to check.
        withdrawn_at: Wall-clock time of each withdrawal by version.
        limit_s: Time after the withdrawal in which runs may still start.
    """
    return [
        run
        for run in runs
        if run.first == 0
        and run.started_at > withdrawn_at.get(run.version, math.inf) + limit_s
    ]


@dataclasses.dataclass(frozen=True)
class BillCheck:
    """Bills of a chat call and how many it should have.

    Attributes:
        max_bills: Largest allowed number of bills.
        is_due: Whether the call must have a bill.
    """

    bills: list[BillEntry]
    max_bills: int
    is_due: bool

    @property
    def has_too_many(self) -> bool:
        """Tells whether there are more bills than allowed."""
        return len(self.bills) > self.max_bills

    @property
    def is_missing(self) -> bool:
        """Tells whether a bill is due and there is none."""
        return self.is_due and not self.bills


def check_bills(call: Call, truth: Truth) -> BillCheck:
    """Checks the bills of a chat call.

    Without an idempotency key, each attempt is a request of its own and may
    have its own bill.
    """
    generated = any(run.generated for run in truth.runs_of(call))
    return BillCheck(
        truth.bills_of(call),
        1 if call.key else call.attempts,
        call.outcome == ANSWERED or generated,
    )


@dataclasses.dataclass(frozen=True)
class SessionMove:
    """A change of version between two answers of a session."""

    before: Call
    after: Call


def unexplained_session_moves(
    calls: Iterable[Call], withdrawn: Collection[str]
) -> list[SessionMove]:
    """Returns the version changes of sessions that have no stated reason.

    Concurrent first calls of a session are compared too: all of them must have
    the same version, so the order of their answers does not matter. A change
    is explained if the call states why the session moved or if all earlier
    versions of the session were withdrawn.
    """
    answers: dict[tuple[str, str], dict[str, Call]] = {}
    moves = []
    for call in sorted(calls, key=lambda call: call.ended_at):
        if not call.session or call.outcome != ANSWERED:
            continue
        versions = answers.setdefault((call.organisation, call.session), {})
        if call.version in versions:
            continue
        all_withdrawn = set(versions) <= set(withdrawn)
        if versions and not call.moved and not all_withdrawn:
            moves.append(SessionMove(next(reversed(versions.values())), call))
        versions[call.version] = call
    return moves
