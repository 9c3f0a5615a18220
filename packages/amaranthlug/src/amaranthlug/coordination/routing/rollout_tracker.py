"""Decides which versions of a service receive requests during a roll-out."""

import dataclasses
import logging
import math
import time
from collections.abc import Callable
from typing import Protocol

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.fleet import EvidenceByRollout, RolloutAges
from amaranthlug.state.routing.rollout import (
    OutcomeCount,
    RolloutEvidence,
    RolloutOrder,
    RolloutPhase,
    RolloutStatus,
    is_bad,
    pooled,
    sum_counts,
)
from amaranthlug.state.routing.servers import ServerEntry

CANARY_SHARE = 0.08
"""Share of requests that the new version gets in the first half of a roll-out.
At most 0.0975 of all requests, or a higher bound, may reach a bad version. Even
with the full share afterwards it stays below that if its fault shows within a
tenth of the duration."""
SESSION_HOLD_SHARE = 0.5
"""Share of the duration in which sessions must stay on the old version."""
NEW_VERSION_DELAY_S = 2.0
"""Time from the order until sessions may start on the new version, in seconds.
By then every node knows of the roll-out and has announced its sessions."""
SHARE_RAMP = ((0.5, 0.4), (0.56, 1.0))
"""Pairs of a share of the duration and the share of requests that the new
version gets from then on. In the remaining time requests on old servers end."""
AGE_TOLERANCE_S = 0.2
"""Difference in the ages of a roll-out that is not corrected, in seconds; an
order reaches nodes that many milliseconds apart."""
MIN_ANSWERS = 20
"""Minimum answers of the new version before its share grows beyond the canary
share."""
MAX_EVIDENCE_AGE_S = 3.0
"""Age of the other nodes' evidence above which the share does not grow, in
seconds; three reporting periods."""

log = logging.getLogger(__name__)


class StatusDecoder(Protocol):
    """Decodes the recorded state of roll-outs."""

    def status(self, record: KeyedRecord) -> RolloutStatus | None:
        """Returns the state, or None if the record holds another kind.

        Raises:
            ValueError: The record is malformed.
        """
        ...


@dataclasses.dataclass(frozen=True)
class VersionSplit:
    """Servers by version, and the share of requests for the new version.

    Attributes:
        old: Servers of all other versions.
        new: Servers of the version being rolled out.
        share: Share of requests for the new version, 0 to 1.
        keep_sessions: Sessions must stay on their current version.
        new_may_start: Sessions may start on the new version.
        target: The new version; empty without an active roll-out.
        rollout_id: Identifies the active roll-out; empty without one.
    """

    old: list[ServerEntry]
    new: list[ServerEntry]
    share: float
    keep_sessions: bool = False
    new_may_start: bool = True
    target: str = ""
    rollout_id: str = ""


@dataclasses.dataclass
class TrackedRollout:
    """This node's view of a roll-out.

    Attributes:
        order: The operator's order.
        started_at: Clock at its start, in seconds.
        start_is_known: The start was seen by this node or by another one; else
            it is an estimate by the time of day, which differs between VMs.
        status: The recorded state.
        evidence: Answers that this node has counted.
        share: Share of requests for the new version.
        raised_at: Clock when the share was last raised, in seconds.
        judged_bad: The evidence has shown that the new version is bad.
    """

    order: RolloutOrder
    started_at: float
    start_is_known: bool = True
    status: RolloutStatus | None = None
    evidence: RolloutEvidence = dataclasses.field(default_factory=dict)
    share: float = CANARY_SHARE
    raised_at: float = -math.inf
    judged_bad: bool = False

    @property
    def rollout_id(self) -> str:
        """Returns an id that a repeated order for a version does not share."""
        order = self.order
        return f"{order.service}|{order.target}|{order.offset}"

    @property
    def phase(self) -> RolloutPhase:
        """The recorded phase; active if none is recorded yet."""
        return self.status.phase if self.status else RolloutPhase.ACTIVE


class RolloutTracker:
    """Tracks roll-outs from orders, recorded states and pooled evidence.

    Attributes:
        rejected: Service -> versions that were reverted or judged bad. Their
            servers may still run when the next roll-out is ordered.
    """

    def __init__(
        self,
        decoder: StatusDecoder,
        orders: Callable[[], dict[str, RolloutOrder]],
        other_evidence: Callable[[], list[EvidenceByRollout]],
        evidence_age_s: Callable[[], float],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a tracker.

        Args:
            decoder: Decodes the records of states.
            orders: Returns the newest order of each service.
            other_evidence: Returns the answer counts of other nodes.
            evidence_age_s: Returns the age of those counts, in seconds.
            clock: Returns seconds.
        """
        self.decoder = decoder
        self.orders = orders
        self.other_evidence = other_evidence
        self.evidence_age_s = evidence_age_s
        self.clock = clock
        self.statuses: dict[str, RolloutStatus] = {}
        self.stored_statuses: dict[str, RolloutStatus] = {}
        self.rollouts: dict[str, TrackedRollout] = {}
        self.rejected: dict[str, set[str]] = {}
        self.has_read_statuses = False

    def replace(self, records: list[KeyedRecord]) -> None:
        """Applies a full read of the recorded states."""
        for record in records:
            self.apply(record)
        self.has_read_statuses = True

    def restore(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        """Keeps the states that are newer than those of an older copy.

        `RolloutController` writes those again that the copy lacks.
        """
        self.stored_statuses.clear()
        return [record for record in records if self.restore_record(record)]

    def restore_record(self, record: KeyedRecord) -> bool:
        """Applies a state of the copy; False if it is outdated."""
        status = self.decode(record)
        if status is None:
            return False
        known = self.statuses.get(status.service)
        order = self.orders().get(status.service)
        if known is not None and known.target == status.target:
            is_newer = known.phase is RolloutPhase.ACTIVE
        else:
            is_newer = order is None or order.target == status.target
        if known is None or is_newer:
            self.take(status)
            return True
        self.stored_statuses[status.service] = status
        return False

    def decode(self, record: KeyedRecord) -> RolloutStatus | None:
        """Returns a recorded state, None if the record holds none."""
        if record.value is None:
            return None
        try:
            return self.decoder.status(record)
        except ValueError as error:
            log.warning(
                "ignoring malformed roll-out state: %s",
                error,
                extra={"event": "status_unreadable", "key": record.key},
            )
            return None

    def apply(self, record: KeyedRecord) -> bool:
        """Applies a recorded state; False if the record holds none."""
        status = self.decode(record)
        if status is None:
            return False
        self.take(status)
        return True

    def take(self, status: RolloutStatus) -> None:
        """Takes a state that was read."""
        self.record_stored(status)
        log.info(
            "roll-out of %s to %s is %s",
            status.service,
            status.target,
            status.phase.value,
            extra={"event": "rollout", "service": status.service},
        )

    def record_stored(self, status: RolloutStatus) -> None:
        """Records a state that the store holds.

        Also called for one that this node wrote, before it is read back: if the
        store loses it before that, only this node can write it again.
        """
        self.statuses[status.service] = status
        self.stored_statuses[status.service] = status
        rejected = self.rejected.setdefault(status.service, set())
        if status.phase is RolloutPhase.REVERTED:
            rejected.add(status.target)
        else:
            rejected.discard(status.target)

    def rollout_of(self, service: str) -> TrackedRollout | None:
        """Returns the newest roll-out of a service, or None."""
        order = self.orders().get(service)
        if order is None:
            return None
        rollout = self.rollouts.get(service)
        status = self.statuses.get(service)
        if status is not None and status.target != order.target:
            status = None
        if (
            rollout is None
            or rollout.order != order
            or (rollout.status is None and not rollout.start_is_known)
        ):
            rollout = self.track(order, status)
            self.rollouts[service] = rollout
        if status is not None:
            rollout.status = status
        return rollout

    def track(
        self, order: RolloutOrder, status: RolloutStatus | None
    ) -> TrackedRollout:
        """Begins to track a roll-out.

        If its state is recorded already, this node may have started after the
        order; until another node tells, the record says when that was.
        """
        now = self.clock()
        if status is None:
            return TrackedRollout(
                order, now, start_is_known=self.has_read_statuses
            )
        age_s = time.time() - status.began_ms / 1_000
        if not 0 < age_s < 2 * order.duration_s:
            age_s = 0.0
        return TrackedRollout(order, now - age_s, start_is_known=False)

    def adopt_ages(self, ages: RolloutAges) -> None:
        """Corrects the starts of roll-outs that other nodes saw earlier."""
        for rollout in self.rollouts.values():
            age_s = ages.get(rollout.rollout_id)
            if age_s is None:
                continue
            own_age_s = self.elapsed_s(rollout)
            if rollout.start_is_known and age_s <= own_age_s + AGE_TOLERANCE_S:
                continue
            rollout.started_at = self.clock() - age_s
            rollout.start_is_known = True
            log.info(
                "roll-out of %s started %.1f s ago, not %.1f s",
                rollout.order.service,
                age_s,
                own_age_s,
                extra={
                    "event": "rollout_age",
                    "service": rollout.order.service,
                },
            )

    def own_ages(self) -> RolloutAges:
        """Returns the ages of active roll-outs whose start is known."""
        return {
            rollout.rollout_id: self.elapsed_s(rollout)
            for rollout in self.rollouts.values()
            if rollout.phase is RolloutPhase.ACTIVE and rollout.start_is_known
        }

    def split(self, service: str, servers: list[ServerEntry]) -> VersionSplit:
        """Splits servers by version and returns those that may get requests."""
        rollout = self.rollout_of(service)
        if rollout is None:
            return VersionSplit(servers, [], 0.0)
        order = rollout.order
        new = [s for s in servers if s.version == order.target]
        old = self.without_rejected(
            [s for s in servers if s.version != order.target], service
        )
        if rollout.phase is RolloutPhase.COMPLETED:
            return VersionSplit([], new or old, 1.0)
        if rollout.phase is RolloutPhase.REVERTED or rollout.judged_bad:
            return VersionSplit(old, [], 0.0)
        elapsed = self.elapsed_s(rollout)
        self.raise_share(rollout, elapsed)
        hold_s = SESSION_HOLD_SHARE * order.duration_s
        return VersionSplit(
            old,
            new,
            rollout.share,
            keep_sessions=elapsed < hold_s,
            new_may_start=elapsed >= min(NEW_VERSION_DELAY_S, hold_s),
            target=order.target,
            rollout_id=rollout.rollout_id,
        )

    def without_rejected(
        self, servers: list[ServerEntry], service: str
    ) -> list[ServerEntry]:
        """Returns the servers of versions that were not rejected.

        Returns all if there are no others.
        """
        rejected = self.rejected.get(service, set())
        return [s for s in servers if s.version not in rejected] or servers

    def elapsed_s(self, rollout: TrackedRollout) -> float:
        """Returns the time since the roll-out started, in seconds."""
        return self.clock() - rollout.started_at

    def raise_share(self, rollout: TrackedRollout, elapsed: float) -> None:
        """Raises the share as due if the evidence is recent and not bad."""
        elapsed_share = elapsed / max(rollout.order.duration_s, 0.001)
        due_share = CANARY_SHARE
        for start, share in SHARE_RAMP:
            if elapsed_share >= start:
                due_share = share
        if (
            due_share <= rollout.share
            or self.evidence_age_s() > MAX_EVIDENCE_AGE_S
        ):
            return
        evidence = self.pooled_evidence(rollout)
        target = rollout.order.target
        if sum_counts(evidence, target).answers < MIN_ANSWERS:
            return
        if self.is_target_bad(rollout):
            return
        rollout.share = due_share
        rollout.raised_at = self.clock()
        log.info(
            "roll-out of %s: share %.2f for %s",
            rollout.order.service,
            due_share,
            target,
            extra={
                "event": "rollout_share",
                "service": rollout.order.service,
                **dataclasses.asdict(sum_counts(evidence, target)),
                "evidence_age_s": round(self.evidence_age_s(), 2),
            },
        )

    def pooled_evidence(self, rollout: TrackedRollout) -> RolloutEvidence:
        """Returns the summed evidence of all live nodes."""
        parts = [rollout.evidence]
        key = self.evidence_key(rollout)
        parts += [
            evidence[key]
            for evidence in self.other_evidence()
            if key in evidence
        ]
        return pooled(parts)

    def evidence_key(self, rollout: TrackedRollout) -> str:
        """Returns the key of a roll-out's evidence in reports."""
        return f"{rollout.order.service}|{rollout.order.target}"

    def is_target_bad(self, rollout: TrackedRollout) -> bool:
        """Returns whether the evidence shows that the new version is bad.

        Once bad, a version stays so.
        """
        if rollout.judged_bad:
            return True
        evidence = self.pooled_evidence(rollout)
        if not is_bad(evidence, rollout.order.target):
            return False
        rollout.judged_bad = True
        self.rejected.setdefault(rollout.order.service, set()).add(
            rollout.order.target
        )
        counts = sum_counts(evidence, rollout.order.target)
        log.warning(
            "version %s of %s is bad; it gets no more requests",
            rollout.order.target,
            rollout.order.service,
            extra={
                "event": "version_bad",
                "service": rollout.order.service,
                **dataclasses.asdict(counts),
            },
        )
        return True

    def count_answer(
        self, service: str, version: str, route: str, bad: bool
    ) -> None:
        """Counts a server's answer if its service has an active roll-out."""
        self.count(service, version, route, OutcomeCount(1, int(bad)))

    def count(
        self, service: str, version: str, route: str, added: OutcomeCount
    ) -> None:
        """Adds to the counts of a version if a roll-out is active."""
        rollout = self.rollout_of(service)
        if rollout is None or rollout.phase is not RolloutPhase.ACTIVE:
            return
        rollout.evidence.setdefault(version, {}).setdefault(
            route, OutcomeCount()
        ).add(added)
        if version == rollout.order.target and (added.bad or added.slow):
            self.is_target_bad(rollout)

    def target_of(self, service: str) -> str | None:
        """Returns the version of an active roll-out, None without one."""
        rollout = self.rollout_of(service)
        if rollout is None or rollout.phase is not RolloutPhase.ACTIVE:
            return None
        return rollout.order.target

    def own_evidence(self) -> EvidenceByRollout:
        """Returns this node's evidence on active roll-outs for its report."""
        return {
            self.evidence_key(rollout): rollout.evidence
            for rollout in self.rollouts.values()
            if rollout.phase is RolloutPhase.ACTIVE
        }
