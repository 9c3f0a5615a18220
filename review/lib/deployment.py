"""A small deployment on loopback: real nodes, stand-ins of all others.

The nodes are started with the command of the deploy file and with settings that
are made from its template. Store and servers are the project's own stand-ins,
in the process of the script.
"""

import collections
import contextlib
import dataclasses
import json
import os
import pathlib
import re
import resource
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time
import tomllib
import traceback
from collections.abc import Callable, Iterator
from typing import Any

from gevent import monkey

monkey.patch_all()

import gevent  # noqa: E402

from amaranthlug.transport.routing.http_server import (  # noqa: E402
    IncomingRequest,
    Responder,
)
from amaranthlug_platform.records import OPERATOR_TOPIC  # noqa: E402
from amaranthlug_platform_standins.store import StoreStandIn  # noqa: E402
from amaranthlug_standins.loopback import (  # noqa: E402
    LoopbackAddresses,
    listener_addresses,
)

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "svc.example"
KEY = "key-1"
ZONES = ("sala-a", "sala-b", "sala-c", "sala-d")
MEMORY_MB = 150
"""Memory of a machine of sites/mapa-limpo-lx.toml."""
MAX_DESCRIPTORS = 4_100
"""Descriptors of a machine of that site."""
GRACE_S = 8.0
"""Bound `grace_s` of that site."""
IDLE_TIMEOUT_MS = 15_000
READS_PER_S = 2_000
"""Reading calls a second that the store takes from all nodes."""


def troubled() -> bool:
    """Tells whether the script shall bring about its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


def render(template: str, values: dict[str, Any]) -> str:
    """Fills in a settings template as far as deploy/settings.yaml needs it."""

    def find(path: str) -> Any:
        value: Any = values
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value[part]
        return value

    sections = r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}"
    text = re.sub(
        sections,
        lambda m: m[2].replace("{{.}}", str(find(m[1]))),
        template,
        flags=re.S,
    )
    return re.sub(r"\{\{([\w.]+)\}\}", lambda m: str(find(m[1])), text)


@dataclasses.dataclass
class Node:
    """A process of the system with its settings."""

    name: str
    ip: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen | None = None

    @property
    def callers(self) -> str:
        """Returns the address for callers."""
        return f"{self.ip}:8227"

    def start(self) -> None:
        """Starts the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        role = next(iter(deploy["roles"].values()))
        kept = ("PATH", "HOME", "JAVA_HOME", "LANG")
        environment = {k: os.environ[k] for k in kept if k in os.environ}
        environment["PYTHONPATH"] = str(ROOT / "target/deps")
        environment["AMARANTHLUG_BOOT"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                role["run"].split(),
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def is_running(self) -> bool:
        """Tells whether the process was started and has not ended."""
        return self.process is not None and self.process.poll() is None

    def send(self, number: int) -> None:
        """Sends a signal to the process if it runs."""
        if self.process is not None and self.is_running():
            self.process.send_signal(number)

    def end(self) -> None:
        """Kills the process and waits for its end."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def memory_mb(self) -> float:
        """Returns the resident memory of the process, 0 if it has ended."""
        if self.process is None:
            return 0.0
        try:
            status = pathlib.Path(
                f"/proc/{self.process.pid}/status"
            ).read_text()
        except OSError:
            return 0.0
        found = re.search(r"VmRSS:\s+(\d+) kB", status)
        return int(found[1]) / 1_024 if found else 0.0


class Store(StoreStandIn):
    """The store, which turns calls away beyond its rate of reading calls."""

    def __init__(self, address: str):
        """Creates an empty store at `host:port`."""
        super().__init__(address)
        self.call_times: collections.deque[float] = collections.deque()
        self.turned_away = 0

    def handle(self, incoming: IncomingRequest, responder: Responder) -> None:
        """Answers a call, with 429 if there were too many in a second."""
        now = time.monotonic()
        self.call_times.append(now)
        while self.call_times[0] < now - 1.0:
            self.call_times.popleft()
        if len(self.call_times) > READS_PER_S:
            self.turned_away += 1
            responder.send_response(429, self.era_headers(), b"")
            return
        super().handle(incoming, responder)


class Deployment:
    """Store, nodes and the record of a script."""

    def __init__(self, case: str, nodes: int):
        """Creates all without starting anything."""
        self.folder = pathlib.Path(tempfile.mkdtemp(prefix="review-"))
        self.record_path = ROOT / "review" / case / "record.txt"
        self.record_path.write_text("")
        self.began = time.monotonic()
        self.addresses = LoopbackAddresses()
        self.store = Store(listener_addresses(1)[0])
        self.nodes = [self.make_node(number) for number in range(nodes)]

    def note(self, text: str) -> None:
        """Writes a line to the record, with the seconds since the start."""
        line = f"{time.monotonic() - self.began:7.3f} {text}"
        with self.record_path.open("a") as record:
            record.write(line + "\n")
        print(line, flush=True)

    def make_node(self, number: int) -> Node:
        """Writes the settings of a node."""
        name, ip = f"edge-{number}", self.addresses.reserve()
        values = {
            "node_name": name,
            "zone": ZONES[number % len(ZONES)],
            "region": "lisboa",
            "ip": ip,
            "listen": {
                "frontend": f"{ip}:8227",
                "readiness": f"{ip}:8220",
                "directory": f"{ip}:8224",
            },
            "internal_ports": [7_340, 7_355],
            "platform": {"address": self.store.address},
            "limits": {
                "max_fds": MAX_DESCRIPTORS,
                "cpu_quota": 0.537,
                "cores": 2,
            },
            "bounds": {
                "grace_s": int(GRACE_S),
                "revoke_ms": 5_000,
                "ttl_max_s": 5,
                "session_s": 5,
                "retry_budget_ratio": 0.9,
                "retry_allowance": 54,
                "budget_window_s": 10,
            },
        }
        settings = self.folder / f"{name}.yaml"
        template = (ROOT / "deploy/settings.yaml").read_text()
        settings.write_text(render(template, values))
        return Node(name, ip, settings, self.folder / f"{name}.log")

    def start(self, config: dict[str, Any], servers: list[Any]) -> None:
        """Starts all; waits until each node is ready and knows the others."""
        self.store.start()
        self.store.put(OPERATOR_TOPIC, "config", config)
        for server in servers:
            server.start()
        for node in self.nodes:
            node.start()
        self.wait_for(lambda: all(self.is_ready(n) for n in self.nodes), 30)
        self.wait_for(self.are_acquainted, 30)
        gevent.sleep(1.5)
        self.note(f"{len(self.nodes)} nodes are ready and named to callers")

    def wait_for(self, check: Callable[[], bool], limit_s: float) -> None:
        """Waits for a condition; the case cannot run without it."""
        until = time.monotonic() + limit_s
        while not check():
            if time.monotonic() > until:
                raise CannotRunError("the deployment did not get ready")
            gevent.sleep(0.1)

    def is_ready(self, node: Node) -> bool:
        """Asks a node as the platform does whether it is ready."""
        head, _ = get(f"{node.ip}:8220", "/amaranthlug/readyz")
        return head.startswith("HTTP/1.1 200")

    def are_acquainted(self) -> bool:
        """Tells whether each node names all nodes to callers."""
        query = "/amaranthlug/resolve?name=x&region=lisboa&zone=sala-a"
        for node in self.nodes:
            _, body = get(f"{node.ip}:8224", query)
            if not all(n.callers in body for n in self.nodes):
                return False
        return True

    def stop(self) -> None:
        """Ends all processes and removes the temporary folder."""
        for node in self.nodes:
            node.end()
        self.store.stop()
        if os.environ.get("KEEP_LOGS"):
            print(self.folder)
            return
        shutil.rmtree(self.folder, ignore_errors=True)


class CannotRunError(Exception):
    """The case could not run, so that it shows nothing."""


def get(address: str, target: str) -> tuple[str, str]:
    """Returns head and body of a short answer, empty without one."""
    try:
        with connect(address) as sock:
            sock.sendall(f"GET {target} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
            data = b""
            while b"\r\n\r\n" not in data:
                more = sock.recv(65_536)
                if not more:
                    return "", ""
                data += more
            head, _, body = data.partition(b"\r\n\r\n")
            found = re.search(rb"Content-Length: (\d+)", head)
            while found and len(body) < int(found[1]):
                body += sock.recv(65_536)
    except OSError:
        return "", ""
    return head.decode("latin-1"), body.decode("latin-1")


def connect(address: str, timeout_s: float = 1.0) -> socket.socket:
    """Connects to `host:port`."""
    host, _, port = address.rpartition(":")
    sock = socket.create_connection((host, int(port)), timeout_s)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    return sock


def make_config(
    version: int, routes: list[dict[str, Any]], tenants: dict[str, list[str]]
) -> dict[str, Any]:
    """Returns a configuration as the operator writes it."""
    names = sorted({route["service"] for route in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": n, "max_connections": 360} for n in names],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": IDLE_TIMEOUT_MS,
        },
        "tenants": [
            {"name": name, "api_keys": keys} for name, keys in tenants.items()
        ],
    }


def make_route(prefix: str, kind: str, service: str, **more: Any) -> dict:
    """Returns a route as the operator writes it."""
    return {
        "name": prefix.strip("/"),
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "service": service,
        "timeout_ms": 20_000,
        "target_latency_ms": 1_000,
        "max_attempts": 3,
        "priority": 0,
        **more,
    }


def request_bytes(
    method: str,
    target: str,
    request_id: str,
    deadline_ms: int,
    body: bytes = b"",
    headers: dict[str, str] | None = None,
) -> bytes:
    """Returns a client's request."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {request_id}",
        f"Deadline-Ms: {deadline_ms}",
        f"Authorization: Bearer {KEY}",
        *(f"{name}: {value}" for name, value in (headers or {}).items()),
    ]
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


@dataclasses.dataclass
class Answer:
    """What a client got.

    Attributes:
        status: Status, 0 without an answer.
        body: Bytes of the body without its framing.
        whole: The answer is complete by its framing.
        error: How it ended otherwise.
    """

    status: int = 0
    body: bytes = b""
    whole: bool = False
    error: str = ""


class AnswerReader:
    """Reads one answer with a length or in chunks from a raw socket."""

    def __init__(self, sock: socket.socket, timeout_s: float):
        """Creates a reader that has read nothing."""
        sock.settimeout(timeout_s)
        self.sock = sock
        self.data = b""
        self.answer = Answer()

    def read(self) -> Answer:
        """Returns the answer as far as it came."""
        try:
            head = self.until(b"\r\n\r\n")
            self.answer.status = int(head.split(b" ", 2)[1])
            found = re.search(rb"(?i)\r\ncontent-length: *(\d+)", head)
            if found:
                self.answer.body = self.take(int(found[1]))
            else:
                self.read_chunks()
            self.answer.whole = True
        except OSError as error:
            self.answer.error = str(error)
        return self.answer

    def read_chunks(self) -> None:
        """Reads chunks to the last one."""
        while size := int(self.until(b"\r\n").split(b";")[0], 16):
            self.answer.body += self.take(size + 2)[:-2]
        self.take(2)

    def until(self, end: bytes) -> bytes:
        """Returns the bytes before `end` and drops it."""
        while end not in self.data:
            self.receive()
        found, self.data = self.data.split(end, 1)
        return found

    def take(self, count: int) -> bytes:
        """Returns the next `count` bytes."""
        while len(self.data) < count:
            self.receive()
        found, self.data = self.data[:count], self.data[count:]
        return found

    def receive(self) -> None:
        """Reads from the socket.

        Raises:
            OSError: The connection ended or is silent.
        """
        received = self.sock.recv(65_536)
        if not received:
            raise OSError("the connection ended")
        self.data += received


def read_answer(sock: socket.socket, timeout_s: float) -> Answer:
    """Reads one answer, waiting up to `timeout_s` for each part."""
    return AnswerReader(sock, timeout_s).read()


def run_case(case: str, nodes: int, play: Callable[[Deployment], bool]) -> None:
    """Runs a case and exits: 1 if `play` saw the rule broken, 0 if it held."""
    _, most_files = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (most_files, most_files))
    deployment = Deployment(case, nodes)
    limit = gevent.Timeout(110, CannotRunError("over 110 s"))
    limit.start()
    code = 2
    try:
        with end_on_signals():
            broken = play(deployment)
        code = 1 if broken else 0
        deployment.note(f"the rule {'was broken' if broken else 'held'}")
    except CannotRunError as error:
        deployment.note(f"the case could not run: {error}")
    except Exception:
        # Any other code would be taken for a result.
        traceback.print_exc()
        deployment.note("the case could not run: unexpected error")
    finally:
        limit.close()
        deployment.stop()
    sys.stdout.flush()
    os._exit(code)


@contextlib.contextmanager
def end_on_signals() -> Iterator[None]:
    """Turns SIGTERM into an exception, so that all processes are ended."""

    def stop(*_: Any) -> None:
        raise CannotRunError("stopped by a signal")

    signal.signal(signal.SIGTERM, stop)
    yield


def to_json(value: Any) -> str:
    """Returns a value for the record."""
    return json.dumps(value, sort_keys=True)
