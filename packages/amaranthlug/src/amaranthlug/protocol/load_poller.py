"""Polls the load of engines and verifies suspected server crashes."""

import math
from typing import Any, Protocol

import gevent
from result import Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.protocol.interfaces import CatalogView
from amaranthlug.protocol.server_choice import (
    MIN_SILENCE_TIMEOUT_S,
    LoadServerChooser,
)
from amaranthlug.protocol.upstream import EngineLoad, UpstreamError

POLL_INTERVAL_S = 0.5
"""Poll interval, in seconds."""

MAX_POLLS_PER_INTERVAL = 24
"""Maximum number of servers polled per interval. With more servers, each is
polled less often, which bounds the node's control traffic."""


MISSED_POLLS = 4
"""Consecutive polls that a server may miss before it counts as silent."""

CRASH_CHECK_TIMEOUT_S = 0.3
"""Maximum time that a request waits for a crash check, in seconds."""


class EngineStatusReader(Protocol):
    """The read-only part of `EngineClient`."""

    def load(self, address: str) -> Result[EngineLoad, UpstreamError]:
        """Returns the reported load."""
        ...

    def state(self, address: str) -> Result[dict[str, Any], UpstreamError]:
        """Returns versions, role, fence, applied orders and boot id."""
        ...


class LoadPoller:
    """Passes load reports to the server chooser, one greenlet per poll."""

    def __init__(
        self,
        view: CatalogView,
        engine: EngineStatusReader,
        chooser: LoadServerChooser,
        metrics: Metrics,
    ):
        """Creates a poller; `start` subscribes it to the timers."""
        self.view = view
        self.engine = engine
        self.chooser = chooser
        self.metrics = metrics
        self.polling: set[str] = set()
        self.next_index = 0
        self.boot_ids: dict[str, str] = {}
        chooser.suspects.confirm = self.wait_for_crash_check

    def start(self, timers: TimerService) -> None:
        """Schedules the polls."""
        timers.every("load-poll", POLL_INTERVAL_S, self.poll)

    def poll(self) -> None:
        """Starts polls of the servers that are due.

        Each poll has its own greenlet, so a hung server does not delay the
        polls of the others.
        """
        addresses = sorted(
            {
                server.address
                for pool in self.view.catalog().pools.values()
                if pool.engine
                for server in self.chooser.subset(pool)
            }
        )
        rounds = math.ceil(len(addresses) / MAX_POLLS_PER_INTERVAL)
        self.chooser.silence_timeout_s = max(
            MIN_SILENCE_TIMEOUT_S, rounds * POLL_INTERVAL_S * MISSED_POLLS
        )
        self.chooser.prune_servers(set(addresses))
        due = addresses
        if len(addresses) > MAX_POLLS_PER_INTERVAL:
            first_index = self.next_index % len(addresses)
            due = (addresses + addresses)[
                first_index : first_index + MAX_POLLS_PER_INTERVAL
            ]
            self.next_index = first_index + MAX_POLLS_PER_INTERVAL
        for address in due:
            if address not in self.polling:
                self.polling.add(address)
                gevent.spawn(self.poll_server, address)

    def poll_server(self, address: str) -> None:
        """Polls one server; the chooser detects servers that do not answer."""
        try:
            result = self.engine.load(address)
            if isinstance(result, Ok):
                self.chooser.report(address, result.ok_value)
                if address not in self.boot_ids:
                    self.boot_ids[address] = self._boot_id(address)
            else:
                self.metrics.incr("server.poll_failed")
        finally:
            self.polling.discard(address)

    def _boot_id(self, address: str) -> str:
        result = self.engine.state(address)
        if isinstance(result, Ok):
            return str(result.ok_value.get("boot_id", ""))
        return ""

    def wait_for_crash_check(self, address: str, crash_id: str) -> None:
        """Verifies a suspected crash and waits briefly for the result.

        A cut connection looks like a crash. Without the wait, two cuts got a
        harmless request refused before the first one was cleared.
        """
        gevent.spawn(self.check_crash, address, crash_id).join(
            CRASH_CHECK_TIMEOUT_S
        )

    def check_crash(self, address: str, crash_id: str) -> None:
        """Clears the suspected requests if the server process did not restart.

        A cut stream alone looks like a crash; an unchanged boot id shows that
        the process is still the same.
        """
        previous_boot_id = self.boot_ids.get(address, "")
        boot_id = self._boot_id(address)
        if boot_id and boot_id == previous_boot_id:
            self.chooser.suspects.clear_crash(crash_id)
        if boot_id:
            self.boot_ids[address] = boot_id
