"""Tests of the paths that nodes open to servers for each other."""

import time

import gevent
import msgspec
import pytest
from _lost_links import EVENT_S, HANG, RESET, CutFleet
from _platform_fleet import (
    call,
    event_ids,
    render_call,
    stream_headers,
    wait_for,
)

from amaranthlug.protocol.routing.plain_exchange import SECOND_SERVER_S
from amaranthlug.protocol.routing.server_paths import PathRequest
from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug.transport.routing.peer_paths import OPEN_PATH
from amaranthlug.transport.routing.upstreams import open_connection
from amaranthlug_standins.loopback import process_address

CUT_NODE = 0
ALL_EVENTS = [1, 2, 3, 4, 5]
LEFT_S = 0.5
"""Longest time for which a server works on after its caller left, in
seconds."""
HEALED_S = 3.0
"""Longest time until a link that holds again is used, in seconds."""


@pytest.fixture
def cut_fleet():
    """Three nodes and four servers; the first node has lost its links."""
    started = CutFleet(nodes=3, servers=4)
    started.cut({CUT_NODE}, RESET)
    yield started
    started.stop()


def opened_through_peers(node) -> str:
    """Returns the count of connections that a node opened through others."""
    name = 'amaranthlug_paths_total{kind="opened_through_peer"}'
    lines = node.metrics.text().decode().splitlines()
    return next(line for line in lines if line.startswith(name))


def ask_for_path(address: str, instance: str, source_host: str = "") -> int:
    """Asks a node for a path to a server; returns the status."""
    body = msgspec.json.encode(PathRequest(instance))
    headers = [("Host", address), ("Content-Length", str(len(body)))]
    connection = HttpConnection.open(address, 1.0, source_host)
    head, _ = connection.request(
        render_request("POST", OPEN_PATH, headers, body), 1.0
    )
    connection.close()
    return head.status


def stream(fleet, request_id="id-1"):
    """Requests a stream at the cut node."""
    return fleet.call(
        "/stream/a", CUT_NODE, request_id=request_id, headers=stream_headers()
    )


def test_answer_is_whole_and_from_one_run(cut_fleet):
    """Seal, body and events are those of the server."""
    fleet = cut_fleet.fleet
    answer = fleet.call("/once/a", CUT_NODE, method="POST", body=b"x" * 90_000)
    assert (answer.status, answer.whole) == (200, True)
    assert answer.headers["server-seal"].startswith("seal-")
    assert answer.body == b"POST /once/a" + b"x" * 90_000
    assert fleet.runs("id-1") == 1
    assert event_ids(stream(fleet, "id-2").body) == ALL_EVENTS


def test_paths_are_not_used_once_links_hold_again(cut_fleet):
    """Probes find that the links hold, without requests."""
    node = cut_fleet.fleet.nodes[CUT_NODE]
    assert cut_fleet.fleet.call("/once/a", CUT_NODE).status == 200
    cut_fleet.heal({CUT_NODE})
    wait_for(lambda: not node.links.lost, HEALED_S)
    before = opened_through_peers(node)
    assert cut_fleet.fleet.call("/once/b", CUT_NODE).status == 200
    assert opened_through_peers(node) == before


def test_server_stops_work_when_the_caller_leaves(cut_fleet):
    """The end of the caller's connection reaches the server."""
    fleet = cut_fleet.fleet
    for server in fleet.servers:
        server.faults.hang = True
    address = fleet.nodes[CUT_NODE].settings.addresses.callers
    connection = HttpConnection.open(address, 1.0)
    connection.send(render_call("/once/a", "id-1"), 1.0)
    wait_for(lambda: fleet.runs("id-1") == 1)
    connection.close()
    wait_for(lambda: sum(s.cancelled_runs for s in fleet.servers) == 1, LEFT_S)
    wait_for(lambda: not any(n.peer_paths.running for n in fleet.nodes))


# Guards against a truncated answer of unknown length that looks complete, as
# the reset at its end became a normal close on the way.
def test_reset_of_a_server_reaches_the_cut_node(cut_fleet):
    """An answer without a length ends with the connection."""
    for node in cut_fleet.fleet.nodes[1:]:
        node.paths.dial = open_connection  # The proxy turns resets into ends.
    for server in cut_fleet.fleet.servers:
        server.faults.until_close = True
        server.faults.truncate = True
        server.faults.cut_how = "reset"
    answer = cut_fleet.fleet.call("/once/a", CUT_NODE)
    assert answer.status == 502


def test_stopping_node_completes_the_requests_of_others(cut_fleet):
    """It ends only when no path leads through it."""
    fleet = cut_fleet.fleet
    for server in fleet.servers:
        server.event_s = 0.2
    running = gevent.spawn(stream, fleet)
    gevent.sleep(0.3)  # The node tries a few more links at first.
    through = [
        (node, listeners)
        for node, listeners in zip(fleet.nodes, fleet.listeners, strict=True)
        if node.peer_paths.running
    ]
    assert len(through) == 1
    node, listeners = through[0]
    assert listeners.count_active_requests() == 1
    node.leaving = True
    assert event_ids(running.get().body) == ALL_EVENTS
    wait_for(lambda: not listeners.count_active_requests())
    # A node that leaves opens no new path.
    wait_for(lambda: stream(fleet, "id-2").status == 200)
    assert not node.peer_paths.running


def test_stream_goes_on_after_its_peer_broke_off(cut_fleet):
    """A lost peer counts as a lost server."""
    fleet = cut_fleet.fleet
    for server in fleet.servers:
        server.event_s = 0.1
    running = gevent.spawn(stream, fleet)
    wait_for(lambda: any(n.peer_paths.running for n in fleet.nodes))
    gevent.sleep(2 * EVENT_S)
    for node, listeners in zip(fleet.nodes, fleet.listeners, strict=True):
        if node.peer_paths.running:
            listeners.internal_servers[-1].pool.kill(block=False)
    answer = running.get()
    assert answer.whole
    assert event_ids(answer.body) == ALL_EVENTS


@pytest.mark.parametrize("how", [RESET, HANG])
def test_node_that_starts_without_links_serves_callers(cut_fleet, how):
    """It has never reached a server itself."""
    fleet = cut_fleet.fleet
    cut_fleet.add_cut_node(how)
    fleet.wait_ready(servers=4)
    assert fleet.call("/once/a", node=3).status == 200


def test_callers_are_served_while_the_store_is_away_too(cut_fleet):
    """The nodes that were known before are asked."""
    cut_fleet.fleet.store.stop()
    gevent.sleep(0.5)
    assert cut_fleet.fleet.call("/once/a", CUT_NODE).status == 200


def test_only_nodes_of_the_fleet_get_a_path(cut_fleet):
    """An unknown host gets none, and a node none to an unlisted server."""
    node = cut_fleet.fleet.nodes[1]
    address = node.settings.addresses.peers
    server = cut_fleet.fleet.servers[0]
    instance = f"{server.server_id}@{server.started_ms}"
    host = process_address()
    assert ask_for_path(address, instance, host) == 200
    assert ask_for_path(address, "other@1", host) == 502
    assert ask_for_path(address, instance) == 403
    node.peer_paths.limit = 0
    assert ask_for_path(address, instance, host) == 503
    node.peer_paths.nodes = list
    assert ask_for_path(address, instance, host) == 403


def test_no_version_is_blamed_for_a_lost_link(cut_fleet):
    """Answers that come late or not at all through a cut are not counted."""
    node = cut_fleet.fleet.nodes[CUT_NODE]
    outcomes = []
    node.router.tools.record_outcome = lambda *values: outcomes.append(values)
    assert cut_fleet.fleet.call("/safe/a", CUT_NODE).status == 200
    for server in cut_fleet.fleet.servers:
        server.faults.hang = True
    address = node.settings.addresses.callers
    call(address, "/safe/b", request_id="id-2", deadline_ms=1_000)
    assert [bad for *_, bad in outcomes if bad] == []


# Guards against a bad version that a cut node does not see, since all that came
# over a lost link was excused.
def test_error_of_a_version_counts_through_a_peer(cut_fleet):
    """The server sent it; the link did not cause it."""
    node = cut_fleet.fleet.nodes[CUT_NODE]
    outcomes = []
    node.router.tools.record_outcome = lambda *values: outcomes.append(values)
    for server in cut_fleet.fleet.servers:
        server.faults.status = 500
    assert cut_fleet.fleet.call("/once/a", CUT_NODE).status == 500
    assert [bad for *_, bad in outcomes] == [True]


# Guards against a request that waits on an idle connection from before the cut:
# its server was not among those whose links were found to be lost.
def test_idle_connections_are_not_used_once_all_links_hang():
    """A node that is cut off from all servers knows them for dead."""
    fleet = CutFleet(nodes=3, servers=4)
    try:
        node = fleet.fleet.nodes[CUT_NODE]
        for number in range(12):
            answer = fleet.fleet.call(
                "/safe/a", CUT_NODE, request_id=f"before-{number}"
            )
        preferred = answer.headers["server-seal"].removeprefix("seal-")
        fleet.cut({CUT_NODE}, HANG)
        for server in node.servers.usable_servers("pool"):
            if server.server_id != preferred:
                node.links.record_lost(server, hung=True)
        assert node.links.is_cut()
        for number in range(12):
            started_at = time.monotonic()
            answer = fleet.fleet.call(
                "/safe/a", CUT_NODE, request_id=f"after-{number}"
            )
            assert answer.status == 200
            assert time.monotonic() - started_at < SECOND_SERVER_S
    finally:
        fleet.stop()


def test_relay_client_that_was_stopped_is_not_started(cut_fleet):
    """A node may be stopped while it still waits to join the fleet."""
    client = cut_fleet.fleet.nodes[1].relay_client
    client.stop()
    stopped = client.greenlet
    client.start()
    assert client.greenlet is stopped
