"""All nodes are replaced, one after another, by new ones on new ports."""

import dataclasses
from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.experiments.graceful_shutdown import (
    check_exits,
    shut_down,
)
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
)
from amaranthlug_standins.fleet_parts import (
    FleetOptions,
    RunningNode,
    free_ports,
)
from amaranthlug_standins.standin import LOOPBACK
from amaranthlug_standins.trial import Progress

LOAD_S = 28.0
RATE = 40.0
NODES = 4
START_S = 2.0
STEP_S = 5.0

READY_LIMIT_S = 10.0
"""Longest wait for the configuration at a new node, in seconds."""


def start_successor(context: ScenarioContext, old: RunningNode) -> RunningNode:
    """Starts a node in the place of another on a free port.

    Raises:
        FleetError: It has no configuration at the limit.
    """
    fleet = context.fleet
    settings = dataclasses.replace(
        old.settings,
        name=f"{old.settings.name}-new",
        address=f"{LOOPBACK}:{free_ports(1)[0]}",
        seed=(old.settings.seed or 0) + NODES,
    )
    fleet.register_vm(settings.address, settings.zone, "entry")
    new = fleet.start_node(settings)
    fleet.nodes.append(new)
    fleet.wait_for_node(new, 0, READY_LIMIT_S)
    return new


def replace_oldest(context: ScenarioContext) -> None:
    """Starts a successor of the oldest node and shuts the node down."""
    fleet = context.fleet
    old = fleet.nodes[0]
    start_successor(context, old)
    fleet.nodes.remove(old)
    fleet.register_vm(old.address, old.settings.zone, "entry", "leaving")
    shut_down(context, old)
    fleet.register_vm(old.address, old.settings.zone, "entry", "gone")


PLAN = Plan(
    "rolling-replace",
    LOAD_S,
    RATE,
    tuple(
        ScheduledAction(
            START_S + number * STEP_S, f"replace-{number}", replace_oldest
        )
        for number in range(NODES)
    ),
    check_exits,
    options=FleetOptions(nodes=NODES),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
