"""Decides which requests a version under roll-out gets."""

import dataclasses
from collections.abc import Set
from typing import Protocol

from amaranthlug.coordination.rating_pump import RatingPump
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.plan_ranking import Option
from amaranthlug.protocol.services import PlanStep, RoutedRequest
from amaranthlug.protocol.unproven_quota import UnprovenQuota, drawn_share
from amaranthlug.state.catalog import Catalog, Rollout, VersionId
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.rollouts import RolloutFold, new_version, old_version

EASY_FIRST = 10
"""Ratings of a new version before it gets hard requests; a bad answer to an
easy one tells more, so fewer callers meet a version that is bad."""

SUITABLE_RATED = 30
"""Ratings of a new version after which it gets only kinds that it may suit."""


class PoolView(Protocol):
    """Free capacity of pools as this node knows it."""

    def is_exhausted(self, version: VersionId) -> bool:
        """Tells whether no server of the version's pool can take work."""
        ...


@dataclasses.dataclass(frozen=True)
class Case:
    """One request with what the configuration says about it."""

    request: RoutedRequest
    catalog: Catalog
    allowed: frozenset[VersionId]
    hard: bool


class RolloutShare:
    """Moves the share of a roll-out's stage to its new version."""

    def __init__(
        self,
        evidence: Evidence,
        ratings: RatingPump,
        rollouts: RolloutFold,
        watch: WithdrawalWatch,
        quota: UnprovenQuota,
        pools: PoolView,
    ):
        """Creates a share; the arguments are those of the chooser."""
        self.evidence = evidence
        self.ratings = ratings
        self.rollouts = rollouts
        self.watch = watch
        self.quota = quota
        self.pools = pools

    def hidden(
        self, catalog: Catalog, usable: Set[VersionId]
    ) -> set[VersionId]:
        """Returns versions that a roll-out holds back or has replaced."""
        hidden = set()
        for rollout in catalog.rollouts.values():
            new, old = new_version(rollout), old_version(rollout)
            if not self.rollouts.done(rollout):
                hidden.add(new)
            elif new in usable:
                hidden.add(old)
        return hidden

    def moved(
        self, case: Case, option: Option, usable: Set[VersionId]
    ) -> tuple[PlanStep, ...] | None:
        """Returns the option's steps on a new version, None if it has none."""
        for rollout in case.catalog.rollouts.values():
            old, new = old_version(rollout), new_version(rollout)
            if (
                any(step.version == old for step in option.steps)
                and new in usable
                and self._takes_new(case, rollout)
            ):
                return tuple(
                    dataclasses.replace(step, version=new)
                    if step.version == old
                    else step
                    for step in option.steps
                )
        return None

    def _takes_new(self, case: Case, rollout: Rollout) -> bool:
        """Tells whether a request belongs to the share of the stage."""
        index = self.rollouts.state(rollout).stage
        new = new_version(rollout)
        if not 0 <= index < len(rollout.stages):
            return False
        request, stage = case.request, rollout.stages[index]
        early = stage is not rollout.stages[-1]
        if (request.kind.harmful and early) or self.ratings.out():
            return False
        name = request.session_id or request.request_id
        drawn = drawn_share(f"{rollout.name}|{name}")
        if drawn >= stage.share or self.pools.is_exhausted(new):
            return False
        if not self._may_suit(case, new):
            return False
        return self.quota.may_start(new, rollout.name, stage.max_unrated)

    def _may_suit(self, case: Case, new: VersionId) -> bool:
        """Tells whether the version may meet the target, as far as is known."""
        request = case.request
        cell = Cell(self.watch.label(new), request.kind.name, case.hard)
        prior = case.catalog.versions[new].prior_quality
        upper = self.evidence.bounds(cell, prior).upper
        rated = self.evidence.by_version(cell.version).rated
        # Before, the withdrawal test decides: a version that gets no more
        # requests would never be withdrawn and keep its pinned sessions.
        if rated >= SUITABLE_RATED and upper < request.kind.quality_target:
            return False
        doubted = rated < EASY_FIRST or self.watch.doubt(new) > 0
        return not (case.hard and doubted)
