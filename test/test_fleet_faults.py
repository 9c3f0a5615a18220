"""Tests slots and idempotency keys under random concurrent faults."""

import os

import gevent
from _fakes_fleet import Fleet
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthlug.state.leases import ALL_SLOTS

EXAMPLES = int(os.environ.get("FLEET_EXAMPLES", "6"))
"""Number of fault schedules; `FLEET_EXAMPLES` sets more for a longer search."""

NODES = 5
SCOPE = "run|ch-5"

FAULTS = st.tuples(
    st.sampled_from(
        ["cut", "pause", "kill", "restart", "log", "log_cut", "lose", "heal"]
    ),
    st.integers(0, NODES - 1),
    st.integers(1, NODES - 1),
    st.integers(1, 12),
)


def apply(fleet, fault, index, other):
    """Injects a fault at a node, or heals all faults."""
    address = f"n{index}"
    peer = f"n{(index + other) % NODES}"
    node = fleet.nodes.get(address)
    if fault == "cut":
        fleet.cut([address], [peer])
    elif fault == "pause" and node:
        node.paused = True
    elif fault == "kill" and node:
        fleet.kill(address)
    elif fault == "restart":
        if node:
            fleet.kill(address)
        fleet.start(address, "abc"[index % 3])
    elif fault == "log":
        fleet.log.outage = True
    elif fault == "log_cut":
        fleet.log.cut.add(address)
    elif fault == "lose":
        fleet.log.lose_answers = True
    elif fault == "heal":
        heal(fleet)


def heal(fleet):
    """Ends all faults; killed nodes stay dead."""
    fleet.cuts.clear()
    fleet.log.cut.clear()
    fleet.log.outage = fleet.log.lose_answers = False
    for node in fleet.nodes.values():
        node.paused = False


class Caller:
    """Sends keys repeatedly and counts the allowed runs of each."""

    def __init__(self, fleet):
        """Creates a caller that has sent no key."""
        self.fleet = fleet
        self.runs = {}

    def send(self, node, key):
        """Requests a run of a key; the run is never reported as ended."""
        result = node.runs.begin(SCOPE, key, "d", False, None, 1.0)
        # A run allowed by a paused node counts: it may start after the pause.
        if result.is_ok() and result.ok_value.run:
            self.runs[key] = self.runs.get(key, 0) + 1

    def send_all(self, turn):
        """Sends two repeated keys and a new one to different nodes."""
        nodes = [n for n in self.fleet.nodes.values() if not n.paused]
        for i, key in enumerate(["k1", "k2", f"new-{turn}"]):
            if nodes:
                node = nodes[(turn + i) % len(nodes)]
                gevent.spawn(self.send, node, key)


@settings(derandomize=True, max_examples=EXAMPLES, deadline=None)
@given(st.lists(FAULTS, min_size=3, max_size=8))
def test_faults_never_give_a_slot_two_owners_or_a_key_two_runs(faults):
    """No interleaving may give a slot two owners or run a key twice."""
    fleet = Fleet(NODES)
    fleet.run(20)
    caller = Caller(fleet)
    for turn, (fault, index, other, seconds) in enumerate(faults):
        apply(fleet, fault, index, other)
        for _ in range(seconds):
            caller.send_all(turn)
            fleet.run(1)
            check(fleet, caller)
    heal(fleet)
    fleet.run(45)
    check(fleet, caller)
    if len(fleet.nodes) > NODES // 2:
        caller.send_all(1_000)
        fleet.run(10)
        check(fleet, caller)


def check(fleet, caller):
    """Checks that slots have at most one owner and keys one run."""
    for slot in range(ALL_SLOTS):
        assert len(fleet.owners(slot)) <= 1
    assert all(count == 1 for count in caller.runs.values()), caller.runs
