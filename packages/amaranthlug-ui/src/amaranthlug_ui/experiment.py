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
    """Run experiments against stand-ins for the platform."""


@experiment.command("list")
def list_scenarios() -> None:
    """List the experiments."""
    for scenario in load_standins("experiments").SCENARIOS.values():
        click.echo(f"{scenario.name:14} {scenario.summary}")


@experiment.command("run")
@click.argument("name")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print the counts as one JSON object.",
)
@click.option(
    "--history",
    "history_file",
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="Append the recorded histories to this file.",
)
def run_scenario(
    name: str, seed: int, as_json: bool, history_file: pathlib.Path | None
) -> None:
    """Run the experiment NAME; exit with 1 if a promise is broken."""
    scenarios = load_standins("experiments").SCENARIOS
    if name not in scenarios:
        raise click.ClickException(
            f"there is no experiment {name!r}; use one of "
            f"{', '.join(scenarios)}"
        )
    scenario = scenarios[name]
    # The default action would leave the node processes running.
    signal.signal(signal.SIGTERM, exit_on_signal)
    histories = load_standins("run_history")
    with (
        histories.Recording() as recording,
        ProgressBar(scenario.length_s, name) as step,
    ):
        counts = scenario.run(seed, step)
    if history_file is not None:
        histories.append_histories(history_file, recording.histories)
    if as_json:
        rows = {key: dataclasses.asdict(item) for key, item in counts.items()}
        click.echo(json.dumps(rows))
    else:
        print_counts(counts)
    sys.exit(max(item.exit_code() for item in counts.values()))


def exit_on_signal(number: int, frame: Any) -> None:
    """Exits through `SystemExit`, so that the fleet is stopped on the way.

    Raises:
        SystemExit: Always, with 128 plus the number of the signal.
    """
    sys.exit(128 + number)


class ProgressBar:
    """Progress bar on standard error, measured in seconds of load."""

    def __init__(self, length_s: float, label: str):
        """Creates a bar for a load that lasts `length_s` seconds."""
        self.bar = click.progressbar(
            length=int(length_s * 10), label=label, file=sys.stderr
        )
        self.remainder = 0.0

    def __enter__(self) -> Any:
        """Shows the bar and returns the function that advances it."""
        self.bar.__enter__()
        return self.step

    def __exit__(self, *error: Any) -> None:
        """Closes the bar."""
        self.bar.__exit__(*error)

    def step(self, seconds: float) -> None:
        """Advances the bar by seconds of load."""
        steps, self.remainder = divmod(self.remainder + seconds * 10, 1)
        self.bar.update(int(steps))


def print_counts(counts: Any) -> None:
    """Prints one line per count, with one column per deployment."""
    names = list(counts)
    click.echo(" ".join([f"{'':26}", *(f"{name:>14}" for name in names)]))
    columns = [dataclasses.asdict(item) for item in counts.values()]
    for field in columns[0]:
        values = [column[field] for column in columns]
        if isinstance(values[0], dict):
            continue
        cells = ["-" if value is None else str(value) for value in values]
        line = " ".join([f"{field:26}", *(f"{text:>14}" for text in cells)])
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
    "--rate", default=80.0, show_default=True, help="Requests per second."
)
@click.option(
    "--seconds", default=30.0, show_default=True, help="Simulated time."
)
@click.option(
    "--slow",
    "slow_share",
    default=0.0,
    show_default=True,
    help="Share of the engines that read prompts at a fifth of the speed.",
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--choice",
    "choices",
    multiple=True,
    help="Simulate only this way of choosing engines; repeatable.",
)
def simulate(seed: int, choices: tuple[str, ...], **deployment: Any) -> None:
    """Compare ways of choosing engines in a simulation of the real modules."""
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
