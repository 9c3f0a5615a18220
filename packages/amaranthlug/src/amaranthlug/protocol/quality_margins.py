"""Margins on quality targets, raised in one step and lowered slowly."""

import dataclasses
import math
from collections import deque
from collections.abc import Callable

from amaranthlug.state.catalog import RequestKind
from amaranthlug.state.evidence import Cell, Evidence

WINDOW_S = 60.0
"""Length of the window over which a kind's quality is measured, in seconds."""

SNAPSHOT_INTERVAL_S = 1.0
"""Minimum time between two snapshots of the counters, in seconds."""

MIN_RATED = 30
"""Minimum number of ratings in a window for an evaluation."""

MAX_STANDARD_ERRORS = 2.5
"""Standard errors below the target at which the margin is raised. The window is
evaluated every second; with 1.0, the margin of a kind on target was raised
every few minutes and its cost doubled."""

MARGIN_STEP = 0.02
"""Minimum increase of a margin, and the amount of each decrease."""

MAX_MARGIN = 0.10
"""Maximum margin; only the best versions meet a target raised by it."""

DECREASE_AFTER_S = 300.0
"""Time on target after which the margin is decreased, in seconds."""


@dataclasses.dataclass
class RatingWindow:
    """Recent ratings of one kind and its current margin.

    Attributes:
        snapshots: Snapshots as (monotonic time in seconds, good, bad).
        margin: Amount added to the quality target.
        changed_at: Time of the last change of the margin.
    """

    snapshots: deque[tuple[float, int, int]] = dataclasses.field(
        default_factory=deque
    )
    margin: float = 0.0
    changed_at: float = 0.0


class QualityMargins:
    """Margins added to quality targets, by kind."""

    def __init__(self, evidence: Evidence, now: Callable[[], float]):
        """Creates windows over the ratings of delivered answers."""
        self.evidence = evidence
        self.now = now
        self.windows: dict[str, RatingWindow] = {}

    def margin(self, kind: RequestKind) -> float:
        """Returns the margin currently added to the target of a kind."""
        now = self.now()
        window = self.windows.setdefault(
            kind.name, RatingWindow(deque(), changed_at=now)
        )
        if (
            not window.snapshots
            or now - window.snapshots[-1][0] >= SNAPSHOT_INTERVAL_S
        ):
            tally = self.evidence.pooled(Cell("", kind.name))
            window.snapshots.append((now, tally.good, tally.bad))
            while now - window.snapshots[0][0] > WINDOW_S:
                window.snapshots.popleft()
            self._adjust_margin(window, kind.quality_target, now)
        return window.margin

    def _adjust_margin(
        self, window: RatingWindow, target: float, now: float
    ) -> None:
        first, last = window.snapshots[0], window.snapshots[-1]
        good, bad = last[1] - first[1], last[2] - first[2]
        rated = good + bad
        standard_error = math.sqrt(target * (1 - target) / max(1, rated))
        if (
            rated >= MIN_RATED
            and good / rated < target - MAX_STANDARD_ERRORS * standard_error
        ):
            # Fixed steps would leave a kind far below its target for several
            # windows, so the full deficit is added in one step.
            deficit = max(MARGIN_STEP, target - good / rated)
            window.margin = min(MAX_MARGIN, window.margin + deficit)
            window.changed_at = now
            # The next increase needs ratings given after this one.
            window.snapshots = deque([last])
        elif window.margin and now - window.changed_at >= DECREASE_AFTER_S:
            window.margin = max(0.0, window.margin - MARGIN_STEP)
            window.changed_at = now
