"""Records starts and ends of requests as evidence."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from amaranthlug.coordination.platform import AnswerSample
from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.cascade import AnswerCheck
from amaranthlug.protocol.interfaces import ChatRequest, PlanStep
from amaranthlug.protocol.unproven_quota import UnprovenQuota
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.evidence import Cell, Evidence

MAX_PLANS = 8_000
"""Maximum number of stored plans, four times the requests in flight; the oldest
are evicted."""

FAILURE_COUNTERS = {"error": "errors", "cut": "cut", "empty": "empty"}
"""Evidence counters by outcome, for outcomes that count against a version."""


@dataclasses.dataclass
class RequestPlan:
    """Plan of a request in flight.

    Attributes:
        hard: Whether the request is classified as hard.
        checked: Versions whose answers are checked before the next step.
        explored: Whether the plan is an exploration.
        started: Monotonic start times in seconds, by version.
    """

    hard: bool
    checked: frozenset[VersionId]
    explored: bool
    started: dict[VersionId, float] = dataclasses.field(default_factory=dict)


class OutcomeCounter:
    """Turns starts and ends of requests into evidence and rating samples."""

    def __init__(
        self,
        evidence: Evidence,
        ratings: RatingCollector,
        watch: WithdrawalWatch,
        quota: UnprovenQuota,
        now: Callable[[], float],
        check: AnswerCheck,
        completed: Callable[[ChatRequest], None],
    ):
        """Creates a counter without requests in flight.

        `completed` is called with each request that got a complete answer.
        """
        self.completed = completed
        self.evidence = evidence
        self.ratings = ratings
        self.watch = watch
        self.quota = quota
        self.now = now
        self.check = check
        self.plans: OrderedDict[str, RequestPlan] = OrderedDict()

    def add_plan(
        self,
        request: ChatRequest,
        steps: tuple[PlanStep, ...],
        hard: bool,
        explored: bool,
    ) -> None:
        """Stores a plan until its request ends."""
        checked = frozenset(step.version for step in steps if step.check)
        self.plans[request.request_id] = RequestPlan(hard, checked, explored)
        if len(self.plans) > MAX_PLANS:
            _, oldest = self.plans.popitem(last=False)
            for version in oldest.started:
                self._release_quota(version)

    def started(self, request: ChatRequest, version: VersionId) -> None:
        """Counts a request sent to a version; retries are not counted again."""
        plan = self.plans.get(request.request_id)
        if plan is None or version in plan.started:
            return
        plan.started[version] = self.now()
        label = self.watch.label(version)
        self.quota.in_flight[label] += 1
        cell = Cell(label, request.kind.name, plan.hard)
        self.evidence.count(cell, started=1)

    def _release_quota(self, version: VersionId) -> None:
        label = self.watch.label(version)
        self.quota.in_flight[label] = max(0, self.quota.in_flight[label] - 1)

    def finished(
        self,
        request: ChatRequest,
        version: VersionId,
        upstream: str,
        outcome: str,
        answer: str,
    ) -> None:
        """Records the end of a step on one server."""
        plan = self.plans.get(request.request_id)
        started_at = plan.started.pop(version, None) if plan else None
        if plan is None or started_at is None:
            return
        self._release_quota(version)
        cell = Cell(self.watch.label(version), request.kind.name, plan.hard)
        passed = outcome == "complete" and self.check(request, answer)
        is_final = version not in plan.checked or passed
        if is_final and outcome in {"complete", "cancelled"}:
            self.plans.pop(request.request_id, None)
        counts = self._evidence_counts(outcome, passed, self.now() - started_at)
        if not counts:
            return
        is_failure = outcome in FAILURE_COUNTERS
        cells = [cell, Cell(cell.version, server=upstream)]
        for evidence_cell in cells[: 2 if upstream else 1]:
            self.evidence.count(evidence_cell, **counts)
            self.ratings.exchange.mark_changed(evidence_cell, urgent=is_failure)
        if outcome == "complete":
            self.completed(request)
            sample = AnswerSample(
                request.request_id,
                request.kind.name,
                str(version),
                request.prompt,
                answer,
            )
            unproven = not self.watch.is_proven(version) or plan.explored
            self.ratings.offer(
                sample, cell, upstream, passed, unproven, is_final
            )

    def _evidence_counts(
        self, outcome: str, passed: bool, duration_s: float
    ) -> dict[str, int]:
        if outcome in FAILURE_COUNTERS:
            return {FAILURE_COUNTERS[outcome]: 1}
        if outcome != "complete":
            return {}
        latency_ms = int(duration_s * 1000)
        return {
            "complete": 1,
            "passed": int(passed),
            "latency_ms": latency_ms,
        }
