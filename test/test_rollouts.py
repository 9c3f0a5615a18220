"""Tests roll-outs: duplicate steps, emptied pools, stale holders."""

import copy

import pytest
from _policy import Policy, catalog_of, version_id
from result import Err, Ok

from amaranthlug.coordination import rollout_driver
from amaranthlug.coordination.rollout_driver import RolloutDriver
from amaranthlug.state.catalog import Rollout, RolloutStage
from amaranthlug.state.evidence import Cell
from amaranthlug.state.records import LogEntry, NodeLeft, RolloutStep
from amaranthlug.state.rollouts import RolloutStates, rollout_key

NODE_LEFT = {"id": "x", "address": "a", "incarnation": "i"}

ROLLOUT = Rollout(
    "r", "mid", "1", "2", (RolloutStage(0.3, 20, 4), RolloutStage(1.0, 50, 9))
)
NEW = version_id("mid@2")
OLD = version_id("mid@1")


def make_step(stage, replaces, holder="h"):
    """Returns a step of the roll-out."""
    key = rollout_key(ROLLOUT)
    name = f"{holder}-{stage}-{replaces}"
    return RolloutStep(
        id=name,
        rollout=key,
        revision=1,
        stage=stage,
        replaces=replaces,
        holder=holder,
    )


def apply_records(entries):
    """Returns the roll-out states after (offset, record) pairs."""
    states = RolloutStates()
    for offset, record in entries:
        states.apply(LogEntry(offset=offset, record=record))
    return states


def test_two_drivers_cannot_advance_a_rollout_twice():
    """A lease holder that resumes after a pause would skip a stage."""
    states = apply_records(
        [
            (5, make_step(0, -1)),
            (6, make_step(1, 5)),
            (7, make_step(1, 5, "old")),
        ]
    )
    assert (states.state(ROLLOUT).stage, states.state(ROLLOUT).offset) == (1, 6)
    states.apply(LogEntry(offset=8, record=make_step(2, 5, "old")))
    assert states.state(ROLLOUT).stage == 1


def test_late_reader_reaches_the_same_stage():
    """A node that joins late would restart a completed roll-out."""
    entries = [
        (5, make_step(0, -1)),
        (6, make_step(1, 5)),
        (7, make_step(1, 5, "old")),
        (8, make_step(1, 6)),
        (9, make_step(1, 6, "old")),
        (10, make_step(2, 8)),
    ]
    complete_states = apply_records(entries)
    assert complete_states.is_done(ROLLOUT)
    for dropped in (2, 3, 4, 5):
        late_states = apply_records(entries[dropped:])
        assert (
            late_states.state(ROLLOUT).offset
            == complete_states.state(ROLLOUT).offset
        )
        assert late_states.state(ROLLOUT).stage == 2


def test_reused_rollout_name_starts_at_the_first_stage():
    """The stage of an earlier version would apply to a new version."""
    states = apply_records([(5, make_step(0, -1)), (6, NodeLeft(**NODE_LEFT))])
    other = Rollout("r", "mid", "1", "3", ROLLOUT.stages)
    assert states.state(other).stage == -1


class FakeLog:
    """Writer and feed over one list, applied to its readers at once."""

    def __init__(self):
        """Creates an empty log."""
        self.entries = []
        self.states_of_readers = []
        self.is_unreachable = False

    def append(self, record):
        """Appends a record."""
        if self.is_unreachable:
            return Err("out")
        entry = LogEntry(offset=len(self.entries), record=record)
        self.entries.append(entry)
        for states in self.states_of_readers:
            states.apply(entry)
        return Ok(entry.offset)

    def catch_up(self, timeout_s):
        """Returns the position, which is always the end of the log."""
        return Err("out") if self.is_unreachable else Ok(len(self.entries) - 1)


class FakeEngines:
    """Engines that keep all versions and may check the fencing token."""

    def __init__(self, count=4, checks_fence=True):
        """Creates engines that run the old version."""
        self.versions = {f"mid@2:{n}": {"mid@1"} for n in range(count)}
        self.checks_fence = checks_fence
        self.orders = []

    def state(self, address):
        """Returns the state of an engine."""
        versions = sorted(self.versions[address])
        return Ok({"versions": versions, "checks_fence": self.checks_fence})

    def load_version(self, address, version, order_id, fence):
        """Loads a version."""
        self.orders.append((address, order_id, fence))
        self.versions[address].add(version)
        return Ok(None)

    def available(self, version):
        """Reports that all weights are available."""
        return Ok(None)


class FakeLease:
    """A lease that can be revoked by a test."""

    def __init__(self, token=7):
        """Creates a valid lease."""
        self.token = token

    def fence(self):
        """Returns the token, None after the lease was revoked."""
        return self.token


class DriverNode:
    """A node with a roll-out driver and fakes."""

    def __init__(self, shared=None, engines=None):
        """Creates a driver over a shared log and engines."""
        prices = {"mid@1": 5, "mid@2": 5}
        self.policy = Policy(catalog_of(prices, [ROLLOUT]))
        self.log = shared or FakeLog()
        self.log.states_of_readers.append(self.policy.fold)
        for entry in self.log.entries:
            self.policy.fold.apply(entry)
        self.engines = engines or FakeEngines()
        self.lease = FakeLease()
        self.driver = RolloutDriver(
            self.policy.view,
            self.policy.fold,
            self.policy.evidence,
            self.policy.watch,
            self.lease,
            self.log,
            self.log,
            self.engines,
            self.engines,
            self.policy.metrics,
            self.policy.clock,
            "inc-0",
        )

    def run_ticks(self, count):
        """Runs the driver `count` times, once per second."""
        for _ in range(count):
            self.policy.clock.time += 1
            self.driver.tick()

    def stage(self):
        """Returns the current stage."""
        return self.policy.fold.state(ROLLOUT).stage


def test_rollout_advances_only_with_enough_evidence():
    """Advancing too early would expose all callers to an untested version."""
    node = DriverNode()
    node.run_ticks(5)
    assert node.stage() == 0 and len(node.engines.orders) == 2
    node.policy.add_ratings("mid@2", 19, 0)
    node.run_ticks(5)
    assert node.stage() == 0
    node.policy.add_ratings("mid@2", 1, 0)
    node.run_ticks(5)
    assert node.stage() == 1 and len(node.engines.orders) == 4
    node.policy.add_ratings("mid@2", 50, 0)
    node.run_ticks(5)
    assert node.policy.fold.is_done(ROLLOUT)
    appended = len(node.log.entries)
    node.run_ticks(5)
    assert len(node.log.entries) == appended == 3


def test_servers_load_a_few_at_a_time():
    """A pool whose servers all load at once would serve no requests."""
    node = DriverNode(engines=FakeEngines(4))
    for expected in (1, 2, 2):
        node.run_ticks(1)
        assert len(node.engines.orders) == expected


def test_new_holder_continues_a_rollout():
    """A roll-out must not stop for ever when its driver is lost."""
    first = DriverNode()
    first.run_ticks(2)
    second = DriverNode(shared=first.log, engines=first.engines)
    assert second.stage() == -1
    second.run_ticks(2)
    assert second.stage() == 0
    addresses = [order[0] for order in second.engines.orders]
    assert len(addresses) == len(set(addresses)) == 2


def test_holder_that_loses_its_lease_does_nothing():
    """A holder paused after its check would act with an expired lease."""
    node = DriverNode()
    original_available = node.engines.available

    def expire(version):
        node.lease.token = None
        return original_available(version)

    node.engines.available = expire
    node.run_ticks(5)
    assert node.engines.orders == [] and node.log.entries == []


def test_engine_without_fence_check_gets_no_order_too_early():
    """A late order of the previous holder could undo one of the new holder."""
    node = DriverNode(engines=FakeEngines(checks_fence=False))
    wait = rollout_driver.LEASE_VALIDITY_S + rollout_driver.MAX_ORDER_S
    node.run_ticks(int(wait))
    assert node.engines.orders == []
    node.run_ticks(3)
    assert node.engines.orders


def test_log_outage_only_delays_the_rollout():
    """A step that is not on the log must not take effect."""
    node = DriverNode()
    node.log.is_unreachable = True
    node.run_ticks(6)
    assert node.stage() == -1
    node.log.is_unreachable = False
    node.run_ticks(2)
    assert node.stage() == 0


def count_server_ratings(policy, version, ratings):
    """Counts (good, bad) ratings in the rows by kind and by server."""
    for address, (good, bad) in ratings.items():
        for cell in (Cell(version, "log"), Cell(version, server=address)):
            policy.evidence.count(cell, good=good, bad=bad)


def make_policy_with_history():
    """Returns a policy whose old version has a known quality."""
    policy = DriverNode().policy
    count_server_ratings(policy, "mid@1", {"s1": (475, 25), "s2": (475, 25)})
    policy.watch.check()
    return policy


def test_bad_new_version_is_withdrawn_after_few_ratings():
    """A slow test would expose more callers to a bad version."""
    policy = make_policy_with_history()
    count_server_ratings(policy, "mid@2", {"s1": (0, 3), "s2": (0, 2)})
    policy.watch.check()
    assert policy.view.withdrawn == {NEW}


def test_bad_server_is_ejected_and_its_version_kept():
    """A good version must not be withdrawn because of one bad server."""
    policy = make_policy_with_history()
    ratings = {"s1": (0, 8), "s2": (12, 0), "s3": (12, 1)}
    count_server_ratings(policy, "mid@2", ratings)
    policy.watch.check()
    assert not policy.view.withdrawn
    assert {ejection[0] for ejection in policy.ejected} == {"s1"}


def test_bad_server_of_a_proven_version_is_found_among_many():
    """Good outcomes of the other servers must not restart its test."""
    policy = make_policy_with_history()
    others = {f"s{number}": (10, 0) for number in range(2, 9)}
    for _ in range(12):
        count_server_ratings(policy, "mid@1", {"s1": (0, 1)} | others)
        policy.watch.check()
    assert not policy.view.withdrawn
    assert {ejection[0] for ejection in policy.ejected} == {"s1"}


@pytest.mark.parametrize("bad", [{"bad": 1}, {"cut": 1}])
def test_several_bad_servers_are_ejected_and_their_version_kept(bad):
    """Three of nine servers with cut streams once withdrew every version."""
    policy = make_policy_with_history()
    good = {"good": 1} if "bad" in bad else {"complete": 1}
    for _ in range(30):
        for number in range(1, 10):
            amounts = bad if number <= 3 else good
            cells = (Cell("mid@1", "log"), Cell("mid@1", server=f"n{number}"))
            for cell in cells:
                policy.evidence.count(cell, **amounts)
        policy.watch.check()
    assert not policy.view.withdrawn
    assert {ejection[0] for ejection in policy.ejected} == {"n1", "n2", "n3"}


def test_proven_version_that_turns_bad_on_many_servers_is_withdrawn():
    """Leaving bad servers out must not hide a version that is bad on most."""
    policy = make_policy_with_history()
    count_server_ratings(
        policy, "mid@1", {f"n{number}": (0, 3) for number in range(9)}
    )
    policy.watch.check()
    assert policy.view.withdrawn == {OLD}


def test_proven_version_that_turns_bad_is_withdrawn():
    """Old good ratings must not hide that a version has become bad."""
    policy = make_policy_with_history()
    assert not policy.view.withdrawn
    count_server_ratings(policy, "mid@1", {"s1": (1, 12), "s2": (0, 12)})
    policy.watch.check()
    assert policy.view.withdrawn == {OLD}


@pytest.mark.parametrize("outcome", ["errors", "cut", "empty"])
def test_failing_version_is_withdrawn_without_ratings(outcome):
    """Requests without an answer are never rated."""
    policy = make_policy_with_history()
    for server in ("s1", "s2"):
        for row in (Cell("mid@2", "log"), Cell("mid@2", server=server)):
            policy.evidence.count(row, complete=1, **{outcome: 8})
    policy.watch.check()
    assert policy.view.withdrawn == {NEW}


def test_readmitted_version_starts_without_evidence():
    """With its old evidence, a readmitted version would be withdrawn."""
    policy = make_policy_with_history()
    count_server_ratings(policy, "mid@2", {"s1": (0, 5), "s2": (0, 5)})
    policy.watch.check()
    policy.view.withdrawn.clear()
    policy.watch.epoch = lambda version: 1
    restarted_watch = copy.copy(policy.watch)
    restarted_watch.check()
    assert not policy.view.withdrawn
