"""Tests exchange and rumours: reach, cost, isolation of failing components."""

import json

import pytest
from _fakes_fleet import Fleet

from amaranthlug.coordination import rumours
from amaranthlug.coordination.exchange import (
    LARGE_FLEET_MEMBERS,
    MESSAGE_BYTES,
    ROWS_COMPRESSION_RATIO,
)


class FakeSection:
    """Section with constant content that records what it receives."""

    def __init__(self, name, fails=False):
        """Creates a section; with `fails`, `incoming` raises an error."""
        self.name = name
        self.fails = fails
        self.received = []

    def outgoing(self):
        """Returns constant content."""
        return {"from": self.name}

    def incoming(self, sender, section):
        """Records the section, or raises ValueError."""
        if self.fails:
            raise ValueError("bad section")
        self.received.append((sender, section))


def test_both_sides_get_all_sections_although_one_fails():
    """A component that fails on its section must not affect the others."""
    fleet = Fleet(2)
    sections = {}
    for address, node in fleet.nodes.items():
        node.exchange.register(FakeSection("a-fails", fails=True))
        sections[address] = FakeSection("b-works")
        node.exchange.register(sections[address])
    fleet.nodes["n1"].exchange.exchange_with("n0")
    assert sections["n0"].received == [("n1", {"from": "b-works"})]
    assert sections["n1"].received == [("n0", {"from": "b-works"})]
    with pytest.raises(ValueError, match="twice"):
        fleet.nodes["n0"].exchange.register(FakeSection("b-works"))


class SizedFakeSection(FakeSection):
    """Section that uses all the bytes that it may."""

    def outgoing_within(self, limit_bytes):
        """Returns content of about `limit_bytes` bytes."""
        return {"x": "y" * max(0, limit_bytes - 10)}


def test_sections_share_the_bytes_of_a_message():
    """Two large sections must fit the message and not starve each other."""
    node = Fleet(1).nodes["n0"]
    node.membership.live = lambda: [node.me] * LARGE_FLEET_MEMBERS
    node.exchange.register(SizedFakeSection("r1"))
    node.exchange.register(SizedFakeSection("r2"))
    first = node.exchange.outgoing()
    second = node.exchange.outgoing()
    for message in (first, second):
        size = len(json.dumps(message, separators=(",", ":")))
        assert size * ROWS_COMPRESSION_RATIO <= MESSAGE_BYTES + 20
    assert len(first["r1"]["x"]) == len(second["r2"]["x"])
    assert len(first["r2"]["x"]) == len(second["r1"]["x"]) > 20


def test_rumour_reaches_all_at_bounded_cost():
    """A withdrawal must spread quickly without a message from one to all."""
    fleet = Fleet(12)
    fleet.run(8)
    received = {address: [] for address in fleet.nodes}
    for address, node in fleet.nodes.items():
        seen = received[address]
        node.rumours.subscribe("t", lambda f, seen=seen: not seen.append(f))
    fleet.sent.clear()
    fleet.nodes["n3"].rumours.spread("t", {"version": "m@2"})
    fleet.nodes["n3"].rumours.spread("t", {"version": "m@2"})
    fleet.run(0.25)
    reached = [
        address for address, facts in received.items() if len(facts) == 1
    ]
    assert len(reached) >= 10
    assert fleet.sent["rumour"] <= rumours.FANOUT * len(reached)


def test_known_fact_is_not_passed_on(monkeypatch):
    """A fact that is relayed again and again would flood the fleet.

    Receivers stop it even if it is no longer among the seen facts.
    """
    monkeypatch.setattr(rumours, "MAX_SEEN_FACTS", 2)
    fleet = Fleet(3)
    fleet.run(8)
    node = fleet.nodes["n0"]
    node.rumours.subscribe("t", lambda fact: False)
    fleet.sent.clear()
    for number in range(5):
        node.rumours.spread("t", {"n": number})
    fleet.run(0.25)
    assert "rumour" not in fleet.sent
    assert len(node.rumours.seen) == 2
