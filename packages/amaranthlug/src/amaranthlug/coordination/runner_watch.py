"""Whether the node that runs a keyed request may still end it."""

from result import Err

from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.members import MemberState

CHECK_S = 0.4
"""Limit of one check of a runner, in seconds; within the owner's long poll."""

CHECK_GAP_S = 0.4
"""Shortest time between two checks of a runner, in seconds."""

TRIES = 6
"""Tries of one check: a dead process first breaks up to four pooled
connections, and only a new connection shows that nobody listens."""

ENDED_BOUND = 256
"""Ended incarnations remembered; beyond it the oldest is forgotten."""


class RunnerWatch:
    """Asks runners that others wait for, since heartbeats tell late."""

    def __init__(self, keeper: SlotLeaseManager):
        """Takes the leases for their members and messages."""
        self.keeper = keeper
        self.checked_at: dict[str, float] = {}
        self.ended: dict[str, float] = {}

    def may_end(self, runner: str, idempotent: bool) -> bool:
        """Tells whether to wait for a runner.

        A request that may be repeated does not wait for a silent one.
        """
        if runner == self.keeper.me.incarnation:
            return True
        member = self.keeper.members.by_incarnation(runner)
        if member is None or not member.is_present() or runner in self.ended:
            return False
        if not idempotent:
            return True
        limit_s = self.keeper.timings.suspect_s
        if self.keeper.silence.is_silent(runner, limit_s):
            return False
        return member.state != MemberState.SUSPECT

    def check(self, runner: str) -> bool:
        """Asks a runner; True when its process does not exist any more."""
        if runner == self.keeper.me.incarnation:
            return False
        now = self.keeper.timers.now()
        known = runner in self.ended
        if known or now - self.checked_at.get(runner, -1e9) < CHECK_GAP_S:
            return known
        self.note(self.checked_at, runner, now)
        for _ in range(TRIES):
            reply = self.keeper.call(runner, "ping", {}, CHECK_S)
            if not isinstance(reply, Err):
                return False
            if reply.err_value.not_received:
                self.note(self.ended, runner, now)
                return True
            if self.keeper.timers.now() - now >= CHECK_S:
                return False
        return False

    def note(self, table: dict[str, float], runner: str, value: float) -> None:
        """Sets an entry and drops the oldest at the bound."""
        table.pop(runner, None)
        table[runner] = value
        if len(table) > ENDED_BOUND:
            del table[next(iter(table))]
