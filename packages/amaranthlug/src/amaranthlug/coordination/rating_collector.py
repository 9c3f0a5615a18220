"""Submits answers to the rating service and counts their ratings."""

import dataclasses
import logging
from collections import Counter, OrderedDict, deque
from collections.abc import Callable

from result import Err

from amaranthlug.coordination.evidence_exchange import EvidenceExchange
from amaranthlug.coordination.platform import (
    AnswerSample,
    Metrics,
    Rating,
    RatingService,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.evidence import Cell

MAX_UNRATED = 5_000
"""Answers whose rating is awaited; the oldest are given up beyond it."""

MAX_BUFFERED = 500
"""Samples that wait for submission; the oldest are dropped beyond it."""

BATCH = 100
"""Samples in one submission."""

SAMPLES_PER_S = 10.0
"""Samples of proven versions a node submits; unproven ones all go."""

PERIOD_S = 0.5
"""Period of submission and of fetching, in seconds."""

OUT_AFTER_S = 10.0
"""Without a successful fetch for so long the service counts as out."""

LATE_AFTER_S = 60.0
"""With answers waiting for so long and no rating it counts as late."""

UNRATED_EXPIRY_S = 600.0
"""An answer without a rating for so long was not in the service's sample."""

SKIP_MARGIN_S = 10.0
"""An answer older by this than another that is already rated was probably
not sampled and no longer counts against the quota of its version."""

TRUST_HALF_S = 1_800.0
"""Time without ratings after which evidence counts half, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class Unrated:
    """A submitted answer whose rating is awaited.

    Attributes:
        waived: It no longer counts against the quota of its version.
    """

    cell: Cell
    server: str
    passed: bool
    delivered: bool
    at: float
    waived: bool = False


def answer_name(request_id: str, version: str) -> str:
    """Returns the name of an answer; a cascade has one by each version."""
    return f"{request_id}|{version}"


class RatingCollector:
    """Samples of this node's answers on their way through the service."""

    def __init__(
        self,
        service: RatingService,
        pool: EvidenceExchange,
        metrics: Metrics,
        now: Callable[[], float],
    ):
        """Creates a collector; `start` subscribes it to the timers."""
        self.service = service
        self.pool = pool
        self.metrics = metrics
        self.now = now
        self.buffer: deque[AnswerSample] = deque(maxlen=MAX_BUFFERED)
        self.unrated: OrderedDict[str, Unrated] = OrderedDict()
        self.holding: deque[str] = deque()
        self.held: Counter[str] = Counter()
        self.rated_to = 0.0
        self.position = -1
        self.fetched_at = now()
        self.rated_at = now()
        self.allowance = SAMPLES_PER_S
        self.allowance_at = now()

    def start(self, timers: TimerService) -> None:
        """Submits and fetches periodically, each in its own greenlet."""
        timers.every("rating-submit", PERIOD_S, self.submit)
        timers.every("rating-fetch", PERIOD_S, self.fetch)

    def offer(
        self,
        sample: AnswerSample,
        cell: Cell,
        server: str,
        passed: bool,
        unproven: bool,
        delivered: bool = True,
    ) -> bool:
        """Takes an answer for rating; False when the sample is full.

        Args:
            sample: The answer.
            cell: Row that its rating counts for.
            server: Server that gave it.
            passed: It passed the check of a cascade.
            unproven: Its rating is needed, so it is always submitted.
            delivered: The caller got it; False for a step that was escalated.
        """
        now = self.now()
        grown = (now - self.allowance_at) * SAMPLES_PER_S
        self.allowance = min(2 * SAMPLES_PER_S, self.allowance + grown)
        self.allowance_at = now
        if not unproven:
            if self.allowance < 1:
                return False
            self.allowance -= 1
        if not self.unrated:
            self.rated_at = now
        self._wait(
            sample.request_id, sample.version, cell, server, passed, delivered
        )
        self.buffer.append(sample)
        return True

    def _wait(
        self,
        request_id: str,
        version: str,
        cell: Cell,
        server: str,
        passed: bool,
        delivered: bool,
    ) -> None:
        name = answer_name(request_id, version)
        self._forget(name)
        self.unrated[name] = Unrated(
            cell, server, passed, delivered, self.now()
        )
        self.holding.append(name)
        self.held[cell.version] += 1
        if len(self.unrated) > MAX_UNRATED:
            self._forget(next(iter(self.unrated)))
            self.metrics.incr("evidence.unrated_dropped")

    def _forget(self, name: str) -> Unrated | None:
        waiting = self.unrated.pop(name, None)
        if waiting is not None and not waiting.waived:
            self.held[waiting.cell.version] -= 1
        return waiting

    def submit(self) -> None:
        """Sends one batch; a failed one is sent again next time.

        A batch submitted twice is harmless: the second rating of an answer
        finds no waiting entry and is ignored.
        """
        size = min(BATCH, len(self.buffer))
        batch = [self.buffer.popleft() for _ in range(size)]
        if not batch:
            return
        answer = self.service.submit(batch)
        if isinstance(answer, Err):
            self.metrics.incr("evidence.submit_failed")
            self.buffer.extendleft(reversed(batch))

    def fetch(self) -> None:
        """Counts new ratings of answers that this node submitted."""
        answer = self.service.fetch(self.position)
        now = self.now()
        if isinstance(answer, Err):
            self.metrics.incr("evidence.fetch_failed")
        else:
            self.fetched_at = now
            for rating in answer.unwrap():
                self.position = max(self.position, rating.seq)
                self._count(rating)
        self._expire(now)
        silent_s = self.silent_s()
        self.pool.evidence.rating_weight = 0.5 ** (silent_s / TRUST_HALF_S)
        self.metrics.gauge("evidence.rating_silent_s", silent_s)

    def _count(self, rating: Rating) -> None:
        waiting = self._forget(answer_name(rating.request_id, rating.version))
        if waiting is None:
            return
        self.rated_to = max(self.rated_to, waiting.at)
        self.rated_at = self.now()
        word = "good" if rating.good else "bad"
        amounts = {word: 1}
        if waiting.passed:
            amounts[f"pass_{word}"] = 1
        server = Cell(waiting.cell.version, server=waiting.server)
        for cell in (waiting.cell, server):
            self.pool.evidence.count(cell, **amounts)
            self.pool.mark_changed(cell, urgent=not rating.good)
        if waiting.delivered:
            kind = Cell("", waiting.cell.kind)
            self.pool.evidence.count(kind, **{word: 1})
            self.pool.mark_changed(kind)
        self.metrics.incr(f"evidence.rated_{word}")

    def _expire(self, now: float) -> None:
        while self.holding:
            waiting = self.unrated.get(self.holding[0])
            if waiting is not None and not waiting.waived:
                if waiting.at > self.rated_to - SKIP_MARGIN_S:
                    break
                waiting.waived = True
                self.held[waiting.cell.version] -= 1
            self.holding.popleft()
        while self.unrated:
            oldest = next(iter(self.unrated))
            if now - self.unrated[oldest].at < UNRATED_EXPIRY_S:
                return
            self._forget(oldest)

    def silent_s(self) -> float:
        """Returns seconds of outage or lateness, 0 while ratings come."""
        now = self.now()
        unreachable = now - self.fetched_at
        if unreachable > OUT_AFTER_S:
            return unreachable
        late = now - self.rated_at
        return late if self.unrated and late > LATE_AFTER_S else 0.0

    def are_overdue(self) -> bool:
        """Tells whether ratings no longer come."""
        return self.silent_s() > 0

    def count_unrated(self, version: str) -> int:
        """Returns how many answers of a version hold its quota."""
        return self.held[version]
