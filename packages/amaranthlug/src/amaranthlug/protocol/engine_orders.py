"""Sends the orders of the roll-out driver to engines."""

from typing import Any

from result import Result

from amaranthlug.protocol.upstream import EngineClient, Order, UpstreamError


class EngineOrderSender:
    """Sends orders with a fencing token on behalf of one node."""

    def __init__(self, engine: EngineClient, holder: str):
        """Creates a sender; `holder` is the incarnation of this node."""
        self.engine = engine
        self.holder = holder

    def state(self, address: str) -> Result[dict[str, Any], UpstreamError]:
        """Returns `versions`, `checks_fence`, `fence` and `orders`."""
        return self.engine.state(address)

    def load_version(
        self, address: str, version: str, order_id: str, fence: int
    ) -> Result[None, UpstreamError]:
        """Orders an engine to load a version and waits for the result."""
        order = Order(order_id, "load", version, fence, self.holder)
        return self.engine.order(address, order).map(lambda _: None)
