"""Submits sampled answers to the rating service and counts their ratings."""

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
"""Maximum answers that wait for a rating; the oldest are dropped first."""

MAX_BUFFERED = 500
"""Maximum samples that wait for submission; the oldest are dropped first."""

BATCH_SAMPLES = 100
"""Maximum samples in one submission."""

SAMPLES_PER_S = 10.0
"""Rate at which a node submits answers of proven versions. Answers of unproven
versions are all submitted."""

PERIOD_S = 0.5
"""Period of submitting and of fetching, in seconds."""

UNREACHABLE_AFTER_S = 10.0
"""Time without a successful fetch after which the service counts as
unreachable, in seconds."""

LATE_AFTER_S = 60.0
"""Time without a rating, while answers wait for one, after which ratings count
as late, in seconds."""

UNRATED_EXPIRY_S = 600.0
"""Time after which an answer without a rating is dropped, because the service
has not sampled it, in seconds."""

UNSAMPLED_MARGIN_S = 10.0
"""An answer older by this than another one that has been rated was probably not
sampled, so it no longer counts against the quota of its version; in seconds."""

RATING_HALF_LIFE_S = 1_800.0
"""Time without ratings after which they weigh half, in seconds."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class Unrated:
    """An answer that waits for its rating.

    Attributes:
        cell: Row that the rating counts for.
        server: Server that gave the answer.
        passed: The answer passed the check of a cascade.
        delivered: The caller received the answer.
        at: Monotonic time at which it was added, in seconds.
        is_waived: It no longer counts against the quota of its version.
    """

    cell: Cell
    server: str
    passed: bool
    delivered: bool
    at: float
    is_waived: bool = False


def answer_key(request_id: str, version: str) -> str:
    """Returns the key of an answer; a cascade has one answer per version."""
    return f"{request_id}|{version}"


class RatingCollector:
    """Submits answers of this node and counts their ratings as evidence.

    Attributes:
        buffer: Samples that wait for submission.
        unrated: Answers that wait for a rating, oldest first.
        quota_queue: Keys of answers that count against a quota, oldest first.
        pending_counts: Answers that count against the quota, by version.
        newest_rated_at: Time of the newest answer that has been rated.
        position: Sequence number of the last rating fetched.
        last_rating_at: Time of the last rating.
        allowance: Samples of proven versions that may be submitted now.
    """

    def __init__(
        self,
        service: RatingService,
        exchange: EvidenceExchange,
        metrics: Metrics,
        now: Callable[[], float],
    ):
        """Creates a collector; `start` subscribes it to the timers."""
        self.service = service
        self.exchange = exchange
        self.metrics = metrics
        self.now = now
        self.buffer: deque[AnswerSample] = deque(maxlen=MAX_BUFFERED)
        self.unrated: OrderedDict[str, Unrated] = OrderedDict()
        self.quota_queue: deque[str] = deque()
        self.pending_counts: Counter[str] = Counter()
        self.newest_rated_at = 0.0
        self.position = -1
        self.fetched_at = now()
        self.last_rating_at = now()
        self.allowance = SAMPLES_PER_S
        self.allowance_updated_at = now()

    def start(self, timers: TimerService) -> None:
        """Starts periodic submitting and fetching, each in its own greenlet."""
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
        """Adds an answer to be rated; returns False if the rate is used up.

        Args:
            sample: The answer.
            cell: Row that its rating counts for.
            server: Server that gave the answer.
            passed: The answer passed the check of a cascade.
            unproven: The version is unproven, so the answer is submitted
                whatever the rate.
            delivered: The caller received the answer; False if the cascade
                escalated to the next version.
        """
        now = self.now()
        grown = (now - self.allowance_updated_at) * SAMPLES_PER_S
        self.allowance = min(2 * SAMPLES_PER_S, self.allowance + grown)
        self.allowance_updated_at = now
        if not unproven:
            if self.allowance < 1:
                return False
            self.allowance -= 1
        if not self.unrated:
            self.last_rating_at = now
        self._add_unrated(
            sample.request_id, sample.version, cell, server, passed, delivered
        )
        self.buffer.append(sample)
        return True

    def _add_unrated(
        self,
        request_id: str,
        version: str,
        cell: Cell,
        server: str,
        passed: bool,
        delivered: bool,
    ) -> None:
        key = answer_key(request_id, version)
        self._remove_unrated(key)
        self.unrated[key] = Unrated(cell, server, passed, delivered, self.now())
        self.quota_queue.append(key)
        self.pending_counts[cell.version] += 1
        if len(self.unrated) > MAX_UNRATED:
            self._remove_unrated(next(iter(self.unrated)))
            self.metrics.incr("evidence.unrated_dropped")

    def _remove_unrated(self, key: str) -> Unrated | None:
        unrated_answer = self.unrated.pop(key, None)
        if unrated_answer is not None and not unrated_answer.is_waived:
            self.pending_counts[unrated_answer.cell.version] -= 1
        return unrated_answer

    def submit(self) -> None:
        """Submits one batch; a failed batch is submitted again next time.

        A repeated batch does no harm, because only the first rating of an
        answer is counted.
        """
        size = min(BATCH_SAMPLES, len(self.buffer))
        batch = [self.buffer.popleft() for _ in range(size)]
        if not batch:
            return
        answer = self.service.submit(batch)
        if isinstance(answer, Err):
            self.metrics.incr("evidence.submit_failed")
            self.buffer.extendleft(reversed(batch))

    def fetch(self) -> None:
        """Fetches new ratings and counts those of this node's answers."""
        answer = self.service.fetch(self.position)
        now = self.now()
        if isinstance(answer, Err):
            self.metrics.incr("evidence.fetch_failed")
        else:
            self.fetched_at = now
            for rating in answer.unwrap():
                self.position = max(self.position, rating.seq)
                self._count_rating(rating)
        self._expire_unrated(now)
        overdue_s = self.overdue_s()
        self.exchange.evidence.rating_weight = 0.5 ** (
            overdue_s / RATING_HALF_LIFE_S
        )
        self.metrics.gauge("evidence.rating_silent_s", overdue_s)

    def _count_rating(self, rating: Rating) -> None:
        unrated_answer = self._remove_unrated(
            answer_key(rating.request_id, rating.version)
        )
        if unrated_answer is None:
            return
        self.newest_rated_at = max(self.newest_rated_at, unrated_answer.at)
        self.last_rating_at = self.now()
        verdict = "good" if rating.good else "bad"
        amounts = {verdict: 1}
        if unrated_answer.passed:
            amounts[f"pass_{verdict}"] = 1
        server = Cell(unrated_answer.cell.version, server=unrated_answer.server)
        for cell in (unrated_answer.cell, server):
            self.exchange.evidence.count(cell, **amounts)
            self.exchange.mark_changed(cell, urgent=not rating.good)
        if unrated_answer.delivered:
            kind = Cell("", unrated_answer.cell.kind)
            self.exchange.evidence.count(kind, **{verdict: 1})
            self.exchange.mark_changed(kind)
        self.metrics.incr(f"evidence.rated_{verdict}")

    def _expire_unrated(self, now: float) -> None:
        while self.quota_queue:
            unrated_answer = self.unrated.get(self.quota_queue[0])
            if unrated_answer is not None and not unrated_answer.is_waived:
                if (
                    unrated_answer.at
                    > self.newest_rated_at - UNSAMPLED_MARGIN_S
                ):
                    break
                unrated_answer.is_waived = True
                self.pending_counts[unrated_answer.cell.version] -= 1
            self.quota_queue.popleft()
        while self.unrated:
            oldest = next(iter(self.unrated))
            if now - self.unrated[oldest].at < UNRATED_EXPIRY_S:
                return
            self._remove_unrated(oldest)

    def overdue_s(self) -> float:
        """Returns for how many seconds ratings have been overdue, else 0."""
        now = self.now()
        unreachable = now - self.fetched_at
        if unreachable > UNREACHABLE_AFTER_S:
            return unreachable
        late = now - self.last_rating_at
        return late if self.unrated and late > LATE_AFTER_S else 0.0

    def are_overdue(self) -> bool:
        """Returns whether ratings are overdue."""
        return self.overdue_s() > 0

    def count_unrated(self, version: str) -> int:
        """Returns how many answers of a version count against its quota."""
        return self.pending_counts[version]
