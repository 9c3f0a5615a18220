"""A node of `fleet_cost.py` that runs all coordination but no request path.

The exchanged sections have the content of 41 requests/s: 10 organisations with
demand, 14 versions and 5 kinds in the evidence, and one withdrawal that is not
on the log.

Arguments: zone, log URL, seed addresses. It prints its address, then a line of
counters for each line on standard input, and exits when standard input closes.
"""

import json
import random
import resource
import socket
import sys
import threading
import uuid

import gevent
from gevent.event import AsyncResult

from amaranthlug.coordination.bill_copies import BillCopies
from amaranthlug.coordination.billing import LogBiller
from amaranthlug.coordination.evidence_exchange import EvidenceExchange
from amaranthlug.coordination.exchange import Exchange
from amaranthlug.coordination.limits import SharedLimits
from amaranthlug.coordination.log_follower import LogFollower
from amaranthlug.coordination.log_writer import LogWriter
from amaranthlug.coordination.membership import Membership
from amaranthlug.coordination.peers import PeerHandlers
from amaranthlug.coordination.rumours import RumourSpreader
from amaranthlug.coordination.run_register import SlotRunRegister
from amaranthlug.coordination.session_pins import SlotSessionPins
from amaranthlug.coordination.slot_claims import SlotClaims
from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.coordination.timers import TimerService
from amaranthlug.coordination.vm_watch import VmWatch
from amaranthlug.state.catalog import Limits, Organisation
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.members import Member
from amaranthlug.state.records import NodeJoined
from amaranthlug.state.settings import Timings
from amaranthlug.transport.peer_auth import PeerKeys, PeerReceiver
from amaranthlug.transport.peer_client import HttpPeerLink
from amaranthlug.transport.platform_clients import HttpLogService
from amaranthlug.transport.server import NodeServer
from amaranthlug.transport.statsd_metrics import StatsdMetrics
from amaranthlug_standins.loopback import process_address

REQUESTS_PER_S = 41
ORGANISATIONS = [
    Organisation(f"organisation-{i}", frozenset(), frozenset(), Limits(900.0))
    for i in range(10)
]
CELLS = [
    Cell(f"model-{version % 7}@{version}", f"request-kind-{kind}", hard)
    for version in range(14)
    for kind in range(5)
    for hard in (False, True)
]


class WithdrawalSection:
    """Exchange section with one withdrawal that is not on the log yet."""

    name = "withdrawals"

    def outgoing(self):
        """Returns the withdrawal."""
        return {"model-3@3": {"epoch": 0, "reason": "quality"}}

    def incoming(self, sender, section):
        """Does nothing, as this node already knows the withdrawal."""


class DemandGenerator:
    """Updates limits and evidence as served requests do."""

    def __init__(self, limits, pool):
        """Creates a generator for limits and an evidence pool."""
        self.limits = limits
        self.pool = pool

    def generate_second(self):
        """Records the requests of one second."""
        for _ in range(REQUESTS_PER_S):
            organisation = random.choice(ORGANISATIONS)
            if self.limits.admit(organisation, 400).is_ok():
                self.limits.done(organisation, 450, 12)
            # Most traffic goes to the few cheapest versions that meet targets.
            cell = CELLS[int(len(CELLS) * random.random() ** 3)]
            bad = random.random() < 0.05
            self.pool.evidence.count(
                cell, started=1, complete=1, good=int(not bad), bad=int(bad)
            )
            self.pool.mark_changed(cell, urgent=bad)


class CoordinationNode:
    """The coordination components of a node, over real sockets."""

    def __init__(self, zone, log_url, seeds):
        """Creates and starts all components."""
        timings, timers = Timings(), TimerService()
        self.metrics, keys = StatsdMetrics(), PeerKeys({"k": "bench"})
        self.server = NodeServer(f"{process_address()}:0", self.app)
        self.server.start()
        address = f"{process_address()}:{self.server.server_port}"
        self.me = me = Member(
            address, zone, f"tw-north-{uuid.uuid4().hex[:12]}"
        )
        handlers = PeerHandlers()
        self.receiver = PeerReceiver(keys, handlers, me, self.metrics)
        link = HttpPeerLink(keys, me, self.metrics)
        vms = VmWatch(None, timers, address)
        self.members = members = Membership(
            me, link, handlers, timers, vms, timings, tuple(seeds)
        )
        members.connect_rumours(
            RumourSpreader(link, members, handlers, self.metrics)
        )
        log = HttpLogService(log_url)
        feed = LogFollower(
            log, link, handlers, members, timers, self.metrics, timings
        )
        writer = LogWriter(log, feed.position, timers, self.metrics)
        members.subscribe_to_log(feed)
        exchange = Exchange(link, members, handlers, timers)
        exchange.register(members)
        exchange.register(feed)
        exchange.register(WithdrawalSection())
        limits = SharedLimits(members, timers, self.metrics)
        pool = EvidenceExchange(Evidence(me.incarnation), members)
        exchange.register(limits)
        exchange.register(pool)
        self.pool = pool
        timers.every(
            "demand", 1.0, DemandGenerator(limits, pool).generate_second
        )
        self.slots = SlotLeaseManager(
            members, link, handlers, feed, timers, self.metrics, timings
        )
        claims = SlotClaims(self.slots, writer, members.is_certainly_gone)
        runs = SlotRunRegister(self.slots, handlers)
        pins = SlotSessionPins(self.slots, handlers, lambda *_: True)
        copies = BillCopies(
            members, handlers, feed, writer, timers, self.metrics
        )
        biller = LogBiller(
            members, link, feed, writer, copies, timers, self.metrics, timings
        )
        components = (feed, writer, members, exchange, self.slots, claims)
        for component in (*components, runs, pins, copies, biller):
            component.start()
        writer.enqueue(
            NodeJoined(
                id=uuid.uuid4().hex,
                address=address,
                zone=zone,
                incarnation=me.incarnation,
            )
        )

    def app(self, environ, start_response):
        """WSGI application that serves messages from peers."""
        status, data = self.receiver.receive(
            environ["PATH_INFO"].rpartition("/")[2],
            environ.get("HTTP_X_PEER_AUTH", ""),
            environ["wsgi.input"].read(),
        )
        headers = [
            ("Content-Type", "application/json"),
            ("Content-Length", str(len(data))),
        ]
        start_response(f"{status} X", headers)
        return [data]

    def report(self):
        """Returns the counters of the node and its view of the fleet."""
        held = self.slots.owned_slots(range(66))
        return {
            "counters": dict(self.metrics.counters),
            "live": len(self.members.live()),
            "members": len(self.members.members()),
            "slots": len(held),
            "peak_mb": resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
            // 1024,
            "evidence_rows": sum(map(len, self.pool.evidence.rows.values())),
        }


def watch_stdin(notify):
    """Calls `notify(True)` for each line and `notify(False)` at the end."""
    for _ in sys.stdin:
        notify(True)
    notify(False)


def main():
    """Runs until standard input closes."""
    node = CoordinationNode(sys.argv[1], sys.argv[2], sys.argv[3:])
    print(json.dumps({"address": node.me.address}), flush=True)
    readable, writable = socket.socketpair()
    threading.Thread(
        target=watch_stdin,
        args=(lambda more: writable.send(b"r" if more else b"e"),),
        daemon=True,
    ).start()
    stdin_closed = AsyncResult()

    def handle_input():
        gevent.socket.wait_read(readable.fileno())
        if readable.recv(1) == b"e":
            stdin_closed.set(True)
            return False
        print(json.dumps(node.report()), flush=True)
        return True

    def serve_reports():
        while handle_input():
            pass

    gevent.spawn(serve_reports)
    stdin_closed.get()


if __name__ == "__main__":
    main()
