"""Tests the weight of offline tests, which real ratings must outweigh."""

import random

from _policy import catalog_of, version_id

from amaranthlug.state.catalog import RequestKind, Version
from amaranthlug.state.catalog_check import check_version
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.priors import MAX_BY_KIND, MAX_OVERALL, prior_of

CELL = Cell("cheap@1", "log")


def make_version(**values):
    """Returns a version with the given prior fields."""
    return Version(version_id("cheap"), "pool-cheap", 1, 1, **values)


def count_ratings_until_below(true_quality, prior, target, seed):
    """Rates answers until the lower bound of the quality is below the target.

    Returns:
        The numbers of good and bad ratings.
    """
    rng, evidence = random.Random(seed), Evidence("inc-0")
    good = bad = 0
    while evidence.bounds(CELL, prior, offline=200).lower >= target:
        is_good = rng.random() < true_quality
        good, bad = good + is_good, bad + (not is_good)
        evidence.count(CELL, good=int(is_good), bad=int(not is_good))
        assert good + bad < 2_000
    return good, bad


def test_an_offline_test_makes_a_version_usable_at_once():
    """Otherwise a fleet without ratings would use only the best version."""
    evidence = Evidence("inc-0")
    assert evidence.bounds(CELL, 0.95).lower < 0.85
    assert evidence.bounds(CELL, 0.95, offline=200).lower > 0.9


def test_prior_of_a_kind_is_bounded_and_split_by_difficulty():
    """An unbounded prior could not be outweighed by real ratings."""
    version = make_version(
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
    """With a fixed weight of 200, it would take hundreds of bad answers."""
    for seed in range(20):
        _, bad = count_ratings_until_below(0.80, 0.90, 0.85, seed)
        assert bad <= 40


def test_a_prior_that_real_ratings_contradict_loses_its_weight():
    """Otherwise a good version with a poor offline test would stay unused."""
    evidence = Evidence("inc-0")
    evidence.count(CELL, good=97, bad=3)
    assert evidence.bounds(CELL, 0.8, offline=200).mean > 0.95


def test_a_prior_for_an_unknown_kind_is_rejected():
    """A misspelt kind would leave the version without a prior, unnoticed."""
    catalog = catalog_of({"cheap": 1}, kinds=[RequestKind("log", 0.9)])
    version = make_version(prior_by_kind={"lgo": 0.9, "log": 1.2})
    keys = {problem.key for problem in check_version(catalog, version)}
    assert keys == {"prior_by_kind", "prior_by_kind.log"}


def test_one_bad_answer_does_not_discard_an_offline_test():
    """A normal approximation removed all of its weight at the first one."""
    evidence = Evidence("inc-0")
    evidence.count(CELL, bad=1)
    assert evidence.bounds(CELL, 0.96, offline=200).mean > 0.94
