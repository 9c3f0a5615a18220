"""Interfaces to the log, VM list, rating service and metrics."""

import dataclasses
from typing import Any, Protocol

from result import Result


@dataclasses.dataclass(frozen=True)
class PlatformError:
    """A call to the platform failed.

    Attributes:
        service: Name of the service.
        message: Description of the failure and its remedy.
        effect_unknown: Whether the call may have taken effect.
        expired: Whether the requested records are no longer retained.
        retry_after_s: Seconds to wait before the next attempt.
    """

    service: str
    message: str
    effect_unknown: bool = False
    expired: bool = False
    retry_after_s: float = 1.0


@dataclasses.dataclass(frozen=True)
class RawRecord:
    """A record in the form that the log stores."""

    offset: int
    record: dict[str, Any]


@dataclasses.dataclass(frozen=True)
class LogPage:
    """Result of reading the log from an offset.

    Attributes:
        records: Records in offset order.
        first: Offset of the oldest retained record.
        end: Offset that the next appended record will get.
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
        """Reads up to `limit` records with offsets above `after`.

        With `after` -1 it reads from offset 0. It waits up to `wait_ms` for a
        record.
        """
        ...


@dataclasses.dataclass(frozen=True)
class VmEntry:
    """One VM of the VM list; `state` is `live`, `leaving` or `gone`."""

    address: str
    zone: str
    role: str
    state: str


class VmList(Protocol):
    """The list of VMs, which lags behind their real states."""

    def list(self) -> Result[list[VmEntry], PlatformError]:
        """Returns all VMs."""
        ...


@dataclasses.dataclass(frozen=True)
class AnswerSample:
    """An answer that is submitted for rating."""

    request_id: str
    kind: str
    version: str
    prompt: str
    answer: str


@dataclasses.dataclass(frozen=True)
class Rating:
    """A rating of one answer; `seq` increases in the order of the service."""

    seq: int
    request_id: str
    kind: str
    version: str
    good: bool


class RatingService(Protocol):
    """The service that rates a sample of the answers with a delay."""

    def submit(
        self, samples: list[AnswerSample]
    ) -> Result[None, PlatformError]:
        """Submits answers for rating."""
        ...

    def fetch(self, after: int) -> Result[list[Rating], PlatformError]:
        """Returns ratings with a `seq` above `after`."""
        ...


class Metrics(Protocol):
    """Counters, gauges and timings, sent to statsd and shown by /metricsz."""

    def incr(self, name: str, count: int = 1) -> None:
        """Increments a counter by `count`."""
        ...

    def gauge(self, name: str, value: float) -> None:
        """Sets a gauge."""
        ...

    def timing(self, name: str, milliseconds: float) -> None:
        """Records a duration in milliseconds."""
        ...
