"""Tests the config view: unconfirmed states, withdrawals in an outage."""

import pytest
from _fakes_log import (
    FakeClock,
    FakeLinks,
    FakeLog,
    FakeMetrics,
    exchange,
    make_follower,
    wait_until,
)

from amaranthlug.coordination.config_view import ConfigView
from amaranthlug.coordination.log_writer import LogWriter
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.record_codec import encode_record
from amaranthlug.state.records import Publication, Readmission
from amaranthlug.state.refusal import RefusalCode

VERSION = VersionId("m", "1")


class FakeRumours:
    """Rumours that reach all views of a test at once."""

    def __init__(self):
        """Creates rumours without receivers."""
        self.calls = []

    def subscribe(self, topic, call):
        """Adds a receiver."""
        self.calls.append(call)

    def spread(self, topic, fact):
        """Passes a fact to all receivers."""
        for call in self.calls:
            call(fact)


@pytest.fixture(name="log")
def log_fixture():
    """Returns a log with one publication."""
    log = FakeLog()
    first = Publication(
        id="p", operator="ana", base=-1, parts={"kinds/k": KIND}
    )
    log.records = [encode_record(first)]
    return log


KIND = {"quality_target": 0.5}


class Node:
    """A config view with its feed and writer, which a test may start."""

    def __init__(self, log, links, rumours, name, others=()):
        """Creates a node that has not read the log yet."""
        self.clock = FakeClock()
        self.feed = make_follower(log, links, name, others, self.clock)
        self.writer = LogWriter(
            log, self.feed.position, self.clock, FakeMetrics()
        )
        self.members = self.feed.members
        self.view = ConfigView(
            self.feed,
            self.writer,
            rumours,
            self.members,
            self.clock,
            FakeMetrics(),
        )
        self.feed.snapshot_sources.append(self.view.snapshot)
        self.feed.is_incomplete = self.view.is_incomplete

    def refusal(self):
        """Returns the code of the refusal, None if the node may serve."""
        result = self.view.may_serve()
        return None if result.is_ok() else result.unwrap_err().code


def test_node_serves_only_a_confirmed_or_majority_configuration(log):
    """A disconnected node must not serve an old configuration."""
    node = Node(log, FakeLinks(), FakeRumours(), "n0", ["n1", "n2"])
    assert node.refusal() == RefusalCode.NO_CONFIGURATION
    assert node.feed.catch_up(1.0).is_ok()
    assert node.refusal() is None
    node.members.majority = False
    node.clock.time += 5.9
    assert node.refusal() is None
    node.clock.time += 0.2
    assert node.refusal() == RefusalCode.UNCONFIRMED_CONFIGURATION
    node.members.majority = True
    assert node.refusal() is None


def test_never_confirmed_node_does_not_serve_a_partial_history(log):
    """A node that has read only the first page has an old configuration."""
    node = Node(log, FakeLinks(), FakeRumours(), "n0")
    node.feed.deliver(log.read(-1, 1, 0).unwrap().records)
    assert node.view.catalog().revision == 0
    assert node.refusal() == RefusalCode.UNCONFIRMED_CONFIGURATION


def test_node_with_a_gap_refuses_until_a_peer_sends_a_snapshot(log):
    """The expired records may have replaced the known revision."""
    links, rumours = FakeLinks(), FakeRumours()
    node = Node(log, links, rumours, "n0", ["n1"])
    peer = Node(log, links, rumours, "n1", ["n0"])
    assert node.feed.catch_up(1.0).is_ok()
    change = Publication(id="q", operator="rui", base=0, deleted=["kinds/k"])
    log.records += [encode_record(change), {"id": "x"}, {"id": "y"}]
    assert peer.feed.catch_up(1.0).is_ok()
    log.expire(2)
    assert node.feed.catch_up(1.0).is_ok()
    assert node.refusal() == RefusalCode.UNCONFIRMED_CONFIGURATION
    exchange(peer.feed, node.feed)
    node.feed.fetch(node.feed.ahead_peer)
    assert (node.refusal(), node.view.catalog().revision) == (None, 1)


def test_withdrawal_in_an_outage_reaches_peers_then_the_log(log):
    """A bad version must be withdrawn at once, even without the log."""
    links, rumours = FakeLinks(), FakeRumours()
    nodes = [Node(log, links, rumours, name) for name in ("n0", "n1")]
    for node in nodes:
        assert node.feed.catch_up(1.0).is_ok()
        node.writer.start()
    log.outage = True
    nodes[0].view.withdraw(VERSION, "test evidence")
    assert all(node.view.is_withdrawn(VERSION) for node in nodes)
    late = Node(log, links, FakeRumours(), "n2")
    late.view.incoming("n1", nodes[1].view.outgoing())
    assert late.view.is_withdrawn(VERSION)
    nodes[0].writer.stop()
    log.outage = False
    assert nodes[1].feed.catch_up(1.0).is_ok()
    nodes[1].view.append_unlogged()
    assert wait_until(lambda: f"withdrawal-{VERSION}-0" in log.ids())
    nodes[1].writer.stop()
    assert nodes[1].feed.catch_up(1.0).is_ok()
    assert nodes[1].view.outgoing() == {}


def test_readmission_lifts_only_the_withdrawal_that_it_names(log):
    """A late rumour of a lifted withdrawal must not withdraw it again."""
    node = Node(log, FakeLinks(), FakeRumours(), "n0")
    node.view.withdraw(VERSION, "bad")
    old_rumour = {"version": str(VERSION), "epoch": 0, "reason": "bad"}
    readmission = Readmission(
        id="r", version=str(VERSION), epoch=0, operator="ana"
    )
    log.records.append(encode_record(readmission))
    assert node.feed.catch_up(1.0).is_ok()
    assert not node.view.is_withdrawn(VERSION)
    node.view.on_rumour(old_rumour)
    assert not node.view.is_withdrawn(VERSION)
    assert node.view.outgoing() == {}
    node.view.withdraw(VERSION, "bad again")
    assert node.view.is_withdrawn(VERSION)
    assert node.view.outgoing()[str(VERSION)]["epoch"] == 1


def test_status_shows_revision_time_and_withdrawals(log):
    """Operators and `publish` read from the status what is in force."""
    node = Node(log, FakeLinks(), FakeRumours(), "n0")
    assert node.view.status()["confirmed_age_s"] is None
    assert node.feed.catch_up(1.0).is_ok()
    node.view.withdraw(VERSION, "bad")
    status = node.view.status()
    assert (status["revision"], status["withdrawals"]) == (0, ["m@1"])
    assert status["in_force_at"] > 0
