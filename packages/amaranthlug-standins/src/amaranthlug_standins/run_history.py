"""The recorded history of a run: callers, upstreams, log and operators."""

import pathlib
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import msgspec

from amaranthlug_standins.history import Call
from amaranthlug_standins.truth import EngineRun, Truth

DEPART = "depart"
"""Act: the VM list shows an upstream as leaving; the target is its address."""

SHUTDOWN = "shutdown"
"""Act: SIGTERM to the node with the target's address."""

EXIT = "exit"
"""Act: the node ended after a shutdown; the detail is its exit code."""

START = "start"
"""Act: a node process started at the target's address."""

FAULT = "fault"
"""Act: a fault from `at` to `until` that may keep nodes from news; the detail
names it. Rules grant more time while it lasts."""

EVENT = "event"
"""Act: another fault or an operator's work, which excuses nothing."""


class Act(msgspec.Struct, kw_only=True):
    """What an operator or the fault injection did.

    Attributes:
        at: Wall-clock time in seconds.
        until: End of a fault that lasts, 0 for none.
    """

    at: float
    kind: str
    target: str = ""
    detail: str = ""
    until: float = 0.0


class RevisionSeen(msgspec.Struct, kw_only=True):
    """Revision that a node process showed at a time."""

    at: float
    node: str
    incarnation: str
    revision: int


class History(msgspec.Struct, kw_only=True):
    """All that the rules need; one line of a history file.

    Attributes:
        service_runs: Number of runs by path of the call.
        records: Records of the log with `offset` and `appended_at`.
    """

    scenario: str = ""
    deployment: str = ""
    seed: int = 0
    calls: list[Call] = []
    runs: list[EngineRun] = []
    service_runs: dict[str, int] = {}
    records: list[dict[str, Any]] = []
    acts: list[Act] = []
    revisions: list[RevisionSeen] = []

    @classmethod
    def from_truth(
        cls,
        calls: Sequence[Call],
        truth: Truth,
        records: Sequence[Mapping[str, Any]],
        **values: Any,
    ) -> "History":
        """Builds a history of what callers saw and what is true."""
        return cls(
            calls=list(calls),
            runs=[run for runs in truth.runs.values() for run in runs],
            service_runs=dict(truth.service_runs),
            records=[dict(record) for record in records],
            **values,
        )

    def truth(self) -> Truth:
        """Returns runs and bills in the form that the checks take."""
        truth = Truth.collect([], [], self.records)
        for run in self.runs:
            truth.runs.setdefault(run.digest, []).append(run)
        truth.service_runs.update(self.service_runs)
        return truth

    def acts_of(self, kind: str, target: str = "") -> list[Act]:
        """Returns acts of a kind in order, of one target if it is named."""
        return sorted(
            (
                act
                for act in self.acts
                if act.kind == kind and target in ("", act.target)
            ),
            key=lambda act: act.at,
        )


def append_histories(path: pathlib.Path, found: Iterable[History]) -> None:
    """Adds histories to a file, one line for each."""
    path.parent.mkdir(parents=True, exist_ok=True)
    with path.open("ab") as output:
        for history in found:
            output.write(msgspec.json.encode(history) + b"\n")


def read_histories(path: pathlib.Path) -> list[History]:
    """Reads a file of histories.

    Raises:
        msgspec.DecodeError: A line is no history.
    """
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=History) for line in lines]


class Recording:
    """Histories of the trials that end while a recording is in force.

    Experiments return counts; this lets a caller of any experiment keep the
    histories behind them as well.
    """

    current: "Recording | None" = None

    def __init__(self) -> None:
        """Creates an empty recording."""
        self.histories: list[History] = []

    def __enter__(self) -> "Recording":
        """Puts the recording in force."""
        Recording.current = self
        return self

    def __exit__(self, *error: object) -> None:
        """Ends the recording."""
        Recording.current = None
