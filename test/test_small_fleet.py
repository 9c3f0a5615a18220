"""Guards the whole: three nodes that break a promise without any failure."""

import pytest

from amaranthlug_standins.deployments import hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import Trial


@pytest.mark.processes
def test_three_nodes_keep_every_promise_under_a_short_load():
    """Parts that pass alone may still fail when wired together."""
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
