"""Advances roll-outs with fenced orders to engines and steps on the log."""

import dataclasses
import logging
import math
import uuid
from collections.abc import Callable
from typing import Any, Protocol

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.peers import LogFeed, RecordWriter
from amaranthlug.coordination.platform import Metrics, PlatformError
from amaranthlug.coordination.timers import TimerService
from amaranthlug.coordination.withdrawal_watch import (
    CatalogReader,
    WithdrawalWatch,
)
from amaranthlug.state.catalog import Pool, Rollout, RolloutStage, VersionId
from amaranthlug.state.evidence import Evidence
from amaranthlug.state.records import RolloutStep
from amaranthlug.state.rollouts import (
    RolloutState,
    RolloutStates,
    new_version,
    old_version,
    rollout_key,
)

PERIOD_S = 1.0
"""Period of the driver, in seconds."""

LOADING_SHARE = 0.125
"""Maximum share of a pool's servers that load a version at the same time."""

MAX_LOADING = 8
"""Maximum servers that load at the same time, because the weight store is
rate-limited."""

MAX_ORDER_S = 30.0
"""Maximum time in which an engine carries out an order, in seconds."""

LEASE_VALIDITY_S = 4.0
"""Maximum time for which a previous holder may take its lease for valid, in
seconds."""

REFRESH_S = 3_600.0
"""Age at which the current step is appended again, in seconds. It must be below
the log's retention."""

CATCH_UP_S = 5.0
"""Timeout of reading to the end of the log before a step, in seconds."""

log = logging.getLogger(__name__)


class DriverLease(Protocol):
    """The lease of slot 64."""

    def fence(self) -> int | None:
        """Returns the fencing token, None when the lease is not valid now."""
        ...


class EngineOrders(Protocol):
    """Client that reads the state of engines and sends them orders."""

    def state(self, address: str) -> Result[dict[str, Any], Any]:
        """Returns `versions`, `checks_fence`, `fence` and `orders`."""
        ...

    def load_version(
        self, address: str, version: str, order_id: str, fence: int
    ) -> Result[None, Any]:
        """Orders an engine to load a version and waits for it."""
        ...


class WeightStore(Protocol):
    """The rate-limited store of weights."""

    def available(self, version: str) -> Result[None, PlatformError]:
        """Returns an error unless the weights of `model@version` are ready."""
        ...


@dataclasses.dataclass(frozen=True)
class ReachableServer:
    """State of a reachable server.

    Attributes:
        versions: Loaded versions, as `model@version`.
        checks_fence: The engine rejects orders with an old fencing token.
    """

    address: str
    versions: frozenset[str]
    checks_fence: bool


class RolloutDriver:
    """Advances all configured roll-outs while this node holds the lease.

    The driver stores no progress. The stage is computed from the log and the
    loaded versions are read from the engines, so a new holder continues where
    the previous one stopped.
    """

    def __init__(
        self,
        view: CatalogReader,
        rollout_states: RolloutStates,
        evidence: Evidence,
        watch: WithdrawalWatch,
        lease: DriverLease,
        writer: RecordWriter,
        feed: LogFeed,
        engines: EngineOrders,
        weights: WeightStore,
        metrics: Metrics,
        now: Callable[[], float],
        holder: str,
    ):
        """Creates a driver; `start` subscribes it to the timers.

        Args:
            view: Configuration in force.
            rollout_states: Stage of each roll-out; the caller applies the
                log to it.
            evidence: Counters pooled over all nodes.
            watch: Tests the versions.
            lease: Lease of slot 64.
            writer: Appends steps.
            feed: Read to its end before a step.
            engines: Client of the engines.
            weights: The weight store.
            metrics: Receives the counters.
            now: Monotonic clock.
            holder: Incarnation of this node.
        """
        self.view = view
        self.rollout_states = rollout_states
        self.evidence = evidence
        self.watch = watch
        self.lease = lease
        self.writer = writer
        self.feed = feed
        self.engines = engines
        self.weights = weights
        self.metrics = metrics
        self.now = now
        self.holder = holder
        self.last_fence: int | None = None
        self.fence_since = 0.0
        self.step_seen_at: dict[str, tuple[int, float]] = {}

    def start(self, timers: TimerService) -> None:
        """Starts the periodic calls of `tick`."""
        timers.every("rollout-driver", PERIOD_S, self.tick)

    def tick(self) -> None:
        """Takes at most one action for each roll-out."""
        if self._current_fence() is None:
            return
        for rollout in list(self.view.catalog().rollouts.values()):
            if self._is_halted(rollout):
                self.metrics.incr("rollout.halted")
            else:
                self._advance(rollout)

    def _current_fence(self) -> int | None:
        fence = self.lease.fence()
        if fence != self.last_fence:
            self.last_fence = fence
            self.fence_since = self.now()
        return fence

    def _is_halted(self, rollout: Rollout) -> bool:
        new = new_version(rollout)
        versions = self.view.catalog().versions
        return new not in versions or self.view.is_withdrawn(new)

    def _advance(self, rollout: Rollout) -> None:
        state = self.rollout_states.state(rollout)
        if self.rollout_states.is_done(rollout):
            self._refresh_step(rollout, state)
            return
        next_stage = state.stage + 1
        if state.stage >= 0 and not self.has_enough_evidence(
            rollout, state.stage
        ):
            next_stage = state.stage
        target = rollout.stages[min(next_stage, len(rollout.stages) - 1)]
        if not self._load_servers(rollout, target):
            return
        if next_stage != state.stage:
            self._append_step(rollout, state, next_stage)
        else:
            self._refresh_step(rollout, state)

    def has_enough_evidence(self, rollout: Rollout, stage: int) -> bool:
        """Returns whether there is enough evidence to leave a stage.

        The ratings are counted from the start of the roll-out, because only
        that sum is the same on every node. The log ratio must not be positive.
        """
        label = self.watch.label(new_version(rollout))
        needed = sum(s.min_rated for s in rollout.stages[: stage + 1])
        rated = self.evidence.by_version(label).rated
        return (
            rated >= needed
            and self.watch.relative_log_ratio(new_version(rollout)) <= 0
        )

    def _refresh_step(self, rollout: Rollout, state: RolloutState) -> None:
        """Appends the current step again before it expires on the log."""
        key = rollout_key(rollout)
        seen = self.step_seen_at.get(key)
        if seen is None or seen[0] != state.offset:
            self.step_seen_at[key] = (state.offset, self.now())
        elif self.now() - seen[1] > REFRESH_S:
            self._append_step(rollout, state, state.stage)

    def _append_step(
        self, rollout: Rollout, state: RolloutState, stage: int
    ) -> None:
        """Appends a step; readers of the log decide whether it is accepted.

        A lost answer does no harm. The writer searches the log for the
        record's id, and a second record would replace a step that is no longer
        the newest one and be rejected.
        """
        caught_up = self.feed.catch_up(CATCH_UP_S)
        if (
            isinstance(caught_up, Err)
            or self.rollout_states.state(rollout) != state
        ):
            return
        if self._is_halted(rollout) or self._current_fence() is None:
            return
        record = RolloutStep(
            id=uuid.uuid4().hex,
            rollout=rollout_key(rollout),
            revision=self.view.catalog().revision,
            stage=stage,
            replaces=state.offset,
            holder=self.holder,
        )
        written = self.writer.append(record)
        if isinstance(written, Err):
            self.metrics.incr("rollout.step_failed")
            log.warning(
                "step of roll-out %s was not written: %s", rollout.name, written
            )
            return
        self.metrics.incr("rollout.steps")
        log.info("roll-out %s: stage %d written", rollout.name, stage)

    def _load_servers(self, rollout: Rollout, stage: RolloutStage) -> bool:
        """Loads the new version on servers; returns whether enough have it."""
        new = new_version(rollout)
        declared = self.view.catalog().versions[new]
        pool = self.view.catalog().pools.get(declared.pool)
        if pool is None or not pool.upstreams:
            return False
        servers = self._read_servers(pool)
        loaded = [s for s in servers if str(new) in s.versions]
        needed = min(
            len(pool.upstreams),
            max(1, math.ceil(stage.share * len(pool.upstreams))),
        )
        if len(loaded) >= needed:
            return True
        candidates = self._list_loadable(servers, rollout)
        batch = candidates[: min(needed - len(loaded), self._max_loading(pool))]
        if not batch:
            self.metrics.incr("rollout.waits_for_servers")
            return False
        if isinstance(self.weights.available(str(new)), Err):
            self.metrics.incr("rollout.weights_failed")
            return False
        jobs = [gevent.spawn(self._order_load, s, new) for s in batch]
        gevent.joinall(jobs, timeout=MAX_ORDER_S)
        return False

    def _max_loading(self, pool: Pool) -> int:
        part = int(len(pool.upstreams) * LOADING_SHARE)
        return max(1, min(MAX_LOADING, part))

    def _read_servers(self, pool: Pool) -> list[ReachableServer]:
        """Returns the state of each reachable server of a pool."""
        found = []
        for server in pool.upstreams:
            answer = self.engines.state(server.address)
            if isinstance(answer, Ok):
                state = answer.ok_value
                found.append(
                    ReachableServer(
                        server.address,
                        frozenset(map(str, state.get("versions", ()))),
                        bool(state.get("checks_fence", False)),
                    )
                )
        return found

    def _list_loadable(
        self, servers: list[ReachableServer], rollout: Rollout
    ) -> list[ReachableServer]:
        """Returns the servers that may load the new version now.

        An engine may unload the old version while it loads the new one.
        Therefore at least half of the reachable servers with the old version,
        and at least one, are left out. Servers without it come first.
        """
        new, old = str(new_version(rollout)), str(old_version(rollout))
        without_new = [s for s in servers if new not in s.versions]
        without_old = [s for s in without_new if old not in s.versions]
        running_old = [s for s in servers if old in s.versions]
        max_interrupted = max(
            0, len(running_old) - max(1, math.ceil(len(running_old) / 2))
        )
        with_old = [s for s in without_new if old in s.versions][
            :max_interrupted
        ]
        return [s for s in without_old + with_old if self._may_order(s)]

    def _may_order(self, server: ReachableServer) -> bool:
        """Returns whether no order of a previous holder can still arrive.

        An engine that does not check the fencing token would execute such an
        order. For such an engine, the validity of the previous lease and the
        maximum duration of an order must have passed.
        """
        if server.checks_fence:
            return True
        waited = self.now() - self.fence_since
        return waited >= LEASE_VALIDITY_S + MAX_ORDER_S

    def _order_load(self, server: ReachableServer, version: VersionId) -> None:
        fence = self._current_fence()
        if fence is None or self.view.is_withdrawn(version):
            return
        order_id = f"load|{version}|{server.address}|{fence}"
        answer = self.engines.load_version(
            server.address, str(version), order_id, fence
        )
        outcome = "orders_failed" if isinstance(answer, Err) else "orders"
        self.metrics.incr(f"rollout.{outcome}")
