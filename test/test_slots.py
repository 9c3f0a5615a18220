"""Tests slot leases: one acting owner despite cuts, pauses and outages."""

import collections

import pytest
from _fakes_fleet import Fleet
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthlug.state.leases import ALL_SLOTS, LeaseTable
from amaranthlug.state.records import LeaseClaim, LogEntry


def count_held_slots(fleet):
    """Counts held slots by node; no slot may have two acting owners."""
    found = collections.Counter()
    for slot in range(ALL_SLOTS):
        owners = fleet.owners(slot)
        assert len(owners) <= 1, f"slot {slot} has owners {owners}"
        found.update(owners)
    return found


def run_checked(fleet, seconds):
    """Runs the fleet and checks every 0.5 s that no slot has two owners."""
    for _ in range(int(seconds / 0.5)):
        fleet.run(0.5)
        count_held_slots(fleet)


@pytest.mark.parametrize("count", [1, 2, 3, 8])
def test_all_slots_are_held_and_spread(count):
    """Without an owner the keys of a slot are refused permanently."""
    fleet = Fleet(count, zones=("a", "b", "c", "d"))
    run_checked(fleet, 25)
    slots = count_held_slots(fleet)
    assert sum(slots.values()) == ALL_SLOTS
    assert max(slots.values()) - min(slots.values()) <= 2
    for lease in fleet.nodes["n0"].slots.lease_table.leases.values():
        assert len(lease.successors) == min(2, count - 1)


def test_steady_state_appends_nothing():
    """Renewing promises on the log would use up its append rate."""
    fleet = Fleet(5)
    fleet.run(25)
    records = len(fleet.log.records)
    fleet.run(60)
    assert len(fleet.log.records) == records


def test_joining_node_gets_slots():
    """Without rebalancing the first nodes would keep all slots."""
    fleet = Fleet(2)
    fleet.run(15)
    fleet.start("n2", "c")
    run_checked(fleet, 25)
    assert count_held_slots(fleet)["n2"] >= 20
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS


def test_killed_owner_is_replaced_by_a_successor():
    """The keys of a dead owner must become available again."""
    fleet = Fleet(4)
    fleet.run(25)
    fleet.kill("n1")
    run_checked(fleet, 20)
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS
    for node in fleet.nodes.values():
        assert node.slots.tables.incomplete == {}


def test_silent_node_is_replaced_when_promises_end():
    """A takeover must not wait for heartbeats once promises expired."""
    fleet = Fleet(8, zones=("a", "b", "c", "d"))
    fleet.run(30)
    fleet.nodes["n1"].paused = True
    run_checked(fleet, 5.5)
    held = count_held_slots(fleet)
    assert sum(held.values()) == ALL_SLOTS and not held["n1"]
    lost = fleet.nodes["n1"].me.incarnation
    for lease in fleet.nodes["n0"].slots.lease_table.leases.values():
        assert lost not in (lease.owner, *lease.successors)


def test_paused_owner_cannot_act_when_it_wakes():
    """A resumed owner knows only its old lease until it reads the log."""
    fleet = Fleet(4)
    fleet.run(25)
    paused = fleet.nodes["n1"]
    paused.paused = True
    run_checked(fleet, 15)
    assert not any(paused.slots.held_lease(s) for s in range(ALL_SLOTS))
    paused.paused = False
    run_checked(fleet, 40)
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS


def test_successor_that_claims_refuses_the_owner():
    """Accepting renewals or copies after a claim allows two owners."""
    fleet = Fleet(4)
    fleet.run(25)
    owner = fleet.nodes["n1"]
    lease = owner.slots.lease_table.owned_by(owner.me.incarnation)[0]
    successor = next(
        node
        for node in fleet.nodes.values()
        if node.me.incarnation in lease.successors
    ).slots
    for claiming in (False, True):
        if claiming:
            successor.claiming.add(lease.slot)
        message = {
            "incarnation": owner.me.incarnation,
            "slots": {lease.slot: lease.offset},
            "slot": lease.slot,
            "offset": lease.offset,
            "tables": {},
        }
        granted = successor.on_promise(message)["granted"]
        assert (lease.slot in granted) != claiming
        assert successor.on_slot_copy(message)["ok"] != claiming
        assert owner.slots.replicate(lease.slot, "runs", {}) != claiming


def test_slots_go_on_while_the_log_is_out():
    """An hour without the log must not stop keyed requests."""
    fleet = Fleet(4)
    fleet.run(25)
    fleet.log.outage = True
    run_checked(fleet, 120)
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS
    fleet.kill("n2")
    run_checked(fleet, 20)
    assert sum(count_held_slots(fleet).values()) < ALL_SLOTS
    fleet.log.outage = False
    run_checked(fleet, 30)
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS


def test_cut_zone_loses_its_slots_and_returns():
    """A partitioned zone that reaches the log must not act on its slots."""
    fleet = Fleet(6)
    fleet.run(25)
    fleet.cut(["n0", "n3"], ["n1", "n2", "n4", "n5"])
    run_checked(fleet, 30)
    slots = count_held_slots(fleet)
    assert not slots["n0"] and not slots["n3"]
    assert sum(slots.values()) == ALL_SLOTS
    fleet.cuts.clear()
    run_checked(fleet, 60)
    assert len(count_held_slots(fleet)) == 6


def test_survivor_of_two_takes_over():
    """Neither of two nodes is a majority, but the survivor must go on."""
    fleet = Fleet(2)
    fleet.run(15)
    fleet.kill("n0")
    run_checked(fleet, 15)
    assert count_held_slots(fleet)["n1"] == ALL_SLOTS


def test_lost_answers_of_claims_are_settled():
    """A claim whose reply was lost may have taken effect."""
    fleet = Fleet(4)
    fleet.run(25)
    fleet.log.lose_answers = True
    fleet.kill("n3")
    run_checked(fleet, 15)
    fleet.log.lose_answers = False
    run_checked(fleet, 30)
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS


def test_leaving_node_hands_over_and_is_named_nowhere():
    """A node that exits while it owns slots leaves them unowned."""
    fleet = Fleet(4)
    fleet.run(25)
    leaving = fleet.nodes["n2"]
    leaving.membership.announce_leaving()
    run_checked(fleet, 40)
    assert not leaving.claims.is_named_in_leases()
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS
    assert fleet.nodes["n0"].metrics.counters.get("slots.takeover", 0) == 0


def test_restarted_fleet_claims_orphans_as_incomplete():
    """After all copies are lost, an unknown older key may have run."""
    fleet = Fleet(3)
    fleet.run(15)
    for address in ("n0", "n1", "n2"):
        fleet.kill(address)
        fleet.start(address, "abc"[int(address[1])])
    run_checked(fleet, 25)
    assert sum(count_held_slots(fleet).values()) == ALL_SLOTS
    owner = fleet.nodes[fleet.owners(5)[0]]
    assert 5 in owner.slots.tables.incomplete


CLAIMS = st.lists(
    st.tuples(st.integers(-1, 8), st.sampled_from("xyz")), max_size=9
)


def apply_claims(entries):
    """Returns the leases after applying the entries."""
    state = LeaseTable()
    for entry in entries:
        state.apply(entry)
    return state.leases


@settings(derandomize=True, max_examples=100, deadline=None)
@given(CLAIMS)
def test_one_claim_wins_and_repeats_change_nothing(claims):
    """Two nodes that claim concurrently must not both own the slot."""
    entries = [
        LogEntry(
            offset=i,
            record=LeaseClaim(
                id=str(i), slots={3: replaces}, owner=owner, successors=[]
            ),
        )
        for i, (replaces, owner) in enumerate(claims)
    ]
    newest = -1
    for i, (replaces, _) in enumerate(claims):
        if replaces == newest:
            newest = i
    leases = apply_claims(entries)
    assert (leases[3].offset if leases else -1) == newest


def test_reader_of_a_trimmed_log_trusts_a_refreshed_lease():
    """A new node must not treat a living owner's old lease as free."""
    claim = LeaseClaim(id="r", slots={3: 40}, owner="x", successors=[])
    assert apply_claims([LogEntry(offset=90, record=claim)])[3].owner == "x"
