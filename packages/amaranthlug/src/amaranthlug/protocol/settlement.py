"""Settles a request: bill, idempotency key, limits, in-flight count."""

import dataclasses
from collections.abc import Callable
from typing import Any

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.interfaces import (
    Biller,
    ChatRequest,
    LimitEnforcer,
    RunRegister,
)
from amaranthlug.state.catalog import Version
from amaranthlug.state.records import BillEntry


@dataclasses.dataclass
class Usage:
    """Tokens and cost of a request over all its steps.

    Attributes:
        cost: Cost in micro-units.
    """

    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: int = 0
    steps: int = 0

    def add(self, version: Version, prompt: int, output: int) -> None:
        """Adds the tokens and the cost of one step."""
        self.prompt_tokens += prompt
        self.output_tokens += output
        self.cost += version.cost(prompt, output)
        self.steps += 1


class Settlement:
    """Settles one request; only the first call of `settle` has an effect.

    Attributes:
        admitted: The limits count the request.
        keyed: The run register holds the idempotency key of the request.
    """

    def __init__(
        self,
        request: ChatRequest,
        admission: Admission,
        biller: Biller,
        limits: LimitEnforcer,
        runs: RunRegister,
        metrics: Metrics,
    ):
        """Creates the settlement of a request that is in flight."""
        self.request = request
        self.admission = admission
        self.biller = biller
        self.limits = limits
        self.runs = runs
        self.metrics = metrics
        self.usage = Usage()
        self.admitted = False
        self.keyed = False
        self.settled = False
        # Set only by the request that opened the bill. A repeated request has
        # the same identifier and must not close the bill of the first run.
        self.opened_bill: BillEntry | None = None
        # The engine may have generated tokens that were not received. The
        # request is then billed for its prompt.
        self.may_have_run = False
        self.cleanups: list[Callable[[], None]] = []

    def open_bill(self, version: Version) -> None:
        """Opens a bill that stands if this node dies during the request."""
        if self.opened_bill is not None:
            return
        usage = Usage()
        usage.add(version, self.request.prompt_tokens, 0)
        self.opened_bill = self.bill_entry("cut", str(version.id), usage)
        self.biller.open(self.opened_bill)

    def settle(
        self,
        outcome: str,
        version: str = "",
        answer: dict[str, Any] | None = None,
        ran: bool = True,
    ) -> None:
        """Bills the usage and releases the key, limits and in-flight count.

        Args:
            outcome: Outcome for the bill and the counter.
            version: Version that answered.
            answer: Answer to store under the idempotency key.
            ran: The request may have run; otherwise its key is freed.
        """
        if self.settled:
            return
        self.settled = True
        self.metrics.incr(f"requests.{outcome}")
        try:
            if self.usage.steps:
                self.biller.record(
                    self.bill_entry(outcome, version, self.usage)
                )
            elif self.opened_bill is not None and self.may_have_run:
                self.biller.record(self.opened_bill)
            elif self.opened_bill is not None:
                self.biller.close(self.request.request_id)
        finally:
            self.release(answer, ran)

    def bill_entry(self, outcome: str, version: str, usage: Usage) -> BillEntry:
        """Returns the bill of the request for a usage."""
        request = self.request
        return BillEntry(
            request_id=request.request_id,
            organisation=request.organisation.name,
            kind=request.kind.name,
            version=version,
            prompt_tokens=usage.prompt_tokens,
            output_tokens=usage.output_tokens,
            cost=usage.cost,
            outcome=outcome,
            steps=usage.steps,
        )

    def release(self, answer: dict[str, Any] | None, ran: bool) -> None:
        """Ends the run of the key, settles limits and in-flight count."""
        request, usage = self.request, self.usage
        try:
            if self.keyed:
                self.runs.end(
                    idempotency_scope(request),
                    request.idempotency_key,
                    answer,
                    ran,
                )
        finally:
            try:
                if self.admitted:
                    tokens = usage.prompt_tokens + usage.output_tokens
                    self.limits.done(request.organisation, tokens, usage.cost)
            finally:
                self.admission.release()
                for cleanup in self.cleanups:
                    cleanup()


def idempotency_scope(request: ChatRequest) -> str:
    """Returns the scope in which an idempotency key is unique."""
    return f"run|{request.organisation.name}"
