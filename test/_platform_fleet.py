"""A fleet in this process: store, servers, nodes and a caller."""

import dataclasses
import json

import gevent

from amaranthlug.protocol.settings_file import parse_settings_as
from amaranthlug.routed_node import RoutedNode, TopicNames
from amaranthlug.state.routing.settings import RoutedNodeSettings
from amaranthlug.transport.routing.http_client import (
    HttpConnection,
    render_request,
)
from amaranthlug.transport.routing.relay_http import HttpPeers
from amaranthlug_platform.border import Border
from amaranthlug_platform.headers import PlatformHeaders
from amaranthlug_platform.main import TOPICS
from amaranthlug_platform.records import OPERATOR_TOPIC, PlatformRecords
from amaranthlug_platform.store_client import StoreClient
from amaranthlug_platform_standins.server import ServerStandIn
from amaranthlug_platform_standins.soak_world import (
    HOST,
    LISTENERS,
    a_route,
    free_addresses,
)
from amaranthlug_platform_standins.store import StoreStandIn

KEY = "key-1"


def wait_for(condition, limit_s: float = 5.0) -> None:
    """Waits until a condition holds.

    Raises:
        AssertionError: It does not in time.
    """
    with gevent.Timeout(limit_s, AssertionError("it did not come about")):
        while not condition():
            gevent.sleep(0.01)


class Lines:
    """Takes the lines of requests."""

    def __init__(self):
        """Starts empty."""
        self.requests = []

    def request(self, served, fields):
        """Keeps a line."""
        self.requests.append(fields)


@dataclasses.dataclass
class Answer:
    """What a caller got."""

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def a_wire_route(prefix: str, kind: str, **more) -> dict:
    """Returns a route as operators write it."""
    return a_route(prefix, kind, **{"timeout_ms": 3_000, "priority": 0, **more})


def a_wire_config(version: int = 1, keys=(KEY,), routes=None) -> dict:
    """Returns a configuration as operators write it."""
    return {
        "version": version,
        "routes": routes
        or [
            a_wire_route("/safe/", "idempotent"),
            a_wire_route("/once/", "non_idempotent", max_attempts=1),
            a_wire_route(
                "/stream/",
                "streaming",
                timeout_ms=20_000,
                stream_resume=True,
                gap_aim_ms=600,
                sizes=["small", "middle", "large"],
            ),
            a_wire_route("/cut/", "streaming"),
        ],
        "services": [{"name": "pool", "max_connections": 100}],
        "limits": {
            "max_header_bytes": 4_096,
            "max_body_bytes": 100_000,
            "header_timeout_ms": 1_000,
            "idle_timeout_ms": 5_000,
        },
        "tenants": [{"name": "org-1", "api_keys": list(keys)}],
    }


class PlatformFleet:
    """Store, servers and nodes over loopback."""

    def __init__(self, nodes: int = 1, servers: int = 2, lines=None, **server):
        """Starts everything and waits until the nodes are ready."""
        addresses = free_addresses(1 + servers)
        self.store = StoreStandIn(addresses.pop())
        self.store.start()
        self.store.put(OPERATOR_TOPIC, "config", a_wire_config())
        self.servers = [
            ServerStandIn(
                self.store, addresses[i], f"s{i}", "pool", **server
            ).start()
            for i in range(servers)
        ]
        self.lines = lines or Lines()
        self.nodes: list[RoutedNode] = []
        self.borders: list[Border] = []
        for _ in range(nodes):
            self.add_node()
        self.wait_ready(servers)

    def add_node(self) -> RoutedNode:
        """Starts one more node."""
        number = len(self.nodes)
        content = {
            "name": f"node-{number}",
            "zone": "zone-a",
            "region": "region",
            "addresses": dict(
                zip(LISTENERS, free_addresses(len(LISTENERS)), strict=True)
            ),
            "store": self.store.address,
            "max_descriptors": 1_000,
            "seed": number,
        }
        settings = parse_settings_as(
            "test", content, RoutedNodeSettings
        ).unwrap()
        node = RoutedNode(
            settings,
            StoreClient(self.store.address),
            PlatformRecords(),
            TopicNames(TOPICS.operator, TOPICS.servers, TOPICS.status),
            PlatformHeaders(),
            HttpPeers(),
            self.lines,
        )
        border = Border(node)
        border.start()
        node.start()
        self.nodes.append(node)
        self.borders.append(border)
        return node

    def wait_ready(self, servers: int) -> None:
        """Waits until all nodes know configuration and servers."""
        wait_for(
            lambda: all(
                node.is_ready()
                and len(node.servers.usable_servers("pool")) == servers
                for node in self.nodes
            )
        )

    def stop(self) -> None:
        """Stops everything."""
        for node, border in zip(self.nodes, self.borders, strict=True):
            node.timers.stop()
            for follower in node.followers:
                follower.stop()
            for server in (border.callers, *border.others):
                server.stop_accepting()
                server.pool.kill(block=False)
        for server in self.servers:
            server.crash()
        self.store.stop()

    def configure(self, config: dict) -> None:
        """Writes a configuration and waits until all nodes have it."""
        self.store.put(OPERATOR_TOPIC, "config", config)
        wait_for(
            lambda: all(
                node.config.config.version == config["version"]
                for node in self.nodes
            )
        )

    def call(self, target: str, node: int = 0, **more) -> Answer:
        """Makes a call on a new connection."""
        address = self.nodes[node].settings.addresses.callers
        return call(address, target, **more)

    def runs(self, request_id: str) -> int:
        """Returns how often servers ran a request."""
        return sum(server.runs[request_id] for server in self.servers)


def call(
    address: str,
    target: str,
    method: str = "GET",
    request_id: str = "id-1",
    key: str | None = KEY,
    deadline_ms: int = 4_000,
    body: bytes = b"",
    headers: tuple = (),
) -> Answer:
    """Makes a call and reads its answer as far as it comes."""
    sent = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Deadline-Ms", str(deadline_ms)),
        *headers,
    ]
    if key is not None:
        sent.append(("Authorization", f"Bearer {key}"))
    if body:
        sent.append(("Content-Length", str(len(body))))
    connection = HttpConnection.open(address, 1.0)
    connection.send(render_request(method, target, sent, body), 1.0)
    return read_answer(connection)


def read_answer(connection: HttpConnection, limit_s: float = 6.0) -> Answer:
    """Reads an answer; `whole` tells whether it ended as it should."""
    head = connection.read_head(limit_s)
    pieces: list[bytes] = []
    whole = True
    try:
        while (piece := connection.read_body(limit_s)) is not None:
            pieces.append(piece)
    except OSError:
        whole = False
    return Answer(
        head.status,
        {name.lower(): value for name, value in head.headers},
        b"".join(pieces),
        whole,
    )


def event_ids(body: bytes) -> list[int]:
    """Returns the ids of the whole events of a stream."""
    return [
        int(line.split(b":")[1])
        for event in body.split(b"\n\n")[:-1]
        for line in event.split(b"\n")
        if line.startswith(b"id:")
    ]


def stream_headers(*more) -> tuple:
    """Returns the headers of a request for a stream."""
    return (
        ("Accept", "text/event-stream"),
        ("Model", "*"),
        ("Token-Count", "100,50"),
        ("Prefix-Hash", "aa:60,bb:40"),
        *more,
    )


def reason(answer: Answer) -> str:
    """Returns the reason of a node's own answer."""
    return json.loads(answer.body)["error"]["reason"]
