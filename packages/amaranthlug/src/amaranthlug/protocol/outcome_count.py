"""Counts starts and ends of requests as evidence."""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable

from amaranthlug.coordination.platform import AnswerSample
from amaranthlug.coordination.rating_pump import RatingPump
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.cascade import AnswerCheck
from amaranthlug.protocol.interfaces import PlanStep, RoutedRequest
from amaranthlug.protocol.unproven_quota import UnprovenQuota
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.evidence import Cell, Evidence

MAX_PLANNED = 8_000
"""Plans remembered, four times the requests in flight; the oldest go."""

FAILURES = {"error": "errors", "cut": "cut", "empty": "empty"}
"""Counters of outcomes that speak against a version."""


@dataclasses.dataclass
class Planned:
    """What was decided for a request in flight."""

    hard: bool
    checked: frozenset[VersionId]
    explored: bool
    started: dict[VersionId, float] = dataclasses.field(default_factory=dict)


class OutcomeCounter:
    """Turns starts and ends of requests into rows of evidence."""

    def __init__(
        self,
        evidence: Evidence,
        ratings: RatingPump,
        watch: WithdrawalWatch,
        quota: UnprovenQuota,
        now: Callable[[], float],
        check: AnswerCheck,
        completed: Callable[[RoutedRequest], None],
    ):
        """Creates a counter without requests in flight.

        `completed` is called with each request that got a whole answer.
        """
        self.completed = completed
        self.evidence = evidence
        self.ratings = ratings
        self.watch = watch
        self.quota = quota
        self.now = now
        self.check = check
        self.plans: OrderedDict[str, Planned] = OrderedDict()

    def planned(
        self,
        request: RoutedRequest,
        steps: tuple[PlanStep, ...],
        hard: bool,
        explored: bool,
    ) -> None:
        """Remembers a plan until its request ends."""
        checked = frozenset(step.version for step in steps if step.check)
        self.plans[request.request_id] = Planned(hard, checked, explored)
        if len(self.plans) > MAX_PLANNED:
            _, oldest = self.plans.popitem(last=False)
            for version in oldest.started:
                self._end(version)

    def started(self, request: RoutedRequest, version: VersionId) -> None:
        """Counts a request that goes to a version; a retry counts once."""
        plan = self.plans.get(request.request_id)
        if plan is None or version in plan.started:
            return
        plan.started[version] = self.now()
        label = self.watch.label(version)
        self.quota.in_flight[label] += 1
        cell = Cell(label, request.kind.name, plan.hard)
        self.evidence.count(cell, started=1)

    def _end(self, version: VersionId) -> None:
        label = self.watch.label(version)
        self.quota.in_flight[label] = max(0, self.quota.in_flight[label] - 1)

    def finished(
        self,
        request: RoutedRequest,
        version: VersionId,
        upstream: str,
        outcome: str,
        answer: str,
    ) -> None:
        """Counts the end of a step at one server."""
        plan = self.plans.get(request.request_id)
        began = plan.started.pop(version, None) if plan else None
        if plan is None or began is None:
            return
        self._end(version)
        cell = Cell(self.watch.label(version), request.kind.name, plan.hard)
        passed = outcome == "complete" and self.check(request, answer)
        last = version not in plan.checked or passed
        if last and outcome in {"complete", "cancelled"}:
            self.plans.pop(request.request_id, None)
        amounts = self._amounts(outcome, passed, self.now() - began)
        if not amounts:
            return
        bad = outcome in FAILURES
        cells = [cell, Cell(cell.version, server=upstream)]
        for row in cells[: 2 if upstream else 1]:
            self.evidence.count(row, **amounts)
            self.ratings.pool.changed(row, urgent=bad)
        if outcome == "complete":
            self.completed(request)
            sample = AnswerSample(
                request.request_id,
                request.kind.name,
                str(version),
                request.prompt,
                answer,
            )
            unproven = not self.watch.proven(version) or plan.explored
            self.ratings.offer(sample, cell, upstream, passed, unproven, last)

    def _amounts(
        self, outcome: str, passed: bool, seconds: float
    ) -> dict[str, int]:
        if outcome in FAILURES:
            return {FAILURES[outcome]: 1}
        if outcome != "complete":
            return {}
        latency_ms = int(seconds * 1000)
        return {
            "complete": 1,
            "passed": int(passed),
            "latency_ms": latency_ms,
        }
