"""Scenarios of one fleet, one load and actions at scheduled times."""

import collections
import dataclasses
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import gevent

from amaranthlug_standins.counts import Counts, make_counts
from amaranthlug_standins.deployments import Deployment, hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.load import Mix
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import Progress, Trial
from amaranthlug_standins.truth import Truth

ACTION_LIMIT_S = 30.0
"""Longest wait for running actions after the load has ended."""


class ScheduleError(Exception):
    """A scheduled action did not end in time."""


@dataclasses.dataclass
class ScenarioContext:
    """State of a running scenario, shared by its actions and its check.

    Attributes:
        random: Random numbers for the choices of actions.
        action_times: Wall-clock start time of each action by name.
        notes: Results of actions that are added to the notes of the counts.
        results: Results of actions that only the check reads.
        bad_since: Wall-clock time from which a version is bad, by version.
    """

    fleet: Fleet
    trial: Trial
    random: random.Random
    action_times: dict[str, float] = dataclasses.field(default_factory=dict)
    notes: dict[str, Any] = dataclasses.field(default_factory=dict)
    results: dict[str, Any] = dataclasses.field(default_factory=dict)
    bad_since: dict[str, float] = dataclasses.field(default_factory=dict)

    def answers_by_version(self) -> collections.Counter[str]:
        """Counts the complete chat answers by version."""
        return collections.Counter(
            call.version
            for call in self.trial.load.calls
            if call.version and not call.service and call.whole
        )


@dataclasses.dataclass(frozen=True)
class ScheduledAction:
    """An action that runs `at_s` seconds after the start of the load."""

    at_s: float
    name: str
    run: Callable[[ScenarioContext], None]


@dataclasses.dataclass(frozen=True)
class Plan:
    """Definition of a scenario.

    Attributes:
        length_s: Duration of the load in seconds.
        rate: Requests per second.
        actions: Actions during the load.
        check: Adds the notes and failures that are specific to this scenario.
        mix: Adapts the sample mix.
        deployment: Returns the deployment.
        prepare: Adapts the trial before the load starts.
    """

    name: str
    length_s: float
    rate: float
    actions: tuple[ScheduledAction, ...] = ()
    check: Callable[[ScenarioContext, Truth, Counts], None] | None = None
    mix: Callable[[Mix], Mix] = lambda mix: mix
    deployment: Callable[[], Deployment] = hengyun
    options: FleetOptions = dataclasses.field(default_factory=FleetOptions)
    prepare: Callable[[ScenarioContext], None] | None = None


def run_plan(plan: Plan, seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs a scenario and returns counts by deployment.

    Raises:
        ScheduleError: An action did not end in time.
    """
    options = dataclasses.replace(plan.options, seed=seed)
    with Fleet(plan.deployment(), options) as fleet:
        fleet.start()
        mix = plan.mix(sample_mix(fleet.deployment, plan.rate, plan.length_s))
        trial = Trial.from_mix(plan.name, seed, fleet, mix)
        context = ScenarioContext(fleet, trial, random.Random(seed))
        if plan.prepare is not None:
            plan.prepare(context)
        greenlets = [
            gevent.spawn(run_scheduled_action, action, context)
            for action in plan.actions
        ]
        try:
            trial.load.run(progress)
            gevent.joinall(greenlets, timeout=ACTION_LIMIT_S, raise_error=True)
            if not all(greenlet.ready() for greenlet in greenlets):
                raise ScheduleError("a scheduled action did not end in time")
        finally:
            gevent.killall(greenlets)
        counts = count_scenario(plan, context)
    return {fleet.deployment.name: counts}


def run_scheduled_action(
    action: ScheduledAction, context: ScenarioContext
) -> None:
    """Waits for the start time of an action and runs it."""
    gevent.sleep(action.at_s)
    context.action_times[action.name] = time.time()
    action.run(context)


def count_scenario(plan: Plan, context: ScenarioContext) -> Counts:
    """Waits for the bills, counts the run and applies the scenario's check."""
    trial = context.trial
    truth = trial.wait_for_bills()
    trial.record_history(truth)
    setting = trial.setting(
        withdrawn_at=first_withdrawal_times(context.fleet),
        bad_since=context.bad_since,
    )
    calls = trial.load.calls
    counts = make_counts(plan.name, context.trial.seed, calls, truth, setting)
    counts.notes |= context.notes
    counts.notes["withdrawn"] = sorted(setting.withdrawn_at)
    counts.notes["withdrawal_reasons"] = sorted(
        {
            f"{record['version']}: {record['reason']}"
            for record in context.fleet.records()
            if record.get("type") == "withdrawal"
        }
    )
    if plan.check is not None:
        plan.check(context, truth, counts)
    return counts


def first_withdrawal_times(fleet: Fleet) -> dict[str, float]:
    """Returns the earliest withdrawal time of each version on the log."""
    times: dict[str, float] = {}
    for record in fleet.records():
        if record.get("type") == "withdrawal":
            first_at = min(
                times.get(record["version"], record["at"]), record["at"]
            )
            times[record["version"]] = first_at
    return times


def set_engine_faults(context: ScenarioContext, **faults: Any) -> None:
    """Sets faults on all engines concurrently."""
    requests = [
        gevent.spawn(engine.fault, **faults) for engine in context.fleet.engines
    ]
    gevent.joinall(requests, raise_error=True)
