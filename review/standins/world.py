"""Stand-ins of the platform's store, servers and clients, and node processes.

Everything listens on loopback addresses and keeps to the users' pages. A case
starts the nodes with the command of the deploy file, with settings like those
that the platform makes from its template.
"""

import asyncio
import base64
import contextlib
import dataclasses
import json
import os
import pathlib
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "svc.example"
STARTED_AT = time.monotonic()
CONTACT_S = 3.5
"""Time from the start of a machine until it is in touch (`contact_ms` 3,000)."""


class Record:
    """The record of a case, one line an event."""

    def __init__(self, path):
        self.file = pathlib.Path(path).open("w")

    def write(self, text):
        line = f"{time.monotonic() - STARTED_AT:8.3f} {text}"
        self.file.write(line + "\n")
        self.file.flush()


def free_port(host):
    """Returns a port that is free on a loopback address."""
    with socket.socket() as sock:
        sock.bind((host, 0))
        return sock.getsockname()[1]


def parse_head(head):
    """Returns the start line and the headers, names in lower case."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader, no_body=False):
    """Reads one message; returns start line, headers and body, None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise ConnectionResetError("the connection ended in a head") from None
        return None
    start, headers = parse_head(head[:-4])
    body = b""
    if no_body:
        return start, headers, body
    if headers.get("transfer-encoding", "").lower() == "chunked":
        while True:
            size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
            body += (await reader.readexactly(size + 2))[:-2]
            if size == 0:
                break
    elif "content-length" in headers:
        body = await reader.readexactly(int(headers["content-length"]))
    elif start.startswith("HTTP/"):
        body = await reader.read(-1)
    return start, headers, body


def response(status, headers=(), body=b"", reason="OK"):
    lines = [f"HTTP/1.1 {status} {reason}"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


class Topic:
    """A keyed topic with one partition."""

    def __init__(self):
        self.rows = []  # (time, key, value)
        self.waiters = set()

    def newest(self):
        found = {}
        for offset, (_, key, value) in enumerate(self.rows):
            found.pop(key, None)
            if value:
                found[key] = (value, offset)
        return found

    def append(self, rows):
        now = time.monotonic()
        self.rows += [(now, key, value) for key, value in rows]
        for waiter in self.waiters:
            waiter.set()


def split_records(data):
    rows, position = [], 0
    while position < len(data):
        (size,) = struct.unpack_from(">I", data, position)
        content = data[position + 4 : position + 4 + size]
        key_end = 1 + content[0]
        rows.append((content[1:key_end].decode(), content[key_end:]))
        position += 4 + size
    return rows


class Store:
    """The platform's store.

    While `away` is true it accepts connections and closes them unanswered.
    """

    def __init__(self, record):
        self.record = record
        self.topics = {}
        self.era = 1
        self.away = False
        self.port = 0
        self.connections = set()

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def start(self):
        server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = server.sockets[0].getsockname()[1]

    def topic(self, name):
        return self.topics.setdefault(name, Topic())

    def put(self, topic, key, body):
        """Writes a record as operator or server do; None removes the key."""
        value = b"" if body is None else json.dumps(body).encode()
        self.topic(topic).append([(key, value)])

    def go_away(self):
        self.away = True
        for writer in list(self.connections):
            writer.transport.abort()

    def come_back(self, copy_at):
        """Returns from a copy made at a monotonic time; the era rises."""
        for topic in self.topics.values():
            topic.rows = [row for row in topic.rows if row[0] <= copy_at]
        self.era += 1
        self.away = False

    async def serve(self, reader, writer):
        if self.away:
            writer.transport.abort()
            return
        self.connections.add(writer)
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (message := await read_message(reader)) is not None:
                if self.away:
                    break
                start, _, body = message
                status, answer = await self.answer(start.split(" ")[1], body)
                if self.away:
                    break
                writer.write(
                    response(status, [("Store-Era", self.era)], answer)
                )
                await writer.drain()
        self.connections.discard(writer)
        writer.transport.abort()

    async def answer(self, target, body):
        path, _, query = target.partition("?")
        asked = dict(urllib.parse.parse_qsl(query))
        topic = self.topic(asked.get("topic", ""))
        if path.endswith("/log-append"):
            if "at" in asked and int(asked["at"]) != len(topic.rows):
                return 412, json.dumps({"end": len(topic.rows)}).encode()
            offset = len(topic.rows)
            topic.append(split_records(body))
            end = len(topic.rows)
            return 200, json.dumps({"offset": offset, "end": end}).encode()
        if path.endswith("/log-newest"):
            entries = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (value, offset) in sorted(topic.newest().items())
            ]
            page = {
                "entries": entries,
                "more_pages": False,
                "end": len(topic.rows),
            }
            return 200, json.dumps(page).encode()
        if path.endswith("/log-read"):
            start = int(asked["from"])
            if start > len(topic.rows):
                return 410, json.dumps({"first": 0}).encode()
            if start == len(topic.rows) and "wait_ms" in asked:
                appended = asyncio.Event()
                topic.waiters.add(appended)
                with contextlib.suppress(TimeoutError, asyncio.TimeoutError):
                    wait_s = int(asked["wait_ms"]) / 1_000
                    await asyncio.wait_for(appended.wait(), wait_s)
                topic.waiters.discard(appended)
            data = struct.pack(">QQ", len(topic.rows), 0)
            for _, key, value in topic.rows[start:]:
                content = bytes([len(key.encode())]) + key.encode() + value
                data += struct.pack(">I", len(content)) + content
            return 200, data
        return 404, b""


@dataclasses.dataclass
class Request:
    """A request as a server received it."""

    method: str
    target: str
    headers: dict
    body: bytes


class Server:
    """A server: registers itself and passes requests to `run`.

    `run(request, writer)` writes the whole response.
    """

    def __init__(self, store, record, server_id, service, run, zone="zone-a"):
        self.store = store
        self.record = record
        self.server_id = server_id
        self.service = service
        self.run = run
        self.zone = zone
        self.version = "v1"
        self.state = "ready"
        self.sequence = 0
        self.port = 0
        self.runs = []

    async def start(self):
        server = await asyncio.start_server(
            self.serve, "127.0.0.1", 0, limit=1 << 20
        )
        self.port = server.sockets[0].getsockname()[1]
        self.born = int(time.time() * 1_000)
        self.beat()
        self.beating = asyncio.ensure_future(self.beat_often())

    def entry(self):
        return {
            "service": self.service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self.zone,
            "version": self.version,
            "slots": 64,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }

    def beat(self):
        self.sequence += 1
        self.store.put("keyed.servers", self.server_id, self.entry())

    async def beat_often(self):
        while True:
            await asyncio.sleep(1.2)
            if not self.store.away:
                self.beat()

    async def serve(self, reader, writer):
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.CancelledError
        ):
            while (message := await read_message(reader)) is not None:
                start, headers, body = message
                method, target, _ = start.split(" ")
                request = Request(method, target, headers, body)
                expected = headers.get("expect-instance", self.server_id)
                if expected != self.server_id:
                    writer.write(
                        response(421, [("Instance-Id", self.server_id)])
                    )
                    continue
                self.runs.append(request)
                attempt = headers.get("attempt-id", "")
                self.record.write(
                    f"server {self.server_id} runs {attempt}: {method} "
                    f"{target}, body of {len(body)} bytes, last event "
                    f"{headers.get('last-event-id')}"
                )
                await self.run(request, writer)
                await writer.drain()
        with contextlib.suppress(OSError):
            writer.close()

    def sealed(self, request):
        """Returns the headers that each answer bears."""
        return [
            ("Attempt-Id", request.headers.get("attempt-id", "")),
            ("Server-Seal", f"seal-{self.server_id}"),
            ("Server-Load", "1,0,64"),
        ]


def route(prefix, kind, service, **more):
    """Returns a route as the operator writes it."""
    return {
        "name": f"r-{prefix.strip('/')}",
        "hostname": HOST,
        "path_prefix": prefix,
        "route_type": kind,
        "service": service,
        "timeout_ms": 20_000,
        "target_latency_ms": 1_000,
        "max_attempts": 3,
        "priority": 1,
        "anonymous": True,
        **more,
    }


def config(version, routes, **more):
    """Returns a configuration as the operator writes it."""
    services = sorted({each["service"] for each in routes})
    return {
        "version": version,
        "routes": routes,
        "services": [
            {
                "name": name,
                "health_path": "/healthz",
                "max_connections": 300,
                "protocol": "h1",
                "tls": False,
            }
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        **more,
    }


class Node:
    """A node process, started as the deploy file says."""

    def __init__(self, folder, store, number, zone="zone-a"):
        self.name = f"edge-{number}"
        self.host = f"127.0.0.{10 + number}"
        names = ("callers", "readiness", "directory", "metrics", "peers")
        self.addresses = {
            name: f"{self.host}:{free_port(self.host)}" for name in names
        }
        self.settings = pathlib.Path(folder) / f"{self.name}.yaml"
        self.log = pathlib.Path(folder) / f"{self.name}.log"
        self.settings.write_text(
            json.dumps(
                {
                    "name": self.name,
                    "zone": zone,
                    "region": "region-1",
                    "addresses": self.addresses,
                    "store": store.address,
                    "max_descriptors": 4_100,
                    "processor": {"share": 0.537, "speed": 2},
                    "bounds": {
                        "stop_grace_s": 8,
                        "key_withdrawal_s": 5.0,
                        "entry_ttl_s": 5,
                        "session_s": 5,
                        "retry_share": 0.9,
                        "retry_allowance": 54,
                        "retry_window_s": 10,
                    },
                }
            )
        )
        self.process = None

    def start(self):
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["AMARANTHLUG_BOOT"] = str(self.settings)
        with self.log.open("ab") as output:
            self.process = subprocess.Popen(
                ["python3", "platform/run_node.py"],
                cwd=ROOT,
                env=environment,
                stdout=output,
                stderr=output,
            )

    def check_alive(self):
        """Raises an error if the process has ended, which is another fault."""
        if self.process.poll() is not None:
            raise RuntimeError(f"the process of {self.name} has ended")

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGKILL)
            self.process.wait()

    async def wait_ready(self, timeout_s=15.0):
        """Waits until the platform's readiness check succeeds."""
        give_up_at = time.monotonic() + timeout_s
        while time.monotonic() < give_up_at:
            with contextlib.suppress(OSError):
                answer = await call(
                    self.addresses["readiness"],
                    b"GET /amaranthlug/readyz HTTP/1.1\r\nHost: h\r\n\r\n",
                )
                if answer and answer[0].split(" ")[1] == "200":
                    return
            await asyncio.sleep(0.1)
        raise RuntimeError(f"{self.name} did not become ready")


async def call(address, data, timeout_s=20.0):
    """Sends bytes on a new connection; returns one message, None at the end."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(
        host, int(port), limit=1 << 20
    )
    try:
        writer.write(data)
        return await asyncio.wait_for(read_message(reader), timeout_s)
    finally:
        writer.close()


def request(method, target, attempt, headers=(), body=b"", deadline_ms=20_000):
    """Returns a client's request as bytes."""
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Attempt-Id: {attempt}",
        f"Deadline-Ms: {deadline_ms}",
        *(f"{name}: {value}" for name, value in headers),
    ]
    if body:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def run_case(record_path, case):
    """Runs `case(record, folder, trouble, nodes)` and exits with its result.

    The folder is a temporary one; the case adds its nodes to the list. Exit
    codes: 1 if the rule was broken, 0 if it held, 2 if it could not run.
    """
    record = Record(record_path)
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"trouble: {trouble}")
    nodes = []
    with tempfile.TemporaryDirectory(prefix="review-") as temporary:
        try:
            broken = asyncio.run(
                asyncio.wait_for(case(record, temporary, trouble, nodes), 110)
            )
        except Exception as error:  # The case could not run.
            record.write(f"could not run: {type(error).__name__}: {error}")
            print(f"could not run: {type(error).__name__}: {error}")
            code = 2
        else:
            for line in broken:
                record.write(f"BROKEN {line}")
                print(f"BROKEN {line}")
            code = 1 if broken else 0
            record.write("the rule was broken" if broken else "the rule held")
            print("the rule was broken" if broken else "the rule held")
        finally:
            for node in nodes:
                node.end()
    sys.exit(code)
