"""Ground truth of a run, read from engines, services and the log."""

import collections
import dataclasses
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from amaranthlug.state.records import BillEntry
from amaranthlug_standins.calls import Call


class EngineRun(msgspec.Struct, kw_only=True):
    """One run of a request at an engine.

    Attributes:
        first: Index of its first token; above 0, it continues another run.
        generated: Number of tokens that it generated.
        upstream: Configured address of the engine, empty if unknown.
    """

    request_id: str
    version: str
    digest: str
    first: int = 0
    generated: int = 0
    good: bool = True
    outcome: str = "complete"
    started_at: float = 0.0
    first_at: float = 0.0
    ended_at: float = 0.0
    upstream: str = ""


@dataclasses.dataclass
class Truth:
    """Runs and bills that took place, whatever the callers saw.

    Attributes:
        runs: Runs by prompt digest.
        service_runs: Number of runs by path of the call.
        bills: First bill on the log for each request id.
    """

    runs: dict[str, list[EngineRun]] = dataclasses.field(default_factory=dict)
    service_runs: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )
    bills: dict[str, BillEntry] = dataclasses.field(default_factory=dict)

    @classmethod
    def collect(
        cls,
        engines: Iterable[Mapping[str, Any]],
        services: Iterable[Mapping[str, Any]],
        records: Iterable[Mapping[str, Any]],
    ) -> "Truth":
        """Builds it from `/seen` of engines and services and log records."""
        truth = cls()
        for engine in engines:
            for raw in engine["runs"]:
                run = msgspec.convert(raw, EngineRun)
                run.upstream = engine.get("upstream", "")
                truth.runs.setdefault(run.digest, []).append(run)
        for runs in truth.runs.values():
            runs.sort(key=lambda run: run.started_at)
        for service in services:
            for raw in service["runs"]:
                truth.service_runs[raw["path"]] += 1
        for record in records:
            if record.get("type") == "bill_chunk":
                for raw in record["entries"]:
                    bill = msgspec.convert(raw, BillEntry)
                    truth.bills.setdefault(bill.request_id, bill)
        return truth

    def runs_of(self, call: Call) -> list[EngineRun]:
        """Returns the engine runs of a chat call."""
        return self.runs.get(call.digest, [])

    def has_run(self, call: Call) -> bool:
        """Tells whether the call ran at any upstream."""
        if call.service:
            return self.service_runs[call.path] > 0
        return bool(self.runs_of(call))

    def bills_of(self, call: Call) -> list[BillEntry]:
        """Returns the bills of a chat call, one for each request id."""
        ids = {run.request_id for run in self.runs_of(call)}
        if call.request_id:
            ids.add(call.request_id)
        return [self.bills[id_] for id_ in sorted(ids) if id_ in self.bills]
