"""Records the phases of roll-outs by conditional writes."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

from result import Err, Ok

from amaranthlug.coordination.routing.keyed_store import KeyedStore
from amaranthlug.coordination.routing.rollout_tracker import (
    RolloutTracker,
    TrackedRollout,
)
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.fleet import NodeEntry, RunningByService
from amaranthlug.state.routing.rollout import RolloutPhase, RolloutStatus

WRITE_TURN_S = 0.7
"""Additional wait of each further node before it writes a phase, in seconds;
longer than it takes to write one and for the others to read it."""
EARLY_COMPLETION_SHARE = 0.75
"""Share of the duration after which a roll-out is completed early if the old
versions are idle."""
FORCED_COMPLETION_LEAD_S = 1.5
"""Time before the end of a roll-out at which it is completed even if old
servers still run requests, in seconds; two write turns."""
SETTLING_S = 2.0
"""Least time for which the new version has had all requests when a roll-out is
completed, in seconds; by then their first answers are in the reports."""

log = logging.getLogger(__name__)


class StatusEncoder(Protocol):
    """Encodes the recorded phase of a roll-out."""

    def encode_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Returns the key and value of the state's record."""
        ...


class RolloutController:
    """Writes the next phase of each roll-out when it is this node's turn.

    Phases are written on the condition that the topic has not changed, so that
    of several nodes only one succeeds.
    """

    def __init__(
        self,
        store: KeyedStore,
        follower: TopicFollower,
        tracker: RolloutTracker,
        encoder: StatusEncoder,
        own_name: str,
        live_nodes: Callable[[], list[NodeEntry]],
        running: Callable[[], RunningByService],
    ):
        """Creates a controller.

        Args:
            store: Store in which phases are recorded.
            follower: Follower of the topic of recorded phases.
            tracker: Tracks roll-outs and evaluates their versions.
            encoder: Encodes phases.
            own_name: Name of this node.
            live_nodes: Returns all live nodes.
            running: Returns the requests in flight at all nodes.
        """
        self.store = store
        self.follower = follower
        self.tracker = tracker
        self.encoder = encoder
        self.own_name = own_name
        self.live_nodes = live_nodes
        self.running = running
        self.due_since: dict[tuple[object, ...], float] = {}
        self.rewritten_states = 0

    def has_active_rollout(self) -> bool:
        """Returns whether any roll-out is active."""
        return any(
            rollout.phase is RolloutPhase.ACTIVE
            for rollout in self.current_rollouts()
        )

    def current_rollouts(self) -> list[TrackedRollout]:
        """Returns the newest roll-out of each service."""
        rollouts = [
            self.tracker.rollout_of(name) for name in self.tracker.orders()
        ]
        return [rollout for rollout in rollouts if rollout is not None]

    def write_due_phases(self) -> None:
        """Writes each due phase if it is this node's turn."""
        for rollout in self.current_rollouts():
            next_phase = self.next_phase(rollout)
            if next_phase is not None and self.is_my_turn(rollout, next_phase):
                self.write_phase(rollout, next_phase)

    def lost_statuses(self) -> list[TrackedRollout]:
        """Returns the roll-outs whose state the store has lost."""
        return [
            rollout
            for rollout in self.current_rollouts()
            if rollout.status is not None
            and self.tracker.stored_statuses.get(rollout.order.service)
            != rollout.status
        ]

    def write_lost_statuses(self) -> None:
        """Writes states again that an older copy of the store lacks.

        Nodes take turns as with new phases, and the condition of the write
        lets only one of them succeed.
        """
        for rollout in self.lost_statuses():
            assert rollout.status is not None
            phase = rollout.status.phase
            if self.is_my_turn(rollout, phase, self.store.era.current):
                self.rewritten_states += self.write_phase(rollout, phase)

    def next_phase(self, rollout: TrackedRollout) -> RolloutPhase | None:
        """Returns the phase to record next, or None if none is due."""
        if rollout.phase is not RolloutPhase.ACTIVE:
            return None
        if self.tracker.is_target_bad(rollout):
            return RolloutPhase.REVERTED
        if rollout.status is None:
            return RolloutPhase.ACTIVE
        if (
            rollout.share < 1.0
            or self.tracker.clock() - rollout.raised_at < SETTLING_S
        ):
            return None
        order = rollout.order
        remaining_s = order.duration_s - self.tracker.elapsed_s(rollout)
        if remaining_s < FORCED_COMPLETION_LEAD_S or self.old_versions_are_idle(
            rollout
        ):
            return RolloutPhase.COMPLETED
        return None

    def old_versions_are_idle(self, rollout: TrackedRollout) -> bool:
        """Returns whether no node runs requests on another version.

        Reports of requests in flight lag behind, so this is never true before
        `EARLY_COMPLETION_SHARE` of the duration has passed.
        """
        order = rollout.order
        running = self.running().get(order.service, {})
        if any(n for version, n in running.items() if version != order.target):
            return False
        earliest_s = EARLY_COMPLETION_SHARE * order.duration_s
        return self.tracker.elapsed_s(rollout) > earliest_s

    def is_my_turn(
        self,
        rollout: TrackedRollout,
        next_phase: RolloutPhase,
        era: int | None = None,
    ) -> bool:
        """Returns whether this node may write the phase now.

        The first live node by name writes immediately; each further node waits
        `WRITE_TURN_S` longer in case those before it do not write.

        Args:
            rollout: The roll-out.
            next_phase: The phase to write.
            era: Era of the store for which it is written again, None for the
                first time.
        """
        now = self.tracker.clock()
        key = (rollout.order.service, rollout.order.target, next_phase, era)
        due_at = self.due_since.setdefault(key, now)
        names = sorted(entry.node for entry in self.live_nodes())
        turn = (
            names.index(self.own_name) if self.own_name in names else len(names)
        )
        return now - due_at >= turn * WRITE_TURN_S

    def write_phase(self, rollout: TrackedRollout, phase: RolloutPhase) -> bool:
        """Writes a phase unless the topic has changed since the last read.

        Returns:
            Whether the store has taken it.
        """
        position = self.follower.position
        if position is None:
            return False
        order = rollout.order
        started_ms = int(
            (time.time() - self.tracker.elapsed_s(rollout)) * 1_000
        )
        if rollout.status is not None:
            started_ms = rollout.status.began_ms
        status = RolloutStatus(order.service, order.target, phase, started_ms)
        result = self.store.append(
            self.follower.topic,
            [self.encoder.encode_status(status)],
            expected_end=position,
        )
        outcome = "written"
        if isinstance(result, Err):
            outcome = result.err_value.message
        else:
            self.tracker.record_stored(status)
        log.info(
            "roll-out of %s to %s: writing phase %s: %s",
            order.service,
            order.target,
            phase.value,
            outcome,
            extra={"event": "rollout_write", "position": position},
        )
        return isinstance(result, Ok)
