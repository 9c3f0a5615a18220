"""Versions that sessions are pinned to, stored by the owner of their slot."""

from collections import OrderedDict
from collections.abc import Callable
from typing import Any

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.peers import PeerHandlers
from amaranthlug.coordination.slot_refusals import (
    slot_unavailable_refusal,
    too_many_sessions_refusal,
)
from amaranthlug.coordination.slot_register import SlotRegister
from amaranthlug.coordination.slot_routing import not_owner_reply
from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.catalog import VersionId
from amaranthlug.state.leases import slot_of
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.runs import PinRow, is_newer_pin, row_key

TABLE = "pins"

CACHE_TTL_S = 60.0
"""Time for which a confirmed pin is used without a request to its owner, in
seconds. It must stay short so that the owner sees that a session is in use."""

USE_COPY_INTERVAL_S = 300.0
"""Minimum interval between copies of a pin's last use to successors, in
seconds. After a takeover a pin may expire that much before the idle limit."""

SWEEP_PERIOD_S = 60.0
"""Period of the removal of idle pins, in seconds."""

VersionCheck = Callable[[str, VersionId], bool]


class SlotSessionPins:
    """Implements `SessionPins` over the slot leases.

    The pin of a session is written once and stays until it ends.

    Attributes:
        unconfirmed: Slot and key of pins that successors may not have yet.
        cache: Confirmed pin and its monotonic time of confirmation, by key.
    """

    def __init__(
        self,
        manager: SlotLeaseManager,
        handlers: PeerHandlers,
        is_allowed: VersionCheck,
        bound: int = 100_000,
    ):
        """Adds the table and registers the handler.

        Args:
            manager: Slot leases.
            handlers: Registry of peer messages.
            is_allowed: Returns whether an organisation may use a version that
                is neither withdrawn nor removed.
            bound: Maximum number of pins on this node and in its cache.
        """
        self.manager = manager
        self.is_allowed = is_allowed
        self.bound = bound
        self.idle_s = manager.timings.session_idle_s
        self.rows = SlotRegister(
            manager, TABLE, PinRow, is_newer_pin, bound, self.sweep
        )
        self.table = self.rows.table
        self.unconfirmed: set[tuple[int, str]] = set()
        self.cache: OrderedDict[str, tuple[VersionId, float]] = OrderedDict()
        handlers.register("pin", self.on_pin)

    def start(self) -> None:
        """Schedules the sweep."""
        self.manager.timers.every("pin_sweep", SWEEP_PERIOD_S, self.sweep)

    # At the entry node

    def lookup(
        self, organisation: str, session_id: str
    ) -> Result[VersionId | None, Refusal]:
        """Returns the pinned version, or None if there is no pin.

        The version may no longer be allowed, so that the caller can report why
        the session moves to another.
        """
        return self.request_pin(organisation, session_id, None, None)

    def pin(
        self, organisation: str, session_id: str, proposal: VersionId
    ) -> Result[VersionId, Refusal]:
        """Pins the proposal unless a valid pin exists; returns the pin."""
        invalid: VersionId | None = None
        for _ in range(2):
            reply = self.request_pin(
                organisation, session_id, proposal, invalid
            )
            if isinstance(reply, Err):
                return reply
            pinned = reply.ok_value
            assert pinned is not None
            if self.is_allowed(organisation, pinned):
                return Ok(pinned)
            # The owner's configuration is older than this node's.
            invalid = pinned
        return Err(
            slot_unavailable_refusal("its configuration is older", keyed=False)
        )

    def request_pin(
        self,
        organisation: str,
        session_id: str,
        proposal: VersionId | None,
        invalid: VersionId | None,
    ) -> Result[VersionId | None, Refusal]:
        """Returns a recent cached pin, or else the owner's.

        An older cached pin is used if the owner cannot be reached.
        """
        scope = f"session|{organisation}"
        key, slot = row_key(scope, session_id), slot_of(scope, session_id)
        cached = self.get_cached(key, organisation)
        if cached is not None and self.cache_age_s(key) < CACHE_TTL_S:
            return Ok(cached)
        message = {
            "key": key,
            "organisation": organisation,
            "proposal": None if proposal is None else str(proposal),
            "invalid": None if invalid is None else str(invalid),
        }
        reply = self.manager.call_owner(slot, "pin", message)
        if isinstance(reply, Err):
            if cached is not None:
                self.manager.metrics.incr("pins.from_cache")
                return Ok(cached)
            return Err(
                slot_unavailable_refusal(reply.err_value.message, keyed=False)
            )
        if reply.ok_value.get("full"):
            return Err(too_many_sessions_refusal(self.bound))
        version = reply.ok_value["version"]
        if version is None:
            return Ok(None)
        self.cache_pin(key, VersionId.parse(version))
        return Ok(VersionId.parse(version))

    def get_cached(self, key: str, organisation: str) -> VersionId | None:
        """Returns a cached pin if it is allowed and not idle, else None."""
        found = self.cache.get(key)
        if found is None or self.cache_age_s(key) > self.idle_s:
            return None
        return found[0] if self.is_allowed(organisation, found[0]) else None

    def cache_age_s(self, key: str) -> float:
        """Returns the seconds since the owner confirmed a cached pin."""
        return self.manager.timers.now() - self.cache[key][1]

    def cache_pin(self, key: str, version: VersionId) -> None:
        """Caches a confirmed pin; evicts the oldest beyond the bound."""
        self.cache[key] = (version, self.manager.timers.now())
        self.cache.move_to_end(key)
        if len(self.cache) > self.bound:
            self.cache.popitem(last=False)

    # At the owner of the slot

    def on_pin(self, message: dict[str, Any]) -> dict[str, Any]:
        """Returns the pin; accepts the proposal if there is no valid one."""
        slot, key = message["slot"], message["key"]
        lease = self.manager.held_lease(slot)
        if lease is None:
            return not_owner_reply(self.manager, slot)
        old = self.rows.row(slot, key)
        row = old
        if old is None or self.has_ended(old, message):
            if message["proposal"] is None:
                # The caller needs the old version to report why the session
                # moves.
                idle = old is None or self.is_idle(old)
                return {"version": None if idle or not old else old.version}
            if old is None and not self.rows.has_room():
                return {"full": True}
            row = PinRow(
                version=message["proposal"],
                generation=old.generation + 1 if old else 1,
                fence=lease.offset,
                used_ms=self.manager.now_ms(),
            )
            self.rows.put(slot, key, row)
            self.unconfirmed.add((slot, key))
        assert row is not None
        if (slot, key) in self.unconfirmed:
            if not self.rows.replicate(slot, key, row):
                return {"retry": "copies"}
            self.unconfirmed.discard((slot, key))
        self.record_use(slot, key, row)
        return {"version": row.version}

    def has_ended(self, row: PinRow, message: dict[str, Any]) -> bool:
        """Returns whether a pin is idle, rejected by the caller or invalid."""
        if self.is_idle(row) or row.version == message["invalid"]:
            return True
        version = VersionId.parse(row.version)
        return not self.is_allowed(message["organisation"], version)

    def is_idle(self, row: PinRow) -> bool:
        """Returns whether the session exceeded the idle limit."""
        return self.manager.now_ms() - row.used_ms > 1000 * self.idle_s

    def record_use(self, slot: int, key: str, row: PinRow) -> None:
        """Updates an old time of last use and copies it in the background."""
        now_ms = self.manager.now_ms()
        if now_ms - row.used_ms >= 1000 * USE_COPY_INTERVAL_S:
            row.used_ms = now_ms
            self.rows.put(slot, key, row)
            gevent.spawn(self.rows.replicate, slot, key, row)

    # Bounds

    def sweep(self) -> None:
        """Removes idle pins."""
        oldest = self.manager.now_ms() - 1000 * self.idle_s
        for slot in list(self.table.slots):
            for key, row in self.table.rows(slot):
                if row["used_ms"] < oldest:
                    self.table.remove(slot, key)
                    self.unconfirmed.discard((slot, key))
            gevent.sleep(0)
