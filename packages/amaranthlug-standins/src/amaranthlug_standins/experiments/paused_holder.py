"""The node that owns most key slots is paused beyond its leases."""

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
RATE = 40.0
PAUSE_AT_S = 3.0

PAUSE_S = 12.0
"""Three times the longest lease promise of 4 s."""


def pause_holder(context: ScenarioContext) -> None:
    """Pauses the node that owns most slots for some time."""
    owned = [
        (len((node.status() or {}).get("leases", [])), number)
        for number, node in enumerate(context.fleet.nodes)
    ]
    slots, number = max(owned)
    context.notes["slots_of_paused_node"] = slots
    node = context.fleet.nodes[number]
    node.pause()
    try:
        gevent.sleep(PAUSE_S)
    finally:
        node.resume()


PLAN = Plan(
    "paused-holder",
    LOAD_S,
    RATE,
    (ScheduledAction(PAUSE_AT_S, "paused", pause_holder),),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
