"""Limits the calls to a store that does not answer."""

import math
import random
from collections.abc import Callable

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds

INITIAL_BACKOFF_S = 0.15
"""Back-off after the first failed call, in seconds; short compared with the
2 s within which a new configuration must be active."""
MAX_BACKOFF_S = 0.8
"""Maximum back-off before jitter, in seconds; a node has to notice the store's
recovery within 3 s, of which a call to a slow store may take 1.5 s."""
BACKOFF_JITTER = (0.7, 1.3)
"""Range of the random back-off factor, so that nodes do not retry in step."""
STATE_CHECK_S = 0.05
"""Interval at which a waiting caller checks the breaker, in seconds."""


class StoreCircuitBreaker:
    """Closed while calls succeed; while open, one caller at a time probes.

    The store counts refused calls against its rate limits too, so the readers
    of all nodes must not keep calling it during an outage.
    """

    def __init__(self, clock: Callable[[], float] = boot_seconds):
        """Creates a closed breaker."""
        self.clock = clock
        self.failures = 0
        self.failed_at = -math.inf
        self.next_probe_at = 0.0

    def is_closed(self) -> bool:
        """Returns whether calls are allowed since the last one succeeded."""
        return self.failures == 0

    def wait_until_allowed(self) -> None:
        """Waits until the breaker is closed or this caller may probe."""
        while not self.is_closed():
            now = self.clock()
            if now >= self.next_probe_at:
                # Lets no other caller probe while this one waits for an answer.
                self.next_probe_at = now + MAX_BACKOFF_S + self.backoff_s()
                return
            gevent.sleep(STATE_CHECK_S)

    def record_success(self) -> None:
        """Closes the breaker."""
        self.failures = 0

    def record_relayed_read(self, sent_at: float) -> None:
        """Closes the breaker if another node has read the store since.

        Args:
            sent_at: Clock when the other node sent its read, in seconds.
        """
        if sent_at > self.failed_at:
            self.record_success()

    def record_failure(self) -> None:
        """Opens the breaker and backs off exponentially."""
        self.failures += 1
        self.failed_at = self.clock()
        self.next_probe_at = self.failed_at + self.backoff_s()

    def backoff_s(self) -> float:
        """Returns a jittered back-off for the failures so far, in seconds."""
        backoff = INITIAL_BACKOFF_S * 2 ** min(self.failures - 1, 4)
        return min(MAX_BACKOFF_S, backoff) * random.uniform(*BACKOFF_JITTER)
