"""Finds the acting owner of a slot and sends messages to it."""

import dataclasses
from typing import TYPE_CHECKING, Any

from result import Err, Ok, Result

from amaranthlug.coordination.peers import handle_message

if TYPE_CHECKING:
    from amaranthlug.coordination.slots import SlotLeaseManager

RETRY_DELAY_S = 0.1
"""Delay between attempts to reach an owner, in seconds."""

SEARCH_TIMEOUT_S = 2.5
"""Timeout of the search for an acting owner, in seconds; it covers a hand-over
or the replacement of a successor. Without it 20 attempts to reach a silent
owner took 22 s."""

MAX_TRIES = 25
"""Maximum number of attempts to reach an acting owner."""


@dataclasses.dataclass(frozen=True)
class SlotError:
    """No acting owner of a slot answered.

    Attributes:
        message: Result of the last attempt.
        not_received: It is certain that no owner acted on the message.
    """

    slot: int
    message: str
    not_received: bool


def not_owner_reply(manager: "SlotLeaseManager", slot: int) -> dict[str, Any]:
    """Returns the reply of a node that may not act, naming the known owner."""
    lease = manager.lease_table.leases.get(slot)
    if lease is None:
        return {"retry": "not_owner"}
    hint = {"owner": lease.owner, "offset": lease.offset}
    return {"retry": "not_owner", **hint}


class OwnerSearch:
    """One search for the acting owner of a slot.

    A node that does not read the log learns of a takeover up to two exchange
    periods late, so the successors are called too while the owner does not
    answer.

    Attributes:
        step: Number of calls made in turn to the successors and the owner.
        hint: Offset and owner of the newest lease named in a reply.
        reason: Why the last call did not succeed.
        not_received: It is certain that no owner acted on the message.
    """

    def __init__(self, manager: "SlotLeaseManager", slot: int):
        """Starts with the owner in the newest lease."""
        self.manager = manager
        self.slot = slot
        self.step = 0
        self.hint: tuple[int, str] = (-1, "")
        self.reason = "no lease"
        self.not_received = True

    def target(self) -> str | None:
        """Returns the incarnation to call next, or None without a lease."""
        lease = self.manager.lease_table.leases.get(self.slot)
        offset, owner = self.hint
        if owner and (lease is None or offset > lease.offset):
            return owner
        if lease is None:
            return None
        if not self.manager.silence.last_message_unanswered(lease.owner):
            return lease.owner
        named = (*lease.successors, lease.owner)
        self.step += 1
        return named[(self.step - 1) % len(named)]

    def call_next(
        self, name: str, message: dict[str, Any], timeout_s: float
    ) -> dict[str, Any] | None:
        """Calls the next node; returns its reply if it is the acting owner."""
        target = self.target()
        if target is None:
            return None
        reply = self.call_node(target, name, message, timeout_s)
        if isinstance(reply, Err):
            self.hint = (-1, "")
            self.reason = reply.err_value.message
            self.not_received &= reply.err_value.not_received
            return None
        found = reply.ok_value
        if "retry" not in found:
            return found
        self.reason = str(found["retry"])
        # For other reasons the node may already have sent copies.
        self.not_received &= self.reason == "not_owner"
        if found.get("offset", -1) > self.hint[0]:
            self.hint = (int(found["offset"]), str(found["owner"]))
        return None

    def call_node(
        self,
        target: str,
        name: str,
        message: dict[str, Any],
        timeout_s: float,
    ) -> Result[dict[str, Any], SlotError]:
        """Sends the message to one node, which may be this one."""
        manager, slot = self.manager, self.slot
        addressed = {**message, "slot": slot, "to": target}
        if target == manager.me.incarnation:
            addressed["sender"] = manager.me.address
            addressed["incarnation"] = manager.me.incarnation
            return Ok(
                handle_message(manager.handlers, manager.me, name, addressed)
            )
        reply = manager.call(target, name, addressed, timeout_s)
        if reply is None:
            return Err(SlotError(slot, f"{target} is not known", True))
        return reply.map_err(
            lambda e: SlotError(slot, e.message, e.not_received)
        )
