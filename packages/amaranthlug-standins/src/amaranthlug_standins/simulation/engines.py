"""Simulated model engines, which process one prompt at a time."""

import collections
import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable

from amaranthlug.protocol.routing.messages import RoutedRequest, ServerLoad
from amaranthlug.state.routing.servers import ServerEntry

SERVICE = "pool"
"""Name of the service that all simulated engines belong to."""
FIRST_EVENT_DELAY_MS = 62.0
"""Time from the end of prompt processing to the first event."""
CHUNK_TOKENS = 1_024
"""Prompt tokens processed between two decode steps of running requests."""
DECODE_STEP_MS = 4.0
"""Duration of one decode step of the running requests."""
EVENT_INTERVAL_MS = 60.0
"""Time between two events of an answer."""
PREFIX_CACHE_TOKENS = 750_000
"""Capacity of an engine's prefix cache, in prompt tokens."""


@dataclasses.dataclass(frozen=True)
class SimulatedModel:
    """A model; `read_ms` is the time to process one prompt token."""

    name: str
    read_ms: float


SMALL = SimulatedModel("small", 0.3 / 125)
LARGE = SimulatedModel("large", 3.0 / 125)


@dataclasses.dataclass(order=True)
class QueuedPrompt:
    """A prompt waiting to be processed; orders by urgency, then arrival."""

    urgency: int
    sequence_number: int
    tokens: int = dataclasses.field(compare=False)
    model: SimulatedModel = dataclasses.field(compare=False)
    on_processed: Callable[[], None] = dataclasses.field(compare=False)


class SimulatedEngine:
    """An engine that processes prompts in chunks, the most urgent first."""

    def __init__(
        self,
        entry: ServerEntry,
        schedule: Callable[[float, Callable[[], None]], None],
        speed: float = 1.0,
    ):
        """Creates an idle engine.

        Args:
            entry: Directory entry of the engine.
            schedule: Runs a callback after a delay in simulated seconds.
            speed: Processing speed; 0.5 takes twice the time.
        """
        self.entry = entry
        self.schedule = schedule
        self.speed = speed
        self.waiting: list[QueuedPrompt] = []
        self.admitted = 0
        self.queue: list[QueuedPrompt] = []
        self.sequence_numbers = itertools.count()
        self.is_processing = False
        self.backlog_ms = 0.0
        self.busy_ms = 0.0
        self.prefix_cache: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self.cached_tokens = 0
        self.shared_tokens = 0
        self.cache_hit_tokens = 0

    def enqueue(
        self,
        request: RoutedRequest,
        model: SimulatedModel,
        urgency: int,
        on_first_event: Callable[[], None],
    ) -> None:
        """Queues a prompt; `on_first_event` is called at its first event.

        A prompt is processed once it has a slot, which `release` frees.
        """
        tokens = max(
            1, request.prompt_tokens - self.update_prefix_cache(request, model)
        )
        self.backlog_ms += self.processing_ms(tokens, model)
        heapq.heappush(
            self.waiting,
            QueuedPrompt(
                urgency,
                next(self.sequence_numbers),
                tokens,
                model,
                on_first_event,
            ),
        )
        self.admit_waiting()

    def admit_waiting(self) -> None:
        """Assigns free slots to the most urgent waiting prompts."""
        while self.waiting and self.admitted < self.entry.slots:
            self.admitted += 1
            heapq.heappush(self.queue, heapq.heappop(self.waiting))
        if not self.is_processing:
            self.process_chunk()

    def release(self) -> None:
        """Frees the slot of a finished answer."""
        self.admitted -= 1
        self.admit_waiting()

    def load(self) -> ServerLoad:
        """Returns the load that the engine reports."""
        return ServerLoad(self.admitted, len(self.waiting), self.entry.slots)

    def processing_ms(self, tokens: int, model: SimulatedModel) -> float:
        """Returns the time to process prompt tokens, in milliseconds."""
        chunks = math.ceil(tokens / CHUNK_TOKENS)
        return (tokens * model.read_ms + chunks * DECODE_STEP_MS) / self.speed

    def process_chunk(self) -> None:
        """Processes the next chunk of the most urgent prompt."""
        self.is_processing = bool(self.queue)
        if not self.queue:
            return
        prompt = self.queue[0]
        chunk_tokens = min(CHUNK_TOKENS, prompt.tokens)
        prompt.tokens -= chunk_tokens
        if not prompt.tokens:
            heapq.heappop(self.queue)
        chunk_ms = self.processing_ms(chunk_tokens, prompt.model)
        self.busy_ms += chunk_ms

        def finish_chunk() -> None:
            self.backlog_ms -= chunk_ms
            if not prompt.tokens:
                self.schedule(FIRST_EVENT_DELAY_MS / 1_000, prompt.on_processed)
            self.process_chunk()

        self.schedule(chunk_ms / 1_000, finish_chunk)

    def update_prefix_cache(
        self, request: RoutedRequest, model: SimulatedModel
    ) -> int:
        """Caches a prompt; returns the size of its cached prefix in tokens."""
        cached_prefix_tokens = 0
        prefix_ended = False
        for position, part in enumerate(request.prompt):
            key = (model.name, part.part_id)
            is_shared = position < len(request.prompt) - 1
            if is_shared:
                self.shared_tokens += part.tokens
            if key in self.prefix_cache:
                self.prefix_cache.move_to_end(key)
                if not prefix_ended:
                    cached_prefix_tokens += part.tokens
                    self.cache_hit_tokens += part.tokens if is_shared else 0
                continue
            prefix_ended = True
            self.prefix_cache[key] = part.tokens
            self.cached_tokens += part.tokens
        while self.cached_tokens > PREFIX_CACHE_TOKENS:
            _, tokens = self.prefix_cache.popitem(last=False)
            self.cached_tokens -= tokens
        return cached_prefix_tokens
