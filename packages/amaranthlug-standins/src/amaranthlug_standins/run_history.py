"""Recorded history of a run: calls, engine runs, log and operator acts."""

import pathlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from amaranthlug_standins.calls import Call
from amaranthlug_standins.truth import EngineRun, Truth

DEPART = "depart"
"""Act: an upstream, named by its address, turned `leaving` in the VM list."""

SHUTDOWN = "shutdown"
"""Act: SIGTERM was sent to the node at the target address."""

EXIT = "exit"
"""Act: the node exited after a shutdown; the detail is its exit code."""

START = "start"
"""Act: a node process started at the target address."""

FAULT = "fault"
"""Act: a fault, named in the detail, that may delay updates to nodes. The rules
extend their time limits between its `at` and `until`."""

EVENT = "event"
"""Act: any other fault or operator action; it extends no time limit."""


class Act(msgspec.Struct, kw_only=True):
    """An action of an operator or of the fault injection.

    Attributes:
        at: Wall-clock time in seconds.
        until: Wall-clock time at which a fault ended, 0 for a momentary act.
    """

    at: float
    kind: str
    target: str = ""
    detail: str = ""
    until: float = 0.0


class ObservedRevision(msgspec.Struct, kw_only=True):
    """Configuration revision that a node process reported at a time."""

    at: float
    node: str
    incarnation: str
    revision: int


class History(msgspec.Struct, kw_only=True):
    """Input of the history rules; one line of a history file.

    Attributes:
        service_runs: Number of service runs by path of the call.
        records: Log records with `offset` and `appended_at`.
    """

    scenario: str = ""
    deployment: str = ""
    seed: int = 0
    calls: list[Call] = []
    runs: list[EngineRun] = []
    service_runs: dict[str, int] = {}
    records: list[dict[str, Any]] = []
    acts: list[Act] = []
    revisions: list[ObservedRevision] = []

    @classmethod
    def from_truth(
        cls,
        calls: Sequence[Call],
        truth: Truth,
        records: Sequence[Mapping[str, Any]],
        **values: Any,
    ) -> "History":
        """Builds a history from the calls and the ground truth."""
        return cls(
            calls=list(calls),
            runs=[run for runs in truth.runs.values() for run in runs],
            service_runs=dict(truth.service_runs),
            records=[dict(record) for record in records],
            **values,
        )

    def truth(self) -> Truth:
        """Rebuilds the ground truth from the recorded runs and records."""
        truth = Truth.collect([], [], self.records)
        for run in self.runs:
            truth.runs.setdefault(run.digest, []).append(run)
        truth.service_runs.update(self.service_runs)
        return truth

    def acts_of(self, kind: str, target: str = "") -> list[Act]:
        """Returns the acts of a kind, of one target if given, by time."""
        return sorted(
            (
                act
                for act in self.acts
                if act.kind == kind and target in ("", act.target)
            ),
            key=lambda act: act.at,
        )


def append_histories(path: pathlib.Path, histories: Iterable[History]) -> None:
    """Appends histories to a file as JSON lines."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as output:
        for history in histories:
            output.write(msgspec.json.encode(history) + b"\n")


def read_histories(path: pathlib.Path) -> list[History]:
    """Reads a file of histories.

    Raises:
        msgspec.DecodeError: A line is not a history.
    """
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=History) for line in lines]


class Recording:
    """Collects the histories of all trials that finish while it is active.

    Experiments return only counts; a recording gives their caller the
    underlying histories as well.
    """

    current: "Recording | None" = None

    def __init__(self) -> None:
        """Creates an empty recording."""
        self.histories: list[History] = []

    def __enter__(self) -> "Recording":
        """Makes this recording the current one."""
        Recording.current = self
        return self

    def __exit__(self, *error: object) -> None:
        """Deactivates the recording."""
        Recording.current = None
