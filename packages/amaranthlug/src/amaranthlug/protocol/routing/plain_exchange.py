"""Exchanges whose answer is delivered only when it is complete."""

from collections.abc import Callable
from typing import TypeVar

from amaranthlug.protocol.routing.exchange import (
    CHECK_PERIOD_S,
    BaseExchange,
    ExchangeResult,
    ExchangeTools,
    RequestContext,
    close_if_open,
    framing_of,
)
from amaranthlug.protocol.routing.messages import (
    AnswerWriter,
    FailureKind,
    ReplyHead,
    SentCall,
    UpstreamCallError,
    UpstreamReply,
)
from amaranthlug.state.routing.servers import ServerEntry

MAX_ANSWER_BYTES = 8 << 20
"""Largest answer that is buffered until it is complete, in bytes."""
SECOND_SERVER_S = 0.35
"""Shortest wait for a server before another one that can take the request is
tried, in seconds; ten times the usual duration of a request at a plain
service."""
PACE_FACTOR = 6.0
"""Wait for a server before another is tried, in multiples of its average."""
SERVER_ERROR = 500
"""Lowest status that counts as a failure of the server."""

Received = TypeVar("Received")


class PlainExchange(BaseExchange):
    """Sends a request until a server returns a complete answer."""

    def __init__(
        self,
        context: RequestContext,
        writer: AnswerWriter,
        tools: ExchangeTools,
    ):
        """Creates an exchange that has sent nothing yet."""
        super().__init__(context, writer, tools)
        self.error_answer: tuple[ReplyHead, bytes] | None = None

    def choose(self, candidates: list[ServerEntry]) -> ServerEntry | None:
        """Returns a server for the next attempt, None if there is none."""
        return self.tools.placement.pick_plain(candidates, self.tried)

    def attempt(self, server: ServerEntry) -> ExchangeResult | None:
        """Sends to one server; keeps an error status in case none succeeds."""
        head, body = self.send_to(server)
        if head.status < SERVER_ERROR:
            return self.deliver(head, body)
        self.may_have_run = True
        self.error_answer = head, body
        return None

    def finish_unanswered(self) -> ExchangeResult:
        """Delivers a server's error, which says more than the node's reply."""
        if self.error_answer is not None:
            return self.deliver(*self.error_answer)
        return super().finish_unanswered()

    def deliver(self, head: ReplyHead, body: bytes) -> ExchangeResult:
        """Sends a server's answer to the caller."""
        self.context.trace.first_event_ms = round(self.waited_ms(), 1)
        self.writer.send_response(head, body)
        outcome = "answered" if head.status < SERVER_ERROR else "server_error"
        return outcome, head.status

    def send_to(self, server: ServerEntry) -> tuple[ReplyHead, bytes]:
        """Sends the request to one server; returns head and body.

        Raises:
            UpstreamCallError: The server gave no complete answer.
        """
        tools = self.tools
        started_at = tools.clock()
        sent: SentCall | None = None
        reply: UpstreamReply | None = None
        outcome = "caller_left"
        error: str | None = None
        held_before = self.holding.size
        tools.health.record_start(server)
        try:
            sent = self.open(self.call_for(server))
            self.peer = sent.peer
            reply = self.wait_head(server, sent)
            body = self.read(server, reply)
            outcome = str(reply.head.status)
            self.record_answer(server, reply.head, started_at)
            return reply.head, body
        except UpstreamCallError as failure:
            outcome, error = failure.kind.value, str(failure)
            self.holding.resize(held_before)
            self.record_failure(server, failure)
            raise
        finally:
            close_if_open(reply or sent)
            tools.health.record_end(server)
            self.release_room(server)
            self.record_attempt(
                server,
                started_at,
                outcome,
                error=error,
                framing=framing_of(reply),
            )

    def wait_head(self, server: ServerEntry, sent: SentCall) -> UpstreamReply:
        """Waits for a usable response head.

        Raises:
            UpstreamCallError: None came in time, or it is not usable.
        """
        reply = self.wait(server, sent.reply, "no response head in time")
        self.check_head(server, reply.head)
        return reply

    def wait(
        self,
        server: ServerEntry,
        receive: Callable[[float], Received],
        message: str,
    ) -> Received:
        """Waits for the next part of an answer.

        Args:
            server: Server that should send it.
            receive: Waits for the part for a number of seconds.
            message: Says what was missing when the server is left.

        Raises:
            UpstreamCallError: The time is over, or another server takes over
                from a silent one.
        """
        timeout_s = self.first_wait_s(server)
        while True:
            try:
                return receive(min(timeout_s, self.answer_time_left_s()))
            except TimeoutError as error:
                if self.answer_time_left_s() <= 0 or self.may_leave(server):
                    raise UpstreamCallError(
                        FailureKind.TIMEOUT, message
                    ) from error
                timeout_s = CHECK_PERIOD_S

    def first_wait_s(self, server: ServerEntry) -> float:
        """Returns how long to wait before another server may be tried."""
        average_ms = self.tools.health.get_or_create(server).pace_ms or 0.0
        return max(SECOND_SERVER_S, PACE_FACTOR * average_ms / 1_000)

    def read(self, server: ServerEntry, reply: UpstreamReply) -> bytes:
        """Reads a complete body.

        Raises:
            UpstreamCallError: The body is late, broken or too large.
        """
        chunks: list[bytes] = []
        size = 0
        held_before = self.holding.size
        while True:
            chunk = self.wait(
                server, reply.read, "response body did not go on in time"
            )
            if chunk is None:
                return b"".join(chunks)
            size += len(chunk)
            if size > MAX_ANSWER_BYTES:
                raise UpstreamCallError(
                    FailureKind.BROKEN, "response body exceeds 8 MiB"
                )
            self.hold(server, held_before + size)
            chunks.append(chunk)

    def record_answer(
        self, server: ServerEntry, head: ReplyHead, started_at: float
    ) -> None:
        """Records load, duration and outcome of an answer."""
        health = self.tools.health
        took_ms = (self.tools.clock() - started_at) * 1_000
        self.record_byte(server)
        health.record_load(server, head.load)
        slow = took_ms > max(self.route.objective_ms, 1)
        self.record_result(server, head.status >= SERVER_ERROR, slow)
        health.record_pace(server, took_ms)

    def record_failure(
        self, server: ServerEntry, failure: UpstreamCallError
    ) -> None:
        """Records a failed attempt in the server's health."""
        if failure.kind is FailureKind.TIMEOUT:
            self.record_result(server, bad=False, is_late=True)
        elif not failure.path_lost:
            # A broken connection is a fault of the server, not of its version.
            self.tools.health.record_outcome(server, True)
