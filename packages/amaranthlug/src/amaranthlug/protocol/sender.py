"""Sends a step to a server and retries it on others."""

import dataclasses
import time
from typing import Any

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.attempt import Attempt
from amaranthlug.protocol.callers import CallerDisconnectedError
from amaranthlug.protocol.chat import output_token_limit
from amaranthlug.protocol.events import record_retry
from amaranthlug.protocol.interfaces import (
    CatalogView,
    ChatRequest,
    ServerChooser,
    VersionChooser,
)
from amaranthlug.protocol.poison import Suspects, poison_digest
from amaranthlug.protocol.relay import AnswerMeter
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.token_latency import TokenLatencies
from amaranthlug.protocol.upstream import (
    EngineCall,
    EngineClient,
    UpstreamError,
)
from amaranthlug.state.catalog import Upstream, VersionId
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

MAX_ATTEMPTS_WITHOUT_PROGRESS = 3
"""Consecutive attempts of a step that may bring no new token. Attempts with new
tokens do not count: three engines that cut streams would otherwise end a
request that other engines can finish. The retry budget and the deadline still
limit them."""
MAX_CRASHES = 2
"""Server crashes after which a step is not retried. A request that crashes
every server it runs on must not reach a third one."""
CRASH_REASONS = frozenset({"reset", "cut"})
UNKNOWN_EFFECT_REASONS = CRASH_REASONS | {"timeout", "malformed"}
"""Failures after which the engine may or may not have generated tokens."""
DEFAULT_RETRY_AFTER_S = 1.0
"""Default Retry-After after an upstream failure, in seconds."""


@dataclasses.dataclass
class StepRun:
    """State of one step over its attempts.

    Attributes:
        tried_addresses: Servers that further attempts leave out.
        received: An upstream may have received the step.
        may_have_run: An attempt failed in a way that does not show whether
            the engine generated tokens.
        crashes: Attempts that count as a crash of the server.
        new_connection: Further attempts use no idle connection.
        attempts_without_progress: Attempts since the last new token.
        tokens_before: Tokens received before the current attempt.
    """

    request: ChatRequest
    version: VersionId
    meter: AnswerMeter = dataclasses.field(default_factory=AnswerMeter)
    tried_addresses: set[str] = dataclasses.field(default_factory=set)
    received: bool = False
    may_have_run: bool = False
    crashes: int = 0
    new_connection: bool = False
    attempts: int = 0
    attempts_without_progress: int = 0
    tokens_before: int = 0
    last_error: UpstreamError | None = None

    def made_progress(self) -> bool:
        """Returns whether the current attempt brought new tokens."""
        return self.meter.tokens > self.tokens_before

    def remaining_s(self) -> float:
        """Returns the time to the deadline in seconds."""
        return self.request.deadline - time.monotonic()


class Sender:
    """Sends steps to servers and applies the retry rules.

    A non-idempotent request is retried only if no byte of it can have reached
    an upstream. Every retry needs retry budget, time before the deadline and
    a server that was not tried yet.
    """

    def __init__(
        self,
        catalog: CatalogView,
        engine: EngineClient,
        chooser: VersionChooser,
        servers: ServerChooser,
        budget: RetryBudget,
        latencies: TokenLatencies,
        suspects: Suspects,
        metrics: Metrics,
    ):
        """Creates a sender."""
        self.catalog = catalog
        self.engine = engine
        self.chooser = chooser
        self.servers = servers
        self.budget = budget
        self.latencies = latencies
        self.suspects = suspects
        self.metrics = metrics

    def open(self, step: StepRun) -> Result[Attempt, Refusal]:
        """Sends a step until an attempt has received its next token.

        Raises:
            CallerDisconnectedError: The caller closed its connection.
        """
        while True:
            allowed = self.may_send(step)
            if isinstance(allowed, Err):
                return allowed
            picked = self.pick(step)
            if isinstance(picked, Err):
                return picked
            attempt = self.new_attempt(step, picked.ok_value)
            try:
                opened = attempt.open(self.engine_call(step))
            except BaseException as raised:
                if isinstance(raised, CallerDisconnectedError):
                    # The request may already have been sent.
                    step.received = True
                    attempt.cancel()
                    attempt.report_outcome("cancelled", "", failed=False)
                attempt.report_outcome("error", "", failed=False)
                raise
            if isinstance(opened, Ok):
                step.received = True
                return Ok(attempt)
            self.record_failure(step, attempt, opened.err_value)
            if not self.may_retry(step, opened.err_value):
                return Err(self.failure_refusal(step))
            error = opened.err_value
            record_retry(self.metrics, error.reason, error.address)
            gevent.sleep(self.budget.wait_s(step.attempts))

    def may_send(self, step: StepRun) -> Result[None, Refusal]:
        """Refuses a version withdrawn or disallowed since the choice."""
        version = step.version
        name = step.request.organisation.name
        organisation = self.catalog.catalog().organisations.get(name)
        known = version in self.catalog.catalog().versions
        if (
            organisation is None
            or version not in organisation.allowed
            or not known
        ):
            code, text = RefusalCode.VERSION_NOT_ALLOWED, "no longer allowed"
        elif self.catalog.is_withdrawn(version):
            code, text = RefusalCode.NO_VERSION, "withdrawn"
        else:
            return Ok(None)
        if step.received:
            return Err(self.failure_refusal(step))
        remedy = "retry, or ask for another version"
        return Err(refuse(code, f"{version} is {text}", remedy))

    def pick(self, step: StepRun) -> Result[Upstream, Refusal]:
        """Picks a server not tried yet; takes a retry from the budget."""
        picked = self.servers.pick(
            step.request, step.version, frozenset(step.tried_addresses)
        )
        if isinstance(picked, Err):
            if step.attempts == 0 and not step.received:
                return picked
            return Err(self.failure_refusal(step))
        address = picked.ok_value.address
        if step.attempts == 0:
            self.budget.record_first_attempt(address)
        elif not self.budget.try_spend(address):
            self.servers.done(address, 0.0, False)
            self.metrics.incr("retry_budget_empty")
            return Err(self.failure_refusal(step))
        return picked

    def new_attempt(self, step: StepRun, upstream: Upstream) -> Attempt:
        """Creates the next attempt of a step and counts it."""
        step.attempts += 1
        step.attempts_without_progress = (
            1 if step.made_progress() else step.attempts_without_progress + 1
        )
        step.tokens_before = step.meter.tokens
        step.tried_addresses.add(upstream.address)
        if step.meter.tokens == 0:
            # A failed attempt may have left an opening event without tokens.
            step.meter = AnswerMeter()
        return Attempt(
            self.engine,
            self.chooser,
            self.servers,
            self.latencies,
            step.request,
            step.version,
            upstream,
            step.meter,
        )

    def engine_call(self, step: StepRun, resume: bool = False) -> EngineCall:
        """Returns the engine call that starts or resumes a stream."""
        request, remaining_s = step.request, max(step.remaining_s(), 0.001)
        read_timeout_s = min(
            remaining_s, self.latencies.read_timeout_s(step.version)
        )
        first_byte_timeout_s = min(
            remaining_s,
            self.latencies.first_byte_timeout_s(step.version, request.kind),
        )
        return EngineCall(
            request.request_id,
            engine_body(request, step.version, step.meter),
            read_timeout_s if resume else first_byte_timeout_s,
            read_timeout_s,
            step.meter.tokens if resume else None,
            request.organisation.name,
            step.new_connection,
        )

    def record_failure(
        self, step: StepRun, attempt: Attempt, error: UpstreamError
    ) -> None:
        """Ends a failed attempt and updates the state that retries use."""
        step.last_error = error
        if not error.not_received:
            step.received = True
        if error.reason in UNKNOWN_EFFECT_REASONS and not error.not_received:
            step.may_have_run = True
        if error.reason in CRASH_REASONS:
            # May wait for the check whether the server really crashed, so
            # that the result is known before the next attempt.
            step.crashes += self.suspects.record_crash(
                poison_digest(step.request), error.address
            )
        if error.reused:
            # The connection may have broken while it was idle, as may other
            # idle ones. The server itself may be healthy.
            step.new_connection = True
            step.tried_addresses.discard(error.address)
        if error.reason == "timeout":
            attempt.cancel()
        attempt.close_stream()
        if attempt.timed_out_in_queue(error.reason):
            attempt.report_outcome("unreached", "", failed=False)
            return
        attempt.report_outcome(failure_outcome(error), "", failed=True)

    def may_retry(self, step: StepRun, error: UpstreamError) -> bool:
        """Returns whether the retry rules allow another attempt."""
        if step.remaining_s() <= 0:
            return False
        if (
            step.attempts_without_progress >= MAX_ATTEMPTS_WITHOUT_PROGRESS
            and not step.made_progress()
        ):
            return False
        if step.crashes >= MAX_CRASHES:
            return False
        return step.request.kind.idempotent or not step.received

    def resume(
        self, step: StepRun, attempt: Attempt, error: UpstreamError
    ) -> Result[Attempt, Refusal]:
        """Continues a cut stream after the last token received.

        Resumes it on the same server if possible, otherwise continues it on
        another one.
        """
        if step.remaining_s() <= 0:
            self.record_failure(step, attempt, error)
            return Err(self.failure_refusal(step))
        if attempt.may_resume(error.reason):
            reopened = attempt.resume_stream(
                self.engine_call(step, resume=True)
            )
            if isinstance(reopened, Ok):
                record_retry(self.metrics, "resume", error.address)
                return Ok(attempt)
        self.record_failure(step, attempt, error)
        if not self.may_retry(step, error):
            return Err(self.failure_refusal(step))
        record_retry(self.metrics, error.reason, error.address)
        return self.open(step)

    def failure_refusal(self, step: StepRun) -> Refusal:
        """Returns the refusal of a step that is not retried any more."""
        if step.crashes:
            poison_refusal = self.suspects.admit(poison_digest(step.request))
            if isinstance(poison_refusal, Err):
                return dataclasses.replace(
                    poison_refusal.err_value, not_run=not step.received
                )
        error = step.last_error
        text = error.message if error else "no server answered"
        wait = (error.retry_after_s if error else None) or DEFAULT_RETRY_AFTER_S
        timed_out = error is not None and error.reason == "timeout"
        if not step.received:
            return refuse(
                RefusalCode.POOL_EXHAUSTED,
                f"no server of {step.version} could be reached: {text}",
                "retry after the given time",
                retry_after_s=wait,
            )
        return refuse(
            RefusalCode.UPSTREAM_TIMEOUT
            if timed_out or step.remaining_s() <= 0
            else RefusalCode.UPSTREAM_FAILED,
            text,
            "retry with the same Idempotency-Key",
            not_run=False,
            retry_after_s=wait,
        )


def failure_outcome(error: UpstreamError) -> str:
    """Returns the outcome that is counted for the version.

    A version must not be withdrawn because a server could not be reached or
    was draining.
    """
    if error.not_received or error.reason == "draining":
        return "unreached"
    return "empty" if error.reason == "empty" else "error"


def engine_body(
    request: ChatRequest, version: VersionId, meter: AnswerMeter
) -> dict[str, Any]:
    """Returns the body for the engine, which continues a partial answer."""
    body = dict(request.body)
    body["model"] = str(version)
    body["stream"] = True
    body["stream_options"] = {"include_usage": True}
    body["priority"] = request.kind.priority
    body["request_id"] = request.request_id
    body["max_tokens"] = output_token_limit(request)
    body.pop("max_completion_tokens", None)
    if meter.tokens:
        body["continue_tokens"] = meter.tokens
        partial_answer = {"role": "assistant", "content": meter.text}
        body["messages"] = [*body["messages"], partial_answer]
    return body
