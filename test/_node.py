"""Test node with fake parts that serves on a real socket."""

from _fakes import Bench, sample_catalog
from _stub_engine import StubEngine

from amaranthlug.protocol.service_calls import RandomPicker, ServiceCalls
from amaranthlug.transport.app import NodeView, create_app
from amaranthlug.transport.engine_client import HttpEngine
from amaranthlug.transport.server import NodeServer
from amaranthlug.transport.service_client import HttpPlainService
from amaranthlug_standins.loopback import process_address


class FakeEntries:
    """Provides two entry addresses."""

    def entries(self, zone):
        return [("10.0.0.1:80", zone or "sala-a"), ("10.0.0.2:80", "sala-b")]


class FakePeers:
    """Echoes peer messages with the right header."""

    def receive(self, name, auth, body):
        return (200, body) if auth == "good" else (401, b"{}")


class Node:
    """A node on a free port in front of stub engines."""

    def __init__(self, stubs=None, stall_s=30.0, body_bytes=100_000):
        self.stubs = stubs or [StubEngine(), StubEngine()]
        catalog = sample_catalog([stub.address for stub in self.stubs])
        self.bench = Bench(engine=HttpEngine(), catalog=catalog)
        bench = self.bench
        self.calls = ServiceCalls(
            bench.catalog,
            RandomPicker(bench.catalog, "sala-a", lambda address: False, 1),
            HttpPlainService(),
            bench.runs,
            bench.limits,
            bench.admission,
            bench.budget,
            bench.metrics,
        )
        self.server = NodeServer(f"{process_address()}:0", None, stall_s)
        self.view = NodeView(
            5.0, lambda: self.server.leaving, lambda: {"revision": 1}
        )
        self.server.application = create_app(
            bench.dispatcher,
            self.calls,
            FakeEntries(),
            FakePeers(),
            bench.metrics,
            self.view,
            body_bytes,
        )
        self.server.start()

    @property
    def port(self):
        return self.server.server_port

    def stop(self):
        """Stops the node and its engines."""
        self.server.stop(timeout=0)
        for stub in self.stubs:
            stub.stop()
