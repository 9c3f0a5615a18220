"""A fleet of node processes whose servers answer without a length."""

import contextlib
import dataclasses
import json

import gevent
from _mixed_builds import START_LIMIT_S, is_ready
from _platform_fleet import (
    Answer,
    call,
    event_ids,
    make_wire_config,
    stream_headers,
    wait_for,
)
from gevent import socket

from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug.transport.routing.sockets import connect, split_address
from amaranthlug_platform.listeners import DIRECTORY_PATH
from amaranthlug_platform.records import OPERATOR_TOPIC
from amaranthlug_platform_standins.soak_fleet import NodeProcess, SoakFleet
from amaranthlug_standins.loopback import listener_addresses

EVENTS = 30
EVENT_S = 0.1
ANSWER_S = EVENTS * EVENT_S
"""Time that an answer takes, in seconds."""
LOSS_S = 0.08
"""Time for which opening packets are lost, in seconds; a node waits longer for
a connection, and nodes that it asks then connect at once."""
GRACE_S = 1.5
"""Time between SIGTERM and the end of a process, in seconds."""
NODES = 3
CALLS_EACH = 2
BACKLOG = 64
"""Connections that may wait to be accepted by a link."""
TARGETS = ("/safe/a", "/once/a", "/stream/a", "/cut/a")
"""A plain request and a stream that may be repeated, and one that may not."""
PLAIN_BODY = b"GET /safe/a"
REPEATABLE = ("/safe/a", "/stream/a")
PATHS_COUNTER = 'amaranthlug_paths_total{kind="opened_through_peer"}'


def fetch(address: str, target: str) -> tuple[int, bytes]:
    """Returns status and body of what a node answers."""
    connection = HttpConnection.open(address, 1.0)
    try:
        head, body = connection.request(
            render_request("GET", target, [("Host", address)], b""), 1.0
        )
    finally:
        connection.close()
    return head.status, body


class LossyLink:
    """The way to a server, which can lose opening packets.

    Its queue of new connections is kept full meanwhile, so that the kernel
    drops them.
    """

    def __init__(self, target: str):
        """Opens an address that leads to `target`."""
        self.target = target
        self.address = listener_addresses(1)[0]
        self.sock = socket.socket()
        self.sock.bind(split_address(self.address))
        self.sock.listen(BACKLOG)
        self.fillers: list[socket.socket] = []
        self.is_lossy = False
        self.greenlet = gevent.spawn(self.accept)

    def accept(self):
        """Accepts connections while no packets are lost."""
        self.sock.settimeout(0.01)
        while True:
            if self.is_lossy:
                gevent.sleep(0.002)
                continue
            with contextlib.suppress(TimeoutError):
                gevent.spawn(self.serve, self.sock.accept()[0])

    def begin_loss(self):
        """Loses opening packets from now on."""
        self.is_lossy = True
        gevent.sleep(0.03)  # It may be accepting a connection.
        self.sock.listen(0)
        for _ in range(3):
            filler = socket.socket()
            filler.setblocking(False)
            filler.connect_ex(split_address(self.address))
            self.fillers.append(filler)

    def end_loss(self):
        """Loses nothing from now on."""
        for filler in self.fillers:
            filler.close()
        self.fillers = []
        self.sock.listen(BACKLOG)
        self.is_lossy = False

    def serve(self, caller: socket.socket):
        """Copies both ways until both sides have ended."""
        try:
            server = connect(self.target, 1.0)
        except OSError:
            caller.close()
            return
        for sock in (caller, server):
            sock.settimeout(None)
        copies = [
            gevent.spawn(self.copy, caller, server),
            gevent.spawn(self.copy, server, caller),
        ]
        gevent.joinall(copies)
        for sock in (caller, server):
            sock.close()

    def copy(self, source: socket.socket, sink: socket.socket):
        """Copies one direction and passes its end on."""
        with contextlib.suppress(OSError):
            while data := source.recv(65_536):
                sink.sendall(data)
            sink.shutdown(socket.SHUT_WR)

    def stop(self):
        """Closes the address."""
        self.greenlet.kill()
        self.end_loss()
        self.sock.close()


@dataclasses.dataclass
class Received:
    """What a caller got.

    Attributes:
        target: Target of the request.
        request_id: Its id.
        answer: Its answer.
    """

    target: str
    request_id: str
    answer: Answer

    @property
    def is_whole(self) -> bool:
        """Returns whether it is all of the server's answer."""
        if self.target in ("/stream/a", "/cut/a"):
            return event_ids(self.answer.body) == list(range(1, EVENTS + 1))
        return self.answer.body == f"GET {self.target}".encode()

    @property
    def looks_complete(self) -> bool:
        """Returns whether the caller takes it for a whole success."""
        return self.answer.status == 200 and self.answer.whole


class TornFleet:
    """Processes of nodes, and servers whose answers end with the connection.

    Attributes:
        received: What the callers got.
    """

    def __init__(self, folder, builds=(), behind_links=True):
        """Starts all and waits until they are ready.

        Args:
            folder: For settings and logs.
            builds: Roots of the builds that the first nodes run; the others
                run this one.
            behind_links: Nodes reach the servers through links.
        """
        self.fleet = SoakFleet(folder, 1, NODES, 2)
        for node, build in zip(self.fleet.nodes, builds, strict=False):
            node.root = build
        for node in self.fleet.nodes:
            text = node.settings.read_text()
            node.settings.write_text(text.replace("8.0", str(GRACE_S)))
        self.links: list[LossyLink] = []
        for server in self.fleet.servers:
            server.advertised_address = server.address
            if behind_links:
                link = LossyLink(server.address)
                server.advertised_address = link.address
                self.links.append(link)
            server.events, server.event_s = EVENTS, EVENT_S
            server.faults.until_close = True
            server.faults.body_pause_s = ANSWER_S / len(PLAIN_BODY)
        self.received: list[Received] = []
        self.callers: list[gevent.Greenlet] = []
        self.fleet.start()
        config = make_wire_config(2)
        for route in config["routes"]:
            route.update(timeout_ms=15_000, max_attempts=3)
        self.fleet.store.put(OPERATOR_TOPIC, "config", config)
        for node in self.fleet.nodes:
            wait_for(lambda node=node: is_ready(node), START_LIMIT_S)
            wait_for(lambda node=node: self.knows_all(node), START_LIMIT_S)

    def knows_all(self, node: NodeProcess) -> bool:
        """Returns whether a node names all nodes to callers."""
        status, body = fetch(node.addresses["directory"], DIRECTORY_PATH)
        named = json.loads(body)["addresses"] if status == 200 else []
        return len(named) == len(self.fleet.nodes)

    def begin_calls(self):
        """Sends requests of each kind to the first node."""
        for target in TARGETS:
            for number in range(CALLS_EACH):
                request_id = f"{target.strip('/')}-{number}"
                self.callers.append(gevent.spawn(self.send, target, request_id))

    def begin_calls_through_peers(self):
        """Does so while it cannot open connections to servers."""
        for link in self.links:
            link.begin_loss()
        gevent.sleep(0.02)
        self.begin_calls()
        gevent.sleep(LOSS_S)
        for link in self.links:
            link.end_loss()

    def send(self, target: str, request_id: str):
        """Sends a request and keeps what its caller got."""
        address = self.fleet.nodes[0].addresses["callers"]
        headers = ()
        if target in ("/stream/a", "/cut/a"):
            headers = stream_headers()
        try:
            answer = call(
                address,
                target,
                request_id=request_id,
                headers=headers,
                deadline_ms=15_000,
            )
        except OSError:
            answer = Answer(0, {}, b"", whole=False)
        self.received.append(Received(target, request_id, answer))

    def finish(self):
        """Waits until all callers have their answers."""
        gevent.joinall(self.callers, timeout=20, raise_error=True)
        assert len(self.received) == len(self.callers)

    def torn(self) -> list[str]:
        """Returns the requests whose torn answers look complete."""
        return sorted(
            each.request_id
            for each in self.received
            if each.looks_complete and not each.is_whole
        )

    def served(self, targets=TARGETS) -> int:
        """Returns how many requests for `targets` got a whole answer."""
        return sum(
            each.looks_complete and each.is_whole
            for each in self.received
            if each.target in targets
        )

    def most_runs(self) -> int:
        """Returns how often servers ran any request that may run once."""
        return max(
            sum(server.runs[each.request_id] for server in self.fleet.servers)
            for each in self.received
            if each.target not in REPEATABLE
        )

    def paths_opened(self) -> float:
        """Returns how many paths the first node opened through others."""
        _, text = fetch(self.fleet.nodes[0].addresses["metrics"], "/metrics")
        lines = [
            line
            for line in text.decode().splitlines()
            if line.startswith(PATHS_COUNTER)
        ]
        return sum(float(line.split()[-1]) for line in lines)

    def stop(self):
        """Stops the fleet."""
        self.fleet.stop()
        for link in self.links:
            link.stop()
