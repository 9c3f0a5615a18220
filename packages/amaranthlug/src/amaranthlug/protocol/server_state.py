"""What a node knows of one server: load, ejection and warm-up."""

import dataclasses

from amaranthlug.protocol.upstream import EngineLoad

LOAD_HALF_S = 2.0
"""Age at which a reported load counts half, in seconds."""

WARM_UP_S = 10.0
"""Time over which a new or returned server is loaded gradually, in seconds."""

WARM_UP_PENALTY = 0.5
"""Load that a server appears to have at the start of its warm-up."""

FAILURES_TO_EJECT = 3
"""Failures in a row after which a server is ejected."""

EJECT_S = 5.0
"""Time of a first ejection in seconds; doubled for each one in a row."""

MAX_EJECT_S = 60.0

UNKNOWN_SLOTS = 8
"""Slots assumed of a server that has not reported any."""

QUEUE_FACTOR = 1.5
"""Work up to this multiple of the slots is accepted; the rest would wait
longer than a request takes."""


@dataclasses.dataclass
class ServerState:
    """One server as this node knows it.

    Attributes:
        in_flight: Requests of this node.
        load: Last report.
        load_at: When the report was true, in monotonic seconds.
        heard_at: When it last answered a poll.
        in_flight_at_report: Requests of this node in the report.
        failures: Failures in a row.
        ejections: Ejections in a row.
        ejected_until: End of the ejection.
        probing: It may run one request that decides on its return.
        warm_from: Start of its warm-up.
        kept_off: Versions that it spoils, until when.
    """

    warm_from: float
    heard_at: float
    in_flight: int = 0
    load: EngineLoad | None = None
    load_at: float = 0.0
    in_flight_at_report: int = 0
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0
    probing: bool = False
    kept_off: dict[str, float] = dataclasses.field(default_factory=dict)

    def slots(self) -> int:
        """Returns the number of requests that run at a time."""
        return max(1, self.load.slots) if self.load else UNKNOWN_SLOTS

    def work(self, now: float) -> float:
        """Returns own requests plus those of others by their last report."""
        if self.load is None:
            return float(self.in_flight)
        reported = self.load.running + self.load.waiting
        others = max(0, reported - self.in_flight_at_report)
        age = max(0.0, now - self.load_at)
        return self.in_flight + others * 0.5 ** (age / LOAD_HALF_S)

    def new_work(self) -> int:
        """Returns by how much this node's requests grew since the report."""
        return self.in_flight - self.in_flight_at_report

    def occupancy(self, now: float) -> float:
        """Returns the work per slot."""
        return self.work(now) / self.slots()

    def has_room(self, now: float) -> bool:
        """Tells whether it can take one more request."""
        return self.work(now) < self.slots() * QUEUE_FACTOR

    def warm_up(self, now: float) -> float:
        """Returns the load that it appears to have while warming up."""
        left = 1 - (now - self.warm_from) / WARM_UP_S
        return WARM_UP_PENALTY * min(1.0, max(0.0, left))

    def report(self, load: EngineLoad, now: float) -> None:
        """Takes a new report."""
        self.load = load
        self.load_at = now - load.age_s
        self.heard_at = now
        self.in_flight_at_report = self.in_flight

    def runs(self, version: str, now: float) -> bool:
        """Tells whether it has a version and does not spoil it."""
        if self.kept_off.get(version, 0.0) > now:
            return False
        return self.load is None or version in self.load.versions

    def succeed(self, now: float) -> None:
        """Counts a success; ends an ejection with a warm-up."""
        self.failures = 0
        if self.probing or self.ejections:
            self.probing = False
            self.ejections = 0
            self.warm_from = now

    def fail(self, now: float, may_eject: bool, jitter: float) -> bool:
        """Counts a failure; True when it leads to an ejection.

        Args:
            now: Monotonic time in seconds.
            may_eject: Enough other servers remain.
            jitter: Factor around 1, so that nodes do not probe in step.
        """
        self.failures += 1
        if not self.probing and (
            self.failures < FAILURES_TO_EJECT or not may_eject
        ):
            return False
        length = min(MAX_EJECT_S, EJECT_S * 2**self.ejections)
        self.ejected_until = now + length * jitter
        self.ejections += 1
        self.failures = 0
        self.probing = True
        return True
