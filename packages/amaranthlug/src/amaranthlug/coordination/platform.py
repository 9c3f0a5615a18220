"""Interfaces of the platform's log, VM list, rating service and metrics."""

import dataclasses
from typing import Any, Protocol

from result import Result


@dataclasses.dataclass(frozen=True)
class PlatformError:
    """A call to the platform failed.

    Attributes:
        service: Which service.
        message: What happened and the remedy.
        effect_unknown: The call may have taken effect.
        expired: The records asked for are no longer kept.
        retry_after_s: Seconds to wait before the next try.
    """

    service: str
    message: str
    effect_unknown: bool = False
    expired: bool = False
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class RawRecord:
    """A record as the log keeps it."""

    offset: int
    record: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Records after an offset.

    Attributes:
        records: In offset order.
        first: Offset of the oldest record that is still kept.
        end: Offset that the next append will get.
    """

    records: list[RawRecord]
    first: int
    end: int


class LogService(Protocol):
    """The append-only log."""

    def append(
        self, records: list[dict[str, Any]]
    ) -> Result[list[int], PlatformError]:
        """Appends records and returns their offsets."""
        ...

    def read(
        self, after: int, limit: int, wait_ms: int
    ) -> Result[LogPage, PlatformError]:
        """Reads records with an offset above `after`, -1 for the first."""
        ...


@dataclasses.dataclass(frozen=True)
class VmEntry:
    """One line of the VM list; `state` is live, leaving or gone."""

    address: str
    zone: str
    role: str
    state: str


class VmList(Protocol):
    """The lagging list of VMs."""

    def list(self) -> Result[list[VmEntry], PlatformError]:
        """Returns all VMs."""
        ...


@dataclasses.dataclass(frozen=True)
class AnswerSample:
    """An answer sent to the rating service."""

    request_id: str
    kind: str
    version: str
    prompt: str
    answer: str


@dataclasses.dataclass(frozen=True)
class Rating:
    """A rating; `seq` grows by service order."""

    seq: int
    request_id: str
    kind: str
    version: str
    good: bool


class RatingService(Protocol):
    """The service that rates answers late and by sample."""

    def submit(
        self, samples: list[AnswerSample]
    ) -> Result[None, PlatformError]:
        """Sends answers to be rated."""
        ...

    def fetch(self, after: int) -> Result[list[Rating], PlatformError]:
        """Returns ratings with a `seq` above `after`."""
        ...


class Metrics(Protocol):
    """Counters and gauges, sent by statsd and shown by /metricsz."""

    def incr(self, name: str, count: int = 1) -> None:
        """Adds to a counter."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        ...

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        ...
