"""Members of the fleet of nodes as one node knows them."""

import dataclasses
import enum


class MemberState(enum.StrEnum):
    """State of a member; `left` and `gone` are final for an incarnation."""

    LIVE = "live"
    SUSPECT = "suspect"
    LEAVING = "leaving"
    LEFT = "left"
    GONE = "gone"


@dataclasses.dataclass
class Member:
    """One node process.

    Attributes:
        address: `host:port`.
        incarnation: Unique per process start; a replaced VM on the same
            address is another member.
        heartbeat: Counter that the member raises.
        heard_at: Monotonic time when the counter last rose here, in seconds.
    """

    address: str
    zone: str
    incarnation: str
    state: MemberState = MemberState.LIVE
    heartbeat: int = 0
    heard_at: float = 0.0
