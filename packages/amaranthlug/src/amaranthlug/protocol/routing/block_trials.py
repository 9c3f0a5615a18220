"""Lets single requests try whether a prompt part is blocked wrongly."""

import dataclasses
import logging
import math
from collections.abc import Callable

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.fleet_suspects import FleetSuspects
from amaranthlug.protocol.routing.request_subjects import RequestSubjects

MAX_TRIALS = 3
"""Most trials of a block; each may end a server."""
SEPARATING_PAUSE_S = 1.0
"""Time between trials that tell a blocked part from others that explain the
same crashes, in seconds; longer than a stream takes to make progress."""
FIRST_TRIAL_S = 60.0
"""Time after which a part is tried that alone explains its crashes, in seconds;
doubled by each trial."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class BlockTrial:
    """The trials of one block.

    Attributes:
        blocked_at: Clock when a request first met the block, in seconds.
        count: Trials that have begun.
        last_at: Clock at the last one, in seconds.
    """

    blocked_at: float
    count: int = 0
    last_at: float = -math.inf


class BlockTrials:
    """Decides which requests may reach a server in spite of a block.

    While a part is blocked, no answer can clear it. If other parts explain the
    same crashes, a request that lacks one of them shows which is the cause. One
    node of the fleet, drawn by the part, runs all its trials.
    """

    def __init__(
        self,
        suspects: FleetSuspects,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates trials.

        Args:
            suspects: Knows what is blocked, and the nodes of the fleet.
            metrics: Counts trials.
            clock: Returns seconds.
        """
        self.suspects = suspects
        self.metrics = metrics
        self.clock = clock
        self.trials: dict[str, BlockTrial] = {}

    def begin(self, part: str, subjects: RequestSubjects) -> bool:
        """Returns whether a request may try a blocked part now, and counts it.

        Args:
            part: Name of the part.
            subjects: Names of the request, which has the part.
        """
        now = self.clock()
        for ended in self.trials.keys() - self.suspects.blocked.keys():
            del self.trials[ended]
        trial = self.trials.setdefault(part, BlockTrial(now))
        if not self.is_due(
            trial, self.separates(part, subjects)
        ) or not self.suspects.is_drawn_for(part):
            return False
        trial.count += 1
        trial.last_at = now
        self.metrics.incr("parts.tried")
        log.info(
            "a request tries the blocked part %s",
            part,
            extra={
                "event": "block_trial",
                "digest": part,
                "request_id": subjects.request.request_id,
                "count": trial.count,
            },
        )
        return True

    def separates(self, part: str, subjects: RequestSubjects) -> bool:
        """Returns whether a request lacks another possible cause."""
        held = {*subjects.parts, subjects.digest}
        return not self.suspects.alternatives.get(part, set()) <= held

    def is_due(self, trial: BlockTrial, separates: bool) -> bool:
        """Returns whether it is time for a trial."""
        if trial.count >= MAX_TRIALS:
            return False
        now = self.clock()
        if separates:
            return now - trial.last_at >= SEPARATING_PAUSE_S
        wait_s = FIRST_TRIAL_S * 2**trial.count
        return now - max(trial.blocked_at, trial.last_at) >= wait_s
