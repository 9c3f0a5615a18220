"""Runs store, servers, nodes and a caller in the test process."""

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
from amaranthlug.transport.routing.peer_http import HttpPeers
from amaranthlug.transport.routing.sockets import split_address
from amaranthlug_platform.headers import PlatformHeaders
from amaranthlug_platform.listeners import NodeListeners
from amaranthlug_platform.main import TOPICS
from amaranthlug_platform.records import OPERATOR_TOPIC, PlatformRecords
from amaranthlug_platform.store_client import StoreClient
from amaranthlug_platform_standins.server import ServerStandIn
from amaranthlug_platform_standins.soak_fleet import (
    HOST,
    LISTENER_NAMES,
    make_route,
)
from amaranthlug_platform_standins.store import StoreStandIn
from amaranthlug_standins.fault_proxy import FaultProxy
from amaranthlug_standins.loopback import listener_addresses

KEY = "key-1"


def wait_for(condition, limit_s: float = 5.0) -> None:
    """Waits until a condition holds.

    Raises:
        AssertionError: The condition does not hold within `limit_s` seconds.
    """
    with gevent.Timeout(
        limit_s, AssertionError("the condition was not met in time")
    ):
        while not condition():
            gevent.sleep(0.01)


class RequestLog:
    """Collects the log lines of requests."""

    def __init__(self):
        """Creates an empty log."""
        self.requests = []

    def request(self, served, fields):
        """Keeps the fields of a line."""
        self.requests.append(fields)


@dataclasses.dataclass
class Answer:
    """The answer that a caller received.

    Attributes:
        status: Status code.
        headers: Headers by lower-case name.
        body: Body as far as it was received.
        whole: The body did not break off.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    whole: bool


def make_wire_route(prefix: str, kind: str, **more) -> dict:
    """Returns a route in the operators' format."""
    return make_route(
        prefix, kind, **{"timeout_ms": 3_000, "priority": 0, **more}
    )


def make_wire_config(version: int = 1, keys=(KEY,), routes=None) -> dict:
    """Returns a configuration in the operators' format."""
    return {
        "version": version,
        "routes": routes
        or [
            make_wire_route("/safe/", "idempotent"),
            make_wire_route("/once/", "non_idempotent", max_attempts=1),
            make_wire_route(
                "/stream/",
                "streaming",
                timeout_ms=20_000,
                stream_resume=True,
                gap_aim_ms=600,
                sizes=["small", "middle", "large"],
            ),
            make_wire_route("/cut/", "streaming"),
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

    def __init__(
        self,
        nodes: int = 1,
        servers: int = 2,
        lines=None,
        behind_proxy: bool = False,
        **server,
    ):
        """Starts the fleet and waits until the nodes are ready.

        Args:
            nodes: Number of nodes.
            servers: Number of servers.
            lines: Receives the log lines of requests.
            behind_proxy: Nodes reach the servers through a proxy.
            **server: Arguments of `ServerStandIn`.
        """
        addresses = listener_addresses(1 + servers)
        self.store = StoreStandIn(addresses.pop())
        self.store.start()
        self.store.put(OPERATOR_TOPIC, "config", make_wire_config())
        self.servers = [
            ServerStandIn(self.store, addresses[i], f"s{i}", "pool", **server)
            for i in range(servers)
        ]
        self.proxy = FaultProxy.from_config()
        for each in self.servers:
            if behind_proxy:
                each.lead_through(self.proxy)
            each.start()
        self.lines = lines or RequestLog()
        self.nodes: list[RoutedNode] = []
        self.listeners: list[NodeListeners] = []
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
                zip(
                    LISTENER_NAMES,
                    listener_addresses(len(LISTENER_NAMES)),
                    strict=True,
                )
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
            HttpPeers(split_address(settings.addresses.peers)[0]),
            self.lines,
        )
        listeners = NodeListeners(node)
        listeners.start()
        node.start()
        self.nodes.append(node)
        self.listeners.append(listeners)
        return node

    def wait_ready(self, servers: int) -> None:
        """Waits until all nodes are ready and know all servers."""
        wait_for(
            lambda: all(
                node.is_ready()
                and len(node.servers.usable_servers("pool")) == servers
                for node in self.nodes
            )
        )

    def wait_until_up(self) -> None:
        """Waits until all servers are up and known to all nodes."""
        wait_for(lambda: all(map(self.knows_all_servers, self.nodes)))

    def knows_all_servers(self, node: RoutedNode) -> bool:
        """Returns whether all servers are up and a node knows them."""
        known = node.servers.usable_servers("pool")
        up = {(s.server_id, s.started_ms) for s in self.servers if s.is_up}
        return len(up) == len(self.servers) and (
            {entry.instance_key for entry in known} == up
        )

    def stop(self) -> None:
        """Stops nodes, servers and store."""
        for node, listeners in zip(self.nodes, self.listeners, strict=True):
            node.timers.stop()
            node.relay_client.stop()
            for follower in node.followers:
                follower.stop()
            for server in (listeners.callers, *listeners.internal_servers):
                server.stop_accepting()
                server.pool.kill(block=False)
        for server in self.servers:
            server.crash()
        for link in self.proxy.links.values():
            link.stop()
        self.store.stop()

    def configure(self, config: dict) -> None:
        """Writes a configuration and waits until all nodes apply it."""
        self.store.put(OPERATOR_TOPIC, "config", config)
        wait_for(
            lambda: all(
                node.config.config.version == config["version"]
                for node in self.nodes
            )
        )

    def call(self, target: str, node: int = 0, **more) -> Answer:
        """Sends a request to a node on a new connection."""
        address = self.nodes[node].settings.addresses.callers
        return call(address, target, **more)

    def runs(self, request_id: str) -> int:
        """Returns how many times servers ran a request."""
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
    """Sends a request on a new connection and reads its answer."""
    all_headers = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Deadline-Ms", str(deadline_ms)),
        *headers,
    ]
    if key is not None:
        all_headers.append(("Authorization", f"Bearer {key}"))
    if body:
        all_headers.append(("Content-Length", str(len(body))))
    connection = HttpConnection.open(address, 1.0)
    connection.send(render_request(method, target, all_headers, body), 1.0)
    return read_answer(connection)


def render_call(target: str, request_id: str, headers: tuple = ()) -> bytes:
    """Returns the bytes of a GET request with a valid key."""
    all_headers = [
        ("Host", HOST),
        ("Attempt-Id", request_id),
        ("Authorization", f"Bearer {KEY}"),
        *headers,
    ]
    return render_request("GET", target, all_headers, b"")


def read_answer(connection: HttpConnection, limit_s: float = 6.0) -> Answer:
    """Reads an answer, also one whose body breaks off."""
    head = connection.read_head(limit_s)
    chunks: list[bytes] = []
    whole = True
    try:
        while (chunk := connection.read_body(limit_s)) is not None:
            chunks.append(chunk)
    except OSError:
        whole = False
    return Answer(
        head.status,
        {name.lower(): value for name, value in head.headers},
        b"".join(chunks),
        whole,
    )


def event_ids(body: bytes) -> list[int]:
    """Returns the ids of the complete events of a stream."""
    return [
        int(line.split(b":")[1])
        for event in body.split(b"\n\n")[:-1]
        for line in event.split(b"\n")
        if line.startswith(b"id:")
    ]


def stream_headers(*more) -> tuple:
    """Returns the headers that request a stream from any model."""
    return (
        ("Accept", "text/event-stream"),
        ("Model", "*"),
        ("Token-Count", "100,50"),
        ("Prefix-Hash", "aa:60,bb:40"),
        *more,
    )


def error_reason(answer: Answer) -> str:
    """Returns the reason in a reply that a node generated."""
    return json.loads(answer.body)["error"]["reason"]
