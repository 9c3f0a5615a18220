"""What plain and streamed exchanges with servers have in common."""

import dataclasses
import random
from collections.abc import Callable
from typing import Any

import gevent

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.messages import (
    AnswerWriter,
    FailureKind,
    LocalReply,
    ReplyHead,
    RoutedRequest,
    SentCall,
    ServerPort,
    UpstreamCall,
    UpstreamCallError,
    UpstreamReply,
)
from amaranthlug.protocol.routing.model_choice import ModelChoice
from amaranthlug.protocol.routing.placement import Placement
from amaranthlug.protocol.routing.request_log import RequestTrace
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.state.routing.config import Route
from amaranthlug.state.routing.servers import ServerEntry

PROMISES = frozenset({408, 429, 503})
"""Statuses that tell a caller that its request has not run and never will; a
server's own count only together with its statement."""
MIN_LEFT_S = 0.02
"""Time below which a request is not sent any more, in seconds."""
ANSWER_SLACK_S = 0.1
"""Time after the limit in which a server's own answer may still arrive, in
seconds; a final answer is due 0.25 s after the limit."""
WAIT_SHARE = 0.125
"""Part of the objective for which a request waits for a server to be listed;
then its caller is told to come back, which costs it little time."""
MIN_LEFT_SHARE = 0.5
"""Part of the objective that must be left for such a wait to make sense."""
NO_SERVER_WAIT_S = 0.05
"""Pause before looking again for a server, in seconds."""
COME_BACK_S = (0.2, 0.7)
"""Range of the time after which a refused caller may come back, in seconds."""

Ended = tuple[str, int] | LocalReply
"""Outcome and status, or the answer that the node gives itself."""


@dataclasses.dataclass
class ExchangeTools:
    """What exchanges with servers need.

    Attributes:
        port: Sends requests.
        placement: Chooses servers.
        health: What was seen of servers.
        budget: Retries of this node.
        models: Chooses models.
        queues: Expected waits at engines.
        metrics: Counters and durations.
        clock: Returns seconds, including time in which the VM was paused.
        record_outcome: Takes service, version, route and whether the answer was
            bad, for roll-outs.
        record_session: Takes the session and the version that it runs on.
        random: Source of random numbers.
    """

    port: ServerPort
    placement: Placement
    health: ServerHealthTracker
    budget: RetryBudget
    models: ModelChoice
    queues: EngineQueues
    metrics: Metrics
    clock: Callable[[], float]
    record_outcome: Callable[[str, str, str, bool], None]
    record_session: Callable[[str | None, str], None]
    random: random.Random


@dataclasses.dataclass
class RequestContext:
    """A request with what was decided about it.

    Attributes:
        request: The request.
        route: Its route.
        service_name: Name of the service.
        organisation: Holder of the key.
        priority: Rank; 0 is the most urgent.
        keyed: The request needs its key.
        candidates: Returns the servers that may get it now.
        may_send: Tells whether it may still be sent.
        trace: Collects decisions.
    """

    request: RoutedRequest
    route: Route
    service_name: str
    organisation: str | None
    priority: int
    keyed: bool
    candidates: Callable[[], list[ServerEntry]]
    may_send: Callable[["RequestContext"], bool]
    trace: RequestTrace


class BaseExchange:
    """Sending rules that hold for all kinds."""

    def __init__(
        self,
        context: RequestContext,
        writer: AnswerWriter,
        tools: ExchangeTools,
    ):
        """Prepares an exchange."""
        self.context = context
        self.request = context.request
        self.route = context.route
        self.writer = writer
        self.tools = tools
        self.tried: set[tuple[str, int]] = set()
        self.sendings = 0
        self.may_have_run = False
        self.limit = min(
            self.request.deadline,
            self.request.arrived + self.route.timeout_ms / 1_000,
        )

    def run(self) -> Ended:
        """Sends the request until it is answered or given up."""
        while self.may_repeat():
            server = self.choose()
            if server is None:
                if self.sendings == 0 and self.wait_for_server():
                    continue
                break
            if not self.context.may_send(self.context):
                break
            self.tried.add(server.instance_key)
            try:
                ended = self.attempt(server)
            except UpstreamCallError as failure:
                self.may_have_run = self.may_have_run or failure.may_have_run
                continue
            if ended is not None:
                return ended
        return self.finish()

    def choose(self) -> ServerEntry | None:
        """Returns a server for the next sending, None if there is none."""
        raise NotImplementedError

    def attempt(self, server: ServerEntry) -> Ended | None:
        """Sends the request to one server; None if another may be asked.

        Raises:
            UpstreamCallError: The server gave no answer for the caller.
        """
        raise NotImplementedError

    def finish(self) -> Ended:
        """Ends a request that no server answered."""
        return self.give_up("no_server")

    def left_s(self) -> float:
        """Returns the time until the final answer is due, in seconds."""
        return self.limit - self.tools.clock()

    def waited_ms(self) -> float:
        """Returns the time since the request arrived, in milliseconds."""
        return (self.tools.clock() - self.request.arrived) * 1_000

    def may_repeat(self) -> bool:
        """Tells whether the route allows one more sending, and pays for it."""
        if self.sendings >= self.route.max_attempts:
            return False
        if self.may_have_run and not self.route.repeatable:
            return False
        if self.left_s() < MIN_LEFT_S:
            return False
        return self.sendings == 0 or self.tools.budget.take(
            self.context.service_name
        )

    def open(self, call: UpstreamCall) -> SentCall:
        """Sends a request and counts it.

        Raises:
            UpstreamCallError: It was not sent, or the connection broke.
        """
        try:
            sent = self.tools.port.send(call)
        except UpstreamCallError as failure:
            if failure.kind is not FailureKind.NOT_SENT:
                self.sendings += 1
            raise
        self.sendings += 1
        if self.sendings == 1:
            self.tools.budget.earn(self.context.service_name)
        return sent

    def call_for(self, server: ServerEntry, **more: Any) -> UpstreamCall:
        """Returns the call of a request to a server."""
        return UpstreamCall(
            request=self.request,
            server=server,
            organisation=self.context.organisation,
            left_s=self.left_s(),
            repeatable=self.route.repeatable,
            **more,
        )

    def check_head(self, head: ReplyHead) -> None:
        """Raises what a head says of a failed sending.

        Raises:
            UpstreamCallError: The request did not run, or the answer is not one
                that the caller can use.
        """
        if head.not_run or head.status == 421:
            raise UpstreamCallError(
                FailureKind.NOT_RUN, f"refused with {head.status}"
            )
        if head.status in PROMISES:
            # To a caller this status would say that the request has not run.
            raise UpstreamCallError(
                FailureKind.FAILED, f"{head.status} without a statement"
            )
        if head.encoded:
            raise UpstreamCallError(FailureKind.BROKEN, "encoded body")
        if head.status < 300 and not head.sealed:
            raise UpstreamCallError(FailureKind.BROKEN, "answer without a seal")

    def note_attempt(
        self, server: ServerEntry, began: float, outcome: str, **more: Any
    ) -> None:
        """Adds a sending to the trace."""
        health = self.tools.health.get_or_create(server)
        self.tools.metrics.incr(f"sendings.{outcome}")
        self.context.trace.attempts.append(
            {
                "server": server.server_id,
                "version": server.version,
                "zone": server.zone,
                "ms": round((self.tools.clock() - began) * 1_000, 1),
                "outcome": outcome,
                "own": health.own,
                "others": health.others,
                "failures": round(health.failure_share, 2),
                **more,
            }
        )

    def note_result(self, server: ServerEntry, bad: bool) -> None:
        """Counts an answer for health and roll-outs."""
        self.tools.health.record_outcome(server, bad)
        self.tools.record_outcome(
            self.context.service_name, server.version, self.route.name, bad
        )

    def give_up(self, reason: str) -> LocalReply:
        """Returns the final answer to a request that no server answered."""
        if not self.may_have_run:
            wait = self.tools.random.uniform(*COME_BACK_S)
            return LocalReply(503, reason, "no server took the request", wait)
        if self.left_s() <= 0:
            return LocalReply(504, "timeout", "no server answered in time")
        return LocalReply(502, "upstream_failed", "no server answered whole")

    def wait_for_server(self) -> bool:
        """Waits a moment for a server; False if it would be in vain."""
        objective_ms = self.route.objective_ms
        if self.left_s() * 1_000 < MIN_LEFT_SHARE * objective_ms:
            return False
        if self.context.trace.waited_ms > WAIT_SHARE * objective_ms:
            return False
        gevent.sleep(NO_SERVER_WAIT_S)
        self.context.trace.waited_ms += NO_SERVER_WAIT_S * 1_000
        return True


def close_open(open_call: SentCall | UpstreamReply | None) -> None:
    """Closes a sending, if it began."""
    if open_call is not None:
        open_call.close()
