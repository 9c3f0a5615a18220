"""Guards plain services: routes, keys and repeatable calls."""

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
    """Fails as scripted, then counts runs."""

    def __init__(self, *failures):
        """Takes error reasons and statuses of the first calls."""
        self.failures = list(failures)
        self.runs = 0
        self.keys = []

    def call(self, address, method, path, headers, body, timeout_s):
        """Follows the script."""
        self.keys.append(headers["Idempotency-Key"])
        if self.failures:
            failure = self.failures.pop(0)
            if isinstance(failure, int):
                return Ok(ServiceAnswer(failure, "text/plain", b""))
            sent = failure != "connect"
            return Err(UpstreamError(address, failure, "x", not sent))
        gevent.sleep(0.005)
        self.runs += 1
        raw = json.dumps({"ran": self.runs}).encode()
        return Ok(ServiceAnswer(200, "application/json", raw))


class Part:
    """Service calls among fakes."""

    def __init__(self, *failures):
        """Builds the part."""
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

    def ask(self, method="POST", path="/upload", key="", raw=b"{}"):
        """Sends a call."""
        headers = CallerHeaders(f"Bearer {KEY}", idempotency_key=key)
        return self.calls.handle("maps", method, path, "", headers, raw)

    def check_settled(self):
        """Asserts that nothing stays counted."""
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
def test_only_repeatable_calls_are_repeated(method, path, failure, sent):
    """A non-repeatable call that runs twice."""
    part = Part(failure)
    result = part.ask(method, path)
    assert len(part.service.keys) == sent
    assert len(set(part.service.keys)) == 1
    if isinstance(result, Err):
        assert not result.err_value.not_run
    part.check_settled()


def test_a_key_runs_once_and_gives_the_same_answer():
    """A duplicated upload that clutters a family's map history."""
    part = Part()
    jobs = [gevent.spawn(part.ask, key="k1") for _ in range(4)]
    gevent.joinall(jobs, raise_error=True)
    assert {job.value.unwrap().body for job in jobs} == {b'{"ran": 1}'}
    assert part.ask(key="k1", raw=b"[]").unwrap_err().code == "key_reused"
    part.check_settled()


def test_an_unknown_outcome_is_never_run_again():
    """A second run after the answer of the first was lost."""
    part = Part("reset")
    assert part.ask(key="k1").unwrap_err().code == "upstream_failed"
    assert part.ask(key="k1").unwrap_err().code == "unknown_outcome"
    assert len(part.service.keys) == 1


def test_unknown_routes_and_departing_servers():
    """A call to a route that is not configured, or to a leaving server."""
    part = Part()
    refusal = part.ask("GET", "/upload").unwrap_err()
    assert (refusal.code, refusal.status) == ("unknown_service", 404)
    part.departing |= {f"127.0.0.1:{port}" for port in (1, 2, 3)}
    refusal = part.ask().unwrap_err()
    assert (refusal.code, refusal.not_run) == ("pool_exhausted", True)
    assert part.service.keys == []
    part.check_settled()
