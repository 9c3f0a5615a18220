"""Rolls out a version that gives only wrong answers from the start."""

import copy
import dataclasses
from collections.abc import Mapping

from amaranthlug_standins.answers import Quality
from amaranthlug_standins.counts import Counts
from amaranthlug_standins.deployments import Deployment, hengyun
from amaranthlug_standins.experiments.exposure import check_exposure
from amaranthlug_standins.fault_schedule import Plan, ScenarioContext, run_plan
from amaranthlug_standins.trial import Progress
from amaranthlug_standins.truth import Truth

LOAD_S = 28.0
REQUESTS_PER_S = 60.0
BAD_VERSION = "swift@4"
"""The version that the sample configuration rolls out."""

ROLLOUT_PATH = "rollouts/swift-4"
FIRST_STAGE_SHARE = 0.2
"""Traffic share of the first stage. The sample's 0.05 gives the version one
request in 20 s, which is too few to judge it and too easy a test."""

EXPOSED_CALLERS_LIMIT = 15
"""Target: a bad version reaches fewer callers than this."""


def deployment() -> Deployment:
    """Returns the sample deployment with a new version that is always wrong."""
    sample = hengyun()
    qualities = {**sample.qualities, BAD_VERSION: Quality(easy=0.0, hard=0.0)}
    parts = copy.deepcopy(dict(sample.parts))
    parts[ROLLOUT_PATH]["stages"][0]["share"] = FIRST_STAGE_SHARE
    return dataclasses.replace(sample, qualities=qualities, parts=parts)


def prepare(context: ScenarioContext) -> None:
    """Marks the version as bad from the beginning."""
    context.bad_since[BAD_VERSION] = 0.0


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires a withdrawal before many callers got a bad answer."""
    check_exposure(context, truth, counts, BAD_VERSION)
    exposed = counts.exposed_callers
    counts.require(
        exposed < EXPOSED_CALLERS_LIMIT,
        f"{exposed} callers were exposed; the limit is {EXPOSED_CALLERS_LIMIT}",
    )


PLAN = Plan(
    "bad-from-start",
    LOAD_S,
    REQUESTS_PER_S,
    check=check,
    deployment=deployment,
    prepare=prepare,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the experiment and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
