"""Finds versions and servers that turn out bad, by pooled evidence."""

import dataclasses
import math
from collections.abc import Callable, Mapping
from typing import Protocol

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.catalog import Catalog, Rollout, VersionId
from amaranthlug.state.evidence import Cell, Evidence, Tally, version_label
from amaranthlug.state.quality_test import (
    LIMIT_PROVEN,
    LIMIT_UNPROVEN,
    RatioTest,
    log_ratio,
    max_acceptable_bad,
)
from amaranthlug.state.rollouts import RolloutStates, new_version, old_version

PERIOD_S = 0.5
"""Period of the test, in seconds; well within the 3 s for a withdrawal."""

LEAST_FAILED = 0.02
"""Share of failed requests that is always acceptable."""

REFERENCE_RATED = 50
"""Ratings after which a version's own past serves as its reference."""

RESTART_OUTCOMES = 20
"""Outcomes after which a test that speaks for the version restarts."""

REST_IS_BAD = 2.5
"""Log ratio of the better half of the servers above which the fault lies with
the version: two bad ratings, as a single one also happens to a good version.
Leaving out only one server withdrew all versions when three of nine servers
cut their streams."""

CALM_OUTCOMES = 10
"""Successes assumed of the other versions, so that a few outcomes of theirs do
not decide."""

PROVEN_RATED = 30
"""Ratings after which a version outside a roll-out counts as proven."""


class CatalogReader(Protocol):
    """The configuration in force."""

    def catalog(self) -> Catalog:
        """Returns the newest accepted configuration."""
        ...

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tells whether a version may receive no new work."""
        ...


@dataclasses.dataclass
class Baseline:
    """Counters when the test of a version last restarted.

    Attributes:
        cells: By kind and difficulty.
        reference: Share of bad outcomes before that.
        servers: By server, at the same time as `cells`.
        own: By server, when the server's own test last restarted.
        ejected: Servers whose outcomes do not speak against the version.
        total: Over all cells.
        others: Good and bad requests of all other versions at that time.
    """

    cells: dict[Cell, Tally] = dataclasses.field(default_factory=dict)
    reference: dict[Cell, float] = dataclasses.field(default_factory=dict)
    servers: dict[str, Tally] = dataclasses.field(default_factory=dict)
    own: dict[str, Tally] = dataclasses.field(default_factory=dict)
    ejected: set[str] = dataclasses.field(default_factory=set)
    total: Tally = dataclasses.field(default_factory=Tally)
    others: tuple[int, int] = (0, 0)


@dataclasses.dataclass(frozen=True)
class Finding:
    """Result of one test.

    Attributes:
        value: Log ratio over all servers that are not ejected.
        rest: Log ratio without those servers, up to half, that look bad.
        alone: Only one server has run the version.
        limit: Average acceptable share of bad outcomes.
    """

    value: float
    rest: float
    alone: bool
    limit: float


def outcomes(tally: Tally, base: Tally, failures: bool) -> tuple[int, int]:
    """Returns good and bad outcomes of ratings, or of whole requests."""
    if failures:
        return tally.complete - base.complete, tally.failed - base.failed
    return tally.good - base.good, tally.bad - base.bad


class WithdrawalWatch:
    """Tests each version; every node reaches the same result by itself."""

    def __init__(
        self,
        catalog: CatalogReader,
        evidence: Evidence,
        rollouts: RolloutStates,
        withdraw: Callable[[VersionId, str], None],
        eject: Callable[[str, VersionId, str], None],
        metrics: Metrics,
        epoch: Callable[[VersionId], int] = lambda version: 0,
    ):
        """Creates a watch.

        Args:
            catalog: Configuration in force.
            evidence: Pooled counters.
            rollouts: Stages of roll-outs.
            withdraw: Takes a version out of service everywhere.
            eject: Keeps a version off one server (address, version, reason)
                for some minutes; its test then starts anew.
            metrics: Counters.
            epoch: Number of readmissions of a version.
        """
        self.view = catalog
        self.evidence = evidence
        self.rollouts = rollouts
        self.withdraw = withdraw
        self.eject = eject
        self.metrics = metrics
        self.epoch = epoch
        self.baselines: dict[str, Baseline] = {}
        self.doubts: dict[str, float] = {}

    def start(self, timers: TimerService) -> None:
        """Tests all versions periodically."""
        timers.every("withdrawal-watch", PERIOD_S, self.check)

    def label(self, version: VersionId) -> str:
        """Returns the version's name in rows of evidence."""
        return version_label(version, self.epoch(version))

    def introducing(self, version: VersionId) -> Rollout | None:
        """Returns the unfinished roll-out that introduces a version."""
        for rollout in self.view.catalog().rollouts.values():
            if new_version(rollout) == version:
                return None if self.rollouts.is_done(rollout) else rollout
        return None

    def is_proven(self, version: VersionId) -> bool:
        """Tells whether a version has shown what it does."""
        if self.introducing(version) is not None:
            return False
        label = self.label(version)
        rated = self.evidence.by_version(label).rated
        declared = self.view.catalog().versions.get(version)
        if declared and label == str(version):
            rated += declared.prior_ratings
        return rated >= PROVEN_RATED

    def relative_log_ratio(self, version: VersionId) -> float:
        """Returns the log ratio's part of its limit, below 0 if it is good."""
        return self.doubts.get(self.label(version), 0.0)

    def check(self) -> None:
        """Tests all versions once; withdraws and ejects."""
        for version in list(self.view.catalog().versions):
            if not self.view.is_withdrawn(version):
                self._check_version(version)

    def _check_version(self, version: VersionId) -> None:
        label = self.label(version)
        rollout = self.introducing(version)
        limit = LIMIT_PROVEN if rollout is None else LIMIT_UNPROVEN
        base = self.baselines.setdefault(label, Baseline())
        highest = -math.inf
        for failures in (False, True):
            found = self._find(label, rollout, base, failures)
            self._check_servers(version, base, found, failures, limit)
            highest = max(highest, found.value / limit)
            if found.value > limit:
                word = "failures" if failures else "ratings"
                self._act(version, found, word)
        self.doubts[label] = highest
        if rollout is None and highest <= 0:
            self._restart(label, base)

    def _act(self, version: VersionId, found: Finding, word: str) -> None:
        evidence = f"{word}: log ratio {found.value:.1f}"
        if not self._servers_known(self.label(version)):
            return
        if found.alone and self._server_fails_elsewhere(version):
            return
        if found.alone or found.rest > REST_IS_BAD:
            self.metrics.incr("policy.withdrawn")
            self.withdraw(version, f"bad {evidence}")

    def _servers_known(self, label: str) -> bool:
        """Tells whether most outcomes can be attributed to servers.

        Snapshots of evidence have no servers, so a node that has just started
        cannot yet tell a bad version from a version on one bad server.
        """
        servers = self.evidence.by_server(label).values()
        known = sum(t.rated + t.complete + t.failed for t in servers)
        total = self.evidence.by_version(label)
        return 2 * known >= total.rated + total.complete + total.failed > 0

    def _check_servers(
        self,
        version: VersionId,
        base: Baseline,
        found: Finding,
        failures: bool,
        limit: float,
    ) -> None:
        """Ejects servers that are bad while the others are good.

        The limit grows with the number of servers, because each of them is
        one more chance of a false alarm.
        """
        servers = self.evidence.by_server(self.label(version))
        if found.alone or found.rest > REST_IS_BAD:
            return
        for address, tally in servers.items():
            known = base.own.get(address, Tally())
            good, bad = outcomes(tally, known, failures)
            if log_ratio(good, bad, found.limit) > limit + math.log(
                len(servers)
            ):
                self.metrics.incr("policy.server_ejected")
                base.ejected.add(address)
                base.own[address] = dataclasses.replace(tally)
                self.eject(address, version, "bad server by its outcomes")

    def _server_fails_elsewhere(self, version: VersionId) -> bool:
        """Ejects the only server that ran a version if others fail there."""
        (address,) = self.evidence.by_server(self.label(version))
        for other in self.view.catalog().versions:
            tally = self.evidence.by_server(self.label(other)).get(address)
            if other == version or tally is None:
                continue
            past = self._own_share(self.label(other), failures=True)
            good, bad = outcomes(tally, Tally(), failures=True)
            if (
                log_ratio(good, bad, max_acceptable_bad(past, LEAST_FAILED))
                > REST_IS_BAD
            ):
                self.eject(address, version, f"{other} fails there too")
                return True
        return False

    def _others(self, label: str) -> tuple[int, int]:
        """Returns good and bad outcomes of requests to other versions."""
        tallies = [
            self.evidence.by_version(self.label(other))
            for other in self.view.catalog().versions
            if self.label(other) != label
        ]
        found = [outcomes(tally, Tally(), True) for tally in tallies]
        return sum(good for good, _ in found), sum(bad for _, bad in found)

    def _share_of_others(self, label: str, base: Baseline) -> float:
        """Returns the share of failures of others since the test restarted.

        Lost servers and a cut network fail all versions alike, which says
        nothing against one of them: without this reference a few faults at
        once withdrew every version of a small fleet.
        """
        good, bad = self._others(label)
        good, bad = max(0, good - base.others[0]), max(0, bad - base.others[1])
        return bad / (good + bad + CALM_OUTCOMES)

    def _own_share(self, label: str, failures: bool) -> float:
        good, bad = outcomes(self.evidence.by_version(label), Tally(), failures)
        return bad / (good + bad) if good + bad >= REFERENCE_RATED else 0.0

    def _find(
        self,
        label: str,
        rollout: Rollout | None,
        base: Baseline,
        failures: bool,
    ) -> Finding:
        test = RatioTest()
        if failures:
            past = base.reference.get(Cell(label), 0.0)
            shared = self._share_of_others(label, base)
            limit = max_acceptable_bad(max(past, shared), LEAST_FAILED)
            total = self.evidence.by_version(label)
            good, bad = outcomes(total, base.total, True)
            test.add(good, bad, limit)
        else:
            limit = self._add_ratings(test, label, rollout, base)
        servers = self.evidence.by_server(label)
        if len(servers) < 2:
            return Finding(test.value(), test.value(), True, limit)
        return self._leave_out(test, servers, base, limit, failures)

    def _add_ratings(
        self,
        test: RatioTest,
        label: str,
        rollout: Rollout | None,
        base: Baseline,
    ) -> float:
        """Adds ratings by cell; returns the average acceptable share."""
        weight = limits = 0.0
        for cell, tally in list(self.evidence.pool.items()):
            if cell.version != label or cell.server:
                continue
            known = base.cells.get(cell, Tally())
            good, bad = outcomes(tally, known, False)
            past = self._reference(cell, rollout, base)
            if past is None or good + bad <= 0:
                continue
            limit = max_acceptable_bad(past)
            test.add(good, bad, limit)
            weight += good + bad
            limits += limit * (good + bad)
        return limits / weight if weight else max_acceptable_bad(0.0)

    def _reference(
        self, cell: Cell, rollout: Rollout | None, base: Baseline
    ) -> float | None:
        """Returns the share of bad answers to compare with.

        A version in a roll-out is compared with the one it replaces, any
        other with its own past; without a past it is not tested, as a cheap
        version that fails hard requests is unsuitable rather than bad.
        """
        if rollout is None:
            return base.reference.get(cell)
        catalog = self.view.catalog()
        replaced = dataclasses.replace(
            cell, version=self.label(old_version(rollout))
        )
        if self.evidence.pooled(replaced).rated >= REFERENCE_RATED:
            return 1 - self.evidence.bounds(replaced, 0.5).lower
        declared = catalog.versions.get(new_version(rollout))
        return 1 - (declared.prior_quality if declared else 0.5)

    def _leave_out(
        self,
        test: RatioTest,
        servers: Mapping[str, Tally],
        base: Baseline,
        limit: float,
        failures: bool,
    ) -> Finding:
        rated: list[tuple[float, int, int]] = []
        for address, tally in servers.items():
            known = base.servers.get(address, Tally())
            good, bad = outcomes(tally, known, failures)
            if address in base.ejected:
                test.add(good, bad, limit, sign=-1)
            else:
                rated.append((log_ratio(good, bad, limit), good, bad))
        rest = RatioTest(list(test.log_ratios))
        rated.sort(reverse=True)
        for number, (value, good, bad) in enumerate(rated[: len(servers) // 2]):
            if value > 0 or (number == 0 and bad):
                rest.add(good, bad, limit, sign=-1)
        return Finding(test.value(), rest.value(), False, limit)

    def _restart(self, label: str, base: Baseline) -> None:
        """Restarts the test of a proven version when it speaks for it."""
        total = self.evidence.by_version(label)
        grown = total.rated + total.complete + total.failed
        known = base.total.rated + base.total.complete + base.total.failed
        if grown - known < RESTART_OUTCOMES:
            return
        for cell, tally in self.evidence.pool.items():
            if cell.version != label or cell.server:
                continue
            base.cells[cell] = dataclasses.replace(tally)
            if tally.rated >= REFERENCE_RATED:
                bounds = self.evidence.bounds(cell, 0.5)
                base.reference[cell] = 1 - bounds.lower
        base.reference[Cell(label)] = self._own_share(label, failures=True)
        base.others = self._others(label)
        base.total = dataclasses.replace(total)
        servers = self.evidence.by_server(label)
        base.servers = {
            name: dataclasses.replace(sums) for name, sums in servers.items()
        }
        base.ejected.clear()
        for address, tally in list(servers.items()):
            if self._speaks_for(tally, base.own.get(address, Tally())):
                base.own[address] = dataclasses.replace(tally)

    def _speaks_for(self, tally: Tally, known: Tally) -> bool:
        """Tells whether a server's outcomes since `known` are all right."""
        return all(
            log_ratio(
                *outcomes(tally, known, failures), max_acceptable_bad(0.0)
            )
            <= 0
            for failures in (False, True)
        )
