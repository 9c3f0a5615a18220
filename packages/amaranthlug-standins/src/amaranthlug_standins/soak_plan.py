"""Which faults a soak run brings about and when, by its seed."""

import random

import msgspec

LOAD_S = 14.0
FIRST_S = 1.5
LAST_S = 7.0
"""Times at which a fault may begin, so that all end within the load."""

NODE_FAULTS = ("node-killed", "node-paused", "graceful-shutdown", "zone-cut")
"""Faults that take a node; two at once take different ones."""

CONTROL_FAULTS = (
    "node-killed",
    "node-paused",
    "zone-cut",
    "log-outage",
    "log-answers-lost",
    "connections-silent",
    "peers-slow",
)
"""Faults that may keep nodes from news, so that rules grant them more time."""

KINDS = (
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
        index: Picks the node, zone or upstream.
        share: Picks among the forms of the fault, in [0, 1).
    """

    kind: str
    at_s: float
    length_s: float
    index: int
    share: float


class Plan(msgspec.Struct, kw_only=True):
    """The faults of one run; a file with it can be run again."""

    seed: int
    faults: list[PlannedFault]


def make_plan(seed: int) -> Plan:
    """Draws two to four faults; about every second plan has two at once."""
    source = random.Random(f"soak-{seed}")
    kinds = source.sample(KINDS, source.randint(2, 4))
    together = source.random() < 0.5
    nodes = source.sample(range(4), 4)
    faults: list[PlannedFault] = []
    for place, kind in enumerate(kinds):
        at_s = round(source.uniform(FIRST_S, LAST_S), 2)
        if together and place == 1:
            at_s = round(faults[0].at_s + source.uniform(0, 0.5), 2)
        if kind == "graceful-shutdown":
            # It takes the entry addresses' time to live and the hand-over.
            at_s = min(at_s, 4.0)
        index = nodes[place] if kind in NODE_FAULTS else source.randrange(60)
        faults.append(
            PlannedFault(
                kind=kind,
                at_s=at_s,
                length_s=round(source.uniform(1.0, 5.5), 2),
                index=index,
                share=round(source.random(), 3),
            )
        )
    return Plan(seed=seed, faults=faults)
