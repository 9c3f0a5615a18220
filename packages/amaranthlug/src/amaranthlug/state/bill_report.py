"""Report of the bills on the log, per request and per organisation."""

from amaranthlug.state.ledger import Ledger
from amaranthlug.state.records import BillChunk, BillEntry, LogEntry


class BillReport:
    """Collects the bills on the log, one per request."""

    def __init__(self) -> None:
        """Creates an empty report."""
        self.ledger = Ledger()
        self.entries: list[BillEntry] = []

    def apply(self, entry: LogEntry) -> None:
        """Applies a log entry; only `BillChunk` records have an effect."""
        if not isinstance(entry.record, BillChunk):
            return
        seen: set[str] = set()
        for bill in entry.record.entries:
            request_id = bill.request_id
            if request_id not in seen and not self.ledger.is_billed(request_id):
                self.entries.append(bill)
            seen.add(request_id)
        self.ledger.apply(entry)
