"""Admission checks before a request is dispatched."""

import time

from result import Err, Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.interfaces import (
    Biller,
    CatalogView,
    ChatRequest,
    LimitEnforcer,
)
from amaranthlug.protocol.token_latency import TokenLatencies
from amaranthlug.state.catalog import Organisation
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

OVERLOAD_RETRY_AFTER_S = 1.0
"""Retry-After at the in-flight limit, in seconds; most answers take less."""


class Admission:
    """Limits the requests in flight and checks bills and limits."""

    def __init__(
        self,
        catalog: CatalogView,
        biller: Biller,
        limits: LimitEnforcer,
        metrics: Metrics,
        latencies: TokenLatencies,
        max_in_flight: int,
    ):
        """Creates an admission for `max_in_flight` requests at a time."""
        self.catalog = catalog
        self.biller = biller
        self.limits = limits
        self.metrics = metrics
        self.latencies = latencies
        self.max_in_flight = max_in_flight
        self.in_flight = 0

    def may_serve(self) -> Result[None, Refusal]:
        """Refuses if the configuration is missing or unconfirmed."""
        return self.catalog.may_serve()

    def reserve(self) -> Result[None, Refusal]:
        """Counts a request as in flight; after Ok, call `release`."""
        if self.in_flight >= self.max_in_flight:
            return Err(
                refuse(
                    RefusalCode.OVERLOADED,
                    f"{self.max_in_flight} requests are in flight on this node",
                    "retry later or use another entry address",
                    retry_after_s=OVERLOAD_RETRY_AFTER_S,
                )
            )
        self.in_flight += 1
        return Ok(None)

    def admit(self, request: ChatRequest, tokens: int) -> Result[None, Refusal]:
        """Checks deadline, bills, limits; on Ok call `LimitEnforcer.done`."""
        remaining_s = request.deadline - time.monotonic()
        if remaining_s <= 0:
            return Err(
                refuse(
                    RefusalCode.DEADLINE_PASSED,
                    "the deadline passed before dispatch",
                    "send a later deadline",
                )
            )
        if remaining_s < self.latencies.fastest_first_token_s():
            return Err(
                refuse(
                    RefusalCode.DEADLINE_UNREACHABLE,
                    "no version sends its first token within the deadline",
                    "send a later deadline",
                )
            )
        return self.admit_usage(request.organisation, tokens)

    def admit_usage(
        self, organisation: Organisation, tokens: int
    ) -> Result[None, Refusal]:
        """Checks bills and limits; after Ok, call `LimitEnforcer.done`."""
        backlog = self.biller.may_admit()
        if isinstance(backlog, Err):
            return backlog
        return self.limits.admit(organisation, tokens)

    def release(self) -> None:
        """Ends the in-flight count of a request."""
        self.in_flight -= 1
