"""Router process of the benchmark with the request path alone.

It serves a real socket, but version choice, session pins, run register and
bills are in-memory fakes, so the results are those of the request path.
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
from amaranthlug_standins.loopback import process_address

MAX_IN_FLIGHT = 2_000
"""Limit of requests in flight, as in the default settings."""


class NoReportChooser(FakeChooser):
    """Discards reports, so that memory does not grow."""

    def started(self, request, version):
        """Does nothing."""

    def finished(self, request, version, upstream, outcome, answer):
        """Does nothing."""


class RoundRobinServers(FakeServers):
    """Picks servers in round-robin order."""

    def __init__(self, catalog):
        """Starts with the first server."""
        super().__init__(catalog)
        self.rotation = itertools.cycle(catalog.now.pools["pool"].upstreams)

    def pick(self, request, version, exclude):
        """Returns the next server."""
        return Ok(next(self.rotation))

    def done(self, address, first_token_s, failed):
        """Does nothing."""


def main() -> None:
    """Serves until standard input closes."""
    catalog = sample_catalog(sys.argv[1:])
    bench = Bench(engine=HttpEngine(), catalog=catalog, bound=MAX_IN_FLIGHT)
    bench.sender.chooser = bench.dispatcher.chooser = NoReportChooser()
    bench.sender.servers = RoundRobinServers(bench.catalog)
    server = NodeServer(f"{process_address()}:0", None)
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
    address = f"{process_address()}:{server.server_port}"
    print(json.dumps({"address": address}), flush=True)
    gevent.get_hub().threadpool.apply(sys.stdin.read)


if __name__ == "__main__":
    main()
