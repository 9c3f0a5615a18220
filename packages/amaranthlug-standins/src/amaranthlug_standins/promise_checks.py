"""What breaks a promise in one call; shared by counts and history rules."""

import dataclasses
import math
from collections.abc import Collection, Iterable, Mapping

from amaranthlug.state.records import BillEntry
from amaranthlug_standins.history import ANSWERED, REFUSED, Call
from amaranthlug_standins.truth import EngineRun, Truth

WITHDRAWAL_LIMIT_S = 3.0
"""Seconds after which a withdrawal is in force everywhere (target)."""


def answered_not_whole(call: Call) -> bool:
    """Tells whether a caller got another or a shorter answer than its own."""
    return call.outcome == ANSWERED and not (call.whole and call.own)


def false_refusal(call: Call, truth: Truth) -> bool:
    """Tells whether a call that "did not run" by its refusal did run.

    With several attempts, a run may belong to an attempt without a refusal,
    so all attempts must have been refused so. Another sending of the same key
    may have run; scenarios with such calls check its sendings together.
    """
    if call.resent:
        return False
    refused = call.outcome == REFUSED and call.not_run
    if call.tries:
        refused = all(
            found.outcome == REFUSED and found.not_run for found in call.tries
        )
    elif call.attempts != 1:
        refused = False
    return refused and truth.has_run(call)


def repeated_runs(call: Call, truth: Truth) -> int:
    """Returns how often a non-idempotent call ran beyond once."""
    if call.idempotent:
        return 0
    if call.service:
        return max(0, truth.service_runs[call.path] - 1)
    return max(0, sum(run.first == 0 for run in truth.runs_of(call)) - 1)


def disallowed_runs(
    runs: Iterable[EngineRun], names: Collection[str]
) -> list[EngineRun]:
    """Returns runs on versions that are not among the allowed names."""
    return [run for run in runs if run.version not in names]


def runs_after(
    runs: Iterable[EngineRun],
    withdrawn_at: Mapping[str, float],
    limit_s: float = WITHDRAWAL_LIMIT_S,
) -> list[EngineRun]:
    """Returns new runs that began too long after their version's withdrawal.

    Continuing an answer that runs already is no new work.
    """
    return [
        run
        for run in runs
        if run.first == 0
        and run.started_at > withdrawn_at.get(run.version, math.inf) + limit_s
    ]


@dataclasses.dataclass(frozen=True)
class Billed:
    """Bills of a chat call.

    Attributes:
        expected: Most bills that the call may have.
        due: It must have a bill.
    """

    bills: list[BillEntry]
    expected: int
    due: bool

    @property
    def twice(self) -> bool:
        """Tells whether there are too many bills."""
        return len(self.bills) > self.expected

    @property
    def missing(self) -> bool:
        """Tells whether a bill is due and there is none."""
        return self.due and not self.bills


def billed(call: Call, truth: Truth) -> Billed:
    """Returns the bills of a chat call.

    A caller without a key that sends again sends another request, which has a
    bill of its own.
    """
    generated = any(run.generated for run in truth.runs_of(call))
    return Billed(
        truth.bills_of(call),
        1 if call.key else call.attempts,
        call.outcome == ANSWERED or generated,
    )


@dataclasses.dataclass(frozen=True)
class Move:
    """An answer on another version than the session's answer before."""

    before: Call
    after: Call


def session_moves(
    calls: Iterable[Call], withdrawn: Collection[str]
) -> list[Move]:
    """Returns the moves of sessions that no withdrawal explains.

    Concurrent first calls of a session are compared too: the order of the
    answers does not matter, because all must have the same version. A call
    that says why the session moved starts a new version.
    """
    seen: dict[tuple[str, str], dict[str, Call]] = {}
    moves = []
    for call in sorted(calls, key=lambda call: call.ended_at):
        if not call.session or call.outcome != ANSWERED:
            continue
        versions = seen.setdefault((call.organisation, call.session), {})
        if call.version in versions:
            continue
        gone = set(versions) <= set(withdrawn)
        if versions and not call.moved and not gone:
            moves.append(Move(next(reversed(versions.values())), call))
        versions[call.version] = call
    return moves
