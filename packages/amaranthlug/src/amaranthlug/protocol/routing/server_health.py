"""What a node has seen of each server: load, failures and pace."""

import dataclasses
import math
from collections.abc import Callable

from amaranthlug.protocol.routing.messages import ServerLoad
from amaranthlug.state.routing.servers import ServerEntry

FAILURE_WEIGHT = 0.25
"""Weight of the newest outcome in the moving failure share."""
BAD_SHARE = 0.45
"""Moving failure share above which a server gets only trial requests: two
failures in a row from a clean record, or a server that fails every third."""
REST_S = 1.0
"""First time without trials after a server became bad, in seconds."""
MAX_REST_S = 8.0
"""Longest time without a trial, in seconds."""
LOAD_FADE_S = 3.0
"""Age at which a reported load of other nodes counts for nothing, in seconds;
requests of plain services end within it, streams are reported anew."""
PACE_WEIGHT = 0.15
"""Weight of the newest duration in the moving mean."""

MIN_PACES = 3
"""Known paces from which on their median says what is usual."""


@dataclasses.dataclass
class ServerHealth:
    """What is known of one life of a server."""

    own: int = 0
    others: int = 0
    others_at: float = -math.inf
    failure_share: float = 0.0
    rest_until: float = -math.inf
    rest_s: float = REST_S
    on_trial: bool = False
    pace_ms: float | None = None
    last_byte_at: float = -math.inf


class ServerHealthTracker:
    """Health of all servers that this node has used."""

    def __init__(self, clock: Callable[[], float]):
        """Creates an empty book; `clock` returns seconds."""
        self.clock = clock
        self.lives: dict[tuple[str, int], ServerHealth] = {}

    def get_or_create(self, server: ServerEntry) -> ServerHealth:
        """Returns the health of a life of a server."""
        return self.lives.setdefault(server.instance_key, ServerHealth())

    def keep_only(self, servers: list[ServerEntry]) -> None:
        """Forgets idle lives that are not listed any more."""
        listed = {server.instance_key for server in servers}
        for instance_key in list(self.lives):
            if instance_key not in listed and not self.lives[instance_key].own:
                del self.lives[instance_key]

    def began(self, server: ServerEntry) -> None:
        """Counts a request that goes to a server."""
        health = self.get_or_create(server)
        health.own += 1
        if self.is_bad(health):
            health.on_trial = True
            health.rest_until = self.clock() + health.rest_s

    def ended(self, server: ServerEntry) -> None:
        """Counts the end of a request."""
        health = self.get_or_create(server)
        health.own -= 1
        health.on_trial = False

    def record_byte(self, server: ServerEntry) -> None:
        """Notes that a server sent something."""
        self.get_or_create(server).last_byte_at = self.clock()

    def record_load(self, server: ServerEntry, load: ServerLoad | None) -> None:
        """Takes the load from an answer, without this node's part."""
        if load is None:
            return
        health = self.get_or_create(server)
        health.others = max(0, load.running + load.waiting - health.own)
        health.others_at = self.clock()

    def record_outcome(self, server: ServerEntry, failed: bool) -> None:
        """Takes the outcome of a request."""
        health = self.get_or_create(server)
        newest = 1.0 if failed else 0.0
        health.failure_share += FAILURE_WEIGHT * (newest - health.failure_share)
        if not failed:
            if health.failure_share < BAD_SHARE:
                health.rest_s = REST_S
            return
        if health.failure_share >= BAD_SHARE:
            health.rest_until = self.clock() + health.rest_s
            health.rest_s = min(MAX_REST_S, 2 * health.rest_s)

    def record_pace(self, server: ServerEntry, milliseconds: float) -> None:
        """Takes the time that a server needed, relative to its work."""
        health = self.get_or_create(server)
        if health.pace_ms is None:
            health.pace_ms = milliseconds
        else:
            health.pace_ms += PACE_WEIGHT * (milliseconds - health.pace_ms)

    def is_bad(self, health: ServerHealth) -> bool:
        """Tells whether a server gets only trial requests."""
        return health.failure_share >= BAD_SHARE

    def may_try(self, server: ServerEntry) -> bool:
        """Tells whether a server may get a request now."""
        health = self.get_or_create(server)
        if not self.is_bad(health):
            return True
        return not health.on_trial and self.clock() >= health.rest_until

    def load(self, server: ServerEntry) -> float:
        """Returns the estimated requests at a server."""
        health = self.get_or_create(server)
        age = self.clock() - health.others_at
        fade = max(0.0, 1.0 - age / LOAD_FADE_S)
        return health.own + health.others * fade

    def usual_pace_ms(self, servers: list[ServerEntry]) -> float | None:
        """Returns the median pace of servers, None with too few known."""
        paces = sorted(
            pace
            for pace in (
                self.get_or_create(server).pace_ms for server in servers
            )
            if pace is not None
        )
        return paces[len(paces) // 2] if len(paces) >= MIN_PACES else None

    def slowness(self, server: ServerEntry, usual_ms: float | None) -> float:
        """Returns a server's pace against the usual one, at least 1."""
        mine = self.get_or_create(server).pace_ms
        if mine is None or not usual_ms:
            return 1.0
        return max(1.0, mine / usual_ms)
