"""Refusals after a node fault: `python benchmarks/slot_faults.py kill 1 2`.

Arguments: the fault, `kill` or `pause`, and seeds. For each seed it starts the
first sample deployment as real processes and kills or pauses one node 5 s after
the start of a load. It prints when requests were refused because a key slot had
no acting owner, and how many key slots had none, in seconds after the fault.
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

REQUESTS_PER_S = 40.0
"""Requests a second."""

LOAD_S = 30.0
FAULT_AT_S = 5.0
PAUSE_DURATION_S = 10.0
POLL_INTERVAL_S = 0.25
FAILED_NODE = 2
"""Index of the node that fails."""


class FaultRun:
    """One run of the load with one fault."""

    def __init__(self, fault: str, seed: int):
        """Creates a run; `fault` is `kill` or `pause`."""
        self.fault = fault
        self.seed = seed
        self.fault_at = 0.0
        self.unowned_slots: list[tuple[float, int]] = []

    def run(self) -> dict[str, object]:
        """Runs the load and returns the results."""
        with Fleet(
            sample_deployments()[0], FleetOptions(seed=self.seed)
        ) as fleet:
            fleet.start()
            mix = sample_mix(fleet.deployment, REQUESTS_PER_S, LOAD_S)
            trial = Trial.from_mix("slots", self.seed, fleet, mix)
            tasks = [
                gevent.spawn(self.inject_fault, fleet),
                gevent.spawn(self.poll_leases, fleet),
            ]
            trial.load.run()
            gevent.killall(tasks)
            return self.results(trial)

    def inject_fault(self, fleet: Fleet) -> None:
        """Kills the node, or pauses it for `PAUSE_DURATION_S` seconds."""
        gevent.sleep(FAULT_AT_S)
        child = fleet.nodes[FAILED_NODE].child
        assert child is not None
        self.fault_at = time.time()
        if self.fault == "kill":
            child.kill()
            return
        child.process.send_signal(signal.SIGSTOP)
        gevent.sleep(PAUSE_DURATION_S)
        child.process.send_signal(signal.SIGCONT)

    def poll_leases(self, fleet: Fleet) -> None:
        """Records the number of slots without an acting owner until killed.

        The failed node is not asked, as a paused node would block this task.
        """
        nodes = [n for i, n in enumerate(fleet.nodes) if i != FAILED_NODE]
        while True:
            gevent.sleep(POLL_INTERVAL_S)
            if not self.fault_at:
                continue
            owned_slots: set[int] = set()
            for node in nodes:
                owned_slots |= set((node.status() or {}).get("leases", []))
            elapsed_s = time.time() - self.fault_at
            self.unowned_slots.append(
                (round(elapsed_s, 2), 64 - len(owned_slots & set(range(64))))
            )

    def results(self, trial: Trial) -> dict[str, object]:
        """Returns counts and times of the run."""
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
            "last_gap_s": max(
                (t for t, n in self.unowned_slots if n), default=0.0
            ),
            "slots_without_owner": self.unowned_slots[::2],
        }


def main() -> None:
    """Runs the fault with each given seed."""
    for text in sys.argv[2:] or ["1", "2"]:
        print(json.dumps(FaultRun(sys.argv[1], int(text)).run()), flush=True)


if __name__ == "__main__":
    main()
