"""Fakes of the coordination parts that the request path uses."""

import gevent
from _fakes_catalog import CHEAP, sample_catalog
from result import Err, Ok

from amaranthlug.protocol.interfaces import Plan, PlanStep, RunTicket
from amaranthlug.state.refusal import RefusalCode, refuse


class FakeCatalog:
    """Configuration that a test can change."""

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
    """Plans the given steps and records the reported outcomes."""

    def __init__(self, *steps):
        self.steps = steps or (PlanStep(CHEAP),)
        self.started_versions = []
        self.ended = []
        self.check_passes = True

    def choose(self, request, pinned):
        if pinned:
            return Ok(Plan((PlanStep(pinned),)))
        return Ok(Plan(tuple(self.steps)))

    def started(self, request, version):
        self.started_versions.append(version)

    def finished(self, request, version, upstream, outcome, answer):
        self.ended.append((version, outcome, answer))

    def passes_check(self, request, version, answer):
        return self.check_passes


class FakeServers:
    """Picks the first server that is not excluded.

    Attributes:
        full: Versions and addresses without room for a request.
        asked: Number of calls of `pick`.
    """

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

    def is_queueing(self, address):
        return address in self.full


class FakePins:
    """Session pins in a dictionary."""

    def __init__(self):
        self.pins = {}

    def lookup(self, organisation, session_id):
        return Ok(self.pins.get((organisation, session_id)))

    def pin(self, organisation, session_id, proposal):
        self.pins[(organisation, session_id)] = proposal
        return Ok(proposal)


class FakeRuns:
    """Run register in a dictionary: digest, state and answer by key."""

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
    """Keeps all bills, and the identifiers of opened and closed ones."""

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
    """Counts the admitted requests and keeps their usage."""

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
    """Blocks a request after two crashes.

    Attributes:
        server_keeps_running: No crash is confirmed.
    """

    def __init__(self):
        self.crashes = []
        self.server_keeps_running = False

    def admit(self, digest):
        if self.crashes.count(digest) >= 2:
            return Err(refuse(RefusalCode.POISONED_REQUEST, "bad", "change"))
        return Ok(None)

    def record_crash(self, digest, address):
        if self.server_keeps_running:
            return False
        self.crashes.append(digest)
        return True

    def finished(self, digest):
        pass
