"""Callers who leave before their answer: noticed by a look at their socket."""

import contextlib
import dataclasses
from collections.abc import Callable, Iterator

import gevent

CHECK_INTERVAL_S = 0.1
"""Period of looks whether a caller has left, in seconds. The caller of a
stream is noticed by the next write once its first token has come."""


class CallerDisconnectedError(Exception):
    """The caller closed its connection before its whole answer."""


@dataclasses.dataclass(eq=False)
class WaitingRequest:
    """A greenlet that waits for a first token on behalf of a caller."""

    is_disconnected: Callable[[], bool]
    greenlet: gevent.Greenlet


class DisconnectWatch:
    """Looks at the callers of all requests that wait for a first token.

    One sweep over all of them costs less than a timer for each request.
    """

    def __init__(self) -> None:
        """Creates a watch; its greenlet runs while a request waits."""
        self.waiting: set[WaitingRequest] = set()
        self.greenlet: gevent.Greenlet | None = None

    @contextlib.contextmanager
    def watching(
        self, is_disconnected: Callable[[], bool] | None
    ) -> Iterator[None]:
        """Watches a caller within the block.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        if is_disconnected is None:
            yield
            return
        waiting = WaitingRequest(is_disconnected, gevent.getcurrent())
        self.waiting.add(waiting)
        if self.greenlet is None or self.greenlet.ready():
            self.greenlet = gevent.spawn(self.check_callers)
        try:
            yield
        finally:
            self.waiting.discard(waiting)

    def check_callers(self) -> None:
        """Ends the wait of requests whose callers have left."""
        loop = gevent.get_hub().loop
        while self.waiting:
            gevent.sleep(CHECK_INTERVAL_S)
            for waiting in list(self.waiting):
                if waiting.is_disconnected():
                    loop.run_callback(self.interrupt, waiting)

    def interrupt(self, waiting: WaitingRequest) -> None:
        """Raises in a greenlet that still waits; runs in the hub.

        The block may have ended since the look, and an exception must not
        reach the code behind it.
        """
        if waiting in self.waiting:
            self.waiting.discard(waiting)
            waiting.greenlet.throw(CallerDisconnectedError())
