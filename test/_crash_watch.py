"""Builders for tests of the watch for crashing requests."""

from _fakes_log import FakeMetrics
from _routing import (
    FakeClock,
    FakeStore,
    make_node_entry,
    make_report,
    make_request,
)

from amaranthlug.coordination.routing.fleet_suspects import FleetSuspects
from amaranthlug.coordination.routing.fleet_view import FleetSummary, FleetView
from amaranthlug.protocol.routing.crash_watch import CrashWatch
from amaranthlug.protocol.routing.messages import PathState, PromptPart
from amaranthlug.protocol.routing.request_subjects import RequestSubjects
from amaranthlug.protocol.routing.server_ends import ServerEnds
from amaranthlug.protocol.routing.server_health import ServerHealthTracker


class FakePaths:
    """Paths to servers; they are open unless a test says otherwise."""

    def __init__(self):
        """Starts with servers that run."""
        self.states = {}

    def check_path(self, server) -> PathState:
        """Returns what a test has set for the instance."""
        return self.states.get(server.instance_key, PathState.OPEN)


class FakeListing:
    """The instances that are registered."""

    def __init__(self, *servers):
        """Registers servers."""
        self.servers = {server.instance_name: server for server in servers}

    def is_listed(self, entry) -> bool:
        """Returns whether a test has not removed the instance."""
        return entry.instance_name in self.servers

    def find_instance(self, name):
        """Returns a registered instance."""
        return self.servers.get(name)


def make_watch(*servers) -> CrashWatch:
    """Returns the watch of a node without others before these servers."""
    clock = FakeClock()
    view = FleetView(FakeStore(), lambda: make_report("n0"), clock=clock)
    view.set_summary(FleetSummary([make_node_entry("n0")], {}, {}))
    suspects = FleetSuspects("n0", view, None, FakeMetrics(), clock)
    health = ServerHealthTracker(clock)
    ends = ServerEnds(
        FakePaths(), health, FakeListing(*servers), FakeMetrics(), clock
    )
    return CrashWatch(ends, suspects, FakeMetrics(), clock)


def make_subjects(*parts: str, service: str = "pool") -> RequestSubjects:
    """Returns the subjects of a request with these prompt parts."""
    prompt = tuple(PromptPart(part, 10) for part in parts)
    body = ",".join(parts).encode()
    return RequestSubjects(
        "org", service, make_request(prompt=prompt, body=body)
    )
