"""Slot leases at run time: validity, promises, copies and routing."""

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
    ASK_S,
    RETRY_S,
    TRIES,
    SlotError,
    SlotSearch,
)
from amaranthlug.coordination.slot_tables import Row, TableSet
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.leases import KEY_SLOTS, Lease, LeaseTable
from amaranthlug.state.members import Member
from amaranthlug.state.records import LogEntry
from amaranthlug.state.settings import Timings

RENEW_S = 1.0
"""Period of promises, in seconds; three tries fit into one validity."""

CALL_S = 1.0
"""Limit of one message between owner and successor, in seconds."""

PROMISE_CALL_S = 0.7
"""Limit of one request for a promise or a copy, in seconds; below `CALL_S`, so
that an entry node learns why its owner cannot act."""

PROMISE_RETRY_S = 0.3
"""Wait before a missed promise is asked for again, in seconds."""


class SlotKeeper:
    """This node's part in the slot leases.

    As owner it acts on a slot only while the promises of all successors hold
    on its own monotonic clock, checked at the moment of each act. As successor
    it promises not to claim and keeps copies.
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
        """Registers handlers and the fold; `start` begins the renewal."""
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
        self.silent_calls: list[Callable[[], object]] = []
        self.fold = LeaseTable()
        self.tables = TableSet(timings.run_retention_s)
        self.seen_at: dict[int, float] = {}
        self.validity: dict[int, dict[str, float]] = {}
        self.promised: dict[int, float] = {}
        self.claiming: set[int] = set()
        self.pending: dict[int, set[str]] = {}
        self.frozen: set[int] = set()
        self.uncertain: dict[int, float] = {}
        self.synced: dict[int, int] = {}
        handlers.register("promise", self.on_promise)
        handlers.register("slot_copy", self.on_slot_copy)
        handlers.register("slot_merge", self.on_slot_merge)
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Subscribes the renewal of promises to the timer service."""
        self.timers.every("promises", RENEW_S, self.renew)

    def now_ms(self) -> int:
        """Returns Unix milliseconds."""
        return int(self.wall_s() * 1000)

    # Fold

    def apply(self, entry: LogEntry) -> None:
        """Folds a record of the log; does not wait for anything."""
        leases = self.fold.apply(entry)
        for lease in leases:
            self.accepted(lease)
        if any(lease.owner == self.me.incarnation for lease in leases):
            gevent.spawn(self.renew)

    def accepted(self, lease: Lease) -> None:
        """Takes note of a new lease; any claim of this node is decided."""
        slot = lease.slot
        self.seen_at[slot] = self.timers.now()
        self.forget_claim(slot)
        if lease.owner != self.me.incarnation:
            self.validity.pop(slot, None)
        if slot >= KEY_SLOTS:
            return
        synced = self.synced.get(slot, -1)
        if synced >= lease.offset:
            return  # Already prepared for the lease after this one.
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

    def forget_claim(self, slot: int) -> None:
        """Ends the restrictions of a claim whose fate is known."""
        self.claiming.discard(slot)
        self.pending.pop(slot, None)
        self.frozen.discard(slot)
        self.uncertain.pop(slot, None)

    # Validity

    def holds(self, slot: int) -> Lease | None:
        """Returns the lease if this node may act on the slot right now."""
        lease = self.fold.leases.get(slot)
        if lease is None or lease.owner != self.me.incarnation:
            return None
        if slot in self.frozen:
            return None
        return lease if self.is_valid(lease) else None

    def is_valid(self, lease: Lease) -> bool:
        """Tells whether all promises that a lease needs still hold."""
        needed = self.holders(lease)
        if not needed:
            return self.is_alone()
        until = self.validity.get(lease.slot, {})
        now = self.timers.now()
        return all(until.get(successor, 0.0) > now for successor in needed)

    def is_alone(self) -> bool:
        """Tells whether an owner without successors may act.

        Others claim such a slot only when its owner is shown dead. A paused
        owner must notice that before it acts again.
        """
        if self.feed.confirmed_age() <= self.timings.promise_use_s:
            return True
        return self.members.heard_majority()

    def holders(self, lease: Lease) -> list[str]:
        """Returns the successors whose promises and copies are needed."""
        pending = self.pending.get(lease.slot, set())
        return sorted({*lease.successors, *pending})

    def fence(self, slot: int) -> int | None:
        """Returns the fencing token while this node holds the slot."""
        lease = self.holds(slot)
        return lease.offset if lease else None

    def owner_of(self, slot: int) -> str | None:
        """Returns the incarnation of the owner by the newest lease."""
        lease = self.fold.leases.get(slot)
        return lease.owner if lease else None

    # Promises

    def renew(self) -> None:
        """Asks all successors of this node's slots, one message each.

        Nobody waits for the slowest one.
        """
        wanted: dict[str, dict[int, int]] = {}
        for lease in self.fold.owned_by(self.me.incarnation):
            for successor in self.holders(lease):
                wanted.setdefault(successor, {})[lease.slot] = lease.offset
        for successor, slots in wanted.items():
            gevent.spawn(self.ask_promise, successor, slots)

    def ask_promise(self, successor: str, slots: dict[int, int]) -> None:
        """Asks one successor not to claim, twice if it does not answer."""
        if self.ask_promise_once(successor, slots):
            return
        self.pause(PROMISE_RETRY_S)
        if self.ask_promise_once(successor, slots):
            return
        if self.silence.is_silent(successor):
            for call in self.silent_calls:
                call()

    def ask_promise_once(self, successor: str, slots: dict[int, int]) -> bool:
        """Asks for promises; their validity counts from before."""
        asked = self.timers.now()
        message = {"slots": slots}
        reply = self.send(successor, "promise", message, PROMISE_CALL_S)
        if not isinstance(reply, Ok):
            return False
        until = asked + self.timings.promise_use_s
        for slot in reply.ok_value["granted"]:
            mine = self.validity.setdefault(int(slot), {})
            mine[successor] = max(until, mine.get(successor, 0.0))
        return True

    def on_promise(self, message: dict[str, Any]) -> dict[str, Any]:
        """Promises not to claim, except slots that are claimed already."""
        granted = []
        for text, offset in message["slots"].items():
            slot = int(text)
            if self.obeys(slot, offset, message["incarnation"]):
                until = self.timers.now() + self.timings.promise_s
                self.promised[slot] = until
                granted.append(slot)
        return {"granted": granted}

    def obeys(self, slot: int, offset: int, owner: str) -> bool:
        """Tells whether this successor follows `owner` at a lease offset.

        A lease that this node has not read yet is followed: a promise not to
        claim is always safe to give.
        """
        if slot in self.claiming:
            return False
        lease = self.fold.leases.get(slot)
        if lease is None or lease.offset < offset:
            return True
        return lease.owner == owner

    # Copies

    def call(
        self, incarnation: str, name: str, message: dict[str, Any], limit: float
    ) -> Result[dict[str, Any], PeerError] | None:
        """Sends a message to one process; None for an unknown one.

        Args:
            incarnation: The process.
            name: Name of the handler.
            message: Members beside `to`.
            limit: Longest wait for the reply, in seconds.
        """
        member = self.members.by_incarnation(incarnation)
        if member is None:
            return None
        asked_at = self.timers.now()
        full = {**message, "to": incarnation}
        reply = self.link.call(member.address, name, full, limit)
        if isinstance(reply, Ok):
            self.silence.record_answer(incarnation)
        else:
            self.silence.record_no_answer(incarnation, asked_at)
        return reply

    def send(
        self,
        incarnation: str,
        name: str,
        message: dict[str, Any],
        limit: float = CALL_S,
    ) -> Result[dict[str, Any], str]:
        """Sends a message meant for one process; see `call`."""
        reply = self.call(incarnation, name, message, limit)
        if reply is None:
            return Err(f"{incarnation} is not known")
        return reply.map_err(lambda error: error.message)

    def usable(self) -> list[Member]:
        """Returns live members that answer this node."""
        live = self.members.live()
        return [m for m in live if not self.silence.is_silent(m.incarnation)]

    def replicate(self, slot: int, table: str, rows: dict[str, Row]) -> bool:
        """Copies rows to all named successors; put them here first.

        True only if all have them and this node still holds the slot; only
        then may the rows be acknowledged.
        """
        lease = self.holds(slot)
        if lease is None:
            return False
        message = {
            "slot": slot,
            "offset": lease.offset,
            "tables": {table: rows},
        }
        tasks = [
            gevent.spawn(self.send, s, "slot_copy", message, PROMISE_CALL_S)
            for s in self.holders(lease)
        ]
        gevent.joinall(tasks)
        replies = [task.value for task in tasks]
        if not all(isinstance(r, Ok) and r.ok_value["ok"] for r in replies):
            self.metrics.incr("slots.copy_failed")
            return False
        return self.holds(slot) is not None

    def transfer(self, slots: dict[int, int], target: str) -> bool:
        """Sends whole slots to a node that a claim will name.

        Args:
            slots: Slot to the offset of the lease that the claim replaces.
            target: Incarnation that gets the tables.
        """
        for slot, offset in slots.items():
            if slot >= KEY_SLOTS:
                continue
            for part in self.tables.parts(slot):
                message = {"slot": slot, "offset": offset, **part}
                reply = self.send(target, "slot_copy", message)
                if not isinstance(reply, Ok) or not reply.ok_value["ok"]:
                    return False
        return True

    def on_slot_copy(self, message: dict[str, Any]) -> dict[str, Any]:
        """Merges rows of an owner, or a part of a transfer."""
        slot, offset = int(message["slot"]), int(message["offset"])
        lease = self.fold.leases.get(slot)
        whole = "last" in message
        if whole and lease is not None and lease.offset > offset:
            return {"ok": False}
        if not whole and not self.obeys(slot, offset, message["incarnation"]):
            return {"ok": False}
        if not self.tables.takes_copies():
            self.metrics.incr("slots.copies_refused")
            return {"ok": False}
        self.tables.merge(slot, message)
        if message.get("last"):
            self.synced[slot] = offset
        return {"ok": True}

    def on_slot_merge(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns this copy of a slot to the successor that takes over."""
        slot = int(message["slot"])
        lease = self.fold.leases.get(slot)
        if lease is not None and lease.offset > int(message["offset"]):
            return {"ok": False}
        return {
            "ok": True,
            "synced": self.synced.get(slot) == int(message["offset"]),
            "parts": list(self.tables.parts(slot)),
        }

    # Routing

    def ask(
        self,
        slot: int,
        name: str,
        message: dict[str, Any],
        timeout_s: float = CALL_S,
        tries: int = TRIES,
    ) -> Result[dict[str, Any], SlotError]:
        """Sends an idempotent message to the acting owner of a slot.

        An owner that may not act now replies `{"retry": reason}`.
        """
        search = SlotSearch(self, slot)
        until = self.timers.now() + ASK_S
        for _ in range(tries):
            reply = search.ask(name, message, timeout_s)
            if reply is not None:
                return Ok(reply)
            if self.timers.now() >= until:
                break
            self.pause(RETRY_S)
        self.metrics.incr("slots.unavailable")
        return Err(SlotError(slot, search.reason, search.not_received))

    def owned_slots(self, among: Iterable[int]) -> list[int]:
        """Returns those of some slots that this node holds right now."""
        return [slot for slot in among if self.holds(slot) is not None]
