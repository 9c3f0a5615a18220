"""A seeded world for the policy: versions, requests, ratings and nodes.

The classes under test are the real ones; only time, engines, the rating
service and the network between nodes are simulated, in one process.
"""

import dataclasses
import heapq
import itertools
import random
from typing import Any

from result import Ok

from amaranthlug.coordination.evidence_exchange import EvidenceExchange
from amaranthlug.coordination.platform import AnswerSample, Rating
from amaranthlug.coordination.rating_collector import RatingCollector
from amaranthlug.coordination.withdrawal_watch import WithdrawalWatch
from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.protocol.unproven_quota import UnprovenQuota
from amaranthlug.protocol.version_choice import CostQualityChooser
from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    RequestKind,
    Rollout,
    Version,
    VersionId,
)
from amaranthlug.state.evidence import Evidence
from amaranthlug.state.members import Member
from amaranthlug.state.records import LogEntry, RolloutStep
from amaranthlug.state.rollouts import RolloutStates, rollout_key

SWIFT, NEXT = VersionId("swift", "3"), VersionId("swift", "4")
SCRIBE, COUNSEL = VersionId("scribe", "2"), VersionId("counsel", "1")

PRICES = {
    SWIFT: (150_000, 600_000, 0.80),
    NEXT: (150_000, 600_000, 0.82),
    SCRIBE: (800_000, 3_200_000, 0.91),
    COUNSEL: (3_000_000, 15_000_000, 0.97),
}
"""Prices and priors of the sample folder `hengyun`."""

KINDS = (
    RequestKind("station-log", 0.85, max_output_tokens=160),
    RequestKind("reconciliation", 0.93, max_output_tokens=200, harmful=True),
    RequestKind("make-good", 0.88, max_output_tokens=160),
    RequestKind("order-question", 0.75, max_output_tokens=120),
    RequestKind("copy-note", 0.70, max_output_tokens=80),
)
"""Kinds and targets of the same folder."""

HARD_SHARE = 0.3

SERVERS = tuple(f"server-{number}" for number in range(9))


@dataclasses.dataclass(frozen=True)
class Truth:
    """What versions really do.

    Attributes:
        quality: Share of good answers to (easy, hard) requests.
        found: Share of bad answers that the cascade's check finds.
        wronged: Share of good answers that it rejects.
    """

    quality: dict[VersionId, tuple[float, float]]
    found: float = 0.6
    wronged: float = 0.05


QUALITY = {
    SWIFT: (0.92, 0.60),
    NEXT: (0.93, 0.62),
    SCRIBE: (0.97, 0.90),
    COUNSEL: (0.99, 0.97),
}


@dataclasses.dataclass
class Drawn:
    """One request with its fate under each version, fixed in advance."""

    number: int
    at: float
    kind: RequestKind
    hard: bool
    tokens: int
    good: dict[VersionId, bool]
    passes: dict[VersionId, bool]


def draw(truth: Truth, seed: int, rate: float, seconds: float) -> list[Drawn]:
    """Returns a stream of requests, the same for every policy."""
    rng = random.Random(seed)
    stream, at = [], 0.0
    for number in itertools.count():
        at += rng.expovariate(rate)
        if at > seconds:
            return stream
        hard = rng.random() < HARD_SHARE
        luck, check = rng.random(), rng.random()
        good = {v: luck < q[hard] for v, q in truth.quality.items()}
        passes = {
            version: check >= (truth.wronged if fine else truth.found)
            for version, fine in good.items()
        }
        tokens = rng.randint(120, 400) if hard else rng.randint(20, 90)
        kind = rng.choice(KINDS)
        stream.append(Drawn(number, at, kind, hard, tokens, good, passes))
    return stream


class Clock:
    """Simulated monotonic time."""

    def __init__(self) -> None:
        """Starts at 0 s."""
        self.time = 0.0

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.time


class RatingSim:
    """Rates late and by sample."""

    def __init__(self, clock: Clock, seed: int, delay_s: float, share: float):
        """Creates a service without answers."""
        self.clock, self.random = clock, random.Random(seed)
        self.delay_s, self.share = delay_s, share
        self.waiting: list[tuple[float, int, AnswerSample]] = []
        self.shown: list[Rating] = []
        self.number = 0

    def submit(self, samples: list[AnswerSample]) -> Any:
        """Takes answers; their text says whether they are good."""
        for sample in samples:
            if self.random.random() < self.share:
                due = self.clock() + self.delay_s * self.random.uniform(0.5, 2)
                heapq.heappush(self.waiting, (due, self.number, sample))
                self.number += 1
        return Ok(None)

    def fetch(self, after: int) -> Any:
        """Returns ratings after a number."""
        while self.waiting and self.waiting[0][0] <= self.clock():
            sample = heapq.heappop(self.waiting)[2]
            good = sample.answer.startswith("good")
            self.shown.append(
                Rating(
                    len(self.shown),
                    sample.request_id,
                    sample.kind,
                    sample.version,
                    good,
                )
            )
        return Ok(self.shown[after + 1 :])


class Quiet:
    """Metrics that nobody reads, and pools that always have room."""

    def incr(self, name: str, count: int = 1) -> None:
        """Ignores a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Ignores a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Ignores a duration."""

    def is_exhausted(self, version: VersionId) -> bool:
        """Has room for every version."""
        return False


class View:
    """Configuration shared by all nodes; withdrawals spread at once."""

    def __init__(self, catalog: Catalog):
        """Creates a view without withdrawals."""
        self.current = catalog
        self.withdrawn: dict[VersionId, str] = {}

    def catalog(self) -> Catalog:
        """Returns the catalogue."""
        return self.current

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tells whether a version is withdrawn."""
        return version in self.withdrawn

    def may_serve(self) -> Any:
        """Always serves."""
        return Ok(None)


def catalog_of(versions: tuple[VersionId, ...], *rollouts: Rollout) -> Catalog:
    """Returns a catalogue that allows all versions to one organisation."""
    records = {
        v: Version(v, "drafting", *PRICES[v][:2], prior_quality=PRICES[v][2])
        for v in versions
    }
    owner = Organisation("ch-5", frozenset(), frozenset(versions))
    return Catalog(
        revision=1,
        organisations={"ch-5": owner},
        versions=records,
        kinds={kind.name: kind for kind in KINDS},
        rollouts={rollout.name: rollout for rollout in rollouts},
    )


class Members:
    """All nodes are live."""

    def __init__(self, count: int, index: int):
        """Creates the view of one of `count` nodes."""
        self.all = [Member(f"n{i}", "z", f"n{i}") for i in range(count)]
        self.me = self.all[index]

    def members(self) -> list[Member]:
        """Returns all nodes."""
        return self.all

    def live(self) -> list[Member]:
        """Returns all nodes."""
        return self.all

    def by_incarnation(self, incarnation: str) -> Member | None:
        """Returns a node or None."""
        return next((m for m in self.all if m.incarnation == incarnation), None)

    def heard_majority(self) -> bool:
        """Hears everybody."""
        return True


class SimNode:
    """The policy parts of one node."""

    def __init__(
        self,
        index: int,
        count: int,
        view: View,
        ratings: RatingSim,
        clock: Clock,
        seed: int,
    ):
        """Wires the real classes."""
        self.view, self.clock, self.index = view, clock, index
        quiet, self.members = Quiet(), Members(count, index)
        self.evidence = Evidence(f"n{index}")
        self.pool = EvidenceExchange(self.evidence, self.members)
        self.ratings = RatingCollector(ratings, self.pool, quiet, clock)
        self.fold = RolloutStates()
        self.watch = WithdrawalWatch(
            view,
            self.evidence,
            self.fold,
            view.withdrawn.setdefault,
            lambda address, version, reason: None,
            quiet,
        )
        self.chooser = CostQualityChooser(
            view,
            self.evidence,
            self.ratings,
            self.fold,
            self.watch,
            UnprovenQuota(self.members, self.ratings, self.watch),
            quiet,
            quiet,
            clock,
            seed=seed * 1000 + index,
            check=lambda request, answer: "passes" in answer,
            hard=lambda request: request.prompt_tokens > 100,
        )

    def request(self, drawn: Drawn) -> ChatRequest:
        """Returns a drawn request as the router sees it."""
        return ChatRequest(
            f"r{drawn.number}",
            self.view.current.organisations["ch-5"],
            drawn.kind,
            "auto",
            {},
            False,
            self.clock() + 30,
            drawn.tokens,
            f"d{drawn.number}",
        )

    def tick(self, number: int, watch_every: int) -> None:
        """Runs the timers of half second `number`."""
        self.ratings.submit()
        self.ratings.fetch()
        if number % watch_every == 0:
            self.watch.check()
        if number % 4 == 0:
            self.chooser.refresh_rankings()


def start_rollout(nodes: list[SimNode], rollout: Rollout) -> None:
    """Puts the first stage in force on all nodes."""
    step = RolloutStep(
        id="s0",
        rollout=rollout_key(rollout),
        revision=1,
        stage=0,
        replaces=-1,
        holder="h",
    )
    for node in nodes:
        node.fold.apply(LogEntry(offset=3, record=step))


def gossip(nodes: list[SimNode], rng: random.Random) -> None:
    """Runs one exchange period: each node sends to 2 others."""
    for node in nodes:
        message = node.pool.outgoing()
        others = [other for other in nodes if other is not node]
        for other in rng.sample(others, min(2, len(others))):
            other.pool.incoming(node.members.me.address, message)
