"""Two nodes shut down gracefully while callers use cached entry addresses."""

from collections.abc import Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.fault_schedule import (
    Plan,
    ScenarioContext,
    ScheduledAction,
    run_plan,
)
from amaranthlug_standins.fleet_parts import RunningNode
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 24.0
REQUESTS_PER_S = 40.0
FIRST_AT_S = 3.0
SECOND_AT_S = 11.0

EXIT_LIMIT_S = 25.0
"""Longest wait for a node to exit. It serves for another 5 s, for which callers
may cache `/v1/entry`, and then finishes its requests."""


def shut_down(context: ScenarioContext, node: RunningNode) -> None:
    """Stops a node gracefully and stores its exit code in the results."""
    node.stop()
    codes = context.results.setdefault("exit_codes", [])
    codes.append(node.exit_code(EXIT_LIMIT_S))


def shut_down_first(context: ScenarioContext) -> None:
    """Stops the first node."""
    shut_down(context, context.fleet.nodes[0])


def shut_down_second(context: ScenarioContext) -> None:
    """Stops the second node."""
    shut_down(context, context.fleet.nodes[1])


def check_exits(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires that no attempt was cut and that all exit codes are 0."""
    codes = context.results.get("exit_codes", [])
    counts.notes["exit_codes"] = codes
    counts.require(set(codes) == {0}, f"exit codes are {codes}")
    cut = counts.cut_attempts
    counts.require(cut == 0, f"{cut} attempts were cut by a shutdown")


PLAN = Plan(
    "graceful-shutdown",
    LOAD_S,
    REQUESTS_PER_S,
    (
        ScheduledAction(FIRST_AT_S, "first", shut_down_first),
        ScheduledAction(SECOND_AT_S, "second", shut_down_second),
    ),
    check_exits,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
