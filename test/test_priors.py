"""Guards what offline tests count for: a wrong one must be outweighed."""

import random

from _policy import catalog_of, version_id

from amaranthlug.state.catalog import RequestKind, Version
from amaranthlug.state.catalog_check import check_version
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.priors import MAX_BY_KIND, MAX_OVERALL, prior_of

CELL = Cell("cheap@1", "log")


def offline_tested(**values):
    """Returns a version with an offline test."""
    return Version(version_id("cheap"), "pool-cheap", 1, 1, **values)


def answers_until_corrected(true_quality, prior, target, seed):
    """Returns (good, bad) ratings until the lower bound is below the target."""
    rng, evidence = random.Random(seed), Evidence("inc-0")
    good = bad = 0
    while evidence.bounds(CELL, prior, offline=200).lower >= target:
        fine = rng.random() < true_quality
        good, bad = good + fine, bad + (not fine)
        evidence.count(CELL, good=int(fine), bad=int(not fine))
        assert good + bad < 2_000
    return good, bad


def test_an_offline_test_makes_a_version_usable_at_once():
    """A fleet without ratings would send everything to the best version."""
    evidence = Evidence("inc-0")
    assert evidence.bounds(CELL, 0.95).lower < 0.85
    assert evidence.bounds(CELL, 0.95, offline=200).lower > 0.9


def test_prior_of_a_kind_is_bounded_and_split_by_difficulty():
    """An unbounded prior could never be outweighed by real ratings."""
    version = offline_tested(
        prior_quality=0.7,
        prior_ratings=100_000,
        prior_by_kind={"log": 0.9, "note": 0.8},
        prior_by_kind_hard={"log": 0.6},
    )
    priors = [
        prior_of(version, kind, hard)
        for kind, hard in (("log", False), ("log", True), ("note", True))
    ]
    assert [p.quality for p in priors] == [0.9, 0.6, 0.8]
    assert {p.ratings for p in priors} == {MAX_BY_KIND}
    other = prior_of(version, "other", False)
    assert (other.quality, other.ratings) == (0.7, MAX_OVERALL)


def test_a_prior_that_is_too_high_is_corrected_by_few_bad_answers():
    """A fixed weight of 200 would take some hundred bad answers."""
    for seed in range(20):
        _, bad = answers_until_corrected(0.80, 0.90, 0.85, seed)
        assert bad <= 40


def test_a_prior_that_real_ratings_contradict_loses_its_weight():
    """A good version with a poor offline test would stay unused."""
    evidence = Evidence("inc-0")
    evidence.count(CELL, good=97, bad=3)
    assert evidence.bounds(CELL, 0.8, offline=200).mean > 0.95


def test_a_prior_for_an_unknown_kind_is_rejected():
    """A misspelt kind would silently leave the version untested."""
    catalog = catalog_of({"cheap": 1}, kinds=[RequestKind("log", 0.9)])
    version = offline_tested(prior_by_kind={"lgo": 0.9, "log": 1.2})
    keys = {problem.key for problem in check_version(catalog, version)}
    assert keys == {"prior_by_kind", "prior_by_kind.log"}


def test_one_bad_answer_does_not_discard_an_offline_test():
    """A normal approximation took all weight from it at the first one."""
    evidence = Evidence("inc-0")
    evidence.count(CELL, bad=1)
    assert evidence.bounds(CELL, 0.96, offline=200).mean > 0.94
