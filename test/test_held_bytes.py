"""Tests of the memory that all requests of a node hold together."""

import gevent
import pytest
from _crowd import peak_memory_mb
from _mixed_builds import START_LIMIT_S, is_ready
from _platform_fleet import call, make_wire_config, stream_headers, wait_for

from amaranthlug.protocol.routing.held_bytes import (
    SMALL_BYTES,
    HeldBytes,
    Holding,
)
from amaranthlug_platform.records import OPERATOR_TOPIC
from amaranthlug_platform_standins.soak_fleet import SoakFleet

MEMORY_MB = 150
"""Memory of the smallest VMs of the first deployments."""
REQUESTS = 150
SOUND_REQUESTS = 20
KINDS = [
    "event",
    "body",
    "error_body",
    "header_lines",
    "short_headers",
    "trailers",
]


def test_small_requests_always_have_room():
    """What is beyond that is limited over all requests, and given back."""
    total = HeldBytes(1_000)
    large, small = Holding(total), Holding(total)
    assert large.resize(SMALL_BYTES + 1_000)
    assert small.resize(SMALL_BYTES)
    assert not small.resize(SMALL_BYTES + 1)
    assert small.size == SMALL_BYTES
    assert large.resize(0)
    assert small.resize(SMALL_BYTES + 1)
    assert small.resize(0)
    assert total.used_bytes == 0


@pytest.fixture
def node_fleet(tmp_path):
    """A process of a node, a server that goes wrong and a sound one."""
    fleet = SoakFleet(tmp_path, 1, 1, 2)
    fleet.servers[0].service = "pool-2"
    fleet.start()
    config = make_wire_config(2)
    for route in config["routes"]:
        route["service"] = "pool" if route["name"] == "safe" else "pool-2"
    config["services"].append({"name": "pool-2", "max_connections": 500})
    fleet.store.put(OPERATOR_TOPIC, "config", config)
    node = fleet.nodes[0]
    wait_for(lambda: is_ready(node), START_LIMIT_S)
    address = node.addresses["callers"]
    wait_for(lambda: call(address, "/safe/x").status == 200)
    yield fleet
    fleet.stop()


# Guards against the report of issue 61 of bytes without end: the memory of a
# node ran out, and the requests of its other callers ended with it.
@pytest.mark.processes
@pytest.mark.parametrize("target", ["/cut/x", "/once/x"])
@pytest.mark.parametrize("kind", KINDS)
def test_endless_bytes_leave_a_node_its_memory(node_fleet, kind, target):
    """All requests together stay below the memory of a small VM."""
    node = node_fleet.nodes[0]
    address = node.addresses["callers"]
    node_fleet.servers[0].faults.endless = kind
    headers = stream_headers() if target == "/cut/x" else ()
    faulty = [
        gevent.spawn(
            call,
            address,
            target,
            request_id=f"faulty-{number}",
            headers=headers,
        )
        for number in range(REQUESTS)
    ]
    gevent.sleep(0.2)
    for number in range(SOUND_REQUESTS):
        answer = call(address, "/safe/x", request_id=f"sound-{number}")
        assert (answer.status, answer.whole) == (200, True), answer.body
    gevent.joinall(faulty, timeout=30, raise_error=True)
    assert {task.value.status for task in faulty} <= {200, 502, 503, 504}
    assert peak_memory_mb(node.process.pid) < MEMORY_MB
