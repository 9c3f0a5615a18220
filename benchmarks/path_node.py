"""Router process of the benchmark: the request path on a real socket.

Choice, pins, register and bills are in memory here, so the figures are those
of the request path alone.
"""

import itertools
import json
import pathlib
import sys

import gevent
from result import Ok

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parent.parent / "test"))

from _fakes import Bench, FakeChooser, FakeServers, sample_catalog
from _node import FakeEntries, FakePeers

from amaranthlug.transport.app import NodeView, create_app
from amaranthlug.transport.engine_client import HttpEngine
from amaranthlug.transport.server import NodeServer, freeze_heap

BOUND = 2_000
"""Requests in flight, as the default settings say."""


class CountingChooser(FakeChooser):
    """Counts reports instead of keeping them."""

    def started(self, request, version):
        """Ignores the start."""

    def finished(self, request, version, upstream, outcome, answer):
        """Ignores the end."""


class RotatingServers(FakeServers):
    """Picks servers in turn."""

    def __init__(self, catalog):
        """Starts with the first server."""
        super().__init__(catalog)
        self.turn = itertools.cycle(catalog.now.pools["pool"].upstreams)

    def pick(self, request, version, exclude):
        """Returns the next server."""
        return Ok(next(self.turn))

    def done(self, address, first_token_s, failed):
        """Ignores the end."""


def main() -> None:
    """Serves until standard input closes."""
    catalog = sample_catalog(sys.argv[1:])
    bench = Bench(engine=HttpEngine(), catalog=catalog, bound=BOUND)
    bench.sender.chooser = bench.dispatcher.chooser = CountingChooser()
    bench.sender.servers = RotatingServers(bench.catalog)
    server = NodeServer("127.0.0.1:0", None)
    server.application = create_app(
        bench.dispatcher,
        None,
        FakeEntries(),
        FakePeers(),
        bench.metrics,
        NodeView(5.0, lambda: False, dict),
        2_000_000,
    )
    server.start()
    freeze_heap()
    address = f"127.0.0.1:{server.server_port}"
    print(json.dumps({"address": address}), flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)


if __name__ == "__main__":
    main()
