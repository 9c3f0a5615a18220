"""Options and running parts of a fleet."""

import dataclasses
import random
import signal
import socket
import subprocess
from collections.abc import Callable
from typing import Any

from amaranthlug.state.settings import NodeSettings, Timings
from amaranthlug_standins.batch import Pace
from amaranthlug_standins.children import Child
from amaranthlug_standins.http_json import CONNECTION_ERRORS, call_json
from amaranthlug_standins.log import LogConfig
from amaranthlug_standins.rating import RatingConfig
from amaranthlug_standins.standin import LOOPBACK, StandIn

NODE_PORTS = range(18_000, 32_000)
"""Ports that nodes of a fleet listen on."""


@dataclasses.dataclass(frozen=True)
class FleetOptions:
    """How a fleet runs.

    Attributes:
        processes: Real processes, or everything in this one.
        nodes: Number of nodes; None for that of the deployment.
        timings: Periods and limits of the nodes.
        pace: Time model of the engines.
        checks_fence: Whether the engine with an index checks fences.
        faults: Traffic goes through a fault proxy (`Fleet.fault_links`).
    """

    seed: int = 1
    processes: bool = True
    nodes: int | None = None
    timings: Timings = dataclasses.field(default_factory=Timings)
    pace: Pace = dataclasses.field(default_factory=Pace)
    rating: RatingConfig = dataclasses.field(default_factory=RatingConfig)
    log: LogConfig = dataclasses.field(default_factory=LogConfig)
    checks_fence: Callable[[int], bool] = lambda index: index % 2 == 0
    faults: bool = False


@dataclasses.dataclass
class RunningStandIn:
    """A running stand-in, in this process or in a child.

    Attributes:
        published_address: Address that the configuration names for an upstream.
    """

    name: str
    address: str
    control: str
    standin: StandIn | None = None
    child: Child | None = None
    published_address: str = ""

    def seen(self) -> dict[str, Any]:
        """Returns its ground truth."""
        _, body = call_json(self.control, "GET", "/seen")
        return dict(body)

    def fault(self, **changes: Any) -> None:
        """Merges fault switches; none clears all."""
        call_json(self.control, "POST", "/fault", changes)

    def stop(self) -> None:
        """Stops it; repeated calls are harmless."""
        if self.standin is not None:
            self.standin.stop()
        if self.child is not None:
            self.child.kill()


@dataclasses.dataclass
class RunningNode:
    """A node, in this process or in a child."""

    settings: NodeSettings
    node: Any = None
    child: Child | None = None

    @property
    def address(self) -> str:
        """Returns `host:port`."""
        return self.settings.address

    def status(self) -> dict[str, Any] | None:
        """Returns `/statusz`, None if the node cannot be reached."""
        try:
            code, body = call_json(self.address, "GET", "/statusz")
        except CONNECTION_ERRORS:
            return None
        return body if code == 200 else None

    def stop(self) -> None:
        """Asks for a graceful shutdown; a node in this process finishes it."""
        if self.node is not None:
            self.node.stop()
        if self.child is not None:
            self.child.terminate()

    def pause(self) -> None:
        """Stops a node process until `resume`, as a paused VM does."""
        if self.child is not None:
            self.child.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Lets a paused node process go on."""
        if self.child is not None:
            self.child.process.send_signal(signal.SIGCONT)

    def exit_code(self, limit_s: float) -> int | None:
        """Waits for the end of a node process; None if it still runs."""
        if self.child is None:
            return None
        try:
            return int(self.child.process.wait(timeout=limit_s))
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Ends the node at once, as the loss of its VM does."""
        if self.child is not None:
            self.child.kill()
        if self.node is not None:
            self.node.halt()


def free_ports(count: int) -> list[int]:
    """Returns free loopback ports, all different.

    They lie below the range that the system gives to outgoing connections;
    a port from that range was sometimes taken before its node could bind it.
    """
    held: list[socket.socket] = []
    for port in random.sample(NODE_PORTS, len(NODE_PORTS)):
        if len(held) == count:
            break
        sock = socket.socket()
        try:
            sock.bind((LOOPBACK, port))
        except OSError:
            sock.close()
            continue
        held.append(sock)
    ports = [int(sock.getsockname()[1]) for sock in held]
    for sock in held:
        sock.close()
    return ports
