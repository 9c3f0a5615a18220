"""Limits of organisations over all nodes, by exchanged demand.

Shares are computed only when an exchange arrives; between exchanges a share
can only shrink. Demand that moves between nodes exceeds a limit by at most
about one exchange period's demand.
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

MESSAGES_APART = 4
"""Messages of which one has demand: about one a second."""

SPENT_EVERY = 8
"""Sections of which one has the day's costs; nodes have them by the log."""

ROWS_PER_MESSAGE = 2
"""Rows of other nodes in one exchange message, chosen at random, so that its
size does not grow with the number of nodes. At 8 nodes a node receives about
four own rows and eight passed-on ones a second."""

BURST_S = 1.0
"""Seconds of a node's share that may be used at once."""

ALONE_S = 60.0
"""Time without an exchange after which a node without live peers takes the
whole limit, in seconds. It is far above the time in which a cut is noticed."""

BUSY_SHARE = 0.5
"""Part of the node's capacity from which organisations are held to equal
parts of it."""

DAY_S = 86_400

LONGEST_RETRY_S = 3_600.0


@dataclasses.dataclass
class LimitState:
    """Use and shares of one organisation at this node.

    Attributes:
        active: Requests in flight.
        reserved: Tokens that they were charged when they were admitted.
        cost: Micro-units spent here on `day`.
        nodes: Number of nodes at the last exchange.
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
        """Creates the gate.

        Args:
            members: Live nodes, between which limits are shared.
            timers: Monotonic time.
            metrics: Gets `limits.refused`.
            feed: Bills on the log count towards the cost of the day.
            capacity: Requests in flight that this node can hold.
            wall_clock: Returns Unix time, which decides the day.
            seed: Makes the choice of rows repeatable.
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
        self.skipped = 0
        self.day = self.today()
        self.spent: dict[str, int] = {}
        self.active = 0
        self.active_names = 0
        self.exchanged_at = timers.now()
        if feed is not None:
            feed.subscribe(self.apply)

    def today(self) -> int:
        """Returns the day in days since 1970 UTC."""
        return int(self.wall_clock() // DAY_S)

    # LimitEnforcer

    def admit(
        self, organisation: Organisation, tokens: int
    ) -> Result[None, Refusal]:
        """Admits a request of about `tokens` tokens or refuses it."""
        self.turn_day()
        now = self.timers.now()
        state = self.state_of(organisation)
        state.requests.add(1, now)
        state.tokens.add(tokens, now)
        refused = self.find_refusal(organisation, state, now)
        if refused is not None:
            state.refused.add(1, now)
            self.metrics.incr("limits.refused")
            return Err(refused)
        state.request_bucket.balance -= 1
        state.token_bucket.balance -= tokens
        state.reserved += tokens
        self.active_names += state.active == 0
        state.active += 1
        self.active += 1
        return Ok(None)

    def done(self, organisation: Organisation, tokens: int, cost: int) -> None:
        """Settles real use; ends the count of a stream.

        A request's own reservation is not known here. The average of those in
        flight is taken instead, which makes the sum exact.
        """
        self.turn_day()
        state = self.state_of(organisation)
        if state.active == 0:
            return
        reserved = state.reserved / state.active
        state.reserved -= reserved
        state.active -= 1
        self.active -= 1
        self.active_names -= state.active == 0
        state.token_bucket.balance -= tokens - reserved
        state.cost += cost

    def state_of(self, organisation: Organisation) -> LimitState:
        """Returns the state of an organisation, with shares when it is new."""
        known = self.organisations.get(organisation.name)
        state = self.states.setdefault(organisation.name, LimitState())
        if known is None or known.limits != organisation.limits:
            self.organisations[organisation.name] = organisation
            self.share_out(organisation, state)
        return state

    def find_refusal(
        self, organisation: Organisation, state: LimitState, now: float
    ) -> Refusal | None:
        """Returns why a request cannot be admitted, None when it can."""
        if self.is_over_fair_part(state):
            return refuse(
                RefusalCode.OVERLOADED,
                "this node is busy and the organisation uses its part of it",
                "retry at another node",
                retry_after_s=1.0,
            )
        self.note_alone(now)
        limits = organisation.limits
        rates = (
            ("requests_per_s", state.request_bucket, state.request_share, 1.0),
            ("tokens_per_s", state.token_bucket, state.token_share, 0.0),
        )
        for key, bucket, share, least_burst in rates:
            limit = getattr(limits, key)
            if not limit:
                continue
            rate = self.aged(share, limit, state, now)
            burst = max(least_burst, rate * BURST_S)
            bucket.refill(rate, burst, now)
            if bucket.balance <= 0:
                return exceeded(key, limit, bucket.wait_s(rate))
        if limits.streams:
            share = self.aged(state.stream_share, limits.streams, state, now)
            if state.active + 1 > math.floor(share):
                return exceeded("streams", limits.streams, 1.0)
        if limits.cost_per_day:
            name = organisation.name
            if self.spent_today(name, state) >= limits.cost_per_day:
                left_s = DAY_S - self.wall_clock() % DAY_S
                return exceeded("cost_per_day", limits.cost_per_day, left_s)
        return None

    def is_over_fair_part(self, state: LimitState) -> bool:
        """Tells whether an organisation holds its part of a busy node."""
        if self.active < self.capacity * BUSY_SHARE:
            return False
        sharing = self.active_names + (1 if state.active == 0 else 0)
        return state.active + 1 > max(1, self.capacity // sharing)

    def spent_today(self, name: str, state: LimitState) -> int:
        """Returns the day's cost so far; both sources may lag."""
        exchanged = state.cost + self.table.cost(name, self.day)
        return max(self.spent.get(name, 0), exchanged)

    # Shares

    def aged(
        self, share: float, limit: float, state: LimitState, now: float
    ) -> float:
        """Returns a share as of now."""
        if state.nodes == 1:
            return share
        return aged_share(share, limit, state.nodes, now - self.exchanged_at)

    def note_alone(self, now: float) -> None:
        """Takes the whole limit when there has been no peer for long."""
        if now - self.exchanged_at > ALONE_S and len(self.live()) == 1:
            self.exchanged(now)

    def exchanged(self, now: float) -> None:
        """Computes all shares after an exchange."""
        self.exchanged_at = now
        for name, organisation in self.organisations.items():
            self.share_out(organisation, self.states[name])

    def share_out(self, organisation: Organisation, state: LimitState) -> None:
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
        """Returns incarnations that share the limits, this one included."""
        found = {member.incarnation for member in self.members.live()}
        return found | {self.members.me.incarnation}

    def demand(self, state: LimitState, now: float) -> Demand:
        """Returns this node's demand of an organisation."""
        return Demand(
            round(state.requests.read(now), 2),
            round(state.tokens.read(now)),
            state.active,
            round(state.refused.read(now), 1),
            state.cost,
        )

    # Cost of the day

    def turn_day(self) -> None:
        """Starts a new day's costs at midnight UTC."""
        if self.today() == self.day:
            return
        self.day = self.today()
        self.spent.clear()
        for state in self.states.values():
            state.cost = 0

    def apply(self, entry: LogEntry) -> None:
        """Adds the bills of a chunk to the day on which it was written."""
        record = entry.record
        if not isinstance(record, BillChunk):
            return
        self.turn_day()
        if int(record.at // DAY_S) != self.day:
            return
        for bill in record.entries:
            name = bill.organisation
            self.spent[name] = self.spent.get(name, 0) + bill.cost

    # ExchangeSection

    def outgoing(self) -> dict[str, Any]:
        """Returns this node's row and some of the others'."""
        self.skipped = MESSAGES_APART
        return self.outgoing_within(sys.maxsize)

    def outgoing_within(self, limit_bytes: int) -> dict[str, Any]:
        """Returns this node's row and those of others that fit.

        A row replaces the one before, so this node's is never cut. It waits
        for a message with room, but not for long.
        """
        self.turn_day()
        self.skipped += 1
        own = self.own_row()
        too_long = len(msgspec.json.encode(own)) > limit_bytes
        if self.skipped < MESSAGES_APART + 2 * too_long:
            return {}
        self.skipped = 0
        self.seq += 1
        own.seq = self.seq
        rows = {self.members.me.incarnation: own}
        spent = self.spent if self.seq % SPENT_EVERY == 0 else {}
        section = LimitSection(rows, self.day, spent)
        left = limit_bytes - len(msgspec.json.encode(section))
        known = sorted(self.table.rows)
        for name in self.random.sample(
            known, min(ROWS_PER_MESSAGE, len(known))
        ):
            row = self.table.rows[name].row
            left -= len(name) + len(msgspec.json.encode(row)) + 4
            if left < 0:
                break
            rows[name] = row
        built: dict[str, Any] = msgspec.to_builtins(section)
        return built

    def own_row(self) -> Row:
        """Returns this node's demand of all organisations in use."""
        now = self.timers.now()
        demands = {
            name: self.demand(state, now) for name, state in self.states.items()
        }
        used = {name: use for name, use in demands.items() if use != Demand()}
        return Row(self.seq, self.day, used)

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges rows and costs of a peer, then computes the shares."""
        self.turn_day()
        now = self.timers.now()
        received = msgspec.convert(section, LimitSection)
        me = self.members.me.incarnation
        for incarnation, row in received.rows.items():
            if incarnation != me:
                self.table.merge(incarnation, row, now)
        if received.day == self.day:
            for name, cost in received.spent.items():
                self.spent[name] = max(cost, self.spent.get(name, 0))
        self.exchanged(now)


def exceeded(key: str, limit: float, wait_s: float) -> Refusal:
    """Returns the refusal of a request above a limit."""
    return refuse(
        RefusalCode.LIMIT_EXCEEDED,
        f"the limit {key} of {limit:g} over all nodes is reached",
        f"send less, or ask the operator to raise {key}",
        retry_after_s=min(max(wait_s, 1.0), LONGEST_RETRY_S),
    )
