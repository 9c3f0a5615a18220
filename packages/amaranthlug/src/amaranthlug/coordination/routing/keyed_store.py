"""Interface of the platform's store, a log compacted by key."""

import dataclasses
from typing import Protocol

from result import Result

from amaranthlug.coordination.routing.store_era import StoreEra


@dataclasses.dataclass(frozen=True)
class StoreError:
    """A failed call to the store.

    Attributes:
        message: The failure and its remedy.
        effect_unknown: The call may have taken effect, or may still do so.
        expired: The requested records are no longer retained.
        conflict_end: Actual end of the topic if a conditional append failed
            because it expected another one.
    """

    message: str
    effect_unknown: bool = False
    expired: bool = False
    conflict_end: int | None = None


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """A record of a topic; a `value` of None is a tombstone."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True)
class TopicPage:
    """Records read from a topic.

    Attributes:
        records: Records in offset order.
        end: Offset of the next record to be appended.
        next_start: Offset at which to continue reading; it skips records
            that could not be decoded.
    """

    records: list[KeyedRecord]
    end: int
    next_start: int


class KeyedStore(Protocol):
    """Client of the platform's store.

    Attributes:
        era: Learns the era of the store from each answer.
    """

    era: StoreEra

    def newest(self, topic: str) -> Result[TopicPage, StoreError]:
        """Returns the newest record of each key."""
        ...

    def read(
        self, topic: str, start: int, wait_s: float
    ) -> Result[TopicPage, StoreError]:
        """Returns records from offset `start` on.

        Waits up to `wait_s` seconds if there is none yet.
        """
        ...

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        expected_end: int | None = None,
    ) -> Result[int, StoreError]:
        """Appends records and returns the new end of the topic.

        With `expected_end` the append fails unless the topic ends there.
        """
        ...
