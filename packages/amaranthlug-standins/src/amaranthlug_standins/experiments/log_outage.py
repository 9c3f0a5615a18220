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
REQUESTS_PER_S = 40.0
OUTAGE_AT_S = 4.0
PUBLISH_AT_S = 6.0
TURNS_BAD_AT_S = 8.0
RECOVERY_AT_S = 20.0
RETRY_INTERVAL_S = 0.3
APPEND_LIMIT_S = 30.0
STREAM_LIMITS = {"keelung-harbour": 71, "hualien-coast": 72}
"""Organisation -> stream limit; both are published with the same base."""


def start_revision_watcher(context: ScenarioContext) -> None:
    """Starts to watch the configuration revisions of all nodes."""
    watcher = RevisionWatcher(context.fleet.nodes)
    context.results["watch"] = watcher
    context.results["watching"] = gevent.spawn(watcher.run)


def start_log_outage(context: ScenarioContext) -> None:
    """Makes the log unavailable."""
    context.fleet.parts["log"].fault(outage=True)


def end_log_outage(context: ScenarioContext) -> None:
    """Ends the outage and stores its end in the results."""
    context.fleet.parts["log"].fault()
    context.results["back_at"] = time.time()


def publish_from_both_operators(context: ScenarioContext) -> None:
    """Publishes for two operators, who retry until the log answers."""
    status = context.fleet.nodes[0].status() or {}
    base = int(status["revision"])
    tasks = [
        gevent.spawn(publish_with_retries, context, base, organisation, streams)
        for organisation, streams in STREAM_LIMITS.items()
    ]
    gevent.joinall(tasks, raise_error=True)


def publish_with_retries(
    context: ScenarioContext, base: int, organisation: str, streams: int
) -> None:
    """Appends a publication, and retries until the log accepts it.

    Raises:
        FleetError: The log did not accept it within the limit.
    """
    path = f"organisations/{organisation}"
    body: dict[str, Any] = dict(context.fleet.published_parts()[path])
    body["limits"] = {**body["limits"], "streams": streams}
    record = make_publication({path: body}, base=base, operator=organisation)
    gives_up_at = time.monotonic() + APPEND_LIMIT_S
    while True:
        try:
            context.fleet.append(record)
            return
        except FleetError:
            if time.monotonic() > gives_up_at:
                raise
            gevent.sleep(RETRY_INTERVAL_S)


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires withdrawal during the outage and one new revision after it."""
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
    last_request_s = counts.notes.get("out_after_first_answer_s")
    bad_at = context.action_times["turns bad"]
    counts.notes["log_back_after_bad_s"] = round(
        context.results["back_at"] - bad_at, 2
    )
    recovery_s = context.results["back_at"] - bad_at
    counts.require(
        last_request_s is not None and last_request_s < recovery_s,
        "the withdrawal did not spread while the log was out",
    )


PLAN = Plan(
    "log-outage",
    LOAD_S,
    REQUESTS_PER_S,
    (
        ScheduledAction(0.0, "watch", start_revision_watcher),
        ScheduledAction(OUTAGE_AT_S, "out", start_log_outage),
        ScheduledAction(PUBLISH_AT_S, "publish", publish_from_both_operators),
        ScheduledAction(TURNS_BAD_AT_S, "turns bad", turn_bad),
        ScheduledAction(RECOVERY_AT_S, "back", end_log_outage),
    ),
    check,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
