"""The routing configuration in force and the open roll-out orders."""

import logging
from typing import Protocol

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.config import RoutingConfig
from amaranthlug.state.routing.rollout import RolloutOrder

log = logging.getLogger(__name__)


class OperatorDecoder(Protocol):
    """Decodes what operators write."""

    def config(self, record: KeyedRecord) -> RoutingConfig | None:
        """Returns a configuration; None if the record holds none.

        Raises:
            ValueError: It cannot be read.
        """
        ...

    def order(self, record: KeyedRecord) -> RolloutOrder | None:
        """Returns a roll-out order; None if the record holds none.

        Raises:
            ValueError: It cannot be read.
        """
        ...


class ConfigSource:
    """Keeps the newest readable configuration; it never goes back."""

    def __init__(self, decoder: OperatorDecoder):
        """Creates a source without a configuration."""
        self.decoder = decoder
        self.config: RoutingConfig | None = None
        self.offset = -1
        self.orders: dict[str, RolloutOrder] = {}

    def replace(self, records: list[KeyedRecord]) -> None:
        """Takes the newest records; roll-out orders are kept."""
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> bool:
        """Takes a configuration or an order."""
        if record.value is None:
            return False
        try:
            config = self.decoder.config(record)
            if config is not None:
                self.take_config(config, record.offset)
            order = self.decoder.order(record)
            if order is not None:
                self.take_order(order)
        except ValueError as error:
            log.warning(
                "an operator's record cannot be read, the last one holds: %s",
                error,
                extra={"event": "config_unreadable", "key": record.key},
            )
            return False
        return True

    def take_config(self, config: RoutingConfig, offset: int) -> None:
        """Puts a configuration into force unless a newer one is."""
        if self.config is not None and (
            offset <= self.offset or config.version < self.config.version
        ):
            return
        self.config = config
        self.offset = offset
        log.info(
            "configuration %s in force",
            config.version,
            extra={
                "event": "config",
                "version": config.version,
                "routes": sum(len(r) for r in config.routes.values()),
            },
        )

    def take_order(self, order: RolloutOrder) -> None:
        """Keeps the newest order of a service."""
        known = self.orders.get(order.service)
        if known is not None and known.offset >= order.offset:
            return
        self.orders[order.service] = order
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
