"""Runs seeds of the soak with real node processes and tests its checks."""

import pytest

from amaranthlug_platform_standins.soak import run_seed
from amaranthlug_platform_standins.soak_callers import Call, check_call


@pytest.mark.processes
@pytest.mark.parametrize(
    ("seed", "nodes"),
    [
        pytest.param(1, 2, id="short run"),
        # Another process took a node's port before its start, so the node
        # never ran.
        pytest.param(36, 4, id="port taken before the node's start"),
        # A server was drained while the store was silent. Nodes read its entry
        # 2 s after the store was back, which the check did not allow.
        pytest.param(49, 4, id="server left during an outage"),
    ],
)
def test_seed_breaks_no_promise(tmp_path, seed, nodes):
    """Random, overlapping faults must not break a promise."""
    assert run_seed(seed, tmp_path, nodes) == []


def make_call(**changes) -> Call:
    """Returns a call that was answered completely."""
    values = {
        "request_id": "r1",
        "kind": "once",
        "key": "k",
        "sent_at": 0.0,
        "node": "n",
        "status": 200,
        "whole": True,
        "body": b"GET /once/r1",
        **changes,
    }
    return Call(**values)


@pytest.mark.parametrize(
    ("changes", "runs", "message"),
    [
        ({}, 2, "ran 2 times"),
        ({"status": 503}, 1, "was answered 503"),
        ({"body": b"GET /once/r2"}, 1, "wrong body"),
        ({"kind": "stream", "body": b"id: 1\n\nid: 3\n\n"}, 1, "events"),
    ],
)
def test_check_call_finds_violations(changes, runs, message):
    """Checks that find nothing would let every soak pass."""
    violations = check_call(make_call(**changes), runs)
    assert len(violations) == 1
    assert message in violations[0]


def test_check_call_accepts_correct_calls():
    """A call answered once, or refused and not run, keeps the promises."""
    assert check_call(make_call(), 1) == []
    assert check_call(make_call(status=503), 0) == []
