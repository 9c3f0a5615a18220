"""Hysteresis: a kind below its target moves up at once and down slowly."""

import dataclasses
import math
from collections import deque
from collections.abc import Callable

from amaranthlug.state.catalog import RequestKind
from amaranthlug.state.evidence import Cell, Evidence

WINDOW_S = 60.0
"""Length of the window over which a kind's quality is watched, in seconds."""

SNAPSHOT_S = 1.0
"""Least time between two looks at the counters, in seconds."""

LEAST_RATED = 30
"""Ratings in a window before it says anything."""

NOISE = 2.5
"""Standard errors below the target before a kind moves up. The window is
looked at each second; with 1.0 a kind on target moved up every few minutes
and its cost doubled."""

STEP = 0.02
"""Least margin added by a move up, and taken off by a move down."""

MAX_MARGIN = 0.10
"""Largest margin; with it only the best versions remain."""

CALM_S = 300.0
"""Time on target after which the margin falls by one step, in seconds."""


@dataclasses.dataclass
class Window:
    """Recent ratings of one kind and the margin in force."""

    seen: deque[tuple[float, int, int]] = dataclasses.field(
        default_factory=deque
    )
    margin: float = 0.0
    changed_at: float = 0.0


class KindWindows:
    """Margins above the targets, by kind."""

    def __init__(self, evidence: Evidence, now: Callable[[], float]):
        """Creates windows over the delivered answers in `evidence`."""
        self.evidence = evidence
        self.now = now
        self.windows: dict[str, Window] = {}

    def margin(self, kind: RequestKind) -> float:
        """Returns what is added to the kind's target now."""
        now = self.now()
        window = self.windows.setdefault(
            kind.name, Window(deque(), changed_at=now)
        )
        if not window.seen or now - window.seen[-1][0] >= SNAPSHOT_S:
            tally = self.evidence.pooled(Cell("", kind.name))
            window.seen.append((now, tally.good, tally.bad))
            while now - window.seen[0][0] > WINDOW_S:
                window.seen.popleft()
            self._judge(window, kind.quality_target, now)
        return window.margin

    def _judge(self, window: Window, target: float, now: float) -> None:
        first, last = window.seen[0], window.seen[-1]
        good, bad = last[1] - first[1], last[2] - first[2]
        rated = good + bad
        noise = math.sqrt(target * (1 - target) / max(1, rated))
        if rated >= LEAST_RATED and good / rated < target - NOISE * noise:
            # A single step would leave a kind far below its target for
            # several windows, so the whole deficit is made up for at once.
            deficit = max(STEP, target - good / rated)
            window.margin = min(MAX_MARGIN, window.margin + deficit)
            window.changed_at = now
            # The next move up needs ratings given after this one.
            window.seen = deque([last])
        elif window.margin and now - window.changed_at >= CALM_S:
            window.margin = max(0.0, window.margin - STEP)
            window.changed_at = now
