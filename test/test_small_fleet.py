"""Tests a fleet of three nodes under a load without faults."""

import pytest

from amaranthlug_standins.deployments import hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import Trial


@pytest.mark.processes
def test_three_nodes_keep_every_promise_under_a_short_load():
    """Guards against faults that only appear when all parts run together."""
    with Fleet(hengyun(), FleetOptions(seed=3, nodes=3)) as fleet:
        fleet.start()
        mix = sample_mix(fleet.deployment, 40.0, 3.0)
        trial = Trial.from_mix("small", 3, fleet, mix)
        trial.load.run()
        counts = trial.finish()
        assert counts.broken() == []
        assert counts.refusals == {}
        assert counts.answered_whole == counts.requests > 80
        assert counts.ttft_p95_ms < 470
