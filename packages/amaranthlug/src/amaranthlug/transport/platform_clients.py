"""HTTP clients of the log, VM list, rating service and weight store."""

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

CALL_TIMEOUT_S = 5.0
"""Timeout of a call to the platform, in seconds."""

WEIGHTS_TIMEOUT_S = 120.0
"""Timeout of a call to the weight store, in seconds; its rate limit delays the
response."""


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
    """Returns `host:port` of a base URL; the default port is 80."""
    address = url.split("://", 1)[-1].rstrip("/")
    return address if ":" in address else f"{address}:80"


class PlatformService:
    """Client of one platform service that speaks JSON over HTTP."""

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
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[HttpAnswer, PlatformError]:
        """Sends a request; any status other than 200 is an error."""
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
                    f"{error.message}; the call will be retried",
                    effect_unknown=method != "GET" and not error.not_received,
                )
            )
        if sent.ok_value.status != 200:
            return Err(self.status_error(method, sent.ok_value))
        return sent

    def status_error(self, method: str, answer: HttpAnswer) -> PlatformError:
        """Returns the error for a response with a status other than 200."""
        # With 429 and 503 the call had no effect; any other 5xx may come from
        # a proxy after the service has carried out the call.
        may_have_effect = answer.status >= 500 and answer.status != 503
        return PlatformError(
            self.name,
            f"{self.address} answered {answer.status}; wait and retry",
            effect_unknown=method != "GET" and may_have_effect,
            expired=answer.status == 410,
            retry_after_s=answer.retry_after_s or 1.0,
        )

    def decode(
        self,
        answer: HttpAnswer,
        reply_type: type[Reply],
        has_effect: bool = False,
    ) -> Result[Reply, PlatformError]:
        """Decodes a response; a malformed one is an error.

        `has_effect` tells that the call may have changed something, so that
        the effect is unknown after a malformed response.
        """
        try:
            return Ok(msgspec.json.decode(answer.body, type=reply_type))
        except msgspec.MsgspecError as error:
            return Err(
                PlatformError(
                    self.name,
                    f"{self.address}: malformed response: {error}",
                    effect_unknown=has_effect,
                )
            )


class HttpLogService(PlatformService):
    """Client of the append-only log."""

    def __init__(self, url: str, pools: HttpPools | None = None):
        """Creates a client of the log at a base URL."""
        super().__init__("log", url, pools)

    def append(
        self, records: list[dict[str, Any]]
    ) -> Result[list[int], PlatformError]:
        """Appends records; returns their offsets.

        After a lost response the error has `effect_unknown` set.
        """
        sent = self.request("POST", "/append", {"records": records})
        if isinstance(sent, Err):
            return sent
        return self.decode(sent.ok_value, AppendReply, has_effect=True).map(
            lambda reply: reply.offsets
        )

    def read(
        self, after: int, limit: int, wait_ms: int
    ) -> Result[LogPage, PlatformError]:
        """Reads records with offsets above `after`; -1 reads from the start.

        The log waits up to `wait_ms` milliseconds for a record.
        """
        target = f"/records?after={after}&limit={limit}&wait_ms={wait_ms}"
        sent = self.request(
            "GET", target, timeout_s=CALL_TIMEOUT_S + wait_ms / 1_000
        )
        if isinstance(sent, Err):
            return sent
        return self.decode(sent.ok_value, ReadReply).map(
            lambda reply: LogPage(reply.records, reply.first, reply.end)
        )


class HttpVmList(PlatformService):
    """Client of the list of VMs, which lags behind their real state."""

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
    """Client of the rating service, which rates samples of answers later."""

    def __init__(self, url: str, pools: HttpPools | None = None):
        """Creates a client of the rating service at a base URL."""
        super().__init__("rating", url, pools)

    def submit(
        self, samples: list[AnswerSample]
    ) -> Result[None, PlatformError]:
        """Submits answers for rating."""
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
    """Client of the rate-limited store of model weights."""

    def __init__(self, url: str, pools: HttpPools | None = None):
        """Creates a client of the weight store at a base URL."""
        super().__init__("weights", url, pools)

    def available(self, version: str) -> Result[None, PlatformError]:
        """Succeeds if the weights of `version` (`model@version`) are ready."""
        sent = self.request(
            "GET", f"/weights/{version}", timeout_s=WEIGHTS_TIMEOUT_S
        )
        return sent.map(lambda _: None)
