"""Guards exchange and rumours: reach, cost, isolation of failing parts."""

import json

import pytest
from _fakes_fleet import Fleet

from amaranthlug.coordination import rumours
from amaranthlug.coordination.exchange import MESSAGE_BYTES


class Section:
    """A section that fails on demand."""

    def __init__(self, name, fails=False):
        """Keeps what it gets."""
        self.name = name
        self.fails = fails
        self.got = []

    def outgoing(self):
        """Returns a constant."""
        return {"from": self.name}

    def incoming(self, sender, section):
        """Keeps the section."""
        if self.fails:
            raise ValueError("bad section")
        self.got.append((sender, section))


def test_both_sides_get_all_sections_although_one_fails():
    """A part that fails on its section must not silence the others."""
    fleet = Fleet(2)
    sections = {}
    for address, node in fleet.nodes.items():
        node.exchange.register(Section("a-fails", fails=True))
        sections[address] = Section("b-works")
        node.exchange.register(sections[address])
    fleet.nodes["n1"].exchange.exchange_with("n0")
    assert sections["n0"].got == [("n1", {"from": "b-works"})]
    assert sections["n1"].got == [("n0", {"from": "b-works"})]
    with pytest.raises(ValueError, match="twice"):
        fleet.nodes["n0"].exchange.register(Section("b-works"))


class Rows(Section):
    """A section that fills the bytes it gets."""

    def outgoing_within(self, limit_bytes):
        """Returns as much as it may."""
        return {"x": "y" * max(0, limit_bytes - 10)}


def test_sections_share_the_bytes_of_a_message():
    """Two full sections must neither exceed the bound nor starve each other."""
    node = Fleet(1).nodes["n0"]
    node.exchange.register(Rows("r1"))
    node.exchange.register(Rows("r2"))
    first = node.exchange.outgoing()
    second = node.exchange.outgoing()
    for message in (first, second):
        size = len(json.dumps(message, separators=(",", ":")))
        assert size <= MESSAGE_BYTES + 40
    assert len(first["r1"]["x"]) == len(second["r2"]["x"])
    assert len(first["r2"]["x"]) == len(second["r1"]["x"]) > 20


def test_rumour_reaches_all_at_bounded_cost():
    """A withdrawal must spread at once, yet never as a message to all."""
    fleet = Fleet(12)
    fleet.run(8)
    got = {address: [] for address in fleet.nodes}
    for address, node in fleet.nodes.items():
        seen = got[address]
        node.rumours.subscribe("t", lambda f, seen=seen: not seen.append(f))
    fleet.sent.clear()
    fleet.nodes["n3"].rumours.spread("t", {"version": "m@2"})
    fleet.nodes["n3"].rumours.spread("t", {"version": "m@2"})
    fleet.run(0.25)
    reached = [address for address, facts in got.items() if len(facts) == 1]
    assert len(reached) >= 10
    assert fleet.sent["rumour"] <= rumours.FANOUT * len(reached)


def test_known_fact_is_not_passed_on(monkeypatch):
    """A fact that circles for ever would flood the fleet."""
    monkeypatch.setattr(rumours, "SEEN_BOUND", 2)
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
