"""Nodes before servers that crash on a part of prompts, and their callers."""

import dataclasses
import itertools
import time
from collections.abc import Mapping
from types import MappingProxyType

import gevent
from _platform_fleet import Answer, PlatformFleet, stream_headers, wait_for

from amaranthlug_platform_standins.server import ServerFaults

CRASHING_PART = "bad"
SHARED_PARTS = ("sys", "doc")
"""Parts that crashing and sound requests share."""
CALL_PERIOD_S = 0.05
"""Time between two requests, in seconds."""

DEAD_SERVERS = {
    "resets": {"path_when_down": "reset", "restart_s": 0.6},
    "closes": {"path_when_down": "close", "restart_s": 0.6},
    "holds": {"path_when_down": "hold", "restart_s": 0.6},
    "starts-at-once": {"path_when_down": "hold", "restart_s": 0.0},
    "another-id-at-once": {
        "path_when_down": "hold",
        "restart_s": 0.0,
        "new_id": True,
    },
}
"""What the path to a server does with connections while the server is down,
and when the server starts again."""


@dataclasses.dataclass
class SentCall:
    """A request of a caller.

    Attributes:
        sent_at: Monotonic time, in seconds.
        answer: What came back, None if the connection broke.
    """

    sent_at: float
    answer: Answer | None


def prompt_headers(*parts: str) -> tuple:
    """Returns the headers of a stream with these parts in its prompt."""
    prompt = ",".join(f"{part}:50" for part in parts)
    others = [h for h in stream_headers() if h[0] != "Prefix-Hash"]
    return (*others, ("Prefix-Hash", prompt))


class PartCrashFleet:
    """Callers that mix sound requests and such with a crashing part."""

    def __init__(
        self,
        nodes: int,
        servers: int,
        position: int = 1,
        faults: Mapping[str, object] = MappingProxyType({}),
        **fleet: object,
    ):
        """Starts the fleet.

        Args:
            nodes: Number of nodes.
            servers: Number of servers.
            position: Position of the crashing part in prompts.
            faults: Further fields of `ServerFaults`.
            **fleet: Further arguments of `PlatformFleet`.
        """
        self.fleet = PlatformFleet(nodes, servers, **fleet)
        for each in self.fleet.servers:
            each.faults = ServerFaults(crash_on_part=CRASHING_PART, **faults)
        crashing = list(SHARED_PARTS)
        crashing.insert(position, CRASHING_PART)
        self.parts = {True: tuple(crashing), False: SHARED_PARTS}
        self.sent: dict[bool, list[SentCall]] = {True: [], False: []}
        self.numbers = itertools.count()

    def call(self, crashing: bool) -> None:
        """Sends a request that differs from all others to the next node."""
        number = next(self.numbers)
        sent_at = time.monotonic()
        try:
            answer = self.fleet.call(
                f"/stream/path-{number}",
                node=number % len(self.fleet.nodes),
                method="POST",
                request_id=f"call-{number}",
                headers=prompt_headers(*self.parts[crashing], f"own{number}"),
                body=f"prompt {number}".encode(),
                deadline_ms=8_000,
            )
        except OSError:
            answer = None
        self.sent[crashing].append(SentCall(sent_at, answer))

    def run_for(self, duration_s: float, crashing_every: int) -> None:
        """Sends requests; one in `crashing_every` has the crashing part."""
        calls = []
        end_at = time.monotonic() + duration_s
        for number in itertools.count():
            if time.monotonic() >= end_at:
                break
            crashing = number % crashing_every == 0
            calls.append(gevent.spawn(self.call, crashing))
            gevent.sleep(CALL_PERIOD_S)
        gevent.joinall(calls)

    def crash_times(self) -> list[float]:
        """Returns the times at which servers crashed, in order."""
        return sorted(
            crashed_at
            for server in self.fleet.servers
            for crashed_at in server.crash_times
        )

    def arrivals_after(self, when: float) -> int:
        """Returns how often crashing requests reached servers after a time."""
        ids = {
            request.get("attempt-id")
            for server in self.fleet.servers
            for request in server.received_requests
            if CRASHING_PART in (request.get("prefix-hash") or "")
        }
        return sum(
            arrived_at > when and request_id in ids
            for server in self.fleet.servers
            for arrived_at, request_id in server.arrivals
        )

    def wait_until_up(self) -> None:
        """Waits until all servers run again."""
        wait_for(lambda: all(server.is_up for server in self.fleet.servers))
        self.fleet.wait_until_up()
