"""Demo that runs both sample deployments in one process under mixed load."""

import dataclasses
from collections.abc import Mapping
from typing import Any

from amaranthlug.state.catalog import MICRO_UNITS_PER_UNIT
from amaranthlug_standins.batch import Pace
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.deployments import sample_deployments
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import (
    Progress,
    Trial,
    finish_all,
    run_loads,
    start_fleets,
    stop_fleets,
)

LOAD_S = 16.0
REQUESTS_PER_S = 14.0
"""Requests a second on each deployment; low, as all run in one process."""

ENGINE_PACE = Pace(step_ms=8.0, tick_ms=8.0)
"""Timing of the engines, which all share one processor core here."""


@dataclasses.dataclass(frozen=True)
class Row:
    """Result of one deployment."""

    deployment: str
    requests: int
    answered_once_whole: int
    billed_once: int
    cost_per_request: float | None
    best_model_cost_per_request: float | None
    target_met_share: float | None
    ttft_p95_ms: float | None
    bad_version_answers: int
    broken_promises: list[str]


@dataclasses.dataclass(frozen=True)
class DemoResult:
    """Result of the demo; `counts` is keyed by deployment."""

    rows: list[Row]
    counts: Mapping[str, Counts]

    def exit_code(self) -> int:
        """Returns 1 if a promise is broken, else 0."""
        return 1 if any(row.broken_promises for row in self.rows) else 0

    def to_json(self) -> dict[str, Any]:
        """Returns the result as one JSON object."""
        return {
            "deployments": [dataclasses.asdict(row) for row in self.rows],
            "counts": {
                name: dataclasses.asdict(counts)
                for name, counts in self.counts.items()
            },
            "ok": self.exit_code() == 0,
        }


def per_request(counts: Counts, note: str) -> float | None:
    """Returns a noted total, in currency units per billed request."""
    total = counts.notes.get(note)
    if not total or not counts.billed_once:
        return None
    return float(f"{total / MICRO_UNITS_PER_UNIT / counts.billed_once:.4g}")


def make_row(name: str, counts: Counts) -> Row:
    """Returns the result of one deployment."""
    return Row(
        deployment=name,
        requests=counts.requests,
        answered_once_whole=counts.answered_whole,
        billed_once=counts.billed_once,
        cost_per_request=per_request(counts, "billed_micro_units"),
        best_model_cost_per_request=per_request(
            counts, "best_model_micro_units"
        ),
        target_met_share=counts.target_met_share,
        ttft_p95_ms=counts.ttft_p95_ms,
        bad_version_answers=counts.exposed_callers,
        broken_promises=counts.broken(),
    )


def run(seed: int, progress: Progress) -> DemoResult:
    """Runs the demo and returns its result."""
    options = FleetOptions(seed=seed, processes=False, pace=ENGINE_PACE)
    fleets = [Fleet(deployment, options) for deployment in sample_deployments()]
    start_fleets(fleets)
    try:
        trials = [
            Trial.from_mix(
                "demo",
                seed,
                fleet,
                sample_mix(fleet.deployment, REQUESTS_PER_S, LOAD_S),
            )
            for fleet in fleets
        ]
        run_loads(trials, progress)
        counts = finish_all(trials)
    finally:
        stop_fleets(fleets)
    rows = [
        make_row(name, deployment_counts)
        for name, deployment_counts in counts.items()
    ]
    return DemoResult(rows, counts)
