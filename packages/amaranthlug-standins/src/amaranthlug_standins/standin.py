"""Base of the stand-ins: servers, fault switches, `/seen` and start-up."""

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

from amaranthlug_standins.loopback import process_address

CONTROL_PATHS = ("/fault", "/seen")
SOCKET_ENVIRON_KEY = "amaranthlug.socket"
"""Key of the connection's socket in the WSGI environment."""


@dataclasses.dataclass(frozen=True)
class StandInConfig:
    """Configuration of any stand-in; port 0 selects a free port."""

    port: int = 0
    control_port: int = 0
    seed: int = 0


class SocketHandler(pywsgi.WSGIHandler):
    """Passes the connection's socket to the application, which may reset it."""

    def get_environ(self) -> dict[str, Any]:
        """Adds the socket to the WSGI environment."""
        environ = super().get_environ()
        environ[SOCKET_ENVIRON_KEY] = self.socket
        return environ


class Server(pywsgi.WSGIServer):
    """Server that can reset its open connections.

    Attributes:
        sockets: Monotonic time of opening by socket of an open connection.
    """

    def __init__(self, port: int, app: Any):
        """Creates a server on loopback that does not listen yet."""
        super().__init__(
            (process_address(), port),
            app,
            log=None,
            handler_class=SocketHandler,
            backlog=1024,
        )
        self.sockets: dict[Any, float] = {}

    def handle(self, sock: Any, address: Any) -> None:
        """Serves one connection, registered in `sockets` until it closes."""
        self.sockets[sock] = time.monotonic()
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            super().handle(sock, address)
        finally:
            self.sockets.pop(sock, None)

    def reset_all(self) -> None:
        """Closes the listening socket and resets all connections."""
        self.close()
        for sock in list(self.sockets):
            reset_socket(sock)


def reset_socket(sock: Any) -> None:
    """Shuts a socket down, so that the peer receives no more data."""
    try:
        sock.shutdown(socket.SHUT_RDWR)
    except OSError:
        return


class StandIn:
    """Base of the stand-ins.

    All routes are served on two ports. A crash closes only the first one, so
    `/fault` and `/seen` stay available on the control port.
    """

    config_class: ClassVar[type] = StandInConfig

    def __init__(self, config: Any):
        """Creates a stand-in without starting it."""
        self.config = config
        self.faults: dict[str, Any] = {}
        self.faults_changed = gevent.event.Event()
        self.server: Server | None = None
        self.control: Server | None = None
        self.down = False
        self.stopped = gevent.event.Event()
        self.silenced_at = 0.0
        self.address = ""
        self.control_address = ""
        self.app = falcon.App(middleware=[FaultMiddleware(self)])
        # Nodes poll often, and falcon's default encoder took most of the CPU
        # time of a stand-in.
        handler = JSONHandler(msgspec.json.encode, msgspec.json.decode)
        for options in (self.app.req_options, self.app.resp_options):
            options.media_handlers[falcon.MEDIA_JSON] = handler
        self.app.add_route("/fault", FaultRoute(self))
        self.app.add_route("/seen", SeenRoute(self))
        self.add_routes()

    @classmethod
    def from_config(cls, config: Any = None, **values: Any) -> Any:
        """Creates a stand-in from a configuration or from its fields."""
        return cls(config or cls.config_class(**values))

    def add_routes(self) -> None:
        """Adds the routes of the simulated system."""
        raise NotImplementedError

    def seen(self) -> dict[str, Any]:
        """Returns what the stand-in recorded, as the reference for checks."""
        raise NotImplementedError

    def lose_state(self) -> None:
        """Drops the state that a crash loses; records for `seen` are kept."""

    def start(self) -> "StandIn":
        """Listens on the configured ports and returns itself."""
        self.server = Server(self.config.port, self.app)
        self.server.start()
        self.address = f"{process_address()}:{self.server.server_port}"
        self.control = Server(self.config.control_port, self.app)
        self.control.start()
        self.control_address = f"{process_address()}:{self.control.server_port}"
        return self

    def stop(self) -> None:
        """Stops listening and resets open connections."""
        self.down = True
        self.stopped.set()
        for server in (self.server, self.control):
            if server is not None:
                server.reset_all()
                server.stop(timeout=0.1)

    def crash(self) -> None:
        """Resets all connections and refuses new ones until `restart`.

        The restart follows after the seconds in the fault `restart_after_s`
        (default 1), or never if they are negative.
        """
        if self.down or self.server is None:
            return
        self.down = True
        self.server.reset_all()
        self.lose_state()
        restart_s = float(self.faults.get("restart_after_s", 1.0))
        if restart_s >= 0:
            gevent.spawn_later(restart_s, self.restart)

    def restart(self) -> None:
        """Listens again on the same port after a crash."""
        if not self.down or self.control is None or not self.control.started:
            return
        port = int(self.address.rpartition(":")[2])
        self.server = Server(port, self.app)
        self.server.start()
        self.down = False

    def set_faults(self, changes: dict[str, Any]) -> None:
        """Merges fault switches; an empty dictionary clears all of them."""
        if changes:
            self.faults.update(changes)
        else:
            self.faults.clear()
        self.faults_changed.set()
        self.faults_changed = gevent.event.Event()
        if self.faults.pop("crash", False):
            gevent.spawn(self.crash)
        if self.faults.pop("silence_open", False):
            self.silenced_at = time.monotonic()

    def wait_while_frozen(self) -> None:
        """Blocks as long as the fault `freeze` is set."""
        while self.faults.get("freeze"):
            self.faults_changed.wait()

    def block_if_silenced(self, sock: Any) -> None:
        """Blocks until shutdown if the connection was silenced.

        The fault `silence_open` silences the connections that are open when it
        is set; new ones work.
        """
        opened_at = self.server.sockets.get(sock) if self.server else None
        if opened_at is not None and opened_at < self.silenced_at:
            self.stopped.wait()


class FaultMiddleware:
    """Applies the faults common to all stand-ins, except on control paths."""

    def __init__(self, standin: StandIn):
        """Creates the middleware of a stand-in."""
        self.standin = standin

    def process_request(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Blocks, delays or refuses a request according to the faults.

        Raises:
            HTTPServiceUnavailable: The fault `outage` is set.
        """
        if req.path in CONTROL_PATHS:
            return
        faults = self.standin.faults
        self.standin.wait_while_frozen()
        self.standin.block_if_silenced(req.env[SOCKET_ENVIRON_KEY])
        if faults.get("slow_ms"):
            gevent.sleep(float(faults["slow_ms"]) / 1000)
        if faults.get("outage"):
            raise falcon.HTTPServiceUnavailable(
                title="outage",
                description="the service is out",
                retry_after=1,
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
        """Returns what the stand-in recorded."""
        resp.data = msgspec.json.encode(self.standin.seen())


def reset_connection(req: falcon.Request) -> None:
    """Resets the connection of a request before its answer is sent."""
    reset_socket(req.env[SOCKET_ENVIRON_KEY])


StandInT = TypeVar("StandInT", bound=StandIn)


def run_main(standin_class: type[StandIn]) -> None:
    """Runs a stand-in as a process until SIGTERM.

    The process prints one JSON line with its addresses once it listens. With
    `--watch-stdin` it also stops when standard input closes, so that it does
    not outlive its parent.
    """

    @click.command()
    @click.option("--port", type=int, default=0, help="0 selects a free port.")
    @click.option("--control-port", type=int, default=0)
    @click.option("--seed", type=int, default=0)
    @click.option("--config", default="{}", help="JSON, or @FILE with JSON.")
    @click.option("--watch-stdin", is_flag=True, help="Stop when stdin closes.")
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
    """Runs a stand-in until SIGTERM or SIGINT, or until stdin closes."""
    stopped = gevent.event.Event()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(signal_number, stopped.set)
    standin.start()
    ready = {"address": standin.address, "control": standin.control_address}
    print(json.dumps(ready), flush=True)
    if watch_stdin:
        call_when_stdin_closes(gevent.get_hub().loop.async_(), stopped.set)
    stopped.wait()
    standin.stop()


def call_when_stdin_closes(wakeup: Any, callback: Callable[[], None]) -> None:
    """Calls `callback` in the hub's thread when standard input closes."""
    wakeup.start(callback)

    def read_to_end() -> None:
        sys.stdin.read()
        wakeup.send()

    threading.Thread(target=read_to_end, daemon=True).start()
