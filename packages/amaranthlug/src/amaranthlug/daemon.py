"""Command `amaranthlugd`, which runs a node."""

from gevent import monkey

monkey.patch_all()  # Must precede imports that use sockets or threads.

import pathlib  # noqa: E402
import signal  # noqa: E402
import sys  # noqa: E402

import click  # noqa: E402
import gevent  # noqa: E402
from result import Err  # noqa: E402

from amaranthlug.node import Node  # noqa: E402
from amaranthlug.protocol.settings_file import load_settings  # noqa: E402
from amaranthlug.transport.logs import configure_logs  # noqa: E402
from amaranthlug.transport.server import freeze_heap  # noqa: E402


@click.command()
@click.option(
    "--settings",
    "path",
    required=True,
    type=click.Path(dir_okay=False, path_type=pathlib.Path),
    help="YAML file with the settings of this node.",
)
def main(path: pathlib.Path) -> None:
    """Runs a node until a signal arrives or its VM leaves, then drains it."""
    loaded = load_settings(path)
    if isinstance(loaded, Err):
        click.echo(str(loaded.err_value), err=True)
        sys.exit(2)
    settings = loaded.ok_value
    configure_logs(settings.name, settings.log_level)
    node = Node.from_settings(settings)
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, node.stop_requested.set)
    node.start()
    freeze_heap()
    node.stop_requested.wait()
    node.stop()


if __name__ == "__main__":
    main()
