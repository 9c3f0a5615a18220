"""Callers who leave before their answer: noticed by a look at their socket."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import gevent

CHECK_S = 0.1
"""Period of looks whether a caller has left, in seconds. The caller of a
stream is noticed by the next write once its first token has come."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its whole answer."""


@dataclasses.dataclass(eq=False)
class Waiting:
    """A greenlet that waits for a first token on behalf of a caller."""

    left: Callable[[], bool]
    greenlet: gevent.Greenlet


class CallerWatch:
    """Looks at the callers of all requests that wait for a first token.

    One sweep over all of them costs less than a timer for each request.
    """

    def __init__(self) -> None:
        """Creates a watch; its greenlet runs while a request waits."""
        self.waiting: set[Waiting] = set()
        self.greenlet: gevent.Greenlet | None = None

    @contextlib.contextmanager
    def during(self, left: Callable[[], bool] | None) -> Iterator[None]:
        """Watches a caller within the block.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        if left is None:
            yield
            return
        waiting = Waiting(left, gevent.getcurrent())
        self.waiting.add(waiting)
        if self.greenlet is None or self.greenlet.ready():
            self.greenlet = gevent.spawn(self.sweep)
        try:
            yield
        finally:
            self.waiting.discard(waiting)

    def sweep(self) -> None:
        """Ends the wait of requests whose callers have left."""
        loop = gevent.get_hub().loop
        while self.waiting:
            gevent.sleep(CHECK_S)
            for waiting in list(self.waiting):
                if waiting.left():
                    loop.run_callback(self.interrupt, waiting)

    def interrupt(self, waiting: Waiting) -> None:
        """Raises in a greenlet that still waits; runs in the hub.

        The block may have ended since the look, and an exception must not
        reach the code behind it.
        """
        if waiting in self.waiting:
            self.waiting.discard(waiting)
            waiting.greenlet.throw(CallerDisconnectedError())
