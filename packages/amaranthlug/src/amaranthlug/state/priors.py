"""What offline tests of a version say before requests are rated."""

import dataclasses
import math

from amaranthlug.state.catalog import Version

MAX_BY_KIND = 200.0
"""Rated offline answers that count for a kind's own value at the most; beyond
some hundred, the test's prompts differ from real ones more than chance does."""

MAX_OVERALL = 50.0
"""The same for a value over all kinds, as kinds differ."""

FREE_DEVIANCE = 2.0
"""Deviance without effect on a test, 1.4 standard errors; the first bad answer
to a version of 96% good ones stays below."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prior:
    """Assumed share of good answers and the rated offline answers behind it."""

    quality: float
    ratings: float = 0.0


def prior_of(version: Version, kind: str, hard: bool) -> Prior:
    """Returns the prior of a version for a kind and difficulty."""
    by_kind = version.prior_by_kind
    if hard and kind in version.prior_by_kind_hard:
        by_kind = version.prior_by_kind_hard
    if kind in by_kind:
        ratings = min(MAX_BY_KIND, version.prior_ratings)
        return Prior(by_kind[kind], ratings)
    ratings = min(MAX_OVERALL, version.prior_ratings)
    return Prior(version.prior_quality, ratings)


def agreement(prior: Prior, good: float, rated: float) -> float:
    """Returns the part of an offline test that real ratings leave standing.

    The deviance of the ratings from the prior is close to a squared standard
    error also for few of them. A squared normal error is not: a single bad
    answer would take all weight from a test of 96% good ones.
    """
    if prior.ratings <= 0 or rated <= 0:
        return 1.0
    assumed = min(0.99, max(0.01, prior.quality))
    expected = assumed * rated
    # Half an answer towards the expected one, as counts are whole.
    nearer = min(0.5, abs(good - expected))
    good += nearer if good < expected else -nearer
    share = min(0.999, max(0.001, good / rated))
    # The test itself has an error, so the pair weighs less than the ratings.
    weight = rated * prior.ratings / (rated + prior.ratings)
    deviance = share * math.log(share / assumed)
    deviance += (1 - share) * math.log((1 - share) / (1 - assumed))
    return math.exp(-max(0.0, 2 * weight * deviance - FREE_DEVIANCE) / 2)
