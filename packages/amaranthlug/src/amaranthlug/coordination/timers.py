"""Timer service: one place from which parts get periodic and delayed calls."""

import dataclasses
import logging
import random
import time
from collections.abc import Callable

import gevent

JITTER_SHARE = 0.2
"""Share of a period by which a wait is varied, so nodes do not act in step."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class Subscription:
    """A running subscription; `cancel` ends it after the current call."""

    name: str
    greenlet: gevent.Greenlet | None = None
    active: bool = True

    def cancel(self) -> None:
        """Ends the subscription."""
        self.active = False
        if self.greenlet is not None and self.greenlet is not (
            gevent.getcurrent()
        ):
            self.greenlet.kill(block=False)


class TimerService:
    """Calls subscribers periodically, each in its own greenlet."""

    def __init__(self, seed: int | None = None):
        """Creates a service; a seed makes its jitter repeatable."""
        self.random = random.Random(seed)
        self.subscriptions: list[Subscription] = []

    def now(self) -> float:
        """Returns monotonic seconds, the only clock for leases and timeouts."""
        return time.monotonic()

    def jittered(self, period_s: float) -> float:
        """Returns the period varied by the jitter share."""
        spread = period_s * JITTER_SHARE
        return period_s + self.random.uniform(-spread, spread)

    def every(
        self, name: str, period_s: float, call: Callable[[], object]
    ) -> Subscription:
        """Calls `call` about every `period_s` seconds until cancelled.

        An exception is logged and the next call still happens, so that one
        failure does not stop a periodic task for good.
        """
        subscription = Subscription(name)

        def run() -> None:
            while subscription.active:
                gevent.sleep(self.jittered(period_s))
                if not subscription.active:
                    return
                try:
                    call()
                except Exception:
                    log.exception("timer %s failed; it runs again", name)

        subscription.greenlet = gevent.spawn(run)
        self.subscriptions.append(subscription)
        return subscription

    def stop(self) -> None:
        """Cancels all subscriptions."""
        for subscription in self.subscriptions:
            subscription.cancel()
        self.subscriptions.clear()
