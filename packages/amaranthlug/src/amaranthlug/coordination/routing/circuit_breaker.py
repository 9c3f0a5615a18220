"""Keeps a node from calling a store that does not answer."""

import random
from collections.abc import Callable

import gevent

from amaranthlug.coordination.boot_clock import boot_seconds

FIRST_PAUSE_S = 0.15
"""Pause after the first failed call, in seconds: short against the 2 s in
which a configuration must be in force."""
MAX_PAUSE_S = 0.8
"""Longest pause, in seconds; a node has to know of the store's return within
3 s, of which a call to a slow store may take 1.5."""
JITTER = (0.7, 1.3)
"""Range of the factor of a pause, so that nodes do not return together."""
WATCH_S = 0.05
"""Period in which a waiting reader looks whether the gate is open."""


class StoreGate:
    """Open while calls succeed; one caller at a time probes while shut.

    Refused calls count against the store's limits like any other, so an
    outage must not make every reader of every node call again and again.
    """

    def __init__(self, clock: Callable[[], float] = boot_seconds):
        """Creates an open gate."""
        self.clock = clock
        self.failures = 0
        self.next_probe = 0.0

    def is_open(self) -> bool:
        """Tells whether the last call succeeded."""
        return self.failures == 0

    def enter(self) -> None:
        """Waits until the gate is open or this caller is the next probe."""
        while not self.is_open():
            now = self.clock()
            if now >= self.next_probe:
                self.next_probe = now + MAX_PAUSE_S + self.pause_s()
                return
            gevent.sleep(WATCH_S)

    def succeeded(self) -> None:
        """Opens the gate."""
        self.failures = 0

    def failed(self) -> None:
        """Shuts the gate for a pause that grows."""
        self.failures += 1
        self.next_probe = self.clock() + self.pause_s()

    def pause_s(self) -> float:
        """Returns the pause after the present number of failures."""
        pause = FIRST_PAUSE_S * 2 ** min(self.failures - 1, 4)
        return min(MAX_PAUSE_S, pause) * random.uniform(*JITTER)
