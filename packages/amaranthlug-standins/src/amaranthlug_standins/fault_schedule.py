"""A load on one fleet with faults at stated times, from start to counts."""

import collections
import dataclasses
import random
import time
from collections.abc import Callable, Mapping
from typing import Any

import gevent

from amaranthlug_standins.counts import Counts, count
from amaranthlug_standins.deployments import Deployment, hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.load import Mix
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import Progress, Trial
from amaranthlug_standins.truth import Truth

ACT_LIMIT_S = 30.0
"""Longest wait for acts that still run when the load has ended."""


class ScheduleError(Exception):
    """An act of a schedule did not end in time."""


@dataclasses.dataclass
class ScenarioContext:
    """What acts and checks work on.

    Attributes:
        random: Source of the choices of the acts.
        at: Wall-clock time at which each act began, by name.
        notes: Figures of the acts; they go into the counts.
        results: What acts leave for the check.
        bad_since: Wall-clock time from which each bad version is bad.
    """

    fleet: Fleet
    trial: Trial
    random: random.Random
    action_times: dict[str, float] = dataclasses.field(default_factory=dict)
    notes: dict[str, Any] = dataclasses.field(default_factory=dict)
    results: dict[str, Any] = dataclasses.field(default_factory=dict)
    bad_since: dict[str, float] = dataclasses.field(default_factory=dict)

    def answers_by_version(self) -> collections.Counter[str]:
        """Counts the answered chat calls by version."""
        return collections.Counter(
            call.version
            for call in self.trial.load.calls
            if call.version and not call.service and call.whole
        )


@dataclasses.dataclass(frozen=True)
class ScheduledAction:
    """Something that happens at a time of the load, in seconds."""

    at_s: float
    name: str
    run: Callable[[ScenarioContext], None]


@dataclasses.dataclass(frozen=True)
class Plan:
    """A scenario of one fleet under one load.

    Attributes:
        length_s: Seconds of load.
        rate: Requests a second.
        acts: What happens meanwhile.
        check: Adds figures and failures that only this scenario has.
        mix: Changes the sample mix.
        deployment: Changes the sample deployment.
        prepare: Changes the trial before the load starts.
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
        ScheduleError: An act did not end in time.
    """
    options = dataclasses.replace(plan.options, seed=seed)
    with Fleet(plan.deployment(), options) as fleet:
        fleet.start()
        mix = plan.mix(sample_mix(fleet.deployment, plan.rate, plan.length_s))
        trial = Trial.from_mix(plan.name, seed, fleet, mix)
        context = ScenarioContext(fleet, trial, random.Random(seed))
        if plan.prepare is not None:
            plan.prepare(context)
        actions = [
            gevent.spawn(run_scheduled_action, action, context)
            for action in plan.actions
        ]
        try:
            trial.load.run(progress)
            gevent.joinall(actions, timeout=ACT_LIMIT_S, raise_error=True)
            if not all(action.ready() for action in actions):
                raise ScheduleError("an act has not ended")
        finally:
            gevent.killall(actions)
        counts = count_stage(plan, context)
    return {fleet.deployment.name: counts}


def run_scheduled_action(
    action: ScheduledAction, context: ScenarioContext
) -> None:
    """Waits for the time of an act and runs it."""
    gevent.sleep(action.at_s)
    context.action_times[action.name] = time.time()
    action.run(context)


def count_stage(plan: Plan, context: ScenarioContext) -> Counts:
    """Waits for the bills, counts and applies the check of the scenario."""
    trial = context.trial
    truth = trial.settle()
    trial.record(truth)
    setting = trial.setting(
        withdrawn_at=first_withdrawal_times(context.fleet),
        bad_since=context.bad_since,
    )
    calls = trial.load.calls
    counts = count(plan.name, context.trial.seed, calls, truth, setting)
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
    """Returns when each version was first withdrawn, by its record."""
    found: dict[str, float] = {}
    for record in fleet.records():
        if record.get("type") == "withdrawal":
            first_at = min(
                found.get(record["version"], record["at"]), record["at"]
            )
            found[record["version"]] = first_at
    return found


def set_engine_faults(context: ScenarioContext, **faults: Any) -> None:
    """Merges fault switches at all engines at the same time."""
    actions = [
        gevent.spawn(engine.fault, **faults) for engine in context.fleet.engines
    ]
    gevent.joinall(actions, raise_error=True)
