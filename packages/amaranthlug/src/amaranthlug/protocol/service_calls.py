"""Calls to plain services: routes, keys and retries."""

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
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.services import (
    CatalogView,
    LimitGate,
    RunRegister,
)
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
"""Attempts of a call."""
RETRY_STATUS = frozenset({502, 503, 504})
"""Statuses after which a repeatable call is sent again."""
FAILED_RETRY_S = 1.0
"""Wait asked of callers after a failed call, in seconds."""


class ServicePicker(Protocol):
    """Chooses a server of a plain service."""

    def pick(self, pool: str, exclude: frozenset[str]) -> Upstream | None:
        """Returns a server that is not departing, None when there is none."""
        ...

    def done(self, address: str, failed: bool) -> None:
        """Reports the end of a call."""
        ...


class RandomPicker:
    """Picks any server of the pool that is not departing."""

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
        """Returns a server, one without a recent failure if there is any."""
        known = self.catalog.catalog().pools.get(pool)
        open_to_work = [
            upstream
            for upstream in (known.upstreams if known else ())
            if upstream.address not in exclude
            and not self.departing(upstream.address)
        ]
        if not open_to_work:
            return None
        return min(
            open_to_work,
            key=lambda upstream: (
                upstream.address in self.failed,
                upstream.zone != self.zone,
                self.random.random(),
            ),
        )

    def done(self, address: str, failed: bool) -> None:
        """Remembers failed servers until their next success."""
        if failed:
            self.failed.add(address)
        else:
            self.failed.discard(address)


class ServiceCalls:
    """Answers calls to plain services."""

    def __init__(
        self,
        catalog: CatalogView,
        picker: ServicePicker,
        service: PlainService,
        runs: RunRegister,
        limits: LimitGate,
        admission: Admission,
        budget: RetryBudget,
        metrics: Metrics,
    ):
        """Creates the part."""
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
        """Returns the answer of the service `name` at `path`."""
        serving = self.admission.may_serve()
        if isinstance(serving, Err):
            return self.counted(serving)
        reserved = self.admission.reserve()
        if isinstance(reserved, Err):
            return self.counted(reserved)
        try:
            return self.counted(
                self.admitted(name, method, path, content_type, headers, raw)
            )
        finally:
            self.admission.release()

    def counted(
        self, answered: Result[ServiceAnswer, Refusal] | Err[Refusal]
    ) -> Result[ServiceAnswer, Refusal]:
        """Counts a refusal."""
        if isinstance(answered, Err):
            record_refusal(self.metrics, answered.err_value)
        return answered

    def admitted(
        self,
        name: str,
        method: str,
        path: str,
        content_type: str,
        headers: CallerHeaders,
        raw: bytes,
    ) -> Result[ServiceAnswer, Refusal]:
        """Authenticates, finds the route and runs the call."""
        catalog = self.catalog.catalog()
        found = authenticate(headers.authorization, catalog)
        if isinstance(found, Err):
            return found
        issued = check_headers(headers)
        if isinstance(issued, Err):
            return issued
        organisation = found.ok_value
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
        call = Call(service, route, method, path, upstream_headers, raw)
        call.issued_ms = issued.ok_value
        try:
            if headers.idempotency_key:
                return self.keyed(call, organisation, key)
            return self.send(call)[0]
        finally:
            self.limits.done(organisation, 0, 0)

    def keyed(
        self, call: "Call", organisation: Organisation, key: str
    ) -> Result[ServiceAnswer, Refusal]:
        """Runs a call with a key at most once, or returns its answer."""
        scope = f"run|{organisation.name}"
        begun = self.runs.begin(
            scope, key, call.digest(), call.route.repeatable, call.issued_ms
        )
        if isinstance(begun, Err):
            return begun
        ticket = begun.ok_value
        if not ticket.run:
            if ticket.answer is None:
                return Err(unknown_outcome())
            return Ok(stored_answer(ticket.answer))
        answer: dict[str, Any] | None = None
        ran = True
        try:
            result, ran = self.send(call)
            if isinstance(result, Ok):
                answer = answer_record(result.ok_value)
            return result
        finally:
            self.runs.end(scope, key, answer, ran)

    def send(self, call: "Call") -> tuple[Result[ServiceAnswer, Refusal], bool]:
        """Sends a call under the retry rules; True: it may have run."""
        tried: set[str] = set()
        ran = False
        last: UpstreamError | None = None
        while len(tried) < MAX_ATTEMPTS:
            upstream = self.picker.pick(call.service.pool, frozenset(tried))
            if upstream is None or not self.paid(upstream.address, tried):
                break
            tried.add(upstream.address)
            sent = self.try_once(call, upstream.address)
            if isinstance(sent, Ok):
                return sent, True
            last = sent.err_value
            ran = ran or not last.not_received
            if ran and not call.route.repeatable:
                break
            record_retry(self.metrics, last.reason, last.address)
            gevent.sleep(self.budget.wait_s(len(tried)))
        return Err(call_failure(call.service, last, ran)), ran

    def paid(self, address: str, tried: set[str]) -> bool:
        """Pays for a retry from the budget; a first attempt is free."""
        if tried:
            return self.budget.try_spend(address)
        self.budget.record_first_attempt(address)
        return True

    def try_once(
        self, call: "Call", address: str
    ) -> Result[ServiceAnswer, UpstreamError]:
        """Sends a call to one server; a repeatable one may be refused."""
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
            and sent.ok_value.status in RETRY_STATUS
        ):
            text = f"{address} answered {sent.ok_value.status}"
            return Err(UpstreamError(address, "status", text))
        return sent


class Call:
    """One call with its route."""

    def __init__(
        self,
        service: Service,
        route: ServiceRoute,
        method: str,
        path: str,
        headers: dict[str, str],
        raw: bytes,
    ):
        """Wraps the parts of a call."""
        self.service = service
        self.route = route
        self.method = method
        self.path = path
        self.headers = headers
        self.raw = raw
        self.issued_ms: int | None = None

    def digest(self) -> str:
        """Returns the hash that tells two calls with one key apart."""
        head = f"{self.service.name} {self.method} {self.path}\n".encode()
        return xxhash.xxh3_128_hexdigest(head + self.raw)


def find_route(
    name: str,
    method: str,
    path: str,
    organisation: Organisation,
    catalog: Catalog,
) -> Result[tuple[Service, ServiceRoute], Refusal]:
    """Returns the service and the longest matching route."""
    service = catalog.services.get(name)
    if service is not None and name in organisation.services:
        bare = path.split("?", 1)[0]
        matching = [
            route
            for route in service.routes
            if route.method in (method, "ANY", "*")
            and bare.startswith(route.prefix)
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
    service: Service, error: UpstreamError | None, ran: bool
) -> Refusal:
    """Returns the final answer to a call that was given up."""
    text = error.message if error else f"{service.name} has no server"
    if not ran:
        return refuse(
            RefusalCode.POOL_EXHAUSTED,
            text,
            "retry after the given time",
            retry_after_s=FAILED_RETRY_S,
        )
    late = error is not None and error.reason == "timeout"
    return refuse(
        RefusalCode.UPSTREAM_TIMEOUT if late else RefusalCode.UPSTREAM_FAILED,
        text,
        "check whether the call took effect before sending it again",
        not_run=False,
        retry_after_s=FAILED_RETRY_S,
    )


def unknown_outcome() -> Refusal:
    """Returns the refusal of a key whose run gave no answer."""
    return refuse(
        RefusalCode.UNKNOWN_OUTCOME,
        "an earlier call with this key ran without an answer",
        "check the effect before sending a new key",
        not_run=False,
    )


def answer_record(answer: ServiceAnswer) -> dict[str, Any]:
    """Returns an answer as the run register stores it."""
    return {
        "status": answer.status,
        "content_type": answer.content_type,
        "body": base64.b64encode(answer.body).decode(),
    }


def stored_answer(record: dict[str, Any]) -> ServiceAnswer:
    """Returns an answer that the run register stored."""
    return ServiceAnswer(
        record["status"],
        record["content_type"],
        base64.b64decode(record["body"]),
    )
