"""Tests the limits of what the client of engines and services reads."""

import gevent
import pytest
from gevent.server import StreamServer
from result import Err

from amaranthlug.transport.http_pool import HttpPools
from amaranthlug_standins.loopback import process_address

OK = b"HTTP/1.1 200 OK\r\n"
CHUNKED = OK + b"Transfer-Encoding: chunked\r\n\r\n"


@pytest.fixture
def endless_server():
    """Returns a function that starts a server of endless answers."""
    servers = []

    def start(first: bytes, repeated: bytes) -> str:
        def serve(sock, address):
            sock.recv(65_536)
            sock.sendall(first)
            while True:
                sock.sendall(repeated)
                gevent.sleep(0.001)

        servers.append(StreamServer((process_address(), 0), serve))
        servers[-1].start()
        return f"{process_address()}:{servers[-1].server_port}"

    yield start
    for server in servers:
        server.stop(timeout=0)


# Guards against issue 29: endless answers of an engine were read for ever.
@pytest.mark.parametrize(
    ("first", "repeated"),
    [
        pytest.param(
            b"", b"HTTP/1.1 100 Continue\r\n\r\n" * 1_000, id="interim heads"
        ),
        pytest.param(OK, b"X-Filler: xxxxxxxxxxxx\r\n" * 1_000, id="head"),
        pytest.param(CHUNKED + b"5;", b"x" * 65_536, id="chunk extension"),
        pytest.param(OK + b"\r\n", b"x" * 65_536, id="body"),
    ],
)
def test_endless_answer_is_malformed(endless_server, first, repeated):
    """The call ends with a typed error before its time is over."""
    address = endless_server(first, repeated)
    with gevent.Timeout(3.0):
        result = HttpPools().call(address, "GET", "/", timeout_s=5.0)
    assert isinstance(result, Err)
    assert result.err_value.reason == "malformed"
