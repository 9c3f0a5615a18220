"""Finds the acting owner of a slot and sends it messages."""

import dataclasses
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from amaranthlug.coordination.peers import handle_message

if TYPE_CHECKING:
    from amaranthlug.coordination.slots import SlotKeeper

RETRY_S = 0.1
"""Wait before an owner is asked again, in seconds."""

ASK_S = 2.5
"""Longest search for an acting owner, in seconds: a hand-over or the
replacement of a successor. Without it 20 tries of a silent owner took 22 s."""

TRIES = 25
"""Most tries to reach an acting owner."""


@dataclasses.dataclass(frozen=True)
class SlotError:
    """No acting owner of a slot answered.

    Attributes:
        message: What happened last.
        not_received: No owner can have acted on the message.
    """

    slot: int
    message: str
    not_received: bool


def not_owner(keeper: "SlotKeeper", slot: int) -> dict[str, Any]:
    """Returns the reply of a node that may not act, with the owner it knows."""
    lease = keeper.fold.leases.get(slot)
    if lease is None:
        return {"retry": "not_owner"}
    hint = {"owner": lease.owner, "offset": lease.offset}
    return {"retry": "not_owner", **hint}


class SlotSearch:
    """One search for the acting owner of a slot.

    A node that does not read the log learns of a takeover up to two exchanges
    late, so successors are asked too while the owner does not answer.
    """

    def __init__(self, keeper: "SlotKeeper", slot: int):
        """Starts at the owner by the newest lease."""
        self.keeper = keeper
        self.slot = slot
        self.step = 0
        self.hint: tuple[int, str] = (-1, "")
        self.reason = "no lease"
        self.not_received = True

    def target(self) -> str | None:
        """Returns the incarnation to ask next."""
        lease = self.keeper.fold.leases.get(self.slot)
        offset, owner = self.hint
        if owner and (lease is None or offset > lease.offset):
            return owner
        if lease is None:
            return None
        if not self.keeper.silence.last_message_unanswered(lease.owner):
            return lease.owner
        named = (*lease.successors, lease.owner)
        self.step += 1
        return named[(self.step - 1) % len(named)]

    def ask(
        self, name: str, message: dict[str, Any], timeout_s: float
    ) -> dict[str, Any] | None:
        """Asks one node; returns the reply of an acting owner."""
        target = self.target()
        if target is None:
            return None
        reply = self.ask_node(target, name, message, timeout_s)
        if isinstance(reply, Err):
            self.hint = (-1, "")
            self.reason = reply.err_value.message
            self.not_received &= reply.err_value.not_received
            return None
        found = reply.ok_value
        if "retry" not in found:
            return found
        self.reason = str(found["retry"])
        # A retry reply may come after copies were sent.
        self.not_received &= self.reason == "not_owner"
        if found.get("offset", -1) > self.hint[0]:
            self.hint = (int(found["offset"]), str(found["owner"]))
        return None

    def ask_node(
        self,
        target: str,
        name: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> Result[dict[str, Any], SlotError]:
        """Sends the message to one node."""
        keeper, slot = self.keeper, self.slot
        full = {**message, "slot": slot, "to": target}
        if target == keeper.me.incarnation:
            full["sender"] = keeper.me.address
            full["incarnation"] = keeper.me.incarnation
            return Ok(handle_message(keeper.handlers, keeper.me, name, full))
        reply = keeper.call(target, name, full, timeout_s)
        if reply is None:
            return Err(SlotError(slot, f"{target} is not known", True))
        return reply.map_err(
            lambda e: SlotError(slot, e.message, e.not_received)
        )
