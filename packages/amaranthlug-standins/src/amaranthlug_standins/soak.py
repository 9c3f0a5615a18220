"""Soak test: random faults on a fleet of processes, checked by the rules.

`python -m amaranthlug_standins.soak --seeds 20` runs seeds 1 to 20. A seed
with violations leaves three files: the plan `soak-SEED.json`, which `--replay`
runs again, the history `soak-SEED.jsonl`, which `amaranthlug history check`
reads, and the log output of the nodes, `soak-SEED.log`.
"""

import collections
import dataclasses
import pathlib
import sys
import time

import click
import gevent
import msgspec

from amaranthlug.state.catalog import Pool
from amaranthlug_standins.batch import Pace
from amaranthlug_standins.config_timeline import accepted_revisions
from amaranthlug_standins.deployments import Deployment, hengyun
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import FleetOptions
from amaranthlug_standins.history_rules import (
    CONFIG_LIMIT_S,
    CheckResult,
    check_history,
    find_billing_errors,
)
from amaranthlug_standins.mixes import sample_mix
from amaranthlug_standins.run_history import (
    History,
    ObservedRevision,
    append_histories,
)
from amaranthlug_standins.soak_faults import EXIT_LIMIT_S, FaultInjection
from amaranthlug_standins.soak_plan import LOAD_S, Plan, make_plan
from amaranthlug_standins.trial import Trial

NODES = 4
ZONES = 3
ENGINES = 5
SERVICES = 2
REQUESTS_PER_S = 18.0
BILL_WAIT_LIMIT_S = 18.0
"""Longest wait for bills: 8 s until a lost node counts as gone, then the 2 s
between bill chunks and the backlog of the log after an outage."""

REVISION_POLL_S = 0.4

PACE = Pace(step_ms=20.0)
"""Answers take one to four seconds, so that faults hit running streams."""


def small_deployment() -> Deployment:
    """Returns the sample deployment with fewer VMs."""
    full = hengyun()
    parts = {path: dict(body) for path, body in full.parts.items()}
    pools: dict[str, Pool] = {}
    for name, pool in full.catalog.pools.items():
        count = ENGINES if pool.engine else SERVICES
        pools[name] = dataclasses.replace(
            pool, upstreams=pool.upstreams[:count]
        )
        path = f"pools/{name}"
        parts[path]["upstreams"] = parts[path]["upstreams"][:count]
    return dataclasses.replace(
        full,
        zones=full.zones[:ZONES],
        nodes=NODES,
        catalog=dataclasses.replace(full.catalog, pools=pools),
        parts=parts,
    )


def record_revisions(trial: Trial, node_index: int) -> None:
    """Records the revisions of one node until its greenlet is killed."""
    while True:
        gevent.sleep(REVISION_POLL_S)
        node = trial.fleet.nodes[node_index]
        if node.child is None or not node.child.running():
            continue
        asked_at = time.time()
        status = node.status()
        if status is not None:
            trial.revisions.append(
                ObservedRevision(
                    at=asked_at,
                    node=node.address,
                    incarnation=status["incarnation"],
                    revision=int(status["revision"]),
                )
            )


def wait_for_history(trial: Trial) -> History:
    """Returns the history when bills and revisions are complete or overdue."""
    started_at = time.monotonic()
    while True:
        history = trial.history(trial.truth())
        waited_s = time.monotonic() - started_at
        is_behind = waited_s < CONFIG_LIMIT_S and is_any_node_behind(history)
        has_errors = waited_s < BILL_WAIT_LIMIT_S and find_billing_errors(
            history
        )
        if not (is_behind or has_errors):
            return history
        gevent.sleep(0.5)


def is_any_node_behind(history: History) -> bool:
    """Tells whether a node last reported an older revision than accepted."""
    last_accepted = accepted_revisions(history.records)[-1].offset
    newest = {
        observed.node: observed.revision for observed in history.revisions
    }
    return any(revision < last_accepted for revision in newest.values())


@dataclasses.dataclass(frozen=True)
class SoakRun:
    """History of a run and the log output of its nodes."""

    history: History
    logs: str


def run_plan(plan: Plan) -> SoakRun:
    """Runs a plan on a new fleet."""
    deployment = small_deployment()
    options = FleetOptions(seed=plan.seed, faults=True, pace=PACE)
    with Fleet(deployment, options) as fleet:
        fleet.start()
        mix = sample_mix(deployment, REQUESTS_PER_S, LOAD_S)
        trial = Trial.from_mix("soak", plan.seed, fleet, mix)
        watchers = [
            gevent.spawn(record_revisions, trial, i) for i in range(NODES)
        ]
        injection = FaultInjection(trial)
        fault_greenlets = [
            gevent.spawn(injection.run, fault) for fault in plan.faults
        ]
        trial.load.run()
        gevent.joinall(fault_greenlets, timeout=EXIT_LIMIT_S, raise_error=True)
        history = wait_for_history(trial)
        gevent.killall([*watchers, *fault_greenlets])
        return SoakRun(history, node_logs(fleet))


def node_logs(fleet: Fleet) -> str:
    """Returns the log output of all node processes of a fleet."""
    texts = []
    for child in fleet.children:
        text = child.log_file.read_text()
        if child.name not in fleet.parts and text:
            texts.append(f"== {child.name}\n{text}")
    return "\n".join(texts)


def run_seed(plan: Plan, out: pathlib.Path, keep: bool) -> CheckResult:
    """Runs a plan, prints its result and stores the files if it failed."""
    started_at = time.monotonic()
    run = run_plan(plan)
    checked = check_history(run.history)
    outcomes = collections.Counter(
        call.outcome for call in checked.history.calls
    )
    codes = collections.Counter(
        call.code for call in checked.history.calls if call.code
    )
    faults = ", ".join(
        f"{fault.kind}@{fault.at_s:.1f}+{fault.length_s:.1f}"
        for fault in plan.faults
    )
    withdrawn = router_withdrawals(checked.history)
    click.echo(
        f"seed {plan.seed} [{faults}] {dict(outcomes)} {dict(codes)} "
        f"{len(checked.violations)} violations, "
        + (f"router withdrew {', '.join(withdrawn)}, " if withdrawn else "")
        + f"{time.monotonic() - started_at:.0f} s"
    )
    for line in checked.report():
        click.echo(f"  {line}")
    if checked.violations or keep:
        out.mkdir(parents=True, exist_ok=True)
        name = f"soak-{plan.seed}"
        (out / f"{name}.json").write_bytes(msgspec.json.encode(plan))
        (out / f"{name}.jsonl").unlink(missing_ok=True)
        (out / f"{name}.log").write_text(run.logs)
        append_histories(out / f"{name}.jsonl", [checked.history])
    return checked


def router_withdrawals(history: History) -> list[str]:
    """Returns the versions that nodes withdrew without an operator.

    No version turns bad in a soak, so each of these withdrawals is false.
    Their share has a target but no promise, so no rule checks it.
    """
    versions = {
        record["version"]
        for record in history.records
        if record.get("type") == "withdrawal" and not record.get("operator")
    }
    return sorted(versions)


@click.command()
@click.option("--seeds", default=20, show_default=True, help="Number of seeds.")
@click.option("--first", default=1, show_default=True, help="First seed.")
@click.option("--replay", type=click.Path(exists=True, path_type=pathlib.Path))
@click.option("--out", default="out", type=click.Path(path_type=pathlib.Path))
@click.option(
    "--keep",
    is_flag=True,
    help="Also keep the files of seeds without violations.",
)
def main(
    seeds: int,
    first: int,
    replay: pathlib.Path | None,
    out: pathlib.Path,
    keep: bool,
) -> None:
    """Runs seeds one after another; exits with 1 if a promise is broken."""
    if replay is not None:
        plans = [msgspec.json.decode(replay.read_bytes(), type=Plan)]
    else:
        plans = [make_plan(seed) for seed in range(first, first + seeds)]
    failed = [
        str(plan.seed) for plan in plans if run_seed(plan, out, keep).violations
    ]
    click.echo(
        f"{len(plans) - len(failed)} of {len(plans)} seeds without violations"
        + (f"; with violations: {', '.join(failed)}" if failed else "")
    )
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
