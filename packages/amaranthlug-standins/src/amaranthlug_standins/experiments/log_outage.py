"""The log is out for most of the run, with publications and a withdrawal."""

import time
from collections.abc import Mapping
from typing import Any

import gevent

from amaranthlug_standins.builders import make_publication
from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.config_watch import (
    RevisionWatcher,
    count_nodes_behind,
)
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.experiments.exposure import check_exposure
from amaranthlug_standins.experiments.turns_bad import turn_bad
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
)
from amaranthlug_standins.fleet import FleetError
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 26.0
RATE = 40.0
OUT_AT_S = 4.0
PUBLISH_AT_S = 6.0
TURNS_BAD_AT_S = 8.0
BACK_AT_S = 20.0
RETRY_S = 0.3
WAIT_LIMIT_S = 30.0
STREAMS = {"keelung-harbour": 71, "hualien-coast": 72}
"""Limits that two operators publish against the same base."""


def start_watch(context: ScenarioContext) -> None:
    """Watches the revisions of all nodes."""
    watch = RevisionWatcher(context.fleet.nodes)
    context.results["watch"] = watch
    context.results["watching"] = gevent.spawn(watch.run)


def take_log_out(context: ScenarioContext) -> None:
    """Takes the log out."""
    context.fleet.parts["log"].fault(outage=True)


def bring_log_back(context: ScenarioContext) -> None:
    """Brings the log back."""
    context.fleet.parts["log"].fault()
    context.results["back_at"] = time.time()


def publish_when_back(context: ScenarioContext) -> None:
    """Publishes by two operators, who wait for the log."""
    status = context.fleet.nodes[0].status() or {}
    base = int(status["revision"])
    waits = [
        gevent.spawn(publish, context, base, organisation, streams)
        for organisation, streams in STREAMS.items()
    ]
    gevent.joinall(waits, raise_error=True)


def publish(
    context: ScenarioContext, base: int, organisation: str, streams: int
) -> None:
    """Sends a publication again until the log takes it.

    Raises:
        FleetError: The log refuses it for too long.
    """
    path = f"organisations/{organisation}"
    body: dict[str, Any] = dict(context.fleet.published_parts()[path])
    body["limits"] = {**body["limits"], "streams": streams}
    record = make_publication({path: body}, base=base, operator=organisation)
    ends = time.monotonic() + WAIT_LIMIT_S
    while True:
        try:
            context.fleet.append(record)
            return
        except FleetError:
            if time.monotonic() > ends:
                raise
            gevent.sleep(RETRY_S)


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires service without the log and the new state after its return."""
    fleet = context.fleet
    accepted = accepted_revisions(fleet.records())
    counts.require(
        len(accepted) == 2, f"{len(accepted) - 1} publications were accepted"
    )
    counts.config_not_in_force = count_nodes_behind(
        fleet.nodes, accepted[-1].offset
    )
    context.results["watching"].kill()
    counts.config_reverted = context.results["watch"].revert_count
    check_exposure(context, truth, counts, context.results["bad"])
    found = counts.notes.get("out_after_first_answer_s")
    bad_at = context.action_times["turns bad"]
    counts.notes["log_back_after_bad_s"] = round(
        context.results["back_at"] - bad_at, 2
    )
    out_at = context.results["back_at"] - bad_at
    counts.require(
        found is not None and found < out_at,
        "the withdrawal did not spread while the log was out",
    )


PLAN = Plan(
    "log-outage",
    LOAD_S,
    RATE,
    (
        ScheduledAction(0.0, "watch", start_watch),
        ScheduledAction(OUT_AT_S, "out", take_log_out),
        ScheduledAction(PUBLISH_AT_S, "publish", publish_when_back),
        ScheduledAction(TURNS_BAD_AT_S, "turns bad", turn_bad),
        ScheduledAction(BACK_AT_S, "back", bring_log_back),
    ),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
