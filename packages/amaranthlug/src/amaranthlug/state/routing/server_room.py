"""Estimates how many requests may be granted at a server at once.

What a server states of its load is compared with the requests that its owner
has granted. The rest comes from others: nodes of earlier builds, other clients
and health checks.
"""

import collections
import dataclasses
import math

COUNT_WINDOW_S = 0.1
"""Time before a load report for which the highest count of granted requests is
taken, in seconds; ends of requests may be known here before the load that a
node has read."""
COUNT_HISTORY_S = 1.0
"""Time for which counts of granted requests are kept, in seconds; the load that
a node reports may be half a second old."""
RISE_WEIGHT = 0.5
"""Weight of a load report that shows more requests of others than expected; a
single one may be wrong."""
DECAY_S = 4.0
"""Time constant with which fewer requests of others are expected, in seconds;
they come at random, and those that find no slot make the server fall over."""
MIN_OTHERS = 0.5
"""Expected number of others from which slots are kept free for them."""
RESERVE_DEVIATIONS = 1.5
"""Slots that are kept free beyond the expected number of others, in standard
deviations of a number of requests that come at random."""
LOOK_S = 1.0
"""Time without a load report after which one request is granted where no room
is left for any, in seconds; only an answer shows that others have gone."""
PROBE_S = 1.0
"""Time after which one request more is granted than a server had when it last
turned one away, in seconds."""
MAX_PROBE_S = 16.0
"""Longest such time, in seconds; it doubles each time the request is turned
away or has to wait."""
RISE_S = 0.25
"""Time after a request for which there was more room than known, at which one
more is granted, in seconds."""
QUEUE_S = 0.5
"""Time for which requests must wait at a server below its slots, in seconds, to
show that it runs no more; a new request may wait for a moment."""


@dataclasses.dataclass(frozen=True)
class StatedLoad:
    """The load that a server stated in an answer.

    Attributes:
        requests: Requests at the server, running or waiting.
        waiting: Those of them that wait.
        age_s: Time since the answer arrived, in seconds.
        refused: The answer turned a request away, which is not one of them.
    """

    requests: int
    waiting: int = 0
    age_s: float = 0.0
    refused: bool = False


class ServerRoom:
    """What an owner has learnt of the room at a server.

    Attributes:
        others: Expected number of requests that nobody granted.
        capacity: Requests that the server had when it turned one away or let
            others wait, None if it has not done so below its slots.
        queued_since: Clock since which all loads show requests that wait, in
            seconds; infinite if the last one shows none.
        counts: Clock readings and the requests that were granted then.
    """

    def __init__(self) -> None:
        """Creates an estimate that trusts the stated slots."""
        self.others = 0.0
        self.observed_at = -math.inf
        self.capacity: int | None = None
        self.probe_s = PROBE_S
        self.probe_at = math.inf
        self.queued_since = math.inf
        self.counts: collections.deque[tuple[float, int]] = collections.deque()

    def record_count(self, running: int, now: float) -> None:
        """Records how many granted requests are at the server."""
        if self.counts and self.counts[-1][1] == running:
            return
        self.counts.append((now, running))
        # The newest of the older ones still held at the begin of the history.
        while (
            len(self.counts) > 1 and self.counts[1][0] < now - COUNT_HISTORY_S
        ):
            self.counts.popleft()

    def counted(self, at: float) -> int:
        """Returns the most requests that were granted shortly before a time."""
        most = 0
        for time, running in reversed(self.counts):
            if time > at:
                continue
            most = max(most, running)
            if time < at - COUNT_WINDOW_S:
                break
        return most

    def record_load(self, load: StatedLoad, now: float, slots: int) -> None:
        """Compares a stated load with the requests that were granted then.

        Args:
            load: What the server stated.
            now: Clock reading in seconds.
            slots: Requests that it runs at once, as it says.
        """
        counted = self.granted_then(load, now)
        running = load.requests - load.waiting
        if self.capacity is not None and running > self.capacity:
            self.capacity, self.probe_s = running, PROBE_S
            self.probe_at = now + RISE_S
        others = max(0, load.requests - counted)
        if others and load.requests >= self.limit(slots):
            others += 1  # Others that were turned away are in no load.
        others = min(others, slots)
        if others > self.others:
            self.others += RISE_WEIGHT * (others - self.others)
        else:
            age_s = now - self.observed_at
            self.others = others + (self.others - others) * math.exp(
                -age_s / DECAY_S
            )
        self.observed_at = now

    def record_queue(self, load: StatedLoad, slots: int, now: float) -> None:
        """Records whether requests wait at a server that states free slots."""
        if not load.waiting:
            self.queued_since = math.inf
            return
        self.queued_since = min(self.queued_since, now)
        if now - self.queued_since >= QUEUE_S:
            self.record_full(load.requests - load.waiting, slots, now)
            self.queued_since = now

    def granted_then(self, load: StatedLoad, now: float) -> int:
        """Returns the granted requests that a stated load may include."""
        return max(0, self.counted(now - load.age_s) - load.refused)

    def record_full(self, requests: int, slots: int, now: float) -> None:
        """Records that a server ran so many requests and no more."""
        if requests >= slots:
            return
        if self.capacity is not None and requests >= self.capacity:
            self.probe_s = min(2 * self.probe_s, MAX_PROBE_S)
        self.capacity = max(1, requests)
        self.probe_at = now + self.probe_s

    def limit(self, slots: int) -> int:
        """Returns the requests that fit at the server."""
        return slots if self.capacity is None else min(slots, self.capacity)

    def reserve(self) -> int:
        """Returns the slots that are kept free for others."""
        if self.others < MIN_OTHERS:
            return 0
        deviation = math.sqrt(self.others)
        return round(self.others + RESERVE_DEVIATIONS * deviation)

    def room(self, slots: int, now: float) -> int:
        """Returns the number of requests that may be granted at once."""
        limit = self.limit(slots)
        if limit < slots and now >= self.probe_at:
            limit += 1
        room = limit - self.reserve()
        return max(room, int(now - self.observed_at > LOOK_S))
