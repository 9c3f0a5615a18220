"""Builds the components of a node that work with peers and the log."""

import dataclasses

from amaranthlug.coordination.bill_copies import BillCopies
from amaranthlug.coordination.billing import LogBiller
from amaranthlug.coordination.config_view import ConfigView
from amaranthlug.coordination.exchange import Exchange
from amaranthlug.coordination.lease_events import LeaseEvents
from amaranthlug.coordination.limits import SharedLimits
from amaranthlug.coordination.log_follower import LogFollower
from amaranthlug.coordination.log_writer import LogWriter
from amaranthlug.coordination.membership import Membership
from amaranthlug.coordination.peers import PeerHandlers
from amaranthlug.coordination.rumours import RumourSpreader
from amaranthlug.coordination.run_register import SlotRunRegister
from amaranthlug.coordination.session_pins import SlotSessionPins
from amaranthlug.coordination.slot_claims import SlotClaims
from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.coordination.snapshots import SnapshotWriter
from amaranthlug.coordination.timers import TimerService
from amaranthlug.coordination.vm_watch import VmWatch
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.leases import ALL_SLOTS
from amaranthlug.state.members import Member
from amaranthlug.state.settings import NodeSettings
from amaranthlug.transport.peer_auth import PeerKeys, PeerReceiver
from amaranthlug.transport.peer_client import HttpPeerLink
from amaranthlug.transport.platform_clients import HttpLogService, HttpVmList
from amaranthlug.transport.statsd_metrics import StatsdMetrics

SNAPSHOT_SLOT = 65
"""Slot whose lease the snapshot writer must hold."""


@dataclasses.dataclass
class FleetParts:
    """Membership, log feed, configuration, slots, bills and limits."""

    me: Member
    timers: TimerService
    metrics: StatsdMetrics
    link: HttpPeerLink
    receiver: PeerReceiver
    vms: VmWatch
    members: Membership
    exchange: Exchange
    rumours: RumourSpreader
    follower: LogFollower
    writer: LogWriter
    config: ConfigView
    snapshots: SnapshotWriter
    slots: SlotLeaseManager
    lease_events: LeaseEvents
    claims: SlotClaims
    pins: SlotSessionPins
    runs: SlotRunRegister
    copies: BillCopies
    biller: LogBiller
    limits: SharedLimits

    @classmethod
    def from_settings(cls, settings: NodeSettings, me: Member) -> "FleetParts":
        """Builds all components; nothing runs before `start`."""
        timings, bounds = settings.timings, settings.bounds
        timers = TimerService(settings.seed)
        metrics = StatsdMetrics.from_config(settings.statsd)
        handlers = PeerHandlers()
        keys = PeerKeys(settings.peers.keys)
        link = HttpPeerLink(keys, me, metrics, settings.peers.via)
        vm_list_url = settings.platform.vm_list
        vms = VmWatch(
            HttpVmList(vm_list_url) if vm_list_url else None,
            timers,
            me.address,
        )
        members = Membership(
            me,
            link,
            handlers,
            timers,
            vms,
            timings,
            settings.peers.seeds,
            settings.zone_order,
            bounds.members,
            settings.seed,
        )
        exchange = Exchange(link, members, handlers, timers, timings.exchange_s)
        rumours = RumourSpreader(link, members, handlers, metrics)
        members.connect_rumours(rumours)
        log_service = HttpLogService(settings.platform.log)
        follower = LogFollower(
            log_service, link, handlers, members, timers, metrics, timings
        )
        writer = LogWriter(log_service, follower.position, timers, metrics)
        members.subscribe_to_log(follower)
        config = ConfigView(
            follower,
            writer,
            rumours,
            members,
            timers,
            metrics,
            timings.confirm_limit_s,
        )
        follower.snapshot_sources.append(config.snapshot)
        follower.is_incomplete = config.is_incomplete
        slots = SlotLeaseManager(
            members, link, handlers, follower, timers, metrics, timings
        )
        snapshots = SnapshotWriter(
            follower,
            writer,
            members,
            timers,
            lambda: config.state,
            lambda: slots.fence(SNAPSHOT_SLOT) is not None,
        )
        claims = SlotClaims(slots, writer, members.is_certainly_gone)

        def is_valid_pin(organisation: str, version: VersionId) -> bool:
            record = config.catalog().organisations.get(organisation)
            allowed = record is not None and version in record.allowed
            return allowed and not config.is_withdrawn(version)

        pins = SlotSessionPins(slots, handlers, is_valid_pin, bounds.pins)
        runs = SlotRunRegister(slots, handlers, bounds.runs)
        copies = BillCopies(
            members,
            handlers,
            follower,
            writer,
            timers,
            metrics,
            bounds.bill_entries,
        )
        biller = LogBiller(
            members,
            link,
            follower,
            writer,
            copies,
            timers,
            metrics,
            timings,
            bounds.bill_entries,
        )
        limits = SharedLimits(
            members,
            timers,
            metrics,
            follower,
            bounds.in_flight,
            seed=settings.seed,
        )
        for section in (members, follower, config, limits):
            exchange.register(section)
        receiver = PeerReceiver(keys, handlers, me, metrics)
        return cls(
            me=me,
            timers=timers,
            metrics=metrics,
            link=link,
            receiver=receiver,
            vms=vms,
            members=members,
            exchange=exchange,
            rumours=rumours,
            follower=follower,
            writer=writer,
            config=config,
            snapshots=snapshots,
            slots=slots,
            lease_events=LeaseEvents(slots, ALL_SLOTS, timers, metrics),
            claims=claims,
            pins=pins,
            runs=runs,
            copies=copies,
            biller=biller,
            limits=limits,
        )

    def start(self) -> None:
        """Starts all periodic tasks."""
        for component in (
            self.vms,
            self.members,
            self.exchange,
            self.writer,
            self.follower,
            self.config,
            self.snapshots,
            self.slots,
            self.lease_events,
            self.claims,
            self.pins,
            self.runs,
            self.copies,
            self.biller,
        ):
            component.start()
