"""Tests which log lines are written and that they contain no secrets."""

import io
import json
import logging

import gevent
import pytest
from _fakes import KEY, wait_for
from _fakes_fleet import Fleet
from _node import Node
from test_server import open_stream, send_request

from amaranthlug.coordination.lease_events import LeaseEvents
from amaranthlug.coordination.peers import PeerHandlers
from amaranthlug.state.leases import ALL_SLOTS
from amaranthlug.state.members import Member
from amaranthlug.transport.logs import (
    REPEAT_PERIOD_S,
    RepeatFilter,
    configure_logs,
)
from amaranthlug.transport.peer_auth import PeerKeys, PeerReceiver
from amaranthlug.transport.statsd_metrics import StatsdMetrics

PEER_KEY = "peer-secret-4711"
PROMPT = "planta-da-casa-0815"


@pytest.fixture
def read_lines():
    """Returns a function that gives all log lines as JSON, debug included."""
    root = logging.getLogger()
    before = root.handlers[:], root.level
    stream = io.StringIO()
    configure_logs("node-1", "DEBUG", stream)
    yield lambda: [json.loads(x) for x in stream.getvalue().splitlines()]
    root.handlers[:] = before[0]
    root.setLevel(before[1])


def cause_all_log_events(node):
    """Causes refusals, retries, an internal error and a disconnect."""
    messages = [{"role": "user", "content": PROMPT}]
    send_request(node, messages=messages, model=PROMPT)
    send_request(node, messages=messages, surprise=PROMPT)
    send_request(node, headers={"Authorization": f"Bearer x{KEY}"})
    node.stubs[0].faults = ["echo", "cut", "cut"]
    send_request(node, messages=messages)
    send_request(node, messages=messages, stream=True)
    node.stubs[1].faults = ["echo"]
    node.stubs[0].faults = ["echo"]
    send_request(node, messages=messages)
    chooser = node.bench.dispatcher.chooser
    original_choose = chooser.choose

    def fail(request, pinned):
        raise ValueError(f"cannot choose for {request.prompt} {KEY}")

    chooser.choose = fail
    send_request(node, messages=messages)
    chooser.choose = original_choose
    node.stubs[0].faults = ["mute"]
    chats = len(node.stubs[0].chats)
    sock = open_stream(node, messages=messages)
    wait_for(lambda: len(node.stubs[0].chats) > chats)
    sock.close()
    wait_for(lambda: node.stubs[0].deleted)


def test_neither_keys_nor_prompts_are_logged(read_lines, capsys):
    """Logs, read by more people than may see them, hold no keys or prompts."""
    node = Node()
    cause_all_log_events(node)
    node.stop()
    receiver = PeerReceiver(
        PeerKeys({"k1": PEER_KEY}),
        PeerHandlers(),
        Member("127.0.0.1:1", "a", "i"),
        StatsdMetrics(),
    )
    receiver.receive("bill_copy", f"k1:1:a:{PEER_KEY}", PROMPT.encode())
    signed = receiver.keys.sign("a", PROMPT.encode())
    receiver.receive("bill_copy", signed, PROMPT.encode())
    events = {line.get("event") for line in read_lines()}
    assert {"refused", "retried", "internal_error"} <= events
    captured = capsys.readouterr()
    text = json.dumps(read_lines()) + captured.out + captured.err
    for secret in (KEY, PEER_KEY, PROMPT):
        assert secret not in text


def test_refusals_are_logged_once_a_period(read_lines):
    """Repeated refusals give one line per period and do not flood the logs."""
    node = Node()
    for _ in range(5):
        send_request(node, headers={})
    node.stop()
    refused = [x for x in read_lines() if x.get("event") == "refused"]
    assert [x["subject"] for x in refused] == ["missing_key"]
    assert refused[0]["not_run"] == "True"


def test_suppressed_lines_are_counted():
    """The next line counts the suppressed ones, so a flood stays visible."""
    now = [0.0]
    limit = RepeatFilter(lambda: now[0])
    record = logging.makeLogRecord({"event": "refused", "subject": "x"})
    assert [limit.filter(record) for _ in range(4)] == [True] + [False] * 3
    now[0] = REPEAT_PERIOD_S
    assert limit.filter(record) and record.left_out == 3
    plain = logging.makeLogRecord({})
    assert limit.filter(plain) and limit.filter(plain)


def test_lost_leases_are_logged(read_lines):
    """A node that loses its slot leases, and so refuses work, logs it."""
    fleet = Fleet(3)
    fleet.run(12)
    node = max(
        fleet.nodes.values(),
        key=lambda n: sum(
            bool(n.slots.held_lease(s)) for s in range(ALL_SLOTS)
        ),
    )
    events = LeaseEvents(node.slots, ALL_SLOTS, node.timers, node.metrics)
    events.start()
    fleet.run(1)
    held = len(events.held)
    others = [a for a in fleet.nodes if a != node.me.address]
    fleet.cut([node.me.address], others)
    fleet.run(8)
    gevent.sleep(0)
    lost = [x for x in read_lines() if x.get("event") == "lease_lost"]
    assert held and lost
    assert node.metrics.counters["slots.leases_lost"] == held
