"""Moves roll-outs on by fenced orders and steps on the log."""

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

AT_ONCE_SHARE = 0.125
"""Part of a pool that loads a version at the same time."""

MAX_AT_ONCE = 8
"""Servers loading at the same time; the weight store is rate-limited."""

LONGEST_ORDER_S = 30.0
"""Longest time an engine takes for an order, in seconds."""

PROMISE_S = 4.0
"""Longest time for which a predecessor may still believe in its lease."""

REFRESH_S = 3_600.0
"""Age at which the step in force is appended again, before the log drops it;
must be below the log's retention, in seconds."""

CATCH_UP_S = 5.0
"""Limit of reading to the end of the log before a step, in seconds."""

log = logging.getLogger(__name__)


class DriverLease(Protocol):
    """The lease of slot 64."""

    def fence(self) -> int | None:
        """Returns the fencing token, None when the lease is not valid now."""
        ...


class EngineOrders(Protocol):
    """Orders to engines and their state."""

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
        """Tells that the weights of `model@version` can be fetched."""
        ...


@dataclasses.dataclass(frozen=True)
class ServerView:
    """State of one server; None for unreachable ones."""

    address: str
    versions: frozenset[str]
    checks_fence: bool


class RolloutDriver:
    """Drives all declared roll-outs while this node holds the lease.

    Nothing of its progress is kept here: the stage is folded from the log and
    the loaded versions are read from the engines, so a new holder goes on
    where the last one stopped.
    """

    def __init__(
        self,
        view: CatalogReader,
        fold: RolloutStates,
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
            fold: Stages, fed from the log by the caller.
            evidence: Pooled counters.
            watch: Tests of versions.
            lease: Lease of slot 64.
            writer: Appends steps.
            feed: Read to its end before a step.
            engines: Orders to engines.
            weights: The weight store.
            metrics: Counters.
            now: Monotonic clock.
            holder: Incarnation of this node.
        """
        self.view = view
        self.fold = fold
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
        self.held_fence: int | None = None
        self.held_since = 0.0
        self.stepped_at: dict[str, tuple[int, float]] = {}

    def start(self, timers: TimerService) -> None:
        """Drives periodically."""
        timers.every("rollout-driver", PERIOD_S, self.tick)

    def tick(self) -> None:
        """Moves each roll-out on by at most one act."""
        if self._fence() is None:
            return
        for rollout in list(self.view.catalog().rollouts.values()):
            if self._halted(rollout):
                self.metrics.incr("rollout.halted")
            else:
                self._drive(rollout)

    def _fence(self) -> int | None:
        fence = self.lease.fence()
        if fence != self.held_fence:
            self.held_fence = fence
            self.held_since = self.now()
        return fence

    def _halted(self, rollout: Rollout) -> bool:
        new = new_version(rollout)
        versions = self.view.catalog().versions
        return new not in versions or self.view.is_withdrawn(new)

    def _drive(self, rollout: Rollout) -> None:
        state = self.fold.state(rollout)
        if self.fold.is_done(rollout):
            self._refresh(rollout, state)
            return
        following = state.stage + 1
        if state.stage >= 0 and not self.enough(rollout, state.stage):
            following = state.stage
        target = rollout.stages[min(following, len(rollout.stages) - 1)]
        if not self._load_servers(rollout, target):
            return
        if following != state.stage:
            self._step(rollout, state, following)
        else:
            self._refresh(rollout, state)

    def enough(self, rollout: Rollout, stage: int) -> bool:
        """Tells whether pooled evidence lets a roll-out leave a stage.

        Ratings count from the start of the roll-out, as only such sums are
        the same on every node; the test must speak for the version.
        """
        label = self.watch.label(new_version(rollout))
        needed = sum(s.min_rated for s in rollout.stages[: stage + 1])
        rated = self.evidence.by_version(label).rated
        return (
            rated >= needed
            and self.watch.relative_log_ratio(new_version(rollout)) <= 0
        )

    def _refresh(self, rollout: Rollout, state: RolloutState) -> None:
        """Appends the step in force again before the log drops it."""
        key = rollout_key(rollout)
        known = self.stepped_at.get(key)
        if known is None or known[0] != state.offset:
            self.stepped_at[key] = (state.offset, self.now())
        elif self.now() - known[1] > REFRESH_S:
            self._step(rollout, state, state.stage)

    def _step(self, rollout: Rollout, state: RolloutState, stage: int) -> None:
        """Appends a step; the fold decides whether it is accepted.

        A lost answer is no harm: the writer looks for the record's id, and a
        second record would name a step that is no longer the newest.
        """
        caught_up = self.feed.catch_up(CATCH_UP_S)
        if isinstance(caught_up, Err) or self.fold.state(rollout) != state:
            return
        if self._halted(rollout) or self._fence() is None:
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
            log.warning("step of %s not written: %s", rollout.name, written)
            return
        self.metrics.incr("rollout.steps")
        log.info("roll-out %s: stage %d written", rollout.name, stage)

    def _load_servers(self, rollout: Rollout, stage: RolloutStage) -> bool:
        """Loads the new version on servers; True when enough have it."""
        new = new_version(rollout)
        declared = self.view.catalog().versions[new]
        pool = self.view.catalog().pools.get(declared.pool)
        if pool is None or not pool.upstreams:
            return False
        servers = self._read(pool)
        have = [s for s in servers if str(new) in s.versions]
        needed = min(
            len(pool.upstreams),
            max(1, math.ceil(stage.share * len(pool.upstreams))),
        )
        if len(have) >= needed:
            return True
        candidates = self._loadable(servers, rollout)
        some = candidates[: min(needed - len(have), self._at_once(pool))]
        if not some:
            self.metrics.incr("rollout.waits_for_servers")
            return False
        if isinstance(self.weights.available(str(new)), Err):
            self.metrics.incr("rollout.weights_failed")
            return False
        jobs = [gevent.spawn(self._order, s, new) for s in some]
        gevent.joinall(jobs, timeout=LONGEST_ORDER_S)
        return False

    def _at_once(self, pool: Pool) -> int:
        part = int(len(pool.upstreams) * AT_ONCE_SHARE)
        return max(1, min(MAX_AT_ONCE, part))

    def _read(self, pool: Pool) -> list[ServerView]:
        """Reads what each reachable server runs."""
        found = []
        for server in pool.upstreams:
            answer = self.engines.state(server.address)
            if isinstance(answer, Ok):
                state = answer.ok_value
                found.append(
                    ServerView(
                        server.address,
                        frozenset(map(str, state.get("versions", ()))),
                        bool(state.get("checks_fence", False)),
                    )
                )
        return found

    def _loadable(
        self, servers: list[ServerView], rollout: Rollout
    ) -> list[ServerView]:
        """Returns servers that may load the new version now.

        An engine may drop the old version while it loads, so at least half of
        the reachable servers that run it, and never less than one, keep out.
        Servers without it come first.
        """
        new, old = str(new_version(rollout)), str(old_version(rollout))
        rest = [s for s in servers if new not in s.versions]
        free = [s for s in rest if old not in s.versions]
        running = [s for s in servers if old in s.versions]
        at_once = max(0, len(running) - max(1, math.ceil(len(running) / 2)))
        both = [s for s in rest if old in s.versions][:at_once]
        return [s for s in free + both if self._may_order(s)]

    def _may_order(self, server: ServerView) -> bool:
        """Tells whether no order of a predecessor can still be on its way.

        An engine that does not check the fence would take it, so the
        predecessor's validity and its longest order are waited out first.
        """
        if server.checks_fence:
            return True
        waited = self.now() - self.held_since
        return waited >= PROMISE_S + LONGEST_ORDER_S

    def _order(self, server: ServerView, version: VersionId) -> None:
        fence = self._fence()
        if fence is None or self.view.is_withdrawn(version):
            return
        order_id = f"load|{version}|{server.address}|{fence}"
        answer = self.engines.load_version(
            server.address, str(version), order_id, fence
        )
        outcome = "orders_failed" if isinstance(answer, Err) else "orders"
        self.metrics.incr(f"rollout.{outcome}")
