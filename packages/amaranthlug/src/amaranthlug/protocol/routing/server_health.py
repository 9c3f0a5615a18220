"""Load, failures and speed that a node observed at each server."""

import dataclasses
import math
from collections.abc import Callable

from amaranthlug.protocol.routing.messages import ServerLoad
from amaranthlug.state.routing.servers import ServerEntry

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the moving average of failures."""
BAD_FAILURE_SHARE = 0.45
"""Share of failures from which a server gets only trial requests; reached by
three failures in a row after a clean record, or if every second one fails."""
INITIAL_BACKOFF_S = 1.0
"""First time without trial requests after a server became bad, in seconds."""
MAX_BACKOFF_S = 8.0
"""Longest time without a trial request, in seconds."""
LOAD_EXPIRY_S = 3.0
"""Age from which a reported load of other nodes is ignored, in seconds.
Requests of plain services end within it; streams are reported again."""
SILENCE_EXPIRY_S = 3.0
"""Age from which a silence is ignored, in seconds, so that a server from which
nothing is expected gets requests again."""
PACE_WEIGHT = 0.15
"""Weight of the newest duration in the moving average."""

MIN_KNOWN_PACES = 3
"""Fewest servers with a known pace for which a median is computed."""


@dataclasses.dataclass
class ServerHealth:
    """Observations of one server instance.

    Attributes:
        own_requests: Requests of this node that it runs.
        other_requests: Requests of other nodes, from its last load report.
        load_reported_at: Clock reading of that report, in seconds.
        failure_share: Moving average of failures, 0 to 1.
        backoff_until: Clock reading until which it gets no trial request.
        backoff_s: Next time without trial requests, in seconds.
        on_trial: A trial request is running.
        pace_ms: Moving average of the request duration, in milliseconds; for
            engines, of the time between events in percent of the model's
            average.
        last_byte_at: Clock reading of the last data received, in seconds.
        silent_at: Clock reading at which a request last waited too long for
            data, in seconds.
        gone: Its process was not there when it was last checked.
        work_percent: How long work took there when it last said so, in percent
            of the usual time; None if it did not.
    """

    own_requests: int = 0
    other_requests: int = 0
    load_reported_at: float = -math.inf
    failure_share: float = 0.0
    backoff_until: float = -math.inf
    backoff_s: float = INITIAL_BACKOFF_S
    on_trial: bool = False
    pace_ms: float | None = None
    last_byte_at: float = -math.inf
    silent_at: float = -math.inf
    gone: bool = False
    work_percent: int | None = None


class ServerHealthTracker:
    """Tracks the health of all servers that this node has used.

    Attributes:
        receive_reachable: Called with each instance that was gone and accepts
            connections again.
    """

    def __init__(self, clock: Callable[[], float]):
        """Creates an empty tracker; `clock` returns seconds."""
        self.clock = clock
        self.receive_reachable: Callable[[ServerEntry], None] = lambda server: (
            None
        )
        self.by_instance: dict[tuple[str, int], ServerHealth] = {}

    def get_or_create(self, server: ServerEntry) -> ServerHealth:
        """Returns the health of a server instance, a clean record if new."""
        return self.by_instance.setdefault(server.instance_key, ServerHealth())

    def keep_only(self, servers: list[ServerEntry]) -> None:
        """Removes idle server instances that are no longer listed."""
        listed = {server.instance_key for server in servers}
        for instance_key in list(self.by_instance):
            if (
                instance_key not in listed
                and not self.by_instance[instance_key].own_requests
            ):
                del self.by_instance[instance_key]

    def record_start(self, server: ServerEntry) -> None:
        """Counts the start of a request at a server."""
        health = self.get_or_create(server)
        health.own_requests += 1
        if self.is_bad(health):
            health.on_trial = True
            health.backoff_until = self.clock() + health.backoff_s

    def record_end(self, server: ServerEntry) -> None:
        """Counts the end of a request at a server."""
        health = self.get_or_create(server)
        health.own_requests -= 1
        health.on_trial = False

    def record_byte(self, server: ServerEntry) -> None:
        """Records that data was received from a server."""
        self.get_or_create(server).last_byte_at = self.clock()

    def record_gone(self, server: ServerEntry) -> None:
        """Records that the process of an instance is not there."""
        self.get_or_create(server).gone = True

    def record_reachable(self, server: ServerEntry) -> None:
        """Records that an instance that was gone accepts connections.

        It gets trial requests until it has answered some.
        """
        health = self.get_or_create(server)
        if health.gone:
            health.gone = False
            health.failure_share = 1.0
            self.receive_reachable(server)

    def is_gone(self, server: ServerEntry) -> bool:
        """Returns whether an instance must get no request, even for trial."""
        return self.get_or_create(server).gone

    def record_silence(self, server: ServerEntry) -> None:
        """Records that a request has waited too long for data."""
        self.get_or_create(server).silent_at = self.clock()

    def is_silent(self, server: ServerEntry) -> bool:
        """Returns whether a server has sent nothing since a recent silence."""
        health = self.get_or_create(server)
        return (
            health.silent_at > health.last_byte_at
            and self.clock() - health.silent_at < SILENCE_EXPIRY_S
        )

    def is_responsive(self, server: ServerEntry) -> bool:
        """Returns whether a server is expected to answer soon."""
        health = self.get_or_create(server)
        return not (
            health.gone or self.is_silent(server) or self.is_bad(health)
        )

    def record_load(self, server: ServerEntry, load: ServerLoad | None) -> None:
        """Records the load from an answer, less this node's own requests."""
        if load is None:
            return
        health = self.get_or_create(server)
        health.other_requests = max(
            0, load.running + load.waiting - health.own_requests
        )
        health.load_reported_at = self.clock()
        health.work_percent = load.work_percent

    def record_outcome(self, server: ServerEntry, failed: bool) -> None:
        """Records the outcome of a request."""
        health = self.get_or_create(server)
        newest = 1.0 if failed else 0.0
        health.failure_share += FAILURE_WEIGHT * (newest - health.failure_share)
        if not failed:
            if health.failure_share < BAD_FAILURE_SHARE:
                health.backoff_s = INITIAL_BACKOFF_S
            return
        if health.failure_share >= BAD_FAILURE_SHARE:
            health.backoff_until = self.clock() + health.backoff_s
            health.backoff_s = min(MAX_BACKOFF_S, 2 * health.backoff_s)

    def forgive(self, server: ServerEntry) -> None:
        """Forgets the failures of a server, which were not its own."""
        health = self.get_or_create(server)
        health.failure_share = 0.0
        health.backoff_s = INITIAL_BACKOFF_S
        health.gone = False

    def record_pace(self, server: ServerEntry, duration_ms: float) -> None:
        """Records a request duration, or for engines a relative event time."""
        health = self.get_or_create(server)
        if health.pace_ms is None:
            health.pace_ms = duration_ms
        else:
            health.pace_ms += PACE_WEIGHT * (duration_ms - health.pace_ms)

    def is_bad(self, health: ServerHealth) -> bool:
        """Returns whether a server gets only trial requests."""
        return health.failure_share >= BAD_FAILURE_SHARE

    def may_try(self, server: ServerEntry) -> bool:
        """Returns whether a server may receive a request now."""
        health = self.get_or_create(server)
        if not self.is_bad(health):
            return True
        return not health.on_trial and self.clock() >= health.backoff_until

    def load(self, server: ServerEntry) -> float:
        """Returns the estimated number of requests at a server."""
        health = self.get_or_create(server)
        age_s = self.clock() - health.load_reported_at
        freshness = max(0.0, 1.0 - age_s / LOAD_EXPIRY_S)
        return health.own_requests + health.other_requests * freshness

    def median_pace_ms(self, servers: list[ServerEntry]) -> float | None:
        """Returns the median pace of servers, None if too few are known."""
        paces = sorted(
            pace
            for pace in (
                self.get_or_create(server).pace_ms for server in servers
            )
            if pace is not None
        )
        return paces[len(paces) // 2] if len(paces) >= MIN_KNOWN_PACES else None

    def slowness(self, server: ServerEntry, median_ms: float | None) -> float:
        """Returns the ratio of a server's pace to the median, at least 1."""
        pace_ms = self.get_or_create(server).pace_ms
        if pace_ms is None or not median_ms:
            return 1.0
        return max(1.0, pace_ms / median_ms)
