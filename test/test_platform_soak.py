"""Runs seeds of the soak with real node processes and tests its checks."""

import pytest

from amaranthlug_platform_standins.soak import run_seed
from amaranthlug_platform_standins.soak_callers import (
    CONTACT_S,
    CRASHES_TO_BLOCK,
    LATE_CRASHES,
    SESSION_S,
    Call,
    check_call,
    find_late_crashes,
    find_moved_sessions,
)
from amaranthlug_platform_standins.soak_fleet import ROLLOUT_S


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
        # Nodes that do not settle versions with the owners of sessions move
        # two of them here.
        pytest.param(181, 4, id="sessions in a roll-out"),
        # Nodes that judge a configuration by its offset go on taking a key that
        # is withdrawn after the store returned.
        pytest.param(522, 4, id="store returns to two older copies"),
        # Nodes that remember nothing of the request go on sending it: nine
        # servers ended under it after all could have known it.
        pytest.param(612, 4, id="a request crashes its servers"),
        # Nodes that know the end of a server from a refused connection only go
        # on sending it where the proxy accepts for dead servers: 21 ended.
        pytest.param(643, 4, id="a path accepts for dead servers"),
        # Settings were signalled to a node that was starting, which ended it.
        pytest.param(3302, 4, id="settings signalled during a start"),
        # Servers that crashed had started again in the time that the store
        # lost. Members dropped them for good, as their relay knew them.
        pytest.param(810, 4, id="copy lists older instances of servers"),
        # Servers had written again before the second of two returns.
        pytest.param(910, 4, id="two copies without any server"),
        # A node was paused for longer than the grace time of its servers.
        pytest.param(1016, 4, id="paused between two copies"),
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


class FleetRecord:
    """What the check of sessions reads of a fleet."""

    def __init__(self, rollout_started_at=0.0, disruption=None):
        """Keeps two servers without arrivals."""
        self.rollout_started_at = rollout_started_at
        self.disruption = disruption
        self.servers = [ServerRecord("v1")]
        self.new_servers = [ServerRecord("v2")]
        self.all_servers = [*self.servers, *self.new_servers]

    def crash_times(self):
        """Returns no crash."""
        return []

    def was_undisrupted(self, since, until):
        """Tells whether the disruption lies outside the span."""
        return self.disruption is None or not since <= self.disruption <= until


class ServerRecord:
    """A server's version and arrivals."""

    def __init__(self, version):
        """Starts without arrivals."""
        self.version = version
        self.arrivals = []


def find_moves(fleet, gap_s=1.0, versions=("v1", "v2"), ended_at=2.0):
    """Returns the findings on two calls of a session, `gap_s` apart."""
    calls = [
        make_call(
            request_id=f"r{number}",
            session="s",
            sent_at=at,
            ended_at=at + 0.5,
        )
        for number, at in enumerate((ended_at - 0.5, ended_at + gap_s))
    ]
    for call, version in zip(calls, versions, strict=True):
        servers = fleet.servers if version == "v1" else fleet.new_servers
        servers[0].arrivals.append((call.sent_at, call.request_id))
    return find_moved_sessions(fleet, calls)


@pytest.mark.parametrize("versions", [("v1", "v2"), ("v2", "v1")])
def test_session_that_moves_is_found(versions):
    """Either way, in the first half of a roll-out."""
    (line,) = find_moves(FleetRecord(), versions=versions)
    assert f"moved from {versions[0]}" in line


@pytest.mark.parametrize(
    ("fleet", "options"),
    [
        (FleetRecord(), {"versions": ("v1", "v1")}),
        (FleetRecord(), {"gap_s": SESSION_S}),
        (FleetRecord(), {"ended_at": ROLLOUT_S / 2}),
        (FleetRecord(rollout_started_at=None), {}),
        (FleetRecord(disruption=1.5 - CONTACT_S), {}),
    ],
    ids=["same", "idle", "second half", "no roll-out", "disrupted"],
)
def test_session_that_may_move_is_not_found(fleet, options):
    """An idle session is over, and faults may hide an owner."""
    assert find_moves(fleet, **options) == []


class CrashRecord:
    """What the check of crashes reads of a fleet."""

    def __init__(self, times, disruption=None):
        """Keeps the times of crashes and of a fault."""
        self.times = times
        self.disruption = disruption

    def crash_times(self):
        """Returns the times of the crashes."""
        return self.times

    def was_undisrupted(self, since, until):
        """Tells whether the fault lies outside the span."""
        return self.disruption is None or not since <= self.disruption <= until

    was_undisturbed = was_undisrupted


FIRST_CRASHES = [float(number) for number in range(CRASHES_TO_BLOCK)]
KNOWN_AT = FIRST_CRASHES[-1] + CONTACT_S


def late_crashes(count: int) -> list[float]:
    """Returns the times of crashes, `count` of them after the limit."""
    return FIRST_CRASHES + [KNOWN_AT + 0.1 + n for n in range(count)]


def test_request_that_goes_on_crashing_servers_is_found():
    """A fleet that forgets it sends it on."""
    found = find_late_crashes(CrashRecord(late_crashes(LATE_CRASHES + 1)))
    assert found == ["4 servers ended under a request that was known"]


@pytest.mark.parametrize(
    "record",
    [
        CrashRecord(late_crashes(LATE_CRASHES)),
        CrashRecord(FIRST_CRASHES + [KNOWN_AT - 0.1] * 9),
        CrashRecord(late_crashes(LATE_CRASHES + 1), disruption=KNOWN_AT),
        CrashRecord([1.0]),
    ],
)
def test_crashes_that_the_rule_allows_are_not_found(record):
    """Before all nodes know, within the allowance, or next to a fault."""
    assert find_late_crashes(record) == []
