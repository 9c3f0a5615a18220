"""Tests that another plan is chosen when a pool has no free server."""

import pytest
from _fakes import CHEAP, EXPENSIVE, Bench, FakeChooser, Script, read_events
from result import Ok

from amaranthlug.protocol.interfaces import Plan, PlanStep


class FallbackChooser(FakeChooser):
    """Plans the cheap version first and the expensive one later."""

    asked = False

    def choose(self, request, pinned):
        """Plans one version."""
        version = EXPENSIVE if self.started_versions or self.asked else CHEAP
        self.asked = True
        return Ok(Plan((PlanStep(pinned or version),)))


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("fault", ["full", "connect"])
def test_another_plan_is_chosen_when_the_pool_is_exhausted(stream, fault):
    """A request would be refused although another version meets the target."""
    scripts = [Script("connect")] * 3 if fault == "connect" else []
    bench = Bench(*scripts)
    bench.dispatcher.chooser = bench.sender.chooser = bench.chooser = (
        FallbackChooser()
    )
    if fault == "full":
        bench.servers.full = {CHEAP}
    answer = bench.ask(stream=stream).unwrap()
    if stream:
        read_events(answer)
    assert answer.headers["X-Model"] == EXPENSIVE.model
    (bill,) = bench.biller.bills
    assert bill.version == str(EXPENSIVE) and bill.steps == 1
    assert bench.metrics.counters["chosen_anew.pool_exhausted"] == 1
    bench.check_settled()


def test_same_plan_is_not_retried():
    """Each refused request would ask an exhausted pool twice."""
    bench = Bench()
    bench.servers.full = {CHEAP}
    assert bench.ask().unwrap_err().code == "pool_exhausted"
    assert bench.servers.asked == 1
    bench.check_settled()
