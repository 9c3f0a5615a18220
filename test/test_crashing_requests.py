"""Tests of requests that crash the servers that run them, over loopback."""

import gevent
import pytest
from _platform_fleet import PlatformFleet, stream_headers, wait_for
from _routing import make_request, make_server

from amaranthlug.protocol.routing.crash_watch import request_digest
from amaranthlug.transport.routing.http_client import HttpConnection
from amaranthlug.transport.routing.upstreams import UpstreamPool
from amaranthlug_platform.headers import PlatformHeaders
from amaranthlug_platform_standins.soak_fleet import find_free_addresses

NODES = 4
SERVERS = 4
REPETITIONS = 8
ALLOWED_CRASHES = 3
"""Servers that may end under a request before no other one gets it."""


class CrashFleet:
    """Nodes before servers that one request crashes."""

    def __init__(self):
        """Starts nodes and servers."""
        self.fleet = PlatformFleet(NODES, SERVERS, events=1, event_s=0.0)
        self.requests = 0
        for server in self.fleet.servers:
            server.faults.crash_on = "/safe/bad"

    def send(self, target: str, node: int, **more):
        """Sends a request as a new one; returns its answer."""
        self.requests += 1
        return self.fleet.call(
            target, node=node, request_id=f"request-{self.requests}", **more
        )

    def wait_until_served(self) -> None:
        """Waits until all servers are up again and known to all nodes."""
        wait_for(
            lambda: (
                all(server.is_up for server in self.fleet.servers)
                and all(
                    {
                        entry.instance_key
                        for entry in node.servers.usable_servers("pool")
                    }
                    == {(s.server_id, s.started_ms) for s in self.fleet.servers}
                    for node in self.fleet.nodes
                )
            )
        )

    def crashes(self, target: str) -> int:
        """Returns how many servers ended under a request."""
        return sum(server.crashes[target] for server in self.fleet.servers)


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
@pytest.mark.parametrize(
    ("target", "method", "headers"),
    [
        ("/safe/bad", "GET", ()),
        ("/once/bad", "POST", ()),
        ("/stream/bad", "POST", stream_headers()),
    ],
)
def test_crashing_request_reaches_no_server_after_the_third(
    crash, target, method, headers
):
    """The third server that ends under it is the last one of the fleet."""
    for server in crash.fleet.servers:
        server.faults.crash_on = target
    for number in range(REPETITIONS):
        crash.wait_until_served()
        crash.send(target, number % NODES, method=method, headers=headers)
    assert crash.crashes(target) == ALLOWED_CRASHES


def test_line_names_a_request_under_which_a_server_ended(crash, caplog):
    """Requests that are the same have the same digest on all nodes."""
    caplog.set_level("INFO")
    for number in range(2):
        crash.wait_until_served()
        crash.send("/safe/bad", number)
        wait_for(lambda: len(ended_lines(caplog)) == crash.crashes("/safe/bad"))
    assert len({line.digest for line in ended_lines(caplog)}) == 1
    assert {line.request_id for line in ended_lines(caplog)} == {
        "request-1",
        "request-2",
    }


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
    """Its state is kept until its instance is no longer listed."""
    pool = UpstreamPool(PlatformHeaders())
    server = make_server(address=find_free_addresses(1).pop())
    assert pool.has_ended(server)
    pool.prune({server.instance_key})
    assert pool.ended == {server.instance_key}
    pool.prune(set())
    assert not pool.ended


def test_server_without_an_answer_may_still_run(monkeypatch, caplog):
    """A VM that is cut off says nothing of the process."""
    caplog.set_level("INFO")

    def time_out(address, timeout_s):
        raise TimeoutError("timed out")

    monkeypatch.setattr(HttpConnection, "open", time_out)
    pool = UpstreamPool(PlatformHeaders())
    assert not pool.has_ended(make_server())
    assert "cannot tell whether server s1 has ended" in caplog.text
