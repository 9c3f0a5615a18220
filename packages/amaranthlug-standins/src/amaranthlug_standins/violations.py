"""Violations of promises, with one line of text per piece of evidence."""

import dataclasses

from amaranthlug_standins.calls import Call
from amaranthlug_standins.truth import EngineRun


@dataclasses.dataclass(frozen=True)
class Violation:
    """A broken promise.

    Attributes:
        rule: Name of the promise.
        evidence: Calls, runs and events that show the violation.
    """

    rule: str
    text: str
    evidence: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Returns the text, followed by one indented line per evidence."""
        lines = [f"{self.rule}: {self.text}", *self.evidence]
        return "\n    ".join(lines)


def format_call(call: Call) -> str:
    """Returns one line on a call as its caller saw it."""
    name = call.service + call.path if call.service else call.kind
    key = f" key {call.key[:8]}" if call.key else ""
    session = f" session {call.session}" if call.session else ""
    return (
        f"call {call.number} {call.organisation} {name}{key}{session} at "
        f"{call.node} {call.sent_at:.3f}-{call.ended_at:.3f}: {call.outcome} "
        f"{call.code or call.version} after {call.attempts} attempts, "
        f"request {call.request_id}"
    )


def format_run(run: EngineRun) -> str:
    """Returns one line on a run as its engine saw it."""
    return (
        f"run {run.request_id} of {run.version} at {run.upstream} from token "
        f"{run.first} {run.started_at:.3f}-{run.ended_at:.3f}: {run.outcome}, "
        f"{run.generated} tokens"
    )
