"""Stand-in of the append-only log."""

import dataclasses
import time
from typing import Any

import falcon
import gevent.event

from amaranthlug_standins.answers import hash_fraction
from amaranthlug_standins.standin import (
    StandIn,
    StandInConfig,
    reset_connection,
    run_main,
)

MAX_PAGE = 1_000
"""Most records in one answer."""

MAX_WAIT_MS = 30_000


@dataclasses.dataclass(frozen=True)
class LogConfig(StandInConfig):
    """Configuration of the log.

    Attributes:
        rate: Append calls a second; more get 429.
        retention_s: Seconds that a record is kept.
    """

    rate: float = 400.0
    retention_s: float = 86_400.0


@dataclasses.dataclass
class Kept:
    """A record with its time of arrival.

    Attributes:
        at: On the monotonic clock, for retention.
        unix_s: On the wall clock, for checks.
    """

    offset: int
    at: float
    record: dict[str, Any]
    unix_s: float = 0.0


class LogStandIn(StandIn):
    """Append-only log with offsets, a rate limit, retention and outages.

    Appending does not yield to other greenlets, so offsets have no gaps.
    """

    config_class = LogConfig

    def __init__(self, config: LogConfig):
        """Creates an empty log."""
        self.kept: list[Kept] = []
        self.next_offset = 0
        self.grown = gevent.event.Event()
        self.tokens = config.rate
        self.refilled_at = time.monotonic()
        self.counts = dict.fromkeys(
            ("appends", "records", "reads", "limited", "lost_answers"), 0
        )
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds `/append` and `/records`."""
        self.app.add_route("/append", AppendRoute(self))
        self.app.add_route("/records", RecordsRoute(self))

    def seen(self) -> dict[str, Any]:
        """Returns counts and the records that are still kept."""
        return {
            **self.counts,
            "records_kept": [
                {
                    "offset": kept.offset,
                    "record": kept.record,
                    "at": kept.unix_s,
                }
                for kept in self.kept
            ],
        }

    def take_token(self) -> bool:
        """Takes one append from the rate; False when it is used up."""
        rate = float(self.faults.get("rate", self.config.rate))
        now = time.monotonic()
        self.tokens += (now - self.refilled_at) * rate
        self.tokens = min(self.tokens, rate)
        self.refilled_at = now
        if self.tokens < 1:
            return False
        self.tokens -= 1
        return True

    def append(self, records: list[dict[str, Any]]) -> list[int]:
        """Appends records and wakes readers that wait."""
        now = time.monotonic()
        offsets = []
        for record in records:
            kept = Kept(self.next_offset, now, record, time.time())
            self.kept.append(kept)
            offsets.append(self.next_offset)
            self.next_offset += 1
        self.counts["appends"] += 1
        self.counts["records"] += len(records)
        grown, self.grown = self.grown, gevent.event.Event()
        grown.set()
        return offsets

    def expire(self) -> None:
        """Drops records older than the retention time."""
        limit_s = float(self.faults.get("retention_s", self.config.retention_s))
        oldest = time.monotonic() - limit_s
        count = 0
        for kept in self.kept:
            if kept.at >= oldest:
                break
            count += 1
        del self.kept[:count]

    def first(self) -> int:
        """Returns the offset of the oldest record kept."""
        return self.kept[0].offset if self.kept else self.next_offset

    def after(self, offset: int, limit: int) -> list[Kept]:
        """Returns kept records above an offset."""
        start = max(0, offset + 1 - self.first())
        return self.kept[start : start + limit]

    def answer_is_lost(self) -> bool:
        """Tells whether the answer to this append is lost."""
        share = float(self.faults.get("lose_answers", 0))
        number = str(self.counts["appends"])
        if hash_fraction(self.config.seed, "lose", number) >= share:
            return False
        self.counts["lost_answers"] += 1
        return True


class AppendRoute:
    """`POST /append`."""

    def __init__(self, log: LogStandIn):
        """Creates the route."""
        self.log = log

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Appends records.

        Raises:
            HTTPTooManyRequests: The rate is used up.
            HTTPBadRequest: The body has no list `records` of objects.
        """
        records = (req.media or {}).get("records")
        if not isinstance(records, list) or not all(
            isinstance(record, dict) for record in records
        ):
            raise falcon.HTTPBadRequest(
                description="send {'records': [object, ...]}"
            )
        if not self.log.take_token():
            self.log.counts["limited"] += 1
            raise falcon.HTTPTooManyRequests(retry_after=1)
        offsets = self.log.append(records)
        if self.log.answer_is_lost():
            reset_connection(req)
        resp.media = {"offsets": offsets}


class RecordsRoute:
    """`GET /records`."""

    def __init__(self, log: LogStandIn):
        """Creates the route."""
        self.log = log

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns records after an offset, waiting for one if asked to.

        Raises:
            HTTPGone: The offset is below the retained range.
        """
        log = self.log
        after = req.get_param_as_int("after", default=-1)
        limit = req.get_param_as_int("limit", default=MAX_PAGE)
        wait_ms = req.get_param_as_int("wait_ms", default=0)
        log.counts["reads"] += 1
        grown = log.grown
        if after + 1 >= log.next_offset and wait_ms > 0:
            grown.wait(min(wait_ms, MAX_WAIT_MS) / 1000)
        log.expire()
        if log.faults.get("outage"):
            raise falcon.HTTPServiceUnavailable(retry_after=1)
        if 0 <= after < log.first() - 1:
            raise falcon.HTTPGone(
                description=f"records before {log.first()} are not kept"
            )
        page = log.after(after, max(1, min(limit, MAX_PAGE)))
        resp.media = {
            "records": [
                {"offset": kept.offset, "record": kept.record} for kept in page
            ],
            "first": log.first(),
            "end": log.next_offset,
        }


if __name__ == "__main__":
    run_main(LogStandIn)
