"""Totals of the bills on the log, computed from `BillChunk` records."""

import dataclasses
from collections import OrderedDict

from amaranthlug.state.records import BillChunk, BillEntry, LogEntry

DEDUPLICATION_WINDOW_S = 7_200.0
"""Time for which a billed request id is remembered, in seconds by the clocks of
the writers. Idempotency keys are kept for one hour, so a repeated bill arrives
within this time."""


@dataclasses.dataclass
class Totals:
    """Sums over billed requests.

    Attributes:
        cost: Micro-units.
        cut: Requests whose stream was cut by the upstream.
        cancelled: Requests that the caller cancelled.
    """

    requests: int = 0
    cost: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0
    cut: int = 0
    cancelled: int = 0

    def add(self, entry: BillEntry) -> None:
        """Adds one billed request."""
        self.requests += 1
        self.cost += entry.cost
        self.prompt_tokens += entry.prompt_tokens
        self.output_tokens += entry.output_tokens
        self.cut += entry.outcome == "cut"
        self.cancelled += entry.outcome == "cancelled"


class Ledger:
    """Totals by organisation that count each request id once.

    Several nodes may append a bill of one request; the first entry in log order
    counts. Readers that start at the same offset reach the same totals.
    """

    def __init__(self, window_s: float = DEDUPLICATION_WINDOW_S):
        """Creates an empty ledger."""
        self.window_s = window_s
        self.newest_at = 0.0
        self.billed: OrderedDict[str, float] = OrderedDict()
        self.organisations: dict[str, Totals] = {}
        self.repeats = 0

    def apply(self, entry: LogEntry) -> None:
        """Applies a log entry; only `BillChunk` records have an effect."""
        if not isinstance(entry.record, BillChunk):
            return
        self.newest_at = max(self.newest_at, entry.record.at)
        for bill in entry.record.entries:
            self.add(bill)
        self.expire()

    def add(self, bill: BillEntry) -> None:
        """Adds a bill unless its request has been billed."""
        if bill.request_id in self.billed:
            self.repeats += 1
            return
        self.billed[bill.request_id] = self.newest_at
        totals = self.organisations.setdefault(bill.organisation, Totals())
        totals.add(bill)

    def is_billed(self, request_id: str) -> bool:
        """Returns whether a request was billed within the window."""
        return request_id in self.billed

    def total(self) -> Totals:
        """Returns the sums over all organisations."""
        total = Totals()
        for totals in self.organisations.values():
            for field in dataclasses.fields(Totals):
                value = getattr(total, field.name)
                value += getattr(totals, field.name)
                setattr(total, field.name, value)
        return total

    def expire(self) -> None:
        """Removes request ids older than the window."""
        while self.billed:
            request_id, billed_at = next(iter(self.billed.items()))
            if billed_at >= self.newest_at - self.window_s:
                return
            del self.billed[request_id]
