"""Decides which requests go to a new version during its roll-out."""

import dataclasses
from collections.abc import Set
from typing import Protocol

from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.interfaces import ChatRequest, PlanStep
from amaranthlug.protocol.plan_ranking import Option
from amaranthlug.protocol.unproven_quota import UnprovenQuota, hash_fraction
from amaranthlug.state.catalog import Catalog, Rollout, VersionId
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.rollouts import RolloutStates, new_version, old_version

MIN_RATED_FOR_HARD = 10
"""Ratings of a new version required before it gets hard requests. A bad answer
to an easy request is stronger evidence, so a bad version reaches fewer
callers."""

MIN_RATED_FOR_TARGET = 30
"""Ratings of a new version from which it gets only kinds whose target it may
meet."""


class PoolView(Protocol):
    """Free capacity of pools as known to this node."""

    def is_exhausted(self, version: VersionId) -> bool:
        """Returns whether no server of the version's pool can take work."""
        ...


@dataclasses.dataclass(frozen=True)
class ChoiceContext:
    """A request with the configuration that applies to it.

    Attributes:
        request: The request.
        catalog: Configuration in force.
        allowed: Versions that the organisation may use.
        hard: Whether the request is classified as hard.
    """

    request: ChatRequest
    catalog: Catalog
    allowed: frozenset[VersionId]
    hard: bool


class RolloutSplitter:
    """Moves the request share of a roll-out stage to the new version."""

    def __init__(
        self,
        evidence: Evidence,
        ratings: RatingCollector,
        rollouts: RolloutStates,
        watch: WithdrawalWatch,
        quota: UnprovenQuota,
        pools: PoolView,
    ):
        """Creates a splitter from the collaborators of `CostQualityChooser`."""
        self.evidence = evidence
        self.ratings = ratings
        self.rollouts = rollouts
        self.watch = watch
        self.quota = quota
        self.pools = pools

    def excluded_versions(
        self, catalog: Catalog, usable: Set[VersionId]
    ) -> set[VersionId]:
        """Returns versions not yet rolled out and versions already replaced."""
        excluded_versions = set()
        for rollout in catalog.rollouts.values():
            new, old = new_version(rollout), old_version(rollout)
            if not self.rollouts.is_done(rollout):
                excluded_versions.add(new)
            elif new in usable:
                excluded_versions.add(old)
        return excluded_versions

    def steps_on_new_version(
        self, context: ChoiceContext, option: Option, usable: Set[VersionId]
    ) -> tuple[PlanStep, ...] | None:
        """Returns the steps with a new version, None to keep the option."""
        for rollout in context.catalog.rollouts.values():
            old, new = old_version(rollout), new_version(rollout)
            if (
                any(step.version == old for step in option.steps)
                and new in usable
                and self._goes_to_new(context, rollout)
            ):
                return tuple(
                    dataclasses.replace(step, version=new)
                    if step.version == old
                    else step
                    for step in option.steps
                )
        return None

    def _goes_to_new(self, context: ChoiceContext, rollout: Rollout) -> bool:
        """Returns whether the request goes to the new version at this stage."""
        stage_index = self.rollouts.state(rollout).stage
        new = new_version(rollout)
        if not 0 <= stage_index < len(rollout.stages):
            return False
        request, stage = context.request, rollout.stages[stage_index]
        is_early = stage is not rollout.stages[-1]
        if (request.kind.harmful and is_early) or self.ratings.are_overdue():
            return False
        split_key = request.session_id or request.request_id
        position = hash_fraction(f"{rollout.name}|{split_key}")
        if position >= stage.share or self.pools.is_exhausted(new):
            return False
        if not self._may_meet_target(context, new):
            return False
        return self.quota.may_start(new, rollout.name, stage.max_unrated)

    def _may_meet_target(self, context: ChoiceContext, new: VersionId) -> bool:
        """Returns whether the version may meet the target of the request."""
        request = context.request
        cell = Cell(self.watch.label(new), request.kind.name, context.hard)
        prior = context.catalog.versions[new].prior_quality
        upper = self.evidence.bounds(cell, prior).upper
        rated = self.evidence.by_version(cell.version).rated
        # With fewer ratings only the withdrawal test decides: a version without
        # further requests would never be withdrawn and keep its sessions.
        if (
            rated >= MIN_RATED_FOR_TARGET
            and upper < request.kind.quality_target
        ):
            return False
        is_doubtful = (
            rated < MIN_RATED_FOR_HARD or self.watch.relative_log_ratio(new) > 0
        )
        return not (context.hard and is_doubtful)
