"""Chooses the cheapest plan that meets a kind's quality target."""

import dataclasses
from collections.abc import Callable

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.coordination.timers import TimerService
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.cascade import (
    AnswerCheck,
    fits_time_limits,
    structural_check,
)
from amaranthlug.protocol.choice_refusals import (
    no_version_refusal,
    not_allowed_refusal,
    pools_exhausted_refusal,
)
from amaranthlug.protocol.difficulty import looks_hard
from amaranthlug.protocol.exploration import Explorer
from amaranthlug.protocol.interfaces import (
    CatalogView,
    ChatRequest,
    Plan,
    PlanStep,
)
from amaranthlug.protocol.outcome_count import OutcomeCounter
from amaranthlug.protocol.pinned_margins import PinnedMargins
from amaranthlug.protocol.plan_ranking import (
    Option,
    Ranking,
    RankingQuery,
    rank,
)
from amaranthlug.protocol.quality_margins import QualityMargins
from amaranthlug.protocol.rollout_splitter import (
    ChoiceContext,
    PoolView,
    RolloutSplitter,
)
from amaranthlug.protocol.typical_requests import typical_requests
from amaranthlug.protocol.unproven_quota import (
    DEFAULT_MAX_UNRATED,
    UnprovenQuota,
)
from amaranthlug.state.catalog import Catalog, Version, VersionId
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.priors import prior_of
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.rollouts import RolloutStates, new_version

RANKING_MAX_AGE_S = 10.0
"""Maximum age of a cached ranking, in seconds; the timer refreshes rankings in
use well before."""

REFRESH_INTERVAL_S = 2.0
"""Interval of refreshing rankings outside of the request path, in seconds. With
about 30 rankings in use at 0.5 ms each, this takes 1% of a core."""

CATALOG_CHECK_INTERVAL_S = 0.1
"""Interval of checks for a new catalogue, in seconds. Until its rankings are
precomputed, the first request that needs one computes it in 0.24 ms."""

MAX_CACHED_RANKINGS = 2_000
"""Maximum number of cached rankings; the cache is cleared when it is full."""

AUTO = "auto"


@dataclasses.dataclass
class CachedRanking:
    """A cached ranking with its inputs.

    Attributes:
        computed_at: Time of its computation, in monotonic seconds.
        used_at: Time of its last use, in monotonic seconds.
        ranking: The ranking.
        candidates: Versions that were ranked.
        query: Query with the target that was used.
    """

    computed_at: float
    used_at: float
    ranking: Ranking
    candidates: list[Version]
    query: RankingQuery


class CostQualityChooser:
    """A `VersionChooser` that considers cost, quality and roll-outs."""

    def __init__(
        self,
        view: CatalogView,
        evidence: Evidence,
        ratings: RatingCollector,
        rollouts: RolloutStates,
        watch: WithdrawalWatch,
        quota: UnprovenQuota,
        pools: PoolView,
        metrics: Metrics,
        now: Callable[[], float],
        seed: int | None = None,
        check: AnswerCheck = structural_check,
        hard: Callable[[ChatRequest], bool] = looks_hard,
        completed: Callable[[ChatRequest], None] = lambda request: None,
    ):
        """Creates a chooser.

        Args:
            view: Configuration in force.
            evidence: Pooled evidence counters.
            ratings: Sends answers to the rating service.
            rollouts: Stages of roll-outs.
            watch: Withdrawal tests of versions.
            quota: Limit of requests to unproven versions.
            pools: Free capacity of pools.
            metrics: Counters.
            now: Monotonic clock.
            seed: Makes exploration reproducible.
            check: Checks the first answer of a cascade.
            hard: Returns whether a request is hard.
            completed: Called with each request that got a complete answer;
                clears suspected requests.
        """
        self.view = view
        self.evidence = evidence
        self.ratings = ratings
        self.rollouts = rollouts
        self.watch = watch
        self.quota = quota
        self.pools = pools
        self.metrics = metrics
        self.now = now
        self.explorer = Explorer(seed, quota.members)
        self.check = check
        self.hard = hard
        self.quality_margins = QualityMargins(evidence, now)
        self.pinned_margins = PinnedMargins()
        self.rollout_splitter = RolloutSplitter(
            evidence, ratings, rollouts, watch, quota, pools
        )
        self.outcomes = OutcomeCounter(
            evidence, ratings, watch, quota, now, check, completed
        )
        self.rankings: dict[tuple[object, ...], CachedRanking] = {}
        self.rankings_catalog: Catalog | None = None
        self.precomputed_catalog: Catalog | None = None

    def choose(
        self, request: ChatRequest, pinned: VersionId | None
    ) -> Result[Plan, Refusal]:
        """Returns the plan of a request; uses a pinned version if possible."""
        catalog = self.view.catalog()
        organisation = catalog.organisations.get(request.organisation.name)
        allowed = organisation.allowed if organisation else frozenset()
        context = ChoiceContext(request, catalog, allowed, self.hard(request))
        if pinned is not None and self._is_usable(context, pinned):
            self._count_pinned(context, pinned)
            return Ok(self._plan(context, (PlanStep(pinned),), "pinned"))
        if "@" in request.model:
            return self._plan_explicit_version(context)
        candidates = self._candidates(context)
        if isinstance(candidates, Err):
            return candidates
        option = self._select(context, candidates.unwrap())
        if isinstance(option, Err):
            return option
        self.pinned_margins.count_unpinned(request.kind.name)
        return Ok(
            self._plan_option(context, option.unwrap(), candidates.unwrap())
        )

    def _count_pinned(self, context: ChoiceContext, version: VersionId) -> None:
        kind = context.request.kind
        label = self.watch.label(version)
        prior = prior_of(
            context.catalog.versions[version], kind.name, context.hard
        )
        bounds = self.evidence.bounds(
            Cell(label, kind.name, context.hard),
            prior.quality,
            offline=prior.ratings,
        )
        self.pinned_margins.count_pinned(
            kind.name, kind.quality_target - bounds.mean
        )

    def _plan(
        self, context: ChoiceContext, steps: tuple[PlanStep, ...], reason: str
    ) -> Plan:
        self.metrics.incr(f"choice.{reason}")
        explored = reason == "explored"
        self.outcomes.add_plan(context.request, steps, context.hard, explored)
        return Plan(steps, reason)

    def _is_usable(self, context: ChoiceContext, version: VersionId) -> bool:
        is_known = (
            version in context.allowed and version in context.catalog.versions
        )
        return is_known and not self.view.is_withdrawn(version)

    def _plan_explicit_version(
        self, context: ChoiceContext
    ) -> Result[Plan, Refusal]:
        try:
            version = VersionId.parse(context.request.model)
        except ValueError:
            return Err(not_allowed_refusal(context.request.model))
        if version not in context.allowed:
            return Err(not_allowed_refusal(context.request.model))
        if not self._is_usable(context, version):
            return Err(no_version_refusal(context.request.model))
        return Ok(self._plan(context, (PlanStep(version),), "explicit"))

    def _candidates(
        self, context: ChoiceContext
    ) -> Result[list[Version], Refusal]:
        """Returns the usable versions, without new versions in roll-out."""
        model = context.request.model
        matching = [
            context.catalog.versions[version]
            for version in context.allowed
            if version in context.catalog.versions
            and model in {AUTO, version.model}
        ]
        if not matching:
            return Err(not_allowed_refusal(model))
        usable = [v for v in matching if not self.view.is_withdrawn(v.id)]
        request = context.request
        length = request.prompt_tokens + request.kind.max_output_tokens
        usable = [v for v in usable if v.context_tokens >= length]
        excluded_versions = self.rollout_splitter.excluded_versions(
            context.catalog, {v.id for v in usable}
        )
        usable = [v for v in usable if v.id not in excluded_versions]
        if not usable:
            return Err(no_version_refusal(model))
        return Ok(sorted(usable, key=lambda v: v.id))

    def _ranking(
        self, context: ChoiceContext, candidates: list[Version]
    ) -> Ranking:
        if self.rankings_catalog is not context.catalog:
            self.rankings.clear()
            self.rankings_catalog = context.catalog
        request = context.request
        kind, session = request.kind, bool(request.session_id)
        ids = tuple(version.id for version in candidates)
        size = request.prompt_tokens.bit_length() // 2
        key = (ids, kind.name, context.hard, session, size)
        cached = self.rankings.get(key)
        if cached and self.now() - cached.computed_at < RANKING_MAX_AGE_S:
            cached.used_at = self.now()
            return cached.ranking
        if len(self.rankings) >= MAX_CACHED_RANKINGS:
            self.rankings.clear()
        query = RankingQuery(
            kind, context.hard, session, 0.0, request.prompt_tokens
        )
        computed = self._rank(candidates, query)
        self.rankings[key] = computed
        return computed.ranking

    def _rank(
        self, candidates: list[Version], query: RankingQuery
    ) -> "CachedRanking":
        target = query.kind.quality_target + self.quality_margins.margin(
            query.kind
        )
        pinned = self.pinned_margins.margin(query.kind.name)
        labelled = [(v, self.watch.label(v.id)) for v in candidates]
        query = dataclasses.replace(query, target=min(1.0, target + pinned))
        ranking = rank(self.evidence, labelled, query)
        if pinned > 0 and not ranking.safe:
            # No plan can compensate for the pinned requests. With the raised
            # target the most expensive version would get the whole kind, and
            # the target would still be missed.
            query = dataclasses.replace(query, target=min(1.0, target))
            ranking = rank(self.evidence, labelled, query)
        now = self.now()
        return CachedRanking(now, now, ranking, candidates, query)

    def start(self, timers: TimerService) -> None:
        """Schedules the refresh and the precomputation of rankings."""
        timers.every("rankings", REFRESH_INTERVAL_S, self.refresh_rankings)
        timers.every(
            "rankings-ahead", CATALOG_CHECK_INTERVAL_S, self.precompute_rankings
        )

    def precompute_rankings(self) -> None:
        """Computes rankings of typical requests after a catalogue change."""
        catalog = self.view.catalog()
        if catalog is self.precomputed_catalog:
            return
        self.precomputed_catalog = catalog
        for context in typical_requests(catalog):
            if self.view.catalog() is not catalog:
                return
            candidates = self._candidates(context)
            if isinstance(candidates, Ok):
                self._ranking(context, candidates.unwrap())
            gevent.sleep(0)

    def refresh_rankings(self) -> None:
        """Recomputes rankings in use and evicts the others."""
        catalog = self.rankings_catalog
        for key, cached in list(self.rankings.items()):
            if self.rankings_catalog is not catalog:
                return
            if self.now() - cached.used_at > RANKING_MAX_AGE_S:
                self.rankings.pop(key, None)
                continue
            refreshed = self._rank(cached.candidates, cached.query)
            refreshed.used_at = cached.used_at
            self.rankings[key] = refreshed
            gevent.sleep(0)

    def _select(
        self, context: ChoiceContext, candidates: list[Version]
    ) -> Result[Option, Refusal]:
        """Returns the first option with free servers and enough time."""
        full: set[VersionId] = set()
        for option in self._ranking(context, candidates).options:
            versions = [step.version for step in option.steps]
            exhausted = [v for v in versions if self.pools.is_exhausted(v)]
            full.update(exhausted)
            if exhausted or (
                len(versions) > 1
                and not self._fits_time_limits(context, option)
            ):
                continue
            if full:
                self.metrics.incr("choice.spilled")
            return Ok(option)
        return Err(pools_exhausted_refusal(sorted(map(str, full))))

    def _fits_time_limits(self, context: ChoiceContext, option: Option) -> bool:
        now, cells = self.now(), list(option.cells)
        return fits_time_limits(self.evidence, context.request, now, cells)

    def _plan_option(
        self, context: ChoiceContext, option: Option, candidates: list[Version]
    ) -> Plan:
        """Returns the plan of an option after roll-out and exploration."""
        usable = {
            new
            for new in map(new_version, context.catalog.rollouts.values())
            if self._is_usable(context, new)
        }
        steps_on_new_version = self.rollout_splitter.steps_on_new_version(
            context, option, usable
        )
        if steps_on_new_version is not None:
            return self._plan(context, steps_on_new_version, "rollout")
        explored = self._explore(context, option, candidates)
        if explored is not None:
            return self._plan(context, explored.steps, "explored")
        reason = "cascade" if len(option.steps) > 1 else "direct"
        return self._plan(context, option.steps, reason)

    def _explore(
        self, context: ChoiceContext, option: Option, candidates: list[Version]
    ) -> Option | None:
        """Returns a cheaper option to explore, None to keep the chosen one."""
        request, kind = context.request, context.request.kind
        ranking = self._ranking(context, candidates)
        self.explorer.credit(kind, ranking.surplus)
        # A session would keep the explored version for kinds with a higher
        # target: exploring sessions raised the cost relative to an oracle from
        # 1.25 to 1.43.
        if request.session_id or self.ratings.are_overdue():
            return None
        return self.explorer.pick(
            kind,
            option,
            ranking.uncertain,
            lambda candidate: self._may_explore(context, candidate),
        )

    def _may_explore(self, context: ChoiceContext, option: Option) -> bool:
        version = option.steps[0].version
        if self.pools.is_exhausted(version):
            return False
        if self.watch.is_proven(version):
            return True
        if context.request.kind.harmful:
            return False
        return self.quota.may_start(version, str(version), DEFAULT_MAX_UNRATED)

    def started(self, request: ChatRequest, version: VersionId) -> None:
        """Counts a request sent to a version."""
        self.outcomes.started(request, version)

    def finished(
        self,
        request: ChatRequest,
        version: VersionId,
        upstream: str,
        outcome: str,
        answer: str,
    ) -> None:
        """Records the end of a step.

        Args:
            request: The request.
            version: Version that answered.
            upstream: Address of the server, '' if none.
            outcome: Outcome as in `BillEntry`, `error` or `empty`.
            answer: Text of the answer.
        """
        self.outcomes.finished(request, version, upstream, outcome, answer)

    def passes_check(
        self, request: ChatRequest, version: VersionId, answer: str
    ) -> bool:
        """Returns whether the answer of a checked step passes the check."""
        passed = self.check(request, answer)
        self.metrics.incr("cascade.passed" if passed else "cascade.escalated")
        return passed
