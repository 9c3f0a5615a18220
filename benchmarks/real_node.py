"""Runs a small fleet of real nodes for the benchmarks."""

import contextlib
from collections.abc import Iterator

import psutil
from load import KEY

from amaranthlug_standins.batch import Pace
from amaranthlug_standins.builders import (
    key_digest,
    make_catalog,
    make_kind,
    make_organisation,
    make_parts,
    make_pool,
    make_version,
)
from amaranthlug_standins.deployments import Deployment
from amaranthlug_standins.fleet import Fleet
from amaranthlug_standins.fleet_parts import (
    FleetOptions,
    RunningNode,
    RunningStandIn,
)

VERSION = "brisa@1"
ZONES = ("sala-a", "sala-b", "sala-c")
NODE_COUNT = 3
"""Number of nodes: enough for two copies of each bill in other zones."""
STARTUP_S = 6.0
"""Time until leases and membership are stable."""


class NodeProcess:
    """The process of the node under load."""

    def __init__(self, node: RunningNode, engines: list[RunningStandIn]):
        """Attaches to the process of a running node."""
        self.engines = engines
        self.address = node.address
        assert node.child is not None
        self.stats = psutil.Process(node.child.process.pid)

    def cpu_s(self) -> float:
        """Returns the CPU time used so far, in seconds."""
        times = self.stats.cpu_times()
        return times.user + times.system

    def silence_connections(self) -> None:
        """Makes the engines stop sending on all connections open now."""
        for engine in self.engines:
            engine.fault(silence_open=True)

    def memory_mb(self) -> float:
        """Returns the resident memory in megabytes."""
        return self.stats.memory_info().rss / 1e6


def make_deployment(engines: int) -> Deployment:
    """Returns a deployment with one organisation, one version and one pool."""
    catalog = make_catalog(
        versions=[make_version(VERSION, prior_quality=0.99)],
        organisations=[
            make_organisation(
                "alfama",
                [VERSION],
                key_digests=frozenset({key_digest(KEY)}),
                services=frozenset(),
            )
        ],
        kinds=[
            make_kind("describe", quality_target=0.5, max_output_tokens=4_000)
        ],
        pools=[
            make_pool(addresses=[f"127.0.0.1:{n + 9}" for n in range(engines)])
        ],
        services=[],
    )
    return Deployment(
        "bench", "lisboa", ZONES, NODE_COUNT, catalog, make_parts(catalog), {}
    )


@contextlib.contextmanager
def real_nodes(
    engines: int, pace: dict[str, float]
) -> Iterator[tuple[list[str], NodeProcess]]:
    """Runs the fleet; yields the engine addresses and one node."""
    options = FleetOptions(pace=Pace(**pace))  # type: ignore[arg-type]
    with Fleet(make_deployment(engines), options).start() as fleet:
        yield (
            [part.address for part in fleet.engines],
            NodeProcess(fleet.nodes[0], fleet.engines),
        )
