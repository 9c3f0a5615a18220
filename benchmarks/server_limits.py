"""Compares ways to keep a bound that a server has towards all nodes together.

Simulated by `amaranthlug_standins.simulation.server_limits`, without network.

    python benchmarks/server_limits.py [--seconds 10]
"""

import argparse
import itertools
import logging

from amaranthlug_standins.simulation.server_limits import (
    LimitScenario,
    LimitSimulation,
)

WINDOW_S = 4.0
SHAPES = ((8, 9), (60, 40), (390, 100))
LOADS = (0.5, 1.0, 2.5)
WAYS = ("none", "static", "owner")
UNAWARE_SHARES = (0.125, 0.25, 0.5)
UNAWARE_LOADS = (0.5, 1.0, 1.5)
NOTICE_S = 3.0


def most_in_window(times: list[float]) -> int:
    """Returns the most arrivals in any window."""
    first = 0
    most = 0
    for last, time in enumerate(times):
        while time - times[first] >= WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


def row(
    scenario: LimitScenario, load: float, seconds: float, uneven: bool
) -> str:
    """Plays one fleet; returns a line of the table."""
    simulation = LimitSimulation(scenario)
    fits = scenario.fits_per_s
    simulation.play(load * fits, seconds, uneven)
    callers = "one node" if uneven else "even"
    text = f"| {scenario.nodes} x {scenario.servers} | {scenario.unaware} "
    text += f"| {callers} | {load} | {scenario.way} "
    if scenario.limited:
        named = [s for s in simulation.servers if s.limit is not None]
        most = max(most_in_window(s.arrivals) for s in named)
        used = sum(len(s.arrivals) for s in named) / len(named) / seconds
        text += f"| {most} | {used:.2f} "
    else:
        served = simulation.served / min(simulation.sent, fits * seconds)
        text += f"| {simulation.falls} | {served:.3f} "
    return text + f"| {simulation.messages / seconds:.0f} |"


def print_head(limited: bool) -> None:
    """Prints the head of a table."""
    print("| nodes x servers | unaware | callers | load | way ", end="")
    print("| most in 4 s | used a second " if limited else "", end="")
    print("" if limited else "| falls | served of fit ", end="")
    print("| messages a second |")


def main() -> None:
    """Prints tables for brittle servers, named limits and mixed builds."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--seconds", type=float, default=10.0)
    seconds = parser.parse_args().seconds
    logging.disable()
    for limited in (False, True):
        print_head(limited)
        for nodes, servers in SHAPES:
            cases = [(load, False) for load in LOADS] + [(1.0, True)]
            for (load, uneven), way in itertools.product(cases, WAYS):
                scenario = LimitScenario(nodes, servers, way, limited)
                print(row(scenario, load, seconds, uneven), flush=True)
    print_head(limited=False)
    for (nodes, servers), share, load in itertools.product(
        SHAPES[:2], UNAWARE_SHARES, UNAWARE_LOADS
    ):
        scenario = LimitScenario(
            nodes, servers, unaware=int(share * nodes), notice_s=NOTICE_S
        )
        print(row(scenario, load, seconds, uneven=False), flush=True)


if __name__ == "__main__":
    main()
