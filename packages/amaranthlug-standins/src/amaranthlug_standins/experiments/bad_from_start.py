"""A roll-out of a version that answers wrongly from its start."""

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
RATE = 60.0
BAD = "swift@4"
"""The version that the sample configuration rolls out."""

ROLLOUT = "rollouts/swift-4"
FIRST_SHARE = 0.2
"""Share of the first stage; the sample's 0.05 gives the version one request in
20 s, too few to judge it and too easy a test."""

EXPOSED_LIMIT = 15
"""Callers that a bad version may reach stay under this number (target)."""


def deployment() -> Deployment:
    """Returns the sample with a new version that is always wrong."""
    sample = hengyun()
    qualities = {**sample.qualities, BAD: Quality(easy=0.0, hard=0.0)}
    parts = copy.deepcopy(dict(sample.parts))
    parts[ROLLOUT]["stages"][0]["share"] = FIRST_SHARE
    return dataclasses.replace(sample, qualities=qualities, parts=parts)


def prepare(context: ScenarioContext) -> None:
    """Declares the version bad for all time."""
    context.bad_since[BAD] = 0.0


def check(context: ScenarioContext, truth: Truth, counts: Counts) -> None:
    """Requires few exposed callers and a withdrawal."""
    check_exposure(context, truth, counts, BAD)
    exposed = counts.exposed_callers
    counts.require(
        exposed < EXPOSED_LIMIT,
        f"{exposed} callers were exposed; the limit is {EXPOSED_LIMIT}",
    )


PLAN = Plan(
    "bad-from-start",
    LOAD_S,
    RATE,
    check=check,
    deployment=deployment,
    prepare=prepare,
)


def run(seed: int, progress: Progress) -> Mapping[str, Counts]:
    """Runs the scenario and returns counts by deployment."""
    return run_plan(PLAN, seed, progress)
