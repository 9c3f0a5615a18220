"""Roll-outs: exposure, judgement by pooled answers, steps; no network."""

import pytest
from _routing import FakeClock, FakeStore, make_order, make_report, make_server

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

OLD, NEW = make_server("s1"), make_server("s2", version="v2")


class World:
    """A tracker with an order, and what other nodes have seen."""

    def __init__(self, order=None):
        """Begins at the order."""
        self.clock = FakeClock()
        self.others = []
        self.age_s = 0.5
        self.orders = {"pool": order or make_order()}
        self.tracker = RolloutTracker(
            PlatformRecords(),
            lambda: self.orders,
            lambda: self.others,
            lambda: self.age_s,
            self.clock,
        )
        self.tracker.of("pool")

    def split(self):
        """Returns what may receive work now."""
        return self.tracker.split("pool", [OLD, NEW])

    def see(self, version: str, answers: int, bad: int = 0, route="r1"):
        """Lets this node see answers."""
        for number in range(answers):
            self.tracker.note("pool", version, route, number < bad)


@pytest.fixture
def world():
    """Returns a world at the time of the order."""
    return World()


def test_new_version_begins_with_a_small_share(world):
    """Until half of the time a version reaches few callers."""
    assert world.split().share == CANARY_SHARE
    world.see("v2", 100)
    world.clock.advance(11.9)
    assert world.split().share == CANARY_SHARE


def test_good_version_gets_all_work_in_the_second_half(world):
    """With good answers the share grows to one, so old requests can end."""
    world.see("v1", 400)
    world.see("v2", 40)
    world.clock.advance(14.0)
    assert world.split().share == 1.0


def test_share_does_not_grow_without_answers(world):
    """A version that nobody has seen stays a canary."""
    world.clock.advance(20.0)
    assert world.split().share == CANARY_SHARE


def test_share_does_not_grow_on_old_evidence(world):
    """While the store is away bad answers elsewhere are not known."""
    world.see("v2", 40)
    world.age_s = 10.0
    world.clock.advance(14.0)
    assert world.split().share == CANARY_SHARE


def test_bad_version_gets_no_more_work_after_a_few_answers(world):
    """A version that fails every third request is left at once."""
    world.see("v1", 200)
    world.see("v2", 20, bad=7)
    assert world.split().new == []


def test_evidence_of_other_nodes_counts(world):
    """Two bad answers at each of three nodes are six."""
    world.others = [
        {"pool|v2": {"v2": {"r1": OutcomeCount(6, 3)}}} for _ in range(2)
    ]
    world.see("v2", 6, bad=2)
    assert world.split().new == []


def test_version_bad_on_one_route_only(world):
    """Other routes' good answers do not hide it."""
    world.see("v1", 200, route="r1")
    world.see("v1", 200, route="r2")
    world.see("v2", 60, route="r1")
    world.see("v2", 12, bad=6, route="r2")
    assert world.split().new == []


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


def test_recorded_steps_rule(world):
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
        world.tracker.apply(KeyedRecord("rollout/pool", body, 1))
        split = world.split()
        assert [*split.old, *split.new] == servers


def test_status_of_an_earlier_order_does_not_hold(world):
    """A new order starts anew."""
    body = b'{"service":"pool","target":"v1","state":"reverted"}'
    world.tracker.apply(KeyedRecord("rollout/pool", body, 1))
    assert world.split().share == CANARY_SHARE


def test_session_stays_on_its_version_in_the_first_half(world):
    """A session that began on the old version is not moved."""
    sessions = SessionVersions(world.clock, session_s=5.0)
    for number in range(300):
        sessions.note(f"session-{number}", "v1")
    split = world.split()
    assert all(
        sessions.servers_for(split, f"session-{number}", "r") == [OLD]
        for number in range(300)
    )


def test_session_on_the_new_version_stays_there(world):
    """A canary's session goes on at the canary."""
    sessions = SessionVersions(world.clock, session_s=5.0)
    sessions.note("session", "v2")
    assert sessions.servers_for(world.split(), "session", "r") == [NEW]


def test_nodes_draw_the_same_version_for_a_new_session(world):
    """Without a message, a session meets one version at all nodes."""
    split = world.split()
    tables = [SessionVersions(world.clock, 5.0) for _ in range(2)]
    for number in range(200):
        first, second = (
            table.servers_for(split, f"new-{number}", "r") for table in tables
        )
        assert first == second


def controller_of(world, store, node="n1", nodes=("n1", "n2"), running=None):
    """Returns a controller of one node."""
    follower = TopicFollower(store, "status", world.tracker, 0.0)
    follower.step()
    return RolloutController(
        store,
        follower,
        world.tracker,
        PlatformRecords(),
        node,
        lambda: [make_report(name).entry for name in nodes],
        lambda: running or {},
    )


def test_two_nodes_record_a_step_once(world):
    """The conditional write lets one of two racing nodes win."""
    store = FakeStore()
    first = controller_of(world, store, "n1", ("n1",))
    second = controller_of(world, store, "n2", ("n2",))
    first.step()
    second.step()
    assert len(store.records) == 1


def test_second_node_writes_when_the_first_does_not(world):
    """A step does not wait for a node that is gone."""
    store = FakeStore()
    second = controller_of(world, store, "n2")
    second.step()
    assert not store.records
    world.clock.advance(1.0)
    second.step()
    assert len(store.records) == 1


def test_completed_waits_for_requests_on_old_servers(world):
    """Old servers stop at once when a roll-out is completed."""
    store = FakeStore()
    running = {"pool": {"v1": 3}}
    controller = controller_of(world, store, "n1", ("n1",), running)
    controller.step()
    controller.follower.step()
    world.see("v1", 200)
    world.see("v2", 200)
    world.clock.advance(14.0)
    assert world.split().share == 1.0
    world.clock.advance(5.0)
    controller.step()
    assert len(store.records) == 1
    running.clear()
    controller.step()
    assert b"completed" in store.records[-1].value


def test_completed_comes_before_the_deadline_all_the_same(world):
    """A stream without an end does not hold up the roll-out."""
    store = FakeStore()
    running = {"pool": {"v1": 3}}
    controller = controller_of(world, store, "n1", ("n1",), running)
    controller.step()
    controller.follower.step()
    world.see("v2", 200)
    world.clock.advance(14.0)
    world.split()
    world.clock.advance(9.0)
    controller.step()
    assert b"completed" in store.records[-1].value


def test_bad_version_is_recorded_as_reverted(world):
    """The operator learns that the version was bad."""
    store = FakeStore()
    controller = controller_of(world, store, "n1", ("n1",))
    world.see("v2", 20, bad=10)
    controller.step()
    assert b"reverted" in store.records[-1].value
