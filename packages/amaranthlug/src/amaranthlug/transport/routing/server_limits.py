"""What an HTTP server takes from all its callers, and what it refuses."""

import collections
import dataclasses
import logging
from collections.abc import Callable

from gevent.lock import BoundedSemaphore

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.routing.request_memory import RequestMemory
from amaranthlug.state.routing.config import CallerLimits
from amaranthlug.state.routing.settings import RoutedNodeSettings
from amaranthlug.transport.routing.http_client import Headers

MAX_BODY_S = 30.0
"""Longest time to receive the body of a request that names no deadline, in
seconds."""
REJECTION_LOG_PERIOD_S = 1.0
"""Least time between two log lines on rejections for the same reason, in
seconds."""

log = logging.getLogger(__name__)


def default_body_time_s(headers: Headers) -> float:
    """Returns how long the body of a request may take, in seconds."""
    return MAX_BODY_S


class Rejections:
    """Counts requests and connections that were refused, and logs some.

    Attributes:
        metrics: Receives a counter for each reason; None counts nothing.
    """

    def __init__(self, metrics: Metrics | None = None):
        """Creates a count of nothing."""
        self.metrics = metrics
        self.logged_at: dict[str, float] = {}
        self.unlogged: collections.Counter[str] = collections.Counter()

    def record(self, reason: str, message: str, **fields: object) -> None:
        """Records a refusal; a crowd gets a line a second for each reason."""
        if self.metrics is not None:
            self.metrics.incr(f"callers.rejected.{reason}")
        now = boot_seconds()
        if now - self.logged_at.get(reason, -REJECTION_LOG_PERIOD_S) < (
            REJECTION_LOG_PERIOD_S
        ):
            self.unlogged[reason] += 1
            return
        self.logged_at[reason] = now
        log.info(
            "request rejected: %s",
            message,
            extra={
                "event": "rejected",
                "reason": reason,
                "unlogged": self.unlogged.pop(reason, 0),
                **fields,
            },
        )


@dataclasses.dataclass(frozen=True)
class ServerLimits:
    """What a server takes from its callers.

    Attributes:
        callers: Returns the limits on a single request.
        max_connections: Connections that are open at a time.
        memory: Limits what all requests hold.
        body_time_s: Returns how long the body of a request with these headers
            may take, in seconds from its first byte.
        rejections: Counts what is refused.
        fragments: Held while a fragmented body is parsed, one at a time.
    """

    callers: Callable[[], CallerLimits] = CallerLimits
    max_connections: int = 2_000
    memory: RequestMemory = dataclasses.field(
        default_factory=lambda: RequestMemory.from_memory(
            RoutedNodeSettings.memory_mb
        )
    )
    body_time_s: Callable[[Headers], float] = default_body_time_s
    rejections: Rejections = dataclasses.field(default_factory=Rejections)
    fragments: BoundedSemaphore = dataclasses.field(
        default_factory=lambda: BoundedSemaphore(1)
    )
