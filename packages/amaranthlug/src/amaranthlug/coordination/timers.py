"""Timer service for periodic calls."""

import dataclasses
import random
import time
from collections.abc import Callable

import gevent

from amaranthlug.coordination.supervised import record_error

JITTER_SHARE = 0.2
"""Fraction of a period by which a wait varies, so that nodes do not act
simultaneously."""


@dataclasses.dataclass
class Subscription:
    """A periodic call, which `cancel` ends."""

    name: str
    greenlet: gevent.Greenlet | None = None
    active: bool = True

    def cancel(self) -> None:
        """Ends the subscription.

        A call in progress is killed, unless it is the one that cancels.
        """
        self.active = False
        if self.greenlet is not None and self.greenlet is not (
            gevent.getcurrent()
        ):
            self.greenlet.kill(block=False)


class TimerService:
    """Runs periodic calls, each in its own greenlet."""

    def __init__(self, seed: int | None = None):
        """Creates a service; a seed makes its jitter reproducible."""
        self.random = random.Random(seed)
        self.subscriptions: list[Subscription] = []

    def now(self) -> float:
        """Returns monotonic seconds, the only clock of leases and timeouts."""
        return time.monotonic()

    def jittered(self, period_s: float) -> float:
        """Returns a period varied randomly by up to `JITTER_SHARE`."""
        max_jitter_s = period_s * JITTER_SHARE
        return period_s + self.random.uniform(-max_jitter_s, max_jitter_s)

    def every(
        self, name: str, period_s: float, callback: Callable[[], object]
    ) -> Subscription:
        """Calls `callback` about every `period_s` seconds until cancelled.

        An exception is logged and later calls still take place, so that one
        failure does not end a periodic task.
        """
        subscription = Subscription(name)

        def run() -> None:
            while subscription.active:
                gevent.sleep(self.jittered(period_s))
                if not subscription.active:
                    return
                try:
                    callback()
                except Exception as error:
                    record_error(f"timer {name}", error)

        subscription.greenlet = gevent.spawn(run)
        self.subscriptions.append(subscription)
        return subscription

    def stop(self) -> None:
        """Cancels all subscriptions."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.subscriptions.clear()
