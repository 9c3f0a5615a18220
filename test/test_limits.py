"""Tests limits over all nodes: overshoot, moving demand, partitions."""

import random

import pytest
from _fakes_log import FakeClock, FakeMembers, FakeMetrics

from amaranthlug.coordination.limits import ROWS_PER_MESSAGE, SharedLimits
from amaranthlug.state.catalog import Limits, Organisation
from amaranthlug.state.members import Member
from amaranthlug.state.records import BillChunk, BillEntry, LogEntry
from amaranthlug.state.refusal import RefusalCode

PERIOD_S = 1.0
STEP_S = 0.02
DAY_S = 86_400


def organisation(name="acme", **limits):
    """Returns an organisation with limits."""
    return Organisation(name, frozenset(), frozenset(), Limits(**limits))


class Fleet:
    """Limit enforcers of nodes that exchange with two random peers a period."""

    def __init__(self, count, capacity=2_000):
        """Creates nodes that know each other."""
        self.clock = FakeClock()
        self.wall = [DAY_S * 100.0]
        self.random = random.Random(7)
        names = [f"n{number}" for number in range(count)]
        self.enforcers = [
            SharedLimits(
                FakeMembers(
                    name,
                    "a",
                    [Member(n, "a", n) for n in names if n != name],
                ),
                self.clock,
                FakeMetrics(),
                capacity=capacity,
                wall_clock=lambda: self.wall[0],
                seed=1,
            )
            for name in names
        ]
        self.exchange_all()

    def exchange_all(self):
        """Lets every node exchange with two peers."""
        for enforcer in self.enforcers:
            others = [
                other for other in self.enforcers if other is not enforcer
            ]
            for peer in self.random.sample(others, min(2, len(others))):
                peer.incoming("", enforcer.outgoing())
                enforcer.incoming("", peer.outgoing())

    def run(self, seconds, demand, acme, exchange=True, tokens=10):
        """Offers requests and returns how many were admitted.

        Args:
            seconds: Duration.
            demand: Requests per second by node number.
            acme: Organisation of all requests.
            exchange: Whether the nodes reach each other.
            tokens: Tokens of each request.
        """
        admitted, due, period = 0, dict.fromkeys(demand, 0.0), 0.0
        for _ in range(round(seconds / STEP_S)):
            self.clock.time += STEP_S
            period += STEP_S
            if exchange and period >= PERIOD_S:
                period = 0.0
                self.exchange_all()
            for number, rate in demand.items():
                due[number] += rate * STEP_S
                while due[number] >= 1:
                    due[number] -= 1
                    enforcer = self.enforcers[number]
                    if enforcer.admit(acme, tokens).is_ok():
                        admitted += 1
                        enforcer.done(acme, tokens, 1)
        return admitted


@pytest.mark.parametrize(
    "demand",
    [{0: 200}, {0: 150, 5: 50}, dict.fromkeys(range(8), 25), {0: 190, 1: 1}],
)
def test_limit_holds_and_is_used_wherever_the_demand_is(demand):
    """Equal shares would refuse requests that all arrive at one node."""
    fleet, acme = Fleet(8), organisation(requests_per_s=60)
    fleet.run(10, demand, acme)
    admitted = fleet.run(20, demand, acme)
    period = sum(demand.values()) * PERIOD_S
    assert 0.9 * 60 * 20 <= admitted <= 60 * 20 + period


def test_overshoot_of_moving_demand_is_one_period():
    """Demand that moves may exceed the limit by one period's demand at most.

    Callers move to other nodes when their entry node leaves.
    """
    fleet, acme = Fleet(8), organisation(requests_per_s=60)
    fleet.run(10, {0: 200}, acme)
    for number in range(1, 8):
        admitted = fleet.run(4, {number: 200}, acme)
        assert admitted <= 60 * 4 + 200 * PERIOD_S


def test_token_rate_holds_for_real_use():
    """Actual tokens count, which may differ from the estimate at admission."""
    fleet, acme = Fleet(4), organisation(tokens_per_s=1_000)
    enforcer = fleet.enforcers[0]
    used = 0
    for step in range(1_500):
        fleet.clock.time += STEP_S
        if step % 50 == 0:
            fleet.exchange_all()
        if enforcer.admit(acme, 100).is_ok():
            enforcer.done(acme, 300, 1)
            used += 300
    assert used <= 1_000 * 30 + 100 / STEP_S + 300


def test_streams_are_counted_over_all_nodes():
    """Streams still running after demand has moved must stay counted."""
    fleet, acme = Fleet(4), organisation(streams=20)
    running = 0
    for number in (0, 1, 2, 3):
        for _ in range(10):
            running += sum(
                fleet.enforcers[number].admit(acme, 1).is_ok()
                for _ in range(10)
            )
            fleet.clock.time += PERIOD_S
            fleet.exchange_all()
        assert running <= 20
    assert running >= 18
    refusal = fleet.enforcers[0].admit(acme, 1).unwrap_err()
    assert (refusal.code, refusal.status) == (RefusalCode.LIMIT_EXCEEDED, 429)


def test_share_shrinks_with_age_and_never_grows_without_exchange():
    """A partitioned node must give up a share that others may use now."""
    fleet, acme = Fleet(8), organisation(requests_per_s=80)
    fleet.run(10, {0: 200}, acme)
    enforcer = fleet.enforcers[0]
    state = enforcer.states["acme"]
    shares = []
    for _ in range(100):
        fleet.clock.time += 0.5
        enforcer.admit(acme, 1)
        shares.append(
            enforcer.current_share(
                state.request_share, 80, state, fleet.clock.time
            )
        )
    assert shares == sorted(shares, reverse=True)
    assert shares[0] > 60
    assert shares[-1] == pytest.approx(80 / 8)


def test_nodes_that_all_lose_each_other_keep_the_limit_together():
    """A failed network switch must not multiply an organisation's limit."""
    fleet, acme = Fleet(4), organisation(requests_per_s=40)
    demand = dict.fromkeys(range(4), 50)
    fleet.run(5, demand, acme)
    admitted = fleet.run(20, demand, acme, exchange=False)
    assert admitted <= 40 * 20 + 200 * PERIOD_S


def bills(day, cost, at=0.0):
    """Returns a log entry of a chunk with one bill."""
    bill = BillEntry(
        request_id="r",
        organisation="acme",
        kind="k",
        version="m@1",
        prompt_tokens=1,
        output_tokens=1,
        cost=cost,
        outcome="complete",
    )
    chunk = BillChunk(
        id="c", at=day * DAY_S + at, incarnation="x", sequence=1, entries=[bill]
    )
    return LogEntry(offset=1, record=chunk)


def test_cost_of_the_day_counts_the_log_and_other_nodes():
    """The cost of the day includes other nodes' bills and those on the log.

    Otherwise a restarted node would count from zero.
    """
    fleet, acme = Fleet(3), organisation(cost_per_day=100)
    first, second, third = fleet.enforcers
    assert first.admit(acme, 1).is_ok()
    first.done(acme, 1, 60)
    assert second.admit(acme, 1).is_ok()
    second.done(acme, 1, 60)
    assert first.admit(acme, 1).is_ok()
    first.done(acme, 1, 0)
    first.incoming("", second.outgoing())
    assert "cost_per_day" in first.admit(acme, 1).unwrap_err().message
    third.apply(bills(99, 500))
    assert third.admit(acme, 1).is_ok()
    third.apply(bills(100, 100))
    assert third.admit(acme, 1).is_err()
    fleet.wall[0] += DAY_S
    assert all(enforcer.admit(acme, 1).is_ok() for enforcer in fleet.enforcers)


def test_large_organisation_leaves_room_for_others_on_a_busy_node():
    """An organisation without limits must not fill a node's capacity."""
    enforcer = Fleet(1, capacity=100).enforcers[0]
    large, small = organisation("large"), organisation("small")
    for _ in range(100):
        enforcer.admit(large, 1)
    assert enforcer.admit(small, 1).is_ok()
    assert enforcer.admit(large, 1).unwrap_err().code == RefusalCode.OVERLOADED
    for _ in range(60):
        enforcer.done(large, 1, 1)
    taken = sum(enforcer.admit(small, 1).is_ok() for _ in range(100))
    assert taken >= 40


def test_message_size_is_bounded():
    """The exchange section must not grow with the number of nodes."""
    fleet, acme = Fleet(30), organisation(requests_per_s=1)
    for enforcer in fleet.enforcers:
        enforcer.admit(acme, 1)
    fleet.exchange_all()
    fleet.exchange_all()
    sizes = [len(enforcer.outgoing()["rows"]) for enforcer in fleet.enforcers]
    assert max(sizes) == 1 + ROWS_PER_MESSAGE
