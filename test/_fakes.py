"""Test bench with a real dispatcher and fakes of all parts around it.

It also exports all fakes of the request path.
"""

import json
import time

import gevent
from _fakes_catalog import (
    CHEAP,
    EXPENSIVE,
    HEADERS,
    KEY,
    WORDS,
    sample_catalog,
)
from _fakes_engine import (
    FakeEngine,
    FakeStream,
    Script,
    end_events,
    token_event,
)
from _fakes_parts import (
    FakeBiller,
    FakeCatalog,
    FakeChooser,
    FakeLimits,
    FakePins,
    FakeRuns,
    FakeServers,
    FakeSuspects,
)

from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.dispatch import Dispatcher
from amaranthlug.protocol.poison import NoSuspects
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.sender import Sender
from amaranthlug.protocol.token_latency import TokenLatencies
from amaranthlug.transport.statsd_metrics import StatsdMetrics

__all__ = [
    "CHEAP",
    "EXPENSIVE",
    "HEADERS",
    "KEY",
    "WORDS",
    "Bench",
    "FakeBiller",
    "FakeCatalog",
    "FakeChooser",
    "FakeEngine",
    "FakeLimits",
    "FakePins",
    "FakeRuns",
    "FakeServers",
    "FakeStream",
    "FakeSuspects",
    "Script",
    "end_events",
    "joined_text",
    "read_events",
    "sample_catalog",
    "token_event",
    "wait_for",
]


class Bench:
    """Test bench: admission, sender and dispatcher with fakes around them."""

    def __init__(self, *scripts, steps=(), bound=10, engine=None, catalog=None):
        self.catalog = FakeCatalog(catalog)
        self.chooser = FakeChooser(*steps)
        self.servers = FakeServers(self.catalog)
        self.pins = FakePins()
        self.runs = FakeRuns()
        self.biller = FakeBiller()
        self.limits = FakeLimits()
        self.engine = engine or FakeEngine(*scripts)
        self.metrics = StatsdMetrics()
        self.pace = TokenLatencies()
        self.budget = RetryBudget(seed=1)
        self.admission = Admission(
            self.catalog,
            self.biller,
            self.limits,
            self.metrics,
            self.pace,
            bound,
        )
        self.sender = Sender(
            self.catalog,
            self.engine,
            self.chooser,
            self.servers,
            self.budget,
            self.pace,
            NoSuspects(),
            self.metrics,
        )
        self.dispatcher = Dispatcher(
            self.catalog,
            self.chooser,
            self.pins,
            self.runs,
            self.biller,
            self.limits,
            self.admission,
            self.sender,
            NoSuspects(),
            self.metrics,
        )

    def ask(self, stream=False, headers=HEADERS, **body):
        """Sends a chat request and returns the result."""
        body = {
            "model": "auto",
            "messages": [{"role": "user", "content": "Olá"}],
            "stream": stream,
            **body,
        }
        raw = json.dumps(body).encode()
        return self.dispatcher.handle(raw, headers)

    def check_settled(self):
        """Asserts that no request, run or attempt is still open."""
        assert self.admission.in_flight == 0
        assert self.limits.open == 0
        assert not any(self.servers.in_flight.values())
        assert len(self.chooser.started_versions) == len(self.chooser.ended)
        running = [r for r in self.runs.runs.values() if r[1] == "running"]
        assert not running


def read_events(answer):
    """Reads and closes a streamed answer as the WSGI server does."""
    try:
        data = b"".join(answer)
    finally:
        answer.close()
    return [part[6:].decode() for part in data.split(b"\n\n") if part.strip()]


def joined_text(events):
    """Returns the text that the events contain."""
    text = ""
    for event in events:
        if event != "[DONE]":
            for choice in json.loads(event).get("choices", []):
                text += choice["delta"].get("content") or ""
    return text


def wait_for(condition, timeout_s=3.0):
    """Waits for a condition; fails after the timeout in seconds."""
    limit = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < limit, "condition not met before the timeout"
        gevent.sleep(0.005)
