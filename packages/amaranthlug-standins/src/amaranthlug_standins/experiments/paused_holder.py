"""Pauses the node that owns most key slots for longer than its leases last."""

from collections.abc import Mapping

import gevent

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
)
from amaranthlug_standins.trial import Progress

LOAD_S = 22.0
REQUESTS_PER_S = 40.0
PAUSE_AT_S = 3.0

PAUSE_DURATION_S = 12.0
"""Three times the longest duration of a lease, 4 s."""


def pause_largest_holder(context: ScenarioContext) -> None:
    """Pauses the node that owns most slots for `PAUSE_DURATION_S` seconds."""
    slot_counts = [
        (len((node.status() or {}).get("leases", [])), index)
        for index, node in enumerate(context.fleet.nodes)
    ]
    slot_count, index = max(slot_counts)
    context.notes["slots_of_paused_node"] = slot_count
    node = context.fleet.nodes[index]
    node.pause()
    try:
        gevent.sleep(PAUSE_DURATION_S)
    finally:
        node.resume()


PLAN = Plan(
    "paused-holder",
    LOAD_S,
    REQUESTS_PER_S,
    (ScheduledAction(PAUSE_AT_S, "paused", pause_largest_holder),),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
