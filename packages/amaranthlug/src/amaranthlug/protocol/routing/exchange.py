"""Retry and failure rules shared by plain and streamed exchanges."""

import dataclasses
import logging
import random
from collections.abc import Callable
from typing import Any

import gevent

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.grant_owners import GrantOwners
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.routing.crash_watch import CrashWatch
from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.held_bytes import HeldBytes, Holding
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
from amaranthlug.protocol.routing.request_subjects import RequestSubjects
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.protocol.routing.version_speed import VersionSpeeds
from amaranthlug.state.refusal import RefusalCode
from amaranthlug.state.routing.cold_servers import ColdServers
from amaranthlug.state.routing.config import Route
from amaranthlug.state.routing.evacuations import ZoneEvacuations
from amaranthlug.state.routing.grace_period import GracePeriod
from amaranthlug.state.routing.server_statements import ServerStatements
from amaranthlug.state.routing.servers import ServerEntry

NOT_RUN_STATUSES = frozenset({408, 429, 503})
"""Statuses that promise a caller that its request has not run and never will.
From a server they are trusted only if it also states that it did not run."""
MIN_SEND_TIME_S = 0.02
"""Least remaining time for which a request is still sent, in seconds."""
ANSWER_GRACE_S = 0.1
"""Time after the limit in which a server's answer is still accepted, in
seconds; the final answer is due 0.25 s after the limit."""
CHECK_PERIOD_S = 0.25
"""Period in which a waiting request checks its server and looks for another
one, in seconds."""
MAX_SERVER_WAIT_SHARE = 0.125
"""Longest wait for an available server, as a share of the latency objective.
Afterwards the caller gets a reply with a retry delay, which costs it little
time."""
MIN_REMAINING_SHARE = 0.5
"""Least remaining time for such a wait, as a share of the objective."""
SERVER_POLL_S = 0.05
"""Period in which the server list is checked again, in seconds."""
RETRY_AFTER_S = (0.2, 0.7)
"""Range of the random retry delay sent to refused callers, in seconds."""

MAX_DENIALS = 4
"""Most servers without room for which a request asks before it waits."""

MAX_ERROR_TEXT = 120
"""Most characters of an error in the log line of a request."""

BLOCKED_REASON = RefusalCode.POISONED_REQUEST.value
"""Outcome of a request that is blocked since servers ended under it."""
BLOCKED_PART_REASON = "poisoned_prompt_part"
"""Outcome of a request with a part of its prompt under which servers ended."""

log = logging.getLogger(__name__)

ExchangeResult = tuple[str, int] | LocalReply
"""Outcome and status of a delivered answer, or the node's own reply."""


@dataclasses.dataclass
class ExchangeTools:
    """Services that exchanges with servers use.

    Attributes:
        port: Sends requests to servers.
        placement: Chooses servers.
        health: Load, failures and speed observed at servers.
        budget: Limits the retries of this node.
        models: Chooses the model and decides on escalation.
        queues: Expected queueing delays at engines.
        crashes: Finds requests under which servers ended.
        speeds: Compares the speed of streams between versions.
        held_bytes: Limits the memory of what requests hold.
        statements: Knows the servers that want no new requests.
        grants: Limits what all nodes together send to servers in need.
        cold: Limits what all nodes together send to cold servers.
        evacuations: Zones whose servers get no requests.
        grace: Says what may still be sent after a stop signal.
        metrics: Counters and durations.
        clock: Returns seconds, including time in which the VM was paused.
        record_outcome: Receives service, version, route and whether the answer
            was bad, for roll-outs.
        record_session: Receives service, session and the version that the
            session runs on.
        random: Source of random numbers.
    """

    port: ServerPort
    placement: Placement
    health: ServerHealthTracker
    budget: RetryBudget
    models: ModelChoice
    queues: EngineQueues
    crashes: CrashWatch
    speeds: VersionSpeeds
    held_bytes: HeldBytes
    statements: ServerStatements
    grants: GrantOwners
    cold: ColdServers
    evacuations: ZoneEvacuations
    grace: GracePeriod
    metrics: Metrics
    clock: Callable[[], float]
    record_outcome: Callable[[str, str, str, bool], None]
    record_session: Callable[[str, str | None, str], None]
    random: random.Random


@dataclasses.dataclass
class RequestContext:
    """A request and the decisions made before it is sent.

    Attributes:
        request: The request.
        route: Its route.
        service_name: Name of the service.
        organisation: Holder of the key, None for anonymous requests.
        priority: Rank; 0 is the most urgent.
        needs_key: The request is sent only while its key is valid.
        candidates: Returns the servers that may receive it now.
        may_send: Returns whether it may still be sent.
        trace: Collects the fields of the request log.
    """

    request: RoutedRequest
    route: Route
    service_name: str
    organisation: str | None
    priority: int
    needs_key: bool
    candidates: Callable[[], list[ServerEntry]]
    may_send: Callable[["RequestContext"], bool]
    trace: RequestTrace


@dataclasses.dataclass
class HandedCall:
    """A request that was sent while the former server's answer was open.

    Attributes:
        sent: The call.
        reply: Its answer, None if no head has arrived.
        sent_at: Clock when it was sent, in seconds.
    """

    sent: SentCall
    reply: UpstreamReply | None
    sent_at: float


class BaseExchange:
    """Sends a request to servers until one answers or no retry is allowed."""

    def __init__(
        self,
        context: RequestContext,
        writer: AnswerWriter,
        tools: ExchangeTools,
    ):
        """Creates an exchange that has sent nothing yet."""
        self.context = context
        self.request = context.request
        self.route = context.route
        self.writer = writer
        self.tools = tools
        self.subjects = RequestSubjects(
            context.organisation, context.service_name, context.request
        )
        self.tried: set[tuple[str, int]] = set()
        self.checked_links: set[tuple[str, int]] = set()
        self.granted: list[ServerEntry] = []
        self.granted_successor: ServerEntry | None = None
        self.denials = 0
        self.holding = Holding(tools.held_bytes)
        self.attempts_sent = 0
        self.may_have_run = False
        self.retry_reserved = False
        self.successor: ServerEntry | None = None
        self.handed: HandedCall | None = None
        self.tried_block: str | None = None
        self.began_at = 0.0
        self.made_progress = False
        self.peer: str | None = None
        self.answer_due_at = min(
            self.request.deadline,
            self.request.arrived + self.route.timeout_ms / 1_000,
        )

    def run(self) -> ExchangeResult:
        """Sends the request until it is answered or given up.

        Returns:
            Outcome and status, or the reply of the node itself.
        """
        try:
            return self.send_until_answered()
        finally:
            self.holding.resize(0)
            for server in list(self.granted):
                self.release_room(server)

    def send_until_answered(self) -> ExchangeResult:
        """Sends the request to one server after the other."""
        while self.handed is not None or (
            self.may_pass_block() and self.may_attempt()
        ):
            server = self.take_successor() or self.choose(
                self.context.candidates()
            )
            if server is None or self.denials >= MAX_DENIALS:
                if self.attempts_sent == 0 and self.wait_for_server():
                    self.denials = 0
                    continue
                break
            if self.handed is None and not self.take_room(server):
                continue
            if self.handed is None and not self.context.may_send(self.context):
                break
            self.tried.add(server.instance_key)
            self.made_progress = False
            self.peer = None
            self.began_at = (
                self.handed.sent_at if self.handed else self.tools.clock()
            )
            self.tools.record_session(
                self.context.service_name, self.request.session, server.version
            )
            try:
                result = self.attempt(server)
            except UpstreamCallError as failure:
                self.may_have_run = self.may_have_run or failure.may_have_run
                if failure.path_lost:
                    self.tried.discard(server.instance_key)
                elif not self.made_progress:
                    self.tools.crashes.record_failure(
                        server, self.subjects, failure.kind, self.began_at
                    )
                continue
            if result is not None:
                self.record_if_completed(result)
                return result
        return self.finish_unanswered()

    def take_room(self, server: ServerEntry) -> bool:
        """Returns whether a server has room for an attempt, and takes it.

        The room that `may_leave` took for a successor is used first.
        """
        former, self.granted_successor = self.granted_successor, None
        if former is not None:
            if former.instance_key == server.instance_key:
                return True
            self.release_room(former)
        if not self.tools.cold.take(server) or not (
            self.tools.grants.acquire(server)
        ):
            self.denials += 1
            self.context.trace.denied += 1
            return False
        self.granted.append(server)
        return True

    def hold(self, server: ServerEntry, size: int) -> None:
        """Counts what is held of answers to this request.

        Args:
            server: Server that sent the last bytes.
            size: All bytes that are held.

        Raises:
            UpstreamCallError: There is no room for them.
        """
        if self.holding.resize(size):
            return
        limit_bytes = self.tools.held_bytes.limit_bytes
        self.tools.metrics.incr("held_bytes.refused")
        log.warning(
            "an answer of server %s has no room: all requests may hold %d "
            "bytes",
            server.server_id,
            limit_bytes,
            extra={
                "event": "answer_has_no_room",
                "server": server.server_id,
                "held": self.holding.size,
                "used": self.tools.held_bytes.used_bytes,
            },
        )
        raise UpstreamCallError(
            FailureKind.BROKEN,
            f"answers take over {limit_bytes} bytes together; look for a "
            "server that sends too much",
        )

    def release_room(self, server: ServerEntry) -> None:
        """Gives the room of one attempt at a server back."""
        if server in self.granted:
            self.granted.remove(server)
            self.tools.grants.release(server)

    def may_pass_block(self) -> bool:
        """Returns whether nothing blocks the request, or it tries a block."""
        blocked = self.blocked_subject()
        if blocked is None:
            return True
        if self.attempts_sent:
            return False
        if self.tried_block != blocked and self.tools.crashes.begin_trial(
            blocked, self.subjects
        ):
            self.tried_block = blocked
        return self.tried_block == blocked

    def blocked_subject(self) -> str | None:
        """Returns what of the request is blocked, None if it may be sent."""
        crashes = self.tools.crashes
        if not crashes.has_suspects():
            return None
        self.context.trace.digest = self.subjects.digest
        blocked = crashes.blocked_subject(self.subjects)
        self.context.trace.blocked_by = blocked
        return blocked

    def record_if_completed(self, result: ExchangeResult) -> None:
        """Clears a request that a server has completed successfully."""
        if not isinstance(result, LocalReply) and result[1] < 300:
            self.tools.crashes.record_completed(self.subjects)
            self.tools.grace.record_duration(
                self.route.name, self.tools.clock() - self.began_at
            )

    def choose(self, candidates: list[ServerEntry]) -> ServerEntry | None:
        """Returns a server for the next attempt, None if there is none."""
        raise NotImplementedError

    def take_successor(self) -> ServerEntry | None:
        """Returns the server for which a silent one was left, once."""
        successor, self.successor = self.successor, None
        return successor

    def attempt(self, server: ServerEntry) -> ExchangeResult | None:
        """Sends the request to one server; None if another one may be tried.

        Raises:
            UpstreamCallError: The server gave no usable answer.
        """
        raise NotImplementedError

    def finish_unanswered(self) -> ExchangeResult:
        """Ends a request that no server answered."""
        return self.no_answer_reply("no_server")

    def remaining_s(self) -> float:
        """Returns the time until the final answer is due, in seconds."""
        return self.answer_due_at - self.tools.clock()

    def answer_time_left_s(self) -> float:
        """Returns for how long a server's answer is accepted, in seconds."""
        return self.remaining_s() + ANSWER_GRACE_S

    def waited_ms(self) -> float:
        """Returns the time since the request arrived, in milliseconds."""
        return (self.tools.clock() - self.request.arrived) * 1_000

    def may_attempt(self) -> bool:
        """Returns whether one more attempt is allowed; spends a retry on it."""
        if self.may_have_run and not self.route.repeatable:
            return False
        if not self.has_attempt_left():
            return False
        return self.attempts_sent == 0 or self.reserve_retry()

    def has_attempt_left(self) -> bool:
        """Returns whether the route and the time allow one more attempt."""
        return (
            self.attempts_sent < self.route.max_attempts
            and self.remaining_s() >= MIN_SEND_TIME_S
            and self.fits_stop()
        )

    def fits_stop(self) -> bool:
        """Returns whether an attempt ends before this node does.

        A first one is refused unless it surely does; callers of later ones
        would else get a failure, so that it is enough if they usually do.
        """
        longest_s = self.remaining_s()
        if self.attempts_sent:
            usual_s = self.tools.grace.longest_s(self.route.name)
            longest_s = min(longest_s, usual_s)
        return self.tools.grace.fits(longest_s)

    def reserve_retry(self) -> bool:
        """Takes a retry from the budget, which is kept until it is sent."""
        if not self.retry_reserved:
            self.retry_reserved = self.tools.budget.try_spend(
                self.context.service_name
            )
        return self.retry_reserved

    def may_leave(self, server: ServerEntry) -> bool:
        """Returns whether a silent server may be left for another one.

        True reserves the other server and a retry. Without them the server's
        answer is the only one that can still come, so it is waited for.
        """
        health = self.tools.health
        health.record_silence(server)
        successor = self.find_successor()
        if successor is None:
            self.check_link(server)
            return False
        if not self.is_reachable(successor):
            if self.has_attempt_left():  # Else the limit ended the probe.
                health.record_silence(successor)
            return False
        # The probe may have taken a while.
        if not self.could_continue() or not self.take_room(successor):
            return False
        if not self.reserve_retry():
            self.release_room(successor)
            return False
        self.granted_successor = successor
        self.successor = successor
        return True

    def is_reachable(self, server: ServerEntry) -> bool:
        """Returns whether a server accepts a connection before the limit."""
        return self.holds_in_time(lambda: self.tools.port.is_reachable(server))

    def holds_in_time(self, check: Callable[[], bool]) -> bool:
        """Returns the result of a check, False if the limit comes first."""
        with gevent.Timeout(max(self.remaining_s(), 0.001), False):
            return check()
        return False

    def check_link(self, server: ServerEntry) -> None:
        """Checks the link to a silent server in the background, once.

        This request has to wait, but the next ones can take another path.
        """
        if self.peer is None and server.instance_key not in self.checked_links:
            self.checked_links.add(server.instance_key)
            gevent.spawn(self.tools.port.is_reachable, server)

    def find_successor(self) -> ServerEntry | None:
        """Returns a responsive server for one more attempt, None if none."""
        if not self.could_continue():
            return None
        is_responsive = self.tools.health.is_responsive
        return self.choose(
            [s for s in self.context.candidates() if is_responsive(s)]
        )

    def could_continue(self) -> bool:
        """Returns whether all but a server is there for one more attempt."""
        return (
            self.route.repeatable
            and self.has_attempt_left()
            and self.blocked_subject() is None
            and self.context.may_send(self.context)
            and self.tools.budget.can_spend(self.context.service_name)
        )

    def open(self, call: UpstreamCall) -> SentCall:
        """Sends a request and counts the attempt.

        Raises:
            UpstreamCallError: It was not sent, or the connection broke.
        """
        try:
            sent = self.tools.port.send(call)
        except UpstreamCallError as failure:
            if failure.kind is not FailureKind.NOT_SENT:
                self.count_attempt()
            raise
        self.count_attempt()
        if self.attempts_sent == 1:
            self.tools.budget.record_first_attempt(self.context.service_name)
        return sent

    def count_attempt(self) -> None:
        """Counts a request that was sent, which uses up a reserved retry."""
        self.attempts_sent += 1
        self.retry_reserved = False

    def call_for(self, server: ServerEntry, **more: Any) -> UpstreamCall:
        """Returns the call to a server; `more` sets further fields."""
        return UpstreamCall(
            request=self.request,
            server=server,
            organisation=self.context.organisation,
            remaining_s=self.remaining_s(),
            repeatable=self.route.repeatable,
            may_send=lambda: self.may_send_to(server),
            **more,
        )

    def may_send_to(self, server: ServerEntry) -> bool:
        """Returns whether the request may be sent to a server now."""
        return (
            self.context.may_send(self.context)
            and self.tools.statements.may_receive(server)
            and not self.tools.evacuations.is_evacuated(server.zone)
        )

    def check_head(self, server: ServerEntry, head: ReplyHead) -> None:
        """Checks that a response head is one that the caller can use.

        Raises:
            UpstreamCallError: The request did not run, or the answer is not
                usable.
        """
        self.record_statements(server, head)
        if head.status == 421:
            raise UpstreamCallError(
                FailureKind.REPLACED, "another server is at the address"
            )
        if head.not_run:
            raise UpstreamCallError(
                FailureKind.NOT_RUN, f"server refused with status {head.status}"
            )
        if head.status in NOT_RUN_STATUSES:
            # The caller would take this status as a promise that its request
            # has not run, but the server did not state that.
            raise UpstreamCallError(
                FailureKind.FAILED,
                f"status {head.status} without a not-run statement",
            )
        if head.encoded:
            raise UpstreamCallError(
                FailureKind.BROKEN, "body has an unexpected content encoding"
            )
        if head.status < 300 and not head.sealed:
            raise UpstreamCallError(
                FailureKind.BROKEN, "answer has no server seal"
            )

    def record_statements(self, server: ServerEntry, head: ReplyHead) -> None:
        """Records what a server says of itself, unless another one answered."""
        if head.status == 421:
            return
        if head.leaving:
            self.tools.statements.record_leaving(server)
        self.tools.statements.record_brittle(server, head.max_refusals)
        self.tools.statements.record_limit(server, head.limit, self.began_at)
        if head.not_run and head.max_refusals is not None:
            self.tools.metrics.incr("brittle_servers.refusals")
            self.tools.grants.record_refusal(server)
        if head.load is not None:
            self.tools.grants.record_load(
                server, head.load.running, head.load.waiting, head.not_run
            )
        if head.status == 503 and head.retry_after_s is not None:
            self.tools.statements.record_pause(server, head.retry_after_s)

    def record_byte(self, server: ServerEntry) -> None:
        """Records that a server sent data to the attempt that runs."""
        self.tools.health.record_byte(server)
        self.tools.crashes.record_byte(server, self.began_at)

    def record_attempt(
        self,
        server: ServerEntry,
        started_at: float,
        outcome: str,
        error: str | None,
        **more: Any,
    ) -> None:
        """Adds an attempt to the trace and the metrics.

        Args:
            server: Server to which it was sent.
            started_at: Clock when it began, in seconds.
            outcome: Status or kind of failure.
            error: What failed, None if nothing did.
            **more: Further fields.
        """
        if error is not None:
            more["error"] = error[:MAX_ERROR_TEXT]
        health = self.tools.health.get_or_create(server)
        self.tools.metrics.incr(f"sendings.{outcome}")
        self.context.trace.attempts.append(
            {
                "server": server.server_id,
                "version": server.version,
                "zone": server.zone,
                "ms": round((self.tools.clock() - started_at) * 1_000, 1),
                "outcome": outcome,
                "peer": self.peer,
                "own": health.own_requests,
                "others": health.other_requests,
                "failures": round(health.failure_share, 2),
                "brittle": self.tools.statements.max_refusals(server),
                "limit": self.tools.statements.limit(server),
                "cold": self.tools.cold.is_cold(server),
                "work_percent": health.work_percent,
                **more,
            }
        )

    def record_result(
        self, server: ServerEntry, bad: bool, is_late: bool = False
    ) -> None:
        """Counts an answer for server health and roll-outs.

        Args:
            server: The server.
            bad: The answer is an error.
            is_late: It came late or not in time.
        """
        self.tools.health.record_outcome(server, bad or is_late)
        self.record_for_version(server, bad, is_late)

    def record_for_version(
        self, server: ServerEntry, bad: bool, is_late: bool
    ) -> None:
        """Counts an answer for roll-outs, unless a lost link made it late."""
        if is_late and not bad and self.tools.port.is_link_lost(server):
            self.tools.metrics.incr("links.excused")
            return
        self.tools.record_outcome(
            self.context.service_name,
            server.version,
            self.route.name,
            bad or is_late,
        )

    def no_answer_reply(self, reason: str) -> LocalReply:
        """Returns the reply to a request that no server answered."""
        blocked = self.blocked_subject()
        if not self.may_have_run and blocked is not None:
            return self.blocked_reply(blocked)
        if not self.may_have_run:
            wait = self.tools.random.uniform(*RETRY_AFTER_S)
            if not self.fits_stop():
                reason = "stopping"
            elif self.context.trace.denied and not self.attempts_sent:
                reason = "no_room"
            return LocalReply(503, reason, "no server took the request", wait)
        if self.remaining_s() <= 0:
            return LocalReply(504, "timeout", "no server answered in time")
        return LocalReply(
            502,
            self.blocked_reason(blocked) if blocked else "upstream_failed",
            "no server sent a complete answer",
        )

    def blocked_reason(self, subject: str) -> str:
        """Returns the outcome of a request with a blocked subject."""
        if subject in self.subjects.parts:
            return BLOCKED_PART_REASON
        return BLOCKED_REASON

    def blocked_reply(self, subject: str) -> LocalReply:
        """Returns the reply to a request with a blocked subject."""
        if subject in self.subjects.parts:
            part_id = subject.partition("/")[2]
            remedy = f"with part {part_id} of the prompt; send it without it"
        else:
            remedy = "like this one; change it"
        return LocalReply(
            503,
            self.blocked_reason(subject),
            f"servers ended under requests {remedy}, or again after the given "
            "time",
            self.tools.crashes.block_remaining_s(subject),
        )

    def wait_for_server(self) -> bool:
        """Waits briefly for an available server; False if no time is left."""
        objective_ms = self.route.objective_ms
        if self.remaining_s() * 1_000 < MIN_REMAINING_SHARE * objective_ms:
            return False
        if self.context.trace.waited_ms > MAX_SERVER_WAIT_SHARE * objective_ms:
            return False
        gevent.sleep(SERVER_POLL_S)
        self.context.trace.waited_ms += SERVER_POLL_S * 1_000
        return True


def close_if_open(call: SentCall | UpstreamReply | None) -> None:
    """Closes a sent call or its reply, if there is one."""
    if call is not None:
        call.close()


def framing_of(reply: UpstreamReply | None) -> str | None:
    """Returns how the end of an answer is told, None without an answer."""
    return reply.head.framing.value if reply else None
