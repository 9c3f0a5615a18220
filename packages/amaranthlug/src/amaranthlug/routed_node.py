"""A node that answers routed requests: parts, start, stop, status."""

import collections
import dataclasses
import logging
import random
import uuid
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.config_source import (
    ConfigSource,
    OperatorDecoder,
)
from amaranthlug.coordination.routing.entry_choice import choose_entries
from amaranthlug.coordination.routing.fleet_view import FleetView
from amaranthlug.coordination.routing.keyed_store import KeyedStore
from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_messages import PeerPort
from amaranthlug.coordination.routing.relayed_following import RelayedFollowing
from amaranthlug.coordination.routing.rollout_controller import (
    RolloutController,
    StatusEncoder,
)
from amaranthlug.coordination.routing.rollout_tracker import (
    RolloutTracker,
    StatusDecoder,
)
from amaranthlug.coordination.routing.server_directory import (
    ServerDecoder,
    ServerDirectory,
)
from amaranthlug.coordination.routing.store_gate import StoreGate
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.coordination.timers import TimerService
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.exchange import ExchangeTools
from amaranthlug.protocol.routing.model_choice import ModelChoice
from amaranthlug.protocol.routing.placement import Placement
from amaranthlug.protocol.routing.request_log import DecisionLog
from amaranthlug.protocol.routing.router import Router
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.protocol.routing.session_versions import SessionVersions
from amaranthlug.state.routing.config import CallerLimits
from amaranthlug.state.routing.fleet import (
    NodeEntry,
    NodeReport,
    RunningByService,
    sum_running,
)
from amaranthlug.state.routing.settings import (
    RoutedNodeSettings,
    RoutingBounds,
)
from amaranthlug.transport.routing.text_metrics import TextMetrics
from amaranthlug.transport.routing.upstreams import HeaderCodec, Upstreams

CONFIG_WAIT_S = 1.0
"""Longest wait of one read of the configuration, in seconds; two reads and a
reconnection fit into the time after which a withdrawn key must not work."""
SERVERS_WAIT_S = 1.2
"""Longest wait of one read of server entries, in seconds."""
SERVERS_PAUSE_S = 0.35
"""Pause between reads of server entries, in seconds: servers write theirs
about once a second each, and nothing new may go to a leaving one after 2 s."""
STATUS_WAIT_S = 4.0
"""Longest wait of one read of the state of roll-outs, in seconds."""
REPORT_S = 1.0
"""Period of this node's report, in seconds."""
CONTROL_S = 0.3
"""Period in which steps of roll-outs are considered, in seconds."""
TIDY_S = 1.0
"""Period in which what was learnt of departed servers is dropped."""
KEY_MARGIN_S = 0.4
"""Time by which keys are given up before the bound, in seconds; covers the
way from the check to the server."""
ENTRY_TTL_S = 1.5
"""Time for which callers may keep addresses unless the deployment allows
less, in seconds: short, so that a lost node is soon avoided."""
LINGER_S = 2.6
"""Time after a signal to stop in which new requests are still taken, in
seconds: callers keep an address for its time to live, and what is taken so
soon has the rest of the grace to end."""
KILL_MARGIN_S = 0.4
"""Time before the kill at which the process ends by itself, in seconds."""
ANNOUNCE_S = 3.0
"""Longest wait for a configuration before the first report, in seconds."""
CHECK_S = 0.1
"""Period of checks during a stop, in seconds."""
BUDGET_USE = 0.8
"""Part of the fleet's retry budget that nodes use; the rest covers uneven
load, since shares follow the number of nodes."""

LEAST_SAVED = 2.5
"""Repeats that each node may save up in any fleet: a weak answer costs one and
must leave one for failures, so with less no larger model is ever asked. With
the share of `BUDGET_USE`, 90 nodes stay within an allowance of 220."""

log = logging.getLogger(__name__)


def saved_repeats(bounds: RoutingBounds, nodes: int, in_window: int) -> float:
    """Returns the repeats that a node may save up.

    Args:
        bounds: Bounds of the deployment.
        nodes: Nodes that share the fleet's allowance.
        in_window: This node's own requests in the budget's window; what its
            share leaves of their part of the budget may be saved up too.
    """
    saved = bounds.retry_allowance * BUDGET_USE / nodes
    rest = bounds.retry_share * (1 - BUDGET_USE)
    return max(LEAST_SAVED, saved + rest * in_window)


class RecordCodec(
    OperatorDecoder, ServerDecoder, StatusDecoder, StatusEncoder, Protocol
):
    """Translates all records of the store."""


@dataclasses.dataclass(frozen=True)
class TopicNames:
    """Names of the topics that others write or read."""

    operator: str
    servers: str
    status: str


class RoutedNode:
    """One node; the border calls `router`, `is_ready` and `entries`."""

    def __init__(
        self,
        settings: RoutedNodeSettings,
        store: KeyedStore,
        codec: RecordCodec,
        topics: TopicNames,
        headers: HeaderCodec,
        peers: PeerPort,
        decisions: DecisionLog,
    ):
        """Wires all parts; `start` begins to follow the store."""
        self.settings = settings
        self.metrics = TextMetrics()
        self.timers = TimerService(settings.seed)
        self.random = random.Random(settings.seed)
        self.incarnation = uuid.uuid4().hex[:12]
        self.leaving = False
        self.asked_to_stop = Event()
        self.config = ConfigSource(codec)
        gate = StoreGate()
        self.config_follower = TopicFollower(
            store, topics.operator, self.config, CONFIG_WAIT_S, gate=gate
        )
        self.servers = ServerDirectory(
            codec, lambda: self.server_follower.regained_at
        )
        self.server_follower = TopicFollower(
            store,
            topics.servers,
            self.servers,
            SERVERS_WAIT_S,
            SERVERS_PAUSE_S,
            gate,
        )
        self.fleet = FleetView(store, self.report, gate)
        self.rollouts = RolloutTracker(
            codec,
            lambda: self.config.orders,
            self.fleet.evidence,
            self.fleet.age_s,
        )
        self.status_follower = TopicFollower(
            store, topics.status, self.rollouts, STATUS_WAIT_S, gate=gate
        )
        self.followers = [
            self.config_follower,
            self.server_follower,
            self.status_follower,
        ]
        self.relay = Relay(self.followers, self.fleet, lambda: self.leaving)
        self.following = RelayedFollowing(
            settings.name, settings.zone, self.followers, self.fleet, peers
        )
        self.controller = RolloutController(
            store,
            self.status_follower,
            self.rollouts,
            codec,
            settings.name,
            self.fleet.nodes,
            self.running_everywhere,
        )
        self.health = ServerHealthTracker(boot_seconds)
        self.queues = EngineQueues(boot_seconds)
        self.upstreams = Upstreams(headers)
        self.budget = RetryBudget(seed=settings.seed)
        self.sendings_seen: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.sessions = SessionVersions(boot_seconds, settings.bounds.session_s)
        tools = ExchangeTools(
            port=self.upstreams,
            placement=Placement(
                settings.zone,
                self.health,
                self.queues,
                self.servers.started_at,
                settings.seed,
            ),
            health=self.health,
            budget=self.budget,
            models=ModelChoice(),
            queues=self.queues,
            metrics=self.metrics,
            clock=boot_seconds,
            record_outcome=self.rollouts.note,
            record_session=self.sessions.note,
            random=self.random,
        )
        bounds = settings.bounds
        self.router = Router(
            self.config,
            self.config_follower.age_s,
            bounds.key_withdrawal_s - KEY_MARGIN_S,
            self.servers,
            self.rollouts,
            self.sessions,
            tools,
            decisions,
            self.metrics,
            settings.seed,
        )

    def start(self) -> None:
        """Follows the store and begins the periodic tasks."""
        self.share_budget()
        for follower in self.followers:
            follower.start()
        self.timers.every("report", REPORT_S, self.exchange)
        self.timers.every("rollouts", CONTROL_S, self.control)
        self.timers.every("tidy", TIDY_S, self.tidy)
        gevent.spawn(self.announce)
        log.info(
            "node %s starts",
            self.settings.name,
            extra={"event": "start", "incarnation": self.incarnation},
        )

    def announce(self) -> None:
        """Reports as soon as callers may be sent here, then finds a relay."""
        began = boot_seconds()
        while not self.is_ready() and boot_seconds() - began < ANNOUNCE_S:
            gevent.sleep(CHECK_S / 5)
        self.fleet.exchange()
        self.following.start()

    def exchange(self) -> None:
        """Reports to the store, unless a relay does so for this node."""
        if self.following.relay is None:
            self.fleet.exchange()
        self.share_budget()

    def control(self) -> None:
        """Considers the next steps of roll-outs."""
        if self.controller.is_busy() and self.is_ready():
            self.controller.step()

    def tidy(self) -> None:
        """Drops what was learnt of servers that are gone."""
        listed = [known.entry for known in self.servers.known.values()]
        self.health.keep_only(listed)
        lives = {entry.instance_key for entry in listed}
        self.queues.keep_only(lives)
        self.upstreams.drop(lives)

    def share_budget(self) -> None:
        """Takes this node's part of the fleet's retry budget."""
        bounds = self.settings.bounds
        nodes = max(1, len(self.fleet.nodes()))
        sent, now = self.budget.first_sendings, boot_seconds()
        self.sendings_seen.append((now, sent))
        while now - self.sendings_seen[0][0] > bounds.retry_window_s:
            self.sendings_seen.popleft()
        in_window = sent - self.sendings_seen[0][1]
        self.budget.share = bounds.retry_share * BUDGET_USE
        self.budget.burst = saved_repeats(bounds, nodes, in_window)

    def is_ready(self) -> bool:
        """Tells whether callers may be sent here."""
        return (
            not self.leaving
            and self.config.config is not None
            and self.server_follower.position is not None
            and self.status_follower.position is not None
        )

    def entries(self, zone: str, region: str) -> list[str]:
        """Returns addresses for a caller in `zone`."""
        return choose_entries(self.fleet.nodes(), zone, region, self.random)

    def entry_ttl_s(self) -> float:
        """Returns the time for which callers may keep addresses, in seconds."""
        return min(ENTRY_TTL_S, self.settings.bounds.entry_ttl_s)

    def limits(self) -> CallerLimits:
        """Returns the bounds on what callers send."""
        config = self.config.config
        return config.limits if config is not None else CallerLimits()

    def report(self) -> NodeReport:
        """Returns what this node tells the others."""
        settings = self.settings
        entry = NodeEntry(
            node=settings.name,
            incarnation=self.incarnation,
            address=settings.addresses.callers,
            peer_address=settings.addresses.peers,
            zone=settings.zone,
            region=settings.region,
            serving=self.is_ready(),
        )
        return NodeReport(
            entry, self.rollouts.own_evidence(), self.running_by_version()
        )

    def running_by_version(self) -> RunningByService:
        """Returns service -> version -> requests in flight."""
        running: RunningByService = {}
        for known in self.servers.known.values():
            own_requests = self.health.get_or_create(known.entry).own_requests
            if own_requests:
                versions = running.setdefault(known.entry.service, {})
                version = known.entry.version
                versions[version] = versions.get(version, 0) + own_requests
        return running

    def running_everywhere(self) -> RunningByService:
        """Returns the requests in flight at all nodes."""
        return sum_running([self.running_by_version(), self.fleet.running()])

    def take_settings(self, settings: RoutedNodeSettings) -> None:
        """Takes changed settings; addresses hold until the next start."""
        if settings.addresses != self.settings.addresses:
            log.warning(
                "changed addresses are in force after the next start",
                extra={"event": "reload", "outcome": "partly"},
            )
        self.settings = dataclasses.replace(
            settings, addresses=self.settings.addresses
        )
        bounds = settings.bounds
        self.router.key_age_limit_s = bounds.key_withdrawal_s - KEY_MARGIN_S
        self.sessions.session_s = bounds.session_s
        self.share_budget()
        logging.getLogger().setLevel(settings.log_level)
        log.info(
            "settings reloaded", extra={"event": "reload", "outcome": "taken"}
        )

    def stop(
        self,
        requests_running: Callable[[], int],
        stop_accepting: Callable[[], None],
    ) -> None:
        """Leaves without cutting a request that ends within the grace.

        Args:
            requests_running: Returns the requests being read or answered.
            stop_accepting: Closes the listener and idle connections.
        """
        began = boot_seconds()
        self.leaving = True
        log.info("node %s leaves", self.settings.name, extra={"event": "stop"})
        gevent.spawn(self.following.tell_now)
        grace = self.settings.bounds.stop_grace_s - KILL_MARGIN_S
        accepting = True
        while boot_seconds() - began < grace:
            gevent.sleep(CHECK_S)
            if accepting and boot_seconds() - began > LINGER_S:
                accepting = False
                stop_accepting()
            if not accepting and not requests_running():
                break
        with gevent.Timeout(KILL_MARGIN_S / 2, False):
            self.fleet.withdraw()
        log.info(
            "node %s stopped",
            self.settings.name,
            extra={"event": "stopped", "running": requests_running()},
        )
