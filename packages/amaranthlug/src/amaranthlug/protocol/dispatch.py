"""Processes a chat request: admission, plan, run, answer, settlement."""

import dataclasses
from collections.abc import Callable

from result import Err, Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.answer_stream import (
    CompleteAnswer,
    RelayFailedError,
    ReplayedStream,
    StreamAnswer,
    StreamRelay,
    read_complete,
)
from amaranthlug.protocol.callers import (
    CallerDisconnectedError,
    DisconnectWatch,
)
from amaranthlug.protocol.chat import (
    CallerHeaders,
    output_token_limit,
    parse_chat,
)
from amaranthlug.protocol.events import record_refusal
from amaranthlug.protocol.interfaces import (
    Biller,
    CatalogView,
    ChatRequest,
    LimitEnforcer,
    Plan,
    PlanStep,
    RunRegister,
    SessionPins,
    VersionChooser,
)
from amaranthlug.protocol.poison import Suspects, poison_digest
from amaranthlug.protocol.relay import replay_events
from amaranthlug.protocol.sender import Sender, StepRun
from amaranthlug.protocol.settlement import Settlement, idempotency_scope
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

REPLAN_CODES = frozenset({RefusalCode.NO_VERSION, RefusalCode.POOL_EXHAUSTED})
"""Refusals after which a newly chosen plan may still succeed."""


@dataclasses.dataclass
class Delivery:
    """A step whose answer goes to the caller.

    Attributes:
        buffered: Blocks of an answer that was read completely for its check.
    """

    relay: StreamRelay
    buffered: list[bytes] | None = None


Answer = CompleteAnswer | StreamAnswer | ReplayedStream


class Dispatcher:
    """Answers chat requests and settles each of them exactly once."""

    def __init__(
        self,
        catalog: CatalogView,
        chooser: VersionChooser,
        pins: SessionPins,
        runs: RunRegister,
        biller: Biller,
        limits: LimitEnforcer,
        admission: Admission,
        sender: Sender,
        suspects: Suspects,
        metrics: Metrics,
    ):
        """Creates a dispatcher."""
        self.catalog = catalog
        self.chooser = chooser
        self.pins = pins
        self.runs = runs
        self.biller = biller
        self.limits = limits
        self.admission = admission
        self.sender = sender
        self.suspects = suspects
        self.metrics = metrics
        self.disconnect_watch = DisconnectWatch()

    def handle(
        self,
        raw: bytes,
        headers: CallerHeaders,
        is_disconnected: Callable[[], bool] | None = None,
    ) -> Result[Answer, Refusal]:
        """Answers or refuses a request; counts and logs a refusal.

        Args:
            raw: JSON body of the request.
            headers: Headers of the request.
            is_disconnected: Returns whether the caller closed its connection;
                None if the caller is not watched.

        Raises:
            CallerDisconnectedError: The caller closed its connection before
                the complete answer or the first token of a stream.
        """
        answered = self.try_handle(raw, headers, is_disconnected)
        if isinstance(answered, Err):
            record_refusal(self.metrics, answered.err_value)
        return answered

    def try_handle(
        self,
        raw: bytes,
        headers: CallerHeaders,
        is_disconnected: Callable[[], bool] | None,
    ) -> Result[Answer, Refusal]:
        """Parses, admits and runs a request; settles it if it fails."""
        serving = self.admission.may_serve()
        if isinstance(serving, Err):
            return serving
        parsed = parse_chat(raw, headers, self.catalog.catalog())
        if isinstance(parsed, Err):
            return parsed
        reserved = self.admission.reserve()
        if isinstance(reserved, Err):
            return reserved
        request = parsed.ok_value
        settlement = Settlement(
            request,
            self.admission,
            self.biller,
            self.limits,
            self.runs,
            self.metrics,
        )
        try:
            answered = self.run(request, settlement, is_disconnected)
        except BaseException:
            settlement.may_have_run = True
            settlement.settle("error", ran=True)
            raise
        if isinstance(answered, Err):
            # A cascade may fail after some of its steps ran; these are billed.
            settlement.settle(
                "cut" if settlement.usage.steps else "refused",
                ran=not answered.err_value.not_run,
            )
        return answered

    def run(
        self,
        request: ChatRequest,
        settlement: Settlement,
        is_disconnected: Callable[[], bool] | None,
    ) -> Result[Answer, Refusal]:
        """Runs a request that is counted as in flight."""
        stored = self.register_run(request, settlement)
        if isinstance(stored, Err):
            return stored
        if stored.ok_value is not None:
            settlement.settle("repeated")
            return Ok(stored.ok_value)
        tokens = request.prompt_tokens + output_token_limit(request)
        admitted = self.admission.admit(request, tokens)
        if isinstance(admitted, Err):
            return admitted
        settlement.admitted = True
        digest = poison_digest(request)
        not_blocked = self.suspects.admit(digest)
        if isinstance(not_blocked, Err):
            return not_blocked
        settlement.cleanups.append(lambda: self.suspects.finished(digest))
        return self.run_plan(request, settlement, is_disconnected)

    def register_run(
        self, request: ChatRequest, settlement: Settlement
    ) -> Result[Answer | None, Refusal]:
        """Registers a request that carries an idempotency key.

        Returns:
            The stored answer of an earlier run with the same key, or None if
            the request is to be run now.
        """
        if not request.idempotency_key:
            return Ok(None)
        registered = self.runs.begin(
            idempotency_scope(request),
            request.idempotency_key,
            request.digest,
            request.kind.idempotent,
            request.key_issued_ms,
        )
        if isinstance(registered, Err):
            return registered
        ticket = registered.ok_value
        if ticket.run:
            settlement.keyed = True
            return Ok(None)
        if ticket.answer is None:
            return Err(
                refuse(
                    RefusalCode.UNKNOWN_OUTCOME,
                    "an earlier request with this key ran without an answer",
                    "check the effect before sending a new key",
                    not_run=False,
                )
            )
        extra = ticket.answer.get("amaranthlug", {})
        version = VersionId(extra.get("model", ""), extra.get("version", ""))
        headers = answer_headers(request, version)
        if request.stream:
            return Ok(ReplayedStream(replay_events(ticket.answer), headers))
        headers["X-Cost"] = str(extra.get("cost", 0))
        return Ok(CompleteAnswer(ticket.answer, headers))

    def run_plan(
        self,
        request: ChatRequest,
        settlement: Settlement,
        is_disconnected: Callable[[], bool] | None,
    ) -> Result[Answer, Refusal]:
        """Chooses a plan and runs it; chooses once more if nothing was sent.

        A version may be withdrawn or its pool may fill up after the choice.
        The second choice is then the next cheapest allowed version that meets
        the target. A plan with the same steps is not run again.
        """
        failed_plan: Plan | None = None
        refusal = empty_plan_refusal()
        for _ in range(2):
            planned = self.plan(request)
            if isinstance(planned, Err):
                return planned
            plan, move_reason = planned.ok_value
            if failed_plan is not None and plan.steps == failed_plan.steps:
                break
            failed_plan = plan
            result = self.run_steps(request, plan, settlement, is_disconnected)
            if isinstance(result, Ok):
                delivery = result.ok_value
                headers = answer_headers(request, delivery.relay.version.id)
                if move_reason:
                    headers["X-Session-Moved"] = move_reason
                return self.deliver(
                    delivery, settlement, headers, is_disconnected
                )
            refusal = result.err_value
            if refusal.code not in REPLAN_CODES or not refusal.not_run:
                break
            self.metrics.incr(f"chosen_anew.{refusal.code}")
        return Err(refusal)

    def plan(self, request: ChatRequest) -> Result[tuple[Plan, str], Refusal]:
        """Returns the plan and the reason for moving the session, if any."""
        if not request.session_id:
            return self.chooser.choose(request, None).map(lambda p: (p, ""))
        owner = request.organisation.name
        found = self.pins.lookup(owner, request.session_id)
        if isinstance(found, Err):
            return found
        pinned, move_reason = found.ok_value, ""
        if pinned is not None:
            move_reason = self.move_reason(request, pinned)
            if not move_reason:
                return self.chooser.choose(request, pinned).map(
                    lambda p: (p, "")
                )
        chosen = self.chooser.choose(request, None)
        if isinstance(chosen, Err):
            return chosen
        # Only the last step meets the quality target without a check, so the
        # session is pinned to its version.
        proposed = chosen.ok_value.steps[-1].version
        stored_pin = self.pins.pin(owner, request.session_id, proposed)
        if isinstance(stored_pin, Err):
            return stored_pin
        return self.chooser.choose(request, stored_pin.ok_value).map(
            lambda p: (p, move_reason)
        )

    def move_reason(self, request: ChatRequest, pinned: VersionId) -> str:
        """Returns why a session must leave its version, empty if it stays."""
        if self.catalog.is_withdrawn(pinned):
            return "withdrawn"
        catalog = self.catalog.catalog()
        owner = catalog.organisations.get(request.organisation.name)
        if owner is None or pinned not in owner.allowed:
            return "not_allowed"
        return "" if pinned in catalog.versions else "not_allowed"

    def run_steps(
        self,
        request: ChatRequest,
        plan: Plan,
        settlement: Settlement,
        is_disconnected: Callable[[], bool] | None,
    ) -> Result[Delivery, Refusal]:
        """Runs the steps in order until one has an answer to deliver."""
        steps = plan.steps
        if not request.kind.idempotent:
            # A cascade may run a request twice. The last step alone needs no
            # check.
            steps = steps[-1:]
        result: Result[Delivery, Refusal] = Err(empty_plan_refusal())
        received = False
        for number, plan_step in enumerate(steps, 1):
            step = StepRun(request, plan_step.version, received=received)
            last = number == len(steps)
            try:
                with self.disconnect_watch.watching(is_disconnected):
                    result = self.run_step(step, plan_step, last, settlement)
            except CallerDisconnectedError:
                self.settle_disconnected(step, settlement)
                raise
            if isinstance(result, Ok):
                return result
            received = step.received
            settlement.may_have_run |= step.may_have_run
        return result

    def run_step(
        self,
        step: StepRun,
        plan_step: PlanStep,
        last: bool,
        settlement: Settlement,
    ) -> Result[Delivery, Refusal]:
        """Runs one step; reads the complete answer if it must be checked."""
        version = self.catalog.catalog().versions.get(plan_step.version)
        if version is not None:
            settlement.open_bill(version)
        opened = self.sender.open(step)
        if isinstance(opened, Err):
            return opened
        if version is None:
            raise AssertionError(
                "a step was sent to a version that is not in the catalogue"
            )
        relay = StreamRelay(self.sender, step, opened.ok_value, version)
        if last or not plan_step.check:
            return Ok(Delivery(relay))
        try:
            buffered = list(relay.blocks())
        except RelayFailedError as error:
            relay.attempt.report_outcome("error", "", failed=True)
            relay.add_usage(settlement)
            return Err(error.refusal)
        except CallerDisconnectedError:
            relay.attempt.cancel()
            relay.attempt.report_outcome("cancelled", "", failed=False)
            raise
        text = step.meter.text
        if self.chooser.passes_check(step.request, step.version, text):
            return Ok(Delivery(relay, buffered))
        relay.attempt.report_outcome("complete", text, failed=False)
        relay.attempt.read_to_end()
        relay.add_usage(settlement)
        self.metrics.incr("cascade.escalated")
        return Err(failed_check_refusal(step))

    def settle_disconnected(
        self, step: StepRun, settlement: Settlement
    ) -> None:
        """Bills the tokens used before a caller disconnected.

        The caller closed its connection before the first token of its answer.
        """
        self.metrics.incr("callers_left.before_first_token")
        version = self.catalog.catalog().versions.get(step.version)
        if version is not None and step.received:
            usage = step.meter.usage_body(step.request.prompt_tokens)
            settlement.usage.add(
                version, usage["prompt_tokens"], usage["completion_tokens"]
            )
        settlement.settle("cancelled", str(step.version), ran=step.received)

    def deliver(
        self,
        delivery: Delivery,
        settlement: Settlement,
        headers: dict[str, str],
        is_disconnected: Callable[[], bool] | None,
    ) -> Result[Answer, Refusal]:
        """Returns the answer of a step as a stream or as one body."""
        relay = delivery.relay
        if settlement.request.stream:
            return Ok(
                StreamAnswer(relay, settlement, headers, delivery.buffered)
            )
        try:
            if delivery.buffered is None:
                read_complete(relay, is_disconnected)
        except RelayFailedError as error:
            relay.settle_failed(settlement)
            return Err(error.refusal)
        except BaseException:
            relay.settle_cancelled(settlement)
            raise
        body = relay.settle_complete(settlement)
        relay.attempt.read_to_end()
        headers["X-Cost"] = str(settlement.usage.cost)
        return Ok(CompleteAnswer(body, headers))


def empty_plan_refusal() -> Refusal:
    """Returns the refusal of a request whose plan has no steps."""
    return refuse(
        RefusalCode.NO_VERSION,
        "no version was chosen for the request",
        "retry later",
    )


def failed_check_refusal(step: StepRun) -> Refusal:
    """Returns the refusal of a step whose answer failed its check."""
    return refuse(
        RefusalCode.UPSTREAM_FAILED,
        f"the answer of {step.version} did not pass its check",
        "retry later",
        not_run=False,
    )


def answer_headers(request: ChatRequest, version: VersionId) -> dict[str, str]:
    """Returns the headers that all answers have in common."""
    return {
        "X-Request-Id": request.request_id,
        "X-Model": version.model,
        "X-Version": version.version,
    }
