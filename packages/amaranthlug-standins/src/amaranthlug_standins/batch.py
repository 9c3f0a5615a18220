"""Time model of the continuous batching of an engine."""

import dataclasses
import heapq
import itertools
import time
from collections.abc import Callable

import gevent
import gevent.event

ABANDONED_AFTER_S = 3.0
"""Time for which a stream continues without a reader, to allow a resume."""


@dataclasses.dataclass(frozen=True)
class Pace:
    """Time model of an engine.

    Attributes:
        step_ms: Milliseconds of a decode step of an empty batch.
        step_per_run_ms: Milliseconds that each running request adds to a step.
        prefill_us: Microseconds per prompt token that is not cached.
        tick_ms: Minimum milliseconds between two wake-ups. Shorter decode
            steps are simulated several at once.
        slots: Requests that run concurrently.
        queue: Requests that may wait; more are refused.
    """

    step_ms: float = 4.0
    step_per_run_ms: float = 0.1
    prefill_us: float = 20.0
    tick_ms: float = 4.0
    slots: int = 32
    queue: int = 256


@dataclasses.dataclass
class Run:
    """One run of a request on an engine.

    Attributes:
        words: The complete answer, one word for each token.
        start_position: Index of the first token that this run generates.
        position: Index of the next token to generate.
        first_at: Unix time of its first token in seconds, 0 before it.
        ready_at: Monotonic time at which the prefill ends.
        outcome: `running`, `complete`, `cancelled`, `abandoned`, `crashed`.
        reader: Number of the newest reader; older ones stop.
        unread_since: Monotonic time at which its reader left.
    """

    request_id: str
    version: str
    digest: str
    organisation: str
    prompt_tokens: int
    words: list[str]
    priority: int = 0
    start_position: int = 0
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

    def count_generated(self) -> int:
        """Returns the number of tokens that this run generated."""
        return self.position - self.start_position

    def end(self, outcome: str) -> None:
        """Ends the run unless it has ended."""
        if self.outcome == "running":
            self.outcome = outcome
            self.ended_at = time.time()
            self.changed.set()


class Batch:
    """Running and waiting requests, and the loop that advances them.

    Attributes:
        fractional_steps: Part of a decode step left over from the last tick.
        tokens: Tokens generated so far.
    """

    def __init__(
        self,
        pace: Pace,
        time_factor: Callable[[], float],
        is_frozen: Callable[[], bool],
    ):
        """Creates an idle batch.

        Args:
            pace: Time model.
            time_factor: Returns the factor by which all times are multiplied.
            is_frozen: Returns whether no tokens are generated.
        """
        self.pace = pace
        self.time_factor = time_factor
        self.is_frozen = is_frozen
        self.running: list[Run] = []
        self.waiting: list[tuple[int, int, Run]] = []
        self.arrival_numbers = itertools.count()
        self.has_work = gevent.event.Event()
        self.fractional_steps = 0.0
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
        """Queues a run by priority; returns False if the queue is full."""
        if len(self.waiting) >= self.pace.queue:
            return False
        heapq.heappush(
            self.waiting, (-run.priority, next(self.arrival_numbers), run)
        )
        self.admit()
        self.has_work.set()
        return True

    def admit(self) -> None:
        """Moves waiting runs to free slots and schedules their prefill."""
        now = time.monotonic()
        while self.waiting and len(self.running) < self.pace.slots:
            _, _, run = heapq.heappop(self.waiting)
            if run.outcome != "running":
                continue
            new_tokens = max(0, run.prompt_tokens - run.cached_tokens)
            prefill_s = new_tokens * self.pace.prefill_us / 1e6
            run.ready_at = now + prefill_s * self.time_factor()
            self.running.append(run)

    def decode_step_s(self) -> float:
        """Returns the seconds of one decode step of the running batch."""
        runs = len(self.running)
        step_ms = self.pace.step_ms + self.pace.step_per_run_ms * runs
        return step_ms * self.time_factor() / 1000

    def loop(self) -> None:
        """Advances the batch while requests run."""
        while True:
            if not self.running:
                self.has_work.clear()
                self.has_work.wait()
            before = time.monotonic()
            gevent.sleep(max(self.decode_step_s(), self.pace.tick_ms / 1000))
            if not self.is_frozen():
                self.advance(before, time.monotonic())

    def advance(self, before: float, now: float) -> None:
        """Generates the tokens of the period from `before` to `now`."""
        decode_step_s = self.decode_step_s()
        self.fractional_steps += (now - before) / decode_step_s
        steps = int(self.fractional_steps)
        self.fractional_steps -= steps
        for run in self.running:
            if run.outcome != "running":
                continue
            if run.ready_at <= now:
                steps_since_ready = (
                    int((now - run.ready_at) / decode_step_s) + 1
                )
                self.generate(run, min(steps, steps_since_ready))
            if run.unread_since and now - run.unread_since > ABANDONED_AFTER_S:
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
