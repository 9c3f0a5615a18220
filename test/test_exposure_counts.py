"""Guards figures of exposure and of fixed policies."""

from amaranthlug_standins import answers, builders
from amaranthlug_standins.answers import Quality
from amaranthlug_standins.counts import Setting, count
from amaranthlug_standins.history import Call
from amaranthlug_standins.policy_baselines import (
    AnswerSimulator,
    evaluate_baselines,
)
from amaranthlug_standins.truth import EngineRun, Truth

CHEAP, BEST = builders.CHEAP, builders.BEST


def catalog():
    """Builds a catalogue with both versions allowed."""
    organisation = builders.make_organisation(allowed=(CHEAP, BEST))
    return builders.make_catalog(organisations=[organisation])


def call(digest, **values):
    """Builds an answered call with a wrong answer of the cheap version."""
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


def run(digest, version=CHEAP, good=False, started_at=20.0):
    """Builds a run of an engine."""
    return EngineRun(
        request_id=digest,
        version=version,
        digest=digest,
        good=good,
        started_at=started_at,
    )


def exposed(one, *runs):
    """Counts one call when the cheap version is bad from time 10 on."""
    truth = Truth(runs={one.digest: list(runs)})
    setting = Setting(catalog(), {}, bad_since={CHEAP: 10.0})
    return count("t", 1, [one], truth, setting).exposed_callers


def test_only_callers_with_a_wrong_answer_of_the_bad_version_are_exposed():
    """A count of usual mistakes or hidden steps says nothing of exposure."""
    assert exposed(call("a"), run("a")) == 1
    before = run("a", started_at=9.0)
    assert exposed(call("a"), before) == 0
    assert exposed(call("a", good=True), run("a", good=True)) == 0
    escalated = call("a", version=BEST)
    assert exposed(escalated, run("a"), run("a", version=BEST)) == 0
    assert exposed(call("a", outcome="failed"), run("a")) == 0
    assert exposed(call("a"), run("a", version=BEST)) == 0


def test_fixed_policies_are_computed_on_the_same_requests():
    """Baselines of another seed or other requests would compare nothing."""
    qualities = {CHEAP: Quality(0.5, 0.5), BEST: Quality(1.0, 1.0)}
    world = AnswerSimulator(catalog(), qualities, seed=3)
    calls = [call(f"{number:016x}") for number in range(300)]
    found = evaluate_baselines(world, calls)
    assert found["always_best"].good_share == 1.0
    good = sum(
        answers.is_good(3, c.digest, CHEAP, c.kind, "easy", qualities[CHEAP])
        for c in calls
    )
    assert found["always_cheapest"].good_share == round(good / 300, 4)
    assert found["oracle"].cost == found["always_best"].cost
    assert found["always_cheapest"].cost < found["random"].cost
    cascade = found["fixed_cascade"]
    assert found["always_cheapest"].good_share < cascade.good_share < 1.0
    assert found["always_cheapest"].cost < cascade.cost
    assert found["always_cheapest"].kinds_below_target == ["question"]
