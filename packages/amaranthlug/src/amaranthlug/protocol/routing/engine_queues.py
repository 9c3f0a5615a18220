"""Estimates of the queueing delay at each model engine.

Engines process prompts one after the other, so one long prompt delays all
prompts queued behind it. The number of requests that an engine reports is a
poor measure of this delay; the times to the first event that this node
recently observed are a better one.
"""

import dataclasses
import itertools
import math
from collections.abc import Callable

from amaranthlug.state.routing.servers import ServerEntry

INITIAL_BASE_MS = 80.0
"""Initial estimate of `base_ms`, in milliseconds."""
INITIAL_PREFILL_MS = 0.01
"""Initial estimate of `prefill_ms`, in milliseconds."""
LOW_QUANTILE = 0.25
"""Quantile of the observed times that is taken as the time without a queue."""
QUANTILE_STEP = 0.08
"""Relative step size of the quantile estimates."""
SHORT_PROMPT_TOKENS = 800
"""Longest prompt that updates the base time to the first event, in tokens."""
LONG_PROMPT_TOKENS = 1_500
"""Shortest prompt that updates the time per prompt token, in tokens."""
EVENT_WEIGHT = 0.05
"""Weight of the newest time between events in the moving average."""
DECAY_S = 1.5
"""Time constant with which an observed delay decays, in seconds."""
OBSERVATION_WEIGHT = 0.6
"""Weight of the newest observed delay in the moving average."""


@dataclasses.dataclass
class ModelLatency:
    """Latency of one model on an engine without a queue.

    Attributes:
        base_ms: Time to the first event of a short prompt, in milliseconds.
        prefill_ms: Time to process one prompt token, in milliseconds.
        event_ms: Moving average of the time between events, in milliseconds;
            None before the first stream.
    """

    base_ms: float = INITIAL_BASE_MS
    prefill_ms: float = INITIAL_PREFILL_MS
    event_ms: float | None = None

    def relative_event_time(self, event_ms: float) -> float:
        """Returns the ratio of a time between events to the average so far."""
        if self.event_ms is None:
            self.event_ms = event_ms
        average_ms = self.event_ms
        self.event_ms += EVENT_WEIGHT * (event_ms - average_ms)
        return event_ms / average_ms if average_ms > 0 else 1.0

    def expected_ms(self, tokens: int) -> float:
        """Returns the time to the first event without a queue, in ms."""
        return self.base_ms + tokens * self.prefill_ms

    def update(self, tokens: int, took_ms: float) -> None:
        """Updates the estimates with an observed time to the first event."""
        if tokens <= SHORT_PROMPT_TOKENS:
            self.base_ms *= quantile_factor(took_ms, self.base_ms)
        elif tokens >= LONG_PROMPT_TOKENS:
            per_token_ms = max(0.1, took_ms - self.base_ms) / tokens
            self.prefill_ms *= quantile_factor(per_token_ms, self.prefill_ms)


def quantile_factor(observed: float, estimate: float) -> float:
    """Returns the factor by which an observation changes an estimate."""
    below = 1.0 if observed < estimate else 0.0
    return math.exp(QUANTILE_STEP * (LOW_QUANTILE - below))


@dataclasses.dataclass
class EngineQueue:
    """Observed delay and unanswered prompts of one engine.

    Attributes:
        observed_ms: Average delay at the last observation, in milliseconds.
        observed_at: Clock reading of the last observation, in seconds.
        pending: Ticket -> time sent, in seconds, and expected time to the
            first event, in milliseconds.
    """

    observed_ms: float = 0.0
    observed_at: float = -math.inf
    pending: dict[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


class EngineQueues:
    """Expected queueing delays at all engines that this node uses."""

    def __init__(self, clock: Callable[[], float]):
        """Creates empty queues; `clock` returns seconds."""
        self.clock = clock
        self.latencies: dict[tuple[str, str], ModelLatency] = {}
        self.queues: dict[tuple[str, int], EngineQueue] = {}
        self.ticket_numbers = itertools.count()

    def latency(self, service: str, model: str | None) -> ModelLatency:
        """Returns the latency of a model on the engines of a service."""
        return self.latencies.setdefault((service, model or ""), ModelLatency())

    def get_or_create(self, server: ServerEntry) -> EngineQueue:
        """Returns the queue of an engine, an empty one for a new engine."""
        return self.queues.setdefault(server.instance_key, EngineQueue())

    def keep_only(self, instance_keys: set[tuple[str, int]]) -> None:
        """Removes engines that are not listed and have no pending prompts."""
        for instance_key in list(self.queues):
            if (
                instance_key not in instance_keys
                and not self.queues[instance_key].pending
            ):
                del self.queues[instance_key]

    def record_send(
        self, server: ServerEntry, model: str | None, tokens: int
    ) -> int:
        """Records a prompt sent to an engine; returns its ticket number."""
        ticket = next(self.ticket_numbers)
        expected_ms = self.latency(server.service, model).expected_ms(tokens)
        self.get_or_create(server).pending[ticket] = (self.clock(), expected_ms)
        return ticket

    def record_start(
        self, server: ServerEntry, model: str | None, tokens: int, ticket: int
    ) -> None:
        """Records the first event of the answer to a sent prompt."""
        queue = self.get_or_create(server)
        sent_at, expected_ms = queue.pending.pop(ticket)
        now = self.clock()
        took_ms = (now - sent_at) * 1_000
        self.latency(server.service, model).update(tokens, took_ms)
        delay_ms = max(0.0, took_ms - expected_ms)
        remaining_ms = self.observed_ms(queue)
        queue.observed_ms = remaining_ms + OBSERVATION_WEIGHT * (
            delay_ms - remaining_ms
        )
        queue.observed_at = now

    def record_end(self, server: ServerEntry, ticket: int) -> None:
        """Removes a prompt for which no first event was received, if any."""
        self.get_or_create(server).pending.pop(ticket, None)

    def observed_ms(self, queue: EngineQueue) -> float:
        """Returns the last observed delay after decay, in milliseconds."""
        return queue.observed_ms * math.exp(
            -(self.clock() - queue.observed_at) / DECAY_S
        )

    def wait_ms(self, server: ServerEntry) -> float:
        """Returns the expected delay of a new prompt, in milliseconds.

        A first event that is overdue counts before it is received.
        """
        queue = self.get_or_create(server)
        now = self.clock()
        pending_ms = overdue_ms = 0.0
        for sent_at, expected_ms in queue.pending.values():
            pending_ms += expected_ms
            overdue_ms = max(overdue_ms, (now - sent_at) * 1_000 - expected_ms)
        return pending_ms + max(self.observed_ms(queue), overdue_ms)
