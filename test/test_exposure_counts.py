"""Tests the count of exposed callers and the results of fixed policies."""

from amaranthlug_standins import answers, builders
from amaranthlug_standins.answers import Quality
from amaranthlug_standins.calls import Call
from amaranthlug_standins.counts import Setting, make_counts
from amaranthlug_standins.policy_baselines import (
    AnswerSimulator,
    evaluate_baselines,
)
from amaranthlug_standins.truth import EngineRun, Truth

CHEAP, BEST = builders.CHEAP, builders.BEST


def make_catalog():
    """Returns a catalogue with both versions allowed."""
    organisation = builders.make_organisation(allowed=(CHEAP, BEST))
    return builders.make_catalog(organisations=[organisation])


def make_call(digest, **values):
    """Returns a call with a wrong answer of the cheap version."""
    defaults = {
        "number": 1,
        "organisation": "acme",
        "kind": "question",
        "outcome": "answered",
        "version": CHEAP,
        "digest": digest,
        "prompt_words": 30,
        "answer_words": 20,
    }
    return Call(**(defaults | values))


def make_run(digest, version=CHEAP, good=False, started_at=20.0):
    """Returns an engine run."""
    return EngineRun(
        request_id=digest,
        version=version,
        digest=digest,
        good=good,
        started_at=started_at,
    )


def count_exposed(call, *runs):
    """Returns the exposed callers if the cheap version is bad from 10 s on."""
    truth = Truth(runs={call.digest: list(runs)})
    setting = Setting(make_catalog(), {}, bad_since={CHEAP: 10.0})
    return make_counts("t", 1, [call], truth, setting).exposed_callers


def test_only_callers_with_a_wrong_answer_of_the_bad_version_are_exposed():
    """Normal errors and escalated cascade steps do not count as exposure."""
    assert count_exposed(make_call("a"), make_run("a")) == 1
    before = make_run("a", started_at=9.0)
    assert count_exposed(make_call("a"), before) == 0
    assert (
        count_exposed(make_call("a", good=True), make_run("a", good=True)) == 0
    )
    escalated = make_call("a", version=BEST)
    assert (
        count_exposed(escalated, make_run("a"), make_run("a", version=BEST))
        == 0
    )
    assert count_exposed(make_call("a", outcome="failed"), make_run("a")) == 0
    assert count_exposed(make_call("a"), make_run("a", version=BEST)) == 0


def test_fixed_policies_are_computed_on_the_same_requests():
    """Baselines must use the seed and requests of the run they compare with."""
    qualities = {CHEAP: Quality(0.5, 0.5), BEST: Quality(1.0, 1.0)}
    world = AnswerSimulator(make_catalog(), qualities, seed=3)
    calls = [make_call(f"{number:016x}") for number in range(300)]
    results = evaluate_baselines(world, calls)
    assert results["always_best"].good_share == 1.0
    good = sum(
        answers.is_good(3, c.digest, CHEAP, c.kind, "easy", qualities[CHEAP])
        for c in calls
    )
    assert results["always_cheapest"].good_share == round(good / 300, 4)
    assert results["oracle"].cost == results["always_best"].cost
    assert results["always_cheapest"].cost < results["random"].cost
    cascade = results["fixed_cascade"]
    assert results["always_cheapest"].good_share < cascade.good_share < 1.0
    assert results["always_cheapest"].cost < cascade.cost
    assert results["always_cheapest"].kinds_below_target == ["question"]
