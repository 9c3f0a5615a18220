"""Prior quality of a version, from its offline tests."""

import dataclasses
import math

from amaranthlug.state.catalog import Version

MAX_BY_KIND = 200.0
"""Maximum weight of a prior for one kind, in ratings. Beyond a few hundred, the
difference between test prompts and real ones exceeds the sampling error."""

MAX_OVERALL = 50.0
"""Maximum weight of a prior over all kinds, in ratings. Kinds differ, so it is
lower."""

TOLERATED_DEVIANCE = 2.0
"""Deviance up to which a prior keeps its full weight; 1.4 standard errors. The
first bad answer of a version with 96% good answers stays below it."""


@dataclasses.dataclass(frozen=True, slots=True)
class Prior:
    """Assumed share of good answers and the number of ratings behind it."""

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


def prior_agreement(prior: Prior, good: float, rated: float) -> float:
    """Returns the part of a prior's weight that real ratings support, 0 to 1.

    The weight falls with the deviance of the ratings from the prior. Deviance
    stays close to a squared standard error for few ratings too. With a squared
    normal error, a single bad answer would remove all weight from a prior of
    96% good answers.
    """
    if prior.ratings <= 0 or rated <= 0:
        return 1.0
    assumed = min(0.99, max(0.01, prior.quality))
    expected = assumed * rated
    # Continuity correction, as counts are whole numbers.
    correction = min(0.5, abs(good - expected))
    good += correction if good < expected else -correction
    share = min(0.999, max(0.001, good / rated))
    # The offline test has a sampling error too, so the comparison weighs less
    # than the ratings alone.
    weight = rated * prior.ratings / (rated + prior.ratings)
    deviance = share * math.log(share / assumed)
    deviance += (1 - share) * math.log((1 - share) / (1 - assumed))
    return math.exp(-max(0.0, 2 * weight * deviance - TOLERATED_DEVIANCE) / 2)
