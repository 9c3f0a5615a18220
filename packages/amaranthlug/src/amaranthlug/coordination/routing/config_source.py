"""Tracks the current routing configuration and roll-out orders."""

import logging
from typing import Protocol

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.config import RoutingConfig
from amaranthlug.state.routing.rollout import RolloutOrder

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


class ConfigSource:
    """Keeps the newest valid configuration; never goes back to an older one."""

    def __init__(self, decoder: OperatorDecoder):
        """Starts without a configuration."""
        self.decoder = decoder
        self.config: RoutingConfig | None = None
        self.offset = -1
        self.orders: dict[str, RolloutOrder] = {}

    def replace(self, records: list[KeyedRecord]) -> None:
        """Applies a full read of the topic; known orders are kept."""
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> bool:
        """Applies a configuration or an order.

        Returns False if the record is malformed or a removal.
        """
        if record.value is None:
            return False
        try:
            config = self.decoder.config(record)
            if config is not None:
                self.set_config(config, record.offset)
            order = self.decoder.order(record)
            if order is not None:
                self.set_order(order)
        except ValueError as error:
            log.warning(
                "ignoring malformed operator record, keeping the last one: %s",
                error,
                extra={"event": "config_unreadable", "key": record.key},
            )
            return False
        return True

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
