"""Demand of organisations per node, as exchanged between nodes."""

import dataclasses

import msgspec

ROW_EXPIRY_S = 10.0
"""Age above which the demand of a node is ignored, in seconds."""

MAX_ROWS = 1_024
"""Maximum number of rows; the oldest is dropped above it."""


class Demand(msgspec.Struct, array_like=True):
    """Demand of one organisation at one node.

    Attributes:
        requests_per_s: Rate of arriving requests, including refused ones.
        tokens_per_s: Rate of tokens requested by them.
        streams: Active streams.
        waiting: Requests that were refused recently.
        cost: Micro-units spent at the node on the row's day.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    streams: float = 0.0
    waiting: float = 0.0
    cost: int = 0


class Row(msgspec.Struct, array_like=True):
    """Demand at one node by organisation; `seq` increases with each update."""

    seq: int
    day: int
    demands: dict[str, Demand]


class LimitSection(msgspec.Struct):
    """Part of the messages between nodes that concerns limits.

    Attributes:
        rows: Rows by node incarnation.
        day: Day that `spent` belongs to, in days since 1970 UTC.
        spent: Micro-units billed on the log, by organisation.
    """

    rows: dict[str, Row]
    day: int
    spent: dict[str, int] = {}


@dataclasses.dataclass
class KnownRow:
    """A row with the monotonic time at which this node received it."""

    row: Row
    received_at: float


class DemandTable:
    """Newest known row of each other node."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.rows: dict[str, KnownRow] = {}

    def merge(self, incarnation: str, row: Row, now: float) -> None:
        """Stores a row if it is newer than the known one."""
        known = self.rows.get(incarnation)
        if known is not None and known.row.seq >= row.seq:
            return
        self.rows[incarnation] = KnownRow(row, now)
        if len(self.rows) > MAX_ROWS:
            oldest = min(
                self.rows, key=lambda name: self.rows[name].received_at
            )
            del self.rows[oldest]

    def demand(self, organisation: str, live: set[str], now: float) -> Demand:
        """Returns the sum over the live nodes, without `cost`."""
        total = Demand()
        for incarnation, known in self.rows.items():
            if (
                incarnation not in live
                or now - known.received_at > ROW_EXPIRY_S
            ):
                continue
            demand = known.row.demands.get(organisation)
            if demand is not None:
                total.requests_per_s += demand.requests_per_s
                total.tokens_per_s += demand.tokens_per_s
                total.streams += demand.streams
                total.waiting += demand.waiting
        return total

    def cost(self, organisation: str, day: int) -> int:
        """Returns micro-units spent on a day, including at departed nodes."""
        return sum(
            known.row.demands[organisation].cost
            for known in self.rows.values()
            if known.row.day == day and organisation in known.row.demands
        )
