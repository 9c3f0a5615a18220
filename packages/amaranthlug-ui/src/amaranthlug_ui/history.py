"""`amaranthlug history`: checks recorded histories against the promises."""

import pathlib
import sys

import click

from amaranthlug_ui.experiment import load_standins


@click.group()
def history() -> None:
    """Check recorded histories."""


@history.command("check")
@click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
)
@click.option("--all", "show_all", is_flag=True, help="Print every violation.")
def check(file: pathlib.Path, show_all: bool) -> None:
    """Check the histories in FILE by one rule for each promise.

    Prints the shortest evidence of each broken promise and exits with 1 if
    there is any.
    """
    rules = load_standins("history_rules")
    broken = False
    for item in load_standins("run_history").read_histories(file):
        result = rules.check_history(item)
        name = f"{item.scenario} {item.deployment} seed {item.seed}"
        click.echo(
            f"{name}: {len(item.calls)} calls, {len(item.runs)} runs, "
            f"{len(result.violations)} violations"
        )
        for line in result.report(show_all):
            click.echo(line)
        broken = broken or bool(result.violations)
    sys.exit(1 if broken else 0)
