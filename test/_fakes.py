"""A dispatcher among small fakes, and readers of its answers.

The names of all fakes of the request path can be imported from here.
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
from amaranthlug.protocol.pace import Pace
from amaranthlug.protocol.poison import NoSuspects
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.sender import Sender
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
    """A dispatcher among fakes."""

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
        self.pace = Pace()
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
        """Sends a request and returns its result."""
        body = {
            "model": "auto",
            "messages": [{"role": "user", "content": "Olá"}],
            "stream": stream,
            **body,
        }
        raw = json.dumps(body).encode()
        return self.dispatcher.handle(raw, headers)

    def check_settled(self):
        """Asserts that every count that was begun has ended once."""
        assert self.admission.in_flight == 0
        assert self.limits.open == 0
        assert not any(self.servers.in_flight.values())
        assert len(self.chooser.started_versions) == len(self.chooser.ended)
        running = [r for r in self.runs.runs.values() if r[1] == "running"]
        assert not running


def read_events(answer):
    """Reads a streamed answer as the server does; returns its events."""
    try:
        data = b"".join(answer)
    finally:
        answer.close()
    return [part[6:].decode() for part in data.split(b"\n\n") if part.strip()]


def joined_text(events):
    """Returns the text of events."""
    text = ""
    for event in events:
        if event != "[DONE]":
            for choice in json.loads(event).get("choices", []):
                text += choice["delta"].get("content") or ""
    return text


def wait_for(condition, timeout_s=3.0):
    """Waits until a condition holds."""
    limit = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < limit, "condition did not come true"
        gevent.sleep(0.005)
