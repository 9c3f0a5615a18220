"""Requests with one whole answer."""

from amaranthlug.protocol.routing.exchange import (
    ANSWER_SLACK_S,
    BaseExchange,
    Ended,
    ExchangeTools,
    RequestContext,
    close_open,
)
from amaranthlug.protocol.routing.messages import (
    AnswerWriter,
    FailureKind,
    ReplyHead,
    SentCall,
    UpstreamCallError,
    UpstreamReply,
)
from amaranthlug.state.routing.config import RouteKind
from amaranthlug.state.routing.servers import ServerEntry

MAX_ANSWER_BYTES = 8 << 20
"""Largest answer that is kept until it is whole, in bytes."""
SECOND_SERVER_S = 0.35
"""Least wait for a server before another one is asked, in seconds; ten times
the usual work of the plain services."""
PACE_FACTOR = 6.0
"""Wait for a server against its usual time before another one is asked."""
SERVER_ERROR = 500
"""Least status of a server's failure."""


class PlainExchange(BaseExchange):
    """Sends a request until a server answers whole."""

    def __init__(
        self,
        context: RequestContext,
        writer: AnswerWriter,
        tools: ExchangeTools,
    ):
        """Prepares an exchange."""
        super().__init__(context, writer, tools)
        self.failed: tuple[ReplyHead, bytes] | None = None

    def choose(self) -> ServerEntry | None:
        """Returns a server for the next sending, None if there is none."""
        return self.tools.placement.pick_plain(
            self.context.candidates(), self.tried
        )

    def attempt(self, server: ServerEntry) -> Ended | None:
        """Asks one server; its failure is kept in case no other answers."""
        head, body = self.ask(server)
        if head.status < SERVER_ERROR:
            return self.deliver(head, body)
        self.may_have_run = True
        self.failed = head, body
        return None

    def finish(self) -> Ended:
        """Delivers a server's failure, which tells more than the node's."""
        if self.failed is not None:
            return self.deliver(*self.failed)
        return super().finish()

    def deliver(self, head: ReplyHead, body: bytes) -> Ended:
        """Sends a server's answer to the caller."""
        self.context.trace.first_event_ms = round(self.waited_ms(), 1)
        self.writer.send_response(head, body)
        outcome = "answered" if head.status < SERVER_ERROR else "server_error"
        return outcome, head.status

    def ask(self, server: ServerEntry) -> tuple[ReplyHead, bytes]:
        """Asks one server.

        Raises:
            UpstreamCallError: It gave no whole answer.
        """
        tools = self.tools
        began = tools.clock()
        sent: SentCall | None = None
        reply: UpstreamReply | None = None
        outcome = "caller_left"
        tools.health.began(server)
        try:
            sent = self.open(self.call_for(server))
            reply = self.wait(sent, self.patience_s(server))
            body = self.read(reply)
            outcome = str(reply.head.status)
            self.note_answer(server, reply.head, began)
            return reply.head, body
        except UpstreamCallError as failure:
            outcome = failure.kind.value
            self.note_failure(server, failure)
            raise
        finally:
            close_open(reply or sent)
            tools.health.ended(server)
            self.note_attempt(server, began, outcome)

    def patience_s(self, server: ServerEntry) -> float:
        """Returns how long to wait for a server, in seconds."""
        left = self.left_s() + ANSWER_SLACK_S
        if self.route.kind is not RouteKind.IDEMPOTENT:
            return left
        if self.sendings >= self.route.max_attempts:
            return left
        usual = self.tools.health.get_or_create(server).pace_ms or 0.0
        return min(left, max(SECOND_SERVER_S, PACE_FACTOR * usual / 1_000))

    def wait(self, sent: SentCall, patience_s: float) -> UpstreamReply:
        """Waits for the head of an answer."""
        try:
            reply = sent.reply(patience_s)
        except TimeoutError as error:
            raise UpstreamCallError(
                FailureKind.TIMEOUT, "no answer in time"
            ) from error
        self.check_head(reply.head)
        return reply

    def read(self, reply: UpstreamReply) -> bytes:
        """Reads a whole body."""
        pieces: list[bytes] = []
        size = 0
        while True:
            try:
                piece = reply.read(self.left_s() + ANSWER_SLACK_S)
            except TimeoutError as error:
                raise UpstreamCallError(
                    FailureKind.TIMEOUT, "the answer did not end in time"
                ) from error
            if piece is None:
                return b"".join(pieces)
            size += len(piece)
            if size > MAX_ANSWER_BYTES:
                raise UpstreamCallError(FailureKind.BROKEN, "answer too large")
            pieces.append(piece)

    def note_answer(
        self, server: ServerEntry, head: ReplyHead, began: float
    ) -> None:
        """Takes load, pace and outcome from an answer."""
        health = self.tools.health
        took_ms = (self.tools.clock() - began) * 1_000
        health.record_byte(server)
        health.record_load(server, head.load)
        slow = took_ms > max(self.route.objective_ms, 1)
        self.note_result(server, head.status >= SERVER_ERROR or slow)
        health.record_pace(server, took_ms)

    def note_failure(
        self, server: ServerEntry, failure: UpstreamCallError
    ) -> None:
        """Takes a failed sending into the server's health."""
        if failure.kind is FailureKind.TIMEOUT:
            self.note_result(server, True)
        else:
            # A broken connection tells of the server, not of its version.
            self.tools.health.record_outcome(server, True)
