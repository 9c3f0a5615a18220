"""Guards roll-outs: double steps, emptied pools, stale holders."""

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

LEFT = {"id": "x", "address": "a", "incarnation": "i"}

ROLLOUT = Rollout(
    "r", "mid", "1", "2", (RolloutStage(0.3, 20, 4), RolloutStage(1.0, 50, 9))
)
NEW = version_id("mid@2")
OLD = version_id("mid@1")


def step(stage, replaces, holder="h"):
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


def folded(entries):
    """Returns a fold over (offset, record) pairs."""
    fold = RolloutStates()
    for offset, record in entries:
        fold.apply(LogEntry(offset=offset, record=record))
    return fold


def test_two_drivers_cannot_advance_twice():
    """A paused holder that wakes up would skip a stage."""
    fold = folded([(5, step(0, -1)), (6, step(1, 5)), (7, step(1, 5, "old"))])
    assert (fold.state(ROLLOUT).stage, fold.state(ROLLOUT).offset) == (1, 6)
    fold.apply(LogEntry(offset=8, record=step(2, 5, "old")))
    assert fold.state(ROLLOUT).stage == 1


def test_reader_without_expired_steps_reaches_the_same_stage():
    """A node that joins late would start a finished roll-out anew."""
    entries = [
        (5, step(0, -1)),
        (6, step(1, 5)),
        (7, step(1, 5, "old")),
        (8, step(1, 6)),
        (9, step(1, 6, "old")),
        (10, step(2, 8)),
    ]
    whole = folded(entries)
    assert whole.is_done(ROLLOUT)
    for dropped in (2, 3, 4, 5):
        late = folded(entries[dropped:])
        assert late.state(ROLLOUT).offset == whole.state(ROLLOUT).offset
        assert late.state(ROLLOUT).stage == 2


def test_redeclared_rollout_starts_from_nothing():
    """Stages of an earlier version would send all traffic to a new one."""
    fold = folded([(5, step(0, -1)), (6, NodeLeft(**LEFT))])
    other = Rollout("r", "mid", "1", "3", ROLLOUT.stages)
    assert fold.state(other).stage == -1


class FakeLog:
    """Writer and feed over one list, folded by its readers at once."""

    def __init__(self):
        """Creates an empty log."""
        self.entries = []
        self.folds = []
        self.out = False

    def append(self, record):
        """Appends a record."""
        if self.out:
            return Err("out")
        entry = LogEntry(offset=len(self.entries), record=record)
        self.entries.append(entry)
        for fold in self.folds:
            fold.apply(entry)
        return Ok(entry.offset)

    def catch_up(self, timeout_s):
        """Confirms the end of the log."""
        return Err("out") if self.out else Ok(len(self.entries) - 1)


class FakeEngines:
    """Engines that drop nothing, check fences or do not."""

    def __init__(self, count=4, checks=True):
        """Creates engines that run the old version."""
        self.versions = {f"mid@2:{n}": {"mid@1"} for n in range(count)}
        self.checks = checks
        self.orders = []

    def state(self, address):
        """Returns the state of an engine."""
        versions = sorted(self.versions[address])
        return Ok({"versions": versions, "checks_fence": self.checks})

    def load_version(self, address, version, order_id, fence):
        """Loads a version."""
        self.orders.append((address, order_id, fence))
        self.versions[address].add(version)
        return Ok(None)

    def available(self, version):
        """Has all weights ready."""
        return Ok(None)


class FakeLease:
    """A lease that a test takes away."""

    def __init__(self, token=7):
        """Creates a valid lease."""
        self.token = token

    def fence(self):
        """Returns the token."""
        return self.token


class Driven:
    """A driver with its fakes on one node."""

    def __init__(self, shared=None, engines=None):
        """Creates a driver over a shared log and engines."""
        prices = {"mid@1": 5, "mid@2": 5}
        self.policy = Policy(catalog_of(prices, [ROLLOUT]))
        self.log = shared or FakeLog()
        self.log.folds.append(self.policy.fold)
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

    def ticks(self, count):
        """Runs the driver some times."""
        for _ in range(count):
            self.policy.clock.time += 1
            self.driver.tick()

    def stage(self):
        """Returns the stage in force."""
        return self.policy.fold.state(ROLLOUT).stage


def test_rollout_advances_only_with_enough_evidence():
    """A stage left early would expose all callers to an unknown version."""
    driven = Driven()
    driven.ticks(5)
    assert driven.stage() == 0 and len(driven.engines.orders) == 2
    driven.policy.add_ratings("mid@2", 19, 0)
    driven.ticks(5)
    assert driven.stage() == 0
    driven.policy.add_ratings("mid@2", 1, 0)
    driven.ticks(5)
    assert driven.stage() == 1 and len(driven.engines.orders) == 4
    driven.policy.add_ratings("mid@2", 50, 0)
    driven.ticks(5)
    assert driven.policy.fold.is_done(ROLLOUT)
    appended = len(driven.log.entries)
    driven.ticks(5)
    assert len(driven.log.entries) == appended == 3


def test_pool_is_never_emptied_and_servers_load_a_few_at_a_time():
    """A pool that loads everywhere at once serves nobody meanwhile."""
    driven = Driven(engines=FakeEngines(4))
    for expected in (1, 2, 2):
        driven.ticks(1)
        assert len(driven.engines.orders) == expected


def test_new_holder_resumes_halfway():
    """A roll-out that stops with its driver would stay halfway for good."""
    first = Driven()
    first.ticks(2)
    second = Driven(shared=first.log, engines=first.engines)
    assert second.stage() == -1
    second.ticks(2)
    assert second.stage() == 0
    addresses = [order[0] for order in second.engines.orders]
    assert len(addresses) == len(set(addresses)) == 2


def test_holder_without_lease_does_nothing_at_each_act():
    """A holder paused between check and act would order with a stale lease."""
    driven = Driven()
    real = driven.engines.available

    def expire(version):
        driven.lease.token = None
        return real(version)

    driven.engines.available = expire
    driven.ticks(5)
    assert driven.engines.orders == [] and driven.log.entries == []


def test_engine_that_ignores_the_fence_waits_for_the_predecessor():
    """A late order of the predecessor could undo that of the new holder."""
    driven = Driven(engines=FakeEngines(checks=False))
    wait = rollout_driver.LEASE_VALIDITY_S + rollout_driver.MAX_ORDER_S
    driven.ticks(int(wait))
    assert driven.engines.orders == []
    driven.ticks(3)
    assert driven.engines.orders


def test_log_outage_halts_the_rollout_without_harm():
    """A step that is not on the log must not be taken as done."""
    driven = Driven()
    driven.log.out = True
    driven.ticks(6)
    assert driven.stage() == -1
    driven.log.out = False
    driven.ticks(2)
    assert driven.stage() == 0


def servers_rated(policy, version, ratings):
    """Counts ratings (good, bad) by server, in both rows."""
    for address, (good, bad) in ratings.items():
        for cell in (Cell(version, "log"), Cell(version, server=address)):
            policy.evidence.count(cell, good=good, bad=bad)


def watched():
    """Returns a policy whose old version has a known quality."""
    policy = Driven().policy
    servers_rated(policy, "mid@1", {"s1": (475, 25), "s2": (475, 25)})
    policy.watch.check()
    return policy


def test_bad_new_version_is_withdrawn_after_few_ratings():
    """A slow test exposes more callers."""
    policy = watched()
    servers_rated(policy, "mid@2", {"s1": (0, 3), "s2": (0, 2)})
    policy.watch.check()
    assert policy.view.withdrawn == {NEW}


def test_bad_server_is_ejected_and_its_version_kept():
    """A good version must not be withdrawn for one bad server."""
    policy = watched()
    ratings = {"s1": (0, 8), "s2": (12, 0), "s3": (12, 1)}
    servers_rated(policy, "mid@2", ratings)
    policy.watch.check()
    assert not policy.view.withdrawn
    assert {found[0] for found in policy.ejected} == {"s1"}


def test_bad_server_of_a_proven_version_is_found_among_many():
    """Good outcomes of the other servers must not restart its test."""
    policy = watched()
    others = {f"s{number}": (10, 0) for number in range(2, 9)}
    for _ in range(12):
        servers_rated(policy, "mid@1", {"s1": (0, 1)} | others)
        policy.watch.check()
    assert not policy.view.withdrawn
    assert {found[0] for found in policy.ejected} == {"s1"}


@pytest.mark.parametrize("bad", [{"bad": 1}, {"cut": 1}])
def test_several_bad_servers_are_ejected_and_their_version_kept(bad):
    """Three of nine servers that cut streams withdrew every version."""
    policy = watched()
    good = {"good": 1} if "bad" in bad else {"complete": 1}
    for _ in range(30):
        for number in range(1, 10):
            amounts = bad if number <= 3 else good
            cells = (Cell("mid@1", "log"), Cell("mid@1", server=f"n{number}"))
            for cell in cells:
                policy.evidence.count(cell, **amounts)
        policy.watch.check()
    assert not policy.view.withdrawn
    assert {found[0] for found in policy.ejected} == {"n1", "n2", "n3"}


def test_proven_version_that_turns_bad_on_many_servers_is_withdrawn():
    """Leaving bad servers out must not hide a version that is bad on most."""
    policy = watched()
    servers_rated(
        policy, "mid@1", {f"n{number}": (0, 3) for number in range(9)}
    )
    policy.watch.check()
    assert policy.view.withdrawn == {OLD}


def test_proven_version_that_turns_bad_is_withdrawn():
    """Old good ratings must not hide a version that has turned bad."""
    policy = watched()
    assert not policy.view.withdrawn
    servers_rated(policy, "mid@1", {"s1": (1, 12), "s2": (0, 12)})
    policy.watch.check()
    assert policy.view.withdrawn == {OLD}


@pytest.mark.parametrize("outcome", ["errors", "cut", "empty"])
def test_failing_version_is_withdrawn_without_ratings(outcome):
    """Ratings never come for answers that do not exist."""
    policy = watched()
    for server in ("s1", "s2"):
        for row in (Cell("mid@2", "log"), Cell("mid@2", server=server)):
            policy.evidence.count(row, complete=1, **{outcome: 8})
    policy.watch.check()
    assert policy.view.withdrawn == {NEW}


def test_readmitted_version_starts_from_nothing():
    """Old evidence would withdraw a readmitted version at once."""
    policy = watched()
    servers_rated(policy, "mid@2", {"s1": (0, 5), "s2": (0, 5)})
    policy.watch.check()
    policy.view.withdrawn.clear()
    policy.watch.epoch = lambda version: 1
    later = copy.copy(policy.watch)
    later.check()
    assert not policy.view.withdrawn
