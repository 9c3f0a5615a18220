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
"""Maximum number of records in a response."""

MAX_WAIT_MS = 30_000


@dataclasses.dataclass(frozen=True)
class LogConfig(StandInConfig):
    """Configuration of the log.

    Attributes:
        rate: Append calls a second, and the largest burst; more get 429.
        retention_s: Seconds for which a record is kept.
    """

    rate: float = 400.0
    retention_s: float = 86_400.0


@dataclasses.dataclass
class StoredRecord:
    """A record with its arrival time.

    Attributes:
        at: Monotonic time, for retention.
        unix_s: Unix time in seconds, for checks.
    """

    offset: int
    at: float
    record: dict[str, Any]
    unix_s: float = 0.0


class LogStandIn(StandIn):
    """Append-only log with offsets, a rate limit, retention and faults.

    `append` does not yield to other greenlets, so offsets have no gaps.
    """

    config_class = LogConfig

    def __init__(self, config: LogConfig):
        """Creates an empty log."""
        self.entries: list[StoredRecord] = []
        self.next_offset = 0
        self.appended = gevent.event.Event()
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
        """Returns the counts and the records that are still kept."""
        return {
            **self.counts,
            "records_kept": [
                {
                    "offset": entry.offset,
                    "record": entry.record,
                    "at": entry.unix_s,
                }
                for entry in self.entries
            ],
        }

    def take_append_token(self) -> bool:
        """Takes an append call from the rate limit; False if it is used up."""
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
        """Appends records, wakes waiting readers and returns the offsets."""
        now = time.monotonic()
        offsets = []
        for record in records:
            entry = StoredRecord(self.next_offset, now, record, time.time())
            self.entries.append(entry)
            offsets.append(self.next_offset)
            self.next_offset += 1
        self.counts["appends"] += 1
        self.counts["records"] += len(records)
        event, self.appended = self.appended, gevent.event.Event()
        event.set()
        return offsets

    def drop_expired(self) -> None:
        """Drops the records older than the retention time."""
        age_limit_s = float(
            self.faults.get("retention_s", self.config.retention_s)
        )
        min_arrived_at = time.monotonic() - age_limit_s
        expired_count = 0
        for entry in self.entries:
            if entry.at >= min_arrived_at:
                break
            expired_count += 1
        del self.entries[:expired_count]

    def first_offset(self) -> int:
        """Returns the offset of the oldest record, or the next one if empty."""
        return self.entries[0].offset if self.entries else self.next_offset

    def records_after(self, offset: int, limit: int) -> list[StoredRecord]:
        """Returns up to `limit` records above an offset."""
        start = max(0, offset + 1 - self.first_offset())
        return self.entries[start : start + limit]

    def loses_answer(self) -> bool:
        """Decides by the fault `lose_answers` whether to lose this answer."""
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
            HTTPTooManyRequests: The rate limit is exceeded.
            HTTPBadRequest: `records` in the body is not a list of objects.
        """
        records = (req.media or {}).get("records")
        if not isinstance(records, list) or not all(
            isinstance(record, dict) for record in records
        ):
            raise falcon.HTTPBadRequest(
                description="send {'records': [object, ...]}"
            )
        if not self.log.take_append_token():
            self.log.counts["limited"] += 1
            raise falcon.HTTPTooManyRequests(retry_after=1)
        offsets = self.log.append(records)
        if self.log.loses_answer():
            reset_connection(req)
        resp.media = {"offsets": offsets}


class RecordsRoute:
    """`GET /records`."""

    def __init__(self, log: LogStandIn):
        """Creates the route."""
        self.log = log

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the records after an offset.

        If there are none, it waits for one up to `wait_ms`.

        Raises:
            HTTPGone: Records after the offset have been dropped.
            HTTPServiceUnavailable: The fault `outage` was set while waiting.
        """
        log = self.log
        after = req.get_param_as_int("after", default=-1)
        limit = req.get_param_as_int("limit", default=MAX_PAGE)
        wait_ms = req.get_param_as_int("wait_ms", default=0)
        log.counts["reads"] += 1
        appended = log.appended
        if after + 1 >= log.next_offset and wait_ms > 0:
            appended.wait(min(wait_ms, MAX_WAIT_MS) / 1000)
        log.drop_expired()
        if log.faults.get("outage"):
            raise falcon.HTTPServiceUnavailable(retry_after=1)
        if 0 <= after < log.first_offset() - 1:
            raise falcon.HTTPGone(
                description=f"records before {log.first_offset()} are not kept"
            )
        page = log.records_after(after, max(1, min(limit, MAX_PAGE)))
        resp.media = {
            "records": [
                {"offset": entry.offset, "record": entry.record}
                for entry in page
            ],
            "first": log.first_offset(),
            "end": log.next_offset,
        }


if __name__ == "__main__":
    run_main(LogStandIn)
