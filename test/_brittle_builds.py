"""Fleets of node processes of several builds before brittle servers."""

import time

import gevent
from _mixed_builds import START_LIMIT_S, is_ready
from _platform_fleet import call, wait_for
from _server_load import limit_servers

from amaranthlug_platform_standins.soak_fleet import SoakFleet

NOTICE_S = 3.0
"""Time after the first statement until which servers queue requests and bear
refusals, in seconds."""


class BrittleBuilds:
    """Processes of nodes, each of any build, and brittle servers."""

    def __init__(self, folder, builds, servers, slots, request_s, **faults):
        """Starts a node of each build; the servers are sound at first."""
        self.fleet = SoakFleet(folder, 1, len(builds), servers)
        self.faults = {
            "slots": slots,
            "delay_s": request_s,
            "restart_s": 3.0,
            **faults,
        }
        for node, build in zip(self.fleet.nodes, builds, strict=True):
            node.root = build
        self.fleet.start()
        limit_servers(self.fleet, queue=2 * slots, **self.faults)
        for node in self.fleet.nodes:
            wait_for(lambda node=node: is_ready(node), START_LIMIT_S)
        gevent.sleep(1.0)

    @property
    def nodes(self):
        """Returns the nodes."""
        return self.fleet.nodes

    @property
    def servers(self):
        """Returns the servers."""
        return self.fleet.servers

    def call(self, target, node=0, **more):
        """Sends a request to a node on a new connection."""
        address = self.nodes[node].addresses["callers"]
        return call(address, target, **more)

    def say_brittle(self, max_refusals):
        """Makes servers state N; later they queue nothing and fall over."""
        falls_from = time.monotonic() + NOTICE_S
        limit_servers(self.fleet, brittle=max_refusals, falls_from=falls_from)
        gevent.spawn_later(NOTICE_S, limit_servers, self.fleet, queue=0)
