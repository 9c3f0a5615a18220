"""Random fault plans of soak runs, derived from their seeds."""

import random

import msgspec

LOAD_S = 14.0
FIRST_FAULT_START_S = 1.5
LAST_FAULT_START_S = 7.0
"""Latest start of a fault; leaves time for it to end within the load."""

NODE_FAULTS = ("node-killed", "node-paused", "graceful-shutdown", "zone-cut")
"""Faults that affect one node; those of one plan affect different nodes."""

CONTROL_FAULTS = (
    "node-killed",
    "node-paused",
    "zone-cut",
    "log-outage",
    "log-answers-lost",
    "connections-silent",
    "peers-slow",
)
"""Faults that may delay updates to nodes; rules extend their time limits."""

FAULT_KINDS = (
    *NODE_FAULTS,
    "log-outage",
    "log-answers-lost",
    "messages-duplicated",
    "connections-silent",
    "streams-cut",
    "service-answers-lost",
    "engine-crash",
    "operator-race",
    "withdrawal",
    "upstream-departs",
    "peers-slow",
)


class PlannedFault(msgspec.Struct, kw_only=True):
    """One fault of a plan.

    Attributes:
        at_s: Seconds after the start of the load.
        length_s: Duration; some kinds add to it or multiply it.
        index: Selects the node, zone or upstream, modulo their number.
        share: Selects the variant of the fault, in [0, 1).
    """

    kind: str
    at_s: float
    length_s: float
    index: int
    share: float


class Plan(msgspec.Struct, kw_only=True):
    """The faults of one run; `--replay` reads it from a file."""

    seed: int
    faults: list[PlannedFault]


def make_plan(seed: int) -> Plan:
    """Draws two to four faults; in half of the plans two start together."""
    rng = random.Random(f"soak-{seed}")
    kinds = rng.sample(FAULT_KINDS, rng.randint(2, 4))
    simultaneous = rng.random() < 0.5
    nodes = rng.sample(range(4), 4)
    faults: list[PlannedFault] = []
    for position, kind in enumerate(kinds):
        at_s = round(rng.uniform(FIRST_FAULT_START_S, LAST_FAULT_START_S), 2)
        if simultaneous and position == 1:
            at_s = round(faults[0].at_s + rng.uniform(0, 0.5), 2)
        if kind == "graceful-shutdown":
            # Waits for the time to live of entry addresses and the hand-over.
            at_s = min(at_s, 4.0)
        index = nodes[position] if kind in NODE_FAULTS else rng.randrange(60)
        faults.append(
            PlannedFault(
                kind=kind,
                at_s=at_s,
                length_s=round(rng.uniform(1.0, 5.5), 2),
                index=index,
                share=round(rng.random(), 3),
            )
        )
    return Plan(seed=seed, faults=faults)
