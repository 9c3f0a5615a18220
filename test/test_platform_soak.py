"""A short run of the soak with real node processes, and its checks."""

import pytest

from amaranthlug_platform_standins.soak import run_seed
from amaranthlug_platform_standins.soak_callers import Call, check_call


@pytest.mark.processes
@pytest.mark.parametrize(
    ("seed", "nodes"),
    [
        pytest.param(1, 2, id="short run"),
        # Another process had taken a node's port, so the node never ran.
        pytest.param(36, 4, id="port taken before the node's start"),
        # A server left while the store was silent; nodes learnt of it 2 s
        # after the store was back, which the check did not allow.
        pytest.param(49, 4, id="server left during an outage"),
    ],
)
def test_seed_breaks_no_promise(tmp_path, seed, nodes):
    """Faults from outside over real processes, in series and overlapping."""
    assert run_seed(seed, tmp_path, nodes) == []


def a_call(**changes) -> Call:
    """Returns a call that ended whole."""
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
    ("changes", "runs", "words"),
    [
        ({}, 2, "ran 2 times"),
        ({"status": 503}, 1, "was answered 503"),
        ({"body": b"GET /once/r2"}, 1, "wrong body"),
        ({"kind": "stream", "body": b"id: 1\n\nid: 3\n\n"}, 1, "events"),
    ],
)
def test_checks_find_planted_violations(changes, runs, words):
    """A soak whose checks find nothing would pass for every node."""
    found = check_call(a_call(**changes), runs)
    assert len(found) == 1
    assert words in found[0]


def test_sound_calls_are_no_violation():
    """A refused request that did not run keeps the promise."""
    assert check_call(a_call(), 1) == []
    assert check_call(a_call(status=503), 0) == []
