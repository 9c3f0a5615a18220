"""What offline tests of a version say before requests are rated."""

import dataclasses
import math

from amaranthlug.state.catalog import Version

MAX_BY_KIND = 200.0
"""Rated offline answers that count for a kind's own value at the most; beyond
some hundred, the test's prompts differ from real ones more than chance does."""

MAX_OVERALL = 50.0
"""The same for a value over all kinds, as kinds differ."""


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

    The test keeps its weight within one standard error of the difference and
    loses it as the likelihood of a larger one falls: 0.22 of it is left at two
    and 0.02 at three.
    """
    if prior.ratings <= 0 or rated <= 0:
        return 1.0
    pooled = (prior.quality * prior.ratings + good) / (prior.ratings + rated)
    pooled = min(0.99, max(0.01, pooled))
    variance = pooled * (1 - pooled) * (1 / prior.ratings + 1 / rated)
    squared = (good / rated - prior.quality) ** 2 / variance
    return math.exp(-max(0.0, squared - 1) / 2)
