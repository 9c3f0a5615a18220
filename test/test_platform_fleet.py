"""Tests of the fleet that other tests start in their process."""

import gevent
from _platform_fleet import OPERATOR_TOPIC, PlatformFleet, wait_for

POLLED_S = 1.5
"""Time in which a member polls its relay at least once, in seconds."""


# Guards against nodes of a stopped fleet that went on polling the address of
# their relay: a later fleet at that address learned what they had blocked.
def test_nodes_of_a_stopped_fleet_send_nothing(monkeypatch):
    """Another fleet may get their addresses."""
    fleet = PlatformFleet(nodes=3)
    try:
        wait_for(lambda: any(n.relay_client.relay for n in fleet.nodes))
    finally:
        fleet.stop()
    sent = []
    for node in fleet.nodes:
        peers = node.relay_client.peers
        for name in ("exchange", "notify"):
            monkeypatch.setattr(
                peers, name, lambda *values: sent.append(values)
            )
    gevent.sleep(POLLED_S)
    assert sent == []


def store_calls(node):
    """Returns the counted calls of a node to the store, by call and topic."""
    return {
        name: child._value.get()
        for name, child in node.metrics.children.items()
        if name.startswith("store_calls.")
    }


def test_node_that_joins_a_fleet_makes_two_calls_to_the_store():
    """Hundreds of nodes that start share the store's rate; each made seven."""
    with_running = PlatformFleet(nodes=2)
    try:
        wait_for(lambda: any(n.relay_client.relay for n in with_running.nodes))
        node = with_running.add_node()
        wait_for(node.is_ready)
        wait_for(lambda: node.relay_client.relay is not None)
        gevent.sleep(1.0)
        assert store_calls(node) == {
            "store_calls.newest:keyed.nodes": 1,
            "store_calls.append:keyed.nodes": 1,
        }
    finally:
        with_running.stop()


def test_nodes_that_start_at_once_make_few_calls_to_the_store():
    """At 195 nodes each made 14 until it had settled on a relay."""
    fleet = PlatformFleet(nodes=6)
    try:
        wait_for(
            lambda: (
                sum(n.relay_client.relay is not None for n in fleet.nodes) == 5
            )
        )
        members = [n for n in fleet.nodes if n.relay_client.relay is not None]
        calls = [sum(store_calls(node).values()) for node in members]
        assert max(calls) <= 6
    finally:
        fleet.stop()


def test_nodes_without_a_configuration_read_nothing_else():
    """A fleet that starts before its first configuration may wait long."""
    fleet = PlatformFleet(nodes=1)
    try:
        fleet.store.topics[OPERATOR_TOPIC].newest.clear()
        node = fleet.add_node()
        gevent.sleep(1.0)
        assert node.config.config is None
        calls = store_calls(node)
        assert not any("servers" in name for name in calls)
        assert not any("status" in name for name in calls)
    finally:
        fleet.stop()
