"""Continuous batching of an engine as a time model."""

import dataclasses
import heapq
import itertools
import time
from collections.abc import Callable

import gevent
import gevent.event

ABANDONED_S = 3.0
"""Seconds that a stream without a reader goes on, so that it can resume."""


@dataclasses.dataclass(frozen=True)
class Pace:
    """Time model of an engine.

    Attributes:
        step_ms: Decode step of an empty batch, in milliseconds.
        step_per_run_ms: Added to the step by each running request.
        prefill_us: Microseconds per prompt token that is not cached.
        tick_ms: Least time between two wake-ups; several decode steps are
            written at once when they are shorter.
        slots: Requests that run at once.
        queue: Requests that wait; more are refused.
    """

    step_ms: float = 4.0
    step_per_run_ms: float = 0.1
    prefill_us: float = 20.0
    tick_ms: float = 4.0
    slots: int = 32
    queue: int = 256


@dataclasses.dataclass
class Run:
    """One run of a request.

    Attributes:
        words: The whole answer.
        first: Index of the first token that this run generates.
        position: Index of the next token to generate.
        first_at: Wall-clock time of its first token, 0 before it.
        outcome: `running`, `complete`, `cancelled`, `abandoned`, `crashed`.
        reader: Number of the reader that may write; an older one stops.
        unread_since: Monotonic time when its reader went away.
    """

    request_id: str
    version: str
    digest: str
    organisation: str
    prompt_tokens: int
    words: list[str]
    priority: int = 0
    first: int = 0
    position: int = 0
    cached_tokens: int = 0
    good: bool = True
    outcome: str = "running"
    started_at: float = 0.0
    first_at: float = 0.0
    ended_at: float = 0.0
    ready_at: float = 0.0
    reader: int = 0
    unread_since: float | None = None
    changed: gevent.event.Event = dataclasses.field(
        default_factory=gevent.event.Event
    )

    def generated(self) -> int:
        """Returns the number of tokens that this run generated."""
        return self.position - self.first

    def end(self, outcome: str) -> None:
        """Ends the run once."""
        if self.outcome == "running":
            self.outcome = outcome
            self.ended_at = time.time()
            self.changed.set()


class Batch:
    """Running and waiting requests and the loop that advances them."""

    def __init__(
        self,
        pace: Pace,
        slowness: Callable[[], float],
        frozen: Callable[[], bool],
    ):
        """Creates an idle batch; `slowness` multiplies all times."""
        self.pace = pace
        self.slowness = slowness
        self.frozen = frozen
        self.running: list[Run] = []
        self.waiting: list[tuple[int, int, Run]] = []
        self.order = itertools.count()
        self.work = gevent.event.Event()
        self.credit = 0.0
        self.tokens = 0
        self.greenlet: gevent.Greenlet | None = None

    def start(self) -> None:
        """Starts the loop."""
        self.greenlet = gevent.spawn(self.loop)

    def stop(self) -> None:
        """Stops the loop."""
        if self.greenlet is not None:
            self.greenlet.kill(block=False)

    def submit(self, run: Run) -> bool:
        """Queues a run by priority; False when the queue is full."""
        if len(self.waiting) >= self.pace.queue:
            return False
        heapq.heappush(self.waiting, (-run.priority, next(self.order), run))
        self.admit()
        self.work.set()
        return True

    def admit(self) -> None:
        """Moves waiting runs to free slots."""
        now = time.monotonic()
        while self.waiting and len(self.running) < self.pace.slots:
            _, _, run = heapq.heappop(self.waiting)
            if run.outcome != "running":
                continue
            new_tokens = max(0, run.prompt_tokens - run.cached_tokens)
            prefill_s = new_tokens * self.pace.prefill_us / 1e6
            run.ready_at = now + prefill_s * self.slowness()
            self.running.append(run)

    def step_s(self) -> float:
        """Returns the time of one decode step of the running batch."""
        runs = len(self.running)
        step_ms = self.pace.step_ms + self.pace.step_per_run_ms * runs
        return step_ms * self.slowness() / 1000

    def loop(self) -> None:
        """Advances the batch while there is work."""
        while True:
            if not self.running:
                self.work.clear()
                self.work.wait()
            before = time.monotonic()
            gevent.sleep(max(self.step_s(), self.pace.tick_ms / 1000))
            if not self.frozen():
                self.advance(before, time.monotonic())

    def advance(self, before: float, now: float) -> None:
        """Generates the tokens of the time from `before` to `now`."""
        step_s = self.step_s()
        self.credit += (now - before) / step_s
        steps = int(self.credit)
        self.credit -= steps
        for run in self.running:
            if run.outcome != "running":
                continue
            if run.ready_at <= now:
                since = int((now - run.ready_at) / step_s) + 1
                self.generate(run, min(steps, since))
            if run.unread_since and now - run.unread_since > ABANDONED_S:
                run.end("abandoned")
        self.running = [run for run in self.running if run.outcome == "running"]
        self.admit()

    def generate(self, run: Run, steps: int) -> None:
        """Generates up to `steps` tokens of a run."""
        position = min(run.position + steps, len(run.words))
        self.tokens += position - run.position
        if not run.first_at and position > run.position:
            run.first_at = time.time()
        run.position = position
        if position >= len(run.words):
            run.end("complete")
        run.changed.set()

    def crash(self) -> None:
        """Ends all runs as crashed."""
        for run in self.running:
            run.end("crashed")
        for _, _, run in self.waiting:
            run.end("crashed")
        self.running = []
        self.waiting = []
