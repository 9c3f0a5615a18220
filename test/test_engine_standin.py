"""Guards the path against the stand-in engine and its faults."""

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
WHOLE = "".join(w + " " for w in answer_words(PROMPT, str(CHEAP), True))
MESSAGES = [{"role": "user", "content": PROMPT}]


@pytest.fixture
def node():
    """Returns a node in front of two engines."""
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
    """Asks and checks that the answer is whole and its own."""
    status, _, raw = send_request(node, stream, headers, messages=MESSAGES)
    assert status == 200
    if stream:
        events = [e[6:] for e in raw.decode().split("\n\n") if e.strip()]
        assert events[-1] == "[DONE]"
        assert joined_text(events) == WHOLE
        assert json.loads(events[-2])["usage"]["completion_tokens"] == 60
    else:
        text = json.loads(raw)["choices"][0]["message"]["content"]
        assert text == WHOLE
    assert node.bench.biller.bills[-1].output_tokens == 60


def test_good_engines(node):
    """A mismatch between the adapter and the engine's contract."""
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
def test_one_faulty_engine_is_survived(node, faults):
    """A fault of one engine that reaches a caller."""
    node.stubs[0].set_faults(faults)
    check_answer(node)
    node.stubs[0].set_faults({})
    node.bench.check_settled()


@pytest.mark.parametrize("fault", ["crash", "silence_open"])
def test_engine_lost_during_an_answer(node, fault):
    """A stream that ends, repeats or loses a token when its engine is lost."""
    job = gevent.spawn(check_answer, node)
    wait_for(lambda: any(r.position > 10 for r in node.stubs[0].runs))
    node.stubs[0].set_faults({fault: True})
    job.get(timeout=10)
    assert len(node.bench.biller.bills) == 1
    node.bench.check_settled()


def test_idle_connections_that_went_silent(node):
    """Requests that wait on pooled connections that are silent for good."""
    jobs = [gevent.spawn(check_answer, node) for _ in range(4)]
    gevent.joinall(jobs, raise_error=True)
    node.stubs[0].set_faults({"silence_open": True})
    for _ in range(3):
        check_answer(node)
    # The first silence drops all idle connections of that server.
    assert node.bench.metrics.counters["retried.timeout"] == 1
    node.bench.check_settled()


def test_poisoned_request_crashes_at_most_two_engines(node):
    """A request that crashes every engine of a pool."""
    for engine in node.stubs:
        engine.set_faults({"poison": "Descreva", "restart_after_s": -1})
    status, _, raw = send_request(node, True, CALLER, messages=MESSAGES)
    assert status == 502
    assert not json.loads(raw)["error"]["not_run"]
    node.bench.check_settled()
