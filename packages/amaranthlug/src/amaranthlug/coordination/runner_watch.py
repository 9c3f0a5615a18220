"""Detects whether the node that runs a keyed request is gone."""

from result import Err

from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.members import MemberState

PROBE_TIMEOUT_S = 0.4
"""Timeout of a probe of a runner, in seconds; below the owner's long poll."""

MIN_PROBE_INTERVAL_S = 0.4
"""Minimum time between probes of a runner, in seconds."""

MAX_TRIES = 6
"""Maximum calls in a probe. Up to four pooled connections to a dead process
fail first; only a new connection shows that no process listens."""

MAX_ENTRIES = 256
"""Maximum number of incarnations in each table; the oldest is dropped."""


class RunnerWatch:
    """Probes runners that requests wait for, as heartbeats are too slow.

    Attributes:
        probed_at: Incarnation to the monotonic time of its last probe.
        ended: Incarnations known to be gone, with the time of that probe.
    """

    def __init__(self, manager: SlotLeaseManager):
        """Creates a watch that uses the manager's members and messages."""
        self.manager = manager
        self.probed_at: dict[str, float] = {}
        self.ended: dict[str, float] = {}

    def may_still_finish(self, runner: str, idempotent: bool) -> bool:
        """Returns whether to wait for a runner.

        An idempotent request does not wait for a silent or suspect one.
        """
        if runner == self.manager.me.incarnation:
            return True
        member = self.manager.members.by_incarnation(runner)
        if member is None or not member.is_present() or runner in self.ended:
            return False
        if not idempotent:
            return True
        limit_s = self.manager.timings.suspect_s
        if self.manager.silence.is_silent(runner, limit_s):
            return False
        return member.state != MemberState.SUSPECT

    def probe_is_gone(self, runner: str) -> bool:
        """Probes a runner; returns True if its process no longer exists."""
        if runner == self.manager.me.incarnation:
            return False
        now = self.manager.timers.now()
        is_ended = runner in self.ended
        if (
            is_ended
            or now - self.probed_at.get(runner, -1e9) < MIN_PROBE_INTERVAL_S
        ):
            return is_ended
        self.set_bounded(self.probed_at, runner, now)
        for _ in range(MAX_TRIES):
            reply = self.manager.call(runner, "ping", {}, PROBE_TIMEOUT_S)
            if not isinstance(reply, Err):
                return False
            if reply.err_value.not_received:
                self.set_bounded(self.ended, runner, now)
                return True
            if self.manager.timers.now() - now >= PROBE_TIMEOUT_S:
                return False
        return False

    def set_bounded(
        self, table: dict[str, float], runner: str, value: float
    ) -> None:
        """Sets an entry and drops the oldest beyond the bound."""
        table.pop(runner, None)
        table[runner] = value
        if len(table) > MAX_ENTRIES:
            del table[next(iter(table))]
