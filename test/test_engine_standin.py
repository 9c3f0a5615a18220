"""Tests the request path of a node against engine stand-ins with faults."""

import json

import gevent
import pytest
from _fakes import CHEAP, joined_text, wait_for
from _node import Node
from test_server import CALLER, send_request

from amaranthlug_standins.answers import answer_words
from amaranthlug_standins.batch import Pace
from amaranthlug_standins.engine import EngineStandIn

PROMPT = "Descreva a sala words:60"
EXPECTED = "".join(w + " " for w in answer_words(PROMPT, str(CHEAP), True))
MESSAGES = [{"role": "user", "content": PROMPT}]


@pytest.fixture
def node():
    """Runs a node in front of two engines."""
    pace = Pace(step_ms=2.0, tick_ms=2.0)
    engines = [
        EngineStandIn.from_config(versions=(str(CHEAP),), pace=pace).start()
        for _ in range(2)
    ]
    node = Node(engines)
    node.bench.pace.observe(CHEAP, 0.01, 0.002)
    yield node
    node.stop()


def check_answer(node, stream=True, headers=CALLER):
    """Sends a request and checks that its answer is complete and billed."""
    status, _, raw = send_request(node, stream, headers, messages=MESSAGES)
    assert status == 200
    if stream:
        events = [e[6:] for e in raw.decode().split("\n\n") if e.strip()]
        assert events[-1] == "[DONE]"
        assert joined_text(events) == EXPECTED
        assert json.loads(events[-2])["usage"]["completion_tokens"] == 60
    else:
        text = json.loads(raw)["choices"][0]["message"]["content"]
        assert text == EXPECTED
    assert node.bench.biller.bills[-1].output_tokens == 60


def test_engines_without_faults(node):
    """Guards against a mismatch of the adapter and the engine interface."""
    for stream in (True, False):
        check_answer(node, stream)
    assert len(node.stubs[0].seen()["runs"]) == 2
    assert node.stubs[0].seen()["runs"][0]["organisation"] == "alfama"
    node.bench.check_settled()


@pytest.mark.parametrize(
    "faults",
    [
        {"drain": True},
        {"error_share": 1.0},
        {"empty_share": 1.0},
        {"cut_after": 20},
        {"freeze": True},
    ],
)
def test_fault_of_one_engine_is_hidden_from_callers(node, faults):
    """Guards against a fault of one engine that reaches a caller."""
    node.stubs[0].set_faults(faults)
    check_answer(node)
    node.stubs[0].set_faults({})
    node.bench.check_settled()


@pytest.mark.parametrize("fault", ["crash", "silence_open"])
def test_engine_lost_during_an_answer(node, fault):
    """Guards against truncated streams and repeated or lost tokens."""
    asker = gevent.spawn(check_answer, node)
    wait_for(lambda: any(r.position > 10 for r in node.stubs[0].runs))
    node.stubs[0].set_faults({fault: True})
    asker.get(timeout=10)
    assert len(node.bench.biller.bills) == 1
    node.bench.check_settled()


def test_idle_connections_that_went_silent(node):
    """Guards against requests that each time out on a silent connection."""
    askers = [gevent.spawn(check_answer, node) for _ in range(4)]
    gevent.joinall(askers, raise_error=True)
    node.stubs[0].set_faults({"silence_open": True})
    for _ in range(3):
        check_answer(node)
    # The first time-out closes all idle connections to that server.
    assert node.bench.metrics.counters["retried.timeout"] == 1
    node.bench.check_settled()


def test_poisoned_request_crashes_at_most_two_engines(node):
    """Guards against a request that crashes every engine of a pool."""
    for engine in node.stubs:
        engine.set_faults({"poison": "Descreva", "restart_after_s": -1})
    status, _, raw = send_request(node, True, CALLER, messages=MESSAGES)
    assert status == 502
    assert not json.loads(raw)["error"]["not_run"]
    node.bench.check_settled()
