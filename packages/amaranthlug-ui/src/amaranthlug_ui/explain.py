"""`amaranthlug explain`: from the id of a request to its cause."""

import json
import pathlib
import sys
from collections.abc import Iterator
from typing import Any

import click

CONTEXT_S = 5.0
"""Time before a request's end in which what its node learnt is shown."""
TABLE = ("server", "version", "zone", "ms", "outcome", "own", "others")
"""Fields of a sending that the table shows."""
CAUSES = {
    "no_configuration": "the node had not read a configuration yet",
    "unconfirmed_configuration": "the node could not confirm its configuration"
    " in time; see its lines `store_lost` and `relay_lost`",
    "no_server": "no listed server took the request; see `server_gone` and the"
    " outcomes of its sendings",
    "upstream_failed": "a server that may have run it gave no whole answer",
    "timeout": "no server answered before the route's time-out or the caller's"
    " deadline",
    "stream_cut": "the stream broke and could not go on at another server",
    "caller_left": "the caller closed its connection first",
    "server_error": "the server itself answered with a failure",
    "unknown_key": "no organisation holds the key in the configuration named",
    "no_route": "the configuration named has no such route",
}
"""Outcome of a request -> what it means."""


def read_lines(files: tuple[pathlib.Path, ...]) -> Iterator[dict[str, Any]]:
    """Yields the structured lines of all files, whatever stands before them."""
    for file in files:
        for line in file.read_text(errors="replace").splitlines():
            begin = line.find("{")
            if begin < 0:
                continue
            try:
                found = json.loads(line[begin:])
            except ValueError:
                continue
            if isinstance(found, dict) and "time" in found:
                yield found


def story_of(
    request_id: str, lines: list[dict[str, Any]]
) -> list[dict[str, Any]]:
    """Returns the lines of a request and what its nodes learnt before it."""
    own = [line for line in lines if line.get("request_id") == request_id]
    story = list(own)
    for request in own:
        servers = {a.get("server") for a in request.get("attempts", [])}
        until = request["time"]
        since = until - request.get("took_ms", 0) / 1_000 - CONTEXT_S
        story += [
            line
            for line in lines
            if line.get("node") == request.get("node")
            and since <= line["time"] <= until
            and line.get("event") != "request"
            and (
                line.get("server") in servers or line.get("event") in KNOWLEDGE
            )
        ]
    return sorted(story, key=lambda line: line["time"])


KNOWLEDGE = frozenset(
    {
        "config",
        "direct",
        "relay",
        "relay_lost",
        "reload",
        "rollout",
        "rollout_share",
        "start",
        "stop",
        "store_lost",
        "store_regained",
        "topic_expired",
        "version_bad",
    }
)
"""Events that change what a node believes of the whole service."""


def print_request(line: dict[str, Any]) -> None:
    """Prints a request with its sendings as a table."""
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
    click.echo("  " + " ".join(f"{name:>12}" for name in TABLE))
    for attempt in line["attempts"]:
        cells = (str(attempt.get(name, "")) for name in TABLE)
        click.echo("  " + " ".join(f"{cell:>12}" for cell in cells))


@click.command()
@click.argument("request_id")
@click.argument(
    "files",
    nargs=-1,
    required=True,
    type=click.Path(exists=True, dir_okay=False, path_type=pathlib.Path),
)
@click.option("--json", "as_json", is_flag=True, help="Print lines of JSON.")
def explain(
    request_id: str, files: tuple[pathlib.Path, ...], as_json: bool
) -> None:
    """Shows what happened to REQUEST_ID by the logs FILES of all nodes.

    Exits with 1 if no line of the request is found: it was served and its
    line left out, or it never reached a node.
    """
    story = story_of(request_id, list(read_lines(files)))
    if not story:
        click.echo(
            f"no line of {request_id}; lines of served requests may be left "
            "out, see `left_out` in the lines of its node",
            err=True,
        )
        sys.exit(1)
    for line in story:
        if as_json:
            click.echo(json.dumps(line))
        elif line.get("event") == "request":
            print_request(line)
        else:
            text = line.get("message", line.get("event"))
            click.echo(f"{line['time']:.3f} {line.get('node')}: {text}")
