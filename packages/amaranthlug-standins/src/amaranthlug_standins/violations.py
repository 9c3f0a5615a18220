"""Violations of promises with their evidence in one line each."""

import dataclasses

from amaranthlug_standins.history import Call
from amaranthlug_standins.truth import EngineRun


@dataclasses.dataclass(frozen=True)
class Violation:
    """A broken promise; `evidence` has the records that show it."""

    rule: str
    text: str
    evidence: tuple[str, ...] = ()

    def __str__(self) -> str:
        """Returns the violation with its evidence below."""
        lines = [f"{self.rule}: {self.text}", *self.evidence]
        return "\n    ".join(lines)


def call_line(call: Call) -> str:
    """Returns what a caller saw."""
    name = call.service + call.path if call.service else call.kind
    key = f" key {call.key[:8]}" if call.key else ""
    session = f" session {call.session}" if call.session else ""
    return (
        f"call {call.number} {call.organisation} {name}{key}{session} at "
        f"{call.node} {call.sent_at:.3f}-{call.ended_at:.3f}: {call.outcome} "
        f"{call.code or call.version} after {call.attempts} attempts, "
        f"request {call.request_id}"
    )


def run_line(run: EngineRun) -> str:
    """Returns what an engine saw."""
    return (
        f"run {run.request_id} of {run.version} at {run.upstream} from token "
        f"{run.first} {run.started_at:.3f}-{run.ended_at:.3f}: {run.outcome}, "
        f"{run.generated} tokens"
    )
