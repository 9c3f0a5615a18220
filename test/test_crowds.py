"""Tests that clients beyond our control leave a node its memory.

Each test starts a node process with limits lowered in its own settings and one
crowd of clients. The crowds and bounds were fixed on the code of d922ce8. What
is checked does not depend on the speed of the machine: the process lives,
memory and descriptors stay under their bounds, and an ordinary request is
answered while the crowd's connections are open.
"""

import contextlib
import json

import pytest
from _crowd import (
    endless_line,
    large_chunks,
    long_extension,
    long_trailer,
    missing_byte,
    odd_lines,
    open_descriptors,
    oversized_head,
    peak_memory_mb,
    pipelined,
    short_lines,
    short_trailers,
    silent,
    small_chunks,
    start_crowd,
    unfinished_head,
    whole_large_body,
    whole_many_lines,
    whole_small_chunks,
)
from _mixed_builds import START_LIMIT_S, is_ready
from _platform_fleet import call, make_wire_config, wait_for

from amaranthlug.transport.routing.http_client import HttpConnection
from amaranthlug_platform.records import OPERATOR_TOPIC
from amaranthlug_platform_standins.soak_fleet import SoakFleet

MEMORY_MB = 100
"""Memory that the settings of the node name, in MiB."""
MAX_MEMORY_MB = 0.8 * MEMORY_MB
"""Bound on the memory of the process, in MiB."""
MAX_DESCRIPTORS = 1_000
"""Descriptors that the settings of the node name."""
ANSWER_LIMIT_S = 30.0
"""Time after which an ordinary request counts as not answered, in seconds; far
beyond that of any machine."""

CROWDS = [
    pytest.param(short_lines, 180, id="short-lines"),
    pytest.param(odd_lines, 220, id="odd-lines"),
    pytest.param(oversized_head, 90, id="oversized-head"),
    pytest.param(endless_line, 90, id="endless-line"),
    pytest.param(short_trailers, 8, id="short-trailers"),
    pytest.param(long_trailer, 16, id="long-trailer"),
    pytest.param(large_chunks, 60, id="large-chunks"),
    pytest.param(small_chunks, 60, id="small-chunks"),
    pytest.param(long_extension, 16, id="long-extension"),
    pytest.param(missing_byte, 60, id="missing-byte"),
    pytest.param(pipelined, 60, id="pipelined"),
    pytest.param(silent, 500, id="silent"),
    pytest.param(unfinished_head, 500, id="unfinished-head"),
]


@pytest.fixture
def node_fleet(tmp_path):
    """A process of a node with lowered limits, and a server."""
    fleet = SoakFleet(tmp_path, 1, 1, 1)
    node = fleet.nodes[0]
    settings = json.loads(node.settings.read_text())
    settings["memory_mb"] = MEMORY_MB
    settings["max_descriptors"] = MAX_DESCRIPTORS
    node.settings.write_text(json.dumps(settings))
    fleet.start()
    config = make_wire_config(2)
    config["limits"] = {
        "max_header_bytes": 16_384,
        "max_body_bytes": 4 << 20,
        "header_timeout_ms": 60_000,
        "idle_timeout_ms": 60_000,
    }
    fleet.store.put(OPERATOR_TOPIC, "config", config)
    wait_for(lambda: is_ready(node), START_LIMIT_S)
    address = node.addresses["callers"]
    wait_for(lambda: call(address, "/safe/x").status == 200, START_LIMIT_S)
    yield fleet
    fleet.stop()


def is_answered(address, **more):
    """Returns whether an ordinary request is answered with success."""
    try:
        return call(address, "/safe/x", **more).status == 200
    except OSError:
        return False


# Guards against the operators' report of clients beyond their control: a
# process ran out of memory.
@pytest.mark.processes
@pytest.mark.parametrize(("shape", "clients"), CROWDS)
def test_crowd_leaves_a_node_its_memory(node_fleet, shape, clients):
    """The node refuses what it cannot hold and serves the others."""
    node = node_fleet.nodes[0]
    address = node.addresses["callers"]
    crowd = start_crowd(address, clients, shape)
    try:
        wait_for(lambda: is_answered(address), ANSWER_LIMIT_S)
        assert node.process.poll() is None
        assert peak_memory_mb(node.process.pid) < MAX_MEMORY_MB
        assert open_descriptors(node.process.pid) <= MAX_DESCRIPTORS
    finally:
        crowd.close()
    wait_for(lambda: is_answered(address), ANSWER_LIMIT_S)


# Guards against a limit on crowds that refuses a single legal request.
@pytest.mark.processes
@pytest.mark.parametrize(
    "shape",
    [
        pytest.param(whole_many_lines, id="lines"),
        pytest.param(whole_large_body, id="body"),
        pytest.param(whole_small_chunks, id="chunks"),
    ],
)
def test_single_request_inside_the_limits_is_served(node_fleet, shape):
    """In calm, the limits on one request decide alone."""
    address = node_fleet.nodes[0].addresses["callers"]
    connection = HttpConnection.open(address, 10.0)
    with contextlib.closing(connection):
        for block in shape(1):
            connection.send(block, ANSWER_LIMIT_S)
        assert connection.read_head(ANSWER_LIMIT_S).status == 200
