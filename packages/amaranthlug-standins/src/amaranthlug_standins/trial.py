"""Runs one load on one fleet and counts the results."""

import dataclasses
import time
from collections.abc import Callable

import gevent

from amaranthlug_standins.counts import Counts, Setting, make_counts
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.load import Load, Mix
from amaranthlug_standins.promise_checks import check_bills
from amaranthlug_standins.run_history import (
    Act,
    History,
    ObservedRevision,
    Recording,
)
from amaranthlug_standins.truth import Truth

BILL_WAIT_LIMIT_S = 8.0
"""Longest wait for bills: four times the 2 s between bill chunks."""

BILL_POLL_S = 0.5

Progress = Callable[[float], None]


def ignore_progress(seconds: float) -> None:
    """Discards the progress."""


@dataclasses.dataclass
class Trial:
    """A started fleet and the load that is run on it."""

    scenario: str
    seed: int
    fleet: Fleet
    load: Load
    acts: list[Act] = dataclasses.field(default_factory=list)
    revisions: list[ObservedRevision] = dataclasses.field(default_factory=list)

    @classmethod
    def from_mix(
        cls, scenario: str, seed: int, fleet: Fleet, mix: Mix
    ) -> "Trial":
        """Creates a trial with a load of the given mix."""
        addresses = [node.address for node in fleet.nodes]
        name = f"{fleet.deployment.name}-{scenario}"
        load = Load(mix, fleet.deployment.catalog, addresses, seed, name)
        if fleet.fault_links is not None:
            load.clients.via.update(fleet.fault_links.caller_via)
        return cls(scenario, seed, fleet, load)

    def setting(self, **values: object) -> Setting:
        """Returns the setting of the counts; the first third is the warm-up."""
        deployment = self.fleet.deployment
        setting = Setting(deployment.catalog, deployment.qualities)
        calls = self.load.calls
        if calls:
            warm_up_s = self.load.mix.duration_s / 3
            values.setdefault("warm_until", calls[0].due_at + warm_up_s)
        return dataclasses.replace(setting, **values)  # type: ignore[arg-type]

    def truth(self) -> Truth:
        """Reads the ground truth from engines, services and the log."""
        fleet = self.fleet
        return Truth.collect(
            [
                {**engine.seen(), "upstream": engine.published_address}
                for engine in fleet.engines
            ],
            [service.seen() for service in fleet.services],
            fleet.records(),
        )

    def wait_for_bills(self) -> Truth:
        """Waits until no due bill is missing, or for the limit."""
        started_at = time.monotonic()
        while True:
            truth = self.truth()
            is_missing = any(
                not call.service and check_bills(call, truth).is_missing
                for call in self.load.calls
            )
            if (
                not is_missing
                or time.monotonic() - started_at > BILL_WAIT_LIMIT_S
            ):
                return truth
            gevent.sleep(BILL_POLL_S)

    def history(self, truth: Truth) -> History:
        """Returns the history that the rules check."""
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

    def record_history(self, truth: Truth) -> None:
        """Adds the history to the current recording, if there is one."""
        if Recording.current is not None:
            Recording.current.histories.append(self.history(truth))

    def finish(self, setting: Setting | None = None) -> Counts:
        """Waits for the bills, records the history and counts the run."""
        truth = self.wait_for_bills()
        self.record_history(truth)
        return make_counts(
            self.scenario,
            self.seed,
            self.load.calls,
            truth,
            setting or self.setting(),
        )


def start_fleets(fleets: list[Fleet]) -> None:
    """Starts fleets concurrently; stops all of them if one fails."""
    starts = [gevent.spawn(fleet.start) for fleet in fleets]
    try:
        gevent.joinall(starts, raise_error=True)
    except BaseException:
        gevent.joinall(starts)
        stop_fleets(fleets)
        raise


def stop_fleets(fleets: list[Fleet]) -> None:
    """Stops fleets concurrently."""
    gevent.joinall([gevent.spawn(fleet.stop) for fleet in fleets])


def run_loads(trials: list[Trial], progress: Progress) -> None:
    """Runs loads concurrently; only the first one reports progress."""
    runs = [gevent.spawn(trial.load.run) for trial in trials[1:]]
    trials[0].load.run(progress)
    gevent.joinall(runs, raise_error=True)


def finish_all(trials: list[Trial]) -> dict[str, Counts]:
    """Finishes all trials and returns their counts by deployment."""
    finishes = [gevent.spawn(trial.finish) for trial in trials]
    gevent.joinall(finishes, raise_error=True)
    return {
        trial.fleet.deployment.name: finish.value
        for trial, finish in zip(trials, finishes, strict=True)
    }
