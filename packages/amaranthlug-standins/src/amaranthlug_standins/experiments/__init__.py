"""Registry of the experiments."""

import dataclasses
from collections.abc import Callable, Mapping

from amaranthlug_standins.counts import Counts
from amaranthlug_standins.experiments import (
    bad_from_start,
    config_race,
    cost_quality,
    cut_streams,
    graceful_shutdown,
    log_lost_answers,
    log_outage,
    node_loss,
    one_bad_server,
    overload,
    paused_holder,
    poisoned_request,
    pool_runs_out,
    retry_at_most_once,
    rolling_replace,
    steady,
    turns_bad,
)
from amaranthlug_standins.trial import Progress


@dataclasses.dataclass(frozen=True)
class Scenario:
    """A named experiment.

    Attributes:
        name: Name on the command line.
        summary: One line for the list of experiments.
        length_s: Duration of the load in seconds, for the progress bar.
        run: Function that runs it with a seed and returns counts by deployment.
    """

    name: str
    summary: str
    length_s: float
    run: Callable[[int, Progress], Mapping[str, Counts]]


SCENARIOS = {
    scenario.name: scenario
    for scenario in (
        Scenario(
            "steady",
            "both sample deployments under their mixes, no failure",
            steady.LOAD_S,
            steady.run,
        ),
        Scenario(
            "config-race",
            "two operators publish against each other during a withdrawal",
            config_race.LOAD_S,
            config_race.run,
        ),
        Scenario(
            "bad-from-start",
            "a roll-out of a version that answers wrongly from its start",
            bad_from_start.LOAD_S,
            bad_from_start.run,
        ),
        Scenario(
            "turns-bad",
            "a version at full share turns bad",
            turns_bad.LOAD_S,
            turns_bad.run,
        ),
        Scenario(
            "node-loss",
            "two nodes are killed, one after the other",
            node_loss.LOAD_S,
            node_loss.run,
        ),
        Scenario(
            "graceful-shutdown",
            "SIGTERM to two nodes under callers with cached entry answers",
            graceful_shutdown.LOAD_S,
            graceful_shutdown.run,
        ),
        Scenario(
            "rolling-replace",
            "all nodes of four are replaced by new ones on new ports",
            rolling_replace.LOAD_S,
            rolling_replace.run,
        ),
        Scenario(
            "paused-holder",
            "the owner of most slots is paused for 12 s",
            paused_holder.LOAD_S,
            paused_holder.run,
        ),
        Scenario(
            "retry-at-most-once",
            "non-idempotent requests are sent again in four ways",
            retry_at_most_once.LOAD_S,
            retry_at_most_once.run,
        ),
        Scenario(
            "log-outage",
            "the log is out during publications and a withdrawal",
            log_outage.LOAD_S,
            log_outage.run,
        ),
        Scenario(
            "log-lost-answers",
            "30% of appends take effect without an answer",
            log_lost_answers.LOAD_S,
            log_lost_answers.run,
        ),
        Scenario(
            "cut-streams",
            "three engines cut their answers",
            cut_streams.LOAD_S,
            cut_streams.run,
        ),
        Scenario(
            "poisoned-request",
            "a request crashes each engine that runs it",
            poisoned_request.LOAD_S,
            poisoned_request.run,
        ),
        Scenario(
            "one-bad-server",
            "one engine answers wrongly on all versions",
            one_bad_server.LOAD_S,
            one_bad_server.run,
        ),
        Scenario(
            "pool-runs-out",
            "all engines of the only pool drain",
            pool_runs_out.LOAD_S,
            pool_runs_out.run,
        ),
        Scenario(
            "overload",
            "twice the capacity of the engines",
            overload.LOAD_S,
            overload.run,
        ),
        Scenario(
            "cost-quality",
            "cost at the target beside fixed policies",
            cost_quality.LOAD_S,
            cost_quality.run,
        ),
    )
}
