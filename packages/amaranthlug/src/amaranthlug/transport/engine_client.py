"""Adapter of the model engines: pooled connections, raw event blocks."""

import logging
import time
from collections.abc import Iterator
from typing import Any

import gevent
import msgspec
from geventhttpclient.response import HTTPParseError
from result import Err, Ok, Result

from amaranthlug.protocol.upstream import (
    EngineCall,
    EngineLoad,
    Order,
    StreamCutError,
    UpstreamError,
)
from amaranthlug.transport.http_pool import (
    HttpAnswer,
    HttpPools,
    PooledResponse,
    failure,
    retry_after,
)

log = logging.getLogger(__name__)

JSON_HEADERS = {"Content-Type": "application/json"}
END_MARKER = b"data: [DONE]\n\n"
CONTROL_S = 2.0
"""Limit of calls for load, state and cancel, in seconds."""
ORDER_S = 30.0
"""Longest order to an engine, in seconds."""
SWEEP_S = 0.1
"""Period of the search for silent streams, in seconds."""
TRAILER_S = 0.5
"""Limit for the end of the body after the end marker, in seconds."""
MAX_EVENT_BYTES = 1_000_000
"""Bound of one event; a longer one is malformed."""


class LoadReply(msgspec.Struct):
    """Reply of an engine about its load."""

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    age_s: float
    versions: list[str]
    draining: bool


class StreamWatch:
    """Ends reads that wait too long.

    One sweep over all streams costs less than a timer for each read, of which
    there are as many as tokens.
    """

    def __init__(self) -> None:
        """Creates a watch; its greenlet runs while there are streams."""
        self.streams: set[HttpEngineStream] = set()
        self.greenlet: gevent.Greenlet | None = None

    def add(self, stream: "HttpEngineStream") -> None:
        """Watches a stream until `discard`."""
        self.streams.add(stream)
        if self.greenlet is None or self.greenlet.ready():
            self.greenlet = gevent.spawn(self.sweep)

    def discard(self, stream: "HttpEngineStream") -> None:
        """Ends the watch of a stream."""
        self.streams.discard(stream)

    def sweep(self) -> None:
        """Shuts the connections of silent streams."""
        while self.streams:
            gevent.sleep(SWEEP_S)
            now = time.monotonic()
            for stream in list(self.streams):
                waits_since = stream.waits_since
                if waits_since and now - waits_since > stream.read_timeout_s:
                    stream.silent = True
                    stream.response.shut()


class HttpEngineStream:
    """An open event stream over a pooled connection.

    Attributes:
        waits_since: Monotonic time since which a read waits; 0 while the
            caller of the stream is busy, which is not the engine's silence.
    """

    def __init__(
        self,
        pools: HttpPools,
        watch: StreamWatch,
        address: str,
        response: PooledResponse,
        first: bytes,
        read_timeout_s: float,
    ):
        """Wraps a response; `first` are the body bytes read already."""
        self.pools = pools
        self.watch = watch
        self.address = address
        self.response = response
        self.first = first
        self.read_timeout_s = read_timeout_s
        self.waits_since = 0.0
        self.silent = False
        response.unlimit()
        watch.add(self)

    def blocks(self) -> Iterator[bytes]:
        """Yields blocks that end at event boundaries.

        Raises:
            StreamCutError: The stream ended without its end marker or went
                silent.
        """
        data = self.first
        rest = b""
        read = self.response.read_some
        now = time.monotonic
        while True:
            if rest:
                data = rest + data
            end = data.rfind(b"\n\n") + 2
            if end == len(data):
                rest = b""
                yield data
            elif end > 1:
                rest = data[end:]
                data = data[:end]
                yield data
            else:
                rest, data = data, b""
                if len(rest) > MAX_EVENT_BYTES:
                    raise self.cut("malformed", "an event exceeds its bound")
            if data.endswith(END_MARKER):
                self.finish()
                return
            self.waits_since = now()
            try:
                data = read()
            except (OSError, HTTPParseError) as error:
                raise self.broken(error) from error
            self.waits_since = 0.0
            if not data:
                raise self.cut("cut", "the stream ended without [DONE]")

    def cut(self, reason: str, message: str) -> StreamCutError:
        """Closes the connection and returns the error."""
        self.close()
        text = f"{self.address}: {message}"
        return StreamCutError(UpstreamError(self.address, reason, text))

    def broken(self, error: Exception) -> StreamCutError:
        """Returns the error of a failed read; silence drops the pool."""
        if self.silent:
            self.pools.drop(self.address)
            return self.cut("timeout", "no event within the limit")
        return self.cut("cut", str(error) or type(error).__name__)

    def finish(self) -> None:
        """Reads the end of the body, so that the connection can be reused."""
        self.watch.discard(self)
        try:
            self.response.limit(TRAILER_S)
            self.response.finish(reuse=not self.response.read_some())
        except (OSError, HTTPParseError):
            self.response.finish(reuse=False)

    def close(self) -> None:
        """Closes the connection; it is not reused unless the end was read."""
        self.watch.discard(self)
        self.response.finish(reuse=False)


def target_of(call: EngineCall) -> tuple[str, dict[str, Any]]:
    """Returns path and body of a new or a resumed stream."""
    if call.resume_after_tokens is None:
        return "/v1/chat/completions", call.body
    path = (
        f"/v1/streams/{call.request_id}/resume?after={call.resume_after_tokens}"
    )
    return path, {}


class HttpEngine:
    """All model engines, addressed by `host:port`."""

    def __init__(self, pools: HttpPools | None = None):
        """Creates an adapter with its own connection pools."""
        self.pools = pools or HttpPools()
        self.watch = StreamWatch()

    def open(
        self, address: str, call: EngineCall
    ) -> Result[HttpEngineStream, UpstreamError]:
        """Starts a streamed answer and returns it after the first bytes."""
        limit = time.monotonic() + call.first_byte_timeout_s
        if call.new_connection:
            self.pools.drop(address)
        target, body = target_of(call)
        sent = self.pools.send(
            address,
            "POST",
            target,
            msgspec.json.encode(body),
            {**JSON_HEADERS, "X-Organisation": call.organisation},
            call.first_byte_timeout_s,
        )
        if isinstance(sent, Err):
            return sent
        response = sent.ok_value
        try:
            if response.status_code != 200:
                return Err(self.refused(address, response))
            response.limit(limit - time.monotonic())
            first = response.read_some()
        except (OSError, HTTPParseError) as error:
            response.finish(reuse=False)
            if isinstance(error, TimeoutError):
                self.pools.drop(address)
            return Err(failure(address, error, sent=True))
        if not first:
            response.finish(reuse=False)
            text = f"{address}: the answer has no event"
            return Err(UpstreamError(address, "cut", text))
        return Ok(
            HttpEngineStream(
                self.pools,
                self.watch,
                address,
                response,
                first,
                call.read_timeout_s,
            )
        )

    def refused(self, address: str, response: PooledResponse) -> UpstreamError:
        """Returns the error of a status other than 200."""
        status = response.status_code
        wait = retry_after(response)
        text = response.read_all()[:200].decode("utf-8", "replace")
        response.finish(reuse=True)
        reason = "draining" if status == 503 else "status"
        message = f"{address} answered {status}: {text}"
        return UpstreamError(address, reason, message, retry_after_s=wait)

    def cancel(self, address: str, request_id: str) -> None:
        """Stops a stream upstream on another connection; errors are logged."""
        sent = self.pools.call(
            address, "DELETE", f"/v1/streams/{request_id}", timeout_s=CONTROL_S
        )
        if isinstance(sent, Err):
            log.warning("cancel failed: %s", sent.err_value.message)

    def load(self, address: str) -> Result[EngineLoad, UpstreamError]:
        """Returns the reported load."""
        sent = self.pools.call(address, "GET", "/v1/load", timeout_s=CONTROL_S)
        if isinstance(sent, Err):
            return sent
        try:
            reply = msgspec.json.decode(sent.ok_value.body, type=LoadReply)
        except msgspec.MsgspecError as error:
            return Err(malformed(address, sent.ok_value, error))
        return Ok(
            EngineLoad(
                reply.running,
                reply.waiting,
                reply.slots,
                reply.tokens_per_s,
                reply.age_s,
                tuple(reply.versions),
                reply.draining,
            )
        )

    def state(self, address: str) -> Result[dict[str, Any], UpstreamError]:
        """Returns versions, role, fence and applied orders."""
        return self.json(address, "GET", "/v1/state", b"", CONTROL_S)

    def order(
        self, address: str, order: Order
    ) -> Result[dict[str, Any], UpstreamError]:
        """Gives an order; a stale fence gives an error with reason `status`."""
        body = msgspec.json.encode(order)
        return self.json(address, "POST", "/v1/orders", body, ORDER_S)

    def json(
        self, address: str, method: str, target: str, body: bytes, limit: float
    ) -> Result[dict[str, Any], UpstreamError]:
        """Calls an engine and decodes a JSON object."""
        sent = self.pools.call(
            address, method, target, body, JSON_HEADERS, limit
        )
        if isinstance(sent, Err):
            return sent
        answer = sent.ok_value
        if answer.status != 200:
            text = answer.body[:200].decode("utf-8", "replace")
            reason = "draining" if answer.status == 503 else "status"
            message = f"{address} answered {answer.status}: {text}"
            return Err(UpstreamError(address, reason, message))
        try:
            return Ok(msgspec.json.decode(answer.body, type=dict[str, Any]))
        except msgspec.MsgspecError as error:
            return Err(malformed(address, answer, error))


def malformed(
    address: str, answer: HttpAnswer, error: Exception
) -> UpstreamError:
    """Returns the error of an answer that cannot be decoded."""
    text = f"{address}: malformed answer ({answer.status}): {error}"
    return UpstreamError(address, "malformed", text)
