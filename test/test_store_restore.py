"""Tests of a store that comes back from an older copy, over loopback."""

import re
import time

import gevent
import pytest
from _platform_fleet import (
    KEY,
    PlatformFleet,
    make_wire_config,
    wait_for,
)

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.routed_node import ANNOUNCE_WAIT_S
from amaranthlug.state.routing.rollout import RolloutPhase
from amaranthlug_platform.fleet import FleetOverview
from amaranthlug_platform.records import (
    OPERATOR_TOPIC,
    SERVERS_TOPIC,
    STATUS_TOPIC,
)
from amaranthlug_platform.store_client import StoreClient
from amaranthlug_platform_standins.server import ServerStandIn
from amaranthlug_standins.loopback import listener_addresses

NODES = 3
"""One of them is the relay of the others."""
NEVER_S = 60.0
"""Time for which operators and servers do not write again, in seconds."""


class RestoredFleet:
    """Nodes before a store that returns to a copy."""

    def __init__(self):
        """Starts the fleet and lets the nodes find their relay."""
        self.fleet = PlatformFleet(NODES, servers=2)
        self.store = self.fleet.store
        wait_for(lambda: self.relay_members() == NODES - 1)
        gevent.sleep(0.3)

    def relay_members(self) -> int:
        """Returns how many nodes use a relay."""
        return sum(
            node.relay_client.relay is not None for node in self.fleet.nodes
        )

    def mark(self) -> None:
        """Lets some time pass, to which `restore` returns."""
        gevent.sleep(0.2)
        self.marked_at = time.monotonic()
        gevent.sleep(0.2)

    def restore(self, rewrite_s: float = 0.3) -> None:
        """Returns the store to the marked time."""
        self.store.restore(time.monotonic() - self.marked_at, rewrite_s)

    def gauges(self, name: str) -> list[float]:
        """Returns the value of a gauge at each node."""
        pattern = re.compile(rf"^amaranthlug_{name} (\S+)$", re.MULTILINE)
        texts = [node.metrics.text().decode() for node in self.fleet.nodes]
        found = [pattern.search(text) for text in texts]
        return [float(match[1]) if match else 0.0 for match in found]

    def wait_until_restored(self) -> None:
        """Waits until all nodes have read the copy."""
        wait_for(
            lambda: all(
                node.store_era.current == self.store.era
                and all(f.position is not None for f in node.followers)
                for node in self.fleet.nodes
            )
        )

    def start_server(self, server_id: str, **more) -> ServerStandIn:
        """Starts one more server."""
        address = listener_addresses(1).pop()
        server = ServerStandIn(self.store, address, server_id, "pool", **more)
        self.fleet.servers.append(server.start())
        return server

    def wait_known(self, servers: set[str]) -> None:
        """Waits until all nodes use exactly these servers."""
        wait_for(lambda: all(ids == servers for ids in self.known_servers()))

    def known_servers(self) -> list[set[str]]:
        """Returns the ids of the servers that each node uses."""
        return [
            {entry.server_id for entry in node.servers.usable_servers("pool")}
            for node in self.fleet.nodes
        ]

    def versions(self) -> list[int]:
        """Returns the version of the configuration at each node."""
        return [node.config.config.version for node in self.fleet.nodes]

    def statuses(self, key: str = KEY) -> set[int]:
        """Returns the statuses of a request to each node."""
        return {
            self.fleet.call("/safe/x", node=number, key=key).status
            for number in range(NODES)
        }

    def order_rollout(self, duration_s: float = 30.0) -> None:
        """Orders a roll-out to v2, whose server starts."""
        self.store.put(
            OPERATOR_TOPIC,
            "rollout/pool",
            {"service": "pool", "target": "v2", "duration_s": duration_s},
        )
        self.start_server("new", version="v2")

    def rollouts(self) -> list:
        """Returns the roll-out of `pool` as each node sees it."""
        return [node.rollouts.rollout_of("pool") for node in self.fleet.nodes]


@pytest.fixture
def restored():
    """A running fleet."""
    started = RestoredFleet()
    yield started
    started.fleet.stop()


def test_configuration_written_after_a_restore_is_taken(restored):
    """Its offset is lower than that of the last one before."""
    restored.mark()
    for version in range(2, 6):
        restored.fleet.configure(make_wire_config(version))
    restored.restore(rewrite_s=0.1)
    gevent.sleep(0.5)
    restored.fleet.configure(make_wire_config(6))
    assert restored.versions() == [6] * NODES


def test_configuration_never_goes_back(restored):
    """The copy holds an older one until the operator writes again."""
    restored.mark()
    restored.fleet.configure(make_wire_config(2))
    restored.restore(NEVER_S)
    for _ in range(10):
        gevent.sleep(0.1)
        assert restored.versions() == [2] * NODES


def test_withdrawn_key_stays_withdrawn(restored):
    """Also while the copy lists it."""
    restored.fleet.configure(make_wire_config(2, keys=(KEY, "key-2")))
    restored.mark()
    restored.fleet.configure(make_wire_config(3))
    restored.restore(NEVER_S)
    for _ in range(10):
        gevent.sleep(0.1)
        assert restored.statuses("key-2") == {401}
        assert restored.statuses() == {200}


def test_server_that_left_does_not_come_back(restored):
    """The copy lists it as ready, and its address may be used again."""
    leaving = restored.start_server("leaving")
    restored.wait_known({"s0", "s1", "leaving"})
    restored.mark()
    restored.store.remove(SERVERS_TOPIC, "leaving")
    restored.wait_known({"s0", "s1"})
    leaving.runs.clear()
    restored.restore(NEVER_S)
    for _ in range(10):
        gevent.sleep(0.1)
        assert restored.known_servers() == [{"s0", "s1"}] * NODES
    assert not leaving.runs


def test_draining_server_gets_no_requests_again(restored):
    """Its report is lost, but the nodes know of it."""
    draining = restored.start_server("draining")
    restored.wait_known({"s0", "s1", "draining"})
    restored.mark()
    draining.register("draining")
    restored.wait_known({"s0", "s1"})
    restored.restore(NEVER_S)
    for _ in range(10):
        gevent.sleep(0.1)
        assert restored.known_servers() == [{"s0", "s1"}] * NODES


def test_server_that_the_copy_lacks_is_used_on(restored):
    """It writes its entry again within two seconds."""
    restored.mark()
    restored.start_server("late")
    restored.wait_known({"s0", "s1", "late"})
    restored.restore(rewrite_s=1.5)
    for _ in range(25):
        gevent.sleep(0.1)
        assert restored.known_servers() == [{"s0", "s1", "late"}] * NODES


# Guards against members that drop a server for good, since their relay knew it
# and took the entry that it wrote again for nothing new (soak seed 810).
def test_server_that_the_copy_has_in_an_older_instance_is_used_on(restored):
    """It started again under its id in the lost time."""
    restored.mark()
    server = restored.fleet.servers[0]
    server.crash()
    gevent.sleep(0.1)
    server.restart()
    restored.fleet.wait_until_up()
    restored.restore(rewrite_s=0.5)
    for _ in range(30):
        gevent.sleep(0.1)
        assert restored.known_servers() == [{"s0", "s1"}] * NODES


def test_server_that_does_not_return_is_dropped(restored):
    """It ended while the store was away."""
    restored.mark()
    restored.start_server("late")
    restored.wait_known({"s0", "s1", "late"})
    restored.restore(NEVER_S)
    restored.wait_known({"s0", "s1"})


def test_reused_offset_is_not_taken_for_one_already_read(restored):
    """The end of the topic is where it was, with other records."""
    topic = restored.store.topic(SERVERS_TOPIC)
    restored.mark()
    restored.start_server("lost")
    restored.wait_known({"s0", "s1", "lost"})
    end = topic.end
    restored.restore(NEVER_S)
    restored.start_server("other")
    assert topic.end == end
    restored.wait_known({"s0", "s1", "other"})


def test_completed_rollout_is_written_again(restored):
    """Old servers were stopped, so it must not become active again."""
    restored.order_rollout()
    wait_for(lambda: restored.store.body(STATUS_TOPIC, "rollout/pool"))
    restored.mark()
    completed = restored.store.body(STATUS_TOPIC, "rollout/pool")
    completed["state"] = "completed"
    restored.store.put(STATUS_TOPIC, "rollout/pool", completed)
    wait_for(
        lambda: all(
            rollout.phase is RolloutPhase.COMPLETED
            for rollout in restored.rollouts()
        )
    )
    restored.restore(NEVER_S)
    assert (
        restored.store.body(STATUS_TOPIC, "rollout/pool")["state"] == "active"
    )
    wait_for(
        lambda: (
            restored.store.body(STATUS_TOPIC, "rollout/pool")["state"]
            == "completed"
        )
    )
    wait_for(lambda: restored.gauges("store_records_lost") == [1.0] * NODES)
    wait_for(lambda: sum(restored.gauges("store_states_rewritten")) == 1.0)
    gevent.sleep(1.0)
    assert {r.phase for r in restored.rollouts()} == {RolloutPhase.COMPLETED}
    assert restored.store.topic(STATUS_TOPIC).end == 2


def test_order_written_again_is_the_same_rollout(restored):
    """Its offset differs, but it must not start from the beginning."""
    for version in (2, 3):
        restored.fleet.configure(make_wire_config(version))
    restored.mark()
    for version in (4, 5):
        restored.fleet.configure(make_wire_config(version))
    restored.order_rollout()
    wait_for(lambda: all(restored.rollouts()))
    before = [r.rollout_id for r in restored.rollouts()]
    started_at = [r.started_at for r in restored.rollouts()]
    gevent.sleep(1.0)
    restored.restore(rewrite_s=0.2)
    restored.wait_until_restored()
    gevent.sleep(1.0)
    written_again = restored.store.topic(OPERATOR_TOPIC).newest["rollout/pool"]
    assert {r.order.offset for r in restored.rollouts()} == {
        written_again.offset + 1
    }
    assert [r.rollout_id for r in restored.rollouts()] == before
    assert [r.started_at for r in restored.rollouts()] == pytest.approx(
        started_at, abs=0.3
    )


def test_order_after_a_restore_is_a_new_rollout(restored):
    """Its offset may be lower than that of the one before."""
    restored.mark()
    for version in (2, 3):
        restored.fleet.configure(make_wire_config(version))
    restored.order_rollout()
    wait_for(lambda: all(restored.rollouts()))
    restored.restore(rewrite_s=0.1)
    restored.wait_until_restored()
    gevent.sleep(0.5)
    restored.store.put(
        OPERATOR_TOPIC,
        "rollout/pool",
        {"service": "pool", "target": "v3", "duration_s": 30.0},
    )
    wait_for(lambda: all(r.order.target == "v3" for r in restored.rollouts()))


def test_node_that_left_is_not_listed_again(restored):
    """Callers would be told to connect to it."""
    topic = restored.store.topic("keyed.nodes")
    gone = b'{"reporter":"gone","nodes":[{"node":"gone","incarnation":"i",' + (
        b'"address":"127.0.0.1:1","peer_address":"127.0.0.1:1",'
        b'"zone":"zone-a","region":"region","serving":true}],'
        b'"evidence":{},"running":{}}'
    )
    topic.append([("gone", gone)])
    listed = [
        lambda node=node: "gone" in {e.node for e in node.fleet.nodes()}
        for node in restored.fleet.nodes
    ]
    wait_for(lambda: any(is_listed() for is_listed in listed))
    restored.mark()
    topic.append([("gone", None)])
    wait_for(lambda: not any(is_listed() for is_listed in listed))
    restored.restore(NEVER_S)
    for _ in range(20):
        gevent.sleep(0.1)
        assert not any(is_listed() for is_listed in listed)


def test_second_restore_right_after_the_first(restored):
    """Nodes may still be reading the first copy."""
    restored.mark()
    restored.fleet.configure(make_wire_config(2))
    restored.restore(NEVER_S)
    gevent.sleep(0.05)
    restored.restore(rewrite_s=0.1)
    restored.wait_until_restored()
    gevent.sleep(0.3)
    restored.fleet.configure(make_wire_config(3))
    assert restored.statuses() == {200}


def test_node_that_starts_before_the_operator_writes_again_waits(restored):
    """It must not accept a key that the others know to be withdrawn."""
    restored.fleet.configure(make_wire_config(2, keys=(KEY, "key-2")))
    restored.mark()
    restored.fleet.configure(make_wire_config(3))
    gevent.sleep(2.0)  # All nodes have reported the version.
    restored.restore(rewrite_s=2.5)
    restored.wait_until_restored()
    gevent.sleep(1.3)  # The reports of the copy are replaced.
    node = restored.fleet.add_node()
    wait_for(lambda: node.config.config is not None)
    while node.config.config.version < 3:
        answer = restored.fleet.call("/safe/x", node=NODES, key="key-2")
        assert answer.status in (401, 503)
        assert not (node.config.config.version < 3 and node.is_ready())
        gevent.sleep(0.05)
    wait_for(node.is_ready)
    assert restored.fleet.call("/safe/x", node=NODES).status == 200
    assert restored.fleet.call("/safe/x", node=NODES, key="key-2").status == 401


# Guards against members that leave a relay which is reading the copy, and then
# all read the store themselves, for two seconds and more.
def test_members_keep_their_relay_while_it_reads_the_copy(restored):
    """The store would get the calls of all nodes at the same moment."""
    members = [
        node
        for node in restored.fleet.nodes
        if node.relay_client.relay is not None
    ]
    restored.store.restore(0.5)
    restored.wait_until_restored()
    for _ in range(10):
        gevent.sleep(0.1)
        assert all(node.relay_client.relay is not None for node in members)


def test_node_without_reports_of_others_takes_its_configuration(restored):
    """A part of the store may be down for longer than a start takes."""
    node = restored.fleet.nodes[0]
    node.caught_up = False
    node.fleet.follower.position = None
    node.created_at = boot_seconds()
    assert not node.has_caught_up()
    node.created_at -= ANNOUNCE_WAIT_S + 0.1
    assert node.has_caught_up()


def test_fleet_command_shows_the_era_of_each_node(restored):
    """Operators see which nodes have noticed a return."""
    restored.mark()
    restored.restore()
    restored.wait_until_restored()

    def nodes_in_new_era() -> set[str]:
        overview = FleetOverview(StoreClient(restored.store.address))
        return {
            row["node"]
            for row in overview.list_nodes()
            if row["store_era"] == restored.store.era
        }

    wait_for(lambda: len(nodes_in_new_era()) == NODES)
