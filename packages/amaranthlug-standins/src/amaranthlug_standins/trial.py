"""One load on one fleet, from start to counts."""

import dataclasses
import time
from collections.abc import Callable

import gevent

from amaranthlug_standins.counts import Counts, Setting, count
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.load import Load, Mix
from amaranthlug_standins.promise_checks import billed
from amaranthlug_standins.run_history import (
    Act,
    History,
    Recording,
    RevisionSeen,
)
from amaranthlug_standins.truth import Truth

SETTLE_LIMIT_S = 8.0
"""Longest wait for bills: four chunk periods of 2 s."""

SETTLE_POLL_S = 0.5

Progress = Callable[[float], None]


def ignore_progress(seconds: float) -> None:
    """Shows nothing."""


@dataclasses.dataclass
class Trial:
    """A started fleet with a load."""

    scenario: str
    seed: int
    fleet: Fleet
    load: Load
    acts: list[Act] = dataclasses.field(default_factory=list)
    revisions: list[RevisionSeen] = dataclasses.field(default_factory=list)

    @classmethod
    def from_mix(
        cls, scenario: str, seed: int, fleet: Fleet, mix: Mix
    ) -> "Trial":
        """Prepares a load on a started fleet."""
        seeds = [node.address for node in fleet.nodes]
        name = f"{fleet.deployment.name}-{scenario}"
        load = Load(mix, fleet.deployment.catalog, seeds, seed, name)
        if fleet.fault_links is not None:
            load.clients.via.update(fleet.fault_links.caller_via)
        return cls(scenario, seed, fleet, load)

    def setting(self, **values: object) -> Setting:
        """Returns what the counts need to know; the warm-up is a third."""
        deployment = self.fleet.deployment
        setting = Setting(deployment.catalog, deployment.qualities)
        calls = self.load.calls
        if calls:
            warm_s = self.load.mix.duration_s / 3
            values.setdefault("warm_until", calls[0].due_at + warm_s)
        return dataclasses.replace(setting, **values)  # type: ignore[arg-type]

    def truth(self) -> Truth:
        """Reads the ground truth."""
        fleet = self.fleet
        return Truth.collect(
            [
                {**engine.seen(), "upstream": engine.published_address}
                for engine in fleet.engines
            ],
            [service.seen() for service in fleet.services],
            fleet.records(),
        )

    def settle(self) -> Truth:
        """Waits until every call that ran has a bill, or for the limit."""
        started = time.monotonic()
        while True:
            truth = self.truth()
            missing = any(
                not call.service and billed(call, truth).missing
                for call in self.load.calls
            )
            if not missing or time.monotonic() - started > SETTLE_LIMIT_S:
                return truth
            gevent.sleep(SETTLE_POLL_S)

    def history(self, truth: Truth) -> History:
        """Returns the recorded history for the rules."""
        return History.from_truth(
            self.load.calls,
            truth,
            self.fleet.records(),
            scenario=self.scenario,
            deployment=self.fleet.deployment.name,
            seed=self.seed,
            acts=self.acts,
            revisions=self.revisions,
        )

    def record(self, truth: Truth) -> None:
        """Adds the history to the recording, if there is one."""
        if Recording.current is not None:
            Recording.current.histories.append(self.history(truth))

    def finish(self, setting: Setting | None = None) -> Counts:
        """Waits for the bills and counts the run."""
        truth = self.settle()
        self.record(truth)
        return count(
            self.scenario,
            self.seed,
            self.load.calls,
            truth,
            setting or self.setting(),
        )


def start_fleets(fleets: list[Fleet]) -> None:
    """Starts fleets beside each other; stops all if one fails."""
    starts = [gevent.spawn(fleet.start) for fleet in fleets]
    try:
        gevent.joinall(starts, raise_error=True)
    except BaseException:
        gevent.joinall(starts)
        stop_fleets(fleets)
        raise


def stop_fleets(fleets: list[Fleet]) -> None:
    """Stops fleets beside each other."""
    gevent.joinall([gevent.spawn(fleet.stop) for fleet in fleets])


def run_loads(trials: list[Trial], progress: Progress) -> None:
    """Runs loads beside each other; the first one reports progress."""
    runs = [gevent.spawn(trial.load.run) for trial in trials[1:]]
    trials[0].load.run(progress)
    gevent.joinall(runs, raise_error=True)


def finish_all(trials: list[Trial]) -> dict[str, Counts]:
    """Counts all runs by deployment."""
    finishes = [gevent.spawn(trial.finish) for trial in trials]
    gevent.joinall(finishes, raise_error=True)
    return {
        trial.fleet.deployment.name: finish.value
        for trial, finish in zip(trials, finishes, strict=True)
    }
