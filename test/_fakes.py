"""Small fakes of the request path's collaborators and a node built of them."""

import dataclasses
import hashlib
import json
import time

import gevent
from result import Err, Ok

from amaranthlug.protocol.admission import Admission
from amaranthlug.protocol.chat import CallerHeaders
from amaranthlug.protocol.dispatch import Dispatcher
from amaranthlug.protocol.pace import Pace
from amaranthlug.protocol.poison import NoSuspects
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.sender import Sender
from amaranthlug.protocol.services import Plan, PlanStep, RunTicket
from amaranthlug.protocol.upstream import StreamCutError, UpstreamError
from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    Pool,
    RequestKind,
    Service,
    ServiceRoute,
    Upstream,
    Version,
    VersionId,
)
from amaranthlug.state.refusal import RefusalCode, refuse
from amaranthlug.transport.statsd_metrics import StatsdMetrics

KEY = "key-of-alfama"
CHEAP = VersionId("brisa", "1")
DEAR = VersionId("vento", "2")
WORDS = ["um", "tapete", "no", "corredor", "junto", "da", "porta", "azul"]
HEADERS = CallerHeaders(f"Bearer {KEY}", "describe")


def sample_catalog(addresses=("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")):
    """Returns a catalogue with one organisation, two versions, one service."""
    upstreams = tuple(Upstream(a, "sala-a") for a in addresses)
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    routes = (
        ServiceRoute("GET", "/map", True),
        ServiceRoute("POST", "/", False),
        ServiceRoute("POST", "/map/look", True),
    )
    return Catalog(
        revision=1,
        organisations={
            "alfama": Organisation(
                "alfama",
                frozenset({digest}),
                frozenset({CHEAP, DEAR}),
                services=frozenset({"maps"}),
            )
        },
        versions={
            CHEAP: Version(CHEAP, "pool", 1_000_000, 2_000_000),
            DEAR: Version(DEAR, "pool", 10_000_000, 20_000_000),
        },
        pools={"pool": Pool("pool", upstreams)},
        kinds={
            "describe": RequestKind("describe", 0.9, first_token_ms=200),
            "tag": RequestKind("tag", 0.9, idempotent=False),
        },
        services={"maps": Service("maps", "pool", routes, 500)},
    )


class FakeCatalog:
    """A configuration that a test changes."""

    def __init__(self, catalog=None):
        self.now = catalog or sample_catalog()
        self.withdrawn = set()
        self.refusal = None

    def catalog(self):
        return self.now

    def is_withdrawn(self, version):
        return version in self.withdrawn

    def may_serve(self):
        return Err(self.refusal) if self.refusal else Ok(None)


class FakeChooser:
    """Plans the given steps and records what is reported."""

    def __init__(self, *steps):
        self.steps = steps or (PlanStep(CHEAP),)
        self.begun = []
        self.ended = []
        self.good = True

    def choose(self, request, pinned):
        if pinned:
            return Ok(Plan((PlanStep(pinned),)))
        return Ok(Plan(tuple(self.steps)))

    def started(self, request, version):
        self.begun.append(version)

    def finished(self, request, version, upstream, outcome, answer):
        self.ended.append((version, outcome, answer))

    def passes_check(self, request, version, answer):
        return self.good


class FakeServers:
    """Picks the first server that is not excluded; counts in flight."""

    def __init__(self, catalog):
        self.catalog = catalog
        self.in_flight = {}
        self.reports = []
        self.full = set()
        self.asked = 0

    def pick(self, request, version, exclude):
        self.asked += 1
        if version in self.full:
            return Err(refuse(RefusalCode.POOL_EXHAUSTED, "full", "wait"))
        for upstream in self.catalog.now.pools["pool"].upstreams:
            if upstream.address not in exclude:
                count = self.in_flight.get(upstream.address, 0)
                self.in_flight[upstream.address] = count + 1
                return Ok(upstream)
        text = "no server"
        return Err(refuse(RefusalCode.POOL_EXHAUSTED, text, "wait", True, 1.0))

    def done(self, address, first_token_s, failed):
        self.in_flight[address] -= 1
        self.reports.append((address, failed))

    def queueing(self, address):
        return address in self.full


class FakePins:
    """Pins in a dictionary."""

    def __init__(self):
        self.pins = {}

    def lookup(self, organisation, session_id):
        return Ok(self.pins.get((organisation, session_id)))

    def pin(self, organisation, session_id, proposal):
        self.pins[(organisation, session_id)] = proposal
        return Ok(proposal)


class FakeRuns:
    """A run register of one process."""

    def __init__(self):
        self.runs = {}

    def begin(self, scope, key, digest, idempotent, issued_ms=None):
        while True:
            run = self.runs.get((scope, key))
            if run is None:
                self.runs[(scope, key)] = [digest, "running", None]
                return Ok(RunTicket(True))
            if run[0] != digest:
                text = "the key was used for another request"
                return Err(refuse(RefusalCode.KEY_REUSED, text, "new key"))
            if run[1] == "ended":
                return Ok(RunTicket(False, run[2]))
            gevent.sleep(0.005)

    def end(self, scope, key, answer, ran):
        if not ran:
            del self.runs[(scope, key)]
            return
        assert self.runs[(scope, key)][1] == "running"
        self.runs[(scope, key)][1:] = ["ended", answer]


class FakeBiller:
    """Keeps bills; `order` shows what happened before and after."""

    def __init__(self):
        self.bills = []
        self.opened = []
        self.closed = []
        self.refusal = None

    def may_admit(self):
        return Err(self.refusal) if self.refusal else Ok(None)

    def open(self, entry):
        self.opened.append(entry.request_id)

    def close(self, request_id):
        self.closed.append(request_id)

    def record(self, entry):
        self.bills.append(entry)


class FakeLimits:
    """Counts admitted and settled requests."""

    def __init__(self):
        self.open = 0
        self.used = []
        self.refusal = None

    def admit(self, organisation, tokens):
        if self.refusal:
            return Err(self.refusal)
        self.open += 1
        return Ok(None)

    def done(self, organisation, tokens, cost):
        self.open -= 1
        self.used.append((tokens, cost))


class FakeSuspects:
    """Condemns a digest after two crashes."""

    def __init__(self):
        self.crashes = []

    def admit(self, digest):
        if self.crashes.count(digest) >= 2:
            return Err(refuse(RefusalCode.POISONED_REQUEST, "bad", "change"))
        return Ok(None)

    def crashed(self, digest, address):
        self.crashes.append(digest)

    def finished(self, digest):
        pass


def token_event(text, **extra):
    """Returns the event of one token."""
    chunk = {"choices": [{"index": 0, "delta": {"content": text}}], **extra}
    return f"data: {json.dumps(chunk)}\n\n".encode()


def end_events(tokens):
    """Returns the usage chunk and the end marker."""
    usage = {"prompt_tokens": 5, "completion_tokens": tokens}
    chunk = {
        "choices": [{"index": 0, "delta": {}, "finish_reason": "stop"}],
        "usage": usage,
    }
    return f"data: {json.dumps(chunk)}\n\ndata: [DONE]\n\n".encode()


@dataclasses.dataclass
class Script:
    """What one call to the fake engine does.

    Attributes:
        error: Reason of a failure before the first byte.
        cut_at: Token before which the stream is cut, None for never.
        reason: Reason of the cut.
    """

    error: str = ""
    cut_at: int | None = None
    reason: str = "cut"
    empty: bool = False
    pause_s: float = 0.0


class FakeStream:
    """A stream that follows a script."""

    def __init__(self, address, script, start):
        self.address = address
        self.script = script
        self.start = start
        self.closed = False

    def blocks(self):
        yield b'data: {"choices":[{"delta":{"role":"assistant"}}]}\n\n'
        words = [] if self.script.empty else WORDS
        for number in range(self.start, len(words)):
            if number == self.script.cut_at:
                reason = self.script.reason
                raise StreamCutError(
                    UpstreamError(self.address, reason, "scripted")
                )
            gevent.sleep(self.script.pause_s)
            yield token_event(words[number] + " ")
        yield end_events(len(words))

    def close(self):
        self.closed = True


class FakeEngine:
    """Engines that follow one script after another, then work well."""

    def __init__(self, *scripts):
        self.scripts = list(scripts)
        self.calls = []
        self.cancelled = []
        self.streams = []
        self.dead = set()

    def open(self, address, call):
        self.calls.append((address, call))
        if call.resume_after is not None and address in self.dead:
            return Err(UpstreamError(address, "connect", "dead", True))
        script = self.scripts.pop(0) if self.scripts else Script()
        if script.error:
            sent = script.error != "connect"
            return Err(UpstreamError(address, script.error, "x", not sent))
        start = call.resume_after or call.body.get("continue_tokens", 0)
        self.streams.append(FakeStream(address, script, start))
        return Ok(self.streams[-1])

    def cancel(self, address, request_id):
        self.cancelled.append((address, request_id))


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
        assert len(self.chooser.begun) == len(self.chooser.ended)
        running = [r for r in self.runs.runs.values() if r[1] == "running"]
        assert not running


def drain(answer):
    """Reads a streamed answer as the server does; returns its events."""
    try:
        data = b"".join(answer)
    finally:
        answer.close()
    return [part[6:].decode() for part in data.split(b"\n\n") if part.strip()]


def words_of(events):
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
