"""Tests of the nodes that callers are sent to; no network."""

import dataclasses
import math
from collections import Counter

import pytest
from _routing import FakeClock, FakeStore, make_node_entry, make_report
from _signs import DirectoryCase
from hypothesis import given
from hypothesis import strategies as st

from amaranthlug.coordination.routing.entry_directory import (
    ASK_AGAIN_S,
    ASK_BEFORE_FAR_S,
    ASK_BEFORE_S,
    MAX_ASKED,
    MAX_SIGN_AGE_FAR_S,
    MAX_SIGN_AGE_S,
    NODE_KEPT_S,
    LifeAnswer,
    LifeRequest,
)
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.node_signs import (
    MAX_NODES,
    UNKNOWN_AGE,
    NodeSigns,
)
from amaranthlug.coordination.routing.relay_roles import NODES_PER_RELAY
from amaranthlug.coordination.routing.report_follower import periods_behind


def test_nodes_that_were_just_heard_are_named_and_not_asked():
    """A quiet fleet sends no message for it."""
    case = DirectoryCase()
    case.hear_all()
    case.clock.advance(MAX_SIGN_AGE_S - ASK_BEFORE_S - 0.1)
    assert case.named() == ["n0", "n1", "n2"]
    assert case.others.asked == []


def test_node_in_doubt_is_asked_and_stays_named():
    """Its reports may be late, or the store away."""
    case = DirectoryCase()
    case.hear_all()
    for _ in range(20):
        case.clock.advance(MAX_SIGN_AGE_S - ASK_BEFORE_S)
        assert case.named() == ["n0", "n1", "n2"]


# Guards against a dead node that is named for as long as others list it.
def test_dead_node_is_left_out_while_it_is_still_listed():
    """The node is listed all the time, as it is without the store."""
    case = DirectoryCase()
    case.hear_all()
    case.others.answers["n1"] = TimeoutError("timed out")
    steps = [
        (case.clock.advance(0.1), "n1" in case.named()) for _ in range(100)
    ]
    named = [named for _, named in steps]
    last = max(i for i, was_named in enumerate(named) if was_named)
    assert (last + 1) * 0.1 <= MAX_SIGN_AGE_S
    assert named == sorted(named, reverse=True)
    assert case.others.asked.count("n1") <= 10.0 / ASK_AGAIN_S


def test_node_without_any_sign_is_asked_before_it_is_named():
    """A node that starts knows old reports, also those of dead nodes."""
    case = DirectoryCase()
    case.others.answers["n1"] = ConnectionRefusedError("refused")
    assert case.named() == ["n0", "n2"]


def test_node_that_goes_on_after_a_pause_asks_the_others():
    """All that it knew before the pause is old."""
    case = DirectoryCase()
    case.hear_all()
    case.others.answers["n2"] = TimeoutError("timed out")
    case.clock.advance(8.0)
    assert case.named() == ["n0", "n1"]


def test_node_that_nobody_lists_is_named_while_it_answers():
    """It may be cut off from the store only; later it is forgotten."""
    case = DirectoryCase()
    case.hear_all()
    case.named()
    case.listed = [case.entries[0]]
    for _ in range(30):
        case.clock.advance(2.0)
        assert case.named() == ["n0", "n1", "n2"]
    case.others.answers["n2"] = TimeoutError("timed out")
    case.clock.advance(MAX_SIGN_AGE_S + 0.01)
    assert case.named() == ["n0", "n1"]
    case.clock.advance(NODE_KEPT_S)
    case.others.answers["n1"] = TimeoutError("timed out")
    case.named()
    assert set(case.directory.known) == {"n0"}


@pytest.mark.parametrize(
    ("answer", "own_confirmed", "named"),
    [
        (LifeAnswer("n1", True), True, True),
        (None, True, True),
        (LifeAnswer("n9", True), True, False),
        (LifeAnswer("n1", False), True, False),
        (LifeAnswer("n1", True, False), True, False),
        (LifeAnswer("n1", True, False), False, True),
    ],
)
def test_answer_decides_whether_callers_are_sent(answer, own_confirmed, named):
    """Earlier builds know no such question, but live."""
    case = DirectoryCase()
    case.others.answers["n1"] = answer
    case.confirmed = own_confirmed
    assert ("n1" in case.named()) == named


def test_question_is_a_sign_of_its_sender():
    """Nodes in doubt about each other need one question."""
    case = DirectoryCase()
    answer = case.directory.answer(LifeRequest("n1"), serving=True)
    assert answer == LifeAnswer("n0", True, True)
    assert case.signs.age_s("n1") == 0.0


@pytest.mark.parametrize("count", [78, 390])
def test_large_zone_that_starts_at_once_asks_a_few_nodes(count):
    """Each node names itself and those that it has asked."""
    case = DirectoryCase(count)
    named = case.named()
    assert len(named) == MAX_ASKED + 1
    assert len(case.others.asked) == MAX_ASKED


def test_zone_of_several_relays_allows_for_the_way_through_the_store():
    """Otherwise nodes of other relays would be asked all the time."""
    case = DirectoryCase(NODES_PER_RELAY + 2)
    case.hear_all()
    case.clock.advance(MAX_SIGN_AGE_FAR_S - ASK_BEFORE_FAR_S - 0.1)
    assert len(case.named()) == NODES_PER_RELAY + 2
    assert case.others.asked == []


def test_node_left_out_and_named_again_is_logged_once(caplog):
    """A change of belief has one line, however often callers ask."""
    case = DirectoryCase()
    case.hear_all()
    case.others.answers["n1"] = TimeoutError("timed out")
    case.clock.advance(MAX_SIGN_AGE_S + 0.01)
    with caplog.at_level("INFO"):
        case.named()
        case.named()
        case.signs.record("n1", case.clock())
        case.named()
    events = [getattr(record, "event", "") for record in caplog.records]
    assert events == ["life_unanswered", "node_left_out", "node_named_again"]


def test_signs_do_not_become_newer_on_their_way():
    """Through a member's report, the store, another relay and its summary."""
    store, clock = FakeStore(), FakeClock()
    first, second, last = (
        FleetView(node_store, lambda name=name: make_report(name), clock=clock)
        for name, node_store in (
            ("n1", store),
            ("n2", store),
            ("n3", FakeStore()),
        )
    )
    second.follower.read_once()
    spoke_at = clock()
    first.update_member(make_report("n0"))
    clock.advance(0.6)
    first.publish()
    clock.advance(0.5)
    second.follower.read_once()
    clock.advance(0.7)
    summary = second.summary_for("n3")
    clock.advance(0.2)
    last.set_summary(summary, formed_at=clock() - 0.2)
    assert last.signs.heard_at["n0"] <= spoke_at
    assert last.signs.age_s("n0") < MAX_SIGN_AGE_FAR_S


@pytest.mark.parametrize("ages", [[], [UNKNOWN_AGE, UNKNOWN_AGE]])
def test_nodes_without_stated_ages_give_no_sign(ages):
    """Earlier builds state none."""
    signs = NodeSigns(FakeClock())
    signs.record_stated(["n1", "n2"], ages, 1_000.0)
    assert signs.age_s("n1") == math.inf
    assert signs.stated_ages(["n1"]) == [UNKNOWN_AGE]


def test_oldest_sign_is_dropped_first():
    """Names of nodes that are gone must not pile up."""
    signs = NodeSigns(FakeClock())
    for number in range(MAX_NODES + 1):
        signs.record(f"n{number}", float(number))
    assert len(signs.heard_at) == MAX_NODES
    assert "n0" not in signs.heard_at


def test_summary_states_the_age_of_each_node_in_its_order():
    """The list of nodes is left out when it did not change; ages are not."""
    clock = FakeClock()
    relay = FleetView(FakeStore(), lambda: make_report("n5"), clock=clock)
    relay.follower.read_once()
    for node, wait_s in (("n9", 0.5), ("n1", 0.25)):
        relay.update_member(make_report(node))
        clock.advance(wait_s)
    summary = relay.summary_for("n1")
    assert [entry.node for entry in summary.nodes] != ["n1", "n5", "n9"]
    assert summary.sign_ages == [3, UNKNOWN_AGE, 8]
    assert make_node_entry("n1") in summary.nodes


def make_writers(store, clock, names):
    """Returns views of nodes that write to the same store."""
    writers = {
        name: FleetView(store, lambda name=name: make_report(name), clock=clock)
        for name in names
    }
    for writer in writers.values():
        writer.follower.read_once()
    return writers


# Guards against a dead node that counts as new at each node that reads the
# topic again after a while: a member that lost its relay read all of it.
def test_last_report_of_a_dead_node_is_old_where_it_is_read_late():
    """Three others have reported four times since."""
    store, clock = FakeStore(), FakeClock()
    view = FleetView(store, lambda: make_report("n0"), clock=clock)
    view.follower.read_once()
    writers = make_writers(store, clock, ("n1", "n2", "n3", "dead"))
    clock.advance(20.0)
    for name in ["dead", *["n1", "n2", "n3"] * 5]:
        writers[name].publish()
    view.follower.read_once()
    names = {entry.node for entry in view.nodes()}
    assert names == {"n0", "n1", "n2", "n3"}
    assert view.signs.age_s("dead") >= 20.0


# Guards against reports that never grow old while the store drops its history.
def test_report_that_is_read_again_does_not_become_newer():
    """Each read is a full one then."""
    store, clock = FakeStore(), FakeClock()
    view = FleetView(store, lambda: make_report("n0"), clock=clock)
    writers = make_writers(store, clock, ("n1", "dead"))
    writers["dead"].publish()
    view.follower.read_once()
    for _ in range(4):
        clock.advance(1.0)
        writers["n1"].publish()
        view.follower.position = None
        view.follower.read_once()
    assert {entry.node for entry in view.nodes()} == {"n0", "n1"}
    assert view.signs.age_s("dead") >= 4.0


def test_offsets_of_a_copy_are_not_taken_for_known_reports():
    """They are given out again after the store returned to a copy."""
    store, clock = FakeStore(), FakeClock()
    view = FleetView(store, lambda: make_report("n0"), clock=clock)
    writers = make_writers(store, clock, ("n1",))
    view.follower.read_once()
    writers["n1"].publish()
    view.follower.read_once()
    store.records.clear()
    view.follower.begin_restore()
    view.follower.read_once()
    clock.advance(4.0)
    writers["n1"].publish()
    view.follower.position = None
    view.follower.read_once()
    assert {entry.node for entry in view.nodes()} == {"n0", "n1"}


# Guards against a node that counted as not serving for 2 s after its start: the
# report of its first relay, older than its own, won by its place in a table.
@pytest.mark.parametrize("order", [("n0", "n1"), ("n1", "n0")])
def test_newest_report_of_a_node_wins(order):
    """A node that became a relay is in the report of its former one for 2 s."""
    store, clock = FakeStore(), FakeClock()
    view = FleetView(store, lambda: make_report("n9"), clock=clock)
    writers = make_writers(store, clock, ("n0", "n1"))
    view.follower.read_once()
    starting = dataclasses.replace(
        make_report("n0"), entry=make_node_entry("n0", serving=False)
    )
    writers["n1"].update_member(starting)
    clock.advance(0.7)
    for name in order:
        writers[name].publish()
    view.follower.read_once()
    found = {entry.node: entry.serving for entry in view.nodes()}
    assert found == {"n9": True, "n0": True, "n1": True}


@given(st.lists(st.sampled_from("abcd"), max_size=40))
def test_periods_behind_counts_the_writer_that_wrote_most(keys):
    """Compared with a count at each record."""
    records = [KeyedRecord(key, b"", i) for i, key in enumerate(keys)]
    expected = {}
    for i, key in enumerate(keys):
        others = Counter(k for k in keys[i + 1 :] if k != key)
        expected[i] = max(0, max(others.values(), default=0) - 1)
    assert periods_behind(records) == expected
