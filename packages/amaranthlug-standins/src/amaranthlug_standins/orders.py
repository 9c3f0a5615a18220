"""Orders to engines as the stand-in saw them."""

import dataclasses


@dataclasses.dataclass
class SeenOrder:
    """An order as it arrived, with what became of it."""

    order_id: str
    action: str
    version: str
    fence: int
    holder: str
    at: float
    outcome: str = "applied"
