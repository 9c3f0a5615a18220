"""Demand of organisations by node, as nodes exchange it."""

import dataclasses

import msgspec

ROW_EXPIRY_S = 10.0
"""Age from which the demand of a node is taken for ended, in seconds."""

ROWS_BOUND = 1_024
"""Rows kept; the oldest is dropped beyond."""


class Demand(msgspec.Struct, array_like=True):
    """Demand of one organisation at one node.

    Attributes:
        requests_per_s: Requests that arrive, also refused ones.
        tokens_per_s: Tokens that they ask for.
        streams: Streams that run.
        waiting: Requests that were just refused.
        cost: Micro-units spent at the node on the day.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    streams: float = 0.0
    waiting: float = 0.0
    cost: int = 0


class Row(msgspec.Struct, array_like=True):
    """One node's demand; `seq` grows with each state of the row."""

    seq: int
    day: int
    demands: dict[str, Demand]


class LimitSection(msgspec.Struct):
    """Section of the exchange.

    Attributes:
        rows: Rows by incarnation.
        day: Day that `spent` belongs to, in days since 1970 UTC.
        spent: Micro-units on the log by organisation.
    """

    rows: dict[str, Row]
    day: int
    spent: dict[str, int] = {}


@dataclasses.dataclass
class KnownRow:
    """A row with the monotonic time at which it came here."""

    row: Row
    at: float


class DemandTable:
    """Newest known row of each node but this one."""

    def __init__(self) -> None:
        """Creates an empty table."""
        self.rows: dict[str, KnownRow] = {}

    def merge(self, incarnation: str, row: Row, now: float) -> None:
        """Takes over a row if it is newer than the known one."""
        known = self.rows.get(incarnation)
        if known is not None and known.row.seq >= row.seq:
            return
        self.rows[incarnation] = KnownRow(row, now)
        if len(self.rows) > ROWS_BOUND:
            oldest = min(self.rows, key=lambda name: self.rows[name].at)
            del self.rows[oldest]

    def demand(self, organisation: str, live: set[str], now: float) -> Demand:
        """Returns the sum over the live nodes; `cost` is not summed."""
        total = Demand()
        for incarnation, known in self.rows.items():
            if incarnation not in live or now - known.at > ROW_EXPIRY_S:
                continue
            demand = known.row.demands.get(organisation)
            if demand is not None:
                total.requests_per_s += demand.requests_per_s
                total.tokens_per_s += demand.tokens_per_s
                total.streams += demand.streams
                total.waiting += demand.waiting
        return total

    def cost(self, organisation: str, day: int) -> int:
        """Returns micro-units spent on a day, also at nodes now gone."""
        return sum(
            known.row.demands[organisation].cost
            for known in self.rows.values()
            if known.row.day == day and organisation in known.row.demands
        )
