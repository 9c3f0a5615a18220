"""Tests calls to plain services: routes, idempotency keys and retries."""

import json

import gevent
import pytest
from _fakes import (
    KEY,
    FakeBiller,
    FakeCatalog,
    FakeLimits,
    FakeRuns,
)
from result import Err, Ok

from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.chat import CallerHeaders
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.service_calls import RandomPicker, ServiceCalls
from amaranthlug.protocol.token_latency import TokenLatencies
from amaranthlug.protocol.upstream import ServiceAnswer, UpstreamError
from amaranthlug.transport.statsd_metrics import StatsdMetrics


class FakeService:
    """Service whose first calls fail as given; it counts later ones."""

    def __init__(self, *failures):
        """Takes the error reason or status of each of the first calls."""
        self.failures = list(failures)
        self.runs = 0
        self.keys = []

    def call(self, address, method, path, headers, body, timeout_s):
        """Returns the next failure, or a successful answer."""
        self.keys.append(headers["Idempotency-Key"])
        if self.failures:
            failure = self.failures.pop(0)
            if isinstance(failure, int):
                return Ok(ServiceAnswer(failure, "text/plain", b""))
            received = failure != "connect"
            return Err(UpstreamError(address, failure, "x", not received))
        gevent.sleep(0.005)
        self.runs += 1
        raw = json.dumps({"ran": self.runs}).encode()
        return Ok(ServiceAnswer(200, "application/json", raw))


class Harness:
    """A `ServiceCalls` with fake dependencies."""

    def __init__(self, *failures):
        """Creates a harness whose first calls fail as given."""
        self.service = FakeService(*failures)
        self.limits = FakeLimits()
        self.metrics = StatsdMetrics()
        catalog = FakeCatalog()
        self.admission = Admission(
            catalog,
            FakeBiller(),
            self.limits,
            self.metrics,
            TokenLatencies(),
            10,
        )
        self.departing = set()
        picker = RandomPicker(
            catalog, "sala-a", lambda a: a in self.departing, seed=1
        )
        self.calls = ServiceCalls(
            catalog,
            picker,
            self.service,
            FakeRuns(),
            self.limits,
            self.admission,
            RetryBudget(seed=1),
            self.metrics,
        )

    def call(self, method="POST", path="/upload", key="", raw=b"{}"):
        """Sends a call to the service `maps`."""
        headers = CallerHeaders(f"Bearer {KEY}", idempotency_key=key)
        return self.calls.handle("maps", method, path, "", headers, raw)

    def check_nothing_in_flight(self):
        """Asserts that no call is still counted as in flight."""
        assert (self.admission.in_flight, self.limits.open) == (0, 0)


@pytest.mark.parametrize(
    ("method", "path", "failure", "sent"),
    [
        ("POST", "/upload", "connect", 2),
        ("POST", "/upload", "reset", 1),
        ("POST", "/upload", "timeout", 1),
        ("POST", "/upload", 503, 1),
        ("POST", "/map/look", "reset", 2),
        ("GET", "/map/1", "timeout", 2),
        ("GET", "/map/1", 503, 2),
        ("GET", "/map/1", 404, 1),
    ],
)
def test_only_repeatable_calls_are_retried(method, path, failure, sent):
    """A call that is not repeatable must not run twice."""
    harness = Harness(failure)
    result = harness.call(method, path)
    assert len(harness.service.keys) == sent
    assert len(set(harness.service.keys)) == 1
    if isinstance(result, Err):
        assert not result.err_value.not_run
    harness.check_nothing_in_flight()


def test_calls_with_one_key_run_once_and_share_the_answer():
    """Otherwise a repeated upload would be stored twice."""
    harness = Harness()
    jobs = [gevent.spawn(harness.call, key="k1") for _ in range(4)]
    gevent.joinall(jobs, raise_error=True)
    assert {job.value.unwrap().body for job in jobs} == {b'{"ran": 1}'}
    assert harness.call(key="k1", raw=b"[]").unwrap_err().code == "key_reused"
    harness.check_nothing_in_flight()


def test_call_with_unknown_outcome_is_not_run_again():
    """After a lost answer, a call with the same key must not run again."""
    harness = Harness("reset")
    assert harness.call(key="k1").unwrap_err().code == "upstream_failed"
    assert harness.call(key="k1").unwrap_err().code == "unknown_outcome"
    assert len(harness.service.keys) == 1


def test_unknown_routes_and_departing_servers_are_refused():
    """Such a call must be refused without reaching a server."""
    harness = Harness()
    refusal = harness.call("GET", "/upload").unwrap_err()
    assert (refusal.code, refusal.status) == ("unknown_service", 404)
    harness.departing |= {f"127.0.0.1:{port}" for port in (1, 2, 3)}
    refusal = harness.call().unwrap_err()
    assert (refusal.code, refusal.not_run) == ("pool_exhausted", True)
    assert harness.service.keys == []
    harness.check_nothing_in_flight()
