"""What all stand-ins share: server, fault switches, truth and start-up."""

import dataclasses
import json
import pathlib
import signal
import socket
import sys
import threading
import time
from collections.abc import Callable
from typing import Any, ClassVar, TypeVar

import click
import falcon
import gevent
import gevent.event
import msgspec
from falcon.media import JSONHandler
from gevent import pywsgi

LOOPBACK = "127.0.0.1"
CONTROL_PATHS = ("/fault", "/seen")
SOCKET_KEY = "amaranthlug.socket"
"""Key of the WSGI environment under which the connection's socket is."""


@dataclasses.dataclass(frozen=True)
class StandInConfig:
    """Configuration that all stand-ins share; port 0 takes a free port."""

    port: int = 0
    control_port: int = 0
    seed: int = 0


class Handler(pywsgi.WSGIHandler):
    """Shows its socket to the application, which may reset it."""

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket to the WSGI environment."""
        environ = super().get_environ()
        environ[SOCKET_KEY] = self.socket
        return environ


class Server(pywsgi.WSGIServer):
    """Server that knows its open connections, so that it can reset them."""

    def __init__(self, port: int, app: Any):
        """Creates a server on loopback; it does not listen yet."""
        super().__init__(
            (LOOPBACK, port), app, log=None, handler_class=Handler, backlog=1024
        )
        self.sockets: dict[Any, float] = {}

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one connection and remembers it while it lasts."""
        self.sockets[sock] = time.monotonic()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        finally:
            self.sockets.pop(sock, None)

    def reset_all(self) -> None:
        """Closes the listening socket and breaks all connections."""
        self.close()
        for sock in list(self.sockets):
            reset(sock)


def reset(sock: Any) -> None:
    """Breaks a connection so that the peer sees no answer."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class StandIn:
    """Base of the stand-ins.

    It serves the platform's interface on one port and `/fault` and `/seen` on
    a control port as well, because the truth must stay readable while the
    stand-in is crashed.
    """

    config_class: ClassVar[type] = StandInConfig

    def __init__(self, config: Any):
        """Creates a stand-in that is not started."""
        self.config = config
        self.faults: dict[str, Any] = {}
        self.faults_changed = gevent.event.Event()
        self.server: Server | None = None
        self.control: Server | None = None
        self.down = False
        self.ended = gevent.event.Event()
        self.silent_before = 0.0
        self.address = ""
        self.control_address = ""
        self.app = falcon.App(middleware=[Gate(self)])
        # Nodes poll often; the default encoder took most of a stand-in's time.
        handler = JSONHandler(msgspec.json.encode, msgspec.json.decode)
        for options in (self.app.req_options, self.app.resp_options):
            options.media_handlers[falcon.MEDIA_JSON] = handler
        self.app.add_route("/fault", FaultRoute(self))
        self.app.add_route("/seen", SeenRoute(self))
        self.add_routes()

    @classmethod
    def from_config(cls, config: Any = None, **values: Any) -> Any:
        """Creates a stand-in from a configuration or its values."""
        return cls(config or cls.config_class(**values))

    def add_routes(self) -> None:
        """Adds the routes of the platform's interface."""
        raise NotImplementedError

    def seen(self) -> dict[str, Any]:
        """Returns what happened here, as ground truth for checks."""
        raise NotImplementedError

    def forget(self) -> None:
        """Drops what a crash loses; the truth for `seen` is kept."""

    def start(self) -> "StandIn":
        """Listens on the configured ports and returns itself."""
        self.server = Server(self.config.port, self.app)
        self.server.start()
        self.address = f"{LOOPBACK}:{self.server.server_port}"
        self.control = Server(self.config.control_port, self.app)
        self.control.start()
        self.control_address = f"{LOOPBACK}:{self.control.server_port}"
        return self

    def stop(self) -> None:
        """Stops listening and breaks open connections."""
        self.down = True
        self.ended.set()
        for server in (self.server, self.control):
            if server is not None:
                server.reset_all()
                server.stop(timeout=0.1)

    def crash(self) -> None:
        """Breaks all connections and refuses new ones until restarted.

        The fault `restart_after_s` (default 1 s) brings it back; a negative
        value leaves it down.
        """
        if self.down or self.server is None:
            return
        self.down = True
        self.server.reset_all()
        self.forget()
        wait_s = float(self.faults.get("restart_after_s", 1.0))
        if wait_s >= 0:
            gevent.spawn_later(wait_s, self.restart)

    def restart(self) -> None:
        """Listens again on the same port after a crash."""
        if not self.down or self.control is None or not self.control.started:
            return
        port = int(self.address.rpartition(":")[2])
        self.server = Server(port, self.app)
        self.server.start()
        self.down = False

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Merges fault switches; an empty object clears all of them."""
        if changes:
            self.faults.update(changes)
        else:
            self.faults.clear()
        self.faults_changed.set()
        self.faults_changed = gevent.event.Event()
        if self.faults.pop("crash", False):
            gevent.spawn(self.crash)
        if self.faults.pop("silence_open", False):
            self.silent_before = time.monotonic()

    def hold_while_frozen(self) -> None:
        """Waits as long as the fault `freeze` is set."""
        while self.faults.get("freeze"):
            self.faults_changed.wait()

    def hold_if_silent(self, sock: Any) -> None:
        """Holds a connection for good that the fault `silence_open` met.

        The fault silences the connections that are open when it is set; new
        ones work.
        """
        opened_at = self.server.sockets.get(sock) if self.server else None
        if opened_at is not None and opened_at < self.silent_before:
            self.ended.wait()


class Gate:
    """Applies the faults that every stand-in has, except on control paths."""

    def __init__(self, standin: StandIn):
        """Creates the middleware of a stand-in."""
        self.standin = standin

    def process_request(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Delays, refuses or holds a request as the faults say.

        Raises:
            HTTPServiceUnavailable: The fault `outage` is set.
        """
        if req.path in CONTROL_PATHS:
            return
        faults = self.standin.faults
        self.standin.hold_while_frozen()
        self.standin.hold_if_silent(req.env[SOCKET_KEY])
        if faults.get("slow_ms"):
            gevent.sleep(float(faults["slow_ms"]) / 1000)
        if faults.get("outage"):
            raise falcon.HTTPServiceUnavailable(
                title="outage", description="the service is out", retry_after=1
            )


class FaultRoute:
    """`POST /fault`."""

    def __init__(self, standin: StandIn):
        """Creates the route of a stand-in."""
        self.standin = standin

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Merges fault switches and returns those in force."""
        self.standin.set_faults(req.media or {})
        resp.media = self.standin.faults


class SeenRoute:
    """`GET /seen`."""

    def __init__(self, standin: StandIn):
        """Creates the route of a stand-in."""
        self.standin = standin

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the ground truth."""
        resp.data = msgspec.json.encode(self.standin.seen())


def reset_connection(req: falcon.Request) -> None:
    """Breaks the connection of a request before its answer is sent."""
    reset(req.env[SOCKET_KEY])


StandInT = TypeVar("StandInT", bound=StandIn)


def run_main(standin_class: type[StandIn]) -> None:
    """Runs a stand-in as a process until SIGTERM.

    It prints one JSON line with its addresses when it listens, and ends when
    its standard input closes, so that it never outlives its parent.
    """

    @click.command()
    @click.option("--port", type=int, default=0, help="0 takes a free port.")
    @click.option("--control-port", type=int, default=0)
    @click.option("--seed", type=int, default=0)
    @click.option("--config", default="{}", help="JSON, or @FILE with JSON.")
    @click.option("--watch-stdin", is_flag=True, help="End when stdin closes.")
    def command(
        port: int, control_port: int, seed: int, config: str, watch_stdin: bool
    ) -> None:
        """Runs a stand-in of the platform on loopback."""
        if config.startswith("@"):
            config = pathlib.Path(config[1:]).read_text()
        values = {"port": port, "control_port": control_port, "seed": seed}
        values |= json.loads(config)
        serve(
            standin_class.from_config(
                msgspec.convert(values, standin_class.config_class)
            ),
            watch_stdin,
        )

    command()


def serve(standin: StandIn, watch_stdin: bool) -> None:
    """Runs a stand-in until SIGTERM, SIGINT or the end of its input."""
    ended = gevent.event.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ended.set)
    standin.start()
    ready = {"address": standin.address, "control": standin.control_address}
    print(json.dumps(ready), flush=True)
    if watch_stdin:
        watch_input(gevent.get_hub().loop.async_(), ended.set)
    ended.wait()
    standin.stop()


def watch_input(wakeup: Any, call: Callable[[], None]) -> None:
    """Calls `call` in the hub's thread when standard input closes."""
    wakeup.start(call)

    def read() -> None:
        sys.stdin.read()
        wakeup.send()

    threading.Thread(target=read, daemon=True).start()
