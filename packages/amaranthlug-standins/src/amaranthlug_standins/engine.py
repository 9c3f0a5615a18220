"""Stand-in of a model engine: state, faults, orders and load reports."""

import collections
import dataclasses
import time
import uuid
from typing import Any

import gevent

from amaranthlug_standins import answers
from amaranthlug_standins.answers import Quality
from amaranthlug_standins.batch import Batch, Pace, Run
from amaranthlug_standins.engine_routes import add_engine_routes
from amaranthlug_standins.orders import ReceivedOrder
from amaranthlug_standins.prefix_cache import PrefixCache
from amaranthlug_standins.standin import StandIn, StandInConfig, run_main

MAX_RUNS_BY_ID = 10_000
"""Newest runs that can be found by request id."""

REPORT_PERIOD_S = 0.2


@dataclasses.dataclass(frozen=True)
class EngineConfig(StandInConfig):
    """Configuration of an engine.

    Attributes:
        versions: Versions loaded at start, as `model@version`.
        qualities: Quality by `model@version`.
        checks_fence: Whether orders with an old fence are rejected.
        load_s: Seconds that loading a version takes.
        load_lag_s: Minimum age of the load that is reported.
        cache_blocks: Capacity of the prefix cache, in blocks of 16 words.
        event_lag_s: Delay of cache events.
        event_gaps: Share of cache events that are lost.
    """

    zone: str = ""
    versions: tuple[str, ...] = ("small@1",)
    qualities: dict[str, Quality] = dataclasses.field(default_factory=dict)
    pace: Pace = dataclasses.field(default_factory=Pace)
    checks_fence: bool = True
    load_s: float = 0.2
    load_lag_s: float = 0.4
    cache_blocks: int = 4_096
    event_lag_s: float = 0.3
    event_gaps: float = 0.05


class EngineStandIn(StandIn):
    """Engine that simulates continuous batching with a time model."""

    config_class = EngineConfig

    def __init__(self, config: EngineConfig):
        """Creates an engine without starting it."""
        self.runs: list[Run] = []
        self.runs_by_id: collections.OrderedDict[str, Run] = (
            collections.OrderedDict()
        )
        self.orders: list[ReceivedOrder] = []
        self.load_reports: collections.deque[tuple[float, dict[str, Any]]] = (
            collections.deque(maxlen=64)
        )
        self.batch = Batch(
            config.pace,
            lambda: float(self.faults.get("slow", 1.0)),
            lambda: bool(self.faults.get("freeze")),
        )
        self.cache = PrefixCache(
            config.cache_blocks,
            config.event_lag_s,
            config.event_gaps,
            config.seed,
        )
        self.crashes = 0
        self.reset_state(config)
        super().__init__(config)

    def reset_state(self, config: EngineConfig) -> None:
        """Initialises the state that a restart resets."""
        self.versions = list(config.versions)
        self.role = "mixed"
        self.draining = False
        self.fence = -1
        self.applied_orders: dict[str, int] = {}
        self.boot_id = uuid.uuid4().hex

    def add_routes(self) -> None:
        """Adds the routes of the engine."""
        add_engine_routes(self)

    def start(self) -> "EngineStandIn":
        """Starts the batch loop, the load recording and the servers."""
        self.batch.start()
        self.load_recorder = gevent.spawn(self.record_load)
        super().start()
        return self

    def stop(self) -> None:
        """Stops the loops and the servers."""
        self.batch.stop()
        self.load_recorder.kill(block=False)
        super().stop()

    def lose_state(self) -> None:
        """Loses running requests, the prefix cache and the engine state."""
        self.crashes += 1
        self.batch.crash()
        self.runs_by_id.clear()
        self.cache.clear()
        self.reset_state(self.config)

    def record_load(self) -> None:
        """Records the load periodically, for reports with a lag."""
        tokens = self.batch.tokens
        while True:
            gevent.sleep(REPORT_PERIOD_S)
            rate = (self.batch.tokens - tokens) / REPORT_PERIOD_S
            tokens = self.batch.tokens
            self.load_reports.append(
                (time.monotonic(), self.current_load(rate))
            )

    def current_load(self, tokens_per_s: float) -> dict[str, Any]:
        """Returns the present load."""
        return {
            "running": len(self.batch.running),
            "waiting": len(self.batch.waiting),
            "slots": self.config.pace.slots,
            "cache_used": round(self.cache.used_share(), 4),
            "tokens_per_s": tokens_per_s,
            "versions": list(self.versions),
            "draining": self.is_draining(),
        }

    def reported_load(self) -> dict[str, Any]:
        """Returns the newest load that is at least as old as the lag.

        Without one it returns the present load, with the age 0.
        """
        now = time.monotonic()
        lag_s = float(self.faults.get("load_lag_s", self.config.load_lag_s))
        for recorded_at, load in reversed(self.load_reports):
            if now - recorded_at >= lag_s:
                return {**load, "age_s": round(now - recorded_at, 3)}
        return {**self.current_load(0.0), "age_s": 0.0}

    def is_draining(self) -> bool:
        """Returns whether new requests are refused."""
        return self.draining or bool(self.faults.get("drain"))

    def register_run(self, run: Run) -> None:
        """Registers a run for look-ups by id and for `seen`."""
        self.runs.append(run)
        self.runs_by_id[run.request_id] = run
        while len(self.runs_by_id) > MAX_RUNS_BY_ID:
            self.runs_by_id.popitem(last=False)

    def make_answer(self, prompt: str, version: str) -> tuple[list[str], bool]:
        """Returns the words of an answer and whether it is a good one."""
        digest = answers.prompt_digest(prompt)
        seed = self.config.seed
        quality = self.config.qualities.get(version, Quality())
        good = answers.is_good_for_prompt(seed, prompt, version, quality)
        bad_share = self.faults.get("bad_versions", {}).get(version, 0)
        if answers.hash_fraction(seed, "turned", digest, version) < bad_share:
            good = False
        empty_share = float(self.faults.get("empty_share", 0))
        if (
            answers.hash_fraction(seed, "empty", digest, str(len(self.runs)))
            < empty_share
        ):
            return [], False
        return answers.answer_words(prompt, version, good), good

    def receive_order(self, order: ReceivedOrder) -> bool:
        """Executes an order once; returns False if its fence is old."""
        self.orders.append(order)
        if self.config.checks_fence and order.fence < self.fence:
            order.outcome = "old_fence"
            return False
        self.fence = max(self.fence, order.fence)
        if order.order_id in self.applied_orders:
            order.outcome = "repeated"
            return True
        self.applied_orders[order.order_id] = order.fence
        self.execute_order(order)
        return True

    def execute_order(self, order: ReceivedOrder) -> None:
        """Executes an order; loading a version takes `load_s`."""
        if order.action == "load":
            gevent.spawn_later(
                self.config.load_s, self.load_version, order, self.boot_id
            )
        elif order.action == "unload":
            if order.version in self.versions:
                self.versions.remove(order.version)
        elif order.action == "role":
            self.role = order.version or "mixed"
        elif order.action == "drain":
            self.draining = True
        else:
            order.outcome = "unknown_action"

    def load_version(self, order: ReceivedOrder, boot_id: str) -> None:
        """Adds a loaded version unless the engine restarted meanwhile."""
        if boot_id == self.boot_id and order.version not in self.versions:
            self.versions.append(order.version)

    def seen(self) -> dict[str, Any]:
        """Returns all runs and all orders, also those before a crash."""
        return {
            "boot_id": self.boot_id,
            "crashes": self.crashes,
            "runs": [run_record(run) for run in self.runs],
            "orders": [dataclasses.asdict(order) for order in self.orders],
        }


def run_record(run: Run) -> dict[str, Any]:
    """Returns a run in the form of `/seen`."""
    return {
        "request_id": run.request_id,
        "version": run.version,
        "digest": run.digest,
        "organisation": run.organisation,
        "prompt_tokens": run.prompt_tokens,
        "first": run.start_position,
        "generated": run.count_generated(),
        "good": run.good,
        "outcome": run.outcome,
        "started_at": run.started_at,
        "first_at": run.first_at,
        "ended_at": run.ended_at,
    }


if __name__ == "__main__":
    run_main(EngineStandIn)
