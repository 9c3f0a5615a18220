"""Slot leases at run time: promises, validity, replication and routing."""

import time
from collections.abc import Callable, Iterable
from typing import Any

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.peer_silence import PeerSilence
from amaranthlug.coordination.peers import (
    LogFeed,
    MemberView,
    PeerError,
    PeerHandlers,
    PeerLink,
)
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.slot_routing import (
    MAX_TRIES,
    RETRY_DELAY_S,
    SEARCH_TIMEOUT_S,
    OwnerSearch,
    SlotError,
)
from amaranthlug.coordination.slot_tables import Row, SlotTableSet
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.leases import KEY_SLOTS, Lease, LeaseTable
from amaranthlug.state.members import Member
from amaranthlug.state.records import LogEntry
from amaranthlug.state.settings import Timings

RENEWAL_PERIOD_S = 1.0
"""Period of promise renewal, in seconds; allows three attempts while a promise
is valid."""

CALL_TIMEOUT_S = 1.0
"""Default timeout of a message between nodes, in seconds."""

PROMISE_TIMEOUT_S = 0.7
"""Timeout of a request for promises or a copy, in seconds. It is below
`CALL_TIMEOUT_S` so that an owner can still tell the entry node why it cannot
act."""

PROMISE_RETRY_DELAY_S = 0.3
"""Delay before an unanswered promise request is repeated, in seconds."""


class SlotLeaseManager:
    """Manages the slot leases of this node as owner and as successor.

    An owner acts on a slot only while the promises of all successors are valid
    by its own monotonic clock, and checks this before each action. A successor
    promises not to claim the slot and stores copies of its rows.

    Attributes:
        lease_seen_at: Slot to the monotonic time when its newest lease was
            read.
        received_promises: Slot to the monotonic end of each successor's
            promise to this owner.
        given_promises: Slot to the monotonic end of this successor's promise.
        claiming: Slots that this node is taking over.
        pending_successors: Slot to the successors that a claim under way will
            name; they need the rows too.
        handing_over: Slots that this owner is handing over and must not act
            on.
        unconfirmed_claims: Slot to the monotonic time of a claim whose result
            is unknown.
        synced: Slot to the offset of the lease for which this node's copy is
            complete.
    """

    def __init__(
        self,
        members: MemberView,
        link: PeerLink,
        handlers: PeerHandlers,
        feed: LogFeed,
        timers: TimerService,
        metrics: Metrics,
        timings: Timings,
        wall_s: Callable[[], float] = time.time,
        pause: Callable[[float], object] = gevent.sleep,
    ):
        """Registers handlers and follows the log; `start` begins renewals."""
        self.members = members
        self.me = members.me
        self.link = link
        self.handlers = handlers
        self.feed = feed
        self.timers = timers
        self.metrics = metrics
        self.timings = timings
        self.wall_s = wall_s
        self.pause = pause
        self.silence = PeerSilence(timers.now)
        self.peer_silent_callbacks: list[Callable[[], object]] = []
        self.lease_table = LeaseTable()
        self.tables = SlotTableSet(timings.run_retention_s)
        self.lease_seen_at: dict[int, float] = {}
        self.received_promises: dict[int, dict[str, float]] = {}
        self.given_promises: dict[int, float] = {}
        self.claiming: set[int] = set()
        self.pending_successors: dict[int, set[str]] = {}
        self.handing_over: set[int] = set()
        self.unconfirmed_claims: dict[int, float] = {}
        self.synced: dict[int, int] = {}
        handlers.register("promise", self.on_promise)
        handlers.register("slot_copy", self.on_slot_copy)
        handlers.register("slot_merge", self.on_slot_merge)
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Schedules the renewal of promises."""
        self.timers.every("promises", RENEWAL_PERIOD_S, self.renew_promises)

    def now_ms(self) -> int:
        """Returns the Unix time in milliseconds."""
        return int(self.wall_s() * 1000)

    # Log records

    def apply(self, entry: LogEntry) -> None:
        """Applies a log record without blocking."""
        leases = self.lease_table.apply(entry)
        for lease in leases:
            self.record_lease(lease)
        if any(lease.owner == self.me.incarnation for lease in leases):
            gevent.spawn(self.renew_promises)

    def record_lease(self, lease: Lease) -> None:
        """Records a new lease, which decides any claim of this node."""
        slot = lease.slot
        self.lease_seen_at[slot] = self.timers.now()
        self.clear_claim(slot)
        if lease.owner != self.me.incarnation:
            self.received_promises.pop(slot, None)
        if slot >= KEY_SLOTS:
            return
        synced = self.synced.get(slot, -1)
        if synced >= lease.offset:
            return  # The copy is already complete for a newer lease.
        if self.me.incarnation not in (lease.owner, *lease.successors):
            self.synced.pop(slot, None)
            self.tables.drop(slot)
        elif synced == lease.replaces:
            self.synced[slot] = lease.offset
        elif lease.owner == self.me.incarnation:
            self.tables.mark_incomplete(slot, self.now_ms())
            self.synced[slot] = lease.offset
        else:
            self.synced.pop(slot, None)

    def clear_claim(self, slot: int) -> None:
        """Lifts the restrictions of a claim whose result is known."""
        self.claiming.discard(slot)
        self.pending_successors.pop(slot, None)
        self.handing_over.discard(slot)
        self.unconfirmed_claims.pop(slot, None)

    # Validity

    def held_lease(self, slot: int) -> Lease | None:
        """Returns the lease if this node may act on the slot now."""
        lease = self.lease_table.leases.get(slot)
        if lease is None or lease.owner != self.me.incarnation:
            return None
        if slot in self.handing_over:
            return None
        return lease if self.is_valid(lease) else None

    def is_valid(self, lease: Lease) -> bool:
        """Returns whether all promises that a lease needs are valid."""
        needed = self.required_successors(lease)
        if not needed:
            return self.may_act_alone()
        until = self.received_promises.get(lease.slot, {})
        now = self.timers.now()
        return all(until.get(successor, 0.0) > now for successor in needed)

    def may_act_alone(self) -> bool:
        """Returns whether an owner without successors may act.

        Other nodes claim such a slot only once its owner is known to be dead.
        An owner that was paused must learn of that before it acts again, so it
        needs a recent read of the log or recent contact with a majority.
        """
        if self.feed.confirmed_age() <= self.timings.promise_use_s:
            return True
        return self.members.heard_majority()

    def required_successors(self, lease: Lease) -> list[str]:
        """Returns the successors that must give promises and hold copies."""
        pending = self.pending_successors.get(lease.slot, set())
        return sorted({*lease.successors, *pending})

    def fence(self, slot: int) -> int | None:
        """Returns the fencing token, or None if this node may not act."""
        lease = self.held_lease(slot)
        return lease.offset if lease else None

    def owner_of(self, slot: int) -> str | None:
        """Returns the owner's incarnation by the newest lease, if any."""
        lease = self.lease_table.leases.get(slot)
        return lease.owner if lease else None

    # Promises

    def renew_promises(self) -> None:
        """Requests promises from all successors, with one message to each.

        The messages run concurrently, so that a slow successor does not delay
        the others.
        """
        wanted: dict[str, dict[int, int]] = {}
        for lease in self.lease_table.owned_by(self.me.incarnation):
            for successor in self.required_successors(lease):
                wanted.setdefault(successor, {})[lease.slot] = lease.offset
        for successor, slots in wanted.items():
            gevent.spawn(self.request_promises, successor, slots)

    def request_promises(self, successor: str, slots: dict[int, int]) -> None:
        """Requests promises from one successor and retries once."""
        if self.request_promises_once(successor, slots):
            return
        self.pause(PROMISE_RETRY_DELAY_S)
        if self.request_promises_once(successor, slots):
            return
        if self.silence.is_silent(successor):
            for call in self.peer_silent_callbacks:
                call()

    def request_promises_once(
        self, successor: str, slots: dict[int, int]
    ) -> bool:
        """Requests promises, valid from the time of the request.

        Counting from the request makes them end here before they end at the
        successor.
        """
        sent_at = self.timers.now()
        message = {"slots": slots}
        reply = self.send(successor, "promise", message, PROMISE_TIMEOUT_S)
        if not isinstance(reply, Ok):
            return False
        until = sent_at + self.timings.promise_use_s
        for slot in reply.ok_value["granted"]:
            mine = self.received_promises.setdefault(int(slot), {})
            mine[successor] = max(until, mine.get(successor, 0.0))
        return True

    def on_promise(self, message: dict[str, Any]) -> dict[str, Any]:
        """Promises not to claim slots, except those being claimed already."""
        granted = []
        for text, offset in message["slots"].items():
            slot = int(text)
            if self.follows_owner(slot, offset, message["incarnation"]):
                until = self.timers.now() + self.timings.promise_s
                self.given_promises[slot] = until
                granted.append(slot)
        return {"granted": granted}

    def follows_owner(self, slot: int, offset: int, owner: str) -> bool:
        """Returns whether this successor accepts `owner` at a lease offset.

        It also accepts a lease that it has not read yet, because a promise not
        to claim is always safe.
        """
        if slot in self.claiming:
            return False
        lease = self.lease_table.leases.get(slot)
        if lease is None or lease.offset < offset:
            return True
        return lease.owner == owner

    # Replication

    def call(
        self,
        incarnation: str,
        name: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> Result[dict[str, Any], PeerError] | None:
        """Sends a message to one process; returns None if it is unknown.

        Args:
            incarnation: The target process.
            name: Name of the handler.
            message: Fields other than `to`.
            timeout_s: Timeout of the reply, in seconds.
        """
        member = self.members.by_incarnation(incarnation)
        if member is None:
            return None
        sent_at = self.timers.now()
        addressed = {**message, "to": incarnation}
        reply = self.link.call(member.address, name, addressed, timeout_s)
        if isinstance(reply, Ok):
            self.silence.record_answer(incarnation)
        else:
            self.silence.record_no_answer(incarnation, sent_at)
        return reply

    def send(
        self,
        incarnation: str,
        name: str,
        message: dict[str, Any],
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Result[dict[str, Any], str]:
        """Sends a message like `call`; an unknown process is an error."""
        reply = self.call(incarnation, name, message, timeout_s)
        if reply is None:
            return Err(f"{incarnation} is not known")
        return reply.map_err(lambda error: error.message)

    def usable_members(self) -> list[Member]:
        """Returns live members that are answering this node."""
        live = self.members.live()
        return [m for m in live if not self.silence.is_silent(m.incarnation)]

    def replicate(self, slot: int, table: str, rows: dict[str, Row]) -> bool:
        """Copies rows to all successors; the caller stores them here first.

        Returns True only if all successors stored them and this node still
        holds the slot. Only then may the rows be acknowledged.
        """
        lease = self.held_lease(slot)
        if lease is None:
            return False
        message = {
            "slot": slot,
            "offset": lease.offset,
            "tables": {table: rows},
        }
        tasks = [
            gevent.spawn(self.send, s, "slot_copy", message, PROMISE_TIMEOUT_S)
            for s in self.required_successors(lease)
        ]
        gevent.joinall(tasks)
        replies = [task.value for task in tasks]
        if not all(isinstance(r, Ok) and r.ok_value["ok"] for r in replies):
            self.metrics.incr("slots.copy_failed")
            return False
        return self.held_lease(slot) is not None

    def transfer(self, slots: dict[int, int], target: str) -> bool:
        """Sends complete slots to a node that a claim will name.

        Returns True only if the node stored all of them.

        Args:
            slots: Slot to the offset of the lease that the claim replaces.
            target: Incarnation that receives the tables.
        """
        for slot, offset in slots.items():
            if slot >= KEY_SLOTS:
                continue
            for part in self.tables.transfer_parts(slot):
                message = {"slot": slot, "offset": offset, **part}
                reply = self.send(target, "slot_copy", message)
                if not isinstance(reply, Ok) or not reply.ok_value["ok"]:
                    return False
        return True

    def on_slot_copy(self, message: dict[str, Any]) -> dict[str, Any]:
        """Merges an owner's rows or one part of a transfer."""
        slot, offset = int(message["slot"]), int(message["offset"])
        lease = self.lease_table.leases.get(slot)
        is_transfer = "last" in message
        if is_transfer and lease is not None and lease.offset > offset:
            return {"ok": False}
        if not is_transfer and not self.follows_owner(
            slot, offset, message["incarnation"]
        ):
            return {"ok": False}
        if not self.tables.accepts_copies():
            self.metrics.incr("slots.copies_refused")
            return {"ok": False}
        self.tables.merge(slot, message)
        if message.get("last"):
            self.synced[slot] = offset
        return {"ok": True}

    def on_slot_merge(self, message: dict[str, Any]) -> dict[str, Any]:
        """Sends this node's copy of a slot to the successor taking it over."""
        slot = int(message["slot"])
        lease = self.lease_table.leases.get(slot)
        if lease is not None and lease.offset > int(message["offset"]):
            return {"ok": False}
        return {
            "ok": True,
            "synced": self.synced.get(slot) == int(message["offset"]),
            "parts": list(self.tables.transfer_parts(slot)),
        }

    # Routing

    def call_owner(
        self,
        slot: int,
        name: str,
        message: dict[str, Any],
        timeout_s: float = CALL_TIMEOUT_S,
        tries: int = MAX_TRIES,
    ) -> Result[dict[str, Any], SlotError]:
        """Sends an idempotent message to the acting owner of a slot.

        A node that may not act now replies `{"retry": reason}`, and the search
        continues for up to `SEARCH_TIMEOUT_S` or `tries` messages.
        """
        search = OwnerSearch(self, slot)
        until = self.timers.now() + SEARCH_TIMEOUT_S
        for _ in range(tries):
            reply = search.call_next(name, message, timeout_s)
            if reply is not None:
                return Ok(reply)
            if self.timers.now() >= until:
                break
            self.pause(RETRY_DELAY_S)
        self.metrics.incr("slots.unavailable")
        return Err(SlotError(slot, search.reason, search.not_received))

    def owned_slots(self, among: Iterable[int]) -> list[int]:
        """Returns the slots in `among` that this node holds now."""
        return [slot for slot in among if self.held_lease(slot) is not None]
