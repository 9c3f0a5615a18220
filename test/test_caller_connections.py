"""Tests that no request on a connection of a caller ends unanswered."""

import dataclasses
import time

import gevent
import pytest
from _platform_fleet import read_answer

from amaranthlug.state.routing.config import CallerLimits
from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug.transport.routing.http_server import HttpServer
from amaranthlug.transport.routing.server_limits import ServerLimits
from amaranthlug_standins.loopback import listener_addresses

IDLE_S = 0.2
"""Time after which an idle connection is closed in these tests."""


class EchoServer:
    """A server whose handler answers with the target or fails.

    Attributes:
        failure: Raised by the handler instead of an answer.
        fails_late: The handler fails after the head of a stream was sent.
        delay_s: Delay before each answer, in seconds.
    """

    def __init__(self):
        """Starts to listen."""
        self.limits = CallerLimits(idle_timeout_s=IDLE_S)
        self.failure: Exception | None = None
        self.fails_late = False
        self.delay_s = 0.0
        self.address = listener_addresses(1).pop()
        self.server = HttpServer(
            self.address, self.handle, ServerLimits(lambda: self.limits)
        )
        self.server.start()

    def handle(self, incoming, responder):
        """Answers with the target of the request, or fails."""
        gevent.sleep(self.delay_s)
        if self.fails_late:
            responder.start_stream(200, [], b"first")
        if self.failure is not None:
            raise self.failure
        responder.send_response(200, [], incoming.target.encode())

    def connect(self):
        """Returns a connection whose reader waits for a request."""
        connection = HttpConnection.open(self.address, 1.0)
        gevent.sleep(0.02)
        assert len(self.server.idle) == 1
        return connection


@pytest.fixture
def server():
    """A running server."""
    started = EchoServer()
    yield started
    started.server.stop_accepting()
    started.server.pool.kill(block=False)


def render(target="/a", headers=()):
    """Returns the bytes of a request."""
    return render_request("GET", target, [("Host", "a"), *headers], b"")


def render_post(body):
    """Returns the bytes of a request with a body."""
    headers = [("Host", "a"), ("Content-Length", str(len(body)))]
    return render_request("POST", "/a", headers, body)


def test_request_that_arrived_in_time_is_read_after_a_busy_loop(server):
    """Time limit and data are both due when the loop goes on."""
    connection = server.connect()
    connection.send(render(), 1.0)
    time.sleep(2 * IDLE_S)  # Blocks the event loop.
    assert read_answer(connection, 1.0).body == b"/a"


def test_request_whose_rest_arrived_in_time_is_answered(server):
    """The limit for a request that has begun is checked in the same way."""
    server.limits = CallerLimits(header_timeout_s=IDLE_S)
    connection = server.connect()
    data = render()
    connection.send(data[:10], 1.0)
    gevent.sleep(0.02)
    connection.send(data[10:], 1.0)
    time.sleep(2 * IDLE_S)  # Blocks the event loop.
    assert read_answer(connection, 1.0).status == 200


# Guards against issue 29 beside a change of the configuration: connections that
# were idle kept the limit that was in force when they fell idle.
def test_raised_idle_limit_holds_for_idle_connections(server):
    """Callers use the new limit as soon as it is in force."""
    connection = server.connect()
    server.limits = CallerLimits(idle_timeout_s=10 * IDLE_S)
    gevent.sleep(3 * IDLE_S)
    connection.send(render(), 1.0)
    assert read_answer(connection, 1.0).body == b"/a"


def test_connection_that_stays_idle_is_closed(server):
    """Connections are bounded."""
    connection = server.connect()
    gevent.sleep(2 * IDLE_S)
    assert not connection.is_open_and_idle()


# Guards against issue 29: the reader of an idle connection was ended although a
# request had arrived meanwhile.
def test_request_that_crosses_the_end_of_the_listener_is_answered(server):
    """The connection is looked at again at the moment at which it is closed."""
    connection = server.connect()
    server.server.stop_accepting()
    connection.send(render(), 1.0)
    assert read_answer(connection, 1.0).body == b"/a"


# Guards against issue 29 at a node that stops: a next request that has been
# received already would end unanswered with its connection.
@pytest.mark.parametrize("received", ["at once", "later"])
def test_received_requests_are_answered_after_the_end_of_the_listener(
    server, received
):
    """It was received before or while the first one is answered."""
    server.delay_s = 0.1
    connection = server.connect()
    connection.send(render("/a"), 1.0)
    if received == "later":
        gevent.sleep(0.02)
    connection.send(render("/b"), 1.0)
    gevent.sleep(0.02)
    server.server.stop_accepting()
    assert read_answer(connection, 1.0).body == b"/a"
    assert read_answer(connection, 1.0).body == b"/b"


# Guards against issue 29 at a node that stops: it would exit while a request
# that has arrived is not read yet.
def test_request_that_is_not_read_yet_counts_as_active(server):
    """An idle connection does not count."""
    connection = server.connect()
    assert server.server.active_connections() == 0
    connection.send(render(), 1.0)
    assert server.server.active_connections() == 1
    assert read_answer(connection, 1.0).body == b"/a"


# Guards against issue 29: a request whose handler failed got no answer.
@pytest.mark.parametrize(
    "failure", [ValueError("unexpected"), OSError("not of the caller")]
)
def test_unexpected_error_is_answered(server, failure):
    """The status promises nothing; the request may have run."""
    server.failure = failure
    connection = server.connect()
    connection.send(render(), 1.0)
    answer = read_answer(connection, 1.0)
    assert answer.status == 500
    assert answer.whole


def test_unexpected_error_in_a_stream_cuts_it(server):
    """A stream that failed must not look complete."""
    server.failure = ValueError("unexpected")
    server.fails_late = True
    connection = server.connect()
    connection.send(render(), 1.0)
    answer = read_answer(connection, 1.0)
    assert answer.body == b"first"
    assert not answer.whole


# Guards against issue 29: malformed bytes behind a request hid the request.
@pytest.mark.parametrize(
    "headers", [(), (("Connection", "close"),)], ids=["kept", "closed"]
)
def test_request_before_malformed_bytes_is_answered(server, headers):
    """The bytes are rejected after the answer."""
    connection = server.connect()
    connection.send(render(headers=headers) + b"\x01nonsense\r\n\r\n", 1.0)
    assert read_answer(connection, 1.0).body == b"/a"


def test_request_without_memory_for_its_copy_is_answered_once(server):
    """Guards against a refusal that follows the answer without a request."""
    memory = server.server.limits.memory
    other = memory.add(lambda: None)
    memory.resize(other, memory.limit_bytes - 10_000)
    connection = server.connect()
    body = b"x" * 30_000
    connection.send(render_post(body), 1.0)
    assert read_answer(connection, 1.0).body == b"/a"
    connection.send(render("/b"), 1.0)
    assert read_answer(connection, 1.0).body == b"/b"


def test_request_without_memory_is_refused_with_a_time_to_come_back(server):
    """Its caller learns that nothing ran, and when to send it again."""
    memory = server.server.limits.memory
    other = memory.add(lambda: None)
    memory.resize(other, memory.limit_bytes)
    connection = server.connect()
    body = b"x" * 300_000
    connection.send(render_post(body), 1.0)
    answer = read_answer(connection, 1.0)
    assert answer.status == 503
    assert 0.3 <= float(answer.headers["retry-after"]) <= 0.8


def test_body_must_be_complete_by_the_deadline_of_its_caller(server):
    """Guards against a body that goes on for ever in small steps."""
    server.server.limits = dataclasses.replace(
        server.server.limits, body_time_s=lambda _: IDLE_S
    )
    server.limits = CallerLimits(idle_timeout_s=10 * IDLE_S)
    connection = HttpConnection.open(server.address, 1.0)
    head = b"POST /a HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n"
    connection.send(head, 1.0)
    status = None
    for _ in range(50):
        try:
            connection.send(b"x", 1.0)
            status = read_answer(connection, IDLE_S / 4).status
            break
        except TimeoutError:
            continue
    assert status == 408
