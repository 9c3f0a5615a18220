"""Guards the node's endpoints over real sockets."""

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

WHOLE = "".join(word + " " for word in WORDS)
CALLER = {"Authorization": f"Bearer {KEY}", "X-Request-Kind": "describe"}


@pytest.fixture
def node():
    """Returns a running node."""
    node = Node()
    yield node
    node.stop()


def ask(node, stream=False, headers=CALLER, method="POST", path=None, **body):
    """Sends a request; returns status, headers and body."""
    body = {
        "model": "auto",
        "messages": [{"role": "user", "content": "Olá"}],
        "stream": stream,
        **body,
    }
    client = HTTPClient("127.0.0.1", node.port, network_timeout=10)
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
    sock = socket.create_connection(("127.0.0.1", node.port), timeout=10)
    head = "".join(f"{name}: {value}\r\n" for name, value in CALLER.items())
    sock.sendall(
        f"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n{head}"
        f"Content-Length: {len(raw)}\r\n\r\n{raw}".encode()
    )
    return sock


def test_whole_and_streamed_answers(node):
    """An answer that differs between the socket and the dispatcher."""
    status, response, raw = ask(node)
    assert status == 200
    assert json.loads(raw)["choices"][0]["message"]["content"] == WHOLE
    assert response["X-Cost"] == "21"
    status, response, raw = ask(node, stream=True)
    events = [e[6:] for e in raw.decode().split("\n\n") if e.strip()]
    assert joined_text(events) == WHOLE
    assert events[-1] == "[DONE]"
    assert response["X-Version"] == "1"
    node.bench.check_settled()


def test_refusals_have_their_shape(node):
    """A refusal that callers cannot tell from a broken server."""
    status, _, raw = ask(node, headers={})
    assert (status, json.loads(raw)["error"]["code"]) == (401, "missing_key")
    status, _, raw = ask(node, user="x" * 200_000)
    assert (status, json.loads(raw)["error"]["code"]) == (413, "body_too_large")
    status, _, raw = ask(node, path="/nowhere")
    assert (status, json.loads(raw)["error"]["not_run"]) == (404, True)
    node.bench.limits.refusal = refuse(
        RefusalCode.LIMIT_EXCEEDED, "limit", "wait", retry_after_s=0.4
    )
    status, response, _ = ask(node)
    assert (status, response["Retry-After"]) == (429, "1")


def test_operators_and_entry(node):
    """An endpoint that is missing or has another shape."""
    status, _, raw = ask(node, method="GET", path="/v1/entry?zone=sala-b")
    assert json.loads(raw)["entries"][0]["zone"] == "sala-b"
    assert ask(node, method="GET", path="/healthz")[0] == 200
    ask(node, headers={})
    metrics = json.loads(ask(node, method="GET", path="/metricsz")[2])
    assert metrics["counters"]["refused.missing_key"] == 1
    status = json.loads(ask(node, method="GET", path="/statusz")[2])
    assert status == {"revision": 1}
    node.server.leaving = True
    assert ask(node, method="GET", path="/healthz")[0] == 503


def test_peer_messages_reach_their_part(node):
    """A message of a peer that loses its name, header or body."""
    assert ask(node, path="/peer/echo")[0] == 401
    good = {"X-Peer-Auth": "good"}
    status, _, raw = ask(node, path="/peer/echo", headers=good, to="me")
    assert (status, json.loads(raw)["to"]) == (200, "me")


def test_silent_upstream_is_replaced(node):
    """A caller that waits for a connection that went silent for good."""
    node.bench.pace.observe(next(iter(node.bench.catalog.now.versions)), 0, 0)
    node.stubs[0].faults = ["silent", "silent"]
    _, _, raw = ask(node, stream=True)
    events = [e[6:] for e in raw.decode().split("\n\n") if e.strip()]
    assert joined_text(events) == WHOLE
    assert events[-1] == "[DONE]"
    # A second silence is not waited for at the same server again.
    assert node.stubs[0].resumed == ["after=3"]
    assert node.stubs[1].chats[0]["continue_tokens"] == 6
    node.bench.check_settled()


def test_caller_that_leaves_stops_the_engine(node):
    """Tokens generated and sent for a caller that is gone."""
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
def test_silent_idle_connections_do_not_refuse(node, stream):
    """A refusal although every server works on a new connection."""
    node.bench.pace.observe(next(iter(node.bench.catalog.now.versions)), 0, 0)
    for stub in node.stubs:
        node.bench.engine.cancel(stub.address, "none")
        stub.silence()
    status, _, _ = ask(node, stream=stream)
    assert status == 200
    node.bench.check_settled()


@pytest.mark.parametrize("stream", [True, False])
def test_caller_that_leaves_before_the_first_token(node, stream):
    """An engine that works on for a caller who was never seen to leave."""
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


def test_caller_of_a_whole_answer_that_leaves(node):
    """An engine that finishes a whole answer for a caller that is gone."""
    stub = node.stubs[0]
    stub.words, stub.pause_s = ["palavra"] * 2_000, 0.002
    sock = open_stream(node, stream=False)
    wait_for(lambda: stub.sent > 10)
    sock.close()
    wait_for(lambda: stub.deleted)
    assert node.bench.biller.bills[0].outcome == "cancelled"
    node.bench.check_settled()


def test_slow_reader_is_bounded():
    """Memory that a caller who does not read fills without end."""
    node = Node(stall_s=0.3)
    stub = node.stubs[0]
    stub.words = ["p" * 1_000] * 30_000
    sock = open_stream(node)
    sock.setsockopt(plain_socket.SOL_SOCKET, plain_socket.SO_RCVBUF, 4_096)
    wait_for(lambda: node.bench.biller.bills)
    assert node.bench.biller.bills[0].outcome == "cancelled"
    # Kernel buffers of three sockets hold a few MB; 30 MB were asked for.
    assert stub.sent < 20_000
    node.bench.check_settled()
    sock.close()
    node.stop()


def test_shutdown_cuts_no_request(node):
    """A request that is cut because its node stops."""
    node.stubs[0].pause_s = 0.05
    running = [gevent.spawn(ask, node, True) for _ in range(3)]
    wait_for(lambda: node.server.running == 3)
    stopped = gevent.spawn(node.server.drain)
    gevent.sleep(0.05)
    late = gevent.spawn(ask, node, True)
    gevent.joinall([*running, late], timeout=5, raise_error=True)
    for job in [*running, late]:
        assert job.value[2].endswith(b"data: [DONE]\n\n")
    stopped.join(timeout=5)
    assert stopped.successful()
    node.bench.check_settled()


def test_shutdown_ends_although_others_go_on(node):
    """A shutdown that lasts as long as peers or probes ask the node."""

    def talk():
        while True:
            ask(node, path="/peer/echo", headers={"X-Peer-Auth": "good"})
            ask(node, method="GET", path="/healthz")
            gevent.sleep(0.1)

    talker = gevent.spawn(talk)
    gevent.sleep(0.2)
    stopped = gevent.spawn(node.server.drain)
    stopped.join(timeout=4)
    talker.kill()
    assert stopped.ready()


@pytest.mark.processes
def test_official_client_works_unchanged(node):
    """A deviation from the OpenAI shape that its client rejects."""
    # A process of its own: the client blocks, which would stop the node.
    script = ROOT / "test" / "_openai_caller.py"
    output = subprocess.check_output(
        [sys.executable, str(script), str(node.port), KEY], timeout=20
    )
    assert json.loads(output) == {
        "whole": WHOLE,
        "whole_tokens": 8,
        "streamed": WHOLE,
        "streamed_tokens": 8,
        "cost": 21,
        "refused": "bad_request",
    }
