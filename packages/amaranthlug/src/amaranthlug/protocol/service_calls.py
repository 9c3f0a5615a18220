"""Proxies calls to plain services, with idempotency keys and retries."""

import base64
import random
import uuid
from collections.abc import Callable
from typing import Any, Protocol

import gevent
import xxhash
from result import Err, Ok, Result

from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.chat import (
    CallerHeaders,
    authenticate,
    check_headers,
    make_request_id,
)
from amaranthlug.protocol.events import record_refusal, record_retry
from amaranthlug.protocol.interfaces import (
    CatalogView,
    LimitEnforcer,
    RunRegister,
)
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.upstream import (
    PlainService,
    ServiceAnswer,
    UpstreamError,
)
from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    Service,
    ServiceRoute,
    Upstream,
)
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

MAX_ATTEMPTS = 3
"""Maximum number of attempts per call."""

RETRYABLE_STATUSES = frozenset({502, 503, 504})
"""Statuses after which a repeatable call is retried."""

FAILED_RETRY_S = 1.0
"""`retry_after_s` of the refusal of a failed call, in seconds."""


class ServicePicker(Protocol):
    """Chooses a server of a plain service."""

    def pick(self, pool: str, exclude: frozenset[str]) -> Upstream | None:
        """Returns a server that is not departing, or None."""
        ...

    def done(self, address: str, failed: bool) -> None:
        """Reports that a call to a server ended."""
        ...


class RandomPicker:
    """Picks a random server that is not departing, preferably a near one."""

    def __init__(
        self,
        catalog: CatalogView,
        zone: str,
        departing: Callable[[str], bool],
        seed: int | None = None,
    ):
        """Creates a picker that prefers servers of `zone`."""
        self.catalog = catalog
        self.zone = zone
        self.departing = departing
        self.random = random.Random(seed)
        self.failed: set[str] = set()

    def pick(self, pool: str, exclude: frozenset[str]) -> Upstream | None:
        """Returns a server, preferably one whose last call did not fail."""
        found = self.catalog.catalog().pools.get(pool)
        candidates = [
            upstream
            for upstream in (found.upstreams if found else ())
            if upstream.address not in exclude
            and not self.departing(upstream.address)
        ]
        if not candidates:
            return None
        return min(
            candidates,
            key=lambda upstream: (
                upstream.address in self.failed,
                upstream.zone != self.zone,
                self.random.random(),
            ),
        )

    def done(self, address: str, failed: bool) -> None:
        """Remembers a failed server until its next success."""
        if failed:
            self.failed.add(address)
        else:
            self.failed.discard(address)


class ServiceCalls:
    """Handles calls to plain services."""

    def __init__(
        self,
        catalog: CatalogView,
        picker: ServicePicker,
        service: PlainService,
        runs: RunRegister,
        limits: LimitEnforcer,
        admission: Admission,
        budget: RetryBudget,
        metrics: Metrics,
    ):
        """Creates a handler without calls in flight."""
        self.catalog = catalog
        self.picker = picker
        self.service = service
        self.runs = runs
        self.limits = limits
        self.admission = admission
        self.budget = budget
        self.metrics = metrics

    def handle(
        self,
        name: str,
        method: str,
        path: str,
        content_type: str,
        headers: CallerHeaders,
        raw: bytes,
    ) -> Result[ServiceAnswer, Refusal]:
        """Calls the service `name` at `path` and returns its answer."""
        serving = self.admission.may_serve()
        if isinstance(serving, Err):
            return self.count_refusal(serving)
        reserved = self.admission.reserve()
        if isinstance(reserved, Err):
            return self.count_refusal(reserved)
        try:
            return self.count_refusal(
                self.handle_admitted(
                    name, method, path, content_type, headers, raw
                )
            )
        finally:
            self.admission.release()

    def count_refusal(
        self, result: Result[ServiceAnswer, Refusal] | Err[Refusal]
    ) -> Result[ServiceAnswer, Refusal]:
        """Returns a result after counting it if it is a refusal."""
        if isinstance(result, Err):
            record_refusal(self.metrics, result.err_value)
        return result

    def handle_admitted(
        self,
        name: str,
        method: str,
        path: str,
        content_type: str,
        headers: CallerHeaders,
        raw: bytes,
    ) -> Result[ServiceAnswer, Refusal]:
        """Authenticates the caller, finds the route and sends the call."""
        catalog = self.catalog.catalog()
        authenticated = authenticate(headers.authorization, catalog)
        if isinstance(authenticated, Err):
            return authenticated
        issued = check_headers(headers)
        if isinstance(issued, Err):
            return issued
        organisation = authenticated.ok_value
        routed = find_route(name, method, path, organisation, catalog)
        if isinstance(routed, Err):
            return routed
        service, route = routed.ok_value
        limited = self.limits.admit(organisation, 0)
        if isinstance(limited, Err):
            return limited
        key = headers.idempotency_key or uuid.uuid4().hex
        upstream_headers = {
            "Idempotency-Key": key,
            "X-Request-Id": make_request_id(organisation.name, key),
        }
        if content_type:
            upstream_headers["Content-Type"] = content_type
        call = PlainServiceCall(
            service, route, method, path, upstream_headers, raw
        )
        call.issued_ms = issued.ok_value
        try:
            if headers.idempotency_key:
                return self.send_with_key(call, organisation, key)
            return self.send(call)[0]
        finally:
            self.limits.done(organisation, 0, 0)

    def send_with_key(
        self, call: "PlainServiceCall", organisation: Organisation, key: str
    ) -> Result[ServiceAnswer, Refusal]:
        """Sends a call unless one with its key has run, and stores the answer.

        If one has run, returns the stored answer or a refusal.
        """
        scope = f"run|{organisation.name}"
        begin_result = self.runs.begin(
            scope, key, call.digest(), call.route.repeatable, call.issued_ms
        )
        if isinstance(begin_result, Err):
            return begin_result
        ticket = begin_result.ok_value
        if not ticket.run:
            if ticket.answer is None:
                return Err(unknown_outcome())
            return Ok(decode_answer(ticket.answer))
        answer: dict[str, Any] | None = None
        may_have_run = True
        try:
            result, may_have_run = self.send(call)
            if isinstance(result, Ok):
                answer = encode_answer(result.ok_value)
            return result
        finally:
            self.runs.end(scope, key, answer, may_have_run)

    def send(
        self, call: "PlainServiceCall"
    ) -> tuple[Result[ServiceAnswer, Refusal], bool]:
        """Sends a call with retries.

        A call that may have run is retried only if its route is repeatable.

        Returns:
            The answer or refusal, and whether the call may have run.
        """
        tried: set[str] = set()
        may_have_run = False
        error: UpstreamError | None = None
        while len(tried) < MAX_ATTEMPTS:
            upstream = self.picker.pick(call.service.pool, frozenset(tried))
            if upstream is None or not self.try_spend_budget(
                upstream.address, tried
            ):
                break
            tried.add(upstream.address)
            sent = self.send_to(call, upstream.address)
            if isinstance(sent, Ok):
                return sent, True
            error = sent.err_value
            may_have_run = may_have_run or not error.not_received
            if may_have_run and not call.route.repeatable:
                break
            record_retry(self.metrics, error.reason, error.address)
            gevent.sleep(self.budget.wait_s(len(tried)))
        return Err(
            call_failure(call.service, error, may_have_run)
        ), may_have_run

    def try_spend_budget(self, address: str, tried: set[str]) -> bool:
        """Takes a retry from the budget; a first attempt needs none."""
        if tried:
            return self.budget.try_spend(address)
        self.budget.record_first_attempt(address)
        return True

    def send_to(
        self, call: "PlainServiceCall", address: str
    ) -> Result[ServiceAnswer, UpstreamError]:
        """Sends a call to one server.

        For a repeatable call, a retryable status counts as an error.
        """
        sent = self.service.call(
            address,
            call.method,
            call.path,
            call.headers,
            call.raw,
            call.service.timeout_ms / 1_000,
        )
        self.picker.done(address, isinstance(sent, Err))
        if (
            isinstance(sent, Ok)
            and call.route.repeatable
            and sent.ok_value.status in RETRYABLE_STATUSES
        ):
            text = f"{address} answered {sent.ok_value.status}"
            return Err(UpstreamError(address, "status", text))
        return sent


class PlainServiceCall:
    """A call with its route and the request to send.

    Attributes:
        issued_ms: Unix time in milliseconds at which the caller issued its key.
    """

    def __init__(
        self,
        service: Service,
        route: ServiceRoute,
        method: str,
        path: str,
        headers: dict[str, str],
        raw: bytes,
    ):
        """Creates a call without the issue time of its key."""
        self.service = service
        self.route = route
        self.method = method
        self.path = path
        self.headers = headers
        self.raw = raw
        self.issued_ms: int | None = None

    def digest(self) -> str:
        """Returns a hash that detects a key reused for another call."""
        head = f"{self.service.name} {self.method} {self.path}\n".encode()
        return xxhash.xxh3_128_hexdigest(head + self.raw)


def find_route(
    name: str,
    method: str,
    path: str,
    organisation: Organisation,
    catalog: Catalog,
) -> Result[tuple[Service, ServiceRoute], Refusal]:
    """Returns the service and its route with the longest matching prefix."""
    service = catalog.services.get(name)
    if service is not None and name in organisation.services:
        path_only = path.split("?", 1)[0]
        matching = [
            route
            for route in service.routes
            if route.method in (method, "ANY", "*")
            and path_only.startswith(route.prefix)
        ]
        if matching:
            return Ok((service, max(matching, key=lambda r: len(r.prefix))))
    return Err(
        refuse(
            RefusalCode.UNKNOWN_SERVICE,
            f"no route {method} {path} of a service {name!r} for "
            f"{organisation.name}",
            "check the path or ask the operator to configure it",
        )
    )


def call_failure(
    service: Service, error: UpstreamError | None, may_have_run: bool
) -> Refusal:
    """Returns the refusal of a call that failed after all attempts."""
    message = (
        error.message
        if error
        else f"service {service.name} has no available server"
    )
    if not may_have_run:
        return refuse(
            RefusalCode.POOL_EXHAUSTED,
            message,
            "retry after the given time",
            retry_after_s=FAILED_RETRY_S,
        )
    timed_out = error is not None and error.reason == "timeout"
    return refuse(
        RefusalCode.UPSTREAM_TIMEOUT
        if timed_out
        else RefusalCode.UPSTREAM_FAILED,
        message,
        "check whether the call took effect before sending it again",
        not_run=False,
        retry_after_s=FAILED_RETRY_S,
    )


def unknown_outcome() -> Refusal:
    """Returns the refusal of a key whose earlier call has no known answer."""
    return refuse(
        RefusalCode.UNKNOWN_OUTCOME,
        "an earlier call with this key may have run; its answer is lost",
        "check whether it took effect before sending the call with a new key",
        not_run=False,
    )


def encode_answer(answer: ServiceAnswer) -> dict[str, Any]:
    """Returns an answer in the form that the run register stores."""
    return {
        "status": answer.status,
        "content_type": answer.content_type,
        "body": base64.b64encode(answer.body).decode(),
    }


def decode_answer(record: dict[str, Any]) -> ServiceAnswer:
    """Returns the answer from a row of the run register."""
    return ServiceAnswer(
        record["status"],
        record["content_type"],
        base64.b64decode(record["body"]),
    )
