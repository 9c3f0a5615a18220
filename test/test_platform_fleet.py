"""Tests of the fleet that other tests start in their process."""

import gevent
from _platform_fleet import PlatformFleet, wait_for

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
