"""Which servers this node reaches over its own links."""

import collections
import dataclasses
import logging
import random
from collections.abc import Callable

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.platform import Metrics
from amaranthlug.state.routing.servers import ServerEntry

RESTORE_PROBES = 2
"""Connections in a row that must be opened before a lost link is used again."""
PROBE_PERIOD_S = (0.4, 0.8)
"""Range of the random time between two probes of a lost link, in seconds, so
that nodes whose links return together do not all probe at once."""
MIN_CUT_LINKS = 3
"""Links lost in a row, without a connection to any server in between, from
which a node counts as cut off from all servers."""
MAX_OPENED = 64
"""Servers remembered as the last ones to which connections were opened."""

log = logging.getLogger(__name__)


@dataclasses.dataclass
class LostLink:
    """A server that other nodes reach and this node does not.

    Attributes:
        server: The server.
        hung: New connections time out instead of being refused, so open ones
            are dead as well.
        probe_at: Clock at which it is probed next, in seconds.
        opened: Probes in a row that opened a connection.
    """

    server: ServerEntry
    hung: bool
    probe_at: float
    opened: int = 0


class ServerLinks:
    """The links between this node and the servers.

    A link is lost once this node failed to connect to a server that another
    node reached at that moment. A server that no node reaches is not counted:
    it may have ended.

    Attributes:
        receive_loss: Called with each server whose link is lost, and whether
            its open connections are dead.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Callable[[], float] = boot_seconds,
        rng: random.Random | None = None,
    ):
        """Creates a register in which no link is lost.

        Args:
            metrics: Counts lost and restored links.
            clock: Returns seconds.
            rng: Source of random numbers.
        """
        self.metrics = metrics
        self.clock = clock
        self.random = rng or random.Random()
        self.lost: dict[tuple[str, int], LostLink] = {}
        self.opened: collections.OrderedDict[
            tuple[str, int], tuple[ServerEntry, float]
        ] = collections.OrderedDict()
        self.lost_in_a_row = 0
        self.last_hung = False
        self.receive_loss: Callable[[ServerEntry, bool], None] = (
            lambda server, hung: None
        )

    def is_cut(self) -> bool:
        """Returns whether this node seems to have lost all its links."""
        return self.lost_in_a_row >= MIN_CUT_LINKS

    def is_lost(self, server: ServerEntry) -> bool:
        """Returns whether requests should reach a server through a peer."""
        return server.instance_key in self.lost or self.is_cut()

    def is_hung(self, server: ServerEntry) -> bool:
        """Returns whether open connections to a server are dead."""
        link = self.lost.get(server.instance_key)
        if link is not None:
            return link.hung
        return self.is_cut() and self.last_hung

    def record_opened(self, server: ServerEntry) -> None:
        """Records that a connection was opened over a link."""
        key = server.instance_key
        self.lost_in_a_row = 0
        self.opened[key] = (server, self.clock())
        self.opened.move_to_end(key)
        if len(self.opened) > MAX_OPENED:
            self.opened.popitem(last=False)

    def record_lost(self, server: ServerEntry, hung: bool) -> None:
        """Records a server that only other nodes reach.

        Args:
            server: The server.
            hung: The connection of this node timed out.
        """
        key = server.instance_key
        if key in self.lost:
            self.lost[key].hung |= hung
            return
        self.lost[key] = LostLink(server, hung, self.next_probe_at())
        self.lost_in_a_row += 1
        self.last_hung = hung
        self.metrics.incr("links.lost")
        log.warning(
            "no link to server %s, which other nodes reach",
            server.server_id,
            extra={
                "event": "link_lost",
                "server": server.server_id,
                "hung": hung,
                "lost": len(self.lost),
            },
        )
        self.receive_loss(server, hung)

    def next_probe_at(self) -> float:
        """Returns the clock at which a lost link is probed next."""
        return self.clock() + self.random.uniform(*PROBE_PERIOD_S)

    def due_probes(self, count: int) -> list[ServerEntry]:
        """Returns up to `count` servers whose lost links are to be probed."""
        now = self.clock()
        due = sorted(
            (link for link in self.lost.values() if link.probe_at <= now),
            key=lambda link: link.probe_at,
        )[:count]
        for link in due:
            link.probe_at = self.next_probe_at()
        return [link.server for link in due]

    def record_probe(self, server: ServerEntry, opened: bool) -> None:
        """Records a probe of a lost link; restores the link if it holds."""
        if opened:
            self.record_opened(server)
        link = self.lost.get(server.instance_key)
        if link is None:
            return
        link.opened = link.opened + 1 if opened else 0
        if link.opened < RESTORE_PROBES:
            return
        del self.lost[server.instance_key]
        self.metrics.incr("links.restored")
        log.info(
            "the link to server %s holds again",
            server.server_id,
            extra={
                "event": "link_restored",
                "server": server.server_id,
                "lost": len(self.lost),
            },
        )

    def last_opened(self, excluded: ServerEntry) -> list[ServerEntry]:
        """Returns the servers connected to, the last first, but one."""
        return [
            server
            for key, (server, _) in reversed(self.opened.items())
            if key != excluded.instance_key
        ]

    def opened_within(self, age_s: float, excluded: ServerEntry) -> bool:
        """Returns whether another server was connected to lately."""
        now = self.clock()
        return any(
            now - at <= age_s
            for key, (_, at) in self.opened.items()
            if key != excluded.instance_key
        )

    def keep_only(self, listed: set[tuple[str, int]]) -> None:
        """Forgets servers that are not listed."""
        for key in [key for key in self.lost if key not in listed]:
            del self.lost[key]
        for key in [key for key in self.opened if key not in listed]:
            del self.opened[key]
        if not self.lost:
            self.lost_in_a_row = 0
