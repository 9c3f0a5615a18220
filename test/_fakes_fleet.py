"""A fleet of nodes in one process with a fake clock, network and log."""

import json

import gevent
from result import Err, Ok

from amaranthlug.coordination.bill_copies import BillCopies
from amaranthlug.coordination.billing import LogBiller
from amaranthlug.coordination.exchange import Exchange
from amaranthlug.coordination.membership import Membership
from amaranthlug.coordination.peers import (
    PeerError,
    PeerHandlers,
    WrongProcessError,
    handle_message,
)
from amaranthlug.coordination.platform import PlatformError
from amaranthlug.coordination.rumours import RumourSpreader
from amaranthlug.coordination.run_register import SlotRunRegister
from amaranthlug.coordination.session_pins import SlotSessionPins
from amaranthlug.coordination.slot_claims import SlotClaims
from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.coordination.timers import TimerService
from amaranthlug.coordination.vm_watch import VmWatch
from amaranthlug.state.members import Member
from amaranthlug.state.records import LogEntry, NodeJoined
from amaranthlug.state.settings import Timings

STEP_S = 0.25
"""Step of the fake clock, in seconds."""


class FakeTimers(TimerService):
    """Timer service whose time advances only in `Fleet.run`."""

    def __init__(self, fleet):
        super().__init__(fleet.started)
        self.fleet = fleet
        self.calls = []

    def now(self):
        return self.fleet.time

    def every(self, name, period_s, call):
        phase = self.random.uniform(0, period_s)
        self.calls.append([self.fleet.time + phase, period_s, call])

    def run_due(self):
        for entry in self.calls:
            if entry[0] <= self.fleet.time:
                entry[0] = self.fleet.time + entry[1]
                entry[2]()


class CountingMetrics:
    """Stores counters and gauges for assertions."""

    def __init__(self):
        self.counters = {}

    def incr(self, name, count=1):
        self.counters[name] = self.counters.get(name, 0) + count

    def gauge(self, name, value):
        self.counters[name] = value

    def timing(self, name, milliseconds):
        pass


class FakeLink:
    """Peer link that calls handlers directly with JSON-encoded messages."""

    def __init__(self, fleet, me):
        self.fleet = fleet
        self.me = me

    def call(self, address, name, message, timeout_s):
        activity.calls += 1
        gevent.sleep(0)
        target = self.fleet.nodes.get(address)
        if target is None or not self.fleet.reaches(self.me.address, address):
            return Err(PeerError(address, "cut", not_received=True))
        wire = json.loads(json.dumps(message))
        wire["sender"] = self.me.address
        wire["incarnation"] = self.me.incarnation
        self.fleet.sent[name] = self.fleet.sent.get(name, 0) + 1
        try:
            reply = handle_message(target.handlers, target.me, name, wire)
        except WrongProcessError as error:
            return Err(PeerError(address, str(error), not_received=True))
        gevent.sleep(0)
        if (name, address) in self.fleet.lose_replies:
            return Err(PeerError(address, "reply lost"))
        if not self.fleet.reaches(address, self.me.address):
            return Err(PeerError(address, "cut"))
        return Ok(json.loads(json.dumps(reply)))


class FakeLog:
    """Log of a fleet.

    `outage` refuses all calls, `lose_answers` drops replies of appends, and
    `cut` holds the addresses that cannot reach the log.
    """

    def __init__(self):
        self.records = []
        self.outage = False
        self.lose_answers = False
        self.cut = set()

    def append(self, record):
        self.records.append(record)
        return len(self.records) - 1


class FakeFeed:
    """Log feed and record writer of one node."""

    def __init__(self, fleet, address):
        self.fleet = fleet
        self.log = fleet.log
        self.address = address
        self.subscribers = []
        self.read = 0
        self.confirmed = fleet.time
        self.queue = []

    def subscribe(self, call):
        self.subscribers.append(call)

    def position(self):
        return self.read - 1

    def confirmed_age(self):
        return self.fleet.time - self.confirmed

    def reachable(self):
        return not self.log.outage and self.address not in self.log.cut

    def poll(self):
        if not self.reachable():
            return
        while self.queue:
            self.log.append(self.queue.pop(0))
        self.confirmed = self.fleet.time
        while self.read < len(self.log.records):
            entry = LogEntry(
                offset=self.read, record=self.log.records[self.read]
            )
            self.read += 1
            for subscriber in self.subscribers:
                subscriber(entry)

    def catch_up(self, timeout_s):
        if not self.reachable():
            return Err(PlatformError("log", "out"))
        self.poll()
        return Ok(self.position())

    def append(self, record):
        activity.calls += 1
        gevent.sleep(0)
        if not self.reachable():
            return Err(PlatformError("log", "out"))
        offset = self.log.append(record)
        if self.log.lose_answers:
            return Err(PlatformError("log", "lost", effect_unknown=True))
        return Ok(offset)

    def enqueue(self, record):
        self.queue.append(record)
        return True


class FakeVmList:
    """VM list that the test sets."""

    def __init__(self):
        self.vms = []
        self.outage = False

    def list(self):
        if self.outage:
            return Err(PlatformError("vm_list", "out"))
        return Ok(list(self.vms))


class Node:
    """One node of the fleet, wired as in `node.py`."""

    def __init__(self, fleet, address, zone, incarnation, timings):
        self.fleet = fleet
        self.me = Member(address, zone, incarnation)
        self.paused = False
        self.timers = FakeTimers(fleet)
        self.metrics = CountingMetrics()
        self.handlers = PeerHandlers()
        self.link = FakeLink(fleet, self.me)
        self.feed = FakeFeed(fleet, address)
        self.vms = VmWatch(fleet.vm_list, self.timers, address)
        self.membership = Membership(
            self.me,
            self.link,
            self.handlers,
            self.timers,
            self.vms,
            timings,
            seeds=("n0",),
            seed=len(fleet.nodes),
        )
        self.rumours = RumourSpreader(
            self.link, self.membership, self.handlers, self.metrics
        )
        self.membership.connect_rumours(self.rumours)
        self.membership.subscribe_to_log(self.feed)
        self.exchange = Exchange(
            self.link, self.membership, self.handlers, self.timers
        )
        self.exchange.register(self.membership)
        self.slots = SlotLeaseManager(
            self.membership,
            self.link,
            self.handlers,
            self.feed,
            self.timers,
            self.metrics,
            timings,
            wall_s=lambda: fleet.time,
            pause=fleet.wait,
        )
        self.claims = SlotClaims(
            self.slots, self.feed, self.membership.is_certainly_gone
        )
        self.runs = SlotRunRegister(self.slots, self.handlers)
        self.withdrawn = set()
        self.pins = SlotSessionPins(
            self.slots,
            self.handlers,
            lambda organisation, version: str(version) not in self.withdrawn,
        )
        self.copies = BillCopies(
            self.membership,
            self.handlers,
            self.feed,
            self.feed,
            self.timers,
            self.metrics,
        )
        self.biller = LogBiller(
            self.membership,
            self.link,
            self.feed,
            self.feed,
            self.copies,
            self.timers,
            self.metrics,
            timings,
            gather_s=0.0,
        )
        self.copies.start()
        self.biller.start()
        parts = (self.vms, self.membership, self.exchange, self.slots)
        for part in (*parts, self.claims, self.runs, self.pins):
            part.start()
        self.timers.every("log", 0.5, self.feed.poll)


class Fleet:
    """Nodes that share a clock, a log and a VM list."""

    node_class = Node

    def __init__(self, count, zones=("a", "b", "c"), timings=None):
        self.time = 1_000.0
        self.main_greenlet = gevent.getcurrent()
        self.timings = timings or Timings()
        self.nodes = {}
        self.log = FakeLog()
        self.vm_list = FakeVmList()
        self.cuts = set()
        self.lose_replies = set()
        self.sent = {}
        self.started = 0
        for index in range(count):
            self.start(f"n{index}", zones[index % len(zones)])

    def start(self, address, zone):
        """Starts a process; replaces an older one at the address."""
        incarnation = f"{address}-{self.started}"
        self.started += 1
        node = self.node_class(self, address, zone, incarnation, self.timings)
        self.nodes[address] = node
        joined = NodeJoined(
            id=f"join-{incarnation}",
            address=address,
            zone=zone,
            incarnation=incarnation,
        )
        node.feed.enqueue(joined)
        return node

    def kill(self, address):
        """Kills a process."""
        return self.nodes.pop(address)

    def cut(self, left, right):
        """Blocks messages in both directions between two groups."""
        for a in left:
            for b in right:
                self.cuts |= {(a, b), (b, a)}

    def reaches(self, sender, receiver):
        """Returns whether a message would be delivered."""
        node = self.nodes.get(receiver)
        if node is None or node.paused:
            return False
        return (sender, receiver) not in self.cuts

    def wait(self, seconds):
        """Waits for fake time; returns at once in the main greenlet."""
        if gevent.getcurrent() is self.main_greenlet:
            return
        end = self.time + seconds
        while self.time < end:
            gevent.sleep(0)

    def call(self, function, *arguments, limit_s=60):
        """Calls a function in a greenlet while fake time advances."""
        task = gevent.spawn(function, *arguments)
        settle()
        end = self.time + limit_s
        while not task.ready() and self.time < end:
            self.run(STEP_S)
        # The long poll (`LONG_POLL_TIMEOUT_S`) takes real time.
        return task.get(timeout=5)

    def owners(self, slot):
        """Returns the addresses of the nodes that may act on a slot now."""
        return [
            address
            for address, node in self.nodes.items()
            if node.slots.held_lease(slot)
        ]

    def run(self, seconds):
        """Advances fake time and runs the timers that are due."""
        end = self.time + seconds
        while self.time < end:
            self.time += STEP_S
            for node in list(self.nodes.values()):
                if not node.paused:
                    gevent.spawn(node.timers.run_due)
            settle()


IDLE_ROUNDS = 10
"""Rounds without activity after which all greenlets are assumed to wait."""


class Activity:
    """Counts messages and appends of all nodes."""

    calls = 0


activity = Activity()


def settle(rounds=600):
    """Runs all greenlets until they only wait for fake time."""
    idle, calls = 0, activity.calls
    for _ in range(rounds):
        gevent.sleep(0)
        idle = idle + 1 if activity.calls == calls else 0
        calls = activity.calls
        if idle > IDLE_ROUNDS:
            return
