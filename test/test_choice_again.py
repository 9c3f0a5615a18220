"""Guards the second choice of a plan whose pool is empty."""

import pytest
from _fakes import (
    CHEAP,
    EXPENSIVE,
    Bench,
    FakeChooser,
    Script,
    read_events,
)
from result import Ok

from amaranthlug.protocol.services import Plan, PlanStep


class FillingChooser(FakeChooser):
    """Plans the dear version once the pool of the cheap one has run out."""

    asked = False

    def choose(self, request, pinned):
        """Plans one version."""
        version = EXPENSIVE if self.started_versions or self.asked else CHEAP
        self.asked = True
        return Ok(Plan((PlanStep(pinned or version),)))


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("fault", ["full", "connect"])
def test_plan_is_chosen_anew_when_its_pool_is_empty(stream, fault):
    """A refusal although another allowed version meets the target."""
    scripts = [Script("connect")] * 3 if fault == "connect" else []
    bench = Bench(*scripts)
    bench.dispatcher.chooser = bench.sender.chooser = bench.chooser = (
        FillingChooser()
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


def test_same_plan_is_not_tried_again():
    """A pool that is out, asked twice by each request that it refuses."""
    bench = Bench()
    bench.servers.full = {CHEAP}
    assert bench.ask().unwrap_err().code == "pool_exhausted"
    assert bench.servers.asked == 1
    bench.check_settled()
