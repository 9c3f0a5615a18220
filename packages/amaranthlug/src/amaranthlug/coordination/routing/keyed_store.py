"""Interface of the platform's store, which keeps the newest of each key."""

import dataclasses
from typing import Protocol

from result import Result


@dataclasses.dataclass(frozen=True)
class StoreError:
    """A call to the store failed.

    Attributes:
        message: What happened and the remedy.
        effect_unknown: The call may have taken effect or may do so later.
        expired: The records asked for are no longer kept.
        conflict_end: The end of the topic, if an append expected another one.
    """

    message: str
    effect_unknown: bool = False
    expired: bool = False
    conflict_end: int | None = None


@dataclasses.dataclass(frozen=True)
class KeyedRecord:
    """A record of a topic; `value` None drops the key."""

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True)
class TopicPage:
    """Records of a topic.

    Attributes:
        records: In the order of their offsets.
        end: Offset that the next append will get.
        next_start: Offset from which to read on; it passes over records
            that could not be read.
    """

    records: list[KeyedRecord]
    end: int
    next_start: int


class KeyedStore(Protocol):
    """The platform's store."""

    def newest(self, topic: str) -> Result[TopicPage, StoreError]:
        """Returns the newest record of each key."""
        ...

    def read(
        self, topic: str, start: int, wait_s: float
    ) -> Result[TopicPage, StoreError]:
        """Returns records from an offset, waiting up to `wait_s` for one."""
        ...

    def append(
        self,
        topic: str,
        records: list[tuple[str, bytes | None]],
        expected_end: int | None = None,
    ) -> Result[int, StoreError]:
        """Appends records and returns the new end.

        With `expected_end` nothing is appended unless the topic ends there.
        """
        ...
