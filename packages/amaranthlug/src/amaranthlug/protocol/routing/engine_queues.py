"""Expected wait for the first event at each model engine.

Engines read prompts one after the other, so one long prompt delays all that
come behind it. The number of requests that an engine reports says little of
this; the time to the first event that this node just saw says more.
"""

import dataclasses
import itertools
import math
from collections.abc import Callable

from amaranthlug.state.routing.servers import ServerEntry

START_MS = 80.0
"""First guess of the time to the first event of a short prompt."""
READ_MS = 0.01
"""First guess of the time to read one token, in milliseconds."""
LOW_QUANTILE = 0.25
"""Quantile of the seen times that counts as the time without a queue."""
STEP = 0.08
"""Relative step of the quantile estimates."""
SHORT_TOKENS = 800
"""Prompts up to this many tokens teach the time to the first event."""
LONG_TOKENS = 1_500
"""Prompts from this many tokens on teach the time to read a token."""
EVENT_WEIGHT = 0.05
"""Weight of the newest time between events in the usual one."""
FADE_S = 1.5
"""Time in which a seen queue fades to a third, in seconds."""
SEEN_WEIGHT = 0.6
"""Weight of the newest seen queue against the one before."""


@dataclasses.dataclass
class ModelLatency:
    """Time to the first event without a queue, for one model."""

    start_ms: float = START_MS
    read_ms: float = READ_MS
    event_ms: float | None = None

    def relative_pace(self, event_ms: float) -> float:
        """Returns the time between events against the usual one."""
        if self.event_ms is None:
            self.event_ms = event_ms
        usual = self.event_ms
        self.event_ms += EVENT_WEIGHT * (event_ms - usual)
        return event_ms / usual if usual > 0 else 1.0

    def expected_ms(self, tokens: int) -> float:
        """Returns the time to the first event, in milliseconds."""
        return self.start_ms + tokens * self.read_ms

    def learn(self, tokens: int, took_ms: float) -> None:
        """Moves the estimates towards the low quantile of seen times."""
        if tokens <= SHORT_TOKENS:
            self.start_ms *= quantile_step(took_ms, self.start_ms)
        elif tokens >= LONG_TOKENS:
            reading = max(0.1, took_ms - self.start_ms) / tokens
            self.read_ms *= quantile_step(reading, self.read_ms)


def quantile_step(seen: float, estimate: float) -> float:
    """Returns the factor by which a quantile estimate moves."""
    below = 1.0 if seen < estimate else 0.0
    return math.exp(STEP * (LOW_QUANTILE - below))


@dataclasses.dataclass
class EngineQueue:
    """What is known of the queue of one engine."""

    seen_ms: float = 0.0
    seen_at: float = -math.inf
    pending: dict[int, tuple[float, float]] = dataclasses.field(
        default_factory=dict
    )


class EngineQueues:
    """Expected waits at all engines that this node uses."""

    def __init__(self, clock: Callable[[], float]):
        """Creates empty queues; `clock` returns seconds."""
        self.clock = clock
        self.latencies: dict[tuple[str, str], ModelLatency] = {}
        self.queues: dict[tuple[str, int], EngineQueue] = {}
        self.tickets = itertools.count()

    def latency(self, service: str, model: str | None) -> ModelLatency:
        """Returns the pace of a model on the engines of a service."""
        return self.latencies.setdefault((service, model or ""), ModelLatency())

    def get_or_create(self, server: ServerEntry) -> EngineQueue:
        """Returns the queue of an engine."""
        return self.queues.setdefault(server.instance_key, EngineQueue())

    def keep_only(self, lives: set[tuple[str, int]]) -> None:
        """Forgets engines that are gone."""
        for instance_key in list(self.queues):
            if (
                instance_key not in lives
                and not self.queues[instance_key].pending
            ):
                del self.queues[instance_key]

    def sent(self, server: ServerEntry, model: str | None, tokens: int) -> int:
        """Counts a prompt that an engine has to read; returns a ticket."""
        ticket = next(self.tickets)
        expected = self.latency(server.service, model).expected_ms(tokens)
        self.get_or_create(server).pending[ticket] = (self.clock(), expected)
        return ticket

    def began(
        self, server: ServerEntry, model: str | None, tokens: int, ticket: int
    ) -> None:
        """Takes the time to the first event of a counted prompt."""
        queue = self.get_or_create(server)
        sent_at, expected = queue.pending.pop(ticket)
        now = self.clock()
        took_ms = (now - sent_at) * 1_000
        self.latency(server.service, model).learn(tokens, took_ms)
        excess = max(0.0, took_ms - expected)
        left = self.seen_ms(queue)
        queue.seen_ms = left + SEEN_WEIGHT * (excess - left)
        queue.seen_at = now

    def ended(self, server: ServerEntry, ticket: int) -> None:
        """Forgets a prompt whose answer did not begin."""
        self.get_or_create(server).pending.pop(ticket, None)

    def seen_ms(self, queue: EngineQueue) -> float:
        """Returns what is left of the queue that was last seen."""
        return queue.seen_ms * math.exp(
            -(self.clock() - queue.seen_at) / FADE_S
        )

    def wait_ms(self, server: ServerEntry) -> float:
        """Returns the expected wait before a new prompt is read."""
        queue = self.get_or_create(server)
        now = self.clock()
        pending = overdue = 0.0
        for sent_at, expected in queue.pending.values():
            pending += expected
            overdue = max(overdue, (now - sent_at) * 1_000 - expected)
        return pending + max(self.seen_ms(queue), overdue)
