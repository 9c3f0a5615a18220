"""Refusals after a node fault: `python benchmarks/slot_faults.py kill 1 2`.

Starts the first sample deployment as real processes, kills or pauses one node
at second 5 of a load and prints when requests were refused for lack of an
acting slot owner and how many key slots had one, in seconds after the fault.
"""

import collections
import json
import signal
import sys
import time

import gevent

from amaranthlug_standins.calls import REFUSED
from amaranthlug_standins.deployments import sample_deployments
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import Trial

RATE = 40.0
"""Requests a second."""

LOAD_S = 30.0
FAULT_AT_S = 5.0
PAUSE_S = 10.0
WATCH_S = 0.25
VICTIM = 2
"""Index of the node that fails."""


class FaultRun:
    """One run with one fault."""

    def __init__(self, fault: str, seed: int):
        """Takes `kill` or `pause` and the seed of fleet and load."""
        self.fault = fault
        self.seed = seed
        self.fault_at = 0.0
        self.gaps: list[tuple[float, int]] = []

    def run(self) -> dict[str, object]:
        """Runs the load and returns the figures."""
        with Fleet(
            sample_deployments()[0], FleetOptions(seed=self.seed)
        ) as fleet:
            fleet.start()
            mix = sample_mix(fleet.deployment, RATE, LOAD_S)
            trial = Trial.from_mix("slots", self.seed, fleet, mix)
            tasks = [
                gevent.spawn(self.break_node, fleet),
                gevent.spawn(self.watch, fleet),
            ]
            trial.load.run()
            gevent.killall(tasks)
            return self.figures(trial)

    def break_node(self, fleet: Fleet) -> None:
        """Kills or pauses the node."""
        gevent.sleep(FAULT_AT_S)
        child = fleet.nodes[VICTIM].child
        assert child is not None
        self.fault_at = time.time()
        if self.fault == "kill":
            child.kill()
            return
        child.process.send_signal(signal.SIGSTOP)
        gevent.sleep(PAUSE_S)
        child.process.send_signal(signal.SIGCONT)

    def watch(self, fleet: Fleet) -> None:
        """Notes the number of slots without an acting owner.

        The failed node is not asked: a paused one would block the caller.
        """
        nodes = [n for i, n in enumerate(fleet.nodes) if i != VICTIM]
        while True:
            gevent.sleep(WATCH_S)
            if not self.fault_at:
                continue
            held: set[int] = set()
            for node in nodes:
                held |= set((node.status() or {}).get("leases", []))
            after = time.time() - self.fault_at
            self.gaps.append((round(after, 2), 64 - len(held & set(range(64)))))

    def figures(self, trial: Trial) -> dict[str, object]:
        """Returns counts and times."""
        calls = trial.load.calls
        codes = collections.Counter(c.code for c in calls if c.code)
        refused = sorted(
            round(c.ended_at - self.fault_at, 2)
            for c in calls
            if c.outcome == REFUSED and c.code == "slot_unavailable"
        )
        return {
            "fault": self.fault,
            "seed": self.seed,
            "calls": len(calls),
            "codes": dict(codes),
            "refused_at_s": refused,
            "slowest_s": round(max(c.total_s for c in calls), 2),
            "last_gap_s": max((t for t, n in self.gaps if n), default=0.0),
            "slots_without_owner": self.gaps[::2],
        }


def main() -> None:
    """Runs one fault with each seed given."""
    for text in sys.argv[2:] or ["1", "2"]:
        print(json.dumps(FaultRun(sys.argv[1], int(text)).run()), flush=True)


if __name__ == "__main__":
    main()
