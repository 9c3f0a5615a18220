"""Detects bad versions and bad servers from the pooled evidence."""

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
"""Period of the test, in seconds. A withdrawal has to be complete in 3 s."""

MIN_FAILED_SHARE = 0.02
"""Share of failed requests that is acceptable for any version."""

MIN_REFERENCE_RATINGS = 50
"""Ratings from which a version's own history is its reference."""

RESTART_OUTCOMES = 20
"""New outcomes after which a test without evidence against its version
restarts."""

VERSION_FAULT_LOG_RATIO = 2.5
"""Log ratio of the better half of the servers above which the version is at
fault. It corresponds to two bad ratings, because a good version also gets a
single one. Leaving out only the worst server withdrew every version when three
of nine servers cut their streams."""

ASSUMED_SUCCESSES = 10
"""Successes added to the outcomes of the other versions, so that a few of their
failures do not raise the reference share much."""

MIN_PROVEN_RATINGS = 30
"""Ratings from which a version outside a roll-out counts as proven."""


class CatalogReader(Protocol):
    """Read access to the configuration in force."""

    def catalog(self) -> Catalog:
        """Returns the newest accepted configuration."""
        ...

    def is_withdrawn(self, version: VersionId) -> bool:
        """Returns whether a version must not receive new requests."""
        ...


@dataclasses.dataclass
class Baseline:
    """Counters at the last restart of a version's test.

    Attributes:
        cells: Counters by kind and difficulty.
        reference: Share of bad outcomes before the restart.
        servers: Counters by server, at the same time as `cells`.
        server_baselines: Counters by server at the restart of its own test.
        ejected: Servers whose outcomes are left out of the test.
        total: Counters over all cells.
        others: Successful and failed requests of all other versions.
    """

    cells: dict[Cell, Tally] = dataclasses.field(default_factory=dict)
    reference: dict[Cell, float] = dataclasses.field(default_factory=dict)
    servers: dict[str, Tally] = dataclasses.field(default_factory=dict)
    server_baselines: dict[str, Tally] = dataclasses.field(default_factory=dict)
    ejected: set[str] = dataclasses.field(default_factory=set)
    total: Tally = dataclasses.field(default_factory=Tally)
    others: tuple[int, int] = (0, 0)


@dataclasses.dataclass(frozen=True)
class RatioResult:
    """Result of one test of a version.

    Attributes:
        log_ratio: Log ratio over all servers that are not ejected.
        log_ratio_without_worst: The same without the worst servers, at most
            half of them.
        is_single_server: Only one server has run the version.
        acceptable_share: Average acceptable share of bad outcomes.
    """

    log_ratio: float
    log_ratio_without_worst: float
    is_single_server: bool
    acceptable_share: float


def count_outcomes(
    tally: Tally, baseline: Tally, failures: bool
) -> tuple[int, int]:
    """Returns the numbers of good and bad outcomes since a baseline.

    With `failures`, complete and failed requests are counted, otherwise good
    and bad ratings.
    """
    if failures:
        return (
            tally.complete - baseline.complete,
            tally.failed - baseline.failed,
        )
    return tally.good - baseline.good, tally.bad - baseline.bad


class WithdrawalWatch:
    """Tests each version periodically, independently on every node.

    All nodes reach the same result, because they use the same evidence.
    """

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
            evidence: Counters pooled over all nodes.
            rollouts: Stage of each roll-out.
            withdraw: Withdraws a version (version, reason) on all nodes.
            eject: Keeps a version off one server (address, version, reason)
                for some minutes, after which its test restarts.
            metrics: Receives the counters.
            epoch: Returns the number of readmissions of a version.
        """
        self.view = catalog
        self.evidence = evidence
        self.rollouts = rollouts
        self.withdraw = withdraw
        self.eject = eject
        self.metrics = metrics
        self.epoch = epoch
        self.baselines: dict[str, Baseline] = {}
        self.relative_log_ratios: dict[str, float] = {}

    def start(self, timers: TimerService) -> None:
        """Starts the periodic test of all versions."""
        timers.every("withdrawal-watch", PERIOD_S, self.check)

    def label(self, version: VersionId) -> str:
        """Returns the name of a version in rows of evidence."""
        return version_label(version, self.epoch(version))

    def find_rollout(self, version: VersionId) -> Rollout | None:
        """Returns the unfinished roll-out that introduces a version."""
        for rollout in self.view.catalog().rollouts.values():
            if new_version(rollout) == version:
                return None if self.rollouts.is_done(rollout) else rollout
        return None

    def is_proven(self, version: VersionId) -> bool:
        """Returns whether a version has enough ratings and no roll-out."""
        if self.find_rollout(version) is not None:
            return False
        label = self.label(version)
        rated = self.evidence.by_version(label).rated
        declared = self.view.catalog().versions.get(version)
        if declared and label == str(version):
            rated += declared.prior_ratings
        return rated >= MIN_PROVEN_RATINGS

    def relative_log_ratio(self, version: VersionId) -> float:
        """Returns the last log ratio, divided by the limit of withdrawal.

        Negative values are evidence for the version.
        """
        return self.relative_log_ratios.get(self.label(version), 0.0)

    def check(self) -> None:
        """Tests all versions once; withdraws versions and ejects servers."""
        for version in list(self.view.catalog().versions):
            if not self.view.is_withdrawn(version):
                self._check_version(version)

    def _check_version(self, version: VersionId) -> None:
        label = self.label(version)
        rollout = self.find_rollout(version)
        limit = LIMIT_PROVEN if rollout is None else LIMIT_UNPROVEN
        baseline = self.baselines.setdefault(label, Baseline())
        max_ratio = -math.inf
        for failures in (False, True):
            result = self._test_version(label, rollout, baseline, failures)
            self._check_servers(version, baseline, result, failures, limit)
            max_ratio = max(max_ratio, result.log_ratio / limit)
            if result.log_ratio > limit:
                basis = "failures" if failures else "ratings"
                self._withdraw_if_at_fault(version, result, basis)
        self.relative_log_ratios[label] = max_ratio
        if rollout is None and max_ratio <= 0:
            self._restart_if_good(label, baseline)

    def _withdraw_if_at_fault(
        self, version: VersionId, result: RatioResult, basis: str
    ) -> None:
        evidence = f"{basis}: log ratio {result.log_ratio:.1f}"
        if not self._is_attributable(self.label(version)):
            return
        if result.is_single_server and self._eject_shared_bad_server(version):
            return
        if (
            result.is_single_server
            or result.log_ratio_without_worst > VERSION_FAULT_LOG_RATIO
        ):
            self.metrics.incr("policy.withdrawn")
            self.withdraw(version, f"bad {evidence}")

    def _is_attributable(self, label: str) -> bool:
        """Returns whether at least half of the outcomes are known by server.

        Snapshots of evidence do not contain servers, so a node that has just
        started cannot distinguish a bad version from one bad server.
        """
        servers = self.evidence.by_server(label).values()
        attributed = sum(t.rated + t.complete + t.failed for t in servers)
        total = self.evidence.by_version(label)
        return 2 * attributed >= total.rated + total.complete + total.failed > 0

    def _check_servers(
        self,
        version: VersionId,
        baseline: Baseline,
        result: RatioResult,
        failures: bool,
        limit: float,
    ) -> None:
        """Ejects bad servers of a version that is good on the others.

        The limit grows with the number of servers, because each additional
        test may give a false alarm.
        """
        servers = self.evidence.by_server(self.label(version))
        if (
            result.is_single_server
            or result.log_ratio_without_worst > VERSION_FAULT_LOG_RATIO
        ):
            return
        for address, tally in servers.items():
            previous = baseline.server_baselines.get(address, Tally())
            good, bad = count_outcomes(tally, previous, failures)
            if log_ratio(good, bad, result.acceptable_share) > limit + math.log(
                len(servers)
            ):
                self.metrics.incr("policy.server_ejected")
                baseline.ejected.add(address)
                baseline.server_baselines[address] = dataclasses.replace(tally)
                self.eject(address, version, "bad outcomes on this server only")

    def _eject_shared_bad_server(self, version: VersionId) -> bool:
        """Ejects a version's only server if another version fails on it."""
        (address,) = self.evidence.by_server(self.label(version))
        for other in self.view.catalog().versions:
            tally = self.evidence.by_server(self.label(other)).get(address)
            if other == version or tally is None:
                continue
            past = self._bad_share(self.label(other), failures=True)
            good, bad = count_outcomes(tally, Tally(), failures=True)
            if (
                log_ratio(good, bad, max_acceptable_bad(past, MIN_FAILED_SHARE))
                > VERSION_FAULT_LOG_RATIO
            ):
                self.eject(
                    address, version, f"{other} also fails on this server"
                )
                return True
        return False

    def _count_others(self, label: str) -> tuple[int, int]:
        """Returns the successful and failed requests of all other versions."""
        tallies = [
            self.evidence.by_version(self.label(other))
            for other in self.view.catalog().versions
            if self.label(other) != label
        ]
        counts = [count_outcomes(tally, Tally(), True) for tally in tallies]
        return sum(good for good, _ in counts), sum(bad for _, bad in counts)

    def _failed_share_of_others(self, label: str, baseline: Baseline) -> float:
        """Returns the failed share of the other versions since the restart.

        Server and network failures affect all versions alike and must not
        count against one of them. Without this reference, a few simultaneous
        faults withdrew every version of a small fleet.
        """
        good, bad = self._count_others(label)
        good, bad = (
            max(0, good - baseline.others[0]),
            max(0, bad - baseline.others[1]),
        )
        return bad / (good + bad + ASSUMED_SUCCESSES)

    def _bad_share(self, label: str, failures: bool) -> float:
        good, bad = count_outcomes(
            self.evidence.by_version(label), Tally(), failures
        )
        return (
            bad / (good + bad) if good + bad >= MIN_REFERENCE_RATINGS else 0.0
        )

    def _test_version(
        self,
        label: str,
        rollout: Rollout | None,
        baseline: Baseline,
        failures: bool,
    ) -> RatioResult:
        test = RatioTest()
        if failures:
            past = baseline.reference.get(Cell(label), 0.0)
            shared = self._failed_share_of_others(label, baseline)
            limit = max_acceptable_bad(max(past, shared), MIN_FAILED_SHARE)
            total = self.evidence.by_version(label)
            good, bad = count_outcomes(total, baseline.total, True)
            test.add(good, bad, limit)
        else:
            limit = self._add_ratings(test, label, rollout, baseline)
        servers = self.evidence.by_server(label)
        if len(servers) < 2:
            return RatioResult(test.value(), test.value(), True, limit)
        return self._test_without_worst_servers(
            test, servers, baseline, limit, failures
        )

    def _add_ratings(
        self,
        test: RatioTest,
        label: str,
        rollout: Rollout | None,
        baseline: Baseline,
    ) -> float:
        """Adds ratings by cell; returns the mean acceptable share."""
        weight = limits = 0.0
        for cell, tally in list(self.evidence.pool.items()):
            if cell.version != label or cell.server:
                continue
            previous = baseline.cells.get(cell, Tally())
            good, bad = count_outcomes(tally, previous, False)
            past = self._reference(cell, rollout, baseline)
            if past is None or good + bad <= 0:
                continue
            limit = max_acceptable_bad(past)
            test.add(good, bad, limit)
            weight += good + bad
            limits += limit * (good + bad)
        return limits / weight if weight else max_acceptable_bad(0.0)

    def _reference(
        self, cell: Cell, rollout: Rollout | None, baseline: Baseline
    ) -> float | None:
        """Returns the reference share of bad answers, None for no test.

        A version in a roll-out is compared with the version it replaces, any
        other version with its own history. Without a history it is not tested,
        because a cheap version that fails hard requests is unsuitable for them
        rather than bad.
        """
        if rollout is None:
            return baseline.reference.get(cell)
        catalog = self.view.catalog()
        replaced = dataclasses.replace(
            cell, version=self.label(old_version(rollout))
        )
        if self.evidence.pooled(replaced).rated >= MIN_REFERENCE_RATINGS:
            return 1 - self.evidence.bounds(replaced, 0.5).lower
        declared = catalog.versions.get(new_version(rollout))
        return 1 - (declared.prior_quality if declared else 0.5)

    def _test_without_worst_servers(
        self,
        test: RatioTest,
        servers: Mapping[str, Tally],
        baseline: Baseline,
        limit: float,
        failures: bool,
    ) -> RatioResult:
        by_log_ratio: list[tuple[float, int, int]] = []
        for address, tally in servers.items():
            previous = baseline.servers.get(address, Tally())
            good, bad = count_outcomes(tally, previous, failures)
            if address in baseline.ejected:
                test.add(good, bad, limit, sign=-1)
            else:
                by_log_ratio.append((log_ratio(good, bad, limit), good, bad))
        remaining_test = RatioTest(list(test.log_ratios))
        by_log_ratio.sort(reverse=True)
        for rank, (server_log_ratio, good, bad) in enumerate(
            by_log_ratio[: len(servers) // 2]
        ):
            if server_log_ratio > 0 or (rank == 0 and bad):
                remaining_test.add(good, bad, limit, sign=-1)
        return RatioResult(test.value(), remaining_test.value(), False, limit)

    def _restart_if_good(self, label: str, baseline: Baseline) -> None:
        """Restarts the test of a good version after enough new outcomes."""
        total = self.evidence.by_version(label)
        outcome_count = total.rated + total.complete + total.failed
        baseline_outcome_count = (
            baseline.total.rated
            + baseline.total.complete
            + baseline.total.failed
        )
        if outcome_count - baseline_outcome_count < RESTART_OUTCOMES:
            return
        for cell, tally in self.evidence.pool.items():
            if cell.version != label or cell.server:
                continue
            baseline.cells[cell] = dataclasses.replace(tally)
            if tally.rated >= MIN_REFERENCE_RATINGS:
                bounds = self.evidence.bounds(cell, 0.5)
                baseline.reference[cell] = 1 - bounds.lower
        baseline.reference[Cell(label)] = self._bad_share(label, failures=True)
        baseline.others = self._count_others(label)
        baseline.total = dataclasses.replace(total)
        servers = self.evidence.by_server(label)
        baseline.servers = {
            name: dataclasses.replace(sums) for name, sums in servers.items()
        }
        baseline.ejected.clear()
        for address, tally in list(servers.items()):
            if self._has_good_outcomes(
                tally, baseline.server_baselines.get(address, Tally())
            ):
                baseline.server_baselines[address] = dataclasses.replace(tally)

    def _has_good_outcomes(self, tally: Tally, previous: Tally) -> bool:
        """Returns whether a server's outcomes since `previous` are good."""
        return all(
            log_ratio(
                *count_outcomes(tally, previous, failures),
                max_acceptable_bad(0.0),
            )
            <= 0
            for failures in (False, True)
        )
