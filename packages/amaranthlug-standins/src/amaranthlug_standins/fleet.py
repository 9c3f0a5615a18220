"""Starts and stops a complete deployment for tests and experiments."""

import dataclasses
import importlib
import json
import pathlib
import tempfile
import time
import uuid
from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
import yaml

from amaranthlug.state.records import Publication, Record
from amaranthlug.state.settings import (
    NodeSettings,
    PeerSettings,
    PlatformSettings,
)
from amaranthlug_standins.builders import make_publication
from amaranthlug_standins.children import Child, stop_all
from amaranthlug_standins.deployments import Deployment
from amaranthlug_standins.engine import EngineConfig, EngineStandIn
from amaranthlug_standins.fault_links import FaultLinks
from amaranthlug_standins.fault_proxy import FaultProxy, ProxyConfig
from amaranthlug_standins.fleet_parts import (
    FleetOptions,
    RunningNode,
    RunningStandIn,
)
from amaranthlug_standins.http_json import call_json
from amaranthlug_standins.log import LogStandIn
from amaranthlug_standins.loopback import listener_addresses
from amaranthlug_standins.rating import RatingStandIn
from amaranthlug_standins.service import ServiceConfig, ServiceStandIn
from amaranthlug_standins.standin import StandIn
from amaranthlug_standins.vm_list import VmListConfig, VmListStandIn
from amaranthlug_standins.weights import WeightsConfig, WeightsStandIn

READY_TIMEOUT_S = 25.0
DRAIN_TIMEOUT_S = 12.0
KEY_SLOTS = set(range(64))
"""Slots of idempotency keys, all of which must be owned before a load."""


class FleetError(Exception):
    """A fleet did not become ready; the message names the failing part."""


class Fleet:
    """The stand-ins and nodes of one deployment.

    Attributes:
        parts: Running stand-ins by name.
        by_placeholder: Upstream stand-ins by their address in the sample.
        fault_links: Links through the fault proxy, None without faults.
        peer_keys: Keys with which the nodes authenticate to each other.
    """

    def __init__(self, deployment: Deployment, options: FleetOptions):
        """Creates a fleet without starting it."""
        self.deployment = deployment
        self.options = options
        self.folder = tempfile.TemporaryDirectory(prefix="amaranthlug-")
        self.children: list[Child] = []
        self.parts: dict[str, RunningStandIn] = {}
        self.engines: list[RunningStandIn] = []
        self.services: list[RunningStandIn] = []
        self.nodes: list[RunningNode] = []
        self.addresses: dict[str, str] = {}
        self.by_placeholder: dict[str, RunningStandIn] = {}
        self.fault_links: FaultLinks | None = None
        # Fleets on one machine reuse each other's ports; with a shared key,
        # nodes of one fleet would join the other.
        self.peer_keys = {"k1": uuid.uuid4().hex}

    def start(self, with_nodes: bool = True) -> "Fleet":
        """Starts all parts and waits until the published configuration is used.

        Raises:
            FleetError: A node did not become ready in time.
        """
        try:
            self.start_standins()
            self.register_upstreams()
            revision = self.publish(self.published_parts())
            if with_nodes:
                self.start_nodes()
                self.wait_for_revision(revision)
                self.wait_until_settled()
        except BaseException:
            self.stop()
            raise
        return self

    def start_standins(self) -> None:
        """Starts platform services, engines and plain services."""
        seed, options = self.options.seed, self.options
        pending: list[tuple[str, type[StandIn], Any]] = [
            ("log", LogStandIn, dataclasses.replace(options.log, seed=seed)),
            ("vm_list", VmListStandIn, VmListConfig(seed=seed)),
            (
                "rating",
                RatingStandIn,
                dataclasses.replace(options.rating, seed=seed),
            ),
            ("weights", WeightsStandIn, WeightsConfig(seed=seed)),
        ]
        if options.faults:
            pending.append(("network", FaultProxy, ProxyConfig(seed=seed)))
        placeholders: dict[str, tuple[str, bool]] = {}
        for pool in self.deployment.catalog.pools.values():
            for index, upstream in enumerate(pool.upstreams):
                name = f"{pool.name}-{index + 1}"
                placeholders[name] = (upstream.address, pool.engine)
                if pool.engine:
                    config = self.make_engine_config(
                        pool.name, index, upstream.zone
                    )
                    pending.append((name, EngineStandIn, config))
                else:
                    plain = ServiceConfig(seed=seed, zone=upstream.zone)
                    pending.append((name, ServiceStandIn, plain))
        for name, part in self.start_pending(pending):
            self.parts[name] = part
            if name in placeholders:
                address, engine = placeholders[name]
                self.by_placeholder[address] = part
                (self.engines if engine else self.services).append(part)
        if options.faults:
            self.fault_links = FaultLinks(self.parts["network"])

    def make_engine_config(
        self, pool: str, index: int, zone: str
    ) -> EngineConfig:
        """Builds the configuration of the engine at an index of a pool."""
        return EngineConfig(
            seed=self.options.seed,
            zone=zone,
            versions=self.deployment.versions_of(pool),
            qualities=dict(self.deployment.qualities),
            pace=self.options.pace,
            checks_fence=self.options.checks_fence(index),
        )

    def start_pending(
        self, pending: list[tuple[str, type[StandIn], Any]]
    ) -> Iterator[tuple[str, RunningStandIn]]:
        """Starts stand-ins; child processes start concurrently."""
        if not self.options.processes:
            for name, standin_class, config in pending:
                standin = standin_class.from_config(config).start()
                yield (
                    name,
                    RunningStandIn(
                        name, standin.address, standin.control_address, standin
                    ),
                )
            return
        spawned = []
        for name, standin_class, config in pending:
            args = [
                standin_class.__module__,
                "--watch-stdin",
                f"--seed={config.seed}",
                f"--config=@{self.write_config(name, config)}",
            ]
            child = Child.spawn(name, args, pathlib.Path(self.folder.name))
            self.children.append(child)
            spawned.append((name, child))
        for name, child in spawned:
            ready = child.read_addresses()
            yield (
                name,
                RunningStandIn(
                    name, ready["address"], ready["control"], child=child
                ),
            )

    def write_config(self, name: str, config: Any) -> pathlib.Path:
        """Writes the configuration of a stand-in and returns its path."""
        path = pathlib.Path(self.folder.name) / f"{name}.json"
        path.write_bytes(msgspec.json.encode(config))
        return path

    def register_upstreams(self) -> None:
        """Registers all upstreams with the VM list.

        With a fault proxy, the address of a link replaces the upstream's own.
        """
        for pool in self.deployment.catalog.pools.values():
            for upstream in pool.upstreams:
                part = self.by_placeholder[upstream.address]
                part.published_address = part.address
                if self.fault_links is not None:
                    part.published_address = self.fault_links.add_upstream_link(
                        part.name, upstream.zone, part.address
                    )
                self.register_vm(
                    part.published_address,
                    upstream.zone,
                    "engine" if pool.engine else "service",
                )

    def register_vm(
        self, address: str, zone: str, role: str, state: str = "live"
    ) -> None:
        """Adds a VM to the VM list or changes its state."""
        call_json(
            self.parts["vm_list"].address,
            "POST",
            "/vms",
            {"address": address, "zone": zone, "role": role, "state": state},
        )

    def published_parts(self) -> dict[str, dict[str, Any]]:
        """Returns the configuration with placeholders replaced by addresses."""
        parts: dict[str, dict[str, Any]] = json.loads(
            msgspec.json.encode(self.deployment.parts)
        )
        for path, body in parts.items():
            if path.startswith("pools/"):
                for upstream in body["upstreams"]:
                    part = self.by_placeholder[upstream["address"]]
                    upstream["address"] = part.published_address
        return parts

    def append(self, record: Record) -> int:
        """Appends a record to the log and returns its offset.

        Raises:
            FleetError: The log refused the record.
        """
        body = {"records": [msgspec.to_builtins(record)]}
        log = self.parts["log"].address
        code, answer = call_json(log, "POST", "/append", body)
        if code != 200:
            raise FleetError(f"log refused the append with HTTP status {code}")
        return int(answer["offsets"][0])

    def publish(self, parts: dict[str, dict[str, Any]], base: int = -1) -> int:
        """Publishes parts on a base revision and returns the log offset."""
        publication: Publication = make_publication(parts, base=base)
        return self.append(publication)

    def records(self) -> list[dict[str, Any]]:
        """Returns the records in the log, with offset and arrival time."""
        entries = self.parts["log"].seen()["records_kept"]
        return [
            {
                **entry["record"],
                "offset": entry["offset"],
                "appended_at": entry["at"],
            }
            for entry in entries
        ]

    def node_settings(self) -> list[NodeSettings]:
        """Returns the settings of all nodes, on free ports."""
        count = self.options.nodes or self.deployment.nodes
        zones = self.deployment.zones
        addresses = listener_addresses(count)
        platform = PlatformSettings(
            **{
                name: f"http://{self.parts[name].address}"
                for name in ("log", "vm_list", "rating", "weights")
            }
        )
        return [
            NodeSettings(
                name=f"{self.deployment.name}-{index + 1}",
                address=address,
                zone=zones[index % len(zones)],
                region=self.deployment.region,
                platform=platform,
                peers=PeerSettings(self.peer_keys, tuple(addresses[:3])),
                zone_order=zones_by_distance(zones, index % len(zones)),
                timings=self.options.timings,
                log_level="WARNING",
                seed=self.options.seed * 1_000 + index,
            )
            for index, address in enumerate(addresses)
        ]

    def start_nodes(self) -> None:
        """Registers and starts all nodes."""
        all_settings = self.node_settings()
        if self.fault_links is not None:
            all_settings = self.fault_links.route_through_proxy(all_settings)
        for settings in all_settings:
            self.register_vm(settings.address, settings.zone, "entry")
            self.nodes.append(self.start_node(settings))

    def start_node(self, settings: NodeSettings) -> RunningNode:
        """Starts one node."""
        if not self.options.processes:
            # Imported here because stand-ins must work without the node.
            module = importlib.import_module("amaranthlug.node")
            node = module.Node.from_settings(settings)
            node.start()
            return RunningNode(settings, node=node)
        folder = pathlib.Path(self.folder.name)
        path = folder / f"{settings.name}.yaml"
        path.write_text(yaml.safe_dump(msgspec.to_builtins(settings)))
        args = ["amaranthlug.daemon", "--settings", str(path)]
        child = Child.spawn(settings.name, args, folder)
        self.children.append(child)
        return RunningNode(settings, child=child)

    def wait_for_revision(
        self, revision: int, timeout_s: float = READY_TIMEOUT_S
    ) -> float:
        """Waits until all nodes use a revision and returns the seconds.

        Raises:
            FleetError: A node exited or did not use the revision in time.
        """
        started = time.monotonic()
        for node in list(self.nodes):
            remaining_s = timeout_s - (time.monotonic() - started)
            self.wait_for_node(node, revision, remaining_s)
        return time.monotonic() - started

    def wait_for_node(
        self, node: RunningNode, revision: int, timeout_s: float
    ) -> None:
        """Waits until a node uses a revision or a newer one.

        Raises:
            FleetError: The node exited or did not use the revision in time.
        """
        deadline = time.monotonic() + timeout_s
        while True:
            status = node.status()
            if status is not None and int(status["revision"]) >= revision:
                return
            if node.child is not None and not node.child.running():
                raise FleetError(
                    f"{node.settings.name} exited: {node.child.log_tail()}"
                )
            if time.monotonic() > deadline:
                raise FleetError(
                    f"{node.settings.name} did not reach revision {revision} "
                    f"in time; status: {status}"
                )
            gevent.sleep(0.05)

    def wait_until_settled(self, timeout_s: float = READY_TIMEOUT_S) -> float:
        """Waits until all key slots are owned and all nodes know each other.

        A fleet that starts up refuses requests with keys, which would distort
        the measurements of a load.

        Returns:
            Seconds waited.

        Raises:
            FleetError: The fleet did not settle in time.
        """
        started = time.monotonic()
        while True:
            statuses = [node.status() or {} for node in self.nodes]
            owned = {
                slot for status in statuses for slot in status.get("leases", [])
            }
            member_counts = [
                len(status.get("members", [])) for status in statuses
            ]
            if min(member_counts) >= len(self.nodes) and owned >= KEY_SLOTS:
                return time.monotonic() - started
            if time.monotonic() - started > timeout_s:
                raise FleetError(
                    f"{len(owned & KEY_SLOTS)} of {len(KEY_SLOTS)} key slots "
                    f"are owned and the nodes know {member_counts} members "
                    f"after {timeout_s:.0f} s"
                )
            gevent.sleep(0.1)

    def stop_nodes(self) -> list[int]:
        """Shuts down all node processes gracefully.

        Returns:
            Their exit codes.
        """
        stops = [gevent.spawn(node.stop) for node in self.nodes]
        gevent.joinall(stops, timeout=DRAIN_TIMEOUT_S)
        children = [node.child for node in self.nodes if node.child]
        stop_all(children, DRAIN_TIMEOUT_S)
        return [child.process.returncode for child in children]

    def stop(self) -> None:
        """Kills the processes that this fleet started and stops the rest."""
        for node in self.nodes:
            node.kill()
        for child in self.children:
            child.kill()
            child.close()
        for part in self.parts.values():
            if part.standin is not None:
                part.standin.stop()
        self.children.clear()
        self.nodes.clear()
        self.folder.cleanup()

    def __enter__(self) -> "Fleet":
        """Returns the fleet itself."""
        return self

    def __exit__(self, *error: object) -> None:
        """Stops everything."""
        self.stop()


def zones_by_distance(zones: tuple[str, ...], index: int) -> tuple[str, ...]:
    """Returns the other zones, starting with the next one in the list."""
    return zones[index + 1 :] + zones[:index]
