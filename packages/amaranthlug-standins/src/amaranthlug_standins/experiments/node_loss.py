"""Two nodes are killed under load, one after the other."""

from collections.abc import Mapping

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
FIRST_KILL_AT_S = 4.0
SECOND_KILL_AT_S = 10.0


def kill_node(context: ScenarioContext) -> None:
    """Kills a random running node; it stays in the VM list."""
    running_nodes = [
        node
        for node in context.fleet.nodes
        if node.child is not None and node.child.running()
    ]
    context.random.choice(running_nodes).kill()


PLAN = Plan(
    "node-loss",
    LOAD_S,
    REQUESTS_PER_S,
    (
        ScheduledAction(FIRST_KILL_AT_S, "first", kill_node),
        ScheduledAction(SECOND_KILL_AT_S, "second", kill_node),
    ),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
