"""HTTP client of the model engines; streams are passed on as raw events."""

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
    retry_after,
    transport_error,
)

log = logging.getLogger(__name__)

JSON_HEADERS = {"Content-Type": "application/json"}
END_MARKER = b"data: [DONE]\n\n"
CONTROL_TIMEOUT_S = 2.0
"""Timeout of calls for load, state and cancel, in seconds."""
ORDER_TIMEOUT_S = 30.0
"""Timeout of an order to an engine, in seconds."""
STALL_CHECK_S = 0.1
"""Period of the checks for stalled streams, in seconds."""
BODY_END_TIMEOUT_S = 0.5
"""Timeout for the end of the body after the end marker, in seconds."""
MAX_EVENT_BYTES = 1_000_000
"""Largest event, in bytes; a larger one is malformed."""


class LoadReply(msgspec.Struct):
    """Reply of an engine to `GET /v1/load`."""

    running: int
    waiting: int
    slots: int
    tokens_per_s: float
    age_s: float
    versions: list[str]
    draining: bool


class StreamWatchdog:
    """Enforces the read timeout of streams.

    A periodic check of all streams costs less than a timer per read, since
    there is a read for every token.
    """

    def __init__(self) -> None:
        """Creates a watchdog whose greenlet runs while there are streams."""
        self.streams: set[HttpEngineStream] = set()
        self.greenlet: gevent.Greenlet | None = None

    def add(self, stream: "HttpEngineStream") -> None:
        """Monitors a stream until `discard`."""
        self.streams.add(stream)
        if self.greenlet is None or self.greenlet.ready():
            self.greenlet = gevent.spawn(self.close_timed_out)

    def discard(self, stream: "HttpEngineStream") -> None:
        """Stops monitoring a stream."""
        self.streams.discard(stream)

    def close_timed_out(self) -> None:
        """Shuts down the connections of streams whose read timed out."""
        while self.streams:
            gevent.sleep(STALL_CHECK_S)
            now = time.monotonic()
            for stream in list(self.streams):
                waiting_since = stream.waiting_since
                if (
                    waiting_since
                    and now - waiting_since > stream.read_timeout_s
                ):
                    stream.timed_out = True
                    stream.response.shut_down()


class HttpEngineStream:
    """An open event stream over a pooled connection.

    Attributes:
        waiting_since: Monotonic time at which the current read started; 0
            while none runs, as time that the consumer of the stream takes
            does not count against the engine.
    """

    def __init__(
        self,
        pools: HttpPools,
        watchdog: StreamWatchdog,
        address: str,
        response: PooledResponse,
        first_bytes: bytes,
        read_timeout_s: float,
    ):
        """Wraps a response whose first body bytes were already read."""
        self.pools = pools
        self.watchdog = watchdog
        self.address = address
        self.response = response
        self.first_bytes = first_bytes
        self.read_timeout_s = read_timeout_s
        self.waiting_since = 0.0
        self.timed_out = False
        response.clear_read_timeout()
        watchdog.add(self)

    def blocks(self) -> Iterator[bytes]:
        """Yields blocks of one or more complete events.

        Raises:
            StreamCutError: The stream ended without its end marker, timed out
                or sent an event that is too large.
        """
        data = self.first_bytes
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
                    raise self.cut_error(
                        "malformed", "an event exceeds the size limit"
                    )
            if data.endswith(END_MARKER):
                self.finish()
                return
            self.waiting_since = now()
            try:
                data = read()
            except (OSError, HTTPParseError) as error:
                raise self.read_error(error) from error
            self.waiting_since = 0.0
            if not data:
                raise self.cut_error("cut", "the stream ended without [DONE]")

    def cut_error(self, reason: str, message: str) -> StreamCutError:
        """Closes the connection and returns an error to raise."""
        self.close()
        text = f"{self.address}: {message}"
        return StreamCutError(UpstreamError(self.address, reason, text))

    def read_error(self, error: Exception) -> StreamCutError:
        """Returns the error of a failed read; a timeout closes the pool."""
        if self.timed_out:
            self.pools.drop(self.address)
            return self.cut_error("timeout", "no event within the read timeout")
        return self.cut_error("cut", str(error) or type(error).__name__)

    def finish(self) -> None:
        """Reads the end of the body so that the connection can be reused."""
        self.watchdog.discard(self)
        try:
            self.response.set_read_timeout(BODY_END_TIMEOUT_S)
            self.response.finish(reuse=not self.response.read_some())
        except (OSError, HTTPParseError):
            self.response.finish(reuse=False)

    def close(self) -> None:
        """Closes the connection unless the stream has already finished."""
        self.watchdog.discard(self)
        self.response.finish(reuse=False)


def stream_target(call: EngineCall) -> tuple[str, dict[str, Any]]:
    """Returns the path and body for a new or a resumed stream."""
    if call.resume_after_tokens is None:
        return "/v1/chat/completions", call.body
    path = (
        f"/v1/streams/{call.request_id}/resume?after={call.resume_after_tokens}"
    )
    return path, {}


class HttpEngine:
    """Client of all model engines, addressed by `host:port`."""

    def __init__(self, pools: HttpPools | None = None):
        """Creates a client, by default with its own connection pools."""
        self.pools = pools or HttpPools()
        self.watchdog = StreamWatchdog()

    def open(
        self, address: str, call: EngineCall
    ) -> Result[HttpEngineStream, UpstreamError]:
        """Starts or resumes a stream and returns it with its first bytes."""
        deadline = time.monotonic() + call.first_byte_timeout_s
        if call.new_connection:
            self.pools.drop(address)
        target, body = stream_target(call)
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
                return Err(self.status_error(address, response))
            response.set_read_timeout(deadline - time.monotonic())
            first_bytes = response.read_some()
        except (OSError, HTTPParseError) as error:
            response.finish(reuse=False)
            if isinstance(error, TimeoutError):
                self.pools.drop(address)
            return Err(transport_error(address, error, sent=True))
        if not first_bytes:
            response.finish(reuse=False)
            text = f"{address}: the response ended without an event"
            return Err(UpstreamError(address, "cut", text))
        return Ok(
            HttpEngineStream(
                self.pools,
                self.watchdog,
                address,
                response,
                first_bytes,
                call.read_timeout_s,
            )
        )

    def status_error(
        self, address: str, response: PooledResponse
    ) -> UpstreamError:
        """Returns the error for a status other than 200."""
        status = response.status_code
        wait = retry_after(response)
        text = response.read_all()[:200].decode("utf-8", "replace")
        response.finish(reuse=True)
        reason = "draining" if status == 503 else "status"
        message = f"{address} answered {status}: {text}"
        return UpstreamError(address, reason, message, retry_after_s=wait)

    def cancel(self, address: str, request_id: str) -> None:
        """Cancels a stream over another connection; errors are only logged."""
        sent = self.pools.call(
            address,
            "DELETE",
            f"/v1/streams/{request_id}",
            timeout_s=CONTROL_TIMEOUT_S,
        )
        if isinstance(sent, Err):
            log.warning(
                "cancelling a stream failed: %s", sent.err_value.message
            )

    def load(self, address: str) -> Result[EngineLoad, UpstreamError]:
        """Returns the load that an engine reports."""
        sent = self.pools.call(
            address, "GET", "/v1/load", timeout_s=CONTROL_TIMEOUT_S
        )
        if isinstance(sent, Err):
            return sent
        try:
            reply = msgspec.json.decode(sent.ok_value.body, type=LoadReply)
        except msgspec.MsgspecError as error:
            return Err(malformed_error(address, sent.ok_value, error))
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
        """Returns the versions, role, fence and applied orders of an engine."""
        return self.call_json(
            address, "GET", "/v1/state", b"", CONTROL_TIMEOUT_S
        )

    def order(
        self, address: str, order: Order
    ) -> Result[dict[str, Any], UpstreamError]:
        """Sends an order; a stale fence gives an error with reason `status`."""
        body = msgspec.json.encode(order)
        return self.call_json(
            address, "POST", "/v1/orders", body, ORDER_TIMEOUT_S
        )

    def call_json(
        self,
        address: str,
        method: str,
        target: str,
        body: bytes,
        timeout_s: float,
    ) -> Result[dict[str, Any], UpstreamError]:
        """Calls an engine and decodes the JSON object of its response."""
        sent = self.pools.call(
            address, method, target, body, JSON_HEADERS, timeout_s
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
            return Err(malformed_error(address, answer, error))


def malformed_error(
    address: str, answer: HttpAnswer, error: Exception
) -> UpstreamError:
    """Returns the error for a response that cannot be decoded."""
    text = f"{address}: malformed response ({answer.status}): {error}"
    return UpstreamError(address, "malformed", text)
