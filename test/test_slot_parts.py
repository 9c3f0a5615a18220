"""Tests the run register and session pins during failures."""

import gevent
import pytest
from _fakes_fleet import Fleet, settle

from amaranthlug.coordination.slot_tables import SlotTable
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.leases import slot_of
from amaranthlug.state.runs import row_key

SCOPE = "run|ch-5"
ONE, TWO = VersionId("m", "1"), VersionId("m", "2")


@pytest.fixture
def fleet():
    """Five nodes in three zones with all slots held."""
    fleet = Fleet(5)
    fleet.run(25)
    return fleet


def nodes_of_slot(fleet, key, scope=SCOPE):
    """Returns the owner, the successors and the other nodes of a key's slot."""
    lease = fleet.nodes["n0"].slots.lease_table.leases[slot_of(scope, key)]
    by_incarnation = {n.me.incarnation: n for n in fleet.nodes.values()}
    owner = by_incarnation[lease.owner]
    copies = [by_incarnation[s] for s in lease.successors]
    others = [n for n in fleet.nodes.values() if n not in (owner, *copies)]
    return owner, copies, others


def begin(fleet, node, key, digest="d", idempotent=False, issued_ms=None):
    """Begins a run; returns `run`, the answer or the refusal code."""
    result = fleet.call(
        node.runs.begin, SCOPE, key, digest, idempotent, issued_ms
    )
    if result.is_err():
        assert result.err_value.not_run == (
            str(result.err_value.code) == "key_reused"
        )
        return str(result.err_value.code)
    return "run" if result.ok_value.run else result.ok_value.answer


def end(fleet, node, key, answer, ran=True):
    """Ends a run."""
    fleet.call(node.runs.end, SCOPE, key, answer, ran)


def test_key_runs_once_and_is_answered_again(fleet):
    """A repeat gets the first answer; a different request is refused."""
    one, two = fleet.nodes["n1"], fleet.nodes["n2"]
    assert begin(fleet, one, "k") == "run"
    end(fleet, one, "k", {"a": 1})
    assert begin(fleet, two, "k") == {"a": 1}
    assert begin(fleet, two, "k", digest="other") == "key_reused"


def test_freed_key_may_run_and_a_run_without_answer_may_not(fleet):
    """`ran=False` frees a key, but a run without an answer must not."""
    one, two = fleet.nodes["n1"], fleet.nodes["n2"]
    assert begin(fleet, one, "k") == "run"
    end(fleet, one, "k", None, ran=False)
    assert begin(fleet, two, "k") == "run"
    end(fleet, two, "k", None)
    assert begin(fleet, one, "k") == "unknown_outcome"
    assert begin(fleet, one, "k", idempotent=True) == "run"


def test_second_request_waits_for_the_first(fleet):
    """Two concurrent requests with a key must not both run."""
    one, two = fleet.nodes["n1"], fleet.nodes["n2"]
    assert begin(fleet, one, "k") == "run"
    second = gevent.spawn(begin, fleet, two, "k")
    settle()
    assert not second.ready()
    one.runs.end(SCOPE, "k", {"a": 2}, True)
    fleet.run(0.5)
    assert second.get(timeout=5) == {"a": 2}


def test_owner_killed_keys_answer_from_copies(fleet):
    """When the owner dies, a key must neither run again nor be lost."""
    owner, _, others = nodes_of_slot(fleet, "k")
    node = others[0]
    assert begin(fleet, node, "k") == "run"
    end(fleet, node, "k", {"a": 3})
    _, _, others_2 = nodes_of_slot(fleet, "running")
    assert begin(fleet, others_2[0], "running") == "run"
    fleet.kill(owner.me.address)
    fleet.run(20)
    survivor = next(iter(fleet.nodes.values()))
    assert begin(fleet, survivor, "k") == {"a": 3}
    end(fleet, others_2[0], "running", {"a": 4})
    assert begin(fleet, survivor, "running") == {"a": 4}


def test_owner_that_runs_the_request_dies(fleet):
    """A run on a dead node may have completed, so it must not run again."""
    owner, _, _ = nodes_of_slot(fleet, "k")
    assert begin(fleet, owner, "k") == "run"
    fleet.kill(owner.me.address)
    fleet.run(20)
    survivor = next(iter(fleet.nodes.values()))
    assert begin(fleet, survivor, "k") == "unknown_outcome"


@pytest.mark.parametrize("idempotent", [True, False])
def test_key_of_a_dead_runner_is_decided_at_once(fleet, idempotent):
    """A caller that repeats its key must not wait for a dead node."""
    _, _, others = nodes_of_slot(fleet, "k")
    assert begin(fleet, others[0], "k", idempotent=idempotent) == "run"
    fleet.kill(others[0].me.address)
    started = fleet.time
    outcome = begin(fleet, others[1], "k", idempotent=idempotent)
    assert outcome == ("run" if idempotent else "unknown_outcome")
    assert fleet.time - started <= 1.0


def test_duplicate_of_a_long_run_is_told_to_come_back(fleet):
    """A duplicate must be told to retry before its caller times out."""
    one, two = fleet.nodes["n1"], fleet.nodes["n2"]
    assert begin(fleet, one, "k") == "run"
    result = fleet.call(two.runs.begin, SCOPE, "k", "d", False)
    assert str(result.err_value.code) == "run_in_progress"
    assert result.err_value.retry_after_s


def test_paused_owner_that_wakes_allows_no_run(fleet):
    """Successors refuse a resumed owner's copies, so it allows no run."""
    owner, _, _ = nodes_of_slot(fleet, "k")
    owner.paused = True
    fleet.run(15)
    survivor = next(n for n in fleet.nodes.values() if n is not owner)
    assert begin(fleet, survivor, "k") == "run"
    owner.paused = False
    assert begin(fleet, owner, "k") != "run"


def test_lost_successor_stops_runs_until_it_is_replaced(fleet):
    """A run with a single copy would be lost by the next failure."""
    owner, copies, others = nodes_of_slot(fleet, "k")
    fleet.kill(copies[0].me.address)
    message = {
        "key": row_key(SCOPE, "k"),
        "digest": "d",
        "run_id": "r",
        "runner": others[0].me.incarnation,
        "idempotent": False,
        "issued_ms": None,
        "answer": None,
    }
    slot = slot_of(SCOPE, "k")
    assert owner.slots.held_lease(slot)
    asked = others[0].slots.call_owner(slot, "run_begin", message, tries=1)
    assert asked.err_value.message == "copies"
    freed = {**message, "slot": slot, "ran": False}
    sent = others[0].slots.send(owner.me.incarnation, "run_end", freed)
    assert sent.is_ok()
    fleet.run(15)
    assert begin(fleet, others[0], "k") == "run"


def test_refused_begin_leaves_the_key_free(fleet):
    """A refused `run_begin` must not block a repeat with the same key."""
    owner, copies, others = nodes_of_slot(fleet, "k")
    fleet.log.outage = True
    fleet.cut([owner.me.address], [copies[0].me.address])
    fleet.run(5)
    assert begin(fleet, others[0], "k") == "slot_unavailable"
    fleet.log.outage = False
    fleet.cuts.clear()
    fleet.run(15)
    assert begin(fleet, others[0], "k") == "run"


def test_owner_and_successor_die_together(fleet):
    """The last successor must not treat an unknown key as a new one."""
    owner, copies, _ = nodes_of_slot(fleet, "k")
    fleet.kill(owner.me.address)
    fleet.kill(copies[0].me.address)
    fleet.run(30)
    last = copies[1]
    assert begin(fleet, last, "k") == "unknown_outcome"
    later_ms = int(fleet.time * 1000)
    assert begin(fleet, last, "k", issued_ms=later_ms) == "run"


def test_key_is_not_run_twice_when_the_reply_is_lost(fleet):
    """A lost reply of `run_begin` must not leave the key running forever."""
    owner, _, others = nodes_of_slot(fleet, "k")
    fleet.lose_replies.add(("run_begin", owner.me.address))
    assert begin(fleet, others[0], "k") == "slot_unavailable"
    fleet.lose_replies.clear()
    fleet.run(5)
    assert begin(fleet, others[0], "k") == "run"


def test_full_register_refuses(fleet):
    """An unbounded register would exhaust the node's memory."""
    owner, _, others = nodes_of_slot(fleet, "k")
    owner.runs.rows.bound = owner.runs.table.count
    assert begin(fleet, others[0], "k") == "run_register_full"


def test_full_memory_refuses_new_keys_and_copies(fleet):
    """Long answers reach the memory bound before the bound of keys."""
    owner, copies, others = nodes_of_slot(fleet, "k")
    owner.slots.tables.bound_bytes = owner.slots.tables.bytes()
    assert begin(fleet, others[0], "k") == "run_register_full"
    owner.slots.tables.bound_bytes = 1_000
    copies[0].slots.tables.bound_bytes = copies[0].slots.tables.bytes()
    assert begin(fleet, others[0], "k") == "slot_unavailable"


def test_memory_of_rows_is_counted():
    """A wrong count would refuse keys too early or never."""
    table = SlotTable("t", lambda new, old: new["n"] > old["n"])
    for number in range(50):
        table.merge(number % 3, {f"k{number % 7}": {"n": number, "x": "y"}})
    table.remove(1, "k1")
    table.drop(0)
    assert table.count == sum(map(len, table.slots.values())) > 0
    for slot in range(3):
        for key, _ in table.rows(slot):
            table.remove(slot, key)
    assert (table.count, table.bytes) == (0, 0)


def pin(fleet, node, version, session="s"):
    """Pins a session and returns the version."""
    return fleet.call(node.pins.pin, "ch-5", session, version).ok_value


def test_two_first_requests_of_a_session_agree(fleet):
    """Two nodes that pin concurrently must use one version."""
    one, two = fleet.nodes["n1"], fleet.nodes["n2"]
    tasks = [
        gevent.spawn(one.pins.pin, "ch-5", "s", ONE),
        gevent.spawn(two.pins.pin, "ch-5", "s", TWO),
    ]
    fleet.run(1)
    versions = {task.get(block=False).ok_value for task in tasks}
    assert len(versions) == 1
    assert pin(fleet, fleet.nodes["n3"], TWO) in versions


def test_pin_survives_owner_and_moves_when_withdrawn(fleet):
    """A session keeps its version until that is withdrawn."""
    owner, _, others = nodes_of_slot(fleet, "s", "session|ch-5")
    assert pin(fleet, others[0], ONE) == ONE
    fleet.kill(owner.me.address)
    fleet.run(20)
    fresh = next(n for n in fleet.nodes.values() if n is not others[0])
    assert pin(fleet, fresh, TWO) == ONE
    fresh.withdrawn.add(str(ONE))  # The owner does not know it yet.
    assert pin(fleet, fresh, TWO) == TWO
    found = fleet.call(others[1].pins.lookup, "ch-5", "s")
    assert found.ok_value in (TWO, ONE)


def test_known_pin_is_used_while_its_slot_is_away(fleet):
    """Cached pins keep sessions running while their slot has no owner."""
    owner, _, others = nodes_of_slot(fleet, "s", "session|ch-5")
    node = others[0]
    assert pin(fleet, node, ONE) == ONE
    fleet.log.outage = True
    fleet.kill(owner.me.address)
    fleet.run(70)
    assert pin(fleet, node, TWO) == ONE
    result = fleet.call(others[1].pins.pin, "ch-5", "s", TWO)
    assert str(result.err_value.code) == "slot_unavailable"
    assert result.err_value.not_run


def test_idle_session_loses_its_pin():
    """Pins that never expire would fill the table."""
    fleet = Fleet(1)
    fleet.run(10)
    node = fleet.nodes["n0"]
    node.pins.idle_s = 20.0
    assert pin(fleet, node, ONE) == ONE
    fleet.run(30)
    assert pin(fleet, node, TWO) == TWO
    fleet.run(100)
    assert node.pins.table.count == 0
