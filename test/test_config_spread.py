"""Tests the time until a publication is in force on all nodes."""

import random
import time

import gevent
import pytest
from _fakes_log import (
    FakeLinks,
    FakeMembers,
    FakeMetrics,
    SenderLink,
    wait_until,
)

from amaranthlug.coordination.exchange import Exchange
from amaranthlug.coordination.log_follower import LogFollower
from amaranthlug.coordination.publishing import LogSession, publish_parts
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.members import Member
from amaranthlug.state.publications import ConfigState, apply_entry
from amaranthlug.state.settings import Timings
from amaranthlug.transport.platform_clients import HttpLogService
from amaranthlug_standins.log import LogStandIn

NODES = 8
MAX_IN_FORCE_S = 2.0
"""Maximum time until a publication is in force on 8 nodes, in seconds."""


class SpreadNode:
    """A log follower with the periodic exchange over fake links."""

    def __init__(self, number, url, links, all_members):
        """Creates and starts a node."""
        self.me = all_members[number]
        others = [member for member in all_members if member is not self.me]
        members = FakeMembers(self.me.address, self.me.zone, others)
        self.addresses = [member.address for member in others]
        self.random = random.Random(number)
        self.timers = TimerService(seed=number)
        handlers = links.node(self.me.address)
        link = SenderLink(links, self.me.address)
        self.state = ConfigState()
        self.feed = LogFollower(
            HttpLogService(url),
            link,
            handlers,
            members,
            self.timers,
            FakeMetrics(),
            Timings(),
        )
        self.feed.subscribe(self.apply)
        self.exchange = Exchange(link, self, handlers, self.timers)
        self.exchange.register(self.feed)
        self.feed.start()
        self.exchange.start()

    def apply(self, entry):
        """Applies an entry."""
        self.state, _ = apply_entry(self.state, entry)

    def pick(self, count):
        """Picks random peers."""
        return self.random.sample(self.addresses, count)

    def contact_failed(self, address):
        """Ignores a failure."""

    def stop(self):
        """Stops the greenlets of the node."""
        self.feed.stop()
        self.timers.stop()


@pytest.fixture(name="fleet")
def fleet_fixture():
    """Yields the log's URL and eight nodes in one zone."""
    log = LogStandIn.from_config().start()
    links = FakeLinks()
    url = f"http://{log.address}"
    members = [Member(f"n{n}", "a", f"n{n}") for n in range(NODES)]
    nodes = [SpreadNode(n, url, links, members) for n in range(NODES)]
    yield url, nodes
    for node in nodes:
        node.stop()
    log.stop()


def test_publication_is_in_force_at_eight_nodes_within_two_seconds(fleet):
    """Six of eight nodes in a zone get records only from peers."""
    url, nodes = fleet
    assert wait_until(
        lambda: all(node.feed.confirmed_age() < 3.0 for node in nodes), 8.0
    )
    longest = 0.0
    for number in range(4):
        parts = {"kinds/k": {"quality_target": number / 10}}
        started_at = time.monotonic()
        session = LogSession(HttpLogService(url), 2.0)
        revision = publish_parts(session, parts, "ana", None).unwrap().revision
        wait_until(
            lambda wanted=revision: all(
                node.state.revision >= wanted for node in nodes
            ),
            10.0,
        )
        longest = max(longest, time.monotonic() - started_at)
        gevent.sleep(0.3)
    assert longest <= MAX_IN_FORCE_S
