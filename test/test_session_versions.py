"""Tests that a session keeps its version while it moves between nodes."""

import pytest
from _platform_fleet import PlatformFleet, stream_headers, wait_for

from amaranthlug_platform.records import OPERATOR_TOPIC
from amaranthlug_platform_standins.server import ServerStandIn
from amaranthlug_standins.loopback import listener_addresses

NODES = 3
SESSIONS = 120
"""Enough that several belong to the share of the new version."""


class RolloutFleet:
    """Nodes before an old server, to which a roll-out adds a new one."""

    def __init__(self):
        """Starts the nodes and the old server."""
        self.fleet = PlatformFleet(NODES, servers=1, events=1, event_s=0.0)
        self.requests = 0

    def start_rollout(self, duration_s: float) -> None:
        """Orders a roll-out to v2 and starts its server."""
        fleet = self.fleet
        fleet.store.put(
            OPERATOR_TOPIC,
            "rollout/pool",
            {"service": "pool", "target": "v2", "duration_s": duration_s},
        )
        address = listener_addresses(1).pop()
        fleet.servers.append(
            ServerStandIn(
                fleet.store, address, "s-new", "pool", version="v2", events=1
            ).start()
        )

    def run(self, session: str, node: int, target: str = "/cut/x") -> str:
        """Sends a request of a session; returns the version that ran it."""
        self.requests += 1
        request_id = f"request-{self.requests}"
        answer = self.fleet.call(
            target,
            node=node,
            request_id=request_id,
            headers=stream_headers(("Session", session)),
        )
        assert answer.status == 200
        ran_on = [s for s in self.fleet.servers if s.runs[request_id]]
        return ran_on[-1].version

    def wait_until_new_version_runs(self) -> None:
        """Waits until each node has sent a new session to v2."""
        for node in range(NODES):
            numbers = iter(range(10_000))
            wait_for(
                lambda node=node, numbers=numbers: (
                    self.run(f"probe-{node}-{next(numbers)}", node) == "v2"
                ),
                10.0,
            )


@pytest.fixture
def rollout():
    """A running fleet before its roll-out."""
    started = RolloutFleet()
    yield started
    started.fleet.stop()


def find_moved_sessions(rollout, target: str) -> list[str]:
    """Returns the sessions that a roll-out moves when they change their node.

    Each session runs once before the roll-out and once after its start.
    """
    sessions = [f"session-{number}" for number in range(SESSIONS)]
    for number, session in enumerate(sessions):
        assert rollout.run(session, number % NODES, target) == "v1"
    rollout.start_rollout(duration_s=30.0)
    rollout.wait_until_new_version_runs()
    return [
        session
        for number, session in enumerate(sessions)
        if rollout.run(session, (number + 1) % NODES, target) != "v1"
    ]


# Guards against issue 21: a node that does not know a session drew another
# version for it than the one on which another node had just run it.
def test_session_keeps_its_version_at_another_node(rollout):
    """A session that began before a roll-out stays on the old version."""
    assert find_moved_sessions(rollout, "/cut/x") == []


# Guards against sessions of plain services that are not announced at a
# roll-out, since only streams recorded the version of their session.
def test_session_of_a_plain_service_keeps_its_version(rollout):
    """Whole answers belong to sessions as streams do."""
    assert find_moved_sessions(rollout, "/safe/x") == []
