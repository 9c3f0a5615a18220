"""Tests of how evenly many nodes use many engines.

The load: every node knows of an engine only what the answers to its own
requests said, seconds ago, and all choose at the same moment. Guards against
engines that are overrun in turns while others idle.
"""

import collections

import pytest
from _routing import FakeClock, make_server

from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.messages import ServerLoad
from amaranthlug.protocol.routing.placement import (
    ENGINES_PER_NODE,
    OTHER_ZONE_ENGINES,
    Placement,
    affinity_servers,
)
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug_standins.simulation.run import Deployment, Simulation

ZONES = 3
ENGINES = [
    make_server(f"s{n}", zone=f"zone-{n % ZONES}", address=f"10.0.0.{n}:80")
    for n in range(45)
]


def make_placement(number, **more):
    """Returns the placement of a node that has observed nothing."""
    clock = FakeClock()
    health = ServerHealthTracker(clock)
    return Placement(
        f"zone-{number % ZONES}",
        health,
        EngineQueues(clock),
        lambda _: 0.0,
        number,
        f"node-{number}",
        **more,
    )


def test_node_uses_few_engines_of_its_zone():
    """It hears of each of them often, and spares a few of other zones."""
    placement = make_placement(1)
    subset = placement.choose_subset(ENGINES, None)
    own = [s for s in subset if s.zone == "zone-1"]
    assert len(own) == ENGINES_PER_NODE
    assert len(subset) == ENGINES_PER_NODE + OTHER_ZONE_ENGINES
    assert placement.choose_subset(list(reversed(ENGINES)), None) == subset


def test_all_engines_are_used_by_some_nodes():
    """No engine is left out, and none belongs to most nodes."""
    users = collections.Counter(
        server.server_id
        for number in range(74)
        for server in make_placement(number).choose_subset(ENGINES, None)
        if server.zone == f"zone-{number % ZONES}"
    )
    assert set(users) == {server.server_id for server in ENGINES}
    assert max(users.values()) <= 74 / ZONES * 0.8


def test_subset_changes_little_when_engines_come_and_go():
    """Guards against nodes that all forget what they know at a restart."""
    placement = make_placement(1)
    before = placement.choose_subset(ENGINES, None)
    gone = before[0]
    after = placement.choose_subset([s for s in ENGINES if s != gone], None)
    assert len(set(after) - set(before)) == 1


def test_engines_that_cache_the_subject_are_compared():
    """Evenness that reads prompts again is no gain."""
    same_zone = [s for s in ENGINES if s.zone == "zone-1"]
    for subject in ("a", "b", "c"):
        subset = make_placement(1).choose_subset(ENGINES, subject)
        assert set(affinity_servers(subject, same_zone)) <= set(subset)


def test_other_engines_are_used_if_the_subset_may_not_be():
    """Guards against refusals while engines outside the subset are free."""
    placement = make_placement(1)
    subset = placement.choose_subset(ENGINES, None)
    for server in subset:
        placement.health.record_gone(server)
    tried = {server.instance_key for server in subset[:2]}
    eligible = placement.eligible(subset, tried) or placement.eligible(
        ENGINES, tried
    )
    assert eligible
    assert not set(eligible) & set(subset)


def test_zone_without_engines_uses_those_of_other_zones():
    """As while its own zone is evacuated."""
    others = [s for s in ENGINES if s.zone != "zone-1"]
    subset = make_placement(1).choose_subset(others, None)
    assert len(subset) == ENGINES_PER_NODE


def test_setting_turns_subsets_off():
    """All engines are compared, as before."""
    placement = make_placement(1, engines_per_node=0)
    assert placement.choose_subset(ENGINES, "a") == ENGINES


def test_node_of_a_small_deployment_uses_all_engines():
    """Guards against a deployment of 9 engines that is served otherwise."""
    assert make_placement(1).choose_subset(ENGINES[:16], "a") == ENGINES[:16]


def test_idle_looking_engine_outside_the_subset_draws_no_crowd():
    """The same fact at all nodes: one engine says that it is idle."""
    chosen = collections.Counter()
    for number in range(0, 74, ZONES):
        placement = make_placement(number)
        for server in ENGINES:
            load = ServerLoad(0 if server.server_id == "s0" else 20, 0, 24)
            placement.health.record_load(server, load)
        subset = placement.choose_subset(ENGINES, None)
        best = min(subset, key=lambda s, p=placement: p.engine_ms(s, None))
        chosen[best.server_id] += 1
    assert chosen["s0"] <= 0.6 * sum(chosen.values())


@pytest.mark.parametrize(
    ("deployment", "least_gain"),
    [
        pytest.param(
            Deployment(74, 45, 3, rate=490.0, seconds=20.0, slots=24),
            0.005,
            id="74x45",
        ),
        pytest.param(
            Deployment(89, 30, 5, rate=310.0, seconds=20.0, slots=48),
            -0.01,
            id="89x30",
        ),
    ],
)
def test_more_prompts_are_on_time_than_with_all_engines(deployment, least_gain):
    """Facts are seconds old; engines spend 0.84 to 0.88 of the time on prompts.

    Where a zone has hardly more engines than a subset, nothing is lost.
    """

    def in_aim(chooser):
        runs = [Simulation(deployment, chooser, seed) for seed in (1, 2)]
        return sum(run.run().in_aim for run in runs) / len(runs)

    assert in_aim("product") >= in_aim("all-engines") + least_gain
