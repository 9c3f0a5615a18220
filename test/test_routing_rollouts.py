"""Tests of roll-outs: shares, pooled evidence and steps; no network."""

import time

import pytest
from _routing import FakeClock, FakeStore, make_order, make_report, make_server

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.rollout_controller import (
    RolloutController,
)
from amaranthlug.coordination.routing.rollout_tracker import (
    CANARY_SHARE,
    NEW_VERSION_DELAY_S,
    RolloutTracker,
)
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.protocol.routing.session_versions import (
    LONGEST_REQUEST_S,
    SessionVersions,
)
from amaranthlug.state.routing.rollout import (
    OutcomeCount,
    RolloutPhase,
    RolloutStatus,
    is_bad,
)
from amaranthlug.state.routing.session_claims import SessionRegister
from amaranthlug_platform.records import PlatformRecords

OLD, NEW = make_server("s1"), make_server("s2", version="v2")


class TrackerHarness:
    """A roll-out tracker with an order and evidence of other nodes."""

    def __init__(self, order=None):
        """Starts the roll-out of `order`."""
        self.clock = FakeClock()
        self.other_evidence = []
        self.evidence_age_s = 0.5
        self.orders = {"pool": order or make_order()}
        self.tracker = RolloutTracker(
            PlatformRecords(),
            lambda: self.orders,
            lambda: self.other_evidence,
            lambda: self.evidence_age_s,
            self.clock,
        )
        self.tracker.replace([])
        self.tracker.rollout_of("pool")

    def split(self):
        """Returns the current split of the servers."""
        return self.tracker.split("pool", [OLD, NEW])

    def add_answers(self, version: str, answers: int, bad: int = 0, route="r1"):
        """Counts answers at this node, the first `bad` of them bad."""
        for number in range(answers):
            self.tracker.count_answer("pool", version, route, number < bad)


@pytest.fixture
def harness():
    """Returns a tracker harness at the start of the roll-out."""
    return TrackerHarness()


def test_new_version_starts_with_the_canary_share(harness):
    """In the first half a new version reaches few callers."""
    assert harness.split().share == CANARY_SHARE
    harness.add_answers("v2", 100)
    harness.clock.advance(11.9)
    assert harness.split().share == CANARY_SHARE


def test_good_version_gets_all_requests_in_the_second_half(harness):
    """The share reaches 1 early enough for requests on old servers to end."""
    harness.add_answers("v1", 400)
    harness.add_answers("v2", 40)
    harness.clock.advance(14.0)
    assert harness.split().share == 1.0


def test_share_does_not_grow_without_answers(harness):
    """A version without answers keeps the canary share."""
    harness.clock.advance(20.0)
    assert harness.split().share == CANARY_SHARE


def test_share_does_not_grow_on_old_evidence(harness):
    """In an outage of the store, bad answers at other nodes are unknown."""
    harness.add_answers("v2", 40)
    harness.evidence_age_s = 10.0
    harness.clock.advance(14.0)
    assert harness.split().share == CANARY_SHARE


def test_bad_version_gets_no_requests_after_a_few_answers(harness):
    """A version that fails every third request is stopped at once."""
    harness.add_answers("v1", 200)
    harness.add_answers("v2", 20, bad=7)
    assert harness.split().new == []


def test_evidence_of_other_nodes_counts(harness):
    """Bad answers at three nodes, too few at each, add up."""
    harness.other_evidence = [
        {"pool|v2": {"v2": {"r1": OutcomeCount(6, 3)}}} for _ in range(2)
    ]
    harness.add_answers("v2", 6, bad=2)
    assert harness.split().new == []


def test_version_bad_on_one_route_only(harness):
    """Good answers on other routes do not hide the bad ones."""
    harness.add_answers("v1", 200, route="r1")
    harness.add_answers("v1", 200, route="r2")
    harness.add_answers("v2", 60, route="r1")
    harness.add_answers("v2", 12, bad=6, route="r2")
    assert harness.split().new == []


def test_route_that_fails_as_often_on_the_old_version_is_not_bad():
    """A route that fails for 14 % on the old version may do so on the new."""
    evidence = {
        "v1": {"r1": OutcomeCount(400, 56)},
        "v2": {"r1": OutcomeCount(80, 13)},
    }
    assert not is_bad(evidence, "v2")


def test_busier_servers_are_not_bad():
    """Late answers under load do not revert a good version."""
    evidence = {
        "v1": {"r1": OutcomeCount(400, 40)},
        "v2": {"r1": OutcomeCount(300, 57)},
    }
    assert not is_bad(evidence, "v2")


def test_recorded_step_decides_the_servers(harness):
    """Completed: new servers only; reverted: old ones only."""
    codec = PlatformRecords()
    for phase, servers in (
        (RolloutPhase.REVERTED, [OLD]),
        (RolloutPhase.COMPLETED, [NEW]),
    ):
        body = (
            f'{{"service":"pool","target":"v2","state":"{phase.value}"}}'
        ).encode()
        assert codec.status(KeyedRecord("rollout/pool", body, 1)) is not None
        harness.tracker.apply(KeyedRecord("rollout/pool", body, 1))
        split = harness.split()
        assert [*split.old, *split.new] == servers


def test_status_of_an_earlier_order_is_ignored(harness):
    """A new order starts with the canary share."""
    body = b'{"service":"pool","target":"v1","state":"reverted"}'
    harness.tracker.apply(KeyedRecord("rollout/pool", body, 1))
    assert harness.split().share == CANARY_SHARE


THIRD = make_server("s3", version="v3")


def next_split(harness, servers=(OLD, NEW, THIRD)):
    """Returns the split after an order to move on to v3."""
    harness.orders["pool"] = make_order(target="v3", offset=9)
    return harness.tracker.split("pool", list(servers))


def apply_status(harness, phase, target="v2"):
    """Applies a recorded state of a roll-out."""
    body = f'{{"service":"pool","target":"{target}","state":"{phase.value}"}}'
    harness.tracker.apply(KeyedRecord("rollout/pool", body.encode(), 1))


# Guards against requests at the servers of a reverted version, which still run
# when the next roll-out is ordered: its sessions moved back and forth (PINNED).
def test_servers_of_a_reverted_version_get_nothing_in_the_next_roll_out(
    harness,
):
    """They are not servers of the old version."""
    apply_status(harness, RolloutPhase.REVERTED)
    split = next_split(harness)
    assert (split.old, split.new) == ([OLD], [THIRD])


def test_servers_of_a_version_judged_bad_get_nothing_in_the_next_roll_out(
    harness,
):
    """This node may know it before the state is recorded."""
    harness.add_answers("v1", 100)
    harness.add_answers("v2", 40, bad=40)
    assert next_split(harness).old == [OLD]


def test_reverted_version_is_used_where_there_is_no_other(harness):
    """A bad answer is better than none."""
    apply_status(harness, RolloutPhase.REVERTED)
    assert next_split(harness, [NEW]).old == [NEW]


def test_reverted_version_that_is_ordered_again_may_complete(harness):
    """Operators repeat an order after they have mended the version."""
    apply_status(harness, RolloutPhase.REVERTED)
    harness.orders["pool"] = make_order(offset=9)
    apply_status(harness, RolloutPhase.ACTIVE)
    assert harness.split().new == [NEW]
    apply_status(harness, RolloutPhase.COMPLETED)
    split = next_split(harness, [NEW, THIRD])
    assert (split.old, split.new) == ([NEW], [THIRD])


def make_sessions(harness, register=None):
    """Returns a node's table of sessions; `register` stands for the owners."""
    return SessionVersions(
        harness.clock, 5.0, register or SessionRegister(harness.clock)
    )


def choose_servers(sessions, split, session):
    """Returns the servers that a session may use."""
    return sessions.choose(split, "pool", session, "r").servers


def make_two_nodes(harness):
    """Returns the tables of two nodes that settle with the same owners."""
    register = SessionRegister(harness.clock)
    return make_sessions(harness, register), make_sessions(harness, register)


def record_sessions(sessions, count=200):
    """Records that the sessions `session-0` and so on ran on v1."""
    for number in range(count):
        sessions.record_version("pool", f"session-{number}", "v1")


def all_stay(sessions, split, count=200):
    """Returns whether the same sessions may only use the old servers."""
    return all(
        choose_servers(sessions, split, f"session-{number}") == [OLD]
        for number in range(count)
    )


def test_session_stays_on_its_version_in_the_first_half(harness):
    """A session that started on the old version is not moved."""
    sessions = make_sessions(harness)
    harness.clock.advance(NEW_VERSION_DELAY_S)
    record_sessions(sessions, 300)
    assert all_stay(sessions, harness.split(), 300)


def test_session_on_the_new_version_stays_there(harness):
    """A session that started on the new version is not moved back."""
    sessions = make_sessions(harness)
    sessions.record_version("pool", "session", "v2")
    assert choose_servers(sessions, harness.split(), "session") == [NEW]


def test_nodes_draw_the_same_version_for_a_new_session(harness):
    """Nodes agree on the version of a session without communicating."""
    harness.clock.advance(NEW_VERSION_DELAY_S)
    split = harness.split()
    tables = [make_sessions(harness) for _ in range(2)]
    drawn = []
    for number in range(200):
        first, second = (
            choose_servers(table, split, f"new-{number}") for table in tables
        )
        assert first == second
        drawn.append(first)
    assert [NEW] in drawn


def test_sessions_start_on_the_new_version_after_the_announcements(harness):
    """Before that a node may not know that a session runs elsewhere."""
    sessions = make_sessions(harness)
    names = [f"new-{number}" for number in range(200)]
    split = harness.split()
    assert all(choose_servers(sessions, split, n) == [OLD] for n in names)
    harness.clock.advance(NEW_VERSION_DELAY_S)
    split = harness.split()
    assert all(choose_servers(sessions, split, n) == [OLD] for n in names)
    assert any(
        choose_servers(sessions, split, f"later-{number}") == [NEW]
        for number in range(200)
    )


def test_session_without_new_servers_in_sight_stays_on_the_old_version(harness):
    """It ran on the old version, though its node had no server of the new."""
    before, after = make_two_nodes(harness)
    harness.clock.advance(NEW_VERSION_DELAY_S)
    without_new = harness.tracker.split("pool", [OLD])
    assert all_stay(before, without_new)
    assert all_stay(after, harness.split())


def test_sessions_of_other_nodes_are_announced(harness):
    """A session that ran before the order is known to its owner."""
    before, after = make_two_nodes(harness)
    record_sessions(before)
    for number in range(200):
        before.record_version("other", f"foreign-{number}", "v1")
    before.announce("pool", harness.split())
    harness.clock.advance(NEW_VERSION_DELAY_S)
    split = harness.split()
    assert all_stay(after, split)
    assert any(
        choose_servers(after, split, f"foreign-{number}") == [NEW]
        for number in range(200)
    )


def test_session_of_a_long_request_is_announced(harness):
    """A long stream is still in use after the idle time of its session."""
    before, after = make_two_nodes(harness)
    record_sessions(before)
    harness.clock.advance(LONGEST_REQUEST_S)
    harness.tracker.rollouts.clear()
    before.announce("pool", harness.split())
    harness.clock.advance(NEW_VERSION_DELAY_S)
    assert all_stay(after, harness.split())


def test_only_sessions_that_may_move_are_announced(harness):
    """Messages at a roll-out are a small share of the sessions in use."""
    claims = []

    class CountingRegister(SessionRegister):
        def settle(self, claim):
            claims.append(claim)
            return super().settle(claim)

    sessions = make_sessions(harness, CountingRegister(harness.clock))
    record_sessions(sessions, 1_000)
    sessions.announce("pool", harness.split())
    assert 0 < len(claims) < 2 * CANARY_SHARE * 1_000
    announced = len(claims)
    sessions.announce("pool", harness.split())
    assert len(claims) == announced


def make_controller(
    harness, store, node="n1", nodes=("n1", "n2"), running=None
):
    """Returns a controller of one node."""
    follower = TopicFollower(store, "status", harness.tracker, 0.0)
    follower.read_once()
    return RolloutController(
        store,
        follower,
        harness.tracker,
        PlatformRecords(),
        node,
        lambda: [make_report(name).entry for name in nodes],
        lambda: running or {},
    )


def test_two_nodes_record_a_step_once(harness):
    """Of two racing nodes only one succeeds with its conditional write."""
    store = FakeStore()
    first = make_controller(harness, store, "n1", ("n1",))
    second = make_controller(harness, store, "n2", ("n2",))
    first.write_due_phases()
    second.write_due_phases()
    assert len(store.records) == 1


def test_second_node_writes_when_the_first_does_not(harness):
    """A phase change must not depend on a node that is gone."""
    store = FakeStore()
    second = make_controller(harness, store, "n2")
    second.write_due_phases()
    assert not store.records
    harness.clock.advance(1.0)
    second.write_due_phases()
    assert len(store.records) == 1


def test_state_that_only_its_writer_knows_is_written_again(harness):
    """The store may lose it before any node has read it."""
    store = FakeStore()
    controller = make_controller(harness, store, "n1", ("n1",))
    controller.write_due_phases()
    store.records.clear()
    controller.follower.begin_restore()
    controller.write_lost_statuses()
    assert not store.records
    controller.follower.read_once()
    for _ in range(3):
        controller.write_lost_statuses()
        controller.follower.read_once()
    assert len(store.records) == 1


def test_second_node_writes_a_lost_state_when_the_first_does_not(harness):
    """Each return of the store starts new turns."""
    store = FakeStore()
    controller = make_controller(harness, store, "n2")
    for era in (1, 2):
        store.era.accept(era)
        harness.tracker.record_stored(
            RolloutStatus("pool", "v2", RolloutPhase.ACTIVE, 1)
        )
        store.records.clear()
        controller.follower.begin_restore()
        controller.follower.read_once()
        controller.write_lost_statuses()
        assert not store.records
        harness.clock.advance(1.0)
        controller.write_lost_statuses()
        assert len(store.records) == 1


def test_completion_waits_for_requests_on_old_servers(harness):
    """Old servers stop at once when a roll-out is completed."""
    store = FakeStore()
    running = {"pool": {"v1": 3}}
    controller = make_controller(harness, store, "n1", ("n1",), running)
    controller.write_due_phases()
    controller.follower.read_once()
    harness.add_answers("v1", 200)
    harness.add_answers("v2", 200)
    harness.clock.advance(14.0)
    assert harness.split().share == 1.0
    harness.clock.advance(5.0)
    controller.write_due_phases()
    assert len(store.records) == 1
    running.clear()
    controller.write_due_phases()
    assert b"completed" in store.records[-1].value


def test_completion_is_forced_before_the_deadline(harness):
    """An endless stream on an old server must not block the roll-out."""
    store = FakeStore()
    running = {"pool": {"v1": 3}}
    controller = make_controller(harness, store, "n1", ("n1",), running)
    controller.write_due_phases()
    controller.follower.read_once()
    harness.add_answers("v2", 200)
    harness.clock.advance(14.0)
    harness.split()
    harness.clock.advance(9.0)
    controller.write_due_phases()
    assert b"completed" in store.records[-1].value


# Guards against issue 29: a slow version whose 20 answers came late got all
# requests and was completed in the same second; completion is final.
def test_completion_waits_for_answers_with_all_requests(harness):
    """A fault that shows only now is found before the old servers stop."""
    store = FakeStore()
    controller = make_controller(harness, store, "n1", ("n1",))
    controller.write_due_phases()
    controller.follower.read_once()
    harness.add_answers("v2", 20, bad=3)
    harness.clock.advance(23.0)
    assert harness.split().share == 1.0
    harness.clock.advance(1.0)
    controller.write_due_phases()
    assert len(store.records) == 1
    harness.add_answers("v2", 20, bad=14)
    controller.write_due_phases()
    assert b"reverted" in store.records[-1].value


def test_late_completion_is_written_after_the_deadline(harness):
    """A good version whose evidence came late is completed nevertheless."""
    store = FakeStore()
    controller = make_controller(harness, store, "n1", ("n1",))
    controller.write_due_phases()
    controller.follower.read_once()
    harness.add_answers("v2", 20)
    harness.clock.advance(23.0)
    harness.split()
    harness.clock.advance(2.1)
    controller.write_due_phases()
    assert b"completed" in store.records[-1].value


def test_bad_version_is_recorded_as_reverted(harness):
    """The recorded phase shows the operator that the version was bad."""
    store = FakeStore()
    controller = make_controller(harness, store, "n1", ("n1",))
    harness.add_answers("v2", 20, bad=10)
    controller.write_due_phases()
    assert b"reverted" in store.records[-1].value


def record_active(harness, began_ms):
    """Gives the tracker the record of an active roll-out."""
    body = (
        '{"service":"pool","target":"v2","state":"active",'
        f'"began_ms":{began_ms}}}'
    ).encode()
    harness.tracker.apply(KeyedRecord("rollout/pool", body, 1))


# Guards against a roll-out that a node advances alone, since the time of day of
# its VM differs from that of the VM which recorded the start.
def test_time_of_day_does_not_advance_a_roll_out(harness):
    """All nodes must be in the same half of a roll-out."""
    harness.add_answers("v1", 400)
    harness.add_answers("v2", 40)
    record_active(harness, int((time.time() - 15.0) * 1_000))
    split = harness.split()
    assert split.keep_sessions
    assert split.share == CANARY_SHARE


def test_node_that_learns_of_an_order_late_takes_the_age_from_others(harness):
    """A node that was cut off must not hold sessions longer than the others."""
    harness.add_answers("v1", 400)
    harness.add_answers("v2", 40)
    harness.tracker.adopt_ages({"pool|v2|5": 15.0, "pool|v1|2": 99.0})
    assert harness.split().share == 1.0
    assert harness.tracker.own_ages() == {"pool|v2|5": 15.0}
    harness.tracker.adopt_ages({"pool|v2|5": 3.0})
    assert harness.tracker.own_ages() == {"pool|v2|5": 15.0}


def test_age_by_other_nodes_replaces_the_age_by_the_record(harness):
    """A restarted node whose time of day is ahead is corrected by others."""
    record_active(harness, int((time.time() - 15.0) * 1_000))
    harness.tracker.rollouts.clear()
    assert not harness.split().keep_sessions
    assert harness.tracker.own_ages() == {}
    harness.tracker.adopt_ages({"pool|v2|5": 4.0})
    assert harness.split().keep_sessions
    assert harness.tracker.own_ages() == {"pool|v2|5": 4.0}


def test_record_gives_the_age_after_a_restart_of_all_nodes(harness):
    """No other node knows it, and the roll-out must end in its time."""
    record_active(harness, int((time.time() - 15.0) * 1_000))
    harness.tracker.rollouts.clear()
    harness.split()
    harness.tracker.adopt_ages({})
    elapsed = harness.tracker.elapsed_s(harness.tracker.rollout_of("pool"))
    assert elapsed == pytest.approx(15.0, abs=1.0)


# Guards against a restart of all nodes that begins a roll-out anew: a node that
# reads the order before the recorded state takes its own start for that of the
# roll-out, and the others believe it.
def test_order_read_before_the_recorded_state_is_not_new(harness):
    """The start counts as seen only if no state was recorded before it."""
    tracker = RolloutTracker(
        PlatformRecords(),
        lambda: harness.orders,
        list,
        lambda: 0.5,
        harness.clock,
    )
    harness.tracker = tracker
    assert tracker.rollout_of("pool") is not None
    assert tracker.own_ages() == {}
    record_active(harness, int((time.time() - 15.0) * 1_000))
    elapsed = tracker.elapsed_s(tracker.rollout_of("pool"))
    assert elapsed == pytest.approx(15.0, abs=1.0)
    assert tracker.own_ages() == {}
