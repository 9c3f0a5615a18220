"""Two operators publish against each other while a version is withdrawn."""

import collections
import dataclasses
import random
import time
from collections.abc import Mapping

import gevent

from amaranthlug.state.records import Withdrawal
from amaranthlug_standins.builders import make_publication
from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.deployments import hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.history import Call
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.trial import Progress, Trial

LOAD_S = 16.0
RATE = 30.0
WITHDRAW_AFTER_S = 6.0
ROUND_S = 0.4
SPREAD_S = 0.03
"""Rounds of publications and the spread of the operators within one."""

IN_FORCE_LIMIT_S = 12.0
"""Seconds until an accepted configuration must be in force everywhere."""

OPERATORS = {"ops-north": "keelung-harbour", "ops-south": "hualien-coast"}
"""Operators with the organisation whose limits each one changes."""


@dataclasses.dataclass
class Race:
    """Operators, the withdrawal and a watch over the nodes' revisions."""

    fleet: Fleet
    calls: list[Call]
    source: random.Random
    reverted: int = 0
    published: int = 0
    withdrawn: str = ""
    withdrawn_at: float = 0.0
    highest: dict[str, int] = dataclasses.field(default_factory=dict)

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
            body = dict(self.fleet.wired_parts()[path])
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

    def watch(self) -> None:
        """Counts how often a node's revision falls."""
        while True:
            gevent.sleep(0.2)
            for node in self.fleet.nodes:
                status = node.status()
                if status is None:
                    continue
                revision = int(status["revision"])
                if revision < self.highest.get(node.address, revision):
                    self.reverted += 1
                self.highest[node.address] = revision

    def nodes_behind(self, revision: int) -> int:
        """Returns the number of nodes below a revision at the limit."""
        ends = time.monotonic() + IN_FORCE_LIMIT_S
        behind = len(self.fleet.nodes)
        while behind and time.monotonic() < ends:
            statuses = [node.status() for node in self.fleet.nodes]
            behind = sum(
                status is None or int(status["revision"]) != revision
                for status in statuses
            )
            gevent.sleep(0.1)
        return behind


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    fleet = Fleet(hengyun(), FleetOptions(seed=seed))
    with fleet:
        fleet.start()
        mix = sample_mix(fleet.deployment, RATE, LOAD_S)
        trial = Trial.from_mix("config-race", seed, fleet, mix)
        race = Race(fleet, trial.load.calls, random.Random(seed))
        watch = gevent.spawn(race.watch)
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
        behind = race.nodes_behind(accepted[-1])
        watch.kill()
        setting = trial.setting(
            withdrawn_at={race.withdrawn: race.withdrawn_at}
        )
        counts = trial.finish(setting)
    counts.config_reverted = race.reverted
    counts.config_not_in_force = behind
    counts.notes["withdrawn"] = race.withdrawn
    counts.notes["published"] = race.published
    counts.notes["accepted"] = len(accepted) - 1
    return {fleet.deployment.name: counts}
