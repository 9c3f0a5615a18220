"""Finds requests under which servers ended."""

import logging

import gevent
import xxhash

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.fleet_suspects import FleetSuspects
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
    """Finds the requests that crash servers and keeps servers from them.

    All requests at a server that ends become suspects. Those that did not cause
    it are cleared when a server completes them.
    """

    def __init__(
        self, port: ServerPort, suspects: FleetSuspects, metrics: Metrics
    ):
        """Creates a watch.

        Args:
            port: Tells whether a server has ended.
            suspects: Shares the suspects with the other nodes.
            metrics: Counts the servers that ended, once for each request.
        """
        self.port = port
        self.suspects = suspects
        self.metrics = metrics

    def has_suspects(self) -> bool:
        """Returns whether the digest of a request matters at present."""
        return len(self.suspects.table) > 0

    def is_blocked(self, digest: str) -> bool:
        """Returns whether a request must reach no further server."""
        return self.suspects.is_blocked(digest)

    def block_remaining_s(self, digest: str) -> float:
        """Returns the time until a blocked request is allowed, in seconds."""
        return self.suspects.block_remaining_s(digest)

    def record_completed(self, digest: str) -> None:
        """Clears a request that a server has completed."""
        self.suspects.record_completed(digest)

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
        self.suspects.record_end(digest, server.instance_name)
