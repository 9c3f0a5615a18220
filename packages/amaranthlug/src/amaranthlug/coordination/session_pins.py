"""Versions that sessions are pinned to, kept by the owner of their slot."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.peers import PeerHandlers
from amaranthlug.coordination.slot_refusals import (
    slot_unavailable,
    too_many_sessions,
)
from amaranthlug.coordination.slot_register import SlotRegister
from amaranthlug.coordination.slot_routing import not_owner
from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.leases import slot_of
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.runs import PinRow, is_newer_pin, row_key

TABLE = "pins"

CACHE_S = 60.0
"""Time for which a confirmed pin is used without asking its owner, in seconds;
below it the owner would not see that a session is in use."""

TOUCH_S = 300.0
"""Change of the last use that is copied to the successors, in seconds. A pin
may end that much before the idle limit after a takeover."""

SWEEP_S = 60.0
"""Period in which idle pins are removed, in seconds."""

Validity = Callable[[str, VersionId], bool]


class SlotSessionPins:
    """Implements `SessionPins`: a write-once register for each session."""

    def __init__(
        self,
        keeper: SlotLeaseManager,
        handlers: PeerHandlers,
        valid: Validity,
        bound: int = 100_000,
    ):
        """Adds the table and registers the handler.

        Args:
            keeper: Slot leases.
            handlers: Registry of peer messages.
            valid: Tells whether an organisation may use a version, which is
                neither withdrawn nor removed.
            bound: Most pins on this node, and most in its cache.
        """
        self.keeper = keeper
        self.valid = valid
        self.bound = bound
        self.idle_s = keeper.timings.session_idle_s
        self.rows = SlotRegister(
            keeper, TABLE, PinRow, is_newer_pin, bound, self.sweep
        )
        self.table = self.rows.table
        self.unconfirmed: set[tuple[int, str]] = set()
        self.cache: OrderedDict[str, tuple[VersionId, float]] = OrderedDict()
        handlers.register("pin", self.on_pin)

    def start(self) -> None:
        """Subscribes the sweep to the timer service."""
        self.keeper.timers.every("pin_sweep", SWEEP_S, self.sweep)

    # At the entry node

    def lookup(
        self, organisation: str, session_id: str
    ) -> Result[VersionId | None, Refusal]:
        """Returns the pinned version, None when there is no pin.

        The version may be one that is no longer valid, so that the caller can
        tell why the session moves.
        """
        return self.ask(organisation, session_id, None, None)

    def pin(
        self, organisation: str, session_id: str, proposal: VersionId
    ) -> Result[VersionId, Refusal]:
        """Pins the proposal unless a valid pin exists; returns the pin."""
        invalid: VersionId | None = None
        for _ in range(2):
            reply = self.ask(organisation, session_id, proposal, invalid)
            if isinstance(reply, Err):
                return reply
            kept = reply.ok_value
            assert kept is not None
            if self.valid(organisation, kept):
                return Ok(kept)
            # The owner's configuration is older than this node's.
            invalid = kept
        return Err(slot_unavailable("its configuration is older", keyed=False))

    def ask(
        self,
        organisation: str,
        session_id: str,
        proposal: VersionId | None,
        invalid: VersionId | None,
    ) -> Result[VersionId | None, Refusal]:
        """Asks the cache, then the owner; the cache again if it is away."""
        scope = f"session|{organisation}"
        key, slot = row_key(scope, session_id), slot_of(scope, session_id)
        cached = self.cached(key, organisation)
        if cached is not None and self.age(key) < CACHE_S:
            return Ok(cached)
        message = {
            "key": key,
            "organisation": organisation,
            "proposal": None if proposal is None else str(proposal),
            "invalid": None if invalid is None else str(invalid),
        }
        reply = self.keeper.ask(slot, "pin", message)
        if isinstance(reply, Err):
            if cached is not None:
                self.keeper.metrics.incr("pins.from_cache")
                return Ok(cached)
            return Err(slot_unavailable(reply.err_value.message, keyed=False))
        if reply.ok_value.get("full"):
            return Err(too_many_sessions(self.bound))
        version = reply.ok_value["version"]
        if version is None:
            return Ok(None)
        self.remember(key, VersionId.parse(version))
        return Ok(VersionId.parse(version))

    def cached(self, key: str, organisation: str) -> VersionId | None:
        """Returns a confirmed pin that is valid and not idle."""
        found = self.cache.get(key)
        if found is None or self.age(key) > self.idle_s:
            return None
        return found[0] if self.valid(organisation, found[0]) else None

    def age(self, key: str) -> float:
        """Returns seconds since the owner confirmed a cached pin."""
        return self.keeper.timers.now() - self.cache[key][1]

    def remember(self, key: str, version: VersionId) -> None:
        """Caches a confirmed pin; the oldest is dropped at the bound."""
        self.cache[key] = (version, self.keeper.timers.now())
        self.cache.move_to_end(key)
        if len(self.cache) > self.bound:
            self.cache.popitem(last=False)

    # At the owner of the slot

    def on_pin(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the pin; accepts the proposal if there is no valid one."""
        slot, key = message["slot"], message["key"]
        lease = self.keeper.held_lease(slot)
        if lease is None:
            return not_owner(self.keeper, slot)
        old = self.rows.row(slot, key)
        row = old
        if old is None or self.must_move(old, message):
            if message["proposal"] is None:
                # A moved session reads its old version and why it moves.
                idle = old is None or self.is_idle(old)
                return {"version": None if idle or not old else old.version}
            if old is None and not self.rows.has_room():
                return {"full": True}
            row = PinRow(
                version=message["proposal"],
                generation=old.generation + 1 if old else 1,
                fence=lease.offset,
                used_ms=self.keeper.now_ms(),
            )
            self.rows.put(slot, key, row)
            self.unconfirmed.add((slot, key))
        assert row is not None
        if (slot, key) in self.unconfirmed:
            if not self.rows.replicate(slot, key, row):
                return {"retry": "copies"}
            self.unconfirmed.discard((slot, key))
        self.touch(slot, key, row)
        return {"version": row.version}

    def must_move(self, row: PinRow, message: dict[str, Any]) -> bool:
        """Tells whether a pin has ended."""
        if self.is_idle(row) or row.version == message["invalid"]:
            return True
        version = VersionId.parse(row.version)
        return not self.valid(message["organisation"], version)

    def is_idle(self, row: PinRow) -> bool:
        """Tells whether the session is idle for too long."""
        return self.keeper.now_ms() - row.used_ms > 1000 * self.idle_s

    def touch(self, slot: int, key: str, row: PinRow) -> None:
        """Notes the use; copies it now and then without waiting."""
        now_ms = self.keeper.now_ms()
        if now_ms - row.used_ms >= 1000 * TOUCH_S:
            row.used_ms = now_ms
            self.rows.put(slot, key, row)
            gevent.spawn(self.rows.replicate, slot, key, row)

    # Bounds

    def sweep(self) -> None:
        """Removes idle pins."""
        oldest = self.keeper.now_ms() - 1000 * self.idle_s
        for slot in list(self.table.slots):
            for key, row in self.table.rows(slot):
                if row["used_ms"] < oldest:
                    self.table.remove(slot, key)
                    self.unconfirmed.discard((slot, key))
            gevent.sleep(0)
