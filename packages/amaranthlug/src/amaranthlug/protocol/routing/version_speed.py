"""Compares the speed of streams with that of the other versions."""

import dataclasses
import math
from collections.abc import Callable, Iterable

from amaranthlug.protocol.routing.engine_queues import ModelLatency
from amaranthlug.state.routing.rollout import OutcomeCount

SLOW_HEAD_FACTOR = 3.0
"""Multiple of the usual time to the head from which an answer is slow."""
SLOW_GAP_FACTOR = 1.75
"""Multiple of the usual time between events from which an answer is slow; it
varies less than the time to the head."""
TIMED_GAPS = 4
"""Number of times between events over which a stream is timed."""
MIN_REFERENCE_ANSWERS = 4
"""Fewest timed answers of other versions with which one is compared."""
ALL_MODELS = None
"""Key of the speed over all models; used until that of one is known."""
MIN_WEIGHT = 0.05
"""Least weight of the newest time in a moving average."""


@dataclasses.dataclass
class ModelSpeed:
    """Usual times of one model of one version.

    Attributes:
        latency: Times to the head without a queue.
        log_delay: Moving average of the logarithm of the time to the head in
            multiples of that without a queue.
        heads: Number of heads that are in it.
        log_gap_ms: Moving average of the logarithm of the time between
            events, in milliseconds.
        gaps: Number of streams whose time between events is in it.
        updated_at: Clock reading of the last update, in seconds.
    """

    latency: ModelLatency = dataclasses.field(default_factory=ModelLatency)
    log_delay: float = 0.0
    heads: int = 0
    log_gap_ms: float = 0.0
    gaps: int = 0
    updated_at: float = -math.inf

    def add_head(self, tokens: int, took_ms: float) -> None:
        """Adds the time to a head after a prompt of `tokens`."""
        self.latency.update(tokens, took_ms)
        self.heads += 1
        delay = took_ms / self.latency.expected_ms(tokens)
        self.log_delay = updated_log(self.log_delay, delay, self.heads)

    def add_gap(self, gap_ms: float) -> None:
        """Adds the average time between the first events of a stream."""
        self.gaps += 1
        self.log_gap_ms = updated_log(self.log_gap_ms, gap_ms, self.gaps)

    def slow_head_ms(self, tokens: int) -> float:
        """Returns the time from which a head is slow; infinite if unknown."""
        if self.heads < MIN_REFERENCE_ANSWERS:
            return math.inf
        usual_ms = self.latency.expected_ms(tokens) * math.exp(self.log_delay)
        return SLOW_HEAD_FACTOR * usual_ms

    def slow_gap_ms(self) -> float:
        """Returns the time from which events are slow; infinite if unknown."""
        if self.gaps < MIN_REFERENCE_ANSWERS:
            return math.inf
        return SLOW_GAP_FACTOR * math.exp(self.log_gap_ms)


def updated_log(average: float, value: float, count: int) -> float:
    """Returns a moving average of logarithms with its `count`th value."""
    weight = max(1 / count, MIN_WEIGHT)
    return average + weight * (math.log(max(value, 0.001)) - average)


@dataclasses.dataclass(frozen=True)
class AnswerSource:
    """What an answer is compared by.

    Attributes:
        service: Name of the service.
        version: Version of the server.
        route: Name of the route.
        model: Model, empty if the caller named it.
        tokens: Size of the prompt, in tokens.
        is_warming_up: The server has just started; its times tell nothing
            about its version.
    """

    service: str
    version: str
    route: str
    model: str
    tokens: int
    is_warming_up: bool = False


class VersionSpeeds:
    """Knows the usual speed of each version and counts slow answers."""

    def __init__(
        self,
        clock: Callable[[], float],
        target_of: Callable[[str], str | None],
        count: Callable[[str, str, str, OutcomeCount], None],
    ):
        """Creates an empty record.

        Args:
            clock: Returns seconds.
            target_of: Returns the version to which a service is being moved,
                None without an active roll-out.
            count: Receives service, version, route and what to add to their
                counts.
        """
        self.clock = clock
        self.target_of = target_of
        self.count = count
        self.speeds: dict[tuple[str, str | None], dict[str, ModelSpeed]] = {}

    def add_head(self, source: AnswerSource, took_ms: float) -> None:
        """Adds the time to a head to the speed of its version."""
        for speed in self.updated_speeds(source):
            speed.add_head(source.tokens, took_ms)

    def add_gap(self, source: AnswerSource, gap_ms: float) -> None:
        """Adds the time between events to the speed of a version."""
        for speed in self.updated_speeds(source):
            speed.add_gap(gap_ms)

    def updated_speeds(self, source: AnswerSource) -> list[ModelSpeed]:
        """Returns the speeds of a version to which an answer belongs."""
        speeds = []
        for model in (source.model, ALL_MODELS):
            versions = self.speeds.setdefault((source.service, model), {})
            speed = versions.setdefault(source.version, ModelSpeed())
            speed.updated_at = self.clock()
            speeds.append(speed)
        return speeds

    def slow_head_ms(self, source: AnswerSource) -> float:
        """Returns the time from which a head is slow; infinite if unknown."""
        return first_known(
            speed.slow_head_ms(source.tokens)
            for speed in self.references(source)
        )

    def slow_gap_ms(self, source: AnswerSource) -> float:
        """Returns the time from which events are slow; infinite if unknown."""
        return first_known(
            speed.slow_gap_ms() for speed in self.references(source)
        )

    def references(self, source: AnswerSource) -> list[ModelSpeed]:
        """Returns the speeds that an answer is compared with, best first.

        They are those of the version from which the service is moved, for
        answers of that version too: the shares of slow answers are then
        comparable, whatever the limits.
        """
        target = self.target_of(source.service)
        if target is None:
            return []
        references = []
        for model in (source.model, ALL_MODELS):
            versions = self.speeds.get((source.service, model), {})
            others = [s for name, s in versions.items() if name != target]
            if others:
                references.append(max(others, key=lambda s: s.updated_at))
        return references

    def start(self, source: AnswerSource) -> "AnswerTimer":
        """Returns the timer of an answer whose request is sent now."""
        return AnswerTimer(self, source)


def first_known(limits: Iterable[float]) -> float:
    """Returns the first finite limit, infinite if there is none."""
    return next((limit for limit in limits if limit < math.inf), math.inf)


class AnswerTimer:
    """Times one answer and counts it once if it is slow.

    A head or an event that is overdue counts before it arrives.
    """

    def __init__(self, speeds: VersionSpeeds, source: AnswerSource):
        """Starts to time the answer to a request that is sent now."""
        self.speeds = speeds
        self.source = source
        self.phase_began_at = speeds.clock()
        self.has_head = False
        self.first_events: int | None = None
        self.is_timed = False
        self.is_slow = False

    def elapsed_ms(self) -> float:
        """Returns the time since the request, or since the first event."""
        return (self.speeds.clock() - self.phase_began_at) * 1_000

    def check(self) -> None:
        """Counts the answer as slow if its head or next event is overdue."""
        if self.source.is_warming_up:
            return
        if not self.has_head:
            limit_ms = self.speeds.slow_head_ms(self.source)
        elif self.first_events is not None and not self.is_timed:
            limit_ms = TIMED_GAPS * self.speeds.slow_gap_ms(self.source)
        else:
            return
        if self.elapsed_ms() > limit_ms:
            self.count_slow()

    def record_head(self) -> None:
        """Records that the head of the answer has arrived."""
        self.check()
        self.has_head = True
        if not self.source.is_warming_up:
            self.speeds.add_head(self.source, self.elapsed_ms())

    def record_events(self, events: int) -> None:
        """Records that `events` of the answer have arrived so far."""
        if self.is_timed or not events or self.source.is_warming_up:
            return
        if self.first_events is None:
            self.first_events = events
            self.phase_began_at = self.speeds.clock()
            return
        self.check()
        gaps = events - self.first_events
        if gaps < TIMED_GAPS:
            return
        self.is_timed = True
        gap_ms = self.elapsed_ms() / gaps
        if gap_ms > self.speeds.slow_gap_ms(self.source):
            self.count_slow()
        self.speeds.add_gap(self.source, gap_ms)

    def count_slow(self) -> None:
        """Counts the answer as slow unless that is done."""
        if self.is_slow:
            return
        self.is_slow = True
        source = self.source
        self.speeds.count(
            source.service, source.version, source.route, OutcomeCount(slow=1)
        )
