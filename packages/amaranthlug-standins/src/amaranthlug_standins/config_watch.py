"""Checks that an accepted configuration is in force and never reverts."""

import dataclasses
import time
from collections.abc import Mapping, Sequence
from typing import Any, Protocol

import gevent

IN_FORCE_LIMIT_S = 12.0
"""Seconds until an accepted configuration must be in force everywhere."""

WATCH_PERIOD_S = 0.2
POLL_S = 0.1


class WatchedNode(Protocol):
    """A node whose status can be read."""

    @property
    def address(self) -> str:
        """Returns `host:port`."""

    def status(self) -> Mapping[str, Any] | None:
        """Returns `/statusz`, None if the node cannot be reached."""


@dataclasses.dataclass
class RevisionWatcher:
    """Counts how often the revision of a node falls.

    Attributes:
        reverted: Times that a revision was below an earlier one of the node.
        highest: Last revision by address.
    """

    nodes: Sequence[WatchedNode]
    revert_count: int = 0
    highest: dict[str, int] = dataclasses.field(default_factory=dict)

    def look(self) -> None:
        """Reads the revisions of all nodes once."""
        for node in list(self.nodes):
            status = node.status()
            if status is None:
                continue
            revision = int(status["revision"])
            if revision < self.highest.get(node.address, revision):
                self.revert_count += 1
            self.highest[node.address] = revision

    def run(self) -> None:
        """Reads the revisions until it is killed."""
        while True:
            self.look()
            gevent.sleep(WATCH_PERIOD_S)


def count_nodes_behind(
    nodes: Sequence[WatchedNode],
    revision: int,
    limit_s: float = IN_FORCE_LIMIT_S,
) -> int:
    """Waits until all nodes have a revision.

    Returns:
        The number of nodes that do not have it at the limit.
    """
    ends = time.monotonic() + limit_s
    while True:
        statuses = [node.status() for node in nodes]
        behind = sum(
            status is None or int(status["revision"]) != revision
            for status in statuses
        )
        if not behind or time.monotonic() >= ends:
            return behind
        gevent.sleep(POLL_S)
