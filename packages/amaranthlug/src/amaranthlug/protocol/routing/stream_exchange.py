"""Requests that are answered by a stream of events."""

from amaranthlug.protocol.routing.event_splitter import EventSplitter
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
from amaranthlug.protocol.routing.urgency import RESUMED_URGENCY, urgency_of
from amaranthlug.state.routing.servers import ServerEntry

PROBE_S = 0.4
"""Time without a byte from a server after which its VM is probed by a new
connection, in seconds; engines send events several times a second."""
SILENT_S = 3.0
"""Time without a byte from a reachable server after which a request leaves
it, in seconds: longer than it takes to read the longest prompts."""
STALL_S = 1.5
"""Longest pause inside a stream before it goes on at another server, in
seconds; callers give up after 2 s and more."""
CHECK_S = 0.25
"""Period in which a waiting stream checks its server, in seconds."""
LATE_SHARE = 0.5
"""Part of the objective after which a first event counts as late when
versions are compared; both versions are held to the same measure."""
MIN_PACE_EVENTS = 5
"""Events of a stream from which on its pace is measured."""
FAILURE_RESERVE = 1.0
"""Saved-up repeats that only failures may use; a weak answer is still an
answer."""
TIME_MARGIN = 3.0
"""Multiple of a larger model's usual time to the first event that must be
left before the objective. The usual time is that without a queue; of 1, 1.5, 2
and 3 the sum over heavy and calm days is highest at 3, and 5 gains on heavy
days but gives fewer good answers on calm ones."""


class StreamExchange(BaseExchange):
    """Relays a stream, going on at another server when one breaks."""

    def __init__(
        self,
        context: RequestContext,
        writer: AnswerWriter,
        tools: ExchangeTools,
    ):
        """Prepares an exchange."""
        super().__init__(context, writer, tools)
        self.splitter = EventSplitter(self.request.last_event)
        self.begun = False
        self.place = tools.models.first(self.route)

    @property
    def model(self) -> str | None:
        """Returns the model to ask for, None as the caller says."""
        return self.route.models[self.place] if self.route.models else None

    def urgency(self, server: ServerEntry) -> int:
        """Returns the rank that engines give the prompt."""
        if self.begun:
            return RESUMED_URGENCY
        latency = self.tools.queues.latency(server.service, self.model)
        return urgency_of(
            objective_ms=self.route.objective_ms,
            waited_ms=self.waited_ms(),
            start_ms=latency.start_ms,
            read_ms=self.request.prompt_tokens * latency.read_ms,
            priority=self.context.priority,
        )

    def choose(self) -> ServerEntry | None:
        """Returns an engine for the next sending, None if there is none."""
        return self.tools.placement.pick_engine(
            self.context.candidates(), self.tried, self.request, self.model
        )

    def attempt(self, server: ServerEntry) -> Ended:
        """Relays what one server sends."""
        head = self.stream_from(server)
        return ("completed" if head.status < 300 else "answered"), head.status

    def finish(self) -> Ended:
        """Ends a stream that no server completed."""
        if self.begun:
            # The caller sees the connection end without the last chunk.
            return "stream_cut", 200
        return super().finish()

    def stream_from(self, server: ServerEntry) -> ReplyHead:
        """Relays what one server sends until the stream's end.

        Raises:
            UpstreamCallError: The stream broke or did not begin.
        """
        tools = self.tools
        began = tools.clock()
        sent: SentCall | None = None
        reply: UpstreamReply | None = None
        outcome = "caller_left"
        head_ms: float | None = None
        events = self.splitter.events
        call = self.call_for(
            server,
            model=self.model,
            urgency=self.urgency(server),
            last_event=self.splitter.last_event,
        )
        tools.health.began(server)
        tools.record_session(self.request.session, server.version)
        tokens = self.request.prompt_tokens
        ticket = tools.queues.sent(server, call.model, tokens)
        try:
            self.splitter.tail = b""
            sent = self.open(call)
            reply = self.wait_head(server, sent)
            head_ms = round((tools.clock() - began) * 1_000, 1)
            if reply.head.status < 300:
                tools.queues.began(server, call.model, tokens, ticket)
            self.check_head(reply.head)
            if reply.head.status >= 300:
                return self.relay_whole(server, reply)
            self.check_answer(reply.head)
            self.relay(server, reply)
            outcome = "completed"
            self.note_completed(server, call.model, began, head_ms, events)
            return reply.head
        except UpstreamCallError as failure:
            outcome = failure.kind.value
            self.note_failure(server, failure)
            raise
        finally:
            close_open(reply or sent)
            tools.health.ended(server)
            tools.queues.ended(server, ticket)
            self.note_attempt(
                server,
                began,
                outcome,
                model=call.model,
                head_ms=head_ms,
                confidence=reply.head.confidence if reply else None,
                events=self.splitter.events - events,
            )

    def note_failure(
        self, server: ServerEntry, failure: UpstreamCallError
    ) -> None:
        """Takes a failed sending into the health of server and version."""
        if failure.kind is FailureKind.WEAK:
            self.tried.discard(server.instance_key)
        elif failure.kind is FailureKind.FAILED:
            self.note_result(server, bad=True)
        else:
            # A broken connection tells of the server, not of its version.
            self.tools.health.record_outcome(server, True)

    def check_answer(self, head: ReplyHead) -> None:
        """Drops an answer that a larger model should give instead.

        Raises:
            UpstreamCallError: The answer is dropped.
        """
        if self.begun or self.sendings >= self.route.max_attempts:
            return
        place = self.tools.models.following(
            self.route, self.place, head.confidence
        )
        if (
            place is None
            or not self.has_time_for(place)
            or not self.tools.budget.has(
                self.context.service_name, FAILURE_RESERVE
            )
        ):
            return
        self.place = place
        raise UpstreamCallError(
            FailureKind.WEAK, f"confidence {head.confidence}"
        )

    def has_time_for(self, place: int) -> bool:
        """Tells whether a larger model's first event would be in time.

        The answer at hand is in time; a better one that is late is worth less
        to most callers, and reading the prompt again makes others late too.
        """
        latency = self.tools.queues.latency(
            self.context.service_name, self.route.models[place]
        )
        needed_ms = TIME_MARGIN * latency.expected_ms(
            self.request.prompt_tokens
        )
        return self.waited_ms() + needed_ms <= self.route.objective_ms

    def note_completed(
        self,
        server: ServerEntry,
        model: str | None,
        began: float,
        head_ms: float,
        events: int,
    ) -> None:
        """Takes outcome and pace of a stream that ended whole."""
        tools = self.tools
        tools.health.record_outcome(server, False)
        late = head_ms > LATE_SHARE * self.route.objective_ms
        tools.record_outcome(
            self.context.service_name, server.version, self.route.name, late
        )
        made = self.splitter.events - events
        if made >= MIN_PACE_EVENTS:
            took_ms = (tools.clock() - began) * 1_000 - head_ms
            latency = tools.queues.latency(server.service, model)
            tools.health.record_pace(
                server, 100 * latency.relative_pace(took_ms / made)
            )

    def relay_whole(
        self, server: ServerEntry, reply: UpstreamReply
    ) -> ReplyHead:
        """Delivers a failure of a server, or raises it to be repeated."""
        if reply.head.status >= 500:
            raise UpstreamCallError(
                FailureKind.FAILED, f"server answered {reply.head.status}"
            )
        body = b""
        while (piece := self.next_piece(server, reply)) is not None:
            body += piece
        if self.begun:
            raise UpstreamCallError(FailureKind.FAILED, "refused to go on")
        self.writer.send_response(reply.head, body)
        return reply.head

    def wait_head(self, server: ServerEntry, sent: SentCall) -> UpstreamReply:
        """Waits for the first event while the server is alive."""
        tools = self.tools
        began = tools.clock()
        while True:
            wait = min(CHECK_S, self.left_s() + ANSWER_SLACK_S)
            try:
                reply = sent.reply(max(wait, 0.001))
            except TimeoutError:
                self.check_time()
                self.check_alive(server, began)
                continue
            tools.health.record_byte(server)
            tools.health.record_load(server, reply.head.load)
            return reply

    def check_alive(self, server: ServerEntry, since: float) -> None:
        """Ends an exchange with a server that is dead or silent.

        Raises:
            UpstreamCallError: The request should go elsewhere.
        """
        now = self.tools.clock()
        heard = max(self.tools.health.get_or_create(server).last_byte_at, since)
        if now - heard > PROBE_S and not self.tools.port.is_reachable(server):
            raise UpstreamCallError(
                FailureKind.TIMEOUT, "the server is unreachable"
            )
        if now - since > SILENT_S and now - heard > SILENT_S:
            raise UpstreamCallError(FailureKind.TIMEOUT, "the server is silent")

    def check_time(self) -> None:
        """Ends an exchange whose time is over.

        Raises:
            UpstreamCallError: The time is over.
        """
        if self.left_s() + ANSWER_SLACK_S <= 0:
            raise UpstreamCallError(FailureKind.TIMEOUT, "the time is over")

    def next_piece(
        self, server: ServerEntry, reply: UpstreamReply
    ) -> bytes | None:
        """Returns more of a body while the server is alive."""
        began = self.tools.clock()
        while True:
            wait = min(CHECK_S, self.left_s() + ANSWER_SLACK_S)
            try:
                piece = reply.read(max(wait, 0.001))
            except TimeoutError:
                self.check_time()
                self.check_alive(server, began)
                if self.tools.clock() - began > STALL_S:
                    raise UpstreamCallError(
                        FailureKind.TIMEOUT, "the stream stalled"
                    ) from None
                continue
            self.tools.health.record_byte(server)
            return piece

    def relay(self, server: ServerEntry, reply: UpstreamReply) -> None:
        """Sends whole events to the caller as they come."""
        while (piece := self.next_piece(server, reply)) is not None:
            try:
                events = self.splitter.feed(piece)
            except ValueError as error:
                raise UpstreamCallError(
                    FailureKind.BROKEN, str(error)
                ) from error
            if not events:
                continue
            if self.begun:
                self.writer.send_chunk(events)
            else:
                self.begin(reply, events)
        if self.splitter.tail:
            raise UpstreamCallError(
                FailureKind.BROKEN, "the stream ended inside an event"
            )
        if not self.begun:
            self.begin(reply, b"")
        self.writer.end_stream()

    def begin(self, reply: UpstreamReply, events: bytes) -> None:
        """Sends the head with the first events."""
        self.begun = True
        waited_ms = self.waited_ms()
        self.context.trace.first_event_ms = round(waited_ms, 1)
        self.tools.metrics.timing("first_event_ms", waited_ms)
        self.writer.start_stream(reply.head, events)
