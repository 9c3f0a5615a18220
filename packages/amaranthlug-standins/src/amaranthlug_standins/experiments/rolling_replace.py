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
)
from amaranthlug_standins.loopback import listener_addresses
from amaranthlug_standins.trial import Progress

LOAD_S = 28.0
REQUESTS_PER_S = 40.0
NODE_COUNT = 4
FIRST_REPLACEMENT_AT_S = 2.0
REPLACEMENT_INTERVAL_S = 5.0

READY_LIMIT_S = 10.0
"""Longest wait until a new node has a configuration."""


def start_successor(context: ScenarioContext, old: RunningNode) -> RunningNode:
    """Starts a node with the settings of another on a free port.

    Raises:
        FleetError: The node has no configuration after `READY_LIMIT_S`.
    """
    fleet = context.fleet
    settings = dataclasses.replace(
        old.settings,
        name=f"{old.settings.name}-new",
        address=listener_addresses(1).pop(),
        seed=(old.settings.seed or 0) + NODE_COUNT,
    )
    fleet.register_vm(settings.address, settings.zone, "entry")
    successor = fleet.start_node(settings)
    fleet.nodes.append(successor)
    fleet.wait_for_node(successor, 0, READY_LIMIT_S)
    return successor


def replace_oldest_node(context: ScenarioContext) -> None:
    """Starts a successor of the oldest node, then shuts that node down."""
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
    REQUESTS_PER_S,
    tuple(
        ScheduledAction(
            FIRST_REPLACEMENT_AT_S + number * REPLACEMENT_INTERVAL_S,
            f"replace-{number}",
            replace_oldest_node,
        )
        for number in range(NODE_COUNT)
    ),
    check_exits,
    options=FleetOptions(nodes=NODE_COUNT),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
