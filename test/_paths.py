"""Builders for tests of the paths to servers."""

import random
import types

from _fakes_log import FakeMetrics

from amaranthlug.protocol.routing.messages import PathState
from amaranthlug.protocol.routing.peer_choice import PeerChoice
from amaranthlug.protocol.routing.server_links import ServerLinks
from amaranthlug.protocol.routing.server_paths import (
    PathReport,
    PeerPathError,
    ServerPaths,
)
from amaranthlug.transport.routing.upstreams import (
    UpstreamPool,
    open_connection,
)
from amaranthlug_platform.headers import PlatformHeaders


def make_paths(
    nodes=(), peers=None, dial=open_connection, clock=None
) -> ServerPaths:
    """Returns the paths of `node-0` among other nodes.

    Args:
        nodes: Registrations of the other nodes.
        peers: Asks them.
        dial: Connects to a server.
        clock: Returns seconds; the real time by default.
    """
    more = {} if clock is None else {"clock": clock}
    rng = random.Random(1)
    return ServerPaths(
        ServerLinks(FakeMetrics(), rng=rng, **more),
        PeerChoice("node-0", "region", lambda: list(nodes), rng=rng, **more),
        peers,
        dial,
        FakeMetrics(),
        **more,
    )


def make_pool() -> UpstreamPool:
    """Returns the pool of a node without others."""
    return UpstreamPool(PlatformHeaders(), make_paths())


class FakePeers:
    """Other nodes, which report what a test has set.

    Attributes:
        reports: Node -> what its links show; one without a report reaches all
            servers.
        asked: The nodes in the order in which they were asked.
    """

    def __init__(self):
        """Starts with nodes whose links hold."""
        self.reports = {}
        self.asked = []

    @staticmethod
    def connection():
        """Returns a connection that does nothing."""
        return types.SimpleNamespace(close=lambda: None, receive_close=None)

    def open_path(self, node, server, timeout_s):
        """Returns a connection, or raises the report of the node."""
        report = self.check_path(node, server, timeout_s)
        if report.state is not PathState.OPEN:
            raise PeerPathError("no path", report)
        return self.connection()

    def check_path(self, node, server, timeout_s):
        """Returns the report of the node."""
        self.asked.append(node.node)
        try:
            return self.reports[node.node]
        except KeyError:
            return PathReport(PathState.OPEN, has_contact=True)
