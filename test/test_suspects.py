"""Tests of the requests that nodes suspect; no network."""

import gevent
import msgspec
import pytest
from _fakes_log import FakeMetrics
from _routing import FakeClock, FakeStore, make_node_entry, make_report

from amaranthlug.coordination.routing import (
    fleet_suspects as fleet_suspects_module,
)
from amaranthlug.coordination.routing.fleet_suspects import (
    CRASHES_TO_BLOCK,
    NOTICE_DELAY_S,
    REPORT_RECENT_S,
    FleetSuspects,
)
from amaranthlug.coordination.routing.fleet_view import FleetSummary, FleetView
from amaranthlug.coordination.routing.relay_roles import zone_relays
from amaranthlug.state import suspects as suspects_module
from amaranthlug.state.routing.fleet import NodeReport
from amaranthlug.state.suspects import (
    SUSPICION_LIFETIME_S,
    SuspectFact,
    SuspectTable,
    merge_facts,
)


@pytest.fixture
def table():
    """An empty table."""
    return SuspectTable(FakeClock(), CRASHES_TO_BLOCK)


def crash_fact(*crashes: str, **more) -> SuspectFact:
    """Returns a fact of crashes during the request `bad`."""
    return SuspectFact("bad", list(crashes), **{"cleared": [], **more})


def test_facts_may_arrive_in_any_order_and_repeatedly():
    """Notices and reports overtake each other."""
    facts = [
        crash_fact("a"),
        crash_fact("b", "c"),
        crash_fact("a", cleared=["a"]),
        crash_fact("a", "d"),
    ]
    tables = [SuspectTable(FakeClock(), CRASHES_TO_BLOCK) for _ in range(2)]
    for fact in facts + facts:
        tables[0].merge(fact)
    for fact in reversed(facts):
        tables[1].merge(fact)
    assert tables[0].fact("bad") == tables[1].fact("bad")
    assert tables[0].uncleared_crashes("bad") == 3
    assert not tables[0].merge(facts[0])


def test_completed_request_starts_from_nothing(table):
    """Only crashes since its last completion count."""
    table.merge(crash_fact("a", "b", cleared=["a", "b"]))
    table.merge(crash_fact("c"))
    assert not table.is_blocked("bad")
    table.merge(crash_fact("d", "e"))
    assert table.is_blocked("bad")


def test_nodes_that_repeat_facts_do_not_prolong_a_suspicion():
    """The age goes with a fact, so it ends on all nodes at the same time."""
    clock = FakeClock()
    tables = [SuspectTable(clock, CRASHES_TO_BLOCK) for _ in range(2)]
    tables[0].merge(crash_fact("a", "b", "c"))
    for _ in range(100):
        clock.advance(SUSPICION_LIFETIME_S / 99)
        for one, other in (tables, tables[::-1]):
            fact = one.fact("bad")
            if fact is not None:
                other.merge(fact)
    assert not any(each.is_blocked("bad") for each in tables)
    for each in tables:
        each.drop_expired()
        assert len(each) == 0


def test_expired_fact_is_not_taken(table):
    """A report may be older than the suspicion."""
    old = crash_fact("a", "b", "c", age_s=SUSPICION_LIFETIME_S + 1)
    assert not table.merge(old)
    assert len(table) == 0


def test_table_is_bounded(table, monkeypatch):
    """The oldest suspect is dropped first."""
    monkeypatch.setattr(suspects_module, "MAX_SUSPECTS", 10)
    for number in range(11):
        table.merge(SuspectFact(f"d{number}", ["a"], []))
    assert len(table) == 10
    assert table.find("d0") is None


def test_reports_repeat_what_is_blocked_or_recent(table):
    """Hundreds of bystanders of a crash do not stay in every report."""
    table.merge(crash_fact("a", "b", "c"))
    table.merge(SuspectFact("bystander", ["a"], []))
    found = table.recent_facts(REPORT_RECENT_S, 10)
    assert [fact.digest for fact in found] == ["bad", "bystander"]
    assert table.recent_facts(REPORT_RECENT_S, 1) == found[:1]
    table.now.advance(REPORT_RECENT_S + 1)
    found = table.recent_facts(REPORT_RECENT_S, 10)
    assert [fact.digest for fact in found] == ["bad"]


def test_reports_of_several_nodes_add_up():
    """Each of them has seen another server end."""
    merged = merge_facts(
        [
            [crash_fact("a", age_s=3.0)],
            [crash_fact("b", cleared=["a"], age_s=1.0)],
            [SuspectFact("other", ["a"], [])],
        ]
    )
    assert merged == [
        SuspectFact("bad", ["a", "b"], ["a"], 3.0),
        SuspectFact("other", ["a"], []),
    ]


class SuspectFleet:
    """Nodes of three zones that send each other notices in this process."""

    def __init__(self, count: int):
        """Starts `count` nodes, of which the relays have the others."""
        self.clock = FakeClock()
        self.store = FakeStore()
        self.lost: set[str] = set()
        self.messages = 0
        self.entries = [
            make_node_entry(f"n{number}", f"zone-{number % 3}")
            for number in range(count)
        ]
        self.views: dict[str, FleetView] = {}
        self.parts: dict[str, FleetSuspects] = {}
        for entry in self.entries:
            self.add(entry.node, entry.zone)
        self.connect()

    def add(self, name: str, zone: str) -> None:
        """Starts a node that knows nothing."""
        view = FleetView(
            self.store,
            lambda: NodeReport(
                make_node_entry(name, zone),
                {},
                {},
                suspects=self.parts[name].reported_facts(),
            ),
            clock=self.clock,
        )
        self.views[name] = view
        self.parts[name] = FleetSuspects(
            name, view, self, FakeMetrics(), self.clock
        )

    def connect(self) -> None:
        """Tells all nodes of the others, and each relay of its members."""
        for view in self.views.values():
            view.set_summary(FleetSummary(self.entries, {}, {}))
        for zone in {entry.zone for entry in self.entries}:
            relays = [e.node for e in zone_relays(self.entries, zone)]
            members = [
                e.node
                for e in self.entries
                if e.zone == zone and e.node not in relays
            ]
            for number, member in enumerate(members):
                relay = self.views[relays[number % len(relays)]]
                relay.update_member(make_report(member, zone))

    def notify(self, address, notice, timeout_s):
        """Passes a notice on, unless its receiver is lost."""
        self.messages += 1
        name = address.partition(":")[0]
        if name in self.lost:
            raise TimeoutError("no answer")
        return self.parts[name].receive(notice)

    def settle(self) -> None:
        """Waits until all notices have arrived and none is to be sent."""
        sent = -1
        while sent != self.messages or any(
            part.unsent for part in self.parts.values()
        ):
            sent = self.messages
            gevent.sleep(2 * NOTICE_DELAY_S)

    def blocking_nodes(self) -> int:
        """Returns how many nodes have blocked the request `bad`."""
        return sum(part.is_blocked("bad") for part in self.parts.values())


@pytest.mark.parametrize("count", [1, 8, 90, 390])
def test_crashes_seen_at_different_nodes_block_a_request_everywhere(count):
    """No node sees more than one of them, and each gets few messages."""
    fleet = SuspectFleet(count)
    for number in range(CRASHES_TO_BLOCK):
        node = fleet.parts[f"n{number * 5 % count}"]
        node.record_end("bad", f"server-{number}")
    fleet.settle()
    assert fleet.blocking_nodes() == count
    assert fleet.messages <= CRASHES_TO_BLOCK * 1.2 * (count + 3)


def test_suspects_of_one_crash_share_a_notice():
    """A server that ends has dozens of requests."""
    fleet = SuspectFleet(8)
    for number in range(48):
        fleet.parts["n0"].record_end(f"request-{number}", "server")
    fleet.settle()
    assert fleet.messages <= 8
    assert {len(part.table) for part in fleet.parts.values()} == {48}


def test_completed_suspect_is_cleared_everywhere():
    """Another node may be the one that sends it next."""
    fleet = SuspectFleet(8)
    for number in range(CRASHES_TO_BLOCK - 1):
        fleet.parts["n1"].record_end("bad", f"server-{number}")
    fleet.settle()
    fleet.parts["n2"].record_completed("bad")
    fleet.settle()
    fleet.parts["n3"].record_end("bad", "server-9")
    fleet.settle()
    assert fleet.blocking_nodes() == 0


def test_reports_bring_what_lost_notices_did_not():
    """Both nodes have seen too few crashes for themselves."""
    fleet = SuspectFleet(8)
    fleet.lost.update(fleet.parts)
    fleet.parts["n0"].record_end("bad", "server-0")
    for number in (1, 2):
        fleet.parts["n1"].record_end("bad", f"server-{number}")
    fleet.settle()
    assert fleet.blocking_nodes() == 0
    for _ in range(2):
        for view in fleet.views.values():
            view.sync()
    assert fleet.blocking_nodes() == 8
    metrics = fleet.parts["n0"].metrics
    assert metrics.counts["suspects.notice_lost"] > 0


# Guards against members that learned of a block a second after the others, as a
# report had told it to their relay before the notice came.
def test_relay_passes_on_what_a_report_told_it_before_the_notice():
    """It is new to the other members."""
    fleet = SuspectFleet(30)
    entry = next(
        e for e in fleet.entries if len(fleet.views[e.node].members) > 2
    )
    relay = fleet.views[entry.node]
    members = list(relay.members)
    sender = fleet.parts[members[0]]
    sender.merge([crash_fact("a", "b", "c")])
    relay.update_member(fleet.views[members[0]].describe_node())
    sender.send(["bad"], [entry], pass_on=True)
    fleet.settle()
    assert all(fleet.parts[name].is_blocked("bad") for name in members)
    messages = fleet.messages
    sender.send(["bad"], [entry], pass_on=True)
    fleet.settle()
    assert fleet.messages == messages + 1


def test_member_and_relay_exchange_suspects():
    """Members do not read the store themselves."""
    fleet = SuspectFleet(2)
    relay, member = fleet.views["n0"], fleet.views["n1"]
    fleet.lost.update(fleet.parts)
    for number in range(CRASHES_TO_BLOCK):
        fleet.parts["n1"].record_end("bad", f"server-{number}")
    relay.update_member(member.describe_node())
    assert fleet.parts["n0"].is_blocked("bad")
    fleet.add("n1", "zone-1")
    fleet.views["n1"].set_summary(relay.summary_for("n1"))
    assert fleet.parts["n1"].is_blocked("bad")


# Guards against a restart of all nodes at once, whose first reports replaced
# those in the store before any node had read them.
def test_blocked_request_outlives_a_restart_of_all_nodes():
    """What must last is in the store."""
    fleet = SuspectFleet(4)
    for number in range(CRASHES_TO_BLOCK):
        fleet.parts["n0"].record_end("bad", f"server-{number}")
    fleet.settle()
    for view in fleet.views.values():
        view.sync()
    for entry in fleet.entries:
        fleet.add(entry.node, entry.zone)
    for view in fleet.views.values():
        view.sync()
    assert fleet.blocking_nodes() == 4


@pytest.mark.parametrize("count", [4, 90])
def test_part_is_blocked_at_all_nodes_and_its_bystanders_are_not(count):
    """No node sees more than one of the crashes."""
    fleet = SuspectFleet(count)
    for number in range(4):
        node = fleet.parts[f"n{number * 5 % count}"]
        server = f"server-{number}"
        node.record_end(f"request-{number}", server, ["pool/bad"])
        if number > 0:
            node.record_end("bystander", server, ["pool/sys"])
    fleet.settle()
    for part in fleet.parts.values():
        assert set(part.blocked) == {"pool/bad"}
        assert not part.is_blocked("bystander")


# Guards against issue 29 where a bystander was blocked once its cause expired.
def test_bystander_is_not_blocked_when_the_cause_expires():
    """It was suspected later, so its suspicion ends later."""
    fleet = SuspectFleet(1)
    [node] = fleet.parts.values()
    node.record_end("request-0", "server-0", ["pool/bad"])
    fleet.clock.advance(5)
    for number in range(1, 4):
        server = f"server-{number}"
        node.record_end(f"request-{number}", server, ["pool/bad"])
        node.record_end("bystander", server)
    assert set(node.blocked) == {"pool/bad"}
    fleet.clock.advance(SUSPICION_LIFETIME_S - 4)
    node.record_end("another", "server-9")
    assert not node.blocked


def test_part_that_other_nodes_answered_is_cleared_everywhere():
    """A common part is at each server that ends."""
    fleet = SuspectFleet(8)
    for number in range(3):
        node = fleet.parts[f"n{number}"]
        node.record_end(f"request-{number}", f"server-{number}", ["pool/sys"])
    fleet.settle()
    assert all("pool/sys" in part.blocked for part in fleet.parts.values())
    fleet.parts["n5"].record_sound(["pool/sys"])
    fleet.settle()
    assert not any(part.blocked for part in fleet.parts.values())


def test_large_notices_are_split(monkeypatch):
    """All requests at a server become suspects at once."""
    monkeypatch.setattr(fleet_suspects_module, "MAX_NOTICE_FACTS", 10)
    fleet = SuspectFleet(2)
    for number in range(25):
        fleet.parts["n0"].record_end(f"request-{number}", "server")
    fleet.settle()
    assert fleet.messages == 3
    assert len(fleet.parts["n1"].table) == 25


def test_builds_without_parts_share_facts_with_this_one():
    """Nodes of two builds run at the same time while one is installed."""

    class FormerFact(msgspec.Struct):
        digest: str
        crashes: list[str]
        cleared: list[str]
        age_s: float = 0.0

    fact = SuspectFact("pool/bad", ["a"], [], 1.0, ["r"], 1)
    former = msgspec.json.decode(msgspec.json.encode(fact), type=FormerFact)
    assert former == FormerFact("pool/bad", ["a"], [], 1.0)
    text = msgspec.json.encode(FormerFact("r", ["a"], []))
    assert msgspec.json.decode(text, type=SuspectFact) == SuspectFact(
        "r", ["a"], []
    )


def test_requests_of_a_part_are_bounded_and_the_same_in_any_order():
    """Facts are sent to all nodes."""
    facts = [
        SuspectFact("pool/bad", ["a"], [], 0.0, [f"{number:02}"], 0)
        for number in range(40)
    ]
    tables = [SuspectTable(FakeClock(), CRASHES_TO_BLOCK) for _ in range(2)]
    for one, other in zip(facts, reversed(facts), strict=True):
        tables[0].merge(one)
        tables[1].merge(other)
    assert tables[0].fact("pool/bad") == tables[1].fact("pool/bad")
    assert len(tables[0].fact("pool/bad").requests) == 16


def test_line_says_what_blocked_a_request(caplog):
    """Operators see the servers, once a node."""
    fleet = SuspectFleet(1)
    for number in range(CRASHES_TO_BLOCK + 1):
        fleet.parts["n0"].record_end("bad", f"server-{number}")
    [line] = [
        record
        for record in caplog.records
        if getattr(record, "event", "") == "request_blocked"
    ]
    assert line.digest == "bad"
    assert line.servers == ["server-0", "server-1", "server-2"]


def test_lines_name_a_part_when_it_is_blocked_and_when_it_expires(caplog):
    """Operators see how many requests had it."""
    fleet = SuspectFleet(1)
    [node] = fleet.parts.values()
    for number in range(CRASHES_TO_BLOCK):
        node.record_end(f"request-{number}", f"server-{number}", ["pool/bad"])
    fleet.clock.advance(SUSPICION_LIFETIME_S + 1)
    node.drop_expired()
    lines = [record for record in caplog.records if hasattr(record, "digest")]
    assert [line.event for line in lines] == ["part_blocked", "part_allowed"]
    assert lines[0].digest == "pool/bad"
    assert lines[0].servers == ["server-0", "server-1", "server-2"]
    assert lines[0].requests == 3
    assert node.metrics.counts["parts.blocked"] == 1
    assert node.metrics.counts["parts.allowed"] == 1
    assert len(node.table) == 0


# Guards against reports that fill the links of a large fleet: each node
# repeated dozens of suspects to all others every second.
def test_reports_of_many_suspects_stay_small():
    """A node spends at most 3 KB a second on control."""
    fleet = SuspectFleet(1)
    [node] = fleet.parts.values()
    for number in range(1_000):
        digest = f"{number:032x}"
        parts = ["pool/sys", f"pool/{number % 40:08x}"]
        node.record_end(digest, f"i-{number % 7:010x}@0", parts)
    facts = node.reported_facts()
    assert {fact.digest for fact in facts} >= {"pool/sys"}
    assert len(msgspec.json.encode(facts)) <= 3_000
