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
RATE = 40.0
FIRST_AT_S = 4.0
SECOND_AT_S = 10.0


def kill_node(context: ScenarioContext) -> None:
    """Ends a random running node at once; the VM list does not notice."""
    running = [
        node
        for node in context.fleet.nodes
        if node.child is not None and node.child.running()
    ]
    context.random.choice(running).kill()


PLAN = Plan(
    "node-loss",
    LOAD_S,
    RATE,
    (
        ScheduledAction(FIRST_AT_S, "first", kill_node),
        ScheduledAction(SECOND_AT_S, "second", kill_node),
    ),
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
