"""Stand-in of a faulty network: a TCP proxy with one address per pair.

A link has a source name, a destination name and a target address. Whoever
plays the source is told the link's address in place of the target's. Links are
added by `POST /links`; faults are set by `POST /fault` with
`{"rules": [FaultRule, ...]}`, which replaces the rules in force, and with
`{"break": [SOURCE, DESTINATION]}` or `{"silence": [SOURCE, DESTINATION]}`,
which act once on the connections that are open: the first resets them, the
second silences them for good while new connections work.
"""

import dataclasses
from typing import Any

import falcon
import gevent
import gevent.event
import msgspec
from gevent import socket
from gevent.server import StreamServer

from amaranthlug_standins.answers import hash_fraction
from amaranthlug_standins.proxy_rules import (
    BACK,
    NO_FAULT,
    TO,
    FaultRule,
    RequestFrames,
    combine,
)
from amaranthlug_standins.standin import (
    LOOPBACK,
    StandIn,
    StandInConfig,
    reset,
    run_main,
)

BLOCK_BYTES = 65_536
DRIP_PERIOD_S = 0.05
CONNECT_LIMIT_S = 3.0


@dataclasses.dataclass(frozen=True)
class ProxyConfig(StandInConfig):
    """Configuration of the proxy; it starts without links."""


class Connection:
    """One proxied connection: a task for each direction."""

    def __init__(self, link: "Link", near: Any, far: Any):
        """Joins the source's socket and the destination's."""
        self.link = link
        self.near = near
        self.far = far
        self.silent = False
        self.lose_next = False
        self.answered_bytes = 0
        self.frames = RequestFrames()

    def run(self) -> None:
        """Copies both ways until both directions have ended."""
        tasks = [
            gevent.spawn(self.copy, self.near, self.far, TO),
            gevent.spawn(self.copy, self.far, self.near, BACK),
        ]
        gevent.joinall(tasks)

    def copy(self, source: Any, sink: Any, direction: str) -> None:
        """Copies one direction and passes its end on."""
        try:
            while data := source.recv(BLOCK_BYTES):
                self.pass_block(data, sink, direction)
            self.link.hold(self, direction)
            sink.shutdown(socket.SHUT_WR)
        except OSError:
            self.abort()

    def pass_block(self, data: bytes, sink: Any, direction: str) -> None:
        """Applies the faults to a block and sends it on.

        Raises:
            ConnectionResetError: A fault breaks the connection here.
        """
        link, rule = self.link, self.link.rule
        if direction == TO:
            for request in self.frames.feed(data):
                self.lose_next |= link.draw("lose") < rule.lose_answers
                if link.draw("duplicate") < rule.duplicate:
                    gevent.spawn(link.deliver_again, request)
        elif self.lose_next:
            link.proxy.counts["lost_answers"] += 1
            raise ConnectionResetError("the answer is lost")
        if rule.delay_ms:
            gevent.sleep(rule.delay_ms / 1000)
        link.hold(self, direction)
        if direction == BACK:
            self.answered_bytes += len(data)
            limit = link.rule.reset_after_bytes
            if 0 <= limit < self.answered_bytes:
                link.proxy.counts["resets"] += 1
                raise ConnectionResetError("the stream is cut")
        if link.rule.drip_bytes_s:
            self.drip(data, sink, link.rule.drip_bytes_s)
        else:
            sink.sendall(data)

    def drip(self, data: bytes, sink: Any, bytes_s: float) -> None:
        """Sends a block slowly; at full speed once the fault is gone."""
        step = max(1, int(bytes_s * DRIP_PERIOD_S))
        for start in range(0, len(data), step):
            sink.sendall(data[start : start + step])
            if self.link.rule.drip_bytes_s:
                gevent.sleep(DRIP_PERIOD_S)

    def abort(self) -> None:
        """Breaks both sides."""
        for sock in (self.near, self.far):
            reset(sock)


class Link:
    """One listening address with the faults of its pair."""

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
        self.changed = gevent.event.Event()
        self.draws = 0
        self.open: set[Connection] = set()
        self.server = StreamServer((LOOPBACK, 0), self.accept, backlog=1024)

    def start(self) -> str:
        """Listens and returns the address."""
        self.server.start()
        return f"{LOOPBACK}:{self.server.server_port}"

    def stop(self) -> None:
        """Stops listening and breaks open connections."""
        self.server.stop(timeout=0)
        self.break_open()

    def set_rule(self, rule: FaultRule) -> None:
        """Replaces the faults and wakes what they hold."""
        self.rule = rule
        changed, self.changed = self.changed, gevent.event.Event()
        changed.set()

    def draw(self, use: str) -> float:
        """Returns the next number in [0, 1) of this link, by the seed."""
        self.draws += 1
        seed = self.proxy.config.seed
        name = f"{self.source}>{self.destination}"
        return hash_fraction(seed, use, name, str(self.draws))

    def hold(self, connection: Connection, direction: str) -> None:
        """Waits while the direction is cut, for good if it was silenced."""
        while connection.silent or self.rule.cut in ("both", direction):
            self.changed.wait()

    def accept(self, near: Any, address: Any) -> None:
        """Serves one connection of the source."""
        self.proxy.counts["connections"] += 1
        if self.rule.refuse:
            reset(near)
            return
        try:
            far = socket.create_connection(self.target, CONNECT_LIMIT_S)
        except OSError:
            reset(near)
            return
        far.settimeout(None)
        for sock in (near, far):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        connection = Connection(self, near, far)
        self.open.add(connection)
        try:
            connection.run()
        finally:
            self.open.discard(connection)
            far.close()

    def break_open(self) -> None:
        """Resets the connections that are open."""
        for connection in list(self.open):
            connection.abort()

    def silence_open(self) -> None:
        """Silences the connections that are open, for good."""
        for connection in self.open:
            connection.silent = True

    def deliver_again(self, request: bytes) -> None:
        """Sends a request once more and drops its answer."""
        self.proxy.counts["duplicates"] += 1
        try:
            sock = socket.create_connection(self.target, CONNECT_LIMIT_S)
            sock.sendall(request)
            sock.settimeout(CONNECT_LIMIT_S)
            while sock.recv(BLOCK_BYTES):
                pass
            sock.close()
        except OSError:
            return


class FaultProxy(StandIn):
    """All links of a deployment in one process."""

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
        """Starts a link and returns its address."""
        link = Link(self, source, destination, target)
        link.set_rule(self.rule_of(link))
        address = link.start()
        self.links[address] = link
        return address

    def rule_of(self, link: Link) -> FaultRule:
        """Returns the faults of a link."""
        return combine(
            rule
            for rule in self.rules
            if rule.matches(link.source, link.destination)
        )

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Replaces the rules, and breaks or silences open connections."""
        super().set_faults(changes)
        rules = self.faults.get("rules", [])
        self.rules = msgspec.convert(rules, list[FaultRule])
        breaking = self.faults.pop("break", None)
        silencing = self.faults.pop("silence", None)
        for link in self.links.values():
            link.set_rule(self.rule_of(link))
            if breaking and concerns(breaking, link):
                link.break_open()
            if silencing and concerns(silencing, link):
                link.silence_open()

    def seen(self) -> dict[str, Any]:
        """Returns the counts and the open connections of each link."""
        links = [
            {
                "address": address,
                "source": link.source,
                "destination": link.destination,
                "open": len(link.open),
            }
            for address, link in self.links.items()
        ]
        return {**self.counts, "links": links}

    def stop(self) -> None:
        """Stops all links too."""
        for link in self.links.values():
            link.stop()
        super().stop()


def concerns(pair: list[str], link: Link) -> bool:
    """Tells whether a pair of patterns matches a link."""
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
