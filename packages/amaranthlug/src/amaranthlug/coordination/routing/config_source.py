"""Tracks the current routing configuration and roll-out orders."""

import logging
from collections import deque
from typing import Protocol

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.config import RoutingConfig
from amaranthlug.state.routing.evacuations import ZoneEvacuations
from amaranthlug.state.routing.rollout import RolloutOrder

MAX_PAST_ORDERS = 256
"""Most orders remembered, to tell those of an older copy from new ones."""

log = logging.getLogger(__name__)


class OperatorDecoder(Protocol):
    """Decodes records written by operators."""

    def config(self, record: KeyedRecord) -> RoutingConfig | None:
        """Returns the configuration, or None if the record holds another kind.

        Raises:
            ValueError: The record is malformed.
        """
        ...

    def order(self, record: KeyedRecord) -> RolloutOrder | None:
        """Returns the order, or None if the record holds another kind.

        Raises:
            ValueError: The record is malformed.
        """
        ...

    def evacuated_zone(self, record: KeyedRecord) -> str | None:
        """Returns the zone to which an evacuation or its removal applies.

        Returns None if the record holds another kind.
        """
        ...


class ConfigSource:
    """Keeps the newest valid configuration; never goes back to an older one.

    Attributes:
        config: The configuration in force.
        offset: Its offset in the topic, -1 if unknown since a restore.
        orders: Service -> its roll-out order in force.
        order_offsets: Service -> offset of its last order since a restore.
        past_orders: The last orders read, those in force included.
        lost_orders: Services whose order is missing in an older copy of the
            store and will be written again.
        writings: Service -> its order in force, once for each offset at which
            the operator wrote it.
        evacuations: Zones whose servers must get no requests.
    """

    def __init__(self, decoder: OperatorDecoder):
        """Starts without a configuration."""
        self.decoder = decoder
        self.config: RoutingConfig | None = None
        self.offset = -1
        self.orders: dict[str, RolloutOrder] = {}
        self.order_offsets: dict[str, int] = {}
        self.past_orders: deque[RolloutOrder] = deque(maxlen=MAX_PAST_ORDERS)
        self.lost_orders: set[str] = set()
        self.writings: dict[str, list[RolloutOrder]] = {}
        self.evacuations = ZoneEvacuations()

    def replace(self, records: list[KeyedRecord]) -> None:
        """Applies a full read of the topic; known orders are kept."""
        zones = {
            self.decoder.evacuated_zone(record)
            for record in records
            if record.value is not None
        }
        self.evacuations.keep_only({zone for zone in zones if zone})
        for record in records:
            self.apply(record)

    def restore(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        """Keeps the configuration and the orders unless the copy has newer.

        Offsets are given out again, so they no longer tell which is newer.
        Orders that the copy lacks will be written again and are the same then.
        """
        self.offset = -1
        self.order_offsets.clear()
        self.lost_orders = set(self.orders)
        self.evacuations.begin_restore()
        return [record for record in records if self.restore_record(record)]

    def restore_record(self, record: KeyedRecord) -> bool:
        """Applies a record of the copy; False if it is outdated."""
        zone = self.decoder.evacuated_zone(record)
        if zone is not None:
            return self.evacuations.restore(zone, record.offset)
        decoded = self.decode(record)
        if decoded is None:
            return False
        config, order = decoded
        self.take(config, order, record.offset)
        if order is not None:
            return order in self.writings[order.service]
        return (
            config is None
            or self.config is None
            or config.version >= self.config.version
        )

    def apply(self, record: KeyedRecord) -> bool:
        """Applies a configuration, an order or the end of an evacuation.

        Returns False if the record is malformed or removes anything else.
        """
        zone = self.decoder.evacuated_zone(record)
        if zone is not None:
            if record.value is None:
                return self.evacuations.release(zone)
            return self.evacuations.evacuate(zone, record.offset)
        decoded = self.decode(record)
        if decoded is None:
            return False
        self.take(*decoded, record.offset)
        return True

    def decode(
        self, record: KeyedRecord
    ) -> tuple[RoutingConfig | None, RolloutOrder | None] | None:
        """Returns configuration and order of a record, each None if absent.

        Returns None if the record is malformed or a removal.
        """
        if record.value is None:
            return None
        try:
            return self.decoder.config(record), self.decoder.order(record)
        except ValueError as error:
            log.warning(
                "ignoring malformed operator record, keeping the last one: %s",
                error,
                extra={"event": "config_unreadable", "key": record.key},
            )
            return None

    def take(
        self,
        config: RoutingConfig | None,
        order: RolloutOrder | None,
        offset: int,
    ) -> None:
        """Takes what was decoded from the record at `offset`."""
        if config is not None:
            self.set_config(config, offset)
        if order is not None:
            self.set_order(order)

    def set_config(self, config: RoutingConfig, offset: int) -> None:
        """Activates a configuration unless a newer one is active."""
        if self.config is not None and (
            offset <= self.offset or config.version < self.config.version
        ):
            return
        self.config = config
        self.offset = offset
        log.info(
            "configuration %s is active",
            config.version,
            extra={
                "event": "config",
                "version": config.version,
                "routes": sum(len(r) for r in config.routes.values()),
            },
        )

    def set_order(self, order: RolloutOrder) -> None:
        """Stores a roll-out order unless its service has a newer one."""
        service = order.service
        known = self.orders.get(service)
        if self.order_offsets.get(service, -1) >= order.offset:
            return
        if order in self.writings.get(service, ()):
            self.lost_orders.discard(service)
            self.order_offsets[service] = order.offset
            return
        if order in self.past_orders:
            return  # Older than the known one, from a copy of the store.
        self.order_offsets[service] = order.offset
        self.past_orders.append(order)
        if (
            known is not None
            and service in self.lost_orders
            and (order.target, order.duration_s)
            == (known.target, known.duration_s)
        ):
            self.lost_orders.discard(service)
            self.writings[service].append(order)
            log.info(
                "the order to roll out %s to %s was written again",
                service,
                order.target,
                extra={"event": "rollout_order_again", "service": service},
            )
            return
        self.orders[service] = order
        self.writings[service] = [order]
        log.info(
            "roll-out of %s to %s ordered",
            order.service,
            order.target,
            extra={
                "event": "rollout_order",
                "service": order.service,
                "target": order.target,
                "duration_s": order.duration_s,
            },
        )
