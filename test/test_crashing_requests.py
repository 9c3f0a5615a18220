"""Tests of requests that crash the servers that run them, over loopback."""

import time

import gevent
import pytest
from _crash_fleet import DEAD_SERVERS
from _paths import make_pool
from _platform_fleet import (
    PlatformFleet,
    error_reason,
    stream_headers,
    wait_for,
)
from _routing import make_request, make_server

from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.relay_client import RelayClient
from amaranthlug.protocol.routing.messages import PathState
from amaranthlug.protocol.routing.request_subjects import request_digest
from amaranthlug.routed_node import RoutedNode
from amaranthlug.transport.routing.http_client import HttpConnection
from amaranthlug_platform_standins.server import ServerFaults
from amaranthlug_standins.fault_proxy import FaultProxy
from amaranthlug_standins.loopback import listener_addresses

NODES = 4
SERVERS = 4
REPETITIONS = 8
ALLOWED_CRASHES = 3
"""Servers that may end under a request before no other one gets it."""
NOTICE_S = 0.3
"""Time after which a notice has reached the other nodes, in seconds."""
NEWS_LIMIT_S = 2.0
"""Longest time until a node knows what the others do, in seconds."""
CRASHING_REQUESTS = pytest.mark.parametrize(
    ("target", "method", "headers"),
    [
        ("/safe/bad", "GET", ()),
        ("/once/bad", "POST", ()),
        ("/stream/bad", "POST", stream_headers()),
    ],
)
"""Requests of all kinds of routes."""


class CrashFleet:
    """Nodes before servers that one request crashes."""

    def __init__(self, **fleet):
        """Starts nodes and servers; `fleet` are options of the fleet."""
        self.fleet = PlatformFleet(
            NODES, SERVERS, events=1, event_s=0.0, **fleet
        )
        self.requests = 0
        self.crash_on("/safe/bad")

    def crash_on(self, target: str) -> None:
        """Makes requests for a target crash their servers."""
        for server in self.fleet.servers:
            server.faults.crash_on = target

    def send(self, target: str, node: int, **more):
        """Sends a request as a new one; returns its answer."""
        self.requests += 1
        return self.fleet.call(
            target, node=node, request_id=f"request-{self.requests}", **more
        )

    def repeat(self, target: str, **more) -> None:
        """Sends a request to the nodes in turn, always to live servers."""
        for number in range(REPETITIONS):
            self.fleet.wait_until_up()
            self.send(target, number % NODES, **more)

    def block(self, target: str, **more) -> None:
        """Sends a request to one node until all nodes have blocked it."""
        while self.crashes(target) < ALLOWED_CRASHES:
            self.fleet.wait_until_up()
            self.send(target, 0, **more)
        self.fleet.wait_until_up()
        wait_for(lambda: all(map(knows_block, self.fleet.nodes)))

    def crashes(self, target: str) -> int:
        """Returns how many servers ended under a request."""
        return sum(server.crashes[target] for server in self.fleet.servers)


def known_crashes(node: RoutedNode) -> list[int]:
    """Returns how many servers a node knows to have ended, by request."""
    suspects = node.suspects.table.suspects.values()
    return [suspect.uncleared_crashes() for suspect in suspects]


def knows_block(node: RoutedNode) -> bool:
    """Returns whether a node has blocked the one request that crashes."""
    blocked = node.suspects.blocked.values()
    return [len(crashes) for crashes in blocked] == [ALLOWED_CRASHES]


@pytest.fixture
def crash():
    """A running fleet."""
    started = CrashFleet()
    yield started
    started.fleet.stop()


def ended_lines(caplog) -> list:
    """Returns the log lines about servers that ended under a request."""
    return [
        record
        for record in caplog.records
        if getattr(record, "event", "") == "server_ended"
    ]


# Guards against issue 24: a request that crashes its servers came again as a
# new request at any node and was sent to servers each time.
@CRASHING_REQUESTS
def test_crashing_request_reaches_no_server_after_the_third(
    crash, target, method, headers
):
    """The third server that ends under it is the last one of the fleet."""
    crash.crash_on(target)
    crash.repeat(target, method=method, headers=headers)
    assert crash.crashes(target) == ALLOWED_CRASHES


# Guards against issue 33: where something accepted connections for servers that
# had ended, no end was recognised, and a crashing request was sent to server
# after server.
@pytest.mark.parametrize("how", DEAD_SERVERS)
@CRASHING_REQUESTS
def test_crashing_request_is_found_where_a_path_accepts_for_dead_servers(
    how, target, method, headers
):
    """The third server that ends under it is the last one of the fleet."""
    crash = CrashFleet(behind_proxy=True)
    try:
        for server in crash.fleet.servers:
            server.faults = ServerFaults(**DEAD_SERVERS[how])
        crash.crash_on(target)
        for number in range(REPETITIONS):
            crash.fleet.wait_until_up()
            gevent.sleep(NOTICE_S)
            crash.send(target, number % NODES, method=method, headers=headers)
        assert crash.crashes(target) == ALLOWED_CRASHES
    finally:
        crash.fleet.stop()


# Guards against issue 24 where an engine ends in the middle of its stream.
def test_stream_that_crashes_after_its_first_event_is_blocked(crash):
    """Engines begin to answer before they crash."""
    for server in crash.fleet.servers:
        server.events = 9
        server.faults.crash_after = 1
    crash.crash_on("/stream/bad")
    crash.repeat("/stream/bad", method="POST", headers=stream_headers())
    assert crash.crashes("/stream/bad") == ALLOWED_CRASHES


@CRASHING_REQUESTS
def test_blocked_request_is_refused_at_once(crash, target, method, headers):
    """It has not run, and its caller learns when it is allowed again."""
    crash.crash_on(target)
    crash.block(target, method=method, headers=headers)
    for node in range(NODES):
        started_at = time.monotonic()
        answer = crash.send(target, node, method=method, headers=headers)
        assert time.monotonic() - started_at < 0.5
        assert answer.status == 503
        assert error_reason(answer) == "poisoned_request"
        assert float(answer.headers["retry-after"]) > 500
    assert crash.crashes(target) == ALLOWED_CRASHES


def test_other_requests_of_the_route_are_served(crash):
    """Only the same request of the same caller is blocked."""
    crash.block("/safe/bad")
    assert crash.send("/safe/good", 1).status == 200
    assert crash.send("/safe/bad", 1, body=b"changed").status == 502


def test_bystander_of_crashes_is_not_blocked(crash):
    """A request that a server completes has not crashed the others."""
    for server in crash.fleet.servers:
        server.faults.delay_s = 0.1
    for number in range(REPETITIONS):
        crash.fleet.wait_until_up()
        bad = gevent.spawn(
            crash.send, "/safe/bad", number % NODES, body=str(number).encode()
        )
        gevent.sleep(0.05)
        good = [
            gevent.spawn(crash.send, "/safe/good", node)
            for node in range(NODES)
        ]
        gevent.joinall([bad, *good])
    digests = {
        digest
        for node in crash.fleet.nodes
        for digest, suspect in node.suspects.table.suspects.items()
        if suspect.cleared
    }
    assert len(digests) == 1
    crash.fleet.wait_until_up()
    answers = [crash.send("/safe/good", node) for node in range(NODES)]
    assert [answer.status for answer in answers] == [200] * NODES


# Guards against issue 24 at a node that started after the notices were sent.
def test_node_that_starts_later_knows_a_blocked_request(crash):
    """The reports of the others repeat it."""
    crash.block("/safe/bad")
    started = crash.fleet.add_node()
    wait_for(lambda: knows_block(started), NEWS_LIMIT_S)
    crash.fleet.wait_until_up()
    assert crash.send("/safe/bad", NODES).status == 503
    assert crash.crashes("/safe/bad") == ALLOWED_CRASHES


# Guards against a block that a node misses because the first report that it
# reads was written between two crashes.
def test_node_with_a_report_from_before_the_block_learns_of_it(
    crash, monkeypatch
):
    """Later reports complete what it knows."""
    crash.crash_on("/once/bad")
    crash.send("/once/bad", 0, method="POST")
    with monkeypatch.context() as held:
        wait_for(lambda: all(map(known_crashes, crash.fleet.nodes)))
        for node in crash.fleet.nodes:
            node.fleet.publish()
        held.setattr(FleetView, "publish", lambda self: None)
        # A relay would tell it of all crashes.
        held.setattr(RelayClient, "load_from_relay", lambda self: False)
        crash.block("/once/bad", method="POST")
        started = crash.fleet.add_node()
        wait_for(lambda: known_crashes(started))
        assert known_crashes(started) == [1]
    wait_for(lambda: knows_block(started), NEWS_LIMIT_S)
    assert crash.send("/once/bad", NODES, method="POST").status == 503
    assert crash.crashes("/once/bad") == ALLOWED_CRASHES


def test_line_names_a_request_under_which_a_server_ended(crash, caplog):
    """Requests that are the same have the same digest on all nodes."""
    caplog.set_level("INFO")
    crash.crash_on("/once/bad")
    for number in range(2):
        crash.fleet.wait_until_up()
        crash.send("/once/bad", number, method="POST", headers=stream_headers())
        wait_for(lambda n=number: len(ended_lines(caplog)) == n + 1)
    assert len({line.digest for line in ended_lines(caplog)}) == 1
    assert {line.parts for line in ended_lines(caplog)} == {("pool/aa",)}
    assert [line.request_id for line in ended_lines(caplog)] == [
        "request-1",
        "request-2",
    ]


def test_broken_connection_of_a_live_server_is_no_crash(crash, caplog):
    """A server that only loses an answer has not ended."""
    caplog.set_level("INFO")
    for server in crash.fleet.servers:
        server.faults.lose_answers = True
    crash.send("/safe/good", 0)
    gevent.sleep(0.1)
    assert ended_lines(caplog) == []


@pytest.mark.parametrize(
    "changes",
    [
        {"method": "PUT"},
        {"host": "b.example"},
        {"target": "/a/x?y"},
        {"body": b"other"},
    ],
)
def test_digest_tells_requests_apart(changes):
    """A request for something else is another request."""
    digest = request_digest("org", make_request())
    assert request_digest("org", make_request(**changes)) != digest


def test_digest_is_that_of_the_caller_and_what_it_asks():
    """A repetition has another id, deadline and key."""
    digest = request_digest("org", make_request())
    repeated = make_request(request_id="r-2", deadline=9_000.0, key="new")
    assert request_digest("org", repeated) == digest
    assert request_digest("other-org", repeated) != digest
    assert request_digest(None, repeated) != digest


def test_refused_connection_shows_that_a_server_ended():
    """Nobody listens at its address."""
    pool = make_pool()
    server = make_server(address=listener_addresses(1).pop())
    assert pool.check_path(server) is PathState.REFUSED


def test_server_without_an_answer_may_still_run(monkeypatch, caplog):
    """A VM that is cut off says nothing of the process."""
    caplog.set_level("INFO")

    def time_out(address, timeout_s):
        raise TimeoutError("timed out")

    monkeypatch.setattr(HttpConnection, "open", time_out)
    pool = make_pool()
    assert pool.check_path(make_server()) is PathState.UNKNOWN
    assert "cannot tell whether server s1 has ended" in caplog.text


@pytest.mark.parametrize(
    ("how", "state"),
    [
        ("reset", PathState.CLOSED),
        ("close", PathState.CLOSED),
        ("hold", PathState.OPEN),
    ],
)
def test_path_that_accepts_for_a_dead_server(how, state):
    """Only one that holds connections looks like that of a live server."""
    proxy = FaultProxy.from_config()
    [target] = listener_addresses(1)
    address = proxy.add_link("node", "server", target)
    proxy.links[address].when_down = how
    pool = make_pool()
    assert pool.check_path(make_server(address=address)) is state
    proxy.links[address].stop()


def test_path_of_a_live_server_is_open(crash):
    """It waits for a request."""
    [known, *_] = crash.fleet.nodes[0].servers.usable_servers("pool")
    pool = make_pool()
    assert pool.check_path(known) is PathState.OPEN
