"""Follows the topic of fleet reports and dates them by their order.

A node that did not read the topic for a while gets the reports of that time at
once, also the last ones of nodes that have died since.
"""

from collections import Counter
from typing import Protocol

from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.coordination.routing.topic_follower import (
    TopicFollower,
    TopicListener,
)


class ReportListener(TopicListener, Protocol):
    """Receives fleet reports.

    Attributes:
        periods_behind: Offset -> reporting periods that had passed since the
            record when it was read, for the records that are applied next.
    """

    periods_behind: dict[int, int]


class ReportFollower(TopicFollower):
    """Follows the topic of fleet reports."""

    listener: ReportListener

    def apply_changes(self, records: list[KeyedRecord], position: int) -> None:
        """Applies new records and moves to `position`."""
        self.listener.periods_behind = periods_behind(records)
        super().apply_changes(records, position)
        self.listener.periods_behind = {}


def periods_behind(records: list[KeyedRecord]) -> dict[int, int]:
    """Returns the reporting periods that have passed since each record.

    Each node reports once a period: while another one has written `n` records
    behind a record, `n - 1` periods have passed at least.

    Args:
        records: The records of a topic up to its end, in their order.

    Returns:
        Offset -> number of periods.
    """
    written: Counter[str] = Counter()
    first, second = "", ""  # The keys written most and second most often.
    periods = {}
    for record in reversed(records):
        other = second if record.key == first else first
        periods[record.offset] = max(0, written[other] - 1)
        written[record.key] += 1
        if record.key != first and written[record.key] > written[first]:
            first, second = record.key, first
        elif record.key != first and written[record.key] > written[second]:
            second = record.key
    return periods
