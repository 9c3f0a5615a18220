"""Fakes of the log, the links between nodes, members and metrics."""

import copy

import gevent
from result import Err, Ok

from amaranthlug.coordination.log_follower import LogFollower
from amaranthlug.coordination.peers import PeerError, PeerHandlers
from amaranthlug.coordination.platform import (
    LogPage,
    PlatformError,
    RawRecord,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.members import Member
from amaranthlug.state.settings import Timings


class FakeLog:
    """A log with faults: outages, lost answers and expired records."""

    def __init__(self):
        """Creates an empty log."""
        self.records = []
        self.first = 0
        self.outage = False
        self.lose_answers = 0
        self.reads = self.appends = 0

    def append(self, records):
        """Appends unless there is an outage."""
        self.appends += 1
        if self.outage:
            return Err(PlatformError("log", "outage", retry_after_s=0.01))
        start = len(self.records)
        self.records += copy.deepcopy(records)
        if self.lose_answers:
            self.lose_answers -= 1
            return Err(PlatformError("log", "reset", effect_unknown=True))
        return Ok(list(range(start, len(self.records))))

    def read(self, after, limit, wait_ms):
        """Reads like a long poll, waiting if there are no new records."""
        self.reads += 1
        if not self.outage and after + 1 >= len(self.records):
            gevent.sleep(wait_ms / 1000)
        if self.outage:
            return Err(PlatformError("log", "outage", retry_after_s=0.01))
        if 0 <= after < self.first - 1:
            return Err(PlatformError("log", "expired", expired=True))
        start = max(after + 1, self.first)
        records = [
            RawRecord(start + number, copy.deepcopy(record))
            for number, record in enumerate(self.records[start : start + limit])
        ]
        return Ok(LogPage(records, self.first, len(self.records)))

    def expire(self, first):
        """Drops the records before an offset."""
        self.first = first

    def ids(self):
        """Returns the ids of all records ever appended."""
        return [record["id"] for record in self.records]


class FakeLinks:
    """Links between nodes by address; nodes in `cut` are unreachable."""

    def __init__(self):
        """Creates a network without nodes."""
        self.handlers = {}
        self.cut = set()
        self.calls = []

    def node(self, address):
        """Adds a node and returns its handlers."""
        self.handlers[address] = PeerHandlers()
        return self.handlers[address]

    def call(self, address, name, message, timeout_s):
        """Calls a handler directly."""
        self.calls.append((address, name))
        if address in self.cut or address not in self.handlers:
            return Err(PeerError(address, "no answer"))
        return Ok(self.handlers[address].handlers[name](message))


class SenderLink:
    """A node's link that adds the sender to messages, like the peer client."""

    def __init__(self, links, address):
        """Creates the link of the node at `address`."""
        self.links = links
        self.address = address

    def call(self, address, name, message, timeout_s):
        """Calls a handler with a copy of the message."""
        stamped_message = {**copy.deepcopy(message), "sender": self.address}
        return self.links.call(address, name, stamped_message, timeout_s)


class FakeMembers:
    """Members that are set by a test."""

    def __init__(self, address="n0", zone="a", others=()):
        """Creates a view of this node and others."""
        self.me = Member(address, zone, address)
        self.others = list(others)
        self.majority = True

    def members(self):
        """Returns all members."""
        return [self.me, *self.others]

    live = members

    def by_incarnation(self, incarnation):
        """Returns the member with an incarnation, or None."""
        records = [m for m in self.members() if m.incarnation == incarnation]
        return records[0] if records else None

    def heard_majority(self):
        """Returns the value set by the test."""
        return self.majority


class FakeMetrics:
    """Counters by name."""

    def __init__(self):
        """Creates empty counters."""
        self.counts = {}

    def incr(self, name, count=1):
        """Adds to a counter."""
        self.counts[name] = self.counts.get(name, 0) + count

    def gauge(self, name, value):
        """Ignores a gauge."""

    def timing(self, name, milliseconds):
        """Ignores a duration."""


class FakeClock(TimerService):
    """A timer service whose time is advanced by a test."""

    def __init__(self):
        """Starts at 1,000 s."""
        super().__init__(seed=1)
        self.time = 1_000.0

    def now(self):
        """Returns the current time of the test."""
        return self.time


def make_follower(log, links, address="n0", others=(), timers=None, zone="a"):
    """Returns a log follower of a new node."""
    members = FakeMembers(
        address, zone, [Member(other, "a", other) for other in others]
    )
    return LogFollower(
        log,
        links,
        links.node(address),
        members,
        timers or TimerService(seed=1),
        FakeMetrics(),
        Timings(log_poll_s=0.02),
    )


def exchange(one, other):
    """Exchanges the log sections of two nodes, like the periodic exchange."""
    section = one.outgoing()
    other.incoming(one.members.me.address, section)
    one.incoming(other.members.me.address, other.outgoing())


def wait_until(check, timeout_s=3.0):
    """Waits until a check is true and returns its last value."""
    with gevent.Timeout(timeout_s, False):
        while not check():
            gevent.sleep(0.005)
    return check()
