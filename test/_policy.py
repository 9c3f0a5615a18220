"""Fakes for tests of the routing policy."""

from result import Err, Ok

from amaranthlug.coordination.evidence_exchange import EvidenceExchange
from amaranthlug.coordination.platform import PlatformError
from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.cascade import structural_check
from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.protocol.unproven_quota import UnprovenQuota
from amaranthlug.protocol.version_choice import CostQualityChooser
from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    Pool,
    RequestKind,
    Upstream,
    Version,
    VersionId,
)
from amaranthlug.state.evidence import Cell, Evidence
from amaranthlug.state.members import Member
from amaranthlug.state.records import LogEntry, RolloutStep
from amaranthlug.state.rollouts import RolloutStates, rollout_key


class Clock:
    """A clock that tests advance."""

    def __init__(self):
        """Starts at 1,000 s."""
        self.time = 1000.0

    def __call__(self):
        """Returns the time in seconds."""
        return self.time


class FakeMembers:
    """A fixed list of live members."""

    def __init__(self, count=3, me=0):
        """Creates `count` live members in three zones."""
        self.all = [
            Member(f"127.0.0.1:{i}", f"zone-{i % 3}", f"inc-{i}")
            for i in range(count)
        ]
        self.me = self.all[me]

    def members(self):
        """Returns all members."""
        return self.all

    live = members


class FakeRatings:
    """A rating service with preset ratings that can fail."""

    def __init__(self):
        """Creates a working service."""
        self.out = False
        self.samples = []
        self.ratings = []

    def submit(self, samples):
        """Stores samples."""
        if self.out:
            return Err(PlatformError("rating", "out"))
        self.samples += samples
        return Ok(None)

    def fetch(self, after):
        """Returns ratings after a position."""
        if self.out:
            return Err(PlatformError("rating", "out"))
        return Ok([r for r in self.ratings if r.seq > after])


class FakeMetrics:
    """Counters in a dictionary."""

    def __init__(self):
        """Creates empty counters."""
        self.counters = {}

    def incr(self, name, count=1):
        """Adds to a counter."""
        self.counters[name] = self.counters.get(name, 0) + count

    def gauge(self, name, value):
        """Ignores gauges."""

    timing = gauge


class FakeView:
    """A configuration view with a catalogue that tests can replace."""

    def __init__(self, catalog):
        """Creates a view without withdrawals."""
        self.current = catalog
        self.withdrawn = set()

    def catalog(self):
        """Returns the catalogue."""
        return self.current

    def is_withdrawn(self, version):
        """Returns whether a test or the watch withdrew a version."""
        return version in self.withdrawn


class FakePools:
    """Pools that tests mark as full."""

    def __init__(self):
        """Creates pools with free servers."""
        self.full = set()

    def is_exhausted(self, version):
        """Returns whether a version's pool is full."""
        return version in self.full


def version_id(name):
    """Returns the id of version 1 of a model, or of `model@version`."""
    return VersionId.parse(name if "@" in name else f"{name}@1")


def catalog_of(prices, rollouts=(), kinds=None, allowed=None):
    """Returns a catalogue of versions with these prices and a pool for each."""
    versions = {
        version_id(name): Version(
            version_id(name), f"pool-{name}", price, price, prior_quality=0.9
        )
        for name, price in prices.items()
    }
    kinds = kinds or [RequestKind("log", 0.9)]
    allowed = versions if allowed is None else map(version_id, allowed)
    organisation = Organisation("ch-5", frozenset(), frozenset(allowed))
    pools = {
        f"pool-{name}": Pool(
            f"pool-{name}",
            tuple(Upstream(f"{name}:{i}", f"zone-{i % 3}") for i in range(4)),
        )
        for name in prices
    }
    return Catalog(
        revision=1,
        organisations={"ch-5": organisation},
        versions=versions,
        pools=pools,
        kinds={kind.name: kind for kind in kinds},
        rollouts={rollout.name: rollout for rollout in rollouts},
    )


class Policy:
    """A version chooser with its collaborators, some of them fakes."""

    def __init__(self, catalog, nodes=1, **options):
        """Creates the policy of one node."""
        self.clock, self.metrics = Clock(), FakeMetrics()
        self.view, self.pools = FakeView(catalog), FakePools()
        self.evidence = Evidence("inc-0")
        self.members = FakeMembers(nodes)
        self.pool = EvidenceExchange(self.evidence, self.members)
        self.service = FakeRatings()
        self.ratings = RatingCollector(
            self.service, self.pool, self.metrics, self.clock
        )
        self.fold = RolloutStates()
        self.ejected = []
        self.watch = WithdrawalWatch(
            self.view,
            self.evidence,
            self.fold,
            lambda version, reason: self.view.withdrawn.add(version),
            lambda *what: self.ejected.append(what),
            self.metrics,
        )
        self.quota = UnprovenQuota(self.members, self.ratings, self.watch)
        self.chooser = CostQualityChooser(
            self.view,
            self.evidence,
            self.ratings,
            self.fold,
            self.watch,
            self.quota,
            self.pools,
            self.metrics,
            self.clock,
            seed=1,
            hard=options.get("hard", lambda request: False),
            check=options.get("check", structural_check),
        )
        self.number = 0

    def request(self, **changes):
        """Returns a request of kind `log`."""
        self.number += 1
        catalog = self.view.current
        values = {
            "request_id": f"r{self.number}",
            "organisation": catalog.organisations["ch-5"],
            "kind": next(iter(catalog.kinds.values())),
            "model": "auto",
            "body": {},
            "stream": False,
            "deadline": self.clock() + 30,
            "prompt_tokens": 100,
            "digest": f"d{self.number}",
        }
        return ChatRequest(**(values | changes))

    def add_ratings(self, name, good, bad, kind="log", **counts):
        """Adds ratings of a version and refreshes the rankings."""
        cell = Cell(str(version_id(name)), kind, False)
        self.evidence.count(cell, good=good, bad=bad, **counts)
        self.clock.time += 1
        self.chooser.refresh_rankings()

    def choose(self, pinned=None, **changes):
        """Returns the plan or refusal of a request that does not explore."""
        for _ in range(50):
            answer = self.choose_once(pinned, **changes)
            if getattr(answer, "reason", "") != "explored":
                return answer
        raise AssertionError("every request explores")

    def choose_once(self, pinned=None, **changes):
        """Returns the plan or refusal of a new request."""
        answer = self.chooser.choose(self.request(**changes), pinned)
        return answer.ok() or answer.err()

    def step(self, rollout, stage):
        """Applies an accepted step of a roll-out."""
        state = self.fold.state(rollout)
        record = RolloutStep(
            id=f"s{stage}",
            rollout=rollout_key(rollout),
            revision=1,
            stage=stage,
            replaces=state.offset,
            holder="h",
        )
        self.fold.apply(LogEntry(offset=state.offset + 10, record=record))
