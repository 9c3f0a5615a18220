"""The time that a node has for its requests after a stop signal."""

import math
from collections.abc import Callable

ACCEPT_AFTER_STOP_S = 2.6
"""Time after a stop signal in which all requests are still accepted, in
seconds. Callers cache this node's address for its time to live, and a request
accepted this early has the rest of the grace period to finish."""
DURATION_WEIGHT = 0.15
"""Weight of the newest duration in the averages of a route."""
DEVIATIONS = 4.0
"""Mean deviations above the mean within which nearly all requests end."""


class GracePeriod:
    """Says which requests may still be sent to a server.

    Attributes:
        accepts_until: Clock until which any may be sent, in seconds; infinite
            before a stop signal.
        ends_at: Clock when the process exits, in seconds.
        durations: Route -> mean duration of its requests and the mean
            deviation from it, in seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        """Creates the state before a stop signal; `clock` returns seconds."""
        self.clock = clock
        self.accepts_until = math.inf
        self.ends_at = math.inf
        self.durations: dict[str, tuple[float, float]] = {}

    def begin(self, duration_s: float) -> None:
        """Begins the period at a stop signal, with its length in seconds."""
        now = self.clock()
        self.accepts_until = now + ACCEPT_AFTER_STOP_S
        self.ends_at = now + duration_s

    def is_accepting(self) -> bool:
        """Returns whether any request is accepted."""
        return self.clock() <= self.accepts_until

    def is_over(self) -> bool:
        """Returns whether the process has to exit."""
        return self.clock() >= self.ends_at

    def fits(self, duration_s: float) -> bool:
        """Returns whether a request of that length may be sent now."""
        return self.is_accepting() or self.clock() + duration_s <= self.ends_at

    def record_duration(self, route: str, duration_s: float) -> None:
        """Records the duration of an answered request, in seconds."""
        mean, deviation = self.durations.get(route, (duration_s, duration_s))
        error = duration_s - mean
        self.durations[route] = (
            mean + DURATION_WEIGHT * error,
            deviation + DURATION_WEIGHT * (abs(error) - deviation),
        )

    def longest_s(self, route: str) -> float:
        """Returns the duration that few requests of a route exceed.

        Infinite if none has been answered.
        """
        if route not in self.durations:
            return math.inf
        mean, deviation = self.durations[route]
        return mean + DEVIATIONS * deviation

    def keep_only(self, routes: set[str]) -> None:
        """Forgets routes that are not configured."""
        for route in self.durations.keys() - routes:
            del self.durations[route]
