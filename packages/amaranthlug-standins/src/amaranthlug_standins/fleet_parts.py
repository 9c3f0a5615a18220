"""Options, running stand-ins and running nodes of a fleet."""

import dataclasses
import signal
import subprocess
from collections.abc import Callable
from typing import Any

from amaranthlug.state.settings import NodeSettings, Timings
from amaranthlug_standins.batch import Pace
from amaranthlug_standins.children import Child
from amaranthlug_standins.http_json import CONNECTION_ERRORS, call_json
from amaranthlug_standins.log import LogConfig
from amaranthlug_standins.rating import RatingConfig
from amaranthlug_standins.standin import StandIn


@dataclasses.dataclass(frozen=True)
class FleetOptions:
    """How a fleet runs.

    Attributes:
        processes: Start child processes; otherwise run all in this one.
        nodes: Number of nodes; None for that of the deployment.
        timings: Periods and limits of the nodes.
        pace: Time model of the engines.
        checks_fence: Tells by index whether an engine checks fences.
        faults: Route traffic through a fault proxy (`Fleet.fault_links`).
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
        control: Address of the control interface.
        published_address: Address of an upstream in the configuration, which
            is that of a link when traffic goes through a fault proxy.
    """

    name: str
    address: str
    control: str
    standin: StandIn | None = None
    child: Child | None = None
    published_address: str = ""

    def seen(self) -> dict[str, Any]:
        """Returns what the stand-in recorded, from `/seen`."""
        _, body = call_json(self.control, "GET", "/seen")
        return dict(body)

    def fault(self, **changes: Any) -> None:
        """Merges fault switches; without arguments all are cleared."""
        call_json(self.control, "POST", "/fault", changes)

    def stop(self) -> None:
        """Stops the stand-in; may be called repeatedly."""
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
        """Returns `/statusz`, None if the node does not answer with 200."""
        try:
            code, body = call_json(self.address, "GET", "/statusz")
        except CONNECTION_ERRORS:
            return None
        return body if code == 200 else None

    def stop(self) -> None:
        """Shuts the node down gracefully; does not wait for a child process."""
        if self.node is not None:
            self.node.stop()
        if self.child is not None:
            self.child.terminate()

    def pause(self) -> None:
        """Suspends a node process until `resume`, like a paused VM."""
        if self.child is not None:
            self.child.process.send_signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resumes a suspended node process."""
        if self.child is not None:
            self.child.process.send_signal(signal.SIGCONT)

    def exit_code(self, timeout_s: float) -> int | None:
        """Waits for a node process to exit and returns its exit code.

        Returns:
            None if the process still runs after `timeout_s`, or if the node is
            not a child process.
        """
        if self.child is None:
            return None
        try:
            return int(self.child.process.wait(timeout=timeout_s))
        except subprocess.TimeoutExpired:
            return None

    def kill(self) -> None:
        """Stops the node without a shutdown, like the loss of its VM."""
        if self.child is not None:
            self.child.kill()
        if self.node is not None:
            self.node.halt()
