"""Builds the parts of a node that choose versions and answer requests."""

import dataclasses

from amaranthlug.coordination.evidence_exchange import EvidenceExchange
from amaranthlug.coordination.evidence_snapshots import EvidenceSnapshotWriter
from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.coordination.rollout_driver import RolloutDriver
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.parts_fleet import SNAPSHOT_SLOT, FleetParts
from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.dispatch import Dispatcher
from amaranthlug.protocol.engine_orders import EngineOrderSender
from amaranthlug.protocol.load_poller import LoadPoller
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.sender import Sender
from amaranthlug.protocol.server_choice import LoadServerChooser
from amaranthlug.protocol.service_calls import RandomPicker, ServiceCalls
from amaranthlug.protocol.suspects import SuspectRegister
from amaranthlug.protocol.token_latency import TokenLatencies
from amaranthlug.protocol.unproven_quota import UnprovenQuota
from amaranthlug.protocol.version_choice import CostQualityChooser
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.evidence import Evidence
from amaranthlug.state.rollouts import RolloutStates
from amaranthlug.state.settings import NodeSettings
from amaranthlug.transport.engine_client import HttpEngine
from amaranthlug.transport.platform_clients import (
    HttpRatingService,
    HttpWeightStore,
)
from amaranthlug.transport.service_client import HttpPlainService

ROLLOUT_SLOT = 64
"""Slot whose lease the driver of roll-outs holds."""


@dataclasses.dataclass
class RolloutLease:
    """Implements `DriverLease` by the lease of slot 64."""

    fleet: FleetParts

    def fence(self) -> int | None:
        """Returns the fencing token, None when the lease is not valid now."""
        return self.fleet.slots.fence(ROLLOUT_SLOT)


@dataclasses.dataclass
class ChoiceParts:
    """Evidence, choice of version and server, roll-outs."""

    evidence: Evidence
    pool: EvidenceExchange
    ratings: RatingCollector
    rollouts: RolloutStates
    watch: WithdrawalWatch
    suspects: SuspectRegister
    servers: LoadServerChooser
    poller: LoadPoller
    versions: CostQualityChooser
    driver: RolloutDriver
    keeper: EvidenceSnapshotWriter

    @classmethod
    def from_settings(
        cls, settings: NodeSettings, fleet: FleetParts, engine: HttpEngine
    ) -> "ChoiceParts":
        """Builds all parts; nothing runs before `start`."""
        now, metrics = fleet.timers.now, fleet.metrics
        incarnation = fleet.me.incarnation
        evidence = Evidence(incarnation)
        pool = EvidenceExchange(evidence, fleet.members)
        rating_service = HttpRatingService(settings.platform.rating)
        ratings = RatingCollector(rating_service, pool, metrics, now)
        rollouts = RolloutStates()
        fleet.follower.subscribe(rollouts.apply)
        suspects = SuspectRegister(fleet.rumours, metrics, now, incarnation)
        servers = LoadServerChooser(
            fleet.config,
            fleet.members,
            suspects,
            metrics,
            now,
            settings.zone,
            settings.zone_order,
            lambda address: address in fleet.members.departing_upstreams(),
            settings.seed,
        )

        def epoch(version: VersionId) -> int:
            return fleet.config.withdrawals.epoch(str(version))

        watch = WithdrawalWatch(
            fleet.config,
            evidence,
            rollouts,
            fleet.config.withdraw,
            servers.block_version,
            metrics,
            epoch,
        )
        versions = CostQualityChooser(
            fleet.config,
            evidence,
            ratings,
            rollouts,
            watch,
            UnprovenQuota(fleet.members, ratings, watch),
            servers,
            metrics,
            now,
            settings.seed,
            completed=suspects.completed,
        )
        driver = RolloutDriver(
            fleet.config,
            rollouts,
            evidence,
            watch,
            RolloutLease(fleet),
            fleet.writer,
            fleet.follower,
            EngineOrderSender(engine, incarnation),
            HttpWeightStore(settings.platform.weights),
            metrics,
            now,
            incarnation,
        )
        keeper = EvidenceSnapshotWriter(
            evidence,
            fleet.follower,
            fleet.writer,
            fleet.timers,
            lambda: fleet.slots.fence(SNAPSHOT_SLOT) is not None,
        )
        fleet.exchange.register(pool)
        poller = LoadPoller(fleet.config, engine, servers, metrics)
        return cls(
            evidence=evidence,
            pool=pool,
            ratings=ratings,
            rollouts=rollouts,
            watch=watch,
            suspects=suspects,
            servers=servers,
            poller=poller,
            versions=versions,
            driver=driver,
            keeper=keeper,
        )

    def start(self, fleet: FleetParts) -> None:
        """Starts all periodic tasks."""
        for part in (
            self.ratings,
            self.watch,
            self.poller,
            self.versions,
            self.driver,
            self.keeper,
        ):
            part.start(fleet.timers)


@dataclasses.dataclass
class RequestParts:
    """The path of chat requests and of calls to plain services."""

    admission: Admission
    dispatcher: Dispatcher
    service_calls: ServiceCalls

    @classmethod
    def from_settings(
        cls,
        settings: NodeSettings,
        fleet: FleetParts,
        choice: ChoiceParts,
        engine: HttpEngine,
    ) -> "RequestParts":
        """Builds the request path."""
        pace = TokenLatencies()
        budget = RetryBudget(seed=settings.seed)
        admission = Admission(
            fleet.config,
            fleet.biller,
            fleet.limits,
            fleet.metrics,
            pace,
            settings.bounds.in_flight,
        )
        sender = Sender(
            fleet.config,
            engine,
            choice.versions,
            choice.servers,
            budget,
            pace,
            choice.suspects,
            fleet.metrics,
        )
        dispatcher = Dispatcher(
            fleet.config,
            choice.versions,
            fleet.pins,
            fleet.runs,
            fleet.biller,
            fleet.limits,
            admission,
            sender,
            choice.suspects,
            fleet.metrics,
        )
        picker = RandomPicker(
            fleet.config,
            settings.zone,
            lambda address: address in fleet.members.departing_upstreams(),
            settings.seed,
        )
        service_calls = ServiceCalls(
            fleet.config,
            picker,
            HttpPlainService(),
            fleet.runs,
            fleet.limits,
            admission,
            budget,
            fleet.metrics,
        )
        return cls(admission, dispatcher, service_calls)
