"""Sends a step to a server, and again elsewhere when a retry is allowed."""

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
from amaranthlug.protocol.pace import Pace
from amaranthlug.protocol.poison import Suspects, poison_digest
from amaranthlug.protocol.relay import AnswerMeter
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.services import (
    CatalogView,
    RoutedRequest,
    ServerChooser,
    VersionChooser,
)
from amaranthlug.protocol.upstream import Engine, EngineCall, UpstreamError
from amaranthlug.state.catalog import Upstream, VersionId
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

MAX_ATTEMPTS_WITHOUT_PROGRESS = 3
"""Attempts of a step without a new token between them. A cut stream that gained
tokens may go on: three engines that cut answers otherwise ended a request that
the other engines could finish; budget and deadline bound it all the same."""
MAX_CRASHES = 2
"""Attempts of a request that may end in a lost connection; a request that
crashes each server that runs it must not reach a third."""
CRASH_REASONS = frozenset({"reset", "cut"})
UNKNOWN_EFFECT_REASONS = CRASH_REASONS | {"timeout"}
"""Failures that do not tell whether the engine generated tokens."""
DEFAULT_RETRY_AFTER_S = 1.0
"""Wait asked of callers after a failed upstream, in seconds."""


@dataclasses.dataclass
class StepRun:
    """State of one step over its attempts.

    Attributes:
        received: An upstream may have received the step.
        may_have_run: An attempt ended without an answer that shows whether
            tokens were generated.
        crashes: Attempts that ended in a lost connection.
        fruitless: Attempts since the last new token.
        tokens_before: Tokens received before the attempt.
        fresh: Idle connections are not trusted any more.
    """

    request: RoutedRequest
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
        """Tells whether the last attempt brought new tokens."""
        return self.meter.tokens > self.tokens_before

    def remaining_s(self) -> float:
        """Returns seconds to the deadline."""
        return self.request.deadline - time.monotonic()


class Sender:
    """Opens attempts under the retry rules.

    A non-idempotent request is retried only while no byte can have reached
    an upstream. Any retry needs budget, time and a server not tried yet.
    """

    def __init__(
        self,
        catalog: CatalogView,
        engine: Engine,
        chooser: VersionChooser,
        servers: ServerChooser,
        budget: RetryBudget,
        latencies: Pace,
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
        """Returns an attempt whose next token has arrived."""
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
                    # The request may be on its way already.
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
        """Checks the version at the moment of sending, not only of choice."""
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
        """Picks a server that was not tried and pays for a retry."""
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
        """Creates the next attempt of a step."""
        step.attempts += 1
        step.attempts_without_progress = (
            1 if step.made_progress() else step.attempts_without_progress + 1
        )
        step.tokens_before = step.meter.tokens
        step.tried_addresses.add(upstream.address)
        if step.meter.tokens == 0:
            # An opening event without a token may be left from a failure.
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
        """Returns the call of the next attempt or of a resumed stream."""
        request, remaining_s = step.request, max(step.remaining_s(), 0.001)
        read_timeout_s = min(
            remaining_s, self.latencies.between_limit(step.version)
        )
        first_byte_timeout_s = min(
            remaining_s, self.latencies.first_limit(step.version, request.kind)
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
        """Ends a failed attempt and remembers what it means for retries."""
        step.last_error = error
        if not error.not_received:
            step.received = True
        if error.reason in UNKNOWN_EFFECT_REASONS and not error.not_received:
            step.may_have_run = True
        if error.reason in CRASH_REASONS:
            # The wait for the check is spent before a server is tried again.
            step.crashes += self.suspects.record_crash(
                poison_digest(step.request), error.address
            )
        if error.reused:
            # The connection may have gone silent or died while it was idle,
            # and others with it. The server itself may be well.
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
        """Tells whether a failed step may be sent again."""
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
        """Continues a cut stream after the last token received."""
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
        """Returns the final answer to a step that was given up."""
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

    A server that was not reached or declined says nothing about the version,
    which must not be withdrawn for it.
    """
    if error.not_received or error.reason == "draining":
        return "unreached"
    return "empty" if error.reason == "empty" else "error"


def engine_body(
    request: RoutedRequest, version: VersionId, meter: AnswerMeter
) -> dict[str, Any]:
    """Returns the body of a call, continuing after the tokens received."""
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
