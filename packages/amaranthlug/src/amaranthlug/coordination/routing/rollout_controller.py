"""Records the steps of roll-outs; one conditional write wins."""

import logging
import time
from collections.abc import Callable
from typing import Protocol

from result import Err

from amaranthlug.coordination.routing.keyed_store import KeyedStore
from amaranthlug.coordination.routing.rollout_tracker import (
    RolloutTracker,
    TrackedRollout,
)
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.state.routing.fleet import NodeEntry, RunningByService
from amaranthlug.state.routing.rollout import RolloutStatus, RolloutStep

TURN_S = 0.7
"""Time by which each further node waits longer before it writes, in seconds:
more than a write and its reading by the others take."""
SETTLED_SHARE = 0.75
"""Part of the duration after which idle old servers let it be completed."""
COMPLETE_LEAD_S = 1.5
"""Time before the end of a roll-out at which it is completed although old
servers still work, in seconds: two turns."""

log = logging.getLogger(__name__)


class StatusEncoder(Protocol):
    """Encodes the state of a roll-out."""

    def encode_status(self, status: RolloutStatus) -> tuple[str, bytes]:
        """Returns key and value of its record."""
        ...


class RolloutController:
    """Writes the next step of each roll-out when it is this node's turn."""

    def __init__(
        self,
        store: KeyedStore,
        follower: TopicFollower,
        tracker: RolloutTracker,
        encoder: StatusEncoder,
        node: str,
        live_nodes: Callable[[], list[NodeEntry]],
        running: Callable[[], RunningByService],
    ):
        """Creates a controller.

        Args:
            store: Where steps are recorded.
            follower: Follows the recorded steps.
            tracker: Judges versions.
            encoder: Encodes steps.
            node: Name of this node.
            live_nodes: Returns all live nodes.
            running: Returns the requests in flight at all nodes.
        """
        self.store = store
        self.follower = follower
        self.tracker = tracker
        self.encoder = encoder
        self.node = node
        self.live_nodes = live_nodes
        self.running = running
        self.due_since: dict[tuple[str, str, RolloutStep], float] = {}

    def is_busy(self) -> bool:
        """Tells whether a roll-out is active."""
        return any(
            tracked.step is RolloutStep.ACTIVE for tracked in self.all_tracked()
        )

    def all_tracked(self) -> list[TrackedRollout]:
        """Returns the newest roll-out of each service."""
        found = [self.tracker.of(name) for name in self.tracker.orders()]
        return [tracked for tracked in found if tracked is not None]

    def step(self) -> None:
        """Writes what is due."""
        for tracked in self.all_tracked():
            wanted = self.wanted(tracked)
            if wanted is not None and self.is_my_turn(tracked, wanted):
                self.record(tracked, wanted)

    def wanted(self, tracked: TrackedRollout) -> RolloutStep | None:
        """Returns the step that should be recorded next, if any."""
        if tracked.step is not RolloutStep.ACTIVE:
            return None
        if self.tracker.judge(tracked):
            return RolloutStep.REVERTED
        if tracked.status is None:
            return RolloutStep.ACTIVE
        if tracked.share < 1.0:
            return None
        order = tracked.order
        left = order.duration_s - self.tracker.elapsed_s(tracked)
        if left < COMPLETE_LEAD_S or self.old_are_idle(tracked):
            return RolloutStep.COMPLETED
        return None

    def old_are_idle(self, tracked: TrackedRollout) -> bool:
        """Tells whether no node has work on another version.

        Requests in flight are known with a lag, so they count only some time
        after all work went to the new version.
        """
        order = tracked.order
        running = self.running().get(order.service, {})
        if any(n for version, n in running.items() if version != order.target):
            return False
        settled = SETTLED_SHARE * order.duration_s
        return self.tracker.elapsed_s(tracked) > settled

    def is_my_turn(self, tracked: TrackedRollout, wanted: RolloutStep) -> bool:
        """Lets the first live node write, later ones only if it does not."""
        now = self.tracker.clock()
        key = (tracked.order.service, tracked.order.target, wanted)
        since = self.due_since.setdefault(key, now)
        names = sorted(entry.node for entry in self.live_nodes())
        place = names.index(self.node) if self.node in names else len(names)
        return now - since >= place * TURN_S

    def record(self, tracked: TrackedRollout, step: RolloutStep) -> None:
        """Writes a step if nothing was written since the last reading."""
        position = self.follower.position
        if position is None:
            return
        order = tracked.order
        began_ms = int((time.time() - self.tracker.elapsed_s(tracked)) * 1_000)
        if tracked.status is not None:
            began_ms = tracked.status.began_ms
        status = RolloutStatus(order.service, order.target, step, began_ms)
        result = self.store.append(
            self.follower.topic,
            [self.encoder.encode_status(status)],
            expected_end=position,
        )
        outcome = "written"
        if isinstance(result, Err):
            outcome = result.err_value.message
        log.info(
            "roll-out of %s to %s: %s: %s",
            order.service,
            order.target,
            step.value,
            outcome,
            extra={"event": "rollout_write", "position": position},
        )
