"""A node: all parts, start, graceful shutdown and status."""

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

HAND_OVER_LIMIT_S = 10.0
"""Longest wait for other nodes to take this node's slots, in seconds."""

SLOTS_SHOWN = 66
"""Slots of keys, of the roll-out driver and of the snapshot writer."""

FLUSH_LIMIT_S = 10.0
"""Longest wait for the log during a shutdown, in seconds; bills that it did
not take by then are with the holders of copies."""

LEAVING_CHECK_S = 1.0
"""Period in which the VM list is checked for this VM, in seconds."""

CHECK_S = 0.1
"""Period of checks during a shutdown, in seconds."""

log = logging.getLogger(__name__)


class Node:
    """One node process, or one of several in a process of a test."""

    def __init__(
        self,
        settings: NodeSettings,
        fleet: FleetParts,
        choice: ChoiceParts,
        requests: RequestParts,
    ):
        """Wires the parts to a server; `start` begins to serve."""
        self.settings = settings
        self.fleet = fleet
        self.choice = choice
        self.requests = requests
        self.leaving = False
        self.asked_to_leave = Event()
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
        """Serves, joins the fleet and follows the log.

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
        self.fleet.timers.every("vm_leaving", LEAVING_CHECK_S, self.check_vm)
        log.info("node %s serves at %s", me.incarnation, me.address)

    def check_vm(self) -> None:
        """Asks this node to leave when the VM list says that its VM does."""
        if self.fleet.members.vm_leaving():
            self.asked_to_leave.set()

    def stop(self) -> None:
        """Shuts down without cutting a request or losing a bill.

        Callers keep entry addresses for their time to live, so the node goes
        on serving for that time after it has said that it leaves.
        """
        if self.leaving:
            return
        self.leaving = True
        self.note_shutdown("announce")
        self.fleet.members.announce_leaving()
        self.fleet.exchange.tick()
        gevent.sleep(self.settings.timings.entry_ttl_s)
        self.note_shutdown("hand_over_slots")
        self.hand_over_slots()
        self.note_shutdown("finish_requests", running=self.server.running)
        with gevent.Timeout(self.settings.timings.drain_s, False):
            self.server.drain()
        waiting = len(self.fleet.biller.ended)
        self.note_shutdown("append_bills", bills=waiting)
        self.fleet.biller.flush(FLUSH_LIMIT_S)
        self.leave()
        self.halt()
        self.note_shutdown("left", running=self.server.running)

    def note_shutdown(self, phase: str, **fields: int) -> None:
        """Logs the beginning of a phase of the shutdown."""
        log.info(
            "node %s is leaving: %s",
            self.fleet.me.incarnation,
            phase,
            extra={"event": "shutdown", "phase": phase, **fields},
        )

    def halt(self) -> None:
        """Ends all work at once, as the loss of the process does."""
        self.fleet.timers.stop()
        self.fleet.follower.stop()
        self.fleet.writer.stop()
        self.server.stop(timeout=0)

    def hand_over_slots(self) -> None:
        """Waits until other nodes own this node's slots."""
        limit = time.monotonic() + HAND_OVER_LIMIT_S
        claims = self.fleet.claims
        while claims.is_named_in_leases() and time.monotonic() < limit:
            gevent.sleep(CHECK_S)

    def leave(self) -> None:
        """Tells log and peers that this node is gone."""
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
        self.fleet.writer.flush(FLUSH_LIMIT_S)

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
