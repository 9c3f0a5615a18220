"""Tests the node's endpoints over real sockets."""

import json
import socket as plain_socket
import sys

import gevent
import pytest
from _common import ROOT
from _fakes import KEY, WORDS, joined_text, wait_for
from _node import Node
from gevent import socket, subprocess
from geventhttpclient import HTTPClient

from amaranthlug.state.refusal import RefusalCode, refuse
from amaranthlug_standins.loopback import process_address

WHOLE = "".join(word + " " for word in WORDS)
CALLER = {"Authorization": f"Bearer {KEY}", "X-Request-Kind": "describe"}


@pytest.fixture
def node():
    """Returns a running node."""
    node = Node()
    yield node
    node.stop()


def send_request(
    node, stream=False, headers=CALLER, method="POST", path=None, **body
):
    """Sends a request; returns status, headers and body."""
    body = {
        "model": "auto",
        "messages": [{"role": "user", "content": "Olá"}],
        "stream": stream,
        **body,
    }
    client = HTTPClient(process_address(), node.port, network_timeout=10)
    raw = json.dumps(body) if method == "POST" else ""
    target = path or "/v1/chat/completions"
    response = client.request(method, target, raw, headers)
    return response.status_code, response, response.read()


def open_stream(node, **body):
    """Sends a streamed request on a socket of its own."""
    raw = json.dumps(
        {
            "model": "auto",
            "messages": [{"role": "user", "content": "Olá"}],
            "stream": True,
            **body,
        }
    )
    sock = socket.create_connection((process_address(), node.port), timeout=10)
    head = "".join(f"{name}: {value}\r\n" for name, value in CALLER.items())
    sock.sendall(
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{head}"
        f"Content-Length: {len(raw)}\r\n\r\n{raw}".encode()
    )
    return sock


def test_whole_and_streamed_answers_are_unchanged(node):
    """Whole and streamed answers reach the caller unchanged."""
    status, response, raw = send_request(node)
    assert status == 200
    assert json.loads(raw)["choices"][0]["message"]["content"] == WHOLE
    assert response["X-Cost"] == "21"
    status, response, raw = send_request(node, stream=True)
    events = [e[6:] for e in raw.decode().split("\n\n") if e.strip()]
    assert joined_text(events) == WHOLE
    assert events[-1] == "[DONE]"
    assert response["X-Version"] == "1"
    node.bench.check_settled()


def test_refusals_have_a_code_and_status(node):
    """Refusals have a code, so callers can tell them from server errors."""
    status, _, raw = send_request(node, headers={})
    assert (status, json.loads(raw)["error"]["code"]) == (401, "missing_key")
    status, _, raw = send_request(node, user="x" * 200_000)
    assert (status, json.loads(raw)["error"]["code"]) == (413, "body_too_large")
    status, _, raw = send_request(node, path="/nowhere")
    assert (status, json.loads(raw)["error"]["not_run"]) == (404, True)
    node.bench.limits.refusal = refuse(
        RefusalCode.LIMIT_EXCEEDED, "limit", "wait", retry_after_s=0.4
    )
    status, response, _ = send_request(node)
    assert (status, response["Retry-After"]) == (429, "1")


def test_operator_and_entry_endpoints(node):
    """The operator and entry endpoints exist and keep their format."""
    status, _, raw = send_request(
        node, method="GET", path="/v1/entry?zone=sala-b"
    )
    assert json.loads(raw)["entries"][0]["zone"] == "sala-b"
    assert send_request(node, method="GET", path="/healthz")[0] == 200
    send_request(node, headers={})
    metrics = json.loads(send_request(node, method="GET", path="/metricsz")[2])
    assert metrics["counters"]["refused.missing_key"] == 1
    status = json.loads(send_request(node, method="GET", path="/statusz")[2])
    assert status == {"revision": 1}
    node.server.leaving = True
    assert send_request(node, method="GET", path="/healthz")[0] == 503


def test_peer_messages_reach_the_receiver(node):
    """A peer message arrives with its name, header and body."""
    assert send_request(node, path="/peer/echo")[0] == 401
    good = {"X-Peer-Auth": "good"}
    status, _, raw = send_request(
        node, path="/peer/echo", headers=good, to="me"
    )
    assert (status, json.loads(raw)["to"]) == (200, "me")


def test_stalled_upstream_is_replaced(node):
    """A stream whose connection stalls is continued on another one.

    Otherwise the caller waits on a dead connection.
    """
    node.bench.pace.observe(next(iter(node.bench.catalog.now.versions)), 0, 0)
    node.stubs[0].faults = ["silent", "silent"]
    _, _, raw = send_request(node, stream=True)
    events = [e[6:] for e in raw.decode().split("\n\n") if e.strip()]
    assert joined_text(events) == WHOLE
    assert events[-1] == "[DONE]"
    # After a second stall the same server is not tried again.
    assert node.stubs[0].resumed == ["after=3"]
    assert node.stubs[1].chats[0]["continue_tokens"] == 6
    node.bench.check_settled()


def test_caller_disconnect_stops_the_engine(node):
    """The engine stops generating tokens when the caller disconnects."""
    stub = node.stubs[0]
    stub.words, stub.pause_s = ["palavra"] * 2_000, 0.002
    sock = open_stream(node)
    sock.recv(1_000)
    sock.close()
    wait_for(lambda: stub.deleted)
    (bill,) = node.bench.biller.bills
    assert bill.outcome == "cancelled"
    assert 0 < bill.output_tokens < 500
    node.bench.check_settled()


@pytest.mark.parametrize("stream", [True, False])
def test_dead_idle_connections_cause_no_refusal(node, stream):
    """Dead idle connections cause no refusal if new connections work."""
    node.bench.pace.observe(next(iter(node.bench.catalog.now.versions)), 0, 0)
    for stub in node.stubs:
        node.bench.engine.cancel(stub.address, "none")
        stub.silence()
    status, _, _ = send_request(node, stream=stream)
    assert status == 200
    node.bench.check_settled()


@pytest.mark.parametrize("stream", [True, False])
def test_caller_disconnect_before_the_first_token(node, stream):
    """A disconnect before the first token cancels the request.

    Nothing is written to the caller at that time, so no write error reveals
    the disconnect and the engine would go on.
    """
    stub = node.stubs[0]
    stub.faults = ["mute"]
    sock = open_stream(node, stream=stream)
    wait_for(lambda: stub.chats)
    gevent.sleep(0.15)
    sock.close()
    wait_for(lambda: stub.deleted, timeout_s=0.3)
    (bill,) = node.bench.biller.bills
    assert (bill.outcome, bill.output_tokens) == ("cancelled", 0)
    assert bill.prompt_tokens > 0
    counters = node.bench.metrics.counters
    assert counters["callers_left.before_first_token"] == 1
    assert node.bench.chooser.ended[0][1] == "cancelled"
    assert not node.bench.dispatcher.disconnect_watch.waiting
    node.bench.check_settled()


def test_caller_disconnect_during_a_whole_answer(node):
    """A disconnect during a whole answer stops the engine."""
    stub = node.stubs[0]
    stub.words, stub.pause_s = ["palavra"] * 2_000, 0.002
    sock = open_stream(node, stream=False)
    wait_for(lambda: stub.sent > 10)
    sock.close()
    wait_for(lambda: stub.deleted)
    assert node.bench.biller.bills[0].outcome == "cancelled"
    node.bench.check_settled()


def test_caller_that_does_not_read_is_disconnected():
    """A caller that does not read is disconnected.

    Otherwise its answer is buffered in memory without limit.
    """
    node = Node(stall_s=0.3)
    stub = node.stubs[0]
    stub.words = ["p" * 1_000] * 30_000
    sock = open_stream(node)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, 4_096)
    wait_for(lambda: node.bench.biller.bills)
    assert node.bench.biller.bills[0].outcome == "cancelled"
    # The answer has 30 MB, of which kernel buffers hold only a few.
    assert stub.sent < 20_000
    node.bench.check_settled()
    sock.close()
    node.stop()


def test_shutdown_finishes_requests(node):
    """A shutdown lets running and late requests finish."""
    node.stubs[0].pause_s = 0.05
    running = [gevent.spawn(send_request, node, True) for _ in range(3)]
    wait_for(lambda: node.server.running == 3)
    stopped = gevent.spawn(node.server.drain)
    gevent.sleep(0.05)
    late = gevent.spawn(send_request, node, True)
    gevent.joinall([*running, late], timeout=5, raise_error=True)
    for request in [*running, late]:
        assert request.value[2].endswith(b"data: [DONE]\n\n")
    stopped.join(timeout=5)
    assert stopped.successful()
    node.bench.check_settled()


def test_peers_and_probes_do_not_prolong_shutdown(node):
    """Peer messages and health probes do not prolong a shutdown."""

    def send_forever():
        while True:
            send_request(
                node, path="/peer/echo", headers={"X-Peer-Auth": "good"}
            )
            send_request(node, method="GET", path="/healthz")
            gevent.sleep(0.1)

    sender = gevent.spawn(send_forever)
    gevent.sleep(0.2)
    stopped = gevent.spawn(node.server.drain)
    stopped.join(timeout=4)
    sender.kill()
    assert stopped.ready()


@pytest.mark.processes
def test_official_openai_client_works(node):
    """The official OpenAI client accepts the answers and refusals."""
    # The blocking client needs its own process; here it would block the node.
    script = ROOT / "test" / "_openai_caller.py"
    output = subprocess.check_output(
        [
            sys.executable,
            str(script),
            f"{process_address()}:{node.port}",
            KEY,
        ],
        timeout=20,
    )
    assert json.loads(output) == {
        "whole": WHOLE,
        "whole_tokens": 8,
        "streamed": WHOLE,
        "streamed_tokens": 8,
        "cost": 21,
        "refused": "bad_request",
    }
