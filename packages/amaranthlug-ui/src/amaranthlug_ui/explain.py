"""`amaranthlug explain`: finds the cause of a request's outcome in logs."""

import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Any

import click

CONTEXT_S = 5.0
"""Time before the start of a request from which its node's events are shown,
in seconds."""
ATTEMPT_FIELDS = ("server", "version", "zone", "ms", "outcome", "own", "others")
"""Fields of an attempt that the table shows."""
CAUSES = {
    "no_configuration": "the node had not read a configuration yet",
    "unconfirmed_configuration": "the node could not confirm its configuration"
    " in time; see its lines `store_lost` and `relay_lost`",
    "no_server": "no listed server accepted the request; see `server_gone` and"
    " the outcomes of its attempts",
    "upstream_failed": "a server that may have run the request sent no"
    " complete answer",
    "timeout": "no server answered before the route's time-out or the caller's"
    " deadline",
    "poisoned_request": "servers ended under this request one after the other;"
    " see `server_ended` and `request_blocked`",
    "stream_cut": "the stream broke and could not be resumed at another server",
    "caller_left": "the caller closed its connection first",
    "server_error": "the server itself answered with an error status",
    "unknown_key": "no organisation has this key in the configuration shown",
    "no_route": "the configuration shown has no such route",
}
"""Outcome of a request -> explanation for the operator."""


def read_lines(files: tuple[pathlib.Path, ...]) -> Iterator[dict[str, Any]]:
    """Yields the JSON log lines of all files.

    Text before the first brace, such as a prefix of a log collector, and
    other lines are skipped.
    """
    for file in files:
        for line in file.read_text(errors="replace").splitlines():
            start = line.find("{")
            if start < 0:
                continue
            try:
                entry = json.loads(line[start:])
            except ValueError:
                continue
            if isinstance(entry, dict) and "time" in entry:
                yield entry


def collect_related_lines(
    request_id: str, lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns the lines of a request and its nodes' related events, by time.

    Related are events during the request, or up to `CONTEXT_S` before it, that
    concern one of its servers or the state of the whole node, and those about
    requests with the same digest, at any node and time.
    """
    request_lines = [
        line for line in lines if line.get("request_id") == request_id
    ]
    digests = {line["digest"] for line in request_lines if "digest" in line}
    related = request_lines + [
        line
        for line in lines
        if line.get("event") in SUSPECT_EVENTS
        and line.get("digest") in digests
        and line.get("request_id") != request_id
    ]
    for request in request_lines:
        if request.get("event") != "request":
            continue
        servers = {a.get("server") for a in request.get("attempts", [])}
        until = request["time"]
        since = until - request.get("took_ms", 0) / 1_000 - CONTEXT_S
        related += [
            line
            for line in lines
            if line.get("node") == request.get("node")
            and since <= line["time"] <= until
            and line.get("event") != "request"
            and (
                line.get("server") in servers
                or line.get("event") in NODE_STATE_EVENTS
            )
        ]
    return sorted(related, key=lambda line: line["time"])


NODE_STATE_EVENTS = frozenset(
    {
        "config",
        "direct",
        "owner_lost",
        "relay",
        "relay_lost",
        "reload",
        "rollout",
        "rollout_age",
        "rollout_share",
        "start",
        "stop",
        "store_era",
        "store_lost",
        "store_regained",
        "topic_expired",
        "topic_restored",
        "version_bad",
    }
)
"""Events that concern the state of a node rather than one server."""


SUSPECT_EVENTS = frozenset(
    {"server_ended", "request_blocked", "request_allowed"}
)
"""Events about requests under which servers ended."""


def print_request(line: dict[str, Any]) -> None:
    """Prints a request with a table of its attempts."""
    click.echo(
        f"{line['time']:.3f} {line.get('node')}: {line['outcome']} "
        f"(status {line['status']}) after {line['took_ms']} ms on route "
        f"{line['route'] or '-'}, configuration {line['config_version']} "
        f"confirmed {line['config_age_s']} s before"
    )
    cause = CAUSES.get(line["outcome"])
    if cause:
        click.echo(f"  cause: {cause}")
    if not line["attempts"]:
        click.echo("  it was sent to no server")
        return
    if line.get("session"):
        click.echo(f"  session {line['session']}: {describe_basis(line)}")
    click.echo("  " + " ".join(f"{name:>12}" for name in ATTEMPT_FIELDS))
    for attempt in line["attempts"]:
        cells = (str(attempt.get(name, "")) for name in ATTEMPT_FIELDS)
        click.echo("  " + " ".join(f"{cell:>12}" for cell in cells))


def describe_basis(line: dict[str, Any]) -> str:
    """Returns what decided the version of a request in a session."""
    known = "not known to this node"
    if line.get("session_version") is not None:
        known = (
            f"on {line['session_version']} at this node "
            f"{line['session_age_s']} s before"
        )
    return f"{known}; version chosen by: {line.get('version_basis')}"


@click.command()
@click.argument("request_id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option(
    "--json", "as_json", is_flag=True, help="Print one JSON object per line."
)
def explain(
    request_id: str, files: tuple[pathlib.Path, ...], as_json: bool
) -> None:
    """Show what happened to REQUEST_ID, from the logs FILES of all nodes.

    Exits with 1 if the logs hold no line of the request: it was served and its
    line was left out to limit the log, or it never reached a node.
    """
    related = collect_related_lines(request_id, list(read_lines(files)))
    if not related:
        click.echo(
            f"no line of {request_id}; lines of served requests may be left "
            "out, see `left_out` in the lines of its node",
            err=True,
        )
        sys.exit(1)
    for line in related:
        if as_json:
            click.echo(json.dumps(line))
        elif line.get("event") == "request":
            print_request(line)
        else:
            text = line.get("message", line.get("event"))
            click.echo(f"{line['time']:.3f} {line.get('node')}: {text}")
