"""The operators' command `amaranthlug`: check, publish, withdraw, bill."""

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
"""Exit status when a folder has errors."""

EXIT_NOT_EVERYWHERE = 3
"""Exit status when a revision is accepted but some nodes lack it."""

LOG_WAIT_S = 60.0
"""Default wait for a log that does not answer, in seconds."""

Value = TypeVar("Value")
Command = TypeVar("Command", bound=Callable[..., Any])

FOLDER = click.argument(
    "folder",
    type=click.Path(exists=True, file_okay=False, path_type=pathlib.Path),
)
OPERATOR = click.option(
    "--operator",
    envvar="AMARANTHLUG_OPERATOR",
    required=True,
    help="Your name, shown to others.",
)
NODES = click.option(
    "--nodes",
    multiple=True,
    callback=lambda ctx, param, value: split_addresses(value),
    help="Addresses host:port of nodes, separated by commas; repeatable.",
)


def split_addresses(values: tuple[str, ...]) -> tuple[str, ...]:
    """Returns the single addresses of options that may name several."""
    addresses = ",".join(values).split(",")
    return tuple(address.strip() for address in addresses if address.strip())


def log_options(command: Command) -> Command:
    """Adds the options of commands that use the log."""
    wait = click.option(
        "--wait",
        "wait_s",
        default=LOG_WAIT_S,
        show_default=True,
        help="Seconds to wait for the log and the nodes.",
    )
    url = click.option(
        "--log",
        "log_url",
        envvar="AMARANTHLUG_LOG",
        required=True,
        help="Base URL of the log.",
    )
    return url(wait(command))


class Group(LazyGroup):
    """The group with the commands that need the stand-ins."""

    lazy_modules: ClassVar[dict[str, str]] = {
        "experiment": "amaranthlug_ui.experiment",
        "demo": "amaranthlug_ui.demo",
        "history": "amaranthlug_ui.history",
        "explain": "amaranthlug_ui.explain",
        "fleet": "amaranthlug_platform.fleet",
        "journal": "amaranthlug_platform.journal",
    }


@click.group(cls=Group)
def main() -> None:
    """Operates amaranthlug, a model-aware router."""


@main.command()
@FOLDER
def check(folder: pathlib.Path) -> None:
    """Checks a configuration folder."""
    loaded = folder_or_exit(folder)
    click.echo(f"{folder}: {len(loaded.parts)} parts, no errors")


@main.command("check-settings")
@click.argument(
    "file", type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path)
)
def check_settings(file: pathlib.Path) -> None:
    """Checks the settings FILE of a node that answers routed requests."""
    loaded = load_settings_as(file, RoutedNodeSettings)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(EXIT_INVALID)
    click.echo(f"{file}: settings of {loaded.ok_value.name}, no errors")


@main.command()
@FOLDER
@OPERATOR
@NODES
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
    """Publishes a configuration folder and waits until it is in force.

    Exits with 1 when nothing was published, 2 when the folder has errors and
    3 when some of the nodes named have not taken it over in time.
    """
    loaded = folder_or_exit(folder)
    base = None if rebase else base_or_exit(folder)
    session = new_session(log_url, wait_s)
    found = publish_parts(session, loaded.parts, operator, base)
    if isinstance(found, Err) and found.err_value.winners:
        click.echo(
            "nothing was applied; take the other operator's parts into the "
            "folder, then publish with --rebase",
            err=True,
        )
    done = value_or_exit(found)
    keep_base(folder, done.revision)
    if done.paths:
        click.echo(
            f"revision {done.revision} accepted after {done.seconds:.2f} s: "
            f"{', '.join(done.paths)}"
        )
    else:
        click.echo(f"nothing differs from revision {done.revision}")
    if nodes:
        report_in_force(done.revision, nodes, wait_s, done.seconds)


def report_in_force(
    revision: int, nodes: tuple[str, ...], wait_s: float, before_s: float
) -> None:
    """Waits for nodes, prints how many have a revision and after how long."""
    found = wait_until_in_force(
        revision, nodes, connections.node_status, wait_s, TimerService()
    )
    last_s = before_s + max(found.seconds.values(), default=0.0)
    click.echo(
        f"in force at {len(found.seconds)} of {len(nodes)} nodes "
        f"after {last_s:.2f} s"
    )
    if found.missing:
        click.echo(
            f"not confirmed by {', '.join(found.missing)}; such a node "
            "refuses work once it cannot confirm its configuration",
            err=True,
        )
        raise click.exceptions.Exit(EXIT_NOT_EVERYWHERE)


@main.command()
@click.argument("version", metavar="MODEL@VERSION")
@click.option("--reason", required=True, help="Why, for the other operators.")
@OPERATOR
@log_options
def withdraw(
    version: str, reason: str, operator: str, log_url: str, wait_s: float
) -> None:
    """Takes a version out of service."""
    session = new_session(log_url, wait_s)
    epoch = value_or_exit(withdraw_version(session, version, reason, operator))
    click.echo(f"{version} is withdrawn (epoch {epoch})")


@main.command()
@click.argument("version", metavar="MODEL@VERSION")
@OPERATOR
@log_options
def readmit(version: str, operator: str, log_url: str, wait_s: float) -> None:
    """Lifts the withdrawal of a version."""
    session = new_session(log_url, wait_s)
    epoch = value_or_exit(readmit_version(session, version, operator))
    click.echo(f"{version} is readmitted (withdrawal of epoch {epoch} lifted)")


@main.command()
@NODES
@log_options
def status(nodes: tuple[str, ...], log_url: str, wait_s: float) -> None:
    """Shows the configuration in force, withdrawals and nodes."""
    session = new_session(log_url, wait_s)
    state = value_or_exit(session.read())
    last = state.history[-1].operator if state.history else "unknown"
    click.echo(f"revision {state.revision} by {last}, {len(state.parts)} parts")
    for version in sorted(state.withdrawals.withdrawn):
        if state.withdrawals.is_withdrawn(version):
            click.echo(f"withdrawn: {version}")
    for node in nodes:
        click.echo(f"{node}: {node_line(connections.node_status(node))}")


@main.command()
@click.option("--requests", is_flag=True, help="List every request.")
@click.option("--request", "only", help="Show one request by its id.")
@log_options
def bill(requests: bool, only: str | None, log_url: str, wait_s: float) -> None:
    """Shows bills on the log by request, organisation and in total.

    Costs are micro-units; each request is billed once.
    """
    session = new_session(log_url, wait_s)
    report = BillReport()
    session.subscribers.append(report.apply)
    value_or_exit(session.read())
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


def node_line(found: Result[dict[str, Any], str]) -> str:
    """Returns one line about a node."""
    if isinstance(found, Err):
        return f"no status: {found.err_value}"
    node = found.ok_value
    return (
        f"revision {node.get('revision')}, confirmed "
        f"{node.get('confirmed_age_s')} s ago, withdrawn "
        f"{', '.join(node.get('withdrawals', [])) or 'none'}"
    )


def base_or_exit(folder: pathlib.Path) -> int | None:
    """Returns the revision of a folder, None when it was never published."""
    base = load_base(folder)
    if isinstance(base, Err):
        raise click.ClickException(base.err_value)
    return base.ok_value


def keep_base(folder: pathlib.Path, revision: int) -> None:
    """Notes the revision in the folder; a read-only one stays without."""
    try:
        save_base(folder, revision)
    except OSError as error:
        click.echo(f"the revision was not noted in {folder}: {error}", err=True)


def new_session(log_url: str, wait_s: float) -> LogSession:
    """Returns a session with the log."""
    return LogSession(connections.log_service(log_url), wait_s)


def folder_or_exit(folder: pathlib.Path) -> ConfigFolder:
    """Returns a valid folder, or prints its errors and exits."""
    loaded = load_folder(folder)
    if isinstance(loaded, Ok):
        return loaded.ok_value
    for problem in loaded.err_value:
        click.echo(str(problem), err=True)
    raise click.exceptions.Exit(EXIT_INVALID)


def value_or_exit(found: Result[Value, Any]) -> Value:
    """Returns the value of a result, or fails with its message."""
    if isinstance(found, Ok):
        return found.ok_value
    error: PublishError = found.err_value
    raise click.ClickException(error.message)


if __name__ == "__main__":
    main()
