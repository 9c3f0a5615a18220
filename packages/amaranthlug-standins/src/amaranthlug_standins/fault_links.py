"""Links through the fault proxy between the parts of a fleet.

The ends of a link are named `node:NAME@ZONE`, `upstream:NAME@ZONE`, `log`,
`vm_list`, `rating`, `weights`, `nodes` or `callers`, so that a pattern such as
`node:*@banqiao` selects a zone.

- Platform services have one link per node, because each node has their
  addresses in its own settings.
- Upstreams have one link each, because all nodes share the configuration with
  their addresses.
- Peers have one link per ordered pair of nodes. The address that a member
  announces is also its identity and cannot be replaced, so the settings map it
  to the address to connect to (`PeerSettings.via`). One link per destination
  would need no map but could not cut off a single pair, and one per zone would
  need the sender's name in each message.
- Callers have one link per node and use such a map too.
"""

import dataclasses
from collections.abc import Sequence
from typing import Any

import msgspec

from amaranthlug.state.settings import NodeSettings
from amaranthlug_standins.fleet_parts import RunningStandIn
from amaranthlug_standins.http_json import call_json
from amaranthlug_standins.proxy_rules import FaultRule

CALLERS = "callers"
NODES = "nodes"
PLATFORM_SERVICES = ("log", "vm_list", "rating", "weights")


def link_name(settings: NodeSettings) -> str:
    """Returns the name of a node as an end of links."""
    return f"node:{settings.name}@{settings.zone}"


@dataclasses.dataclass
class FaultLinks:
    """Links through the fault proxy of one fleet.

    Attributes:
        proxy: The running fault proxy.
        caller_via: Link address for callers by node address.
    """

    proxy: RunningStandIn
    caller_via: dict[str, str] = dataclasses.field(default_factory=dict)

    def add_link(self, source: str, destination: str, target: str) -> str:
        """Adds a link to an address and returns the address of the link."""
        body = {"source": source, "destination": destination, "target": target}
        _, answer = call_json(self.proxy.control, "POST", "/links", body)
        return str(answer["address"])

    def add_upstream_link(self, name: str, zone: str, target: str) -> str:
        """Adds a link from all nodes to an upstream and returns its address."""
        return self.add_link(NODES, f"upstream:{name}@{zone}", target)

    def route_through_proxy(
        self, nodes: Sequence[NodeSettings]
    ) -> list[NodeSettings]:
        """Returns settings that reach peers and platform through the proxy.

        It also adds the links from callers to nodes.
        """
        for settings in nodes:
            self.caller_via[settings.address] = self.add_link(
                CALLERS, link_name(settings), settings.address
            )
        return [self.route_node(settings, nodes) for settings in nodes]

    def route_node(
        self, settings: NodeSettings, nodes: Sequence[NodeSettings]
    ) -> NodeSettings:
        """Returns the settings of one node with the addresses of its links."""
        source = link_name(settings)
        urls: dict[str, Any] = {}
        for name in PLATFORM_SERVICES:
            target = getattr(settings.platform, name).removeprefix("http://")
            urls[name] = f"http://{self.add_link(source, name, target)}"
        via = {
            peer.address: self.add_link(source, link_name(peer), peer.address)
            for peer in nodes
            if peer.address != settings.address
        }
        return dataclasses.replace(
            settings,
            platform=dataclasses.replace(settings.platform, **urls),
            peers=dataclasses.replace(settings.peers, via=via),
        )

    def set_rules(self, rules: Sequence[FaultRule]) -> None:
        """Replaces the fault rules in force."""
        self.proxy.fault(rules=msgspec.to_builtins(list(rules)))

    def break_open(self, source: str, destination: str) -> None:
        """Resets the open connections of matching links."""
        self.proxy.fault(**{"break": [source, destination]})

    def silence_open(self, source: str, destination: str) -> None:
        """Silences the open connections of matching links permanently."""
        self.proxy.fault(silence=[source, destination])
