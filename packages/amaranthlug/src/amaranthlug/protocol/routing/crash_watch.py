"""Finds requests under which servers ended."""

import logging

import gevent
import xxhash

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.routing.messages import RoutedRequest, ServerPort
from amaranthlug.state.routing.servers import ServerEntry

log = logging.getLogger(__name__)


def request_digest(organisation: str | None, request: RoutedRequest) -> str:
    """Hashes what a request has in common with its repetitions.

    The id and the deadline differ between them, and keys are rotated.
    """
    content = xxhash.xxh3_128()
    for part in (
        (organisation or "").encode(),
        request.method.encode(),
        request.host.encode(),
        request.target.encode(),
        request.body,
    ):
        content.update(len(part).to_bytes(8, "big"))
        content.update(part)
    return content.hexdigest()


class CrashWatch:
    """Checks after a broken attempt whether its server has ended."""

    def __init__(self, port: ServerPort, metrics: Metrics):
        """Creates a watch.

        Args:
            port: Tells whether a server has ended.
            metrics: Counts the servers that ended, once for each request.
        """
        self.port = port
        self.metrics = metrics

    def check_later(
        self, server: ServerEntry, digest: str, request_id: str
    ) -> None:
        """Checks a server in the background, so that no request waits."""
        gevent.spawn(self.check, server, digest, request_id)

    def check(self, server: ServerEntry, digest: str, request_id: str) -> None:
        """Records that a server ended under a request, if it did."""
        if not self.port.has_ended(server):
            return
        self.metrics.incr("suspects.server_ended")
        log.info(
            "server %s ended under a request",
            server.server_id,
            extra={
                "event": "server_ended",
                "server": server.server_id,
                "request_id": request_id,
                "digest": digest,
            },
        )
