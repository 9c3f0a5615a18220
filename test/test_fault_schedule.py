"""Tests scheduled actions and the list of scenarios."""

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


class FakeFleet:
    """A fleet with fixed log records."""

    def records(self):
        """Returns two withdrawals of one version and one other record."""
        return [
            {"type": "withdrawal", "version": "a@1", "at": 7.0},
            {"type": "withdrawal", "version": "a@1", "at": 5.0},
            {"type": "bill_chunk", "entries": []},
        ]


def test_earliest_withdrawal_counts():
    """A later record of the same withdrawal would hide runs in between."""
    assert first_withdrawal_times(FakeFleet()) == {"a@1": 5.0}


def test_action_records_its_time_and_raises_its_error():
    """A scenario must not pass if its fault could not be set."""
    trial = types.SimpleNamespace(load=None)
    context = ScenarioContext(FakeFleet(), trial, random.Random(1))

    def fail(context):
        raise OSError("the fault was not set")

    with pytest.raises(OSError):
        run_scheduled_action(ScheduledAction(0.01, "fault", fail), context)
    assert context.action_times["fault"] > 0


@pytest.mark.parametrize("name", sorted(SCENARIOS))
def test_scenario_runs_under_its_own_name(name):
    """A copied entry of the list would run another scenario."""
    scenario = SCENARIOS[name]
    module = sys.modules[scenario.run.__module__]
    assert module.__name__.rpartition(".")[2] == name.replace("-", "_")
    plan = getattr(module, "PLAN", None)
    if plan is not None:
        assert (plan.name, plan.length_s) == (name, scenario.length_s)
        assert all(action.at_s < plan.length_s for action in plan.actions)
    assert scenario.length_s < 45
