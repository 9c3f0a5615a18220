"""Tests of answers of faulty servers that belong to no request or stream."""

import gevent.socket
import pytest
from _platform_fleet import PlatformFleet, stream_headers

from amaranthlug.transport.routing.http_client import HttpConnection


@pytest.fixture
def fleet():
    """A node and one server."""
    started = PlatformFleet(servers=1)
    yield started
    started.stop()


# Guards against an earlier refusal without a request id that is taken for the
# answer to a request which the server runs: its caller would be told that it
# has not run, or it would run once more.
@pytest.mark.parametrize("how", ["whole", "split", "chunked"])
@pytest.mark.parametrize("target", ["/once/", "/safe/", "/stream/"])
def test_refusal_of_an_earlier_request_answers_no_other(fleet, target, how):
    """Nor does it say anything of the server."""
    server = fleet.servers[0]
    server.faults.stale_refusal = how
    server.faults.delay_s = 0.02
    headers = stream_headers() if target == "/stream/" else ()
    for number in range(8):
        answer = fleet.call(
            f"{target}{number}", request_id=f"id-{number}", headers=headers
        )
        assert (answer.status, answer.whole) == (200, True)
        assert fleet.runs(f"id-{number}") == 1
    assert server.stale_refusals


ANSWER = (
    b"HTTP/1.1 200 OK\r\nServer-Seal: s\r\nAttempt-Id: id-1\r\n"
    b"Content-Type: text/plain\r\nContent-Length: 5\r\n\r\n"
)


# Guards against a head that ends early and is taken for one of a short answer.
def test_answer_that_stops_in_its_head_is_broken():
    """Wherever the server stopped, also after its last line."""
    for length in range(len(ANSWER) + 1):
        ours, theirs = gevent.socket.socketpair()
        theirs.sendall(ANSWER[:length])
        theirs.close()
        connection = HttpConnection(ours)
        with pytest.raises(OSError, match="ended before"):
            connection.read_head(1.0)
            connection.read_body(1.0)
        connection.close()
