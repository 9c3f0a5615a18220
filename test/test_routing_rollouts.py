"""Roll-outs: exposure, judgement by pooled answers, steps; no network."""

import pytest
from _routing import FakeClock, FakeStore, a_report, a_server, an_order

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.rollout_controller import (
    RolloutController,
)
from amaranthlug.coordination.routing.rollout_tracker import (
    CANARY_SHARE,
    RolloutTracker,
)
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.protocol.routing.session_versions import SessionVersions
from amaranthlug.state.routing.rollout import (
    OutcomeCount,
    RolloutStep,
    is_bad,
)
from amaranthlug_platform.records import PlatformRecords

OLD, NEW = a_server("s1"), a_server("s2", version="v2")


class TrackerHarness:
    """A tracker with an order, and what other nodes have seen."""

    def __init__(self, order=None):
        """Begins at the order."""
        self.clock = FakeClock()
        self.other_evidence = []
        self.evidence_age_s = 0.5
        self.orders = {"pool": order or an_order()}
        self.tracker = RolloutTracker(
            PlatformRecords(),
            lambda: self.orders,
            lambda: self.other_evidence,
            lambda: self.evidence_age_s,
            self.clock,
        )
        self.tracker.rollout_of("pool")

    def split(self):
        """Returns what may receive work now."""
        return self.tracker.split("pool", [OLD, NEW])

    def add_answers(self, version: str, answers: int, bad: int = 0, route="r1"):
        """Lets this node see answers."""
        for number in range(answers):
            self.tracker.count_answer("pool", version, route, number < bad)


@pytest.fixture
def harness():
    """Returns a world at the time of the order."""
    return TrackerHarness()


def test_new_version_begins_with_a_small_share(harness):
    """Until half of the time a version reaches few callers."""
    assert harness.split().share == CANARY_SHARE
    harness.add_answers("v2", 100)
    harness.clock.move(11.9)
    assert harness.split().share == CANARY_SHARE


def test_good_version_gets_all_work_in_the_second_half(harness):
    """With good answers the share grows to one, so old requests can end."""
    harness.add_answers("v1", 400)
    harness.add_answers("v2", 40)
    harness.clock.move(14.0)
    assert harness.split().share == 1.0


def test_share_does_not_grow_without_answers(harness):
    """A version that nobody has seen stays a canary."""
    harness.clock.move(20.0)
    assert harness.split().share == CANARY_SHARE


def test_share_does_not_grow_on_old_evidence(harness):
    """While the store is away bad answers elsewhere are not known."""
    harness.add_answers("v2", 40)
    harness.evidence_age_s = 10.0
    harness.clock.move(14.0)
    assert harness.split().share == CANARY_SHARE


def test_bad_version_gets_no_more_work_after_a_few_answers(harness):
    """A version that fails every third request is left at once."""
    harness.add_answers("v1", 200)
    harness.add_answers("v2", 20, bad=7)
    assert harness.split().new == []


def test_evidence_of_other_nodes_counts(harness):
    """Two bad answers at each of three nodes are six."""
    harness.other_evidence = [
        {"pool|v2": {"v2": {"r1": OutcomeCount(6, 3)}}} for _ in range(2)
    ]
    harness.add_answers("v2", 6, bad=2)
    assert harness.split().new == []


def test_version_bad_on_one_route_only(harness):
    """Other routes' good answers do not hide it."""
    harness.add_answers("v1", 200, route="r1")
    harness.add_answers("v1", 200, route="r2")
    harness.add_answers("v2", 60, route="r1")
    harness.add_answers("v2", 12, bad=6, route="r2")
    assert harness.split().new == []


def test_route_that_always_fails_sometimes_is_no_sign():
    """A route with 14 in 100 failures on the old version is compared so."""
    evidence = {
        "v1": {"r1": OutcomeCount(400, 56)},
        "v2": {"r1": OutcomeCount(80, 13)},
    }
    assert not is_bad(evidence, "v2")


def test_busier_servers_are_no_sign():
    """Late answers under load do not revert a good version."""
    evidence = {
        "v1": {"r1": OutcomeCount(400, 40)},
        "v2": {"r1": OutcomeCount(300, 57)},
    }
    assert not is_bad(evidence, "v2")


def test_recorded_steps_rule(harness):
    """Completed: new servers only; reverted: old ones only."""
    codec = PlatformRecords()
    for step, servers in (
        (RolloutStep.REVERTED, [OLD]),
        (RolloutStep.COMPLETED, [NEW]),
    ):
        body = (
            f'{{"service":"pool","target":"v2","state":"{step.value}"}}'
        ).encode()
        assert codec.status(KeyedRecord("rollout/pool", body, 1)) is not None
        harness.tracker.apply(KeyedRecord("rollout/pool", body, 1))
        split = harness.split()
        assert [*split.old, *split.new] == servers


def test_status_of_an_earlier_order_does_not_hold(harness):
    """A new order starts anew."""
    body = b'{"service":"pool","target":"v1","state":"reverted"}'
    harness.tracker.apply(KeyedRecord("rollout/pool", body, 1))
    assert harness.split().share == CANARY_SHARE


def test_session_stays_on_its_version_in_the_first_half(harness):
    """A session that began on the old version is not moved."""
    sessions = SessionVersions(harness.clock, session_s=5.0)
    for number in range(300):
        sessions.note(f"session-{number}", "v1")
    split = harness.split()
    assert all(
        sessions.servers_for(split, f"session-{number}", "r") == [OLD]
        for number in range(300)
    )


def test_session_on_the_new_version_stays_there(harness):
    """A canary's session goes on at the canary."""
    sessions = SessionVersions(harness.clock, session_s=5.0)
    sessions.note("session", "v2")
    assert sessions.servers_for(harness.split(), "session", "r") == [NEW]


def test_nodes_draw_the_same_version_for_a_new_session(harness):
    """Without a message, a session meets one version at all nodes."""
    split = harness.split()
    tables = [SessionVersions(harness.clock, 5.0) for _ in range(2)]
    for number in range(200):
        first, second = (
            table.servers_for(split, f"new-{number}", "r") for table in tables
        )
        assert first == second


def controller_of(harness, store, node="n1", nodes=("n1", "n2"), running=None):
    """Returns a controller of one node."""
    follower = TopicFollower(store, "status", harness.tracker, 0.0)
    follower.read_once()
    return RolloutController(
        store,
        follower,
        harness.tracker,
        PlatformRecords(),
        node,
        lambda: [a_report(name).entry for name in nodes],
        lambda: running or {},
    )


def test_two_nodes_record_a_step_once(harness):
    """The conditional write lets one of two racing nodes win."""
    store = FakeStore()
    first = controller_of(harness, store, "n1", ("n1",))
    second = controller_of(harness, store, "n2", ("n2",))
    first.step()
    second.step()
    assert len(store.records) == 1


def test_second_node_writes_when_the_first_does_not(harness):
    """A step does not wait for a node that is gone."""
    store = FakeStore()
    second = controller_of(harness, store, "n2")
    second.step()
    assert not store.records
    harness.clock.move(1.0)
    second.step()
    assert len(store.records) == 1


def test_completed_waits_for_requests_on_old_servers(harness):
    """Old servers stop at once when a roll-out is completed."""
    store = FakeStore()
    running = {"pool": {"v1": 3}}
    controller = controller_of(harness, store, "n1", ("n1",), running)
    controller.step()
    controller.follower.read_once()
    harness.add_answers("v1", 200)
    harness.add_answers("v2", 200)
    harness.clock.move(14.0)
    assert harness.split().share == 1.0
    harness.clock.move(5.0)
    controller.step()
    assert len(store.records) == 1
    running.clear()
    controller.step()
    assert b"completed" in store.records[-1].value


def test_completed_comes_before_the_deadline_all_the_same(harness):
    """A stream without an end does not hold up the roll-out."""
    store = FakeStore()
    running = {"pool": {"v1": 3}}
    controller = controller_of(harness, store, "n1", ("n1",), running)
    controller.step()
    controller.follower.read_once()
    harness.add_answers("v2", 200)
    harness.clock.move(14.0)
    harness.split()
    harness.clock.move(9.0)
    controller.step()
    assert b"completed" in store.records[-1].value


def test_bad_version_is_recorded_as_reverted(harness):
    """The operator learns that the version was bad."""
    store = FakeStore()
    controller = controller_of(harness, store, "n1", ("n1",))
    harness.add_answers("v2", 20, bad=10)
    controller.step()
    assert b"reverted" in store.records[-1].value
