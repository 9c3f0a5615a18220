"""Stand-in of a sound server, and a lossy way to one."""

import collections
import socket
import time
from collections.abc import Callable

import deployment as d
import gevent

from amaranthlug.transport.routing.http_server import (
    HttpServer,
    IncomingRequest,
    Responder,
)
from amaranthlug_platform.records import SERVERS_TOPIC
from amaranthlug_platform_standins.store import StoreStandIn
from amaranthlug_standins.loopback import listener_addresses


class Server:
    """A sound server that registers itself in the store.

    Attributes:
        respond: Runs a request and answers it.
        runs: Id of a request -> how often it ran.
        tenants: Id of a request -> the tenants that its runs were for.
        cancelled: Runs whose connection closed before they ended.
    """

    def __init__(
        self,
        store: StoreStandIn,
        server_id: str,
        service: str,
        zone: str,
        respond: Callable[["Server", IncomingRequest, Responder], None],
        slots: int = 64,
    ):
        """Creates a server; `start` opens its listener and registers it."""
        self.store = store
        self.server_id = server_id
        self.service = service
        self.zone = zone
        self.respond = respond
        self.slots = slots
        self.address = listener_addresses(1)[0]
        self.advertised_address = self.address
        self.born = 0
        self.running = 0
        self.runs: collections.Counter[str] = collections.Counter()
        self.tenants: dict[str, list[str]] = {}
        self.cancelled = 0
        self.server = HttpServer(self.address, self.handle)

    def start(self) -> None:
        """Opens the listener and writes the entry."""
        self.server = HttpServer(self.address, self.handle)
        self.server.start()
        self.born = round(time.time() * 1_000)
        entry = {
            "service": self.service,
            "address": self.advertised_address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born,
        }
        self.store.put(SERVERS_TOPIC, self.server_id, entry)

    def crash(self) -> None:
        """Closes all connections and the listener."""
        self.server.stop_accepting()
        self.server.pool.kill(block=False)

    def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Runs a request unless it is meant for another instance."""
        if incoming.get("expect-instance") not in (None, self.server_id):
            responder.send_response(421, [("Not-Executed", "1")], b"")
            return
        request_id = incoming.get("attempt-id") or ""
        self.runs[request_id] += 1
        tenant = incoming.get("tenant") or "-"
        self.tenants.setdefault(request_id, []).append(tenant)
        self.running += 1
        try:
            self.respond(self, incoming, responder)
        except gevent.GreenletExit:
            self.cancelled += 1
            raise
        finally:
            self.running -= 1

    def headers(self, incoming: IncomingRequest) -> list[tuple[str, str]]:
        """Returns the headers of an answer."""
        return [
            ("Attempt-Id", incoming.get("attempt-id") or ""),
            ("Server-Seal", f"seal-{self.server_id}"),
            ("Server-Load", f"{self.running},0,{self.slots}"),
        ]


class LossyLink:
    """The way to a server; opening packets are lost while it is lossy.

    The queue of new connections is kept full meanwhile, so that the kernel
    drops them.
    """

    def __init__(self, target: str):
        """Opens the address that the server registers."""
        self.target = target
        self.address = listener_addresses(1)[0]
        host, _, port = self.address.rpartition(":")
        self.place = (host, int(port))
        self.sock = socket.socket()
        self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self.sock.bind(self.place)
        self.sock.listen(0)
        self.fillers: list[socket.socket] = []
        self.lossy = False
        gevent.spawn(self.accept)

    def accept(self) -> None:
        """Accepts connections unless the link is lossy."""
        self.sock.settimeout(0.02)
        while True:
            if self.lossy:
                gevent.sleep(0.002)
                continue
            try:
                sock, _ = self.sock.accept()
            except TimeoutError:
                continue
            gevent.spawn(self.serve, sock)

    def begin(self) -> None:
        """Loses opening packets from now on."""
        self.lossy = True
        gevent.sleep(0.05)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(self.place)
            self.fillers.append(filler)
        gevent.sleep(0.02)

    def end(self) -> None:
        """Loses nothing from now on."""
        for filler in self.fillers:
            filler.close()
        self.fillers.clear()
        self.lossy = False

    def serve(self, source: socket.socket) -> None:
        """Copies both ways; each end and each reset is passed on."""
        target = d.connect(self.target)
        target.settimeout(None)
        source.settimeout(None)
        gevent.joinall(
            [
                gevent.spawn(self.copy, source, target),
                gevent.spawn(self.copy, target, source),
            ]
        )
        source.close()
        target.close()

    def copy(self, source: socket.socket, sink: socket.socket) -> None:
        """Copies one direction."""
        try:
            while data := source.recv(65_536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            for sock in (source, sink):
                sock.close()
