"""`amaranthlug experiment`: runs experiments of the stand-ins package."""

import dataclasses
import importlib
import json
import pathlib
import signal
import sys
from typing import Any

import click

MISSING_PACKAGE_MESSAGE = (
    "this command needs the package amaranthlug-standins; install it beside "
    "amaranthlug-ui (`make setup` does so in a checkout)"
)


def load_standins(module: str) -> Any:
    """Imports a module of the stand-ins package.

    Raises:
        click.ClickException: The package is not installed.
    """
    try:
        return importlib.import_module(f"amaranthlug_standins.{module}")
    except ModuleNotFoundError as error:
        if error.name and error.name.startswith("amaranthlug_standins"):
            raise click.ClickException(MISSING_PACKAGE_MESSAGE) from error
        raise


@click.group()
def experiment() -> None:
    """Run experiments against stand-ins of the platform."""


@experiment.command("list")
def list_scenarios() -> None:
    """List the experiments."""
    for scenario in load_standins("experiments").SCENARIOS.values():
        click.echo(f"{scenario.name:14} {scenario.summary}")


@experiment.command("run")
@click.argument("name")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="One JSON object last.")
@click.option(
    "--history",
    "history_file",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Add the recorded histories to this file.",
)
def run_scenario(
    name: str, seed: int, as_json: bool, history_file: pathlib.Path | None
) -> None:
    """Run the experiment NAME; exits with 1 if a promise is broken."""
    scenarios = load_standins("experiments").SCENARIOS
    if name not in scenarios:
        raise click.ClickException(
            f"there is no experiment {name!r}; use one of "
            f"{', '.join(scenarios)}"
        )
    scenario = scenarios[name]
    # The default action would leave the node processes behind.
    signal.signal(signal.SIGTERM, end_by_signal)
    histories = load_standins("run_history")
    with (
        histories.Recording() as recording,
        ProgressBar(scenario.length_s, name) as step,
    ):
        counts = scenario.run(seed, step)
    if history_file is not None:
        histories.append_histories(history_file, recording.histories)
    if as_json:
        found = {key: dataclasses.asdict(item) for key, item in counts.items()}
        click.echo(json.dumps(found))
    else:
        show_counts(counts)
    sys.exit(max(item.exit_code() for item in counts.values()))


def end_by_signal(number: int, frame: Any) -> None:
    """Ends the command so that its fleet is stopped.

    Raises:
        SystemExit: With the usual code of an end by signal.
    """
    sys.exit(128 + number)


class ProgressBar:
    """Bar over seconds of load, on standard error."""

    def __init__(self, length_s: float, label: str):
        """Creates a bar for a load of a length in seconds."""
        self.bar = click.progressbar(
            length=int(length_s * 10), label=label, file=sys.stderr
        )
        self.rest = 0.0

    def __enter__(self) -> Any:
        """Shows the bar and returns the function that moves it."""
        self.bar.__enter__()
        return self.step

    def __exit__(self, *error: Any) -> None:
        """Ends the bar."""
        self.bar.__exit__(*error)

    def step(self, seconds: float) -> None:
        """Moves the bar by seconds of load."""
        steps, self.rest = divmod(self.rest + seconds * 10, 1)
        self.bar.update(int(steps))


def show_counts(counts: Any) -> None:
    """Prints one line for each count, with a column for each deployment."""
    names = list(counts)
    click.echo(" ".join([f"{'':26}", *(f"{name:>14}" for name in names)]))
    columns = [dataclasses.asdict(item) for item in counts.values()]
    for field in columns[0]:
        values = [column[field] for column in columns]
        if isinstance(values[0], dict):
            continue
        shown = ["-" if value is None else str(value) for value in values]
        line = " ".join([f"{field:26}", *(f"{text:>14}" for text in shown)])
        click.echo(line)
    for name, item in counts.items():
        for field in ("refusals", "notes"):
            click.echo(f"{name} {field}: {getattr(item, field)}")
        if item.broken():
            click.echo(f"{name}: broken promises: {', '.join(item.broken())}")


@experiment.command("simulate")
@click.option("--nodes", default=8, show_default=True)
@click.option("--engines", default=9, show_default=True)
@click.option("--zones", default=4, show_default=True)
@click.option("--slots", default=48, show_default=True)
@click.option(
    "--rate", default=80.0, show_default=True, help="Requests a second."
)
@click.option(
    "--seconds", default=30.0, show_default=True, help="Simulated time."
)
@click.option(
    "--slow",
    "slow_share",
    default=0.0,
    show_default=True,
    help="Part of the engines that read at a fifth of the pace.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--choice",
    "choices",
    multiple=True,
    help="Only this way to choose engines; repeatable.",
)
def simulate(seed: int, choices: tuple[str, ...], **deployment: Any) -> None:
    """Compare ways to choose engines off-line, with the product's modules."""
    simulation = load_standins("simulation.run")
    unknown = set(choices) - set(simulation.CHOOSERS)
    if unknown:
        raise click.ClickException(
            f"unknown choice {', '.join(sorted(unknown))}; there are "
            f"{', '.join(simulation.CHOOSERS)}"
        )
    for name in choices or simulation.CHOOSERS:
        run = simulation.Simulation(
            simulation.Deployment(**deployment), name, seed
        )
        click.echo(f"{name:12} {run.run().row()}")
