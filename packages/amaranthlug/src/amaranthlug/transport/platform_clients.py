"""Adapters of the log, VM list, rating service and weight store."""

import dataclasses
from typing import Any, TypeVar

import msgspec
from result import Err, Ok, Result

from amaranthlug.coordination.platform import (
    AnswerSample,
    LogPage,
    PlatformError,
    Rating,
    RawRecord,
    VmEntry,
)
from amaranthlug.transport.http_pool import HttpAnswer, HttpPools

Reply = TypeVar("Reply")

CALL_S = 5.0
"""Limit of a call to the platform, in seconds."""

WEIGHTS_S = 120.0
"""Limit of a weight download; the store answers after a rate-limited wait."""


class AppendReply(msgspec.Struct):
    """Reply of the log to an append."""

    offsets: list[int]


class ReadReply(msgspec.Struct):
    """Reply of the log to a read."""

    records: list[RawRecord]
    first: int
    end: int


class VmReply(msgspec.Struct):
    """Reply of the VM list."""

    vms: list[VmEntry]


class RatingReply(msgspec.Struct):
    """Reply of the rating service."""

    ratings: list[Rating]


def host_port(url: str) -> str:
    """Returns `host:port` of a base URL such as `http://127.0.0.1:80`."""
    address = url.split("://", 1)[-1].rstrip("/")
    return address if ":" in address else f"{address}:80"


class PlatformService:
    """Calls one service of the platform with JSON over HTTP."""

    def __init__(self, name: str, url: str, pools: HttpPools | None = None):
        """Creates a client of the service `name` at a base URL."""
        self.name = name
        self.address = host_port(url)
        self.pools = pools or HttpPools()

    def request(
        self,
        method: str,
        target: str,
        message: Any = None,
        timeout_s: float = CALL_S,
    ) -> Result[HttpAnswer, PlatformError]:
        """Sends a call; any status but 200 is an error."""
        body = b"" if message is None else msgspec.json.encode(message)
        sent = self.pools.call(
            self.address,
            method,
            target,
            body,
            {"Content-Type": "application/json"} if body else {},
            timeout_s,
        )
        if isinstance(sent, Err):
            error = sent.err_value
            return Err(
                PlatformError(
                    self.name,
                    f"{error.message}; the call is repeated later",
                    effect_unknown=method != "GET" and not error.not_received,
                )
            )
        if sent.ok_value.status != 200:
            return Err(self.refused(method, sent.ok_value))
        return sent

    def refused(self, method: str, answer: HttpAnswer) -> PlatformError:
        """Returns the error of an answer with a status other than 200."""
        # 429 and 503 are sent instead of an effect; any other 5xx may come
        # from a proxy on the way after the effect.
        unknown = answer.status >= 500 and answer.status != 503
        return PlatformError(
            self.name,
            f"{self.address} answered {answer.status}; wait and retry",
            effect_unknown=method != "GET" and unknown,
            expired=answer.status == 410,
            retry_after_s=answer.retry_after_s or 1.0,
        )

    def decode(
        self, answer: HttpAnswer, kind: type[Reply], changes: bool = False
    ) -> Result[Reply, PlatformError]:
        """Decodes an answer; a malformed one is an error."""
        try:
            return Ok(msgspec.json.decode(answer.body, type=kind))
        except msgspec.MsgspecError as error:
            return Err(
                PlatformError(
                    self.name,
                    f"{self.address}: malformed answer: {error}",
                    effect_unknown=changes,
                )
            )


class HttpLogService(PlatformService):
    """The append-only log."""

    def __init__(self, url: str, pools: HttpPools | None = None):
        """Creates a client of the log at a base URL."""
        super().__init__("log", url, pools)

    def append(
        self, records: list[dict[str, Any]]
    ) -> Result[list[int], PlatformError]:
        """Appends records; a lost answer gives `effect_unknown`."""
        sent = self.request("POST", "/append", {"records": records})
        if isinstance(sent, Err):
            return sent
        return self.decode(sent.ok_value, AppendReply, changes=True).map(
            lambda reply: reply.offsets
        )

    def read(
        self, after: int, limit: int, wait_ms: int
    ) -> Result[LogPage, PlatformError]:
        """Reads records with an offset above `after`, -1 for the first."""
        target = f"/records?after={after}&limit={limit}&wait_ms={wait_ms}"
        sent = self.request("GET", target, timeout_s=CALL_S + wait_ms / 1_000)
        if isinstance(sent, Err):
            return sent
        return self.decode(sent.ok_value, ReadReply).map(
            lambda reply: LogPage(reply.records, reply.first, reply.end)
        )


class HttpVmList(PlatformService):
    """The lagging list of VMs."""

    def __init__(self, url: str, pools: HttpPools | None = None):
        """Creates a client of the VM list at a base URL."""
        super().__init__("vm_list", url, pools)

    def list(self) -> "Result[list[VmEntry], PlatformError]":
        """Returns all VMs."""
        sent = self.request("GET", "/vms")
        if isinstance(sent, Err):
            return sent
        return self.decode(sent.ok_value, VmReply).map(lambda reply: reply.vms)


class HttpRatingService(PlatformService):
    """The service that rates answers late and by sample."""

    def __init__(self, url: str, pools: HttpPools | None = None):
        """Creates a client of the rating service at a base URL."""
        super().__init__("rating", url, pools)

    def submit(
        self, samples: list[AnswerSample]
    ) -> Result[None, PlatformError]:
        """Sends answers to be rated."""
        answers = [dataclasses.asdict(sample) for sample in samples]
        sent = self.request("POST", "/answers", {"answers": answers})
        return sent.map(lambda _: None)

    def fetch(self, after: int) -> Result[list[Rating], PlatformError]:
        """Returns ratings with a `seq` above `after`."""
        sent = self.request("GET", f"/ratings?after={after}")
        if isinstance(sent, Err):
            return sent
        return self.decode(sent.ok_value, RatingReply).map(
            lambda reply: reply.ratings
        )


class HttpWeightStore(PlatformService):
    """The rate-limited store of model weights."""

    def __init__(self, url: str, pools: HttpPools | None = None):
        """Creates a client of the weight store at a base URL."""
        super().__init__("weights", url, pools)

    def available(self, version: str) -> Result[None, PlatformError]:
        """Tells that the weights of `model@version` can be fetched."""
        sent = self.request("GET", f"/weights/{version}", timeout_s=WEIGHTS_S)
        return sent.map(lambda _: None)
