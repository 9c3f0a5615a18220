"""What servers have said of themselves in their answers to this node."""

import logging
from collections.abc import Callable

from amaranthlug.state.routing.servers import ServerEntry

log = logging.getLogger(__name__)


class ServerStatements:
    """Servers that want no new requests from this node.

    A statement concerns one instance; another one at its address is not bound
    by it.

    Attributes:
        leaving: Instances that leave, until they are removed.
        paused_until: Instance -> clock until which it wants no request, in
            seconds.
    """

    def __init__(self, clock: Callable[[], float]):
        """Creates a register without statements; `clock` returns seconds."""
        self.clock = clock
        self.leaving: set[tuple[str, int]] = set()
        self.paused_until: dict[tuple[str, int], float] = {}

    def record_leaving(self, server: ServerEntry) -> None:
        """Records a server that gets no new request from now on."""
        if server.instance_key in self.leaving:
            return
        self.leaving.add(server.instance_key)
        log.info(
            "server %s leaves",
            server.server_id,
            extra={"event": "server_leaving", "server": server.server_id},
        )

    def record_pause(self, server: ServerEntry, pause_s: float) -> None:
        """Records a server that wants no request for a while.

        A later statement does not shorten an earlier one.

        Args:
            server: The server.
            pause_s: Length of the pause, in seconds.
        """
        key = server.instance_key
        now = self.clock()
        until = max(now + pause_s, self.paused_until.get(key, now))
        if key not in self.paused_until:
            log.info(
                "server %s wants no request for %.1f s",
                server.server_id,
                pause_s,
                extra={
                    "event": "server_paused",
                    "server": server.server_id,
                    "pause_s": pause_s,
                },
            )
        self.paused_until[key] = until

    def may_receive(self, server: ServerEntry) -> bool:
        """Returns whether a server wants new requests from this node."""
        key = server.instance_key
        if key in self.leaving:
            return False
        until = self.paused_until.get(key)
        if until is None:
            return True
        if self.clock() < until:
            return False
        del self.paused_until[key]
        return True

    def keep_only(self, listed: set[tuple[str, int]]) -> None:
        """Forgets instances that are not listed."""
        self.leaving &= listed
        for key in [key for key in self.paused_until if key not in listed]:
            del self.paused_until[key]
