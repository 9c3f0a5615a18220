"""Bills from the log by request, organisation and total."""

from amaranthlug.state.ledger import Ledger
from amaranthlug.state.records import BillChunk, BillEntry, LogEntry


class BillReport:
    """Folds the log's bills; each request counts once."""

    def __init__(self) -> None:
        """Creates an empty report."""
        self.ledger = Ledger()
        self.entries: list[BillEntry] = []

    def apply(self, entry: LogEntry) -> None:
        """Folds a record of the log."""
        if not isinstance(entry.record, BillChunk):
            return
        seen: set[str] = set()
        for bill in entry.record.entries:
            name = bill.request_id
            if name not in seen and not self.ledger.is_billed(name):
                self.entries.append(bill)
            seen.add(name)
        self.ledger.apply(entry)
