"""Checks that accepted configuration takes effect and never reverts."""

import dataclasses
import time
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import gevent

IN_FORCE_LIMIT_S = 12.0
"""Time within which an accepted configuration must be in force everywhere."""

WATCH_INTERVAL_S = 0.2
POLL_INTERVAL_S = 0.1


class WatchedNode(Protocol):
    """A node whose `/statusz` can be read."""

    @property
    def address(self) -> str:
        """Returns `host:port`."""

    def status(self) -> Mapping[str, Any] | None:
        """Returns the body of `/statusz`, None if the node is unreachable."""


@dataclasses.dataclass
class RevisionWatcher:
    """Polls nodes and counts decreases of their configuration revisions.

    Attributes:
        revert_count: Number of times that a node reported a lower revision than
            at its previous poll.
        last_revisions: Last revision by address.
    """

    nodes: Sequence[WatchedNode]
    revert_count: int = 0
    last_revisions: dict[str, int] = dataclasses.field(default_factory=dict)

    def poll(self) -> None:
        """Reads the revision of each reachable node once."""
        for node in list(self.nodes):
            status = node.status()
            if status is None:
                continue
            revision = int(status["revision"])
            if revision < self.last_revisions.get(node.address, revision):
                self.revert_count += 1
            self.last_revisions[node.address] = revision

    def run(self) -> None:
        """Polls the nodes until its greenlet is killed."""
        while True:
            self.poll()
            gevent.sleep(WATCH_INTERVAL_S)


def count_nodes_behind(
    nodes: Sequence[WatchedNode],
    revision: int,
    limit_s: float = IN_FORCE_LIMIT_S,
) -> int:
    """Waits until all nodes have exactly this revision, or for the limit.

    Returns:
        The number of nodes without it when the wait ends.
    """
    deadline = time.monotonic() + limit_s
    while True:
        statuses = [node.status() for node in nodes]
        behind = sum(
            status is None or int(status["revision"]) != revision
            for status in statuses
        )
        if not behind or time.monotonic() >= deadline:
            return behind
        gevent.sleep(POLL_INTERVAL_S)
