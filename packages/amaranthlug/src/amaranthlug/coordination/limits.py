"""Enforces limits of organisations over all nodes.

Each node gets a share of a limit according to the demand that the nodes
exchange. Shares are computed only when an exchange arrives; between exchanges
a share can only shrink. Demand that moves between nodes exceeds a limit by at
most about the demand of one exchange period.
"""

import dataclasses
import math
import random
import sys
import time
from collections.abc import Callable
from typing import Any

import msgspec
from result import Err, Ok, Result

from amaranthlug.coordination.peers import LogFeed, MemberView
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.catalog import Organisation
from amaranthlug.state.limit_rows import (
    Demand,
    DemandTable,
    LimitSection,
    Row,
)
from amaranthlug.state.records import BillChunk, LogEntry
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.shares import (
    CountDemand,
    DecayingRate,
    TokenBucket,
    aged_share,
    count_share,
    rate_share,
)

DEMAND_INTERVAL_MESSAGES = 4
"""The demand is included in one of this many messages, about once a second."""

COST_INTERVAL_SECTIONS = 8
"""The day's costs are included in one of this many sections, since nodes also
read them from the log."""

ROWS_PER_MESSAGE = 2
"""Randomly chosen rows of other nodes in one exchange message. The number is
constant so that the message does not grow with the number of nodes. With 8
nodes, a node receives about four rows from the nodes that they describe and
eight relayed rows a second."""

BURST_S = 1.0
"""Burst size as seconds of a node's share."""

ALONE_AFTER_S = 60.0
"""Time without an exchange after which a node without live peers uses the
full limit, in seconds. It is far above the time in which a network partition
is detected."""

BUSY_SHARE = 0.5
"""Fraction of the node's capacity in use from which each organisation may hold
only an equal part of the capacity."""

DAY_S = 86_400

MAX_RETRY_AFTER_S = 3_600.0


@dataclasses.dataclass
class LimitState:
    """Usage and shares of one organisation at this node.

    Attributes:
        requests: Rate of requests, including refused ones.
        tokens: Rate of estimated tokens, including those of refused requests.
        refused: Rate of refused requests.
        active: Requests in flight.
        reserved: Estimated tokens that requests in flight were charged when
            they were admitted.
        cost: Micro-units spent at this node on the current day.
        nodes: Number of nodes at the last exchange.
        request_share: Share of the limit in requests per second.
        token_share: Share of the limit in tokens per second.
        stream_share: Share of the limit in concurrent streams.
    """

    requests: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    tokens: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    refused: DecayingRate = dataclasses.field(default_factory=DecayingRate)
    request_bucket: TokenBucket = dataclasses.field(default_factory=TokenBucket)
    token_bucket: TokenBucket = dataclasses.field(default_factory=TokenBucket)
    active: int = 0
    reserved: float = 0.0
    cost: int = 0
    nodes: int = 1
    request_share: float = 0.0
    token_share: float = 0.0
    stream_share: int = 0


class SharedLimits:
    """Implements `LimitEnforcer` and the exchange section `limits`."""

    name = "limits"

    def __init__(
        self,
        members: MemberView,
        timers: TimerService,
        metrics: Metrics,
        feed: LogFeed | None = None,
        capacity: int = 2_000,
        wall_clock: Callable[[], float] = time.time,
        seed: int | None = None,
    ):
        """Creates the limit enforcer.

        Args:
            members: Live nodes, between which limits are divided.
            timers: Provides monotonic time.
            metrics: Receives the counter `limits.refused`.
            feed: Log feed; its bills count towards the cost of the day.
            capacity: Maximum number of requests in flight at this node.
            wall_clock: Returns Unix time in seconds, which determines the day.
            seed: Makes the random choice of rows reproducible.
        """
        self.members = members
        self.timers = timers
        self.metrics = metrics
        self.capacity = capacity
        self.wall_clock = wall_clock
        self.random = random.Random(seed)
        self.states: dict[str, LimitState] = {}
        self.organisations: dict[str, Organisation] = {}
        self.table = DemandTable()
        self.seq = 0
        self.messages_since_demand = 0
        self.day = self.today()
        self.day_costs: dict[str, int] = {}
        self.active = 0
        self.active_organisations = 0
        self.exchanged_at = timers.now()
        if feed is not None:
            feed.subscribe(self.apply)

    def today(self) -> int:
        """Returns the current UTC day as days since 1970."""
        return int(self.wall_clock() // DAY_S)

    # LimitEnforcer

    def admit(
        self, organisation: Organisation, tokens: int
    ) -> Result[None, Refusal]:
        """Admits a request of about `tokens` tokens, or refuses it."""
        self.roll_over_day()
        now = self.timers.now()
        state = self.get_state(organisation)
        state.requests.add(1, now)
        state.tokens.add(tokens, now)
        refusal = self.find_refusal(organisation, state, now)
        if refusal is not None:
            state.refused.add(1, now)
            self.metrics.incr("limits.refused")
            return Err(refusal)
        state.request_bucket.balance -= 1
        state.token_bucket.balance -= tokens
        state.reserved += tokens
        self.active_organisations += state.active == 0
        state.active += 1
        self.active += 1
        return Ok(None)

    def done(self, organisation: Organisation, tokens: int, cost: int) -> None:
        """Replaces a request's reservation by its actual tokens and cost.

        The reservation of the single request is not known here. Using the
        average of those in flight keeps the sum exact. Cost is in micro-units.
        """
        self.roll_over_day()
        state = self.get_state(organisation)
        if state.active == 0:
            return
        reserved = state.reserved / state.active
        state.reserved -= reserved
        state.active -= 1
        self.active -= 1
        self.active_organisations -= state.active == 0
        state.token_bucket.balance -= tokens - reserved
        state.cost += cost

    def get_state(self, organisation: Organisation) -> LimitState:
        """Returns an organisation's state; computes shares of new limits."""
        known = self.organisations.get(organisation.name)
        state = self.states.setdefault(organisation.name, LimitState())
        if known is None or known.limits != organisation.limits:
            self.organisations[organisation.name] = organisation
            self.compute_shares(organisation, state)
        return state

    def find_refusal(
        self, organisation: Organisation, state: LimitState, now: float
    ) -> Refusal | None:
        """Returns the refusal of a request, or None if it can be admitted."""
        if self.exceeds_equal_part(state):
            return refuse(
                RefusalCode.OVERLOADED,
                "this node is busy and the organisation has used its share",
                "retry at another node",
                retry_after_s=1.0,
            )
        self.use_full_limit_if_alone(now)
        limits = organisation.limits
        rates = (
            ("requests_per_s", state.request_bucket, state.request_share, 1.0),
            ("tokens_per_s", state.token_bucket, state.token_share, 0.0),
        )
        for key, bucket, share, min_burst in rates:
            limit = getattr(limits, key)
            if not limit:
                continue
            rate = self.current_share(share, limit, state, now)
            burst = max(min_burst, rate * BURST_S)
            bucket.refill(rate, burst, now)
            if bucket.balance <= 0:
                return limit_refusal(key, limit, bucket.wait_s(rate))
        if limits.streams:
            share = self.current_share(
                state.stream_share, limits.streams, state, now
            )
            if state.active + 1 > math.floor(share):
                return limit_refusal("streams", limits.streams, 1.0)
        if limits.cost_per_day:
            name = organisation.name
            if self.spent_today(name, state) >= limits.cost_per_day:
                until_midnight_s = DAY_S - self.wall_clock() % DAY_S
                return limit_refusal(
                    "cost_per_day", limits.cost_per_day, until_midnight_s
                )
        return None

    def exceeds_equal_part(self, state: LimitState) -> bool:
        """Returns whether a request exceeds the equal part of a busy node."""
        if self.active < self.capacity * BUSY_SHARE:
            return False
        organisations = self.active_organisations + (
            1 if state.active == 0 else 0
        )
        return state.active + 1 > max(1, self.capacity // organisations)

    def spent_today(self, name: str, state: LimitState) -> int:
        """Returns the day's cost so far, in micro-units.

        The log and the exchange may both lag, so the larger sum counts.
        """
        exchanged = state.cost + self.table.cost(name, self.day)
        return max(self.day_costs.get(name, 0), exchanged)

    # Shares

    def current_share(
        self, share: float, limit: float, state: LimitState, now: float
    ) -> float:
        """Returns a share reduced by the age of the last exchange."""
        if state.nodes == 1:
            return share
        return aged_share(share, limit, state.nodes, now - self.exchanged_at)

    def use_full_limit_if_alone(self, now: float) -> None:
        """Uses the full limits after `ALONE_AFTER_S` without a live peer."""
        if now - self.exchanged_at > ALONE_AFTER_S and len(self.live()) == 1:
            self.recompute_shares(now)

    def recompute_shares(self, now: float) -> None:
        """Recomputes all shares after an exchange."""
        self.exchanged_at = now
        for name, organisation in self.organisations.items():
            self.compute_shares(organisation, self.states[name])

    def compute_shares(
        self, organisation: Organisation, state: LimitState
    ) -> None:
        """Computes the shares of one organisation."""
        now = self.timers.now()
        live = self.live()
        name, limits = organisation.name, organisation.limits
        others = self.table.demand(name, live, now)
        own = self.demand(state, now)
        order = rendezvous_order(f"limits|{name}", live)
        state.nodes = len(live)
        state.request_share = rate_share(
            limits.requests_per_s,
            own.requests_per_s,
            others.requests_per_s,
            len(live),
        )
        state.token_share = rate_share(
            limits.tokens_per_s,
            own.tokens_per_s,
            others.tokens_per_s,
            len(live),
        )
        state.stream_share = count_share(
            limits.streams,
            CountDemand(own.streams, own.waiting),
            CountDemand(others.streams, others.waiting),
            len(live),
            order.index(self.members.me.incarnation),
        )

    def live(self) -> set[str]:
        """Returns the incarnations of all live nodes, including this one."""
        incarnations = {member.incarnation for member in self.members.live()}
        return incarnations | {self.members.me.incarnation}

    def demand(self, state: LimitState, now: float) -> Demand:
        """Returns the demand of one organisation at this node."""
        return Demand(
            round(state.requests.read(now), 2),
            round(state.tokens.read(now)),
            state.active,
            round(state.refused.read(now), 1),
            state.cost,
        )

    # Cost of the day

    def roll_over_day(self) -> None:
        """Resets the costs of the day after midnight UTC."""
        if self.today() == self.day:
            return
        self.day = self.today()
        self.day_costs.clear()
        for state in self.states.values():
            state.cost = 0

    def apply(self, entry: LogEntry) -> None:
        """Adds the bills of a chunk that was written on the current day."""
        record = entry.record
        if not isinstance(record, BillChunk):
            return
        self.roll_over_day()
        if int(record.at // DAY_S) != self.day:
            return
        for bill in record.entries:
            name = bill.organisation
            self.day_costs[name] = self.day_costs.get(name, 0) + bill.cost

    # ExchangeSection

    def outgoing(self) -> dict[str, Any]:
        """Returns this node's row and randomly chosen rows of others."""
        self.messages_since_demand = DEMAND_INTERVAL_MESSAGES
        return self.outgoing_within(sys.maxsize)

    def outgoing_within(self, limit_bytes: int) -> dict[str, Any]:
        """Returns this node's row and rows of other nodes that fit.

        A row replaces the previous one, so this node's row is never truncated.
        If it does not fit, it is delayed by up to two messages and then sent
        regardless of the limit.
        """
        self.roll_over_day()
        self.messages_since_demand += 1
        own = self.own_row()
        does_not_fit = len(msgspec.json.encode(own)) > limit_bytes
        if (
            self.messages_since_demand
            < DEMAND_INTERVAL_MESSAGES + 2 * does_not_fit
        ):
            return {}
        self.messages_since_demand = 0
        self.seq += 1
        own.seq = self.seq
        rows = {self.members.me.incarnation: own}
        spent = self.day_costs if self.seq % COST_INTERVAL_SECTIONS == 0 else {}
        section = LimitSection(rows, self.day, spent)
        remaining_bytes = limit_bytes - len(msgspec.json.encode(section))
        known = sorted(self.table.rows)
        for name in self.random.sample(
            known, min(ROWS_PER_MESSAGE, len(known))
        ):
            row = self.table.rows[name].row
            remaining_bytes -= len(name) + len(msgspec.json.encode(row)) + 4
            if remaining_bytes < 0:
                break
            rows[name] = row
        built: dict[str, Any] = msgspec.to_builtins(section)
        return built

    def own_row(self) -> Row:
        """Returns this node's demand of all active organisations."""
        now = self.timers.now()
        demands = {
            name: self.demand(state, now) for name, state in self.states.items()
        }
        active = {
            name: demand
            for name, demand in demands.items()
            if demand != Demand()
        }
        return Row(self.seq, self.day, active)

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges rows and costs from a peer, then recomputes the shares."""
        self.roll_over_day()
        now = self.timers.now()
        received = msgspec.convert(section, LimitSection)
        me = self.members.me.incarnation
        for incarnation, row in received.rows.items():
            if incarnation != me:
                self.table.merge(incarnation, row, now)
        if received.day == self.day:
            for name, cost in received.spent.items():
                self.day_costs[name] = max(cost, self.day_costs.get(name, 0))
        self.recompute_shares(now)


def limit_refusal(key: str, limit: float, wait_s: float) -> Refusal:
    """Returns the refusal of a request that exceeds a limit.

    It suggests a wait between 1 s and `MAX_RETRY_AFTER_S`.
    """
    return refuse(
        RefusalCode.LIMIT_EXCEEDED,
        f"the limit {key} of {limit:g} over all nodes is reached",
        f"send less, or ask the operator to raise {key}",
        retry_after_s=min(max(wait_s, 1.0), MAX_RETRY_AFTER_S),
    )
