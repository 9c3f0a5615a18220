"""Exchanges that are answered by a stream of events."""

import gevent

from amaranthlug.protocol.routing.event_splitter import EventSplitter
from amaranthlug.protocol.routing.exchange import (
    CHECK_PERIOD_S,
    BaseExchange,
    ExchangeResult,
    ExchangeTools,
    HandedCall,
    RequestContext,
    close_if_open,
    framing_of,
)
from amaranthlug.protocol.routing.messages import (
    AnswerWriter,
    FailureKind,
    ReplyHead,
    SentCall,
    UpstreamCall,
    UpstreamCallError,
    UpstreamReply,
)
from amaranthlug.protocol.routing.urgency import RESUMED_URGENCY, urgency_of
from amaranthlug.protocol.routing.version_speed import (
    AnswerSource,
    AnswerTimer,
)
from amaranthlug.state.routing.servers import ServerEntry

PROBE_S = 0.4
"""Time without data from a server after which its VM is probed with a new
connection, in seconds; engines send events several times a second."""
SILENCE_TIMEOUT_S = 3.0
"""Time without data from a reachable server after which a request goes to
another one that can take it, in seconds; longer than the processing of the
longest prompts."""
STALL_TIMEOUT_S = 1.5
"""Pause within a stream after which it is resumed at another server that can
take it, in seconds; callers give up after 2 s or more."""
MAX_ERROR_BYTES = 1 << 20
"""Largest body of an engine's error, in bytes."""
LATE_OBJECTIVE_SHARE = 0.5
"""Share of the objective after which a first event counts as late when
versions are compared; the same limit applies to both versions."""
HAND_OVER_S = 0.05
"""Time in which a server refuses a request that it does not take, in seconds;
more than ten round trips. Both servers may work on it for that long."""
MIN_TIMED_EVENTS = 5
"""Fewest events of a stream whose time between events is recorded."""
MIN_PROGRESS_S = 0.5
"""Time after its head from which a stream has not crashed its server, in
seconds; a server that does crash ends about 0.1 s after it began to write."""
MIN_PROGRESS_EVENTS = 3
"""Events that must also have arrived by then."""
FAILURE_RESERVE = 1.0
"""Retries that are reserved for failures; an answer of low confidence can
still be delivered, so escalation must leave them."""
ESCALATION_TIME_FACTOR = 3.0
"""Multiple of a larger model's expected time to the first event that must
remain before the objective. The expected time is that without a queue. Of 1,
1.5, 2 and 3, the sum over days of high and low load is highest at 3; 5 gains
at high load but gives fewer good answers at low load."""


class StreamExchange(BaseExchange):
    """Relays a stream and resumes it at another server when one fails."""

    def __init__(
        self,
        context: RequestContext,
        writer: AnswerWriter,
        tools: ExchangeTools,
    ):
        """Creates an exchange that has sent nothing yet."""
        super().__init__(context, writer, tools)
        self.splitter = EventSplitter(self.request.last_event)
        self.is_streaming = False
        self.content_type = ""
        self.model_index = tools.models.first_index(self.route)

    @property
    def model(self) -> str | None:
        """Returns the model to request, None for the one the caller named."""
        return (
            self.route.models[self.model_index] if self.route.models else None
        )

    def urgency(self, server: ServerEntry) -> int:
        """Returns the urgency rank that is sent with the prompt."""
        if self.is_streaming:
            return RESUMED_URGENCY
        latency = self.tools.queues.latency(server.service, self.model)
        return urgency_of(
            objective_ms=self.route.objective_ms,
            waited_ms=self.waited_ms(),
            base_ms=latency.base_ms,
            prefill_ms=self.request.prompt_tokens * latency.prefill_ms,
            priority=self.context.priority,
        )

    def choose(self, candidates: list[ServerEntry]) -> ServerEntry | None:
        """Returns an engine for the next attempt, None if there is none."""
        return self.tools.placement.pick_engine(
            candidates, self.tried, self.request, self.model
        )

    def attempt(self, server: ServerEntry) -> ExchangeResult:
        """Relays the answer of one server; returns outcome and status."""
        head = self.stream_from(server)
        return ("completed" if head.status < 300 else "answered"), head.status

    def start_timer(
        self, server: ServerEntry, model: str | None
    ) -> AnswerTimer:
        """Returns a timer of the answer to a request that is sent now."""
        return self.tools.speeds.start(
            AnswerSource(
                self.context.service_name,
                server.version,
                self.route.name,
                model or "",
                self.request.prompt_tokens,
                self.tools.placement.is_warming_up(server),
            )
        )

    def finish_unanswered(self) -> ExchangeResult:
        """Ends a stream that no server completed."""
        if self.is_streaming:
            # The connection closes without the last chunk, so the caller can
            # tell that the stream is incomplete.
            return "stream_cut", 200
        return super().finish_unanswered()

    def stream_from(self, server: ServerEntry) -> ReplyHead:
        """Relays the answer of one server to its end; returns its head.

        Raises:
            UpstreamCallError: The stream broke or did not start.
        """
        tools = self.tools
        handed, self.handed = self.handed, None
        started_at = handed.sent_at if handed else tools.clock()
        sent: SentCall | None = handed.sent if handed else None
        reply: UpstreamReply | None = handed.reply if handed else None
        outcome = "caller_left"
        error: str | None = None
        head_ms: float | None = None
        events = self.splitter.events
        call = self.call_to(server)
        tools.health.record_start(server)
        tokens = self.request.prompt_tokens
        ticket = tools.queues.record_send(server, call.model, tokens)
        timer = self.start_timer(server, call.model)
        try:
            sent = sent or self.open(call)
            self.peer = sent.peer
            reply = reply or self.wait_head(server, sent, timer)
            self.record_head(server, reply)
            head_ms = round((tools.clock() - started_at) * 1_000, 1)
            if reply.head.status < 300:
                tools.queues.record_start(server, call.model, tokens, ticket)
            self.check_head(server, reply.head)
            if reply.head.status >= 300:
                return self.relay_response(server, reply)
            self.check_content_type(reply.head)
            timer.record_head()
            self.record_lateness(server, head_ms)
            self.check_confidence(server, reply.head)
            self.relay(server, reply, timer)
            outcome = "completed"
            self.record_completed(
                server, call.model, started_at, head_ms, events
            )
            return reply.head
        except UpstreamCallError as failure:
            outcome, error = failure.kind.value, str(failure)
            self.splitter.discard_incomplete()
            self.holding.resize(0)
            self.record_failure(server, failure)
            raise
        finally:
            close_if_open(reply or sent)
            tools.health.record_end(server)
            self.release_room(server)
            tools.queues.record_end(server, ticket)
            self.record_attempt(
                server,
                started_at,
                outcome,
                error=error,
                model=call.model,
                head_ms=head_ms,
                confidence=reply.head.confidence if reply else None,
                framing=framing_of(reply),
                events=self.splitter.events - events,
            )

    def record_failure(
        self, server: ServerEntry, failure: UpstreamCallError
    ) -> None:
        """Records a failed attempt in the health of server and version."""
        if failure.kind is FailureKind.FAILED:
            self.record_result(server, bad=True)
        elif failure.kind is not FailureKind.WEAK and not failure.path_lost:
            # A broken connection is a fault of the server, not of its version.
            self.tools.health.record_outcome(server, True)

    def check_content_type(self, head: ReplyHead) -> None:
        """Checks that an answer is of the type of the stream that has begun.

        Raises:
            UpstreamCallError: It is of another type, such as a text.
        """
        if self.content_type not in ("", head.content_type):
            raise UpstreamCallError(
                FailureKind.BROKEN,
                f"content type {head.content_type!r} does not go on with a "
                f"stream of {self.content_type!r}",
            )

    def check_confidence(self, server: ServerEntry, head: ReplyHead) -> None:
        """Drops an answer of low confidence if a larger model can retry it.

        Raises:
            UpstreamCallError: The answer is dropped.
        """
        if self.is_streaming or self.attempts_sent >= self.route.max_attempts:
            return
        model_index = self.tools.models.escalation_index(
            self.route, self.model_index, head.confidence
        )
        if model_index is None:
            return
        kept = self.reason_to_keep(server, model_index)
        if kept is not None:
            self.context.trace.kept_answer = kept
            self.tools.metrics.incr(f"weak_answers.kept.{kept}")
            return
        raise UpstreamCallError(
            FailureKind.WEAK, f"confidence {head.confidence}"
        )

    def reason_to_keep(
        self, server: ServerEntry, model_index: int
    ) -> str | None:
        """Returns why an unsure answer is delivered, None if it is dropped."""
        if not self.has_time_for(model_index):
            return "no_time"
        if not self.tools.budget.can_spend(
            self.context.service_name, FAILURE_RESERVE
        ):
            return "no_budget"
        if not self.may_drop_answer_of(server, model_index):
            return "no_server"
        return None

    def may_drop_answer_of(self, server: ServerEntry, model_index: int) -> bool:
        """Returns whether a server has taken the request for a larger model."""
        former = self.model_index
        self.model_index = model_index
        self.tried.discard(server.instance_key)  # It may run other models.
        successor = self.find_successor()
        if successor is not None and self.reserve_retry():
            self.successor = successor
            if self.hand_over():
                return True
        self.tried.add(server.instance_key)
        self.model_index = former
        return False

    def hand_over(self) -> bool:
        """Sends the request to the reserved server; False if it refuses.

        The former server's answer is kept open meanwhile, so that it can still
        be used then. Refusals come at once; a server that has not refused
        within `HAND_OVER_S` has taken the request.
        """
        server = self.take_successor()
        if server is None or not self.take_room(server):
            return False
        started_at = self.tools.clock()
        sent: SentCall | None = None
        reply: UpstreamReply | None = None
        # The server has not received all of a request that was not sent in
        # time.
        too_slow = UpstreamCallError(FailureKind.NOT_SENT, "sending was slow")
        try:
            with gevent.Timeout(HAND_OVER_S, too_slow):
                sent = self.open(self.call_to(server))
            try:
                reply = sent.reply(HAND_OVER_S)
                self.check_head(server, reply.head)
            except TimeoutError:
                pass  # It neither refused nor answered yet.
        except UpstreamCallError as failure:
            close_if_open(reply or sent)
            self.release_room(server)
            self.tried.add(server.instance_key)
            self.record_failure(server, failure)
            self.tools.crashes.record_failure(
                server, self.subjects, failure.kind, started_at
            )
            self.record_attempt(
                server,
                started_at,
                failure.kind.value,
                error=str(failure),
                peer=sent.peer if sent else None,
            )
            return False
        except BaseException:
            close_if_open(reply or sent)
            raise
        self.handed = HandedCall(sent, reply, started_at)
        self.successor = server
        return True

    def call_to(self, server: ServerEntry) -> UpstreamCall:
        """Returns the call that goes on with the stream at a server."""
        return self.call_for(
            server,
            model=self.model,
            urgency=self.urgency(server),
            last_event=self.splitter.last_event,
        )

    def has_time_for(self, model_index: int) -> bool:
        """Returns whether a larger model's first event is expected in time.

        The available answer is in time. A better one that is late is worth less
        to most callers, and processing the prompt again delays other requests.
        """
        latency = self.tools.queues.latency(
            self.context.service_name, self.route.models[model_index]
        )
        needed_ms = ESCALATION_TIME_FACTOR * latency.expected_ms(
            self.request.prompt_tokens
        )
        return self.waited_ms() + needed_ms <= self.route.objective_ms

    def record_lateness(self, server: ServerEntry, head_ms: float) -> None:
        """Counts an answer whose head has arrived for the server's version.

        A slow version completes its good answers first, so none waits for the
        end of its stream.
        """
        late = head_ms > LATE_OBJECTIVE_SHARE * self.route.objective_ms
        self.record_for_version(server, bad=False, is_late=late)

    def record_completed(
        self,
        server: ServerEntry,
        model: str | None,
        started_at: float,
        head_ms: float,
        events: int,
    ) -> None:
        """Records success and time between events of a completed stream."""
        tools = self.tools
        tools.health.record_outcome(server, False)
        new_events = self.splitter.events - events
        if new_events >= MIN_TIMED_EVENTS:
            took_ms = (tools.clock() - started_at) * 1_000 - head_ms
            latency = tools.queues.latency(server.service, model)
            tools.health.record_pace(
                server, 100 * latency.relative_event_time(took_ms / new_events)
            )

    def relay_response(
        self, server: ServerEntry, reply: UpstreamReply
    ) -> ReplyHead:
        """Delivers a status of 300 to 499; raises others to be retried.

        Raises:
            UpstreamCallError: The server failed, or refused to resume a stream.
        """
        if reply.head.status >= 500:
            raise UpstreamCallError(
                FailureKind.FAILED,
                f"server failed with status {reply.head.status}",
            )
        chunks: list[bytes] = []
        size = 0
        while (chunk := self.next_chunk(server, reply)) is not None:
            size += len(chunk)
            if size > MAX_ERROR_BYTES:
                raise UpstreamCallError(
                    FailureKind.BROKEN, "body of the error exceeds 1 MiB"
                )
            self.hold(server, size)
            chunks.append(chunk)
        if self.is_streaming:
            raise UpstreamCallError(
                FailureKind.FAILED, "server refused to resume the stream"
            )
        self.writer.send_response(reply.head, b"".join(chunks))
        return reply.head

    def wait_head(
        self, server: ServerEntry, sent: SentCall, timer: AnswerTimer
    ) -> UpstreamReply:
        """Waits for the response head.

        Raises:
            UpstreamCallError: The server failed, the time is over, or another
                server takes over from a silent one.
        """
        tools = self.tools
        started_at = tools.clock()
        while True:
            timeout_s = min(CHECK_PERIOD_S, self.answer_time_left_s())
            try:
                reply = sent.reply(max(timeout_s, 0.001))
            except TimeoutError:
                timer.check()
                self.check_time()
                silent_since = max(self.last_byte_at(server), started_at)
                self.check_silence(server, silent_since, SILENCE_TIMEOUT_S)
                continue
            return reply

    def record_head(self, server: ServerEntry, reply: UpstreamReply) -> None:
        """Records that a server has sent the head of its answer."""
        if reply.head.status != 421:
            self.record_byte(server)
        self.tools.health.record_load(server, reply.head.load)

    def check_silence(
        self, server: ServerEntry, silent_since: float, limit_s: float
    ) -> None:
        """Leaves a silent server if another one can take over.

        Args:
            server: Server that should send.
            silent_since: Clock reading since which it sent nothing, in seconds.
            limit_s: Longest wait for a server that is reachable, in seconds.

        Raises:
            UpstreamCallError: The request goes to another server.
        """
        if self.tools.clock() - silent_since > limit_s:
            message = f"server completed no head or event for {limit_s} s"
        elif self.could_continue() and self.is_unreachable(
            server, silent_since
        ):
            message = "server is unreachable"
        else:
            return
        if self.may_leave(server) and self.hand_over():
            raise UpstreamCallError(FailureKind.TIMEOUT, message)

    def is_unreachable(self, server: ServerEntry, silent_since: float) -> bool:
        """Returns whether the connection to a silent server seems dead."""
        last_data_at = max(self.last_byte_at(server), silent_since)
        if self.tools.clock() - last_data_at <= PROBE_S:
            return False
        through_peer = self.peer is not None
        return not self.holds_in_time(
            lambda: self.tools.port.is_path_alive(server, through_peer)
        )

    def last_byte_at(self, server: ServerEntry) -> float:
        """Returns when a server last sent data to any request."""
        return self.tools.health.get_or_create(server).last_byte_at

    def check_time(self) -> None:
        """Checks that the time limit has not passed.

        Raises:
            UpstreamCallError: It has passed.
        """
        if self.answer_time_left_s() <= 0:
            raise UpstreamCallError(
                FailureKind.TIMEOUT, "request time limit passed"
            )

    def next_chunk(
        self,
        server: ServerEntry,
        reply: UpstreamReply,
        timer: AnswerTimer | None = None,
    ) -> bytes | None:
        """Returns the next part of a body, None at its end.

        Raises:
            UpstreamCallError: The server failed, the time is over, or another
                server takes over from a silent one.
        """
        # A read that finds data does not time out.
        self.check_time()
        started_at = self.tools.clock()
        while True:
            timeout_s = min(CHECK_PERIOD_S, self.answer_time_left_s())
            try:
                chunk = reply.read(max(timeout_s, 0.001))
            except TimeoutError:
                if timer is not None:
                    timer.check()
                self.check_time()
                self.check_silence(server, started_at, STALL_TIMEOUT_S)
                continue
            self.record_byte(server)
            return chunk

    def relay(
        self, server: ServerEntry, reply: UpstreamReply, timer: AnswerTimer
    ) -> None:
        """Sends complete events to the caller as they arrive.

        Raises:
            UpstreamCallError: The stream broke.
        """
        began_at, first = self.tools.clock(), self.splitter.events
        incomplete_since: float | None = None
        while (chunk := self.next_chunk(server, reply, timer)) is not None:
            try:
                events = self.splitter.feed(chunk)
            except ValueError as error:
                raise UpstreamCallError(
                    FailureKind.BROKEN, str(error)
                ) from error
            self.hold(server, len(events) + len(self.splitter.incomplete))
            if not events:
                incomplete_since = incomplete_since or self.tools.clock()
                self.check_silence(server, incomplete_since, STALL_TIMEOUT_S)
                continue
            incomplete_since = None
            new_events = self.splitter.events - first
            self.record_progress(began_at, new_events)
            timer.record_events(new_events)
            if self.is_streaming:
                self.writer.send_chunk(events)
            else:
                self.start_stream(reply, events)
            self.holding.resize(len(self.splitter.incomplete))
        if self.splitter.incomplete:
            raise UpstreamCallError(
                FailureKind.BROKEN, "stream ended within an event"
            )
        if not self.is_streaming:
            self.start_stream(reply, b"")
        self.writer.end_stream()

    def record_progress(self, began_at: float, events: int) -> None:
        """Records that a stream did not crash its server when it began."""
        if (
            not self.made_progress
            and events >= MIN_PROGRESS_EVENTS
            and self.tools.clock() - began_at >= MIN_PROGRESS_S
        ):
            self.made_progress = True
            self.tools.crashes.record_completed(self.subjects)

    def start_stream(self, reply: UpstreamReply, events: bytes) -> None:
        """Sends the head and the first events to the caller."""
        self.is_streaming = True
        self.content_type = reply.head.content_type
        waited_ms = self.waited_ms()
        self.context.trace.first_event_ms = round(waited_ms, 1)
        self.tools.metrics.timing("first_event_ms", waited_ms)
        self.writer.start_stream(reply.head, events)
