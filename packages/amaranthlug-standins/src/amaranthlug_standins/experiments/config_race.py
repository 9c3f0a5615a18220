"""Two operators publish concurrently while a version is withdrawn."""

import collections
import dataclasses
import random
import time
from collections.abc import Mapping

import gevent

from amaranthlug.state.records import Withdrawal
from amaranthlug_standins.builders import make_publication
from amaranthlug_standins.calls import Call
from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.config_watch import (
    RevisionWatcher,
    count_nodes_behind,
)
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.deployments import hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import Progress, Trial

LOAD_S = 16.0
REQUESTS_PER_S = 30.0
WITHDRAW_AFTER_S = 6.0
ROUND_INTERVAL_S = 0.4
MAX_JITTER_S = 0.03
"""Time between rounds of publications, and random delay of each operator."""

OPERATORS = {"ops-north": "keelung-harbour", "ops-south": "hualien-coast"}
"""Operator -> organisation whose limits it changes."""


@dataclasses.dataclass
class ConfigRace:
    """Concurrent publications of the operators, and one withdrawal."""

    fleet: Fleet
    calls: list[Call]
    rng: random.Random
    publication_count: int = 0
    withdrawn: str = ""
    withdrawn_at: float = 0.0

    def publish_repeatedly(self, operator: str, organisation: str) -> None:
        """Publishes changes based on the revision that a random node has."""
        path = f"organisations/{organisation}"
        started_at = time.monotonic()
        for round_number in range(1, int(LOAD_S / ROUND_INTERVAL_S)):
            # Both operators publish at almost the same time, so that they race.
            due = (
                started_at
                + round_number * ROUND_INTERVAL_S
                + self.rng.uniform(0, MAX_JITTER_S)
            )
            gevent.sleep(max(0.0, due - time.monotonic()))
            status = self.rng.choice(self.fleet.nodes).status()
            if status is None:
                continue
            gevent.sleep(self.rng.uniform(0, MAX_JITTER_S))
            body = dict(self.fleet.published_parts()[path])
            body["limits"] = {
                **body["limits"],
                "streams": 60 + self.rng.randrange(100),
            }
            self.fleet.append(
                make_publication(
                    {path: body},
                    base=int(status["revision"]),
                    operator=operator,
                )
            )
            self.publication_count += 1

    def withdraw_most_used(self) -> None:
        """Withdraws the most used version in the middle of the load."""
        gevent.sleep(WITHDRAW_AFTER_S)
        usage = collections.Counter(
            call.version
            for call in self.calls
            if call.version in self.deployed_versions()
        )
        self.withdrawn = usage.most_common(1)[0][0]
        self.fleet.append(
            Withdrawal(
                id=f"withdrawal-{self.withdrawn}-0",
                at=time.time(),
                version=self.withdrawn,
                epoch=0,
                reason="operator",
                operator="ops-north",
            )
        )
        self.withdrawn_at = time.time()

    def deployed_versions(self) -> set[str]:
        """Returns the versions of the deployment."""
        return {str(version) for version in self.fleet.deployment.qualities}


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    fleet = Fleet(hengyun(), FleetOptions(seed=seed))
    with fleet:
        fleet.start()
        mix = sample_mix(fleet.deployment, REQUESTS_PER_S, LOAD_S)
        trial = Trial.from_mix("config-race", seed, fleet, mix)
        race = ConfigRace(fleet, trial.load.calls, random.Random(seed))
        watcher = RevisionWatcher(fleet.nodes)
        watch_task = gevent.spawn(watcher.run)
        tasks = [
            gevent.spawn(race.publish_repeatedly, *operator)
            for operator in OPERATORS.items()
        ]
        tasks.append(gevent.spawn(race.withdraw_most_used))
        trial.load.run(progress)
        gevent.joinall(tasks, raise_error=True)
        accepted = [
            revision.offset for revision in accepted_revisions(fleet.records())
        ]
        behind_count = count_nodes_behind(fleet.nodes, accepted[-1])
        watch_task.kill()
        setting = trial.setting(
            withdrawn_at={race.withdrawn: race.withdrawn_at}
        )
        counts = trial.finish(setting)
    counts.config_reverted = watcher.revert_count
    counts.config_not_in_force = behind_count
    counts.notes["withdrawn"] = race.withdrawn
    counts.notes["published"] = race.publication_count
    counts.notes["accepted"] = len(accepted) - 1
    return {fleet.deployment.name: counts}
