"""Tests membership: joins, suspicion, partitions, leaves, replacement."""

import random

from _fakes_fleet import Fleet
from hypothesis import given, settings
from hypothesis import strategies as st

from amaranthlug.coordination.member_messages import MemberSection
from amaranthlug.coordination.platform import VmEntry
from amaranthlug.coordination.vm_watch import VmWatch
from amaranthlug.protocol.suspects import SuspectRegister
from amaranthlug.state.members import (
    Member,
    MemberEntry,
    MemberState,
    MemberTable,
    short_name,
)

LIVE = MemberState.LIVE


def states(node):
    """Returns the member states known to a node, by address."""
    return {m.address: m.state for m in node.membership.members()}


def test_nodes_join_through_a_seed():
    """Nodes that know only one seed must learn of all others."""
    fleet = Fleet(8)
    fleet.run(6)
    for node in fleet.nodes.values():
        assert len(node.membership.live()) == 8
        assert node.membership.heard_majority()


def test_killed_node_is_suspect_then_gone():
    """A dead node that stays listed would get callers and copies of bills."""
    fleet = Fleet(5)
    fleet.run(6)
    fleet.kill("n3")
    fleet.run(6.5)
    assert all(states(n)["n3"] != LIVE for n in fleet.nodes.values())
    fleet.run(6)
    assert {states(n)["n3"] for n in fleet.nodes.values()} == {"gone"}
    addresses = [a for a, _ in fleet.nodes["n0"].membership.entries("a")]
    assert "n3" not in addresses and len(addresses) == 4


def test_broken_link_between_two_nodes_makes_no_member_suspect():
    """A single broken link must not make a healthy node suspect."""
    fleet = Fleet(5)
    fleet.run(6)
    fleet.cut(["n1"], ["n2"])
    for _ in range(30):
        fleet.run(1)
        assert states(fleet.nodes["n1"])["n2"] == LIVE


def test_minority_never_marks_the_majority_as_gone():
    """A partitioned zone must not mark the others as gone.

    It would then consider itself a majority.
    """
    fleet = Fleet(8, zones=("a", "b", "c", "d"))
    fleet.run(6)
    fleet.cut(["n0", "n4"], ["n1", "n2", "n3", "n5", "n6", "n7"])
    for _ in range(40):
        fleet.run(1)
        if fleet.time > 1_013.5:
            assert not fleet.nodes["n0"].membership.heard_majority()
            assert fleet.nodes["n1"].membership.heard_majority()
    assert states(fleet.nodes["n1"])["n0"] == "gone"
    fleet.cuts.clear()
    fleet.run(40)
    for node in fleet.nodes.values():
        assert len(node.membership.live()) == 8


def test_replaced_vm_is_another_member():
    """A new process must not inherit the identity of the previous one."""
    fleet = Fleet(4)
    fleet.run(6)
    old = fleet.kill("n2").me.incarnation
    new = fleet.start("n2", "c").me.incarnation
    fleet.run(8)
    view = fleet.nodes["n1"].membership
    assert view.is_certainly_gone(old) and not view.is_certainly_gone(new)
    assert view.by_incarnation(new).state == LIVE


def test_leaving_node_is_not_an_entry_address():
    """Callers sent to a leaving node would be interrupted."""
    fleet = Fleet(4)
    fleet.run(6)
    fleet.nodes["n1"].membership.announce_leaving()
    fleet.run(5)
    for node in fleet.nodes.values():
        assert "n1" not in [a for a, _ in node.membership.entries("b")]
    nearest = fleet.nodes["n0"].membership.entries("c")[0]
    assert nearest == ("n2", "c")


def test_vm_list_reports_departing_upstreams_and_survives_outage():
    """A departing upstream gets no new work, even while the list is out."""
    fleet = Fleet(1)
    fleet.vm_list.vms = [
        VmEntry("e1", "a", "engine", "leaving"),
        VmEntry("e2", "a", "engine", "live"),
    ]
    fleet.run(3)
    fleet.vm_list.outage = True
    fleet.run(5)
    node = fleet.nodes["n0"]
    assert node.membership.departing_upstreams() == {"e1"}
    fleet.vm_list.outage = False
    fleet.vm_list.vms = []
    fleet.run(3)
    assert node.membership.departing_upstreams() == {"e1", "e2"}


def test_new_node_knows_departing_upstreams_at_once():
    """The VM list is read at the start, not only after the first interval.

    A new node sent work to a departing upstream in the meantime.
    """
    fleet = Fleet(1)
    fleet.vm_list.vms = [VmEntry("e1", "a", "engine", "leaving")]
    vms = VmWatch(fleet.vm_list, fleet.nodes["n0"].timers, "n9")
    vms.start()
    assert vms.departing_upstreams() == {"e1"}


def test_rumours_about_members_and_about_requests_do_not_mix():
    """Both kinds of rumours need topics of their own.

    With a common topic, the receivers of one kind raised an error on each fact
    of the other.
    """
    fleet = Fleet(3)
    fleet.run(6)
    nodes = fleet.nodes.values()
    registers = [
        SuspectRegister(node.rumours, node.metrics, node.timers.now, "i")
        for node in nodes
    ]
    registers[0].record_crash("digest", "e1")
    fleet.run(2)
    assert all(register.suspected("digest") for register in registers)
    fleet.kill("n1")
    fleet.run(20)
    assert states(fleet.nodes["n0"])["n1"] == MemberState.GONE


def test_message_size_does_not_grow_with_members():
    """Control traffic per node must stay bounded with 390 nodes."""
    sizes = []
    for count in (40, 390):
        table = MemberTable()
        for i in range(count):
            entry = MemberEntry(f"10.0.1.{i}:80", "z", f"{i:08x}", LIVE, 9, 0)
            table.merge(entry, 1.0)
        me = Member("10.0.0.1:80", "z", "me")
        section = MemberSection(table, me, random.Random(1))
        sizes.append(len(str(section.outgoing(1.0))))
    assert sizes[1] < 1.1 * sizes[0]


def test_foreign_vm_list_marks_no_member_as_gone():
    """The VM list of another deployment must not show the fleet as gone."""
    fleet = Fleet(3)
    fleet.vm_list.vms = [VmEntry("other", "a", "entry", "live")]
    fleet.run(40)
    fleet.cut(["n0"], ["n1", "n2"])
    fleet.run(10)
    assert states(fleet.nodes["n0"])["n1"] == "suspect"


def test_members_with_one_short_name_do_not_share_heartbeats():
    """The heartbeat of another member would hide that a member has failed."""
    table = MemberTable(bound=2)
    for incarnation in ("x", "y"):
        entry = MemberEntry("n1", "a", incarnation, LIVE, 1, 0.0)
        table.merge(entry, 1.0)
    assert table.find_by_short_name(short_name("x")) == "x"
    table.incarnations_by_short_name[short_name("x")].add("y")
    assert table.find_by_short_name(short_name("x")) is None


def test_table_is_bounded_and_drops_the_longest_gone():
    """25 failures and 440 restarts a day must not fill the memory."""
    table = MemberTable(bound=3)
    for number in range(10):
        entry = MemberEntry("n1", "a", f"i{number}", LIVE, 1, 0.0)
        table.merge(entry, float(number))
        table.mark_ended(f"i{number}", MemberState.GONE)
    assert sorted(table.members) == ["i7", "i8", "i9"]
    assert len(table.incarnations_by_short_name) == 3


ENTRIES = st.builds(
    MemberEntry,
    st.just("n1"),
    st.just("a"),
    st.sampled_from(["x", "y"]),
    st.sampled_from([LIVE, MemberState.LEAVING]),
    st.integers(0, 3),
    st.just(0.0),
)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(st.lists(ENTRIES, max_size=6), st.randoms())
def test_merge_does_not_depend_on_order(entries, rng):
    """Reordered or repeated entries must lead to the same table."""
    results = []
    for _ in range(2):
        table = MemberTable()
        for entry in [*entries, *entries[:2]]:
            table.merge(entry, 5.0)
        results.append(table.members)
        rng.shuffle(entries)
    assert results[0] == results[1]
