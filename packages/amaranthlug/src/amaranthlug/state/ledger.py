"""Totals of bills from the log; a pure reader of `BillChunk` records."""

import dataclasses
from collections import OrderedDict

from amaranthlug.state.records import BillChunk, BillEntry, LogEntry

WINDOW_S = 7_200.0
"""Billing window in seconds: request ids are kept that long after the chunk
that held them, by the clocks of the writers. A keyed request is remembered for
one hour, so its repeats fall within the window."""


@dataclasses.dataclass
class Totals:
    """Sums over billed requests; `cost` in micro-units."""

    requests: int = 0
    cost: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cut: int = 0
    cancelled: int = 0

    def add(self, entry: BillEntry) -> None:
        """Adds one request."""
        self.requests += 1
        self.cost += entry.cost
        self.prompt_tokens += entry.prompt_tokens
        self.output_tokens += entry.output_tokens
        self.cut += entry.outcome == "cut"
        self.cancelled += entry.outcome == "cancelled"


class Ledger:
    """Bills each request id once, whoever appended it and how often.

    The first entry in log order counts. All readers that start at the same
    offset get the same totals.
    """

    def __init__(self, window_s: float = WINDOW_S):
        """Creates an empty ledger."""
        self.window_s = window_s
        self.newest_at = 0.0
        self.billed: OrderedDict[str, float] = OrderedDict()
        self.organisations: dict[str, Totals] = {}
        self.repeats = 0

    def apply(self, entry: LogEntry) -> None:
        """Folds a record; other types than `BillChunk` are skipped."""
        if not isinstance(entry.record, BillChunk):
            return
        self.newest_at = max(self.newest_at, entry.record.at)
        for bill in entry.record.entries:
            self.add(bill)
        self.expire()

    def add(self, bill: BillEntry) -> None:
        """Adds one bill unless its request is billed already."""
        if bill.request_id in self.billed:
            self.repeats += 1
            return
        self.billed[bill.request_id] = self.newest_at
        totals = self.organisations.setdefault(bill.organisation, Totals())
        totals.add(bill)

    def is_billed(self, request_id: str) -> bool:
        """Tells whether a request of the window is billed."""
        return request_id in self.billed

    def total(self) -> Totals:
        """Returns the sums over all organisations."""
        whole = Totals()
        for totals in self.organisations.values():
            for field in dataclasses.fields(Totals):
                value = getattr(whole, field.name)
                value += getattr(totals, field.name)
                setattr(whole, field.name, value)
        return whole

    def expire(self) -> None:
        """Forgets request ids older than the window."""
        while self.billed:
            request_id, at = next(iter(self.billed.items()))
            if at >= self.newest_at - self.window_s:
                return
            del self.billed[request_id]
