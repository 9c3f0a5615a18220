"""Orders that an engine stand-in received."""

import dataclasses


@dataclasses.dataclass
class ReceivedOrder:
    """An order with its arrival time (Unix, in seconds) and its outcome."""

    order_id: str
    action: str
    version: str
    fence: int
    holder: str
    at: float
    outcome: str = "applied"
