"""Chooses the cheapest plan that meets a kind's quality target."""

import dataclasses
from collections.abc import Callable

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.rating_pump import RatingPump
from amaranthlug.coordination.timers import TimerService
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.cascade import (
    AnswerCheck,
    in_time,
    structural_check,
)
from amaranthlug.protocol.choice_refusals import (
    no_version_refusal,
    not_allowed_refusal,
    pools_exhausted_refusal,
)
from amaranthlug.protocol.difficulty import looks_hard
from amaranthlug.protocol.exploration import Explorer
from amaranthlug.protocol.kind_window import KindWindows
from amaranthlug.protocol.outcome_count import OutcomeCounter
from amaranthlug.protocol.pinned_share import PinnedShare
from amaranthlug.protocol.plan_ranking import Option, Question, Ranking, rank
from amaranthlug.protocol.rankings_ahead import typical_cases
from amaranthlug.protocol.rollout_share import Case, PoolView, RolloutShare
from amaranthlug.protocol.services import (
    CatalogView,
    Plan,
    PlanStep,
    RoutedRequest,
)
from amaranthlug.protocol.unproven_quota import (
    DEFAULT_MAX_UNRATED,
    UnprovenQuota,
)
from amaranthlug.state.catalog import Catalog, Version, VersionId
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.priors import prior_of
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.rollouts import RolloutFold, new_version

RANKING_S = 10.0
"""Age at which a ranking is not used any more, in seconds; the timer computes
those in use anew well before."""

REFRESH_S = 2.0
"""Period of computing rankings anew outside of the request path, in seconds;
some 30 rankings of 0.5 ms each are in use, so this costs 1% of a core."""

AHEAD_S = 0.1
"""Period of the look for a new catalogue, in seconds; the first request that
needs a ranking computes it otherwise, in 0.24 ms."""

MAX_RANKINGS = 2_000
"""Rankings kept; all are dropped beyond it."""

AUTO = "auto"


@dataclasses.dataclass
class Ranked:
    """A ranking with what it was computed from."""

    at: float
    used_at: float
    ranking: Ranking
    candidates: list[Version]
    ask: Question


class CostQualityChooser:
    """The `VersionChooser` that weighs cost, quality and roll-outs."""

    def __init__(
        self,
        view: CatalogView,
        evidence: Evidence,
        ratings: RatingPump,
        rollouts: RolloutFold,
        watch: WithdrawalWatch,
        quota: UnprovenQuota,
        pools: PoolView,
        metrics: Metrics,
        now: Callable[[], float],
        seed: int | None = None,
        check: AnswerCheck = structural_check,
        hard: Callable[[RoutedRequest], bool] = looks_hard,
        completed: Callable[[RoutedRequest], None] = lambda request: None,
    ):
        """Creates a chooser.

        Args:
            view: Configuration in force.
            evidence: Pooled counters.
            ratings: Where answers go to be rated.
            rollouts: Stages of roll-outs.
            watch: Tests of versions.
            quota: Bound of requests to unproven versions.
            pools: Free capacity.
            metrics: Counters.
            now: Monotonic clock.
            seed: Makes exploration repeatable.
            check: Check of a cascade's first answer.
            hard: Splits easy from hard requests.
            completed: Told of whole answers; clears suspected requests.
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
        self.windows = KindWindows(evidence, now)
        self.pinned = PinnedShare()
        self.share = RolloutShare(
            evidence, ratings, rollouts, watch, quota, pools
        )
        self.outcomes = OutcomeCounter(
            evidence, ratings, watch, quota, now, check, completed
        )
        self.rankings: dict[tuple[object, ...], Ranked] = {}
        self.ranked_for: Catalog | None = None
        self.prepared_for: Catalog | None = None

    def choose(
        self, request: RoutedRequest, pinned: VersionId | None
    ) -> Result[Plan, Refusal]:
        """Returns the plan of a request; a pinned version is kept."""
        catalog = self.view.catalog()
        organisation = catalog.organisations.get(request.organisation.name)
        allowed = organisation.allowed if organisation else frozenset()
        case = Case(request, catalog, allowed, self.hard(request))
        if pinned is not None and self._usable(case, pinned):
            self._count_pinned(case, pinned)
            return Ok(self._plan(case, (PlanStep(pinned),), "pinned"))
        if "@" in request.model:
            return self._exact(case)
        candidates = self._candidates(case)
        if isinstance(candidates, Err):
            return candidates
        option = self._select(case, candidates.unwrap())
        if isinstance(option, Err):
            return option
        self.pinned.free(request.kind.name)
        return Ok(self._vary(case, option.unwrap(), candidates.unwrap()))

    def _count_pinned(self, case: Case, version: VersionId) -> None:
        kind = case.request.kind
        label = self.watch.label(version)
        prior = prior_of(case.catalog.versions[version], kind.name, case.hard)
        bounds = self.evidence.bounds(
            Cell(label, kind.name, case.hard),
            prior.quality,
            offline=prior.ratings,
        )
        self.pinned.pinned(kind.name, kind.quality_target - bounds.mean)

    def _plan(
        self, case: Case, steps: tuple[PlanStep, ...], reason: str
    ) -> Plan:
        self.metrics.incr(f"choice.{reason}")
        explored = reason == "explored"
        self.outcomes.planned(case.request, steps, case.hard, explored)
        return Plan(steps, reason)

    def _usable(self, case: Case, version: VersionId) -> bool:
        known = version in case.allowed and version in case.catalog.versions
        return known and not self.view.is_withdrawn(version)

    def _exact(self, case: Case) -> Result[Plan, Refusal]:
        try:
            version = VersionId.parse(case.request.model)
        except ValueError:
            return Err(not_allowed_refusal(case.request.model))
        if version not in case.allowed:
            return Err(not_allowed_refusal(case.request.model))
        if not self._usable(case, version):
            return Err(no_version_refusal(case.request.model))
        return Ok(self._plan(case, (PlanStep(version),), "explicit"))

    def _candidates(self, case: Case) -> Result[list[Version], Refusal]:
        """Returns usable versions that ordinary requests may get."""
        model = case.request.model
        named = [
            case.catalog.versions[version]
            for version in case.allowed
            if version in case.catalog.versions
            and model in {AUTO, version.model}
        ]
        if not named:
            return Err(not_allowed_refusal(model))
        usable = [v for v in named if not self.view.is_withdrawn(v.id)]
        request = case.request
        length = request.prompt_tokens + request.kind.max_output_tokens
        usable = [v for v in usable if v.context_tokens >= length]
        hidden = self.share.hidden(case.catalog, {v.id for v in usable})
        usable = [v for v in usable if v.id not in hidden]
        if not usable:
            return Err(no_version_refusal(model))
        return Ok(sorted(usable, key=lambda v: v.id))

    def _ranking(self, case: Case, candidates: list[Version]) -> Ranking:
        if self.ranked_for is not case.catalog:
            self.rankings.clear()
            self.ranked_for = case.catalog
        request = case.request
        kind, session = request.kind, bool(request.session_id)
        ids = tuple(version.id for version in candidates)
        size = request.prompt_tokens.bit_length() // 2
        key = (ids, kind.name, case.hard, session, size)
        cached = self.rankings.get(key)
        if cached and self.now() - cached.at < RANKING_S:
            cached.used_at = self.now()
            return cached.ranking
        if len(self.rankings) >= MAX_RANKINGS:
            self.rankings.clear()
        question = Question(
            kind, case.hard, session, 0.0, request.prompt_tokens
        )
        ranked = self._rank(candidates, question)
        self.rankings[key] = ranked
        return ranked.ranking

    def _rank(self, candidates: list[Version], ask: Question) -> "Ranked":
        target = ask.kind.quality_target + self.windows.margin(ask.kind)
        pinned = self.pinned.margin(ask.kind.name)
        labelled = [(v, self.watch.label(v.id)) for v in candidates]
        ask = dataclasses.replace(ask, target=min(1.0, target + pinned))
        ranking = rank(self.evidence, labelled, ask)
        if pinned > 0 and not ranking.safe:
            # No plan makes up for pinned requests; without this the dearest
            # version would take the whole kind and the target be missed still.
            ask = dataclasses.replace(ask, target=min(1.0, target))
            ranking = rank(self.evidence, labelled, ask)
        now = self.now()
        return Ranked(now, now, ranking, candidates, ask)

    def start(self, timers: TimerService) -> None:
        """Computes rankings anew periodically."""
        timers.every("rankings", REFRESH_S, self.refresh_rankings)
        timers.every("rankings-ahead", AHEAD_S, self.precompute_rankings)

    def precompute_rankings(self) -> None:
        """Computes rankings of a catalogue that has just come into force."""
        catalog = self.view.catalog()
        if catalog is self.prepared_for:
            return
        self.prepared_for = catalog
        for case in typical_cases(catalog):
            if self.view.catalog() is not catalog:
                return
            candidates = self._candidates(case)
            if isinstance(candidates, Ok):
                self._ranking(case, candidates.unwrap())
            gevent.sleep(0)

    def refresh_rankings(self) -> None:
        """Computes the rankings in use anew and drops the others."""
        catalog = self.ranked_for
        for key, ranked in list(self.rankings.items()):
            if self.ranked_for is not catalog:
                return
            if self.now() - ranked.used_at > RANKING_S:
                self.rankings.pop(key, None)
                continue
            fresh = self._rank(ranked.candidates, ranked.ask)
            fresh.used_at = ranked.used_at
            self.rankings[key] = fresh
            gevent.sleep(0)

    def _select(
        self, case: Case, candidates: list[Version]
    ) -> Result[Option, Refusal]:
        """Returns the first option with free servers and enough time."""
        full: set[VersionId] = set()
        for option in self._ranking(case, candidates).options:
            versions = [step.version for step in option.steps]
            spent = [v for v in versions if self.pools.is_exhausted(v)]
            full.update(spent)
            if spent or (len(versions) > 1 and not self._in_time(case, option)):
                continue
            if full:
                self.metrics.incr("choice.spilled")
            return Ok(option)
        return Err(pools_exhausted_refusal(sorted(map(str, full))))

    def _in_time(self, case: Case, option: Option) -> bool:
        now, cells = self.now(), list(option.cells)
        return in_time(self.evidence, case.request, now, cells)

    def _vary(
        self, case: Case, option: Option, candidates: list[Version]
    ) -> Plan:
        """Applies roll-outs and exploration to the chosen option."""
        usable = {
            new
            for new in map(new_version, case.catalog.rollouts.values())
            if self._usable(case, new)
        }
        moved = self.share.moved(case, option, usable)
        if moved is not None:
            return self._plan(case, moved, "rollout")
        explored = self._explore(case, option, candidates)
        if explored is not None:
            return self._plan(case, explored.steps, "explored")
        reason = "cascade" if len(option.steps) > 1 else "direct"
        return self._plan(case, option.steps, reason)

    def _explore(
        self, case: Case, option: Option, candidates: list[Version]
    ) -> Option | None:
        """Returns a cheaper option of uncertain quality within the budget."""
        request, kind = case.request, case.request.kind
        ranking = self._ranking(case, candidates)
        self.explorer.earn(kind, ranking.surplus)
        # An explored session took 1.43 of the oracle's cost in place of 1.25
        # (trial), as it keeps the version for kinds with a higher target.
        if request.session_id or self.ratings.out():
            return None
        return self.explorer.pick(
            kind,
            option,
            ranking.unknown,
            lambda other: self._may_explore(case, other),
        )

    def _may_explore(self, case: Case, option: Option) -> bool:
        version = option.steps[0].version
        if self.pools.is_exhausted(version):
            return False
        if self.watch.proven(version):
            return True
        if case.request.kind.harmful:
            return False
        return self.quota.may_start(version, str(version), DEFAULT_MAX_UNRATED)

    def started(self, request: RoutedRequest, version: VersionId) -> None:
        """Counts a request that goes to a version."""
        self.outcomes.started(request, version)

    def finished(
        self,
        request: RoutedRequest,
        version: VersionId,
        upstream: str,
        outcome: str,
        answer: str,
    ) -> None:
        """Counts its end; outcome as in `BillEntry` or `error`, `empty`."""
        self.outcomes.finished(request, version, upstream, outcome, answer)

    def passes_check(
        self, request: RoutedRequest, version: VersionId, answer: str
    ) -> bool:
        """Tells whether the answer of a checked step is good enough."""
        passed = self.check(request, answer)
        self.metrics.incr("cascade.passed" if passed else "cascade.escalated")
        return passed
