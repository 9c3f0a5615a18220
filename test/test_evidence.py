"""Tests the evidence: double counts, lost rows, unbounded messages."""

import json

from _policy import Clock, FakeMembers, FakeMetrics, FakeRatings

from amaranthlug.coordination import evidence_exchange, rating_collector
from amaranthlug.coordination.evidence_exchange import EvidenceExchange
from amaranthlug.coordination.platform import AnswerSample, Rating
from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.state.evidence import Cell, Evidence, Tally, beta_bounds

CELL = Cell("m@1", "log", False)


def test_repeated_and_reordered_rows_count_once():
    """A message that arrives twice or late must not add evidence."""
    evidence = Evidence("a")
    new = Tally(started=5, good=3, bad=1).values()
    old = Tally(started=4, good=2).values()
    assert evidence.merge("b", CELL, new)
    assert not evidence.merge("b", CELL, old)
    assert not evidence.merge("b", CELL, new)
    assert evidence.pooled(CELL) == Tally(started=5, good=3, bad=1)


def test_compacted_incarnation_is_not_counted_again():
    """A late row of a compacted incarnation would double its counters."""
    evidence = Evidence("a", max_incarnations=2)
    for name in ("b", "c", "d"):
        evidence.merge(name, CELL, Tally(good=1).values())
    evidence.compact(live=["d"])
    assert set(evidence.rows) == {"a", "d"}
    assert not evidence.merge("b", CELL, Tally(good=1).values())
    assert evidence.pooled(CELL).good == 3


def test_live_incarnations_are_never_compacted():
    """Compacting a live node would lose all its later increases."""
    evidence = Evidence("a", max_incarnations=2)
    for number in range(10):
        evidence.merge(f"n{number}", CELL, Tally(good=1).values())
    evidence.compact(live=[f"n{number}" for number in range(10)])
    assert len(evidence.rows) == 11


def test_bounds_narrow_with_ratings_and_widen_in_an_outage():
    """Without this, old ratings would keep their weight in an outage."""
    evidence = Evidence("a")
    evidence.count(CELL, good=180, bad=20)
    narrow = evidence.bounds(CELL, 0.5)
    assert 0.84 < narrow.lower < 0.9 < narrow.upper < 0.95
    evidence.rating_weight = 0.25
    wide = evidence.bounds(CELL, 0.5)
    assert wide.lower < narrow.lower and wide.upper > narrow.upper
    unrated = beta_bounds(0, 0, 0.9)
    assert unrated.lower < 0.7


def test_estimate_follows_a_version_that_turns_bad():
    """An estimate over all ratings would hide a change for days."""
    evidence = Evidence("a")
    evidence.count(CELL, good=100_000)
    for _ in range(800):
        evidence.count(CELL, bad=1)
    assert evidence.bounds(CELL, 0.5).mean < 0.7


def run_exchange(exchanges, rounds, fanout=2):
    """Runs rounds in which each node sends its rows to other nodes."""
    for number in range(rounds):
        for index, exchange in enumerate(exchanges):
            message = json.loads(json.dumps(exchange.outgoing()))
            for step in range(fanout):
                other = (index + 1 + number * fanout + step) % len(exchanges)
                if other != index:
                    exchanges[other].incoming("x", message)


def test_all_nodes_reach_the_same_pooled_counters():
    """A node that missed a row would use different evidence for ever."""
    exchanges = []
    for number in range(8):
        members = FakeMembers(8, number)
        exchange = EvidenceExchange(Evidence(f"inc-{number}"), members)
        exchange.evidence.count(CELL, good=1 + number)
        exchange.mark_changed(CELL)
        exchanges.append(exchange)
    run_exchange(exchanges, 6)
    assert {exchange.evidence.pooled(CELL).good for exchange in exchanges} == {
        36
    }


def test_message_is_bounded_and_urgent_rows_go_first():
    """Too many rows would exceed the limit of a node's control traffic."""
    exchange = EvidenceExchange(Evidence("a"), FakeMembers())
    for number in range(500):
        cell = Cell("m@1", f"kind-{number}", False)
        exchange.evidence.count(cell, good=1)
        exchange.mark_changed(cell)
    exchange.evidence.count(CELL, bad=1)
    exchange.mark_changed(CELL, urgent=True)
    rows = exchange.outgoing()["rows"]
    assert len(rows) <= evidence_exchange.MAX_ROWS
    assert rows[0][2] == "log"
    assert len(json.dumps(rows)) < 4_000


def make_collector():
    """Returns a collector with its fakes."""
    clock, service, metrics = Clock(), FakeRatings(), FakeMetrics()
    exchange = EvidenceExchange(Evidence("a"), FakeMembers())
    return (
        RatingCollector(service, exchange, metrics, clock),
        clock,
        service,
        metrics,
    )


def make_sample(name):
    """Returns an answer sample."""
    return AnswerSample(name, "log", "m@1", "p", "a")


def test_rating_counts_once_and_only_for_own_answers():
    """A rating counted by every node that reads it would count many times."""
    collector, _, service, _ = make_collector()
    collector.offer(make_sample("r1"), CELL, "s1", True, True)
    collector.submit()
    service.ratings = [
        Rating(0, "r1", "log", "m@1", False),
        Rating(2, "r1", "log", "m@1", False),
        Rating(3, "foreign", "log", "m@1", False),
    ]
    collector.fetch()
    collector.fetch()
    assert collector.exchange.evidence.pooled(CELL) == Tally(bad=1, pass_bad=1)
    server = Cell("m@1", server="s1")
    assert collector.exchange.evidence.pooled(server).bad == 1


def test_outage_keeps_samples_and_lowers_the_rating_weight():
    """Samples lost in an outage would leave new versions unrated for ever."""
    collector, clock, service, _ = make_collector()
    service.out = True
    collector.offer(make_sample("r1"), CELL, "s1", True, True)
    collector.submit()
    clock.time += 1_800
    collector.fetch()
    assert (
        collector.are_overdue()
        and 0.4 < collector.exchange.evidence.rating_weight < 0.6
    )
    service.out = False
    collector.submit()
    assert [s.request_id for s in service.samples] == ["r1"]


def test_late_ratings_are_overdue_and_tables_are_bounded():
    """A service that accepts samples but rates nothing must be noticed."""
    collector, clock, _, metrics = make_collector()
    for number in range(rating_collector.MAX_UNRATED + 5):
        collector.offer(make_sample(f"r{number}"), CELL, "s1", True, True)
    assert len(collector.unrated) == rating_collector.MAX_UNRATED
    assert metrics.counters["evidence.unrated_dropped"] == 5
    collector.fetch()
    assert not collector.are_overdue()
    clock.time += rating_collector.LATE_AFTER_S + 1
    collector.fetch()
    assert collector.are_overdue()
    clock.time += rating_collector.UNRATED_EXPIRY_S
    collector.fetch()
    assert not collector.unrated and not collector.are_overdue()
