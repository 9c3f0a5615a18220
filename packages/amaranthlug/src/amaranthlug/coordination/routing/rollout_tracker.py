"""Which versions of a service receive work while a roll-out is under way."""

import dataclasses
import logging
import time
from collections.abc import Callable
from typing import Protocol

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.fleet import EvidenceByRollout
from amaranthlug.state.routing.rollout import (
    Evidence,
    OutcomeCount,
    RolloutOrder,
    RolloutStatus,
    RolloutStep,
    count_answers,
    is_bad,
    pooled,
)
from amaranthlug.state.routing.servers import ServerEntry

CANARY_SHARE = 0.08
"""Share of requests that a version gets until half of the time is over; with
the full share afterwards it stays under the bound on exposure (0.0975 and
more of all requests) if its fault shows within a tenth of the time."""
HALF_TIME = 0.5
"""Part of the duration in which sessions must stay on the old version."""
RAMP = ((0.5, 0.4), (0.56, 1.0))
"""Part of the duration -> share of requests from then on; the rest of the time
lets requests on old servers end."""
MIN_ANSWERS = 20
"""Answers of the new version below which it does not leave the canary."""
STALE_S = 3.0
"""Age of the other nodes' evidence above which the share does not grow, in
seconds: three periods of reports."""

log = logging.getLogger(__name__)


class StatusDecoder(Protocol):
    """Decodes the recorded state of roll-outs."""

    def status(self, record: KeyedRecord) -> RolloutStatus | None:
        """Returns a state; None if the record holds none.

        Raises:
            ValueError: It cannot be read.
        """
        ...


@dataclasses.dataclass(frozen=True)
class VersionSplit:
    """Servers by version, and the share of requests that go to the new ones.

    Attributes:
        old: Servers of all other versions.
        new: Servers of the version that is rolled out.
        share: Share of requests for the new version, 0 to 1.
        first_half: Sessions must stay on their version.
    """

    old: list[ServerEntry]
    new: list[ServerEntry]
    share: float
    first_half: bool


@dataclasses.dataclass
class TrackedRollout:
    """A roll-out as this node sees it."""

    order: RolloutOrder
    began: float
    status: RolloutStatus | None = None
    evidence: Evidence = dataclasses.field(default_factory=dict)
    share: float = CANARY_SHARE
    found_bad: bool = False

    @property
    def step(self) -> RolloutStep:
        """Returns the recorded step; an unrecorded one is active."""
        return self.status.step if self.status else RolloutStep.ACTIVE


class RolloutTracker:
    """Follows orders, recorded states and pooled evidence."""

    def __init__(
        self,
        decoder: StatusDecoder,
        orders: Callable[[], dict[str, RolloutOrder]],
        others: Callable[[], list[EvidenceByRollout]],
        evidence_age_s: Callable[[], float],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a tracker.

        Args:
            decoder: Decodes recorded states.
            orders: Returns the newest order of each service.
            others: Returns the answers that other nodes have seen.
            evidence_age_s: Returns the age of those answers, in seconds.
            clock: Returns seconds.
        """
        self.decoder = decoder
        self.orders = orders
        self.others = others
        self.evidence_age_s = evidence_age_s
        self.clock = clock
        self.statuses: dict[str, RolloutStatus] = {}
        self.tracked: dict[str, TrackedRollout] = {}

    def replace(self, records: list[KeyedRecord]) -> None:
        """Takes all recorded states."""
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> bool:
        """Takes a recorded state."""
        if record.value is None:
            return False
        try:
            status = self.decoder.status(record)
        except ValueError as error:
            log.warning(
                "a roll-out's state cannot be read: %s",
                error,
                extra={"event": "status_unreadable", "key": record.key},
            )
            return False
        if status is None:
            return False
        self.statuses[status.service] = status
        log.info(
            "roll-out of %s to %s is %s",
            status.service,
            status.target,
            status.step.value,
            extra={"event": "rollout", "service": status.service},
        )
        return True

    def of(self, service: str) -> TrackedRollout | None:
        """Returns the newest roll-out of a service, if there is one."""
        order = self.orders().get(service)
        if order is None:
            return None
        tracked = self.tracked.get(service)
        if tracked is None or tracked.order != order:
            tracked = TrackedRollout(order, self.clock())
            self.tracked[service] = tracked
        status = self.statuses.get(service)
        if status is not None and status is not tracked.status:
            self.take_status(tracked, status)
        return tracked

    def take_status(
        self, tracked: TrackedRollout, status: RolloutStatus
    ) -> None:
        """Takes the recorded state if it belongs to the order."""
        if status.target != tracked.order.target:
            return
        tracked.status = status
        # A node that started later takes the beginning from the record.
        recorded_s = time.time() - status.began_ms / 1_000
        seen_s = self.clock() - tracked.began
        if seen_s + STALE_S < recorded_s < 2 * tracked.order.duration_s:
            tracked.began = self.clock() - recorded_s

    def split(self, service: str, servers: list[ServerEntry]) -> VersionSplit:
        """Returns which servers may receive work."""
        tracked = self.of(service)
        if tracked is None:
            return VersionSplit(servers, [], 0.0, False)
        target = tracked.order.target
        new = [s for s in servers if s.version == target]
        old = [s for s in servers if s.version != target]
        if tracked.step is RolloutStep.COMPLETED:
            return VersionSplit([], new or old, 1.0, False)
        if tracked.step is RolloutStep.REVERTED or tracked.found_bad:
            return VersionSplit(old, [], 0.0, False)
        elapsed = self.elapsed_s(tracked)
        self.advance(tracked, elapsed)
        if not new:
            return VersionSplit(old, [], 0.0, False)
        half = elapsed < HALF_TIME * tracked.order.duration_s
        return VersionSplit(old, new, tracked.share, half)

    def elapsed_s(self, tracked: TrackedRollout) -> float:
        """Returns the time since the roll-out began, in seconds."""
        return self.clock() - tracked.began

    def advance(self, tracked: TrackedRollout, elapsed: float) -> None:
        """Raises the share by time while the evidence is fresh and good."""
        part = elapsed / max(tracked.order.duration_s, 0.001)
        wanted = CANARY_SHARE
        for begin, share in RAMP:
            if part >= begin:
                wanted = share
        if wanted <= tracked.share or self.evidence_age_s() > STALE_S:
            return
        evidence = self.pooled(tracked)
        target = tracked.order.target
        if count_answers(evidence, target) < MIN_ANSWERS:
            return
        if self.judge(tracked):
            return
        tracked.share = wanted
        log.info(
            "roll-out of %s: share %.2f for %s",
            tracked.order.service,
            wanted,
            target,
            extra={
                "event": "rollout_share",
                "service": tracked.order.service,
                "answers": count_answers(evidence, target),
                "evidence_age_s": round(self.evidence_age_s(), 2),
            },
        )

    def pooled(self, tracked: TrackedRollout) -> Evidence:
        """Returns the evidence of all live nodes."""
        parts = [tracked.evidence]
        key = self.evidence_key(tracked)
        parts += [part[key] for part in self.others() if key in part]
        return pooled(parts)

    def evidence_key(self, tracked: TrackedRollout) -> str:
        """Returns the name under which evidence is reported."""
        return f"{tracked.order.service}|{tracked.order.target}"

    def judge(self, tracked: TrackedRollout) -> bool:
        """Tells whether the evidence is against the new version."""
        if tracked.found_bad:
            return True
        evidence = self.pooled(tracked)
        if not is_bad(evidence, tracked.order.target):
            return False
        tracked.found_bad = True
        counts = evidence.get(tracked.order.target, {})
        log.warning(
            "version %s of %s is bad and gets no more work",
            tracked.order.target,
            tracked.order.service,
            extra={
                "event": "version_bad",
                "service": tracked.order.service,
                "answers": sum(c.answers for c in counts.values()),
                "bad": sum(c.bad for c in counts.values()),
            },
        )
        return True

    def note(self, service: str, version: str, route: str, bad: bool) -> None:
        """Counts an answer while a roll-out is active."""
        tracked = self.of(service)
        if tracked is None or tracked.step is not RolloutStep.ACTIVE:
            return
        count = tracked.evidence.setdefault(version, {}).setdefault(
            route, OutcomeCount()
        )
        count.answers += 1
        count.bad += bad
        if bad and version == tracked.order.target:
            self.judge(tracked)

    def own_evidence(self) -> EvidenceByRollout:
        """Returns this node's evidence of active roll-outs for its report."""
        return {
            self.evidence_key(tracked): tracked.evidence
            for tracked in self.tracked.values()
            if tracked.step is RolloutStep.ACTIVE
        }
