"""Tells whether the store came back from an older copy.

The store counts its returns in all its answers. After one, offsets were given
out again and acknowledged records may be gone.
"""

import logging
from collections.abc import Callable

from amaranthlug.coordination.platform import Metrics

log = logging.getLogger(__name__)


class StoreEra:
    """The newest era of the store that this node knows.

    Attributes:
        current: The era; None if no answer has stated one yet.
    """

    def __init__(self) -> None:
        """Starts without a known era."""
        self.current: int | None = None
        self.subscribers: list[Callable[[], None]] = []
        self.metrics: Metrics | None = None
        self.is_missing = False

    def subscribe(self, callback: Callable[[], None]) -> None:
        """Calls `callback` whenever the store came back from a copy."""
        self.subscribers.append(callback)

    def accept(self, era: int | None) -> bool:
        """Takes the era of an answer; False if the answer must not be used.

        An answer of an older era was given before the store came back. One
        without an era is used, as from a store that does not count its returns.
        """
        if era is None:
            self.report_missing()
            return True
        self.is_missing = False
        if self.current is None:
            self.current = era
            return True
        if era == self.current:
            return True
        if era < self.current:
            self.count("outdated_answers")
            log.warning(
                "ignoring an answer of era %d of the store, which is in era %d",
                era,
                self.current,
                extra={"event": "store_era_outdated", "era": era},
            )
            return False
        former, self.current = self.current, era
        self.count("restored")
        log.warning(
            "the store came back from an older copy: era %d after %d",
            era,
            former,
            extra={"event": "store_era", "era": era, "former": former},
        )
        for callback in self.subscribers:
            callback()
        return True

    def report_missing(self) -> None:
        """Writes a line if the era was known and is stated no more."""
        if self.current is None or self.is_missing:
            return
        self.is_missing = True
        log.warning(
            "the store states no era, a return from a copy would go unnoticed",
            extra={"event": "store_era_missing", "era": self.current},
        )

    def count(self, name: str) -> None:
        """Adds one to a counter."""
        if self.metrics is not None:
            self.metrics.incr(f"store_era.{name}")
