"""Builders for tests of nodes that lose their links to the servers."""

import collections
import dataclasses
import itertools

import gevent
from _platform_fleet import PlatformFleet, stream_headers, wait_for

from amaranthlug.transport.routing.http_client import HttpConnection
from amaranthlug_standins.fault_proxy import FaultProxy
from amaranthlug_standins.proxy_rules import FaultRule

RESET = "reset"
"""Open connections are reset and new ones refused."""
HANG = "hang"
"""Open connections and new ones hang."""
REFUSE = "refuse"
"""Open connections live on while new ones are refused."""
CUTS = (RESET, HANG, REFUSE)
TARGETS = ("/once/a", "/safe/a", "/stream/a")
REQUEST_INTERVAL_S = 0.07
"""Time between two pairs of first tries, in seconds."""
EVENT_S = 0.05
"""Time between events, in seconds; some streams run when a cut begins."""
RUN_S = 0.03
"""Time for which a server runs a request, in seconds; the two tries of a pair
need a connection each."""


class NodeLinks:
    """The links between one node and all servers, which a test can cut.

    The node reaches each server through a link of its own in a proxy.
    """

    def __init__(self, node, proxy: FaultProxy):
        """Makes these links the way from `node` to the servers."""
        self.node = node
        self.proxy = proxy
        self.addresses: dict[str, str] = {}
        self.cut = ""
        self.dial_directly = node.paths.dial
        node.paths.dial = self.dial

    @property
    def name(self) -> str:
        """Returns the source of the links in the proxy."""
        return self.node.settings.name

    def dial(self, address: str, timeout_s: float) -> HttpConnection:
        """Connects to a server as far as the cut allows.

        Raises:
            OSError: The links are cut.
        """
        if self.cut == HANG:
            gevent.sleep(timeout_s)
            raise TimeoutError("timed out")
        if self.cut:
            raise ConnectionRefusedError("connection refused")
        if address not in self.addresses:
            self.addresses[address] = self.proxy.add_link(
                self.name, address, address
            )
        return self.dial_directly(self.addresses[address], timeout_s)

    def begin_cut(self, cut: str) -> None:
        """Cuts the links in one of the ways `CUTS`."""
        self.cut = cut
        changes: dict = {}
        if cut == RESET:
            changes["break"] = [self.name, "*"]
        elif cut == HANG:
            rules = [
                FaultRule(source=links, destination="*", cut="both")
                for links in [self.name, *self.hanging()]
            ]
            changes["rules"] = rules
        self.proxy.set_faults(changes)

    def hanging(self) -> list[str]:
        """Returns the sources of links that already hang."""
        return [rule.source for rule in self.proxy.rules]

    def heal(self) -> None:
        """Ends the cut; connections that hung go on."""
        self.cut = ""
        self.proxy.set_faults(
            {"rules": [r for r in self.proxy.rules if r.source != self.name]}
        )


@dataclasses.dataclass
class FirstTry:
    """A first try of a caller.

    Attributes:
        node: Index of the node that it was sent to.
        target: Target of the request.
        request_id: Its id.
        sent_at: Seconds from the start of the traffic to its sending.
        took_s: Time until its answer was complete, in seconds.
        served: It was answered completely by a server.
    """

    node: int
    target: str
    request_id: str
    sent_at: float
    took_s: float = 0.0
    served: bool = False


class Traffic:
    """First tries of callers at all nodes in turn."""

    def __init__(self, fleet: PlatformFleet):
        """Creates traffic that has not begun."""
        self.fleet = fleet
        self.tries: list[FirstTry] = []
        self.workers: list[gevent.Greenlet] = []

    def run(self, duration_s: float) -> None:
        """Sends first tries for a while and waits for their answers."""
        nodes = itertools.cycle(range(len(self.fleet.nodes)))
        for number in range(round(duration_s / REQUEST_INTERVAL_S)):
            node = next(nodes)
            for each in range(2):
                # Each node gets each kind of request.
                kind = number // len(self.fleet.nodes) + each
                self.begin(
                    FirstTry(
                        node,
                        TARGETS[kind % len(TARGETS)],
                        f"try-{number}-{each}",
                        number * REQUEST_INTERVAL_S,
                    )
                )
            gevent.sleep(REQUEST_INTERVAL_S)
        gevent.joinall(self.workers, timeout=10.0)

    def begin(self, attempt: FirstTry) -> None:
        """Sends a first try in the background."""
        self.tries.append(attempt)
        self.workers.append(gevent.spawn(self.send, attempt))

    def send(self, attempt: FirstTry) -> None:
        """Sends a first try and keeps what became of it."""
        loop = gevent.get_hub().loop
        started_at = loop.now()
        more: dict = {"deadline_ms": 3_000}
        if attempt.target.startswith("/stream/"):
            more["headers"] = stream_headers()
        try:
            answer = self.fleet.call(
                attempt.target,
                attempt.node,
                request_id=attempt.request_id,
                **more,
            )
            attempt.served = answer.status == 200 and answer.whole
        except OSError:
            attempt.served = False
        attempt.took_s = loop.now() - started_at

    def served_share(self, nodes: set[int], since_s: float) -> float:
        """Returns the share of tries at `nodes` that were served.

        Args:
            nodes: Indexes of the nodes.
            since_s: Seconds from the start of the traffic from which tries
                count.
        """
        counted = [
            attempt
            for attempt in self.tries
            if attempt.node in nodes and attempt.sent_at >= since_s
        ]
        return sum(attempt.served for attempt in counted) / len(counted)

    def most_runs(self) -> int:
        """Returns how often servers ran any request that may run once."""
        runs: collections.Counter[str] = collections.Counter()
        once = {t.request_id for t in self.tries if "/once/" in t.target}
        for server in self.fleet.servers:
            for request_id in once:
                runs[request_id] += server.runs[request_id]
        return max(runs.values(), default=0)


class CutFleet:
    """A fleet in which the links of each node can be cut."""

    def __init__(self, nodes: int = 6, servers: int = 10):
        """Starts nodes and servers."""
        self.fleet = PlatformFleet(
            nodes=nodes, servers=servers, event_s=EVENT_S
        )
        for server in self.fleet.servers:
            server.faults.delay_s = RUN_S
        self.links = [
            NodeLinks(node, self.fleet.proxy) for node in self.fleet.nodes
        ]
        self.traffic = Traffic(self.fleet)
        self.wait_until_acquainted()

    def wait_until_acquainted(self) -> None:
        """Waits until each node knows all others."""
        nodes = self.fleet.nodes
        wait_for(
            lambda: all(len(node.fleet.nodes()) == len(nodes) for node in nodes)
        )

    def add_cut_node(self, how: str) -> None:
        """Starts one more node, whose links are cut from the beginning."""
        node = self.fleet.add_node()
        self.links.append(NodeLinks(node, self.fleet.proxy))
        self.links[-1].begin_cut(how)
        self.wait_until_acquainted()

    def cut(self, nodes: set[int], how: str) -> None:
        """Cuts the links of some nodes."""
        for index in nodes:
            self.links[index].begin_cut(how)

    def heal(self, nodes: set[int]) -> None:
        """Ends the cuts of some nodes."""
        for index in nodes:
            self.links[index].heal()

    def ends_recorded(self) -> int:
        """Returns how many servers nodes took for ended."""
        return sum(len(node.server_ends.known) for node in self.fleet.nodes)

    def stop(self) -> None:
        """Stops the fleet."""
        self.fleet.stop()
