"""Tests of the evacuation of availability zones.

Guards against EVAC: a request reaches a server of a zone after the operator
has ordered that nothing more is sent there.
"""

import types

import pytest
from _routing import make_server, make_server_record

from amaranthlug.coordination.routing.config_source import ConfigSource
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.server_directory import ServerDirectory
from amaranthlug.protocol.routing.exchange import BaseExchange
from amaranthlug.state.routing.evacuations import ZoneEvacuations
from amaranthlug_platform.records import PlatformRecords


def order(zone, offset, value=b"{}"):
    """Returns the record of an order, of its removal if `value` is None."""
    return KeyedRecord(f"evacuate/{zone}", value, offset)


class Node:
    """The operator's topic and the servers as one node sees them."""

    def __init__(self):
        """Creates a node with a server in each of two zones."""
        self.source = ConfigSource(PlatformRecords())
        self.servers = ServerDirectory(
            PlatformRecords(),
            lambda: -9.0,
            evacuations=self.source.evacuations,
        )
        for offset, zone in enumerate(("zone-a", "zone-b")):
            self.servers.apply(
                make_server_record(
                    offset,
                    f"s-{zone}",
                    zone=zone,
                    address=f"10.0.0.{offset + 1}:80",
                )
            )

    def usable_zones(self):
        """Returns the zones of the servers that may be used."""
        return {s.zone for s in self.servers.usable_servers("pool")}


def test_evacuated_zone_gets_nothing_until_it_is_taken_back():
    """Both the order and its removal are passed on to other nodes."""
    node = Node()
    released = []
    node.source.evacuations.receive_release = released.append
    assert node.source.apply(order("zone-a", 1))
    assert node.usable_zones() == {"zone-b"}
    assert not node.source.apply(order("zone-a", 1))
    assert node.source.apply(order("zone-a", 2, None))
    assert node.usable_zones() == {"zone-a", "zone-b"}
    assert released == ["zone-a"]


def test_two_zones_at_once_leave_no_server():
    """An order holds even if nothing is left."""
    node = Node()
    node.source.apply(order("zone-a", 1))
    node.source.apply(order("zone-b", 2))
    assert node.usable_zones() == set()
    for entry in node.servers.listed():
        assert not node.servers.is_usable(entry)


def test_complete_read_shows_orders_and_removals():
    """A node that starts, or whose records expired, reads all orders."""
    node = Node()
    node.source.replace([order("zone-a", 4)])
    assert node.usable_zones() == {"zone-b"}
    node.source.replace([])
    assert node.usable_zones() == {"zone-a", "zone-b"}


def test_order_outlives_the_return_of_the_store_to_an_older_copy():
    """The copy lacks the order, which is in force until it is removed."""
    node = Node()
    node.source.apply(order("zone-a", 7))
    assert node.source.restore([]) == []
    assert node.usable_zones() == {"zone-b"}
    node.source.apply(order("zone-a", 3, None))
    assert node.usable_zones() == {"zone-a", "zone-b"}


def test_older_copy_does_not_evacuate_a_zone_again():
    """It was taken back after the copy was made."""
    node = Node()
    node.source.apply(order("zone-a", 7))
    node.source.apply(order("zone-a", 8, None))
    assert node.source.restore([order("zone-a", 7)]) == []
    assert node.usable_zones() == {"zone-a", "zone-b"}
    assert node.source.apply(order("zone-a", 8))
    assert node.usable_zones() == {"zone-b"}


def test_order_in_an_older_copy_stays_in_force():
    """Offsets of the copy are lower; a removal after it counts."""
    node = Node()
    node.source.apply(order("zone-a", 7))
    assert node.source.restore([order("zone-a", 2)])
    assert node.usable_zones() == {"zone-b"}
    node.source.apply(order("zone-a", 3, None))
    assert node.usable_zones() == {"zone-a", "zone-b"}


@pytest.mark.parametrize("value", [b"", b"{", b"[]", b"\xff"])
def test_value_of_an_order_does_not_matter(value):
    """A value that cannot be read must not keep requests in the zone."""
    node = Node()
    node.source.apply(order("zone-a", 1, value))
    assert node.usable_zones() == {"zone-b"}


@pytest.mark.parametrize("key", ["evacuate/", "evacuate", "config"])
def test_other_keys_are_no_orders(key):
    """Only a named zone is evacuated."""
    assert PlatformRecords().evacuated_zone(KeyedRecord(key, b"{}", 1)) is None


def test_request_that_was_placed_before_the_order_is_not_sent():
    """The zone is checked again once the connection is open."""
    evacuations = ZoneEvacuations()

    placed = types.SimpleNamespace(
        context=types.SimpleNamespace(may_send=lambda context: True),
        tools=types.SimpleNamespace(
            statements=types.SimpleNamespace(may_receive=lambda server: True),
            evacuations=evacuations,
        ),
    )
    server = make_server(zone="zone-a")
    assert BaseExchange.may_send_to(placed, server)
    evacuations.evacuate("zone-a", 1)
    assert not BaseExchange.may_send_to(placed, server)
