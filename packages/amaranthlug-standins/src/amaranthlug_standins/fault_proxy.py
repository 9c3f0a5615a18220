"""Stand-in of a faulty network: a TCP proxy with one address per link.

A link has a source name, a destination name and a target address. The source
is configured with the address of the link in place of the target's. Links are
added by `POST /links`. `POST /fault` accepts:

- `{"rules": [FaultRule, ...]}`, which replaces the rules in force;
- `{"break": [SOURCE, DESTINATION]}`, which resets the open connections of the
  matching links;
- `{"silence": [SOURCE, DESTINATION]}`, which silences these connections
  permanently, while new ones work.
"""

import dataclasses
import time
from typing import Any

import falcon
import gevent
import gevent.event
import msgspec
from gevent import socket
from gevent.server import StreamServer

from amaranthlug_standins.answers import hash_fraction
from amaranthlug_standins.loopback import process_address
from amaranthlug_standins.proxy_rules import (
    NO_FAULT,
    TO_DESTINATION,
    TO_SOURCE,
    FaultRule,
    RequestFramer,
    combine_rules,
)
from amaranthlug_standins.standin import (
    StandIn,
    StandInConfig,
    reset_socket,
    run_main,
)

BLOCK_BYTES = 65_536
THROTTLE_PERIOD_S = 0.05
CONNECT_TIMEOUT_S = 3.0
HOLD_S = 10.0
"""Longest time for which a connection to a target that is down is held, in
seconds."""
HOLD_POLL_S = 0.05
"""Period in which a held connection tries the target again, in seconds."""


@dataclasses.dataclass(frozen=True)
class ProxyConfig(StandInConfig):
    """Configuration of the proxy; it starts without links."""


class Connection:
    """A proxied connection, with a greenlet for each direction."""

    def __init__(self, link: "Link", source_sock: Any, destination_sock: Any):
        """Creates a connection between two connected sockets."""
        self.link = link
        self.source_sock = source_sock
        self.destination_sock = destination_sock
        self.silent = False
        self.drop_answers = False
        self.answer_bytes = 0
        self.framer = RequestFramer()

    def run(self) -> None:
        """Copies in both directions until both have ended."""
        tasks = [
            gevent.spawn(
                self.copy,
                self.source_sock,
                self.destination_sock,
                TO_DESTINATION,
            ),
            gevent.spawn(
                self.copy, self.destination_sock, self.source_sock, TO_SOURCE
            ),
        ]
        gevent.joinall(tasks)

    def copy(self, source: Any, sink: Any, direction: str) -> None:
        """Copies one direction, then shuts it down at the receiver."""
        try:
            while data := source.recv(BLOCK_BYTES):
                self.forward_block(data, sink, direction)
            self.link.wait_while_cut(self, direction)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def forward_block(self, data: bytes, sink: Any, direction: str) -> None:
        """Forwards a block of bytes with the faults applied.

        Raises:
            ConnectionResetError: A fault resets the connection.
        """
        link, rule = self.link, self.link.rule
        if direction == TO_DESTINATION:
            for request in self.framer.feed(data):
                self.drop_answers |= (
                    link.random_fraction("lose") < rule.lose_answers
                )
                if link.random_fraction("duplicate") < rule.duplicate:
                    gevent.spawn(link.deliver_duplicate, request)
        elif self.drop_answers:
            link.proxy.counts["lost_answers"] += 1
            raise ConnectionResetError("answer dropped by lose_answers")
        if rule.delay_ms:
            gevent.sleep(rule.delay_ms / 1000)
        link.wait_while_cut(self, direction)
        if direction == TO_SOURCE:
            self.answer_bytes += len(data)
            limit = link.rule.reset_after_bytes
            if 0 <= limit < self.answer_bytes:
                link.proxy.counts["resets"] += 1
                raise ConnectionResetError("reset by reset_after_bytes")
        if link.rule.drip_bytes_s:
            self.send_throttled(data, sink, link.rule.drip_bytes_s)
        else:
            sink.sendall(data)

    def send_throttled(self, data: bytes, sink: Any, bytes_s: float) -> None:
        """Sends a block at a limited rate until the fault is cleared."""
        step = max(1, int(bytes_s * THROTTLE_PERIOD_S))
        for start in range(0, len(data), step):
            sink.sendall(data[start : start + step])
            if self.link.rule.drip_bytes_s:
                gevent.sleep(THROTTLE_PERIOD_S)

    def abort(self) -> None:
        """Resets both sockets."""
        for sock in (self.source_sock, self.destination_sock):
            reset_socket(sock)


class Link:
    """A listening address with the faults of its source and destination.

    Attributes:
        when_down: What becomes of a new connection while the target accepts
            none: `reset`, `close`, or `hold` until the target accepts again.
    """

    def __init__(
        self, proxy: "FaultProxy", source: str, destination: str, target: str
    ):
        """Creates a link to `host:port` that does not listen yet."""
        self.proxy = proxy
        self.source = source
        self.destination = destination
        host, _, port = target.rpartition(":")
        self.target = (host, int(port))
        self.rule = NO_FAULT
        self.rule_changed = gevent.event.Event()
        self.when_down = "reset"
        self.draws = 0
        self.connections: set[Connection] = set()
        self.server = StreamServer(
            (process_address(), 0), self.handle_connection, backlog=1024
        )

    def start(self) -> str:
        """Listens and returns the address."""
        self.server.start()
        return f"{process_address()}:{self.server.server_port}"

    def stop(self) -> None:
        """Stops listening and resets open connections."""
        self.server.stop(timeout=0)
        self.break_open()

    def close_port(self) -> None:
        """Refuses new connections, as a VM does whose process has ended."""
        port = self.server.server_port
        self.server.close()
        self.server = StreamServer(
            (process_address(), port), self.handle_connection, backlog=1024
        )

    def reopen_port(self) -> None:
        """Listens again at the same address."""
        self.server.start()

    def set_rule(self, rule: FaultRule) -> None:
        """Replaces the faults and wakes the greenlets that wait on them."""
        self.rule = rule
        event, self.rule_changed = self.rule_changed, gevent.event.Event()
        event.set()

    def random_fraction(self, purpose: str) -> float:
        """Returns the next pseudo-random number in [0, 1) of this link."""
        self.draws += 1
        seed = self.proxy.config.seed
        name = f"{self.source}>{self.destination}"
        return hash_fraction(seed, purpose, name, str(self.draws))

    def wait_while_cut(self, connection: Connection, direction: str) -> None:
        """Waits while the direction is cut or the connection is silenced."""
        while connection.silent or self.rule.cut in ("both", direction):
            self.rule_changed.wait()

    def handle_connection(self, source_sock: Any, address: Any) -> None:
        """Connects to the target and serves one connection of the source."""
        self.proxy.counts["connections"] += 1
        if self.rule.refuse:
            reset_socket(source_sock)
            return
        destination_sock = self.connect_target()
        if destination_sock is None:
            if self.when_down == "reset":
                reset_socket(source_sock)
            else:
                source_sock.close()
            return
        destination_sock.settimeout(None)
        for sock in (source_sock, destination_sock):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, source_sock, destination_sock)
        self.connections.add(connection)
        try:
            connection.run()
        finally:
            self.connections.discard(connection)
            destination_sock.close()

    def connect_target(self) -> Any:
        """Connects to the target, None if it accepts no connection."""
        give_up_at = time.monotonic() + HOLD_S
        while True:
            try:
                return socket.create_connection(self.target, CONNECT_TIMEOUT_S)
            except OSError:
                held = self.when_down == "hold"
                if not held or time.monotonic() >= give_up_at:
                    return None
            gevent.sleep(HOLD_POLL_S)

    def break_open(self) -> None:
        """Resets the connections that are open."""
        for connection in list(self.connections):
            connection.abort()

    def silence_open(self) -> None:
        """Silences the connections that are open, permanently."""
        for connection in self.connections:
            connection.silent = True

    def deliver_duplicate(self, request: bytes) -> None:
        """Sends a request on a new connection and discards its answer."""
        self.proxy.counts["duplicates"] += 1
        try:
            sock = socket.create_connection(self.target, CONNECT_TIMEOUT_S)
            sock.sendall(request)
            sock.settimeout(CONNECT_TIMEOUT_S)
            while sock.recv(BLOCK_BYTES):
                pass
            sock.close()
        except OSError:
            return


class FaultProxy(StandIn):
    """Proxy with all links of a deployment."""

    config_class = ProxyConfig

    def __init__(self, config: ProxyConfig):
        """Creates a proxy without links."""
        self.links: dict[str, Link] = {}
        self.rules: list[FaultRule] = []
        self.counts = dict.fromkeys(
            ("connections", "resets", "lost_answers", "duplicates"), 0
        )
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds `/links`."""
        self.app.add_route("/links", LinksRoute(self))

    def add_link(self, source: str, destination: str, target: str) -> str:
        """Starts a link and returns the address on which it listens."""
        link = Link(self, source, destination, target)
        link.set_rule(self.effective_rule(link))
        address = link.start()
        self.links[address] = link
        return address

    def effective_rule(self, link: Link) -> FaultRule:
        """Returns the combined faults of a link."""
        return combine_rules(
            rule
            for rule in self.rules
            if rule.matches(link.source, link.destination)
        )

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Replaces the rules, and resets or silences open connections."""
        super().set_faults(changes)
        rules = self.faults.get("rules", [])
        self.rules = msgspec.convert(rules, list[FaultRule])
        pair_to_reset = self.faults.pop("break", None)
        pair_to_silence = self.faults.pop("silence", None)
        for link in self.links.values():
            link.set_rule(self.effective_rule(link))
            if pair_to_reset and matches_pair(pair_to_reset, link):
                link.break_open()
            if pair_to_silence and matches_pair(pair_to_silence, link):
                link.silence_open()

    def seen(self) -> dict[str, Any]:
        """Returns the counts, and the number of open connections by link."""
        links = [
            {
                "address": address,
                "source": link.source,
                "destination": link.destination,
                "open": len(link.connections),
            }
            for address, link in self.links.items()
        ]
        return {**self.counts, "links": links}

    def stop(self) -> None:
        """Stops the proxy and all links."""
        for link in self.links.values():
            link.stop()
        super().stop()


def matches_pair(pair: list[str], link: Link) -> bool:
    """Returns whether a pair of patterns matches a link."""
    rule = FaultRule(source=pair[0], destination=pair[1])
    return rule.matches(link.source, link.destination)


class LinksRoute:
    """`POST /links`."""

    def __init__(self, proxy: FaultProxy):
        """Creates the route."""
        self.proxy = proxy

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Adds a link and returns its address."""
        body = req.media
        address = self.proxy.add_link(
            body["source"], body["destination"], body["target"]
        )
        resp.media = {"address": address}


if __name__ == "__main__":
    run_main(FaultProxy)
