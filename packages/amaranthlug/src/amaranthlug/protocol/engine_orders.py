"""Gives the roll-out driver's orders to engines."""

from typing import Any

from result import Err, Ok, Result

from amaranthlug.protocol.upstream import Engine, Order, UpstreamError


class EngineOrderAdapter:
    """Implements `EngineOrders` of the roll-out driver over `Engine`."""

    def __init__(self, engine: Engine, holder: str):
        """Creates an adapter for orders of the node `holder`."""
        self.engine = engine
        self.holder = holder

    def state(self, address: str) -> Result[dict[str, Any], UpstreamError]:
        """Returns versions, fence and applied orders of an engine."""
        return self.engine.state(address)

    def load_version(
        self, address: str, version: str, order_id: str, fence: int
    ) -> Result[None, UpstreamError]:
        """Orders an engine to load a version and waits for it."""
        order = Order(order_id, "load", version, fence, self.holder)
        answer = self.engine.order(address, order)
        if isinstance(answer, Err):
            return answer
        return Ok(None)
