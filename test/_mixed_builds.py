"""A fleet whose nodes run two builds of the repository's history."""

import io
import signal
import subprocess
import tarfile

import gevent
from _common import ROOT
from _platform_fleet import wait_for

from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug_platform_standins.soak_callers import Callers
from amaranthlug_platform_standins.soak_fleet import (
    STOP_GRACE_S,
    NodeProcess,
    SoakFleet,
)

ZONES = tuple(f"zone-{number}" for number in range(6))
"""More zones than all relays of a fleet may read the store for."""
START_LIMIT_S = 10.0
"""Longest time until a started node is ready, in seconds."""
SETTLE_S = 2.5
"""Time in which nodes find their relays and readers, in seconds."""


class MissingCommitError(Exception):
    """The repository does not hold the commit of a former build."""


def extract_build(commit, folder):
    """Writes the sources of a former commit to a folder and returns it.

    Raises:
        MissingCommitError: The history is incomplete.
    """
    result = subprocess.run(
        ["git", "archive", commit, "packages", "platform"],
        cwd=ROOT,
        capture_output=True,
        check=False,
    )
    if result.returncode:
        raise MissingCommitError(
            f"commit {commit} is missing, clone the repository with its whole "
            f"history: {result.stderr.decode().strip()}"
        )
    with tarfile.open(fileobj=io.BytesIO(result.stdout)) as archive:
        archive.extractall(folder, filter="data")
    return folder


def is_ready(node: NodeProcess) -> bool:
    """Returns whether a node says that it can serve callers."""
    try:
        connection = HttpConnection.open(node.addresses["readiness"], 0.3)
        headers = [("Host", "platform")]
        head, _ = connection.request(
            render_request("GET", "/amaranthlug/readyz", headers, b""), 1.0
        )
        connection.close()
    except OSError:
        return False
    return head.status == 200


class MixedFleet:
    """Nodes of which each may run another build, and their callers."""

    def __init__(self, folder, build):
        """Starts all nodes with one build."""
        self.fleet = SoakFleet(folder, 1, len(ZONES), 4, ZONES)
        for node in self.fleet.nodes:
            node.root = build
        self.fleet.start()
        self.callers = Callers(self.fleet, 1, count=10, requests_per_s=3.0)
        self.tasks: list[gevent.Greenlet] = []

    def wait_ready(self):
        """Waits until all nodes are ready and know each other."""
        for node in self.fleet.nodes:
            wait_for(lambda node=node: is_ready(node), START_LIMIT_S)
        gevent.sleep(SETTLE_S)

    def replace(self, number, build):
        """Stops a node as operators do and starts it with another build."""
        node = self.fleet.nodes[number]
        # Callers stop using the address of a node that leaves.
        self.fleet.nodes.remove(node)
        node.send(signal.SIGTERM)
        with gevent.Timeout(STOP_GRACE_S, False):
            node.process.wait()
        node.end()
        node.root = build
        node.start()
        wait_for(lambda: is_ready(node), START_LIMIT_S)
        self.fleet.nodes.insert(number, node)

    def begin_load(self):
        """Starts the callers."""
        self.tasks = self.callers.start()

    def end_load(self):
        """Stops the callers and waits for their last answers."""
        self.callers.stopping = True
        gevent.joinall(self.tasks, timeout=10)

    def served_share(self):
        """Returns the share of requests with a whole answer."""
        calls = self.callers.calls
        return sum(c.status == 200 and c.whole for c in calls) / len(calls)

    def log_text(self):
        """Returns what all nodes have logged."""
        return "".join(node.log.read_text() for node in self.fleet.nodes)
