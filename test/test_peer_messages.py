"""Tests peer messages: authentication, encoding and broken connections."""

import json

import gevent
import pytest
from gevent import pywsgi
from gevent.pool import Pool
from gevent.server import StreamServer

from amaranthlug.coordination.peers import PeerHandlers
from amaranthlug.state.members import Member
from amaranthlug.transport.peer_auth import PeerKeys, PeerReceiver
from amaranthlug.transport.peer_client import HttpPeerLink
from amaranthlug.transport.peer_wire import decode_message, encode_message
from amaranthlug.transport.statsd_metrics import StatsdMetrics
from amaranthlug_standins.loopback import process_address

KEYS = {"k2": "new", "k1": "old"}


class ReceiverServer:
    """A message receiver behind a real socket."""

    def __init__(self, port=0):
        """Serves on a port, 0 for a free one."""
        self.handlers = PeerHandlers()
        self.handlers.register("echo", lambda message: message)
        self.metrics = StatsdMetrics()
        self.member = Member("127.0.0.1:0", "a", "inc-2")
        self.receiver = PeerReceiver(
            PeerKeys(KEYS), self.handlers, self.member, self.metrics
        )
        self.server = pywsgi.WSGIServer(
            (process_address(), port), self.app, log=None, spawn=Pool()
        )
        self.server.start()
        self.address = f"{process_address()}:{self.server.server_port}"

    def app(self, environ, start_response):
        """Passes a request to the receiver (WSGI)."""
        status, data = self.receiver.receive(
            environ["PATH_INFO"].rpartition("/")[2],
            environ.get("HTTP_X_PEER_AUTH", ""),
            environ["wsgi.input"].read(),
        )
        start_response(f"{status} X", [("Content-Length", str(len(data)))])
        return [data]


def make_link(keys=KEYS):
    """Returns a peer client."""
    me = Member("127.0.0.1:9", "a", "inc-1")
    return HttpPeerLink(PeerKeys(keys), me, StatsdMetrics())


@pytest.fixture
def served():
    """Returns a running receiver and stops it after the test."""
    served = ReceiverServer()
    yield served
    served.server.stop()


def test_message_and_reply_are_counted(served):
    """Both sides count control traffic, which has a byte budget, equally."""
    client = make_link()
    reply = client.call(served.address, "echo", {"x": 1}, 2.0).ok_value
    assert reply["sender"] == "127.0.0.1:9"
    assert reply["incarnation"] == "inc-1"
    sent = client.metrics.counters
    received = served.metrics.counters
    assert sent["control.messages_sent"] == 1
    assert sent["control.bytes_sent"] == received["control.bytes_received"]
    assert sent["control.bytes_received"] == received["control.bytes_sent"]


def test_replication_is_counted_apart_from_control(served):
    """Replication, which grows with requests, is not counted as control.

    It would hide how control traffic grows with the number of nodes.
    """
    served.handlers.register("slot_copy", lambda message: {})
    client = make_link()
    assert client.call(served.address, "slot_copy", {}, 2.0).is_ok()
    assert client.metrics.counters["replication.bytes_sent"] > 0
    assert not any(n.startswith("control.") for n in client.metrics.counters)
    assert served.metrics.counters["replication.bytes_received"] > 0


@pytest.mark.parametrize("count", [0, 3, 5_000])
def test_encoding_keeps_messages_unchanged(count):
    """Encoding keeps a message unchanged; corrupted bytes are rejected."""
    message = {"rows": [{"key": f"ü-{i}", "n": i} for i in range(count)]}
    packed = encode_message(message)
    assert decode_message(packed) == message
    for broken in (packed[:-1], b"1" + packed, b""):
        with pytest.raises(ValueError):
            decode_message(broken)


def test_peer_that_closes_without_an_answer_is_an_error():
    """A connection closed without a reply gives an error, not an exception.

    When a peer is killed, an exception would end the tasks that copy bills
    and fail requests.
    """
    server = StreamServer((process_address(), 0), lambda sock, _: sock.recv(1))
    server.start()
    reply = make_link().call(
        f"{process_address()}:{server.server_port}", "echo", {}, 2.0
    )
    server.stop()
    assert reply.is_err() and not reply.err_value.not_received


@pytest.mark.parametrize(
    ("keys", "accepted"),
    [({"k1": "old"}, True), ({"k1": "bad"}, False), ({"k3": "x"}, False)],
)
def test_only_listed_keys_verify(served, keys, accepted):
    """Every listed key verifies during a rotation; other keys do not."""
    reply = make_link(keys).call(served.address, "echo", {}, 2.0)
    assert reply.is_ok() == accepted


@pytest.mark.parametrize("skew_s", [-61, 61])
def test_old_message_is_refused(skew_s):
    """A captured message cannot be replayed after the clock tolerance."""
    wall = [1_000.0]
    keys = PeerKeys(KEYS, lambda: wall[0])
    header = keys.sign("a:1", b"{}")
    assert keys.verify(header, b"{}").ok_value == "a:1"
    assert keys.verify(header, b"{ }").is_err()
    wall[0] += skew_s
    assert keys.verify(header, b"{}").is_err()


@pytest.mark.parametrize("header", ["", ":::", "k1:x:a:1:00", "k1:1:ü:ü"])
def test_malformed_header_is_refused(header):
    """A malformed header is refused without an exception."""
    assert PeerKeys(KEYS).verify(header, b"").is_err()


def test_sender_in_the_body_must_be_the_signed_one(served):
    """A node cannot send messages in the name of another one."""
    body = json.dumps({"sender": "b:2", "incarnation": "x"}).encode()
    header = PeerKeys(KEYS).sign("a:1", body)
    assert served.receiver.receive("echo", header, body)[0] == 401


def test_message_to_a_previous_process_is_refused(served):
    """A message to a previous process is refused by its successor.

    A promise meant for the old process must not bind the new one.
    """
    reply = make_link().call(served.address, "echo", {"to": "inc-1"}, 2.0)
    assert reply.err_value.not_received
    assert (
        make_link().call(served.address, "echo", {"to": "inc-2"}, 2.0).is_ok()
    )


def test_restarted_peer_is_reached_over_a_new_connection(served):
    """A restarted peer is reached although idle connections to it are dead."""
    client = make_link()
    assert client.call(served.address, "echo", {}, 2.0).is_ok()
    served.server.stop(timeout=0)
    broken = client.call(served.address, "echo", {}, 2.0)
    assert not broken.err_value.not_received  # The peer may have handled it.
    refused = client.call(served.address, "echo", {}, 2.0)
    assert refused.err_value.not_received
    again = ReceiverServer(served.server.server_port)
    assert client.call(served.address, "echo", {}, 2.0).is_ok()
    again.server.stop()


@pytest.mark.parametrize("answer", [b"", b"garbage\r\n\r\n", b"HTTP/1.1 2"])
def test_cut_or_malformed_reply_is_an_error(answer):
    """A truncated or malformed reply gives an error, not an exception.

    An exception would end the task that sent the message.
    """

    def handle(sock, _):
        sock.recv(65_536)
        sock.sendall(answer)
        sock.close()

    server = StreamServer((process_address(), 0), handle)
    server.start()
    address = f"{process_address()}:{server.server_port}"
    reply = make_link().call(address, "echo", {}, 2.0)
    assert not reply.err_value.not_received
    server.stop()


def test_timeout_of_the_caller_is_raised(served):
    """A time-out set by the caller is raised, not turned into an error.

    Otherwise a shutdown with a time-out waits for an unresponsive peer.
    """
    served.handlers.register("slow", lambda message: gevent.sleep(1) or {})
    with pytest.raises(gevent.Timeout), gevent.Timeout(0.05):
        make_link().call(served.address, "slow", {}, 2.0)


def test_connection_of_a_timed_out_peer_is_closed(served):
    """A connection that timed out is not reused.

    Its late reply would be taken for the reply to the next message.
    """

    def slow(message):
        gevent.sleep(0.3)
        return {"late": True}

    served.handlers.register("slow", slow)
    client = make_link()
    timed_out = client.call(served.address, "slow", {}, 0.05)
    assert not timed_out.err_value.not_received
    assert client.idle.get(served.address, []) == []
    assert "late" not in client.call(served.address, "echo", {}, 2.0).ok_value
