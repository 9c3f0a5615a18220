"""Simulated environment of the policy benchmark.

The policy classes are the product's own. Time, engines, the rating service and
the network between nodes are simulated in one process from a seed.
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
"""Input price, output price and prior quality in the sample `hengyun`."""

KINDS = (
    RequestKind("station-log", 0.85, max_output_tokens=160),
    RequestKind("reconciliation", 0.93, max_output_tokens=200, harmful=True),
    RequestKind("make-good", 0.88, max_output_tokens=160),
    RequestKind("order-question", 0.75, max_output_tokens=120),
    RequestKind("copy-note", 0.70, max_output_tokens=80),
)
"""Request kinds and quality targets of the same sample."""

HARD_SHARE = 0.3

SERVERS = tuple(f"server-{number}" for number in range(9))


@dataclasses.dataclass(frozen=True)
class TrueQualities:
    """True quality of the versions and of the cascade's check.

    Attributes:
        quality: Fraction of good answers to (easy, hard) requests.
        detection_rate: Fraction of bad answers that the check rejects.
        false_alarm_rate: Fraction of good answers that the check rejects.
    """

    quality: dict[VersionId, tuple[float, float]]
    detection_rate: float = 0.6
    false_alarm_rate: float = 0.05


QUALITY = {
    SWIFT: (0.92, 0.60),
    NEXT: (0.93, 0.62),
    SCRIBE: (0.97, 0.90),
    COUNSEL: (0.99, 0.97),
}


@dataclasses.dataclass
class SimulatedRequest:
    """A request with its result at each version, drawn in advance.

    Attributes:
        at: Simulated time of arrival, in seconds.
        good: Whether the answer of a version is good.
        passes: Whether the answer of a version passes the check.
    """

    number: int
    at: float
    kind: RequestKind
    hard: bool
    tokens: int
    good: dict[VersionId, bool]
    passes: dict[VersionId, bool]


def draw_requests(
    true_qualities: TrueQualities, seed: int, rate: float, seconds: float
) -> list[SimulatedRequest]:
    """Returns random requests that arrive within `seconds`, oldest first."""
    rng = random.Random(seed)
    stream, at = [], 0.0
    for number in itertools.count():
        at += rng.expovariate(rate)
        if at > seconds:
            return stream
        hard = rng.random() < HARD_SHARE
        quality_draw, check = rng.random(), rng.random()
        good = {
            v: quality_draw < q[hard] for v, q in true_qualities.quality.items()
        }
        passes = {
            version: check
            >= (
                true_qualities.false_alarm_rate
                if is_good
                else true_qualities.detection_rate
            )
            for version, is_good in good.items()
        }
        tokens = rng.randint(120, 400) if hard else rng.randint(20, 90)
        kind = rng.choice(KINDS)
        stream.append(
            SimulatedRequest(number, at, kind, hard, tokens, good, passes)
        )
    return stream


class Clock:
    """Clock that returns simulated time."""

    def __init__(self) -> None:
        """Starts at 0 s."""
        self.time = 0.0

    def __call__(self) -> float:
        """Returns the time in seconds."""
        return self.time


class RatingSimulator:
    """Rating service that rates a sample of the answers after a delay."""

    def __init__(self, clock: Clock, seed: int, delay_s: float, share: float):
        """Creates a service; `share` of the answers is rated."""
        self.clock, self.random = clock, random.Random(seed)
        self.delay_s, self.share = delay_s, share
        self.pending: list[tuple[float, int, AnswerSample]] = []
        self.ratings: list[Rating] = []
        self.number = 0

    def submit(self, samples: list[AnswerSample]) -> Any:
        """Accepts answers, whose text says whether they are good."""
        for sample in samples:
            if self.random.random() < self.share:
                due = self.clock() + self.delay_s * self.random.uniform(0.5, 2)
                heapq.heappush(self.pending, (due, self.number, sample))
                self.number += 1
        return Ok(None)

    def fetch(self, after: int) -> Any:
        """Returns the ratings after number `after`."""
        while self.pending and self.pending[0][0] <= self.clock():
            sample = heapq.heappop(self.pending)[2]
            good = sample.answer.startswith("good")
            self.ratings.append(
                Rating(
                    len(self.ratings),
                    sample.request_id,
                    sample.kind,
                    sample.version,
                    good,
                )
            )
        return Ok(self.ratings[after + 1 :])


class NullServices:
    """Metrics that are discarded, and pools that are never exhausted."""

    def incr(self, name: str, count: int = 1) -> None:
        """Ignores a counter."""

    def gauge(self, name: str, value: float) -> None:
        """Ignores a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Ignores a duration."""

    def is_exhausted(self, version: VersionId) -> bool:
        """Returns False."""
        return False


class SharedConfig:
    """Configuration shared by all nodes, so withdrawals apply at once."""

    def __init__(self, catalog: Catalog):
        """Creates a configuration without withdrawals."""
        self.current = catalog
        self.withdrawn: dict[VersionId, str] = {}

    def catalog(self) -> Catalog:
        """Returns the catalogue in force."""
        return self.current

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tells whether a version is withdrawn."""
        return version in self.withdrawn

    def may_serve(self) -> Any:
        """Allows every request."""
        return Ok(None)


def make_catalog(
    versions: tuple[VersionId, ...], *rollouts: Rollout
) -> Catalog:
    """Returns a catalogue with one organisation that may use all versions."""
    records = {
        v: Version(v, "drafting", *PRICES[v][:2], prior_quality=PRICES[v][2])
        for v in versions
    }
    organisation = Organisation("ch-5", frozenset(), frozenset(versions))
    return Catalog(
        revision=1,
        organisations={"ch-5": organisation},
        versions=records,
        kinds={kind.name: kind for kind in KINDS},
        rollouts={rollout.name: rollout for rollout in rollouts},
    )


class StaticMembers:
    """Membership in which all nodes are live."""

    def __init__(self, count: int, index: int):
        """Creates the membership that node `index` of `count` sees."""
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
        """Returns True."""
        return True


class SimulatedNode:
    """The policy classes of one node."""

    def __init__(
        self,
        index: int,
        count: int,
        config: SharedConfig,
        ratings: RatingSimulator,
        clock: Clock,
        seed: int,
    ):
        """Connects the product's classes to the simulated ones."""
        self.config, self.clock, self.index = config, clock, index
        null_services, self.members = (
            NullServices(),
            StaticMembers(count, index),
        )
        self.evidence = Evidence(f"n{index}")
        self.pool = EvidenceExchange(self.evidence, self.members)
        self.ratings = RatingCollector(ratings, self.pool, null_services, clock)
        self.rollout_states = RolloutStates()
        self.watch = WithdrawalWatch(
            config,
            self.evidence,
            self.rollout_states,
            config.withdrawn.setdefault,
            lambda address, version, reason: None,
            null_services,
        )
        self.chooser = CostQualityChooser(
            config,
            self.evidence,
            self.ratings,
            self.rollout_states,
            self.watch,
            UnprovenQuota(self.members, self.ratings, self.watch),
            null_services,
            null_services,
            clock,
            seed=seed * 1000 + index,
            check=lambda request, answer: "passes" in answer,
            hard=lambda request: request.prompt_tokens > 100,
        )

    def request(self, simulated: SimulatedRequest) -> ChatRequest:
        """Returns a simulated request as the router sees it."""
        return ChatRequest(
            f"r{simulated.number}",
            self.config.current.organisations["ch-5"],
            simulated.kind,
            "auto",
            {},
            False,
            self.clock() + 30,
            simulated.tokens,
            f"d{simulated.number}",
        )

    def tick(self, number: int, watch_every: int) -> None:
        """Runs the timers that are due in half second `number`."""
        self.ratings.submit()
        self.ratings.fetch()
        if number % watch_every == 0:
            self.watch.check()
        if number % 4 == 0:
            self.chooser.refresh_rankings()


def start_rollout(nodes: list[SimulatedNode], rollout: Rollout) -> None:
    """Starts the first stage of a roll-out on all nodes."""
    step = RolloutStep(
        id="s0",
        rollout=rollout_key(rollout),
        revision=1,
        stage=0,
        replaces=-1,
        holder="h",
    )
    for node in nodes:
        node.rollout_states.apply(LogEntry(offset=3, record=step))


def gossip(nodes: list[SimulatedNode], rng: random.Random) -> None:
    """Runs one exchange period, in which each node sends to two others."""
    for node in nodes:
        message = node.pool.outgoing()
        others = [other for other in nodes if other is not node]
        for other in rng.sample(others, min(2, len(others))):
            other.pool.incoming(node.members.me.address, message)
