"""A node: wiring, start, graceful shutdown and status."""

import logging
import time
import uuid
from typing import Any

import gevent
from gevent.event import Event

from amaranthlug.parts_fleet import FleetParts
from amaranthlug.parts_requests import ChoiceParts, RequestParts
from amaranthlug.state.members import Member
from amaranthlug.state.records import NodeJoined, NodeLeft
from amaranthlug.state.settings import NodeSettings
from amaranthlug.transport.app import NodeView, create_app
from amaranthlug.transport.engine_client import HttpEngine
from amaranthlug.transport.server import NodeServer

HAND_OVER_TIMEOUT_S = 10.0
"""Maximum wait for other nodes to take over this node's slots, in seconds."""

SLOTS_SHOWN = 66
"""Number of slots in `status`: those of keys, of the roll-out driver and of the
snapshot writer."""

FLUSH_TIMEOUT_S = 10.0
"""Maximum wait for the log during a shutdown, in seconds. Other nodes hold
copies of bills that have not been appended by then."""

VM_CHECK_INTERVAL_S = 1.0
"""Interval of checking whether this node's VM is leaving, in seconds."""

POLL_INTERVAL_S = 0.1
"""Polling interval during a shutdown, in seconds."""

log = logging.getLogger(__name__)


class Node:
    """A node; a test may run several of them in one process."""

    def __init__(
        self,
        settings: NodeSettings,
        fleet: FleetParts,
        choice: ChoiceParts,
        requests: RequestParts,
    ):
        """Connects the components to a server; `start` starts serving."""
        self.settings = settings
        self.fleet = fleet
        self.choice = choice
        self.requests = requests
        self.leaving = False
        self.stop_requested = Event()
        view = NodeView(
            settings.timings.entry_ttl_s, lambda: self.leaving, self.status
        )
        app = create_app(
            requests.dispatcher,
            requests.service_calls,
            fleet.members,
            fleet.receiver,
            fleet.metrics,
            view,
            settings.bounds.body_bytes,
        )
        self.server = NodeServer(settings.address, app)

    @classmethod
    def from_settings(cls, settings: NodeSettings) -> "Node":
        """Builds a node from its settings."""
        incarnation = f"{settings.name}-{uuid.uuid4().hex[:12]}"
        me = Member(settings.address, settings.zone, incarnation)
        fleet = FleetParts.from_settings(settings, me)
        engine = HttpEngine()
        choice = ChoiceParts.from_settings(settings, fleet, engine)
        requests = RequestParts.from_settings(settings, fleet, choice, engine)
        return cls(settings, fleet, choice, requests)

    def start(self) -> None:
        """Starts serving, joins the fleet and follows the log.

        Raises:
            OSError: The address cannot be bound.
        """
        self.server.start()
        self.fleet.start()
        self.choice.start(self.fleet)
        me = self.fleet.me
        joined = NodeJoined(
            id=f"joined-{me.incarnation}",
            at=time.time(),
            address=me.address,
            zone=me.zone,
            incarnation=me.incarnation,
        )
        self.fleet.writer.enqueue(joined)
        self.fleet.timers.every(
            "vm_leaving", VM_CHECK_INTERVAL_S, self.check_vm_leaving
        )
        log.info("node %s listening on %s", me.incarnation, me.address)

    def check_vm_leaving(self) -> None:
        """Requests a shutdown if the VM list shows this VM as leaving."""
        if self.fleet.members.is_vm_leaving():
            self.stop_requested.set()

    def stop(self) -> None:
        """Shuts down without interrupting a request or losing a bill.

        Callers cache entry addresses for their time to live, so the node
        continues to serve for that time after announcing that it leaves.
        """
        if self.leaving:
            return
        self.leaving = True
        self.log_shutdown_phase("announce")
        self.fleet.members.announce_leaving()
        self.fleet.exchange.tick()
        gevent.sleep(self.settings.timings.entry_ttl_s)
        self.log_shutdown_phase("hand_over_slots")
        self.hand_over_slots()
        self.log_shutdown_phase("finish_requests", running=self.server.running)
        with gevent.Timeout(self.settings.timings.drain_s, False):
            self.server.drain()
        pending = len(self.fleet.biller.ended)
        self.log_shutdown_phase("append_bills", bills=pending)
        self.fleet.biller.flush(FLUSH_TIMEOUT_S)
        self.announce_left()
        self.halt()
        self.log_shutdown_phase("left", running=self.server.running)

    def log_shutdown_phase(self, phase: str, **fields: int) -> None:
        """Logs the start of a phase of the shutdown."""
        log.info(
            "node %s is leaving: %s",
            self.fleet.me.incarnation,
            phase,
            extra={"event": "shutdown", "phase": phase, **fields},
        )

    def halt(self) -> None:
        """Ends all work immediately, as if the process had crashed."""
        self.fleet.timers.stop()
        self.fleet.follower.stop()
        self.fleet.writer.stop()
        self.server.stop(timeout=0)

    def hand_over_slots(self) -> None:
        """Waits until other nodes have taken over this node's slots."""
        deadline = time.monotonic() + HAND_OVER_TIMEOUT_S
        claims = self.fleet.claims
        while claims.is_named_in_leases() and time.monotonic() < deadline:
            gevent.sleep(POLL_INTERVAL_S)

    def announce_left(self) -> None:
        """Announces to peers and in the log that this node has left."""
        me = self.fleet.me
        self.fleet.members.announce_left()
        self.fleet.exchange.tick()
        left = NodeLeft(
            id=f"left-{me.incarnation}",
            at=time.time(),
            address=me.address,
            incarnation=me.incarnation,
        )
        self.fleet.writer.enqueue(left)
        self.fleet.writer.flush(FLUSH_TIMEOUT_S)

    def status(self) -> dict[str, Any]:
        """Returns the content of /statusz."""
        fleet = self.fleet
        slots = fleet.slots
        return {
            "incarnation": fleet.me.incarnation,
            "address": fleet.me.address,
            "zone": fleet.me.zone,
            "leaving": self.leaving,
            **fleet.config.status(),
            "members": [
                {
                    "address": member.address,
                    "zone": member.zone,
                    "incarnation": member.incarnation,
                    "state": str(member.state),
                }
                for member in fleet.members.members()
            ],
            "leases": slots.owned_slots(range(SLOTS_SHOWN)),
            "log_backlog": fleet.writer.backlog(),
        }
