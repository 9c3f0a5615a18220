"""Tracks the load, ejection and warm-up of one server."""

import dataclasses

from amaranthlug.protocol.upstream import EngineLoad

LOAD_HALF_LIFE_S = 2.0
"""Half-life of a reported load, in seconds."""

WARM_UP_S = 10.0
"""Time over which a new or returning server is loaded gradually, in seconds."""

WARM_UP_PENALTY = 0.5
"""Occupancy added to a server at the start of its warm-up."""

FAILURES_TO_EJECT = 3
"""Consecutive failures after which a server is ejected."""

EJECTION_S = 5.0
"""Duration of a first ejection, in seconds; each consecutive one doubles it."""

MAX_EJECTION_S = 60.0

DEFAULT_SLOTS = 8
"""Slots assumed for a server that has not reported its load."""

MAX_WORK_PER_SLOT = 1.5
"""Maximum work as a multiple of the slots; requests beyond it would queue for
longer than a request takes."""


@dataclasses.dataclass
class LocalServerState:
    """State of one server as known to this node; times are monotonic seconds.

    Attributes:
        warm_from: Start of the warm-up.
        heard_at: Time of the last answer to a poll.
        in_flight: Requests in flight from this node.
        load: Last load report.
        load_at: Time at which the load was measured.
        in_flight_at_report: Value of `in_flight` at the last report.
        failures: Consecutive failures.
        ejections: Consecutive ejections.
        ejected_until: End of the ejection.
        probing: Whether only one request may run, as a probe after an
            ejection.
        kept_off: End of the block of each version that gave bad answers on
            this server.
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
        """Returns the number of requests that can run concurrently."""
        return max(1, self.load.slots) if self.load else DEFAULT_SLOTS

    def work(self, now: float) -> float:
        """Returns this node's requests plus the decayed load of other nodes."""
        if self.load is None:
            return float(self.in_flight)
        reported_work = self.load.running + self.load.waiting
        work_of_others = max(0, reported_work - self.in_flight_at_report)
        age_s = max(0.0, now - self.load_at)
        return self.in_flight + work_of_others * 0.5 ** (
            age_s / LOAD_HALF_LIFE_S
        )

    def work_since_report(self) -> int:
        """Returns the requests added by this node since the last report."""
        return self.in_flight - self.in_flight_at_report

    def occupancy(self, now: float) -> float:
        """Returns the work per slot; above 1, requests queue."""
        return self.work(now) / self.slots()

    def has_room(self, now: float) -> bool:
        """Returns whether the server can take one more request."""
        return self.work(now) < self.slots() * MAX_WORK_PER_SLOT

    def warm_up_penalty(self, now: float) -> float:
        """Returns the occupancy added during the warm-up."""
        remaining_fraction = 1 - (now - self.warm_from) / WARM_UP_S
        return WARM_UP_PENALTY * min(1.0, max(0.0, remaining_fraction))

    def record_load(self, load: EngineLoad, now: float) -> None:
        """Stores a new load report."""
        self.load = load
        self.load_at = now - load.age_s
        self.heard_at = now
        self.in_flight_at_report = self.in_flight

    def can_run(self, version: str, now: float) -> bool:
        """Returns whether the server has a version and it is not blocked."""
        if self.kept_off.get(version, 0.0) > now:
            return False
        return self.load is None or version in self.load.versions

    def record_success(self, now: float) -> None:
        """Records a success; after an ejection, the warm-up starts."""
        self.failures = 0
        if self.probing or self.ejections:
            self.probing = False
            self.ejections = 0
            self.warm_from = now

    def record_failure(
        self, now: float, may_eject: bool, jitter: float
    ) -> bool:
        """Records a failure and returns whether it ejects the server.

        Args:
            now: Monotonic time in seconds.
            may_eject: Whether enough other servers remain.
            jitter: Factor around 1 on the duration of the ejection, so that
                nodes do not probe simultaneously.
        """
        self.failures += 1
        if not self.probing and (
            self.failures < FAILURES_TO_EJECT or not may_eject
        ):
            return False
        duration_s = min(MAX_EJECTION_S, EJECTION_S * 2**self.ejections)
        self.ejected_until = now + duration_s * jitter
        self.ejections += 1
        self.failures = 0
        self.probing = True
        return True
