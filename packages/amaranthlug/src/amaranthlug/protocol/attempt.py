"""One attempt to run a step on one server."""

import time
from collections.abc import Iterator

import gevent
from result import Err, Ok, Result

from amaranthlug.protocol.interfaces import (
    ChatRequest,
    ServerChooser,
    VersionChooser,
)
from amaranthlug.protocol.relay import AnswerMeter, event_data, split_events
from amaranthlug.protocol.token_latency import TokenLatencies
from amaranthlug.protocol.upstream import (
    EngineCall,
    EngineClient,
    EngineStream,
    StreamCutError,
    UpstreamError,
)
from amaranthlug.state.catalog import Upstream, VersionId


class Attempt:
    """A step that runs on one server; its outcome is reported exactly once.

    Attributes:
        tokens_at_start: Tokens that earlier attempts had received.
        pending: Bytes for the caller that were read while waiting for the
            first token.
        first_token_s: Time to the first token in seconds, 0 before it came.
        is_open: The outcome was not reported yet.
        has_timed_out: The stream was resumed after a timeout once.
    """

    def __init__(
        self,
        engine: EngineClient,
        chooser: VersionChooser,
        servers: ServerChooser,
        latencies: TokenLatencies,
        request: ChatRequest,
        version: VersionId,
        upstream: Upstream,
        meter: AnswerMeter,
    ):
        """Reports the start of an attempt on a server that was picked."""
        self.engine = engine
        self.chooser = chooser
        self.servers = servers
        self.latencies = latencies
        self.request = request
        self.version = version
        self.upstream = upstream
        self.meter = meter
        self.tokens_at_start = meter.tokens
        self.pending = b""
        self.first_token_s = 0.0
        self.started_at = time.monotonic()
        self.stream: EngineStream | None = None
        self.blocks: Iterator[bytes] = iter(())
        self.is_open = True
        self.has_timed_out = False
        chooser.started(request, version)

    def open(self, call: EngineCall) -> Result[None, UpstreamError]:
        """Sends the call and waits for the first new token."""
        opened = self.engine.open(self.upstream.address, call)
        if isinstance(opened, Err):
            return opened
        self.stream = opened.ok_value
        self.blocks = self.stream.blocks()
        try:
            self.read_first_token()
        except StreamCutError as error:
            self.close_stream()
            return Err(error.error)
        if self.first_token_s == 0.0:
            self.first_token_s = max(time.monotonic() - self.started_at, 1e-6)
        return Ok(None)

    def read_first_token(self) -> None:
        """Reads until a new token, the end or an error."""
        meter = self.meter
        tokens_before = meter.tokens
        pending = []
        while meter.tokens == tokens_before and not meter.ended:
            block = next(self.blocks, None)
            if block is None:
                raise self.stream_error(
                    "cut", "the stream ended without [DONE]"
                )
            pending.append(meter.feed(block))
            self.raise_engine_error()
        self.pending = b"".join(pending)
        if tokens_before:
            # A continued stream repeats the opening event without content.
            self.pending = content_events(self.pending)
        if meter.tokens == 0:
            raise self.stream_error("empty", "the engine sent an empty answer")

    def read(self) -> Iterator[bytes]:
        """Yields bytes for the caller until the end marker.

        Raises:
            StreamCutError: The stream ended early or reported an error.
        """
        meter = self.meter
        if self.pending:
            pending, self.pending = self.pending, b""
            yield pending
        if meter.ended:
            return
        for block in self.blocks:
            out = meter.feed(block)
            if meter.error is not None:
                self.raise_engine_error()
            if out:
                yield out
            if meter.ended:
                return
        raise self.stream_error("cut", "the stream ended without [DONE]")

    def raise_engine_error(self) -> None:
        """Raises `StreamCutError` if the engine sent an error event."""
        error, self.meter.error = self.meter.error, None
        if error is not None:
            raise self.stream_error("status", f"the engine reported {error}")

    def stream_error(self, reason: str, message: str) -> StreamCutError:
        """Returns the error that ends the stream of this attempt."""
        address = self.upstream.address
        return StreamCutError(
            UpstreamError(address, reason, f"{address}: {message}")
        )

    def may_resume(self, reason: str) -> bool:
        """Returns whether the stream may be resumed on the same server.

        A stream with a lost connection may be resumed each time, one that
        timed out only once.
        """
        if reason == "timeout":
            first_time, self.has_timed_out = not self.has_timed_out, True
            return first_time
        return reason == "cut"

    def timed_out_in_queue(self, reason: str) -> bool:
        """Returns whether an attempt timed out in the queue of a full server.

        Such a timeout counts neither against the version nor the server:
        counting it made an overload withdraw all versions.
        """
        if reason != "timeout" or self.first_token_s:
            return False
        return self.servers.is_queueing(self.upstream.address)

    def resume_stream(self, call: EngineCall) -> Result[None, UpstreamError]:
        """Resumes the stream on a new connection to the same server."""
        self.close_stream()
        return self.open(call)

    def close_stream(self) -> None:
        """Closes the stream if it is open."""
        if self.stream is not None:
            self.stream.close()
            self.stream = None

    def cancel(self) -> None:
        """Closes the stream and cancels the work upstream in the background."""
        self.close_stream()
        gevent.spawn(
            self.engine.cancel, self.upstream.address, self.request.request_id
        )

    def read_to_end(self) -> None:
        """Reads past the end marker so that the connection can be reused."""
        try:
            for _ in self.blocks:
                pass
        except StreamCutError:
            self.close_stream()

    def report_outcome(self, outcome: str, answer: str, failed: bool) -> None:
        """Reports the outcome to both choosers; later calls have no effect."""
        if not self.is_open:
            return
        self.is_open = False
        try:
            self.servers.done(self.upstream.address, self.first_token_s, failed)
        finally:
            self.chooser.finished(
                self.request,
                self.version,
                self.upstream.address,
                outcome,
                answer,
            )
        if outcome == "complete":
            self.record_latency()

    def record_latency(self) -> None:
        """Records the time to the first token and the time between tokens."""
        tokens = self.meter.tokens - self.tokens_at_start
        streamed_s = time.monotonic() - self.started_at - self.first_token_s
        between_tokens_s = streamed_s / (tokens - 1) if tokens > 1 else 0.0
        self.latencies.observe(
            self.version, self.first_token_s, between_tokens_s
        )


def content_events(block: bytes) -> bytes:
    """Returns the events of a block with content or a finish reason."""
    content = []
    for event in split_events(block):
        event_meter = AnswerMeter()
        event_meter.finish_reason = ""
        event_meter.add_payload(event_data(event))
        if event_meter.token_count or event_meter.finish_reason:
            content.append(event)
    return b"".join(content)
