"""Simulated model engines: prompts are read one after the other."""

import collections
import dataclasses
import heapq
import itertools
import math
from collections.abc import Callable

from amaranthlug.protocol.routing.messages import RoutedRequest, ServerLoad
from amaranthlug.state.routing.servers import ServerEntry

SERVICE = "pool"
"""Service of all simulated engines."""
FIRST_MS = 62.0
"""Time from a read prompt to its first event, in milliseconds."""
CHUNK_TOKENS = 1_024
"""Tokens that are read between two steps of the running requests."""
STEP_MS = 4.0
"""A step of the running requests, in milliseconds."""
EVENT_MS = 60.0
"""Time between two events of an answer, in milliseconds."""
KEPT_TOKENS = 750_000
"""Tokens of prompts that an engine keeps."""


@dataclasses.dataclass(frozen=True)
class SimulatedModel:
    """A model; `read_ms` is the time to read one token, in milliseconds."""

    name: str
    read_ms: float


SMALL = SimulatedModel("small", 0.3 / 125)
LARGE = SimulatedModel("large", 3.0 / 125)


@dataclasses.dataclass(order=True)
class Reading:
    """A prompt that waits to be read; the most urgent first."""

    urgency: int
    number: int
    tokens: int = dataclasses.field(compare=False)
    model: SimulatedModel = dataclasses.field(compare=False)
    when_read: Callable[[], None] = dataclasses.field(compare=False)


class SimulatedEngine:
    """One engine: reads prompts in chunks, the most urgent first."""

    def __init__(
        self,
        entry: ServerEntry,
        plan: Callable[[float, Callable[[], None]], None],
        speed: float = 1.0,
    ):
        """Creates an idle engine; `plan` runs an act after some seconds.

        `speed` 0.5 takes twice the time.
        """
        self.entry = entry
        self.plan = plan
        self.speed = speed
        self.waiting: list[Reading] = []
        self.admitted = 0
        self.queue: list[Reading] = []
        self.numbers = itertools.count()
        self.reading = False
        self.backlog_ms = 0.0
        self.busy_ms = 0.0
        self.kept: collections.OrderedDict[tuple[str, str], int] = (
            collections.OrderedDict()
        )
        self.kept_tokens = 0
        self.shared_tokens = 0
        self.found_tokens = 0

    def read(
        self,
        request: RoutedRequest,
        model: SimulatedModel,
        urgency: int,
        when_begun: Callable[[], None],
    ) -> None:
        """Queues a prompt; `when_begun` runs at its first event.

        A prompt is read once it has a slot, which `release` gives back.
        """
        tokens = max(1, request.prompt_tokens - self.found(request, model))
        self.backlog_ms += self.work_ms(tokens, model)
        heapq.heappush(
            self.waiting,
            Reading(urgency, next(self.numbers), tokens, model, when_begun),
        )
        self.admit()

    def admit(self) -> None:
        """Gives free slots to the most urgent prompts that wait."""
        while self.waiting and self.admitted < self.entry.slots:
            self.admitted += 1
            heapq.heappush(self.queue, heapq.heappop(self.waiting))
        if not self.reading:
            self.read_chunk()

    def release(self) -> None:
        """Takes back the slot of an answer that ended."""
        self.admitted -= 1
        self.admit()

    def load(self) -> ServerLoad:
        """Returns what the engine tells of its load."""
        return ServerLoad(self.admitted, len(self.waiting), self.entry.slots)

    def work_ms(self, tokens: int, model: SimulatedModel) -> float:
        """Returns the time to read some tokens, in milliseconds."""
        chunks = math.ceil(tokens / CHUNK_TOKENS)
        return (tokens * model.read_ms + chunks * STEP_MS) / self.speed

    def read_chunk(self) -> None:
        """Reads the next chunk of the most urgent prompt."""
        self.reading = bool(self.queue)
        if not self.queue:
            return
        first = self.queue[0]
        chunk = min(CHUNK_TOKENS, first.tokens)
        first.tokens -= chunk
        if not first.tokens:
            heapq.heappop(self.queue)
        took_ms = self.work_ms(chunk, first.model)
        self.busy_ms += took_ms

        def chunk_read() -> None:
            self.backlog_ms -= took_ms
            if not first.tokens:
                self.plan(FIRST_MS / 1_000, first.when_read)
            self.read_chunk()

        self.plan(took_ms / 1_000, chunk_read)

    def found(self, request: RoutedRequest, model: SimulatedModel) -> int:
        """Returns the kept tokens of a prompt, and keeps the prompt."""
        found = 0
        missing = False
        for place, part in enumerate(request.prompt):
            key = (model.name, part.part_id)
            shared = place < len(request.prompt) - 1
            if shared:
                self.shared_tokens += part.tokens
            if key in self.kept:
                self.kept.move_to_end(key)
                if not missing:
                    found += part.tokens
                    self.found_tokens += part.tokens if shared else 0
                continue
            missing = True
            self.kept[key] = part.tokens
            self.kept_tokens += part.tokens
        while self.kept_tokens > KEPT_TOKENS:
            _, tokens = self.kept.popitem(last=False)
            self.kept_tokens -= tokens
        return found
