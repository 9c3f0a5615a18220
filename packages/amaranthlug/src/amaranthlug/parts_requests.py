"""Builds the components that choose versions and answer requests."""

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

DRIVER_SLOT = 64
"""Slot whose lease the roll-out driver must hold."""


@dataclasses.dataclass
class RolloutLease:
    """Implements `DriverLease` with the lease of `DRIVER_SLOT`."""

    fleet: FleetParts

    def fence(self) -> int | None:
        """Returns the fencing token, or None if the lease is not valid."""
        return self.fleet.slots.fence(DRIVER_SLOT)


@dataclasses.dataclass
class ChoiceParts:
    """Evidence, roll-outs, and the choice of versions and servers."""

    evidence: Evidence
    evidence_exchange: EvidenceExchange
    ratings: RatingCollector
    rollouts: RolloutStates
    withdrawal_watch: WithdrawalWatch
    suspects: SuspectRegister
    servers: LoadServerChooser
    poller: LoadPoller
    versions: CostQualityChooser
    driver: RolloutDriver
    evidence_snapshots: EvidenceSnapshotWriter

    @classmethod
    def from_settings(
        cls, settings: NodeSettings, fleet: FleetParts, engine: HttpEngine
    ) -> "ChoiceParts":
        """Builds all components; nothing runs before `start`."""
        now, metrics = fleet.timers.now, fleet.metrics
        incarnation = fleet.me.incarnation
        evidence = Evidence(incarnation)
        evidence_exchange = EvidenceExchange(evidence, fleet.members)
        rating_service = HttpRatingService(settings.platform.rating)
        ratings = RatingCollector(
            rating_service, evidence_exchange, metrics, now
        )
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

        withdrawal_watch = WithdrawalWatch(
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
            withdrawal_watch,
            UnprovenQuota(fleet.members, ratings, withdrawal_watch),
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
            withdrawal_watch,
            RolloutLease(fleet),
            fleet.writer,
            fleet.follower,
            EngineOrderSender(engine, incarnation),
            HttpWeightStore(settings.platform.weights),
            metrics,
            now,
            incarnation,
        )
        evidence_snapshots = EvidenceSnapshotWriter(
            evidence,
            fleet.follower,
            fleet.writer,
            fleet.timers,
            lambda: fleet.slots.fence(SNAPSHOT_SLOT) is not None,
        )
        fleet.exchange.register(evidence_exchange)
        poller = LoadPoller(fleet.config, engine, servers, metrics)
        return cls(
            evidence=evidence,
            evidence_exchange=evidence_exchange,
            ratings=ratings,
            rollouts=rollouts,
            withdrawal_watch=withdrawal_watch,
            suspects=suspects,
            servers=servers,
            poller=poller,
            versions=versions,
            driver=driver,
            evidence_snapshots=evidence_snapshots,
        )

    def start(self, fleet: FleetParts) -> None:
        """Starts all periodic tasks."""
        for component in (
            self.ratings,
            self.withdrawal_watch,
            self.poller,
            self.versions,
            self.driver,
            self.evidence_snapshots,
        ):
            component.start(fleet.timers)


@dataclasses.dataclass
class RequestParts:
    """The path of chat requests and of calls of plain services."""

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
        """Builds all components of the request path."""
        latencies = TokenLatencies()
        budget = RetryBudget(seed=settings.seed)
        admission = Admission(
            fleet.config,
            fleet.biller,
            fleet.limits,
            fleet.metrics,
            latencies,
            settings.bounds.in_flight,
        )
        sender = Sender(
            fleet.config,
            engine,
            choice.versions,
            choice.servers,
            budget,
            latencies,
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
