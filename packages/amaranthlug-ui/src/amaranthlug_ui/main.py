"""The command `amaranthlug` for operators."""

import pathlib
import sys
from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

import click
from result import Err, Ok, Result

from amaranthlug.coordination.publishing import (
    LogSession,
    PublishError,
    publish_parts,
    readmit_version,
    wait_until_in_force,
    withdraw_version,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug.protocol.config_folder import ConfigFolder, load_folder
from amaranthlug.protocol.folder_base import load_base, save_base
from amaranthlug.protocol.settings_file import load_settings_as
from amaranthlug.state.bill_report import BillReport
from amaranthlug.state.routing.settings import RoutedNodeSettings
from amaranthlug_ui import connections
from amaranthlug_ui.lazy_group import LazyGroup

EXIT_INVALID = 2
"""Exit status if a folder or a settings file has errors."""

EXIT_NODES_MISSING = 3
"""Exit status if a revision is accepted but some nodes do not have it."""

LOG_WAIT_S = 60.0
"""Default time to wait for the log and the nodes, in seconds."""

Value = TypeVar("Value")
Command = TypeVar("Command", bound=Callable[..., Any])

FOLDER_ARGUMENT = click.argument(
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)
OPERATOR_OPTION = click.option(
    "--operator",
    envvar="AMARANTHLUG_OPERATOR",
    required=True,
    help="Your name, shown to other operators.",
)
NODES_OPTION = click.option(
    "--nodes",
    multiple=True,
    callback=lambda ctx, param, value: split_addresses(value),
    help="Addresses of nodes, as host:port separated by commas; repeatable.",
)


def split_addresses(values: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the addresses of options that hold comma-separated lists."""
    addresses = ",".join(values).split(",")
    return tuple(address.strip() for address in addresses if address.strip())


def log_options(command: Command) -> Command:
    """Adds the options `--log` and `--wait` to a command."""
    wait = click.option(
        "--wait",
        "wait_s",
        default=LOG_WAIT_S,
        show_default=True,
        help="Time to wait for the log and the nodes, in seconds.",
    )
    url = click.option(
        "--log",
        "log_url",
        envvar="AMARANTHLUG_LOG",
        required=True,
        help="Base URL of the log.",
    )
    return url(wait(command))


class OperatorGroup(LazyGroup):
    """The root group; commands in optional packages are imported lazily."""

    lazy_modules: ClassVar[dict[str, str]] = {
        "experiment": "amaranthlug_ui.experiment",
        "demo": "amaranthlug_ui.demo",
        "history": "amaranthlug_ui.history",
        "explain": "amaranthlug_ui.explain",
        "fleet": "amaranthlug_platform.fleet",
        "journal": "amaranthlug_platform.journal",
    }


@click.group(cls=OperatorGroup)
def main() -> None:
    """Operate amaranthlug, a model-aware request router."""


@main.command()
@FOLDER_ARGUMENT
def check(folder: pathlib.Path) -> None:
    """Check a configuration folder; exit with 2 if it has errors."""
    loaded = load_folder_or_exit(folder)
    click.echo(f"{folder}: {len(loaded.parts)} parts, no errors")


@main.command("check-settings")
@click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
)
def check_settings(file: pathlib.Path) -> None:
    """Check the settings FILE of a routing node; exit with 2 on errors."""
    loaded = load_settings_as(file, RoutedNodeSettings)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_INVALID)
    click.echo(f"{file}: settings of {loaded.ok_value.name}, no errors")


@main.command()
@FOLDER_ARGUMENT
@OPERATOR_OPTION
@NODES_OPTION
@click.option(
    "--rebase",
    is_flag=True,
    help="Ignore the revision that the folder was last published as.",
)
@log_options
def publish(
    folder: pathlib.Path,
    operator: str,
    nodes: tuple[str, ...],
    rebase: bool,
    log_url: str,
    wait_s: float,
) -> None:
    """Publish a configuration folder and wait until it is in force.

    Exits with 1 if nothing was published, 2 if the folder has errors and 3 if
    some of the named nodes did not apply it in time.
    """
    loaded = load_folder_or_exit(folder)
    base = None if rebase else load_base_or_exit(folder)
    session = open_session(log_url, wait_s)
    result = publish_parts(session, loaded.parts, operator, base)
    if isinstance(result, Err) and result.err_value.winners:
        click.echo(
            "nothing was applied; take the other operator's parts into the "
            "folder, then publish with --rebase",
            err=True,
        )
    publication = unwrap_or_exit(result)
    record_base(folder, publication.revision)
    if publication.paths:
        click.echo(
            f"revision {publication.revision} accepted after "
            f"{publication.seconds:.2f} s: "
            f"{', '.join(publication.paths)}"
        )
    else:
        click.echo(f"nothing differs from revision {publication.revision}")
    if nodes:
        report_in_force(
            publication.revision, nodes, wait_s, publication.seconds
        )


def report_in_force(
    revision: int, nodes: tuple[str, ...], wait_s: float, before_s: float
) -> None:
    """Waits for nodes and prints how many have a revision, and how soon.

    Args:
        revision: The revision to wait for.
        nodes: Addresses of the nodes, as `host:port`.
        wait_s: Longest wait, in seconds.
        before_s: Time that publishing took, which is added to the time printed.

    Raises:
        click.exceptions.Exit: Some nodes did not confirm the revision.
    """
    result = wait_until_in_force(
        revision, nodes, connections.node_status, wait_s, TimerService()
    )
    last_s = before_s + max(result.seconds.values(), default=0.0)
    click.echo(
        f"in force at {len(result.seconds)} of {len(nodes)} nodes "
        f"after {last_s:.2f} s"
    )
    if result.missing:
        click.echo(
            f"not confirmed by {', '.join(result.missing)}; such a node "
            "refuses work once it cannot confirm its configuration",
            err=True,
        )
        raise click.exceptions.Exit(EXIT_NODES_MISSING)


@main.command()
@click.argument("version", metavar="MODEL@VERSION")
@click.option(
    "--reason", required=True, help="The reason, shown to other operators."
)
@OPERATOR_OPTION
@log_options
def withdraw(
    version: str, reason: str, operator: str, log_url: str, wait_s: float
) -> None:
    """Take a version out of service."""
    session = open_session(log_url, wait_s)
    epoch = unwrap_or_exit(withdraw_version(session, version, reason, operator))
    click.echo(f"{version} is withdrawn (epoch {epoch})")


@main.command()
@click.argument("version", metavar="MODEL@VERSION")
@OPERATOR_OPTION
@log_options
def readmit(version: str, operator: str, log_url: str, wait_s: float) -> None:
    """Lift the withdrawal of a version."""
    session = open_session(log_url, wait_s)
    epoch = unwrap_or_exit(readmit_version(session, version, operator))
    click.echo(f"{version} is readmitted (withdrawal of epoch {epoch} lifted)")


@main.command()
@NODES_OPTION
@log_options
def status(nodes: tuple[str, ...], log_url: str, wait_s: float) -> None:
    """Show the configuration in force, withdrawn versions and nodes."""
    session = open_session(log_url, wait_s)
    state = unwrap_or_exit(session.read())
    last = state.history[-1].operator if state.history else "unknown"
    click.echo(f"revision {state.revision} by {last}, {len(state.parts)} parts")
    for version in sorted(state.withdrawals.withdrawn):
        if state.withdrawals.is_withdrawn(version):
            click.echo(f"withdrawn: {version}")
    for node in nodes:
        click.echo(
            f"{node}: {format_node_status(connections.node_status(node))}"
        )


@main.command()
@click.option("--requests", is_flag=True, help="List every request.")
@click.option("--request", "only", help="Show only the request with this id.")
@log_options
def bill(requests: bool, only: str | None, log_url: str, wait_s: float) -> None:
    """Show the bills on the log, by request, by organisation and in total.

    Costs are in micro-units; each request is counted once.
    """
    session = open_session(log_url, wait_s)
    report = BillReport()
    session.subscribers.append(report.apply)
    unwrap_or_exit(session.read())
    for entry in report.entries:
        if requests or entry.request_id == only:
            click.echo(
                f"{entry.request_id} {entry.organisation} {entry.kind} "
                f"{entry.version} {entry.outcome} {entry.prompt_tokens}+"
                f"{entry.output_tokens} tokens, cost {entry.cost}"
            )
    if only:
        return
    for name, totals in sorted(report.ledger.organisations.items()):
        click.echo(f"{name}: {totals.requests} requests, cost {totals.cost}")
    total = report.ledger.total()
    click.echo(f"total: {total.requests} requests, cost {total.cost}")


def format_node_status(status: Result[dict[str, Any], str]) -> str:
    """Returns the text of a node's status, or of the error of reading it."""
    if isinstance(status, Err):
        return f"no status: {status.err_value}"
    node = status.ok_value
    return (
        f"revision {node.get('revision')}, confirmed "
        f"{node.get('confirmed_age_s')} s ago, withdrawn "
        f"{', '.join(node.get('withdrawals', [])) or 'none'}"
    )


def load_base_or_exit(folder: pathlib.Path) -> int | None:
    """Returns the revision of a folder, None if it was never published.

    Raises:
        click.ClickException: The record of the revision cannot be read.
    """
    base = load_base(folder)
    if isinstance(base, Err):
        raise click.ClickException(base.err_value)
    return base.ok_value


def record_base(folder: pathlib.Path, revision: int) -> None:
    """Records the revision in the folder; a failure is only reported."""
    try:
        save_base(folder, revision)
    except OSError as error:
        click.echo(f"cannot record the revision in {folder}: {error}", err=True)


def open_session(log_url: str, wait_s: float) -> LogSession:
    """Returns a session with the log that waits up to `wait_s` seconds."""
    return LogSession(connections.make_log_client(log_url), wait_s)


def load_folder_or_exit(folder: pathlib.Path) -> ConfigFolder:
    """Returns a valid folder, or prints its errors and exits with 2."""
    loaded = load_folder(folder)
    if isinstance(loaded, Ok):
        return loaded.ok_value
    for problem in loaded.err_value:
        click.echo(str(problem), err=True)
    raise click.exceptions.Exit(EXIT_INVALID)


def unwrap_or_exit(result: Result[Value, Any]) -> Value:
    """Returns the value of a result.

    Raises:
        click.ClickException: The result is an error.
    """
    if isinstance(result, Ok):
        return result.ok_value
    error: PublishError = result.err_value
    raise click.ClickException(error.message)


if __name__ == "__main__":
    main()
