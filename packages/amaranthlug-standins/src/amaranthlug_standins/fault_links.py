"""Puts the fault proxy between the parts of a fleet.

Names of links are `node:NAME@ZONE`, `upstream:PART@ZONE`, `log`, `vm_list`,
`rating`, `weights`, `nodes` and `callers`, so that patterns such as
`node:*@banqiao` pick a zone.

Platform services get a link per node, since a node's settings name them.
Upstreams get one link each, since all nodes share the configuration that names
them. Peers get a link per ordered pair of nodes: peers name each other by the
address that members announce, which is also the node's identity, so the
address itself cannot change. The smallest change that keeps it is a map of
connection addresses in the settings of the peer link (`PeerSettings.via`). A
proxy for each destination alone would need no map but could not cut one pair,
and a listener per zone would need the sender's name in each message. Callers
have such a map too.
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
PLATFORM = ("log", "vm_list", "rating", "weights")


def node_name(settings: NodeSettings) -> str:
    """Returns the name of a node in links."""
    return f"node:{settings.name}@{settings.zone}"


@dataclasses.dataclass
class FaultLinks:
    """The proxy of one fleet and what goes through it."""

    part: RunningStandIn
    caller_via: dict[str, str] = dataclasses.field(default_factory=dict)

    def link(self, source: str, destination: str, target: str) -> str:
        """Adds a link and returns its address."""
        body = {"source": source, "destination": destination, "target": target}
        _, answer = call_json(self.part.control, "POST", "/links", body)
        return str(answer["address"])

    def upstream(self, name: str, zone: str, target: str) -> str:
        """Returns the address that the configuration names."""
        return self.link(NODES, f"upstream:{name}@{zone}", target)

    def rewire(self, nodes: Sequence[NodeSettings]) -> list[NodeSettings]:
        """Returns settings whose peers and platform go through the proxy."""
        for settings in nodes:
            self.caller_via[settings.address] = self.link(
                CALLERS, node_name(settings), settings.address
            )
        return [self.rewire_one(settings, nodes) for settings in nodes]

    def rewire_one(
        self, settings: NodeSettings, nodes: Sequence[NodeSettings]
    ) -> NodeSettings:
        """Returns the settings of one node."""
        source = node_name(settings)
        urls: dict[str, Any] = {}
        for name in PLATFORM:
            target = getattr(settings.platform, name).removeprefix("http://")
            urls[name] = f"http://{self.link(source, name, target)}"
        via = {
            other.address: self.link(source, node_name(other), other.address)
            for other in nodes
            if other.address != settings.address
        }
        return dataclasses.replace(
            settings,
            platform=dataclasses.replace(settings.platform, **urls),
            peers=dataclasses.replace(settings.peers, via=via),
        )

    def set_rules(self, rules: Sequence[FaultRule]) -> None:
        """Replaces the faults in force."""
        self.part.fault(rules=msgspec.to_builtins(list(rules)))

    def break_open(self, source: str, destination: str) -> None:
        """Resets the open connections of matching links."""
        self.part.fault(**{"break": [source, destination]})

    def silence_open(self, source: str, destination: str) -> None:
        """Silences the open connections of matching links for good."""
        self.part.fault(silence=[source, destination])
