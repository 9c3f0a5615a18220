"""`amaranthlug demo`: runs both sample deployments in one process."""

import json
import sys
from typing import Any

import click

from amaranthlug_ui.experiment import ProgressBar, load_standins

ROW_TITLES = (
    ("requests", "requests"),
    ("answered_once_whole", "answered once and whole"),
    ("billed_once", "billed once (model requests)"),
    ("cost_per_request", "cost per request"),
    ("best_model_cost_per_request", "  with always the best model"),
    ("target_met_share", "share meeting the target"),
    ("ttft_p95_ms", "p95 time to first token, ms"),
    ("bad_version_answers", "answers from a bad version"),
)
"""Fields of a result row, with the titles to print."""


@click.command()
@click.option("--seed", type=int, default=1, show_default=True)
@click.option(
    "--json",
    "as_json",
    is_flag=True,
    help="Print the result as one JSON object.",
)
def demo(seed: int, as_json: bool) -> None:
    """Show both sample deployments under load in under 40 s."""
    module = load_standins("demo")
    with ProgressBar(module.LOAD_S, "load") as step:
        result = module.run(seed, step)
    if as_json:
        click.echo(json.dumps(result.to_json()))
    else:
        print_rows(result.rows)
    sys.exit(result.exit_code())


def print_rows(rows: list[Any]) -> None:
    """Prints a table with one column per deployment."""
    names = [f"{row.deployment:>14}" for row in rows]
    click.echo(" ".join([f"{'':30}", *names]))
    for field, title in ROW_TITLES:
        values = [getattr(row, field) for row in rows]
        cells = [f"{'-' if v is None else v:>14}" for v in values]
        click.echo(" ".join([f"{title:30}", *cells]))
    for row in rows:
        if row.broken_promises:
            broken = ", ".join(row.broken_promises)
            click.echo(f"{row.deployment}: broken promises: {broken}")
