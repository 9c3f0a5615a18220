"""A node that routes requests: wiring, start, periodic tasks and stop."""

import collections
import dataclasses
import logging
import math
import random
import uuid
from collections.abc import Callable
from typing import Protocol

import gevent
from gevent.event import Event

from amaranthlug.coordination import supervised
from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.circuit_breaker import StoreCircuitBreaker
from amaranthlug.coordination.routing.config_source import (
    ConfigSource,
    OperatorDecoder,
)
from amaranthlug.coordination.routing.counted_store import CountedStore
from amaranthlug.coordination.routing.entry_directory import (
    EntryDirectory,
    LifeAnswer,
    LifePort,
    LifeRequest,
)
from amaranthlug.coordination.routing.fleet_suspects import (
    FleetSuspects,
    NoticePort,
)
from amaranthlug.coordination.routing.fleet_view import (
    REPORT_PERIOD_S,
    FleetView,
)
from amaranthlug.coordination.routing.grant_owners import (
    USAGE_REPORT_PERIOD_S,
    GrantOwners,
    GrantPort,
)
from amaranthlug.coordination.routing.keyed_store import KeyedStore
from amaranthlug.coordination.routing.relay import Relay
from amaranthlug.coordination.routing.relay_client import RelayClient
from amaranthlug.coordination.routing.relay_messages import PeerPort
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
from amaranthlug.coordination.routing.session_owners import (
    ClaimPort,
    SessionOwners,
)
from amaranthlug.coordination.routing.topic_follower import TopicFollower
from amaranthlug.coordination.timers import TimerService
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.routing.crash_watch import CrashWatch
from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.exchange import ExchangeTools
from amaranthlug.protocol.routing.held_bytes import HeldBytes
from amaranthlug.protocol.routing.model_choice import ModelChoice
from amaranthlug.protocol.routing.peer_choice import PeerChoice
from amaranthlug.protocol.routing.placement import Placement
from amaranthlug.protocol.routing.request_log import DecisionLog
from amaranthlug.protocol.routing.router import Router
from amaranthlug.protocol.routing.server_ends import ServerEnds
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.protocol.routing.server_links import ServerLinks
from amaranthlug.protocol.routing.server_paths import (
    PeerPathPort,
    ServerPaths,
)
from amaranthlug.protocol.routing.session_versions import SessionVersions
from amaranthlug.protocol.routing.version_speed import VersionSpeeds
from amaranthlug.state.routing.cold_servers import ColdServers
from amaranthlug.state.routing.config import CallerLimits, RoutedService
from amaranthlug.state.routing.fleet import (
    NodeEntry,
    NodeReport,
    RunningByService,
    sum_running,
)
from amaranthlug.state.routing.grace_period import GracePeriod
from amaranthlug.state.routing.server_statements import ServerStatements
from amaranthlug.state.routing.servers import ServerEntry
from amaranthlug.state.routing.settings import (
    RoutedNodeSettings,
    RoutingBounds,
)
from amaranthlug.transport.routing.http_client import HttpConnection
from amaranthlug.transport.routing.peer_paths import PeerPaths, path_limit
from amaranthlug.transport.routing.text_metrics import TextMetrics
from amaranthlug.transport.routing.upstreams import (
    HeaderCodec,
    UpstreamPool,
    open_connection,
)

CONFIG_READ_WAIT_S = 1.0
"""Maximum wait of one read of the configuration, in seconds; two reads and a
reconnection fit into the time after which a withdrawn key must not work."""
SERVERS_READ_WAIT_S = 1.2
"""Maximum wait of one read of server entries, in seconds."""
SERVERS_READ_PAUSE_S = 0.35
"""Pause between reads of server entries, in seconds. Each server writes its
entry about once a second, and a leaving one must get no new request after
2 s."""
STATUS_READ_WAIT_S = 4.0
"""Maximum wait of one read of the roll-out states, in seconds."""
ROLLOUT_PERIOD_S = 0.3
"""Period of the checks for due roll-out phases, in seconds."""
LINK_PERIOD_S = 0.25
"""Period in which due probes of lost links are started, in seconds."""
PRUNE_PERIOD_S = 1.0
"""Period at which outdated state is dropped and gauges are updated, in
seconds."""
KEY_WITHDRAWAL_MARGIN_S = 0.4
"""Time before the bound on key withdrawal at which unconfirmed keys are no
longer accepted, in seconds; covers the time from the check until the request
reaches the server."""
MAX_ENTRY_TTL_S = 1.5
"""Maximum time for which callers may cache node addresses, in seconds; the
deployment may set less. Short, so that callers soon avoid a lost node."""
KILL_MARGIN_S = 0.4
"""Time before the end of the grace period, when the process is killed, at which
it exits by itself, in seconds."""
INITIAL_RELAY_WAIT_S = 0.15
"""Longest wait for the topics from a relay at the start, in seconds, before
this node reads them from the store itself."""
ANNOUNCE_WAIT_S = 3.0
"""Maximum wait for readiness before the first report, in seconds."""
FLEET_KNOWN_S = 3.0
"""Time after its start from which a node knows how many others there are, in
seconds; reports are written and read once a second."""
MAX_FLEET_NODES = 390
"""Nodes of the largest fleet that is planned."""
CHECK_PERIOD_S = 0.1
"""Period of the checks for remaining requests during a stop, in seconds; the
readiness check at the start runs five times as often."""
RETRY_BUDGET_USAGE = 0.8
"""Share of the fleet's retry budget that is divided evenly among the nodes; the
rest covers uneven load."""

MIN_RETRY_BURST = 2.5
"""Minimum retry burst of a node, in retries. Escalation to a larger model costs
one retry and must leave one for failures, so with less it would never happen.
With `RETRY_BUDGET_USAGE`, 90 nodes stay within an allowance of 220."""

log = logging.getLogger(__name__)


def retry_burst(bounds: RoutingBounds, nodes: int, in_window: int) -> float:
    """Returns the number of retries that a node may accumulate.

    Args:
        bounds: Bounds of the deployment.
        nodes: Number of nodes that share the fleet's allowance.
        in_window: Number of this node's requests in the budget window; the
            part of their retry share that `RETRY_BUDGET_USAGE` leaves unused
            is added to the burst.
    """
    burst_share = bounds.retry_allowance * RETRY_BUDGET_USAGE / nodes
    spare_share = bounds.retry_share * (1 - RETRY_BUDGET_USAGE)
    return max(MIN_RETRY_BURST, burst_share + spare_share * in_window)


class RecordCodec(
    OperatorDecoder, ServerDecoder, StatusDecoder, StatusEncoder, Protocol
):
    """Encodes and decodes all records of the store."""


class NodePort(
    PeerPort,
    ClaimPort,
    NoticePort,
    GrantPort,
    LifePort,
    PeerPathPort[HttpConnection],
    Protocol,
):
    """Sends all messages to other nodes."""


@dataclasses.dataclass(frozen=True)
class TopicNames:
    """Names of the topics shared with operators and servers."""

    operator: str
    servers: str
    status: str


class RoutedNode:
    """One node; listeners use `router`, `is_ready` and `entry_addresses`."""

    def __init__(
        self,
        settings: RoutedNodeSettings,
        store: KeyedStore,
        codec: RecordCodec,
        topics: TopicNames,
        headers: HeaderCodec,
        peers: NodePort,
        decisions: DecisionLog,
    ):
        """Wires all components; `start` begins to read the store."""
        self.settings = settings
        self.metrics = TextMetrics()
        self.timers = TimerService(settings.seed)
        self.random = random.Random(settings.seed)
        self.incarnation = uuid.uuid4().hex[:12]
        self.leaving = False
        self.grace = GracePeriod(boot_seconds)
        self.announced = False
        self.caught_up = False
        self.live_nodes = 1
        self.created_at = boot_seconds()
        self.stop_requested = Event()
        store = CountedStore(store, self.metrics)
        self.store_era = store.era
        self.config = ConfigSource(codec)
        breaker = StoreCircuitBreaker()
        self.config_follower = TopicFollower(
            store,
            topics.operator,
            self.config,
            CONFIG_READ_WAIT_S,
            breaker=breaker,
        )
        self.servers = ServerDirectory(
            codec,
            lambda: self.server_follower.outage_ended_at,
            evacuations=self.config.evacuations,
        )
        self.server_follower = TopicFollower(
            store,
            topics.servers,
            self.servers,
            SERVERS_READ_WAIT_S,
            SERVERS_READ_PAUSE_S,
            breaker,
        )
        self.fleet = FleetView(
            store,
            self.node_report,
            breaker,
            describe_entry=self.node_entry,
        )
        self.directory = EntryDirectory(
            settings.name,
            self.fleet.nodes,
            self.fleet.signs,
            peers,
            self.has_confirmed_config,
            self.metrics,
            self.random,
        )
        self.suspects = FleetSuspects(
            settings.name, self.fleet, peers, self.metrics
        )
        self.rollouts = RolloutTracker(
            codec,
            lambda: self.config.orders,
            self.fleet.evidence,
            self.fleet.age_s,
        )
        self.status_follower = TopicFollower(
            store,
            topics.status,
            self.rollouts,
            STATUS_READ_WAIT_S,
            breaker=breaker,
        )
        self.followers = [
            self.config_follower,
            self.server_follower,
            self.status_follower,
        ]
        for follower in (*self.followers, self.fleet.follower):
            self.store_era.subscribe(follower.begin_restore)
        self.relay = Relay(
            self.followers, self.fleet, self.store_era, lambda: self.leaving
        )
        self.relay_client = RelayClient(
            settings.name,
            settings.zone,
            self.followers,
            self.fleet,
            self.store_era,
            peers,
        )
        self.relay.is_fed = self.relay_client.is_fed
        self.controller = RolloutController(
            store,
            self.status_follower,
            self.rollouts,
            codec,
            settings.name,
            self.fleet.nodes,
            self.fleet_running,
        )
        self.health = ServerHealthTracker(boot_seconds)
        self.queues = EngineQueues(boot_seconds)
        self.links = ServerLinks(self.metrics, rng=self.random)
        self.paths = ServerPaths(
            self.links,
            PeerChoice(
                settings.name,
                settings.region,
                self.fleet.nodes,
                rng=self.random,
            ),
            peers,
            open_connection,
            self.metrics,
        )
        self.paths.listed = self.servers.listed
        self.upstreams = UpstreamPool(headers, self.paths)
        self.peer_paths = PeerPaths(
            self.paths,
            self.servers,
            self.fleet.nodes,
            lambda: self.leaving,
            self.upstreams.is_still_serving,
            path_limit(settings.max_descriptors),
        )
        self.statements = ServerStatements(boot_seconds)
        self.grants = GrantOwners(
            settings.name,
            self.fleet.nodes,
            self.statements,
            peers,
            self.metrics,
        )
        self.server_ends = ServerEnds(
            self.upstreams, self.health, self.servers, self.metrics
        )
        self.cold = ColdServers(
            settings.name,
            self.find_service,
            self.count_nodes,
            self.servers.warm_up_stated_at,
            boot_seconds,
        )
        self.budget = RetryBudget(seed=settings.seed)
        self.attempt_counts: collections.deque[tuple[float, int]] = (
            collections.deque()
        )
        self.session_owners = SessionOwners(
            settings.name, self.fleet.nodes, peers, self.metrics
        )
        self.sessions = SessionVersions(
            boot_seconds, settings.bounds.session_s, self.session_owners
        )
        tools = ExchangeTools(
            port=self.upstreams,
            placement=Placement(
                settings.zone,
                self.health,
                self.queues,
                self.servers.warm_up_stated_at,
                settings.seed,
                settings.name,
                settings.engines_per_node,
            ),
            health=self.health,
            budget=self.budget,
            models=ModelChoice(),
            queues=self.queues,
            crashes=CrashWatch(self.server_ends, self.suspects, self.metrics),
            speeds=VersionSpeeds(
                boot_seconds, self.rollouts.target_of, self.rollouts.count
            ),
            held_bytes=HeldBytes.from_memory(settings.memory_mb),
            statements=self.statements,
            grants=self.grants,
            cold=self.cold,
            evacuations=self.config.evacuations,
            grace=self.grace,
            metrics=self.metrics,
            clock=boot_seconds,
            record_outcome=self.rollouts.count_answer,
            record_session=self.sessions.record_version,
            random=self.random,
        )
        bounds = settings.bounds
        self.router = Router(
            self.config,
            self.config_age_s,
            bounds.key_withdrawal_s - KEY_WITHDRAWAL_MARGIN_S,
            self.servers,
            self.rollouts,
            self.sessions,
            tools,
            decisions,
            self.metrics,
            settings.seed,
        )
        self.subscribe()

    def subscribe(self) -> None:
        """Connects the parts that report changes to those that use them."""
        self.links.receive_loss = self.record_lost_link
        self.servers.receive_departure = self.server_ends.record_departure
        self.servers.receive_return = self.record_return
        self.health.receive_reachable = self.cold.record_return
        self.config.evacuations.receive_release = self.record_release

    def start(self) -> None:
        """Starts to read the store and the periodic tasks."""
        self.fleet.receive_brittle = self.statements.receive_brittleness
        self.update_retry_budget()
        self.timers.every("report", REPORT_PERIOD_S, self.sync_fleet)
        self.timers.every("links", LINK_PERIOD_S, self.paths.probe_lost)
        self.timers.every("grants", USAGE_REPORT_PERIOD_S, self.grants.report)
        self.timers.every("rollouts", ROLLOUT_PERIOD_S, self.advance_rollouts)
        for name, callback in (
            ("tidy", self.prune_departed_servers),
            ("suspects", self.suspects.drop_expired),
            ("losses", self.report_losses),
        ):
            self.timers.every(name, PRUNE_PERIOD_S, callback)
        supervised.spawn_supervised("join fleet", self.join_fleet)
        log.info(
            "node %s started",
            self.settings.name,
            extra={"event": "start", "incarnation": self.incarnation},
        )

    def join_fleet(self) -> None:
        """Loads the topics, reports when ready, then searches for a relay.

        Reports after `ANNOUNCE_WAIT_S` even if the node is not ready.
        """
        started_at = boot_seconds()
        loading = gevent.spawn(self.relay_client.load_from_relay)
        loading.join(INITIAL_RELAY_WAIT_S)
        self.config_follower.start()
        # A fleet that starts for the first time may wait for seconds until its
        # configuration is written, and needs nothing else until then.
        self.wait_at_start(started_at, lambda: self.config.config is not None)
        self.server_follower.start()
        self.status_follower.start()
        self.wait_at_start(started_at, self.is_ready)
        self.fleet.announce()
        self.announced = True
        self.relay_client.start()

    def wait_at_start(
        self, started_at: float, is_done: Callable[[], bool]
    ) -> None:
        """Waits for a step of the start, until `ANNOUNCE_WAIT_S` at most.

        Args:
            started_at: Boot clock at the start, in seconds.
            is_done: Returns whether the step is complete.
        """
        while not is_done() and boot_seconds() - started_at < ANNOUNCE_WAIT_S:
            if not self.fleet.follower.has_data():
                self.fleet.follower.read_once()
            gevent.sleep(CHECK_PERIOD_S / 5)

    def sync_fleet(self) -> None:
        """Reports to the store unless a relay does, and updates the budget.

        The first report is that of `join_fleet`.
        """
        if self.announced and self.relay_client.relay is None:
            self.fleet.sync()
        self.fleet.log_changes()
        self.directory.refresh()
        self.update_retry_budget()

    def advance_rollouts(self) -> None:
        """Corrects the ages of active roll-outs.

        Also announces sessions and writes due phases if this node is ready,
        and states that the store has lost.
        """
        if self.is_ready():
            self.controller.write_lost_statuses()
        if not self.controller.has_active_rollout():
            return
        self.rollouts.adopt_ages(self.fleet.rollout_ages())
        if self.is_ready():
            gevent.spawn(self.share_sessions)
            self.controller.write_due_phases()

    def share_sessions(self) -> None:
        """Keeps the owners of sessions informed while sessions must not move.

        Called again before it ends, it sends nothing twice.
        """
        for service in list(self.rollouts.orders()):
            split = self.rollouts.split(service, [])
            if split.keep_sessions:
                self.sessions.announce(service, split)
                self.session_owners.hand_over()

    def prune_departed_servers(self) -> None:
        """Drops health, queues and connections of servers that are gone."""
        listed = self.servers.listed()
        self.health.keep_only(listed)
        instance_keys = {entry.instance_key for entry in listed}
        self.queues.keep_only(instance_keys)
        self.upstreams.prune(instance_keys)
        self.links.keep_only(instance_keys)
        self.statements.keep_only(instance_keys)
        self.grants.keep_only(listed)
        self.cold.keep_only(instance_keys)
        if self.config.config is not None:
            self.grace.keep_only(
                {
                    r.name
                    for rs in self.config.config.routes.values()
                    for r in rs
                }
            )
        self.metrics.gauge("task_errors", supervised.errors.total())
        self.metrics.gauge("servers_brittle", len(self.statements.brittle))
        self.metrics.gauge("servers_limited", len(self.statements.limits))
        self.metrics.gauge("servers_cold", self.cold.count(listed))
        self.metrics.gauge(
            "zones_evacuated", len(self.config.evacuations.zones)
        )
        self.metrics.gauge("links_lost", len(self.links.lost))
        self.metrics.gauge("peer_paths_open", self.peer_paths.running)

    def find_service(self, name: str) -> RoutedService | None:
        """Returns the configuration of a service, None if it is unknown."""
        config = self.config.config
        return config.services.get(name) if config is not None else None

    def count_nodes(self) -> int:
        """Returns the number of live nodes, as known at the last report.

        A node that has just started does not know the others yet and takes
        the fleet for the largest one.
        """
        if boot_seconds() - self.created_at < FLEET_KNOWN_S:
            return max(self.live_nodes, MAX_FLEET_NODES)
        return max(1, self.live_nodes)

    def record_return(self, server: ServerEntry) -> None:
        """Records a server that is listed again after its removal."""
        self.cold.record_return(server)
        self.server_ends.record_return(server)

    def record_release(self, zone: str) -> None:
        """Takes the servers of a zone that was evacuated for cold."""
        for server in self.servers.listed():
            if server.zone == zone:
                self.cold.record_return(server)

    def record_lost_link(self, server: ServerEntry, hung: bool) -> None:
        """Clears a server of failures that a lost link explains.

        Args:
            server: The server, which other nodes reach.
            hung: Open connections to it are dead.
        """
        self.health.forgive(server)
        if hung:
            self.upstreams.drop_idle(server)

    def report_losses(self) -> None:
        """Updates the gauges of what the store has lost."""
        self.metrics.gauge(
            "store_records_lost",
            sum(follower.lost_records for follower in self.followers),
        )
        self.metrics.gauge(
            "store_states_rewritten", self.controller.rewritten_states
        )

    def update_retry_budget(self) -> None:
        """Sets this node's part of the fleet's retry budget."""
        bounds = self.settings.bounds
        self.live_nodes = len(self.fleet.nodes())
        nodes = max(1, self.live_nodes)
        attempt_total, now = self.budget.first_attempts, boot_seconds()
        self.attempt_counts.append((now, attempt_total))
        while now - self.attempt_counts[0][0] > bounds.retry_window_s:
            self.attempt_counts.popleft()
        in_window = attempt_total - self.attempt_counts[0][1]
        self.budget.share = bounds.retry_share * RETRY_BUDGET_USAGE
        self.budget.burst = retry_burst(bounds, nodes, in_window)

    def is_ready(self) -> bool:
        """Returns whether this node can serve callers."""
        return (
            not self.leaving
            and self.config.config is not None
            and self.has_caught_up()
            and self.server_follower.has_data()
            and self.status_follower.has_data()
        )

    def entry_addresses(self, zone: str, region: str) -> list[str]:
        """Returns the node addresses for a caller in `zone` of `region`."""
        return self.directory.addresses(zone, region)

    def answer_life(self, request: LifeRequest) -> LifeAnswer:
        """Tells another node whether this one serves callers."""
        return self.directory.answer(request, self.is_ready())

    def entry_ttl_s(self) -> float:
        """Returns how long callers may cache addresses, in seconds."""
        return min(MAX_ENTRY_TTL_S, self.settings.bounds.entry_ttl_s)

    def limits(self) -> CallerLimits:
        """Returns the limits on callers' requests, or the defaults."""
        config = self.config.config
        return config.limits if config is not None else CallerLimits()

    def node_entry(self) -> NodeEntry:
        """Returns this node's registration."""
        settings = self.settings
        return NodeEntry(
            node=settings.name,
            incarnation=self.incarnation,
            address=settings.addresses.callers,
            peer_address=settings.addresses.peers,
            zone=settings.zone,
            region=settings.region,
            serving=self.is_ready(),
            store_era=self.store_era.current,
            config_version=self.config_version(),
            reaches_servers=not self.links.is_cut(),
            capacity=settings.processor.capacity,
            grants_requests=True,
        )

    def config_version(self) -> int:
        """Returns the version of the configuration, -1 without one."""
        config = self.config.config
        return config.version if config is not None else -1

    def config_age_s(self) -> float:
        """Returns the age of the configuration, in seconds.

        It is infinite until the configuration is known not to be older than
        that of the other nodes.
        """
        if not self.has_caught_up():
            return math.inf
        return self.config_follower.age_s()

    def has_confirmed_config(self) -> bool:
        """Returns whether requests with keys are accepted at present."""
        return self.config_age_s() <= self.router.key_age_limit_s

    def has_caught_up(self) -> bool:
        """Returns whether this node has been as far as the others once.

        The store may have returned to an older copy before this node started.
        If it does not give out the reports in time, this is not checked.
        """
        if self.caught_up or self.config.config is None:
            return self.caught_up
        if self.fleet.follower.has_data():
            reported = self.fleet.reported_config_version()
            self.caught_up = self.config_version() >= reported
        elif boot_seconds() - self.created_at > ANNOUNCE_WAIT_S:
            self.caught_up = True
            log.warning(
                "reports of other nodes are unreadable, taking configuration "
                "%s for the newest",
                self.config_version(),
                extra={"event": "config_unchecked"},
            )
        return self.caught_up

    def node_report(self) -> NodeReport:
        """Returns this node's report for the other nodes."""
        return NodeReport(
            self.node_entry(),
            self.rollouts.own_evidence(),
            self.running_by_version(),
            self.rollouts.own_ages(),
            self.suspects.reported_facts(),
            self.statements.reported_brittleness(),
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

    def fleet_running(self) -> RunningByService:
        """Returns the requests in flight at all nodes."""
        return sum_running([self.running_by_version(), self.fleet.running()])

    def apply_settings(self, settings: RoutedNodeSettings) -> None:
        """Applies changed settings; changed addresses need a restart."""
        if settings.addresses != self.settings.addresses:
            log.warning(
                "changed addresses take effect after a restart",
                extra={"event": "reload", "outcome": "partly"},
            )
        self.settings = dataclasses.replace(
            settings, addresses=self.settings.addresses
        )
        bounds = settings.bounds
        self.router.key_age_limit_s = (
            bounds.key_withdrawal_s - KEY_WITHDRAWAL_MARGIN_S
        )
        self.sessions.session_s = bounds.session_s
        self.update_retry_budget()
        logging.getLogger().setLevel(settings.log_level)
        log.info(
            "settings reloaded", extra={"event": "reload", "outcome": "taken"}
        )

    def stop(
        self,
        requests_running: Callable[[], int],
        stop_accepting: Callable[[], None],
    ) -> None:
        """Stops without cutting requests that end within the grace period.

        Args:
            requests_running: Returns the number of requests being read or
                answered, those of other nodes that use its paths included.
            stop_accepting: Closes the listener and idle connections.
        """
        self.leaving = True
        self.grace.begin(self.settings.bounds.stop_grace_s - KILL_MARGIN_S)
        log.info(
            "node %s is stopping", self.settings.name, extra={"event": "stop"}
        )
        gevent.spawn(self.relay_client.report_now)
        while self.grace.is_accepting() and not self.grace.is_over():
            gevent.sleep(CHECK_PERIOD_S)
        stop_accepting()
        self.wait_for_requests(requests_running)
        with gevent.Timeout(KILL_MARGIN_S / 2, False):
            self.fleet.withdraw()
        # One may have arrived between the count and the end of its connection.
        self.wait_for_requests(requests_running)
        log.info(
            "node %s stopped",
            self.settings.name,
            extra={"event": "stopped", "running": requests_running()},
        )

    def wait_for_requests(self, requests_running: Callable[[], int]) -> None:
        """Waits until no request runs, or the grace period is over."""
        while not self.grace.is_over():
            gevent.sleep(CHECK_PERIOD_S)
            if not requests_running():
                return
