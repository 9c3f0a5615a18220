"""Polls the load of engines and checks whether a server has crashed."""

import math
from typing import Any, Protocol

import gevent
from result import Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.protocol.server_choice import SILENT_S, LoadServerChooser
from amaranthlug.protocol.services import CatalogView
from amaranthlug.protocol.upstream import EngineLoad, UpstreamError

POLL_S = 0.5
"""Period of polls, in seconds."""

MAX_POLLS = 24
"""Servers polled in one period; with more of them each is polled less often,
which bounds the node's control traffic."""


MISSED_POLLS = 4
"""Polls in a row that a server may miss."""

CONFIRM_S = 0.3
"""Longest wait of a request for the check of a crash, in seconds."""


class EngineReports(Protocol):
    """The part of `Engine` that is read here."""

    def load(self, address: str) -> Result[EngineLoad, UpstreamError]:
        """Returns the reported load."""
        ...

    def state(self, address: str) -> Result[dict[str, Any], UpstreamError]:
        """Returns versions, role, fence and applied orders."""
        ...


class LoadPoller:
    """Feeds reports to the server chooser, one greenlet per server."""

    def __init__(
        self,
        view: CatalogView,
        engine: EngineReports,
        chooser: LoadServerChooser,
        metrics: Metrics,
    ):
        """Creates a poller; `start` subscribes it to the timers."""
        self.view = view
        self.engine = engine
        self.chooser = chooser
        self.metrics = metrics
        self.busy: set[str] = set()
        self.next = 0
        self.boots: dict[str, str] = {}
        chooser.suspects.confirm = self.confirm_soon

    def start(self, timers: TimerService) -> None:
        """Polls periodically."""
        timers.every("load-poll", POLL_S, self.poll)

    def poll(self) -> None:
        """Starts a poll of each server that is due.

        A frozen server holds its own greenlet only, so that the others are
        polled in time.
        """
        addresses = sorted(
            {
                server.address
                for pool in self.view.catalog().pools.values()
                if pool.engine
                for server in self.chooser.subset(pool)
            }
        )
        rounds = math.ceil(len(addresses) / MAX_POLLS)
        self.chooser.silent_s = max(SILENT_S, rounds * POLL_S * MISSED_POLLS)
        self.chooser.forget(set(addresses))
        due = addresses
        if len(addresses) > MAX_POLLS:
            start = self.next % len(addresses)
            due = (addresses + addresses)[start : start + MAX_POLLS]
            self.next = start + MAX_POLLS
        for address in due:
            if address not in self.busy:
                self.busy.add(address)
                gevent.spawn(self.poll_one, address)

    def poll_one(self, address: str) -> None:
        """Polls one server; its silence is noticed by the chooser."""
        try:
            answer = self.engine.load(address)
            if isinstance(answer, Ok):
                self.chooser.report(address, answer.ok_value)
                if address not in self.boots:
                    self.boots[address] = self._boot(address)
            else:
                self.metrics.incr("server.poll_failed")
        finally:
            self.busy.discard(address)

    def _boot(self, address: str) -> str:
        answer = self.engine.state(address)
        if isinstance(answer, Ok):
            return str(answer.ok_value.get("boot_id", ""))
        return ""

    def confirm_soon(self, address: str, crash: str) -> None:
        """Checks a crash and waits for the result for a moment.

        A cut connection looks like a crash. Without the wait, two cuts
        condemned an innocent request before the first one was cleared.
        """
        gevent.spawn(self.confirm_crash, address, crash).join(CONFIRM_S)

    def confirm_crash(self, address: str, crash: str) -> None:
        """Clears the requests of a crash when the server still runs.

        A cut stream alone looks like a crash; the same boot id tells that the
        server's process did not end.
        """
        before = self.boots.get(address, "")
        boot = self._boot(address)
        if boot and boot == before:
            self.chooser.suspects.clear_crash(crash)
        if boot:
            self.boots[address] = boot
