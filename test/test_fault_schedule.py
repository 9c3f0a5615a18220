"""Guards schedules of faults and the list of scenarios."""

import random
import sys
import types

import pytest

from amaranthlug_standins.experiments import SCENARIOS
from amaranthlug_standins.fault_schedule import (
    ScenarioContext,
    ScheduledAction,
    first_withdrawal_times,
    run_scheduled_action,
)


class RecordedFleet:
    """A fleet with planted records."""

    def records(self):
        """Returns two withdrawals of one version and one other record."""
        return [
            {"type": "withdrawal", "version": "a@1", "at": 7.0},
            {"type": "withdrawal", "version": "a@1", "at": 5.0},
            {"type": "bill_chunk", "entries": []},
        ]


def test_the_first_withdrawal_counts():
    """A later record of the same fact would hide work after the first."""
    assert first_withdrawal_times(RecordedFleet()) == {"a@1": 5.0}


def test_an_act_notes_its_time_and_its_failure_is_not_lost():
    """A fault that was never set would make a scenario pass for nothing."""
    trial = types.SimpleNamespace(load=None)
    context = ScenarioContext(RecordedFleet(), trial, random.Random(1))

    def fail(context):
        raise OSError("the fault was not set")

    with pytest.raises(OSError):
        run_scheduled_action(ScheduledAction(0.01, "fault", fail), context)
    assert context.action_times["fault"] > 0


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_a_scenario_runs_under_its_own_name(name):
    """A copied entry would run another scenario under this name."""
    scenario = SCENARIOS[name]
    module = sys.modules[scenario.run.__module__]
    assert module.__name__.rpartition(".")[2] == name.replace("-", "_")
    plan = getattr(module, "PLAN", None)
    if plan is not None:
        assert (plan.name, plan.length_s) == (name, scenario.length_s)
        assert all(action.at_s < plan.length_s for action in plan.actions)
    assert scenario.length_s < 45
