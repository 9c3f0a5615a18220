"""Ends a request exactly once: bill, key, limits and place in flight."""

import dataclasses
from collections.abc import Callable
from typing import Any

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.services import (
    Biller,
    LimitGate,
    RoutedRequest,
    RunRegister,
)
from amaranthlug.state.catalog import Version
from amaranthlug.state.records import BillEntry


@dataclasses.dataclass
class Usage:
    """What a request used over all its steps; cost in micro-units."""

    prompt_tokens: int = 0
    output_tokens: int = 0
    cost: int = 0
    steps: int = 0

    def add(self, version: Version, prompt: int, output: int) -> None:
        """Adds a step."""
        self.prompt_tokens += prompt
        self.output_tokens += output
        self.cost += version.cost(prompt, output)
        self.steps += 1


class Settlement:
    """The end of one admitted request; only the first call has an effect."""

    def __init__(
        self,
        request: RoutedRequest,
        admission: Admission,
        biller: Biller,
        limits: LimitGate,
        runs: RunRegister,
        metrics: Metrics,
    ):
        """Creates the settlement of a request; `keyed` after `begin`."""
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
        # A repeated request shares its id with the first run, whose open bill
        # it must not close.
        self.opened_bill: BillEntry | None = None
        # An engine may have generated tokens that never arrived here; such a
        # request is billed for its prompt.
        self.may_have_run = False
        self.cleanups: list[Callable[[], None]] = []

    def open_bill(self, version: Version) -> None:
        """Keeps what is billed if this node dies before the request ends."""
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
        """Bills what was used, frees or fills the key, releases the place."""
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
        """Returns the bill of the request for what was used."""
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
        """Ends the key, the use of limits and the place in flight."""
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


def idempotency_scope(request: RoutedRequest) -> str:
    """Returns the scope of a request's key."""
    return f"run|{request.organisation.name}"
