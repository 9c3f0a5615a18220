"""Two operators publish against each other while a version is withdrawn."""

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
RATE = 30.0
WITHDRAW_AFTER_S = 6.0
ROUND_S = 0.4
SPREAD_S = 0.03
"""Rounds of publications and the spread of the operators within one."""

OPERATORS = {"ops-north": "keelung-harbour", "ops-south": "hualien-coast"}
"""Operators with the organisation whose limits each one changes."""


@dataclasses.dataclass
class Race:
    """Operators and the withdrawal."""

    fleet: Fleet
    calls: list[Call]
    source: random.Random
    published: int = 0
    withdrawn: str = ""
    withdrawn_at: float = 0.0

    def operate(self, operator: str, organisation: str) -> None:
        """Publishes changes against the revision that some node has."""
        path = f"organisations/{organisation}"
        started = time.monotonic()
        for number in range(1, int(LOAD_S / ROUND_S)):
            # Both operators act in the same moment, so that they do race.
            due = started + number * ROUND_S + self.source.uniform(0, SPREAD_S)
            gevent.sleep(max(0.0, due - time.monotonic()))
            status = self.source.choice(self.fleet.nodes).status()
            if status is None:
                continue
            gevent.sleep(self.source.uniform(0, SPREAD_S))
            body = dict(self.fleet.published_parts()[path])
            body["limits"] = {
                **body["limits"],
                "streams": 60 + self.source.randrange(100),
            }
            self.fleet.append(
                make_publication(
                    {path: body},
                    base=int(status["revision"]),
                    operator=operator,
                )
            )
            self.published += 1

    def withdraw(self) -> None:
        """Withdraws the version in most use in the middle of the load."""
        gevent.sleep(WITHDRAW_AFTER_S)
        used = collections.Counter(
            call.version for call in self.calls if call.version in self.known()
        )
        self.withdrawn = used.most_common(1)[0][0]
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

    def known(self) -> set[str]:
        """Returns the versions of the deployment."""
        return {str(version) for version in self.fleet.deployment.qualities}


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    fleet = Fleet(hengyun(), FleetOptions(seed=seed))
    with fleet:
        fleet.start()
        mix = sample_mix(fleet.deployment, RATE, LOAD_S)
        trial = Trial.from_mix("config-race", seed, fleet, mix)
        race = Race(fleet, trial.load.calls, random.Random(seed))
        watch = RevisionWatcher(fleet.nodes)
        watching = gevent.spawn(watch.run)
        acts = [
            gevent.spawn(race.operate, *operator)
            for operator in OPERATORS.items()
        ]
        acts.append(gevent.spawn(race.withdraw))
        trial.load.run(progress)
        gevent.joinall(acts, raise_error=True)
        accepted = [
            found.offset for found in accepted_revisions(fleet.records())
        ]
        behind = count_nodes_behind(fleet.nodes, accepted[-1])
        watching.kill()
        setting = trial.setting(
            withdrawn_at={race.withdrawn: race.withdrawn_at}
        )
        counts = trial.finish(setting)
    counts.config_reverted = watch.revert_count
    counts.config_not_in_force = behind
    counts.notes["withdrawn"] = race.withdrawn
    counts.notes["published"] = race.published
    counts.notes["accepted"] = len(accepted) - 1
    return {fleet.deployment.name: counts}
