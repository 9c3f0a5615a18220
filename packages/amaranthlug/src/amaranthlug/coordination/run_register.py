"""Register of keyed requests; runs a non-idempotent key at most once."""

import dataclasses
import uuid
from collections import OrderedDict
from typing import Any

import gevent
import msgspec
from gevent.event import Event
from result import Err, Ok, Result

from amaranthlug.coordination.peers import PeerHandlers
from amaranthlug.coordination.runner_watch import RunnerWatch
from amaranthlug.coordination.slot_refusals import (
    key_reused_refusal,
    register_full_refusal,
    run_in_progress_refusal,
    slot_unavailable_refusal,
    unknown_outcome_refusal,
)
from amaranthlug.coordination.slot_register import SlotRegister
from amaranthlug.coordination.slot_routing import not_owner_reply
from amaranthlug.coordination.slots import SlotLeaseManager
from amaranthlug.state.leases import slot_of
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.runs import (
    RunRow,
    RunState,
    RunTicket,
    is_newer_run,
    row_key,
)

TABLE = "runs"

MAX_WAIT_S = 3.0
"""Maximum wait for a running request with the same key, in seconds. It is far
below the callers' timeouts, so that they receive the retry delay."""

LONG_POLL_TIMEOUT_S = 0.5
"""Maximum wait of the owner before it replies to a message, in seconds."""

CLOCK_MARGIN_MS = 5_000
"""Margin for clock differences after a takeover, in milliseconds; a key issued
later cannot have a lost record."""

MAX_ANSWER_BYTES = 64_000
"""Maximum size of a stored answer, in bytes. For a longer one only the fact
that the key ran is stored, so a repeated request gets `unknown_outcome`."""

MAX_TOTAL_ANSWER_BYTES = 6_000_000
"""Maximum size of all answers on a node, in bytes; under half of the memory of
its slot tables. The oldest ones beyond it are dropped, with the same effect."""

SWEEP_PERIOD_S = 30.0
"""Period of the removal of expired keys, in seconds."""

END_TRIES = 3
"""Attempts to store the end of a run before it is queued to be sent later."""

MAX_UNSENT_ENDS = 10_000
"""Maximum number of queued ends of runs. Beyond it the oldest is dropped, and
its key stays `run_in_progress` until the retention time ends."""


@dataclasses.dataclass(frozen=True)
class RunEnd:
    """The end of a run, to be stored by the owner of its slot."""

    slot: int
    key: str
    run_id: str
    digest: str
    answer: dict[str, Any] | None
    ran: bool


class SlotRunRegister:
    """Implements `RunRegister` over the slot leases.

    Attributes:
        waiting: Key to the event that wakes requests waiting for its run.
        active_runs: Scope and key to run id and digest of runs on this node.
        unsent: Ends of runs that their owner does not have yet, by run id.
    """

    def __init__(
        self,
        manager: SlotLeaseManager,
        handlers: PeerHandlers,
        bound: int = 100_000,
    ):
        """Adds the table and registers handlers; `start` begins the sweep."""
        self.manager = manager
        self.me = manager.me
        self.rows = SlotRegister(
            manager, TABLE, RunRow, is_newer_run, bound, self.sweep
        )
        self.table = self.rows.table
        self.runners = RunnerWatch(manager)
        self.waiting: dict[str, Event] = {}
        self.active_runs: dict[tuple[str, str], tuple[str, str]] = {}
        self.unsent: OrderedDict[str, RunEnd] = OrderedDict()
        handlers.register("run_begin", self.on_begin)
        handlers.register("run_end", self.on_end)

    def start(self) -> None:
        """Schedules the sweep and the retries of unsent `run_end` messages."""
        timers = self.manager.timers
        timers.every("run_sweep", SWEEP_PERIOD_S, self.sweep)
        timers.every("run_ends", 1.0, self.send_unsent)

    # At the node that runs the request

    def begin(
        self,
        scope: str,
        key: str,
        digest: str,
        idempotent: bool,
        issued_ms: int | None = None,
        wait_s: float = MAX_WAIT_S,
    ) -> Result[RunTicket, Refusal]:
        """Registers a run before dispatch.

        Waits for a running request with the same key and returns its answer.

        Args:
            scope: `run|ORGANISATION`.
            key: The caller's key.
            digest: Digest of the request; a key with another is refused.
            idempotent: The request may run more than once.
            issued_ms: `X-Key-Issued-At` in Unix milliseconds.
            wait_s: Maximum wait for a running request, in seconds.
        """
        slot = slot_of(scope, key)
        run_id = uuid.uuid4().hex
        message = {
            "key": row_key(scope, key),
            "digest": digest,
            "run_id": run_id,
            "runner": self.me.incarnation,
            "idempotent": idempotent,
            "issued_ms": issued_ms,
        }
        until = self.manager.timers.now() + wait_s
        while True:
            reply = self.manager.call_owner(slot, "run_begin", message)
            if isinstance(reply, Err):
                reason = reply.err_value.message
                return self.handle_begin_failure(
                    slot, message, idempotent, reason
                )
            outcome = reply.ok_value["outcome"]
            if outcome != "running":
                break
            if self.manager.timers.now() >= until:
                return Err(run_in_progress_refusal())
        if outcome == "run":
            self.active_runs[scope, key] = (run_id, digest)
        return self.make_ticket(outcome, reply.ok_value.get("answer"))

    def handle_begin_failure(
        self, slot: int, message: dict[str, Any], idempotent: bool, reason: str
    ) -> Result[RunTicket, Refusal]:
        """Frees a run that may be registered; refuses a non-idempotent one."""
        end = RunEnd(
            slot, message["key"], message["run_id"], "", None, ran=False
        )
        self.queue_unsent(end)
        if idempotent:
            self.manager.metrics.incr("runs.unregistered")
            return Ok(RunTicket(True, registered=False))
        return Err(slot_unavailable_refusal(reason, keyed=True))

    def make_ticket(
        self, outcome: str, answer: dict[str, Any] | None
    ) -> Result[RunTicket, Refusal]:
        """Converts the owner's decision to a ticket or a refusal."""
        if outcome == "run":
            return Ok(RunTicket(True))
        if outcome == "done":
            return Ok(RunTicket(False, answer))
        if outcome == "reused":
            return Err(key_reused_refusal())
        if outcome == "full":
            return Err(register_full_refusal(self.rows.bound))
        return Err(unknown_outcome_refusal())

    def end(
        self, scope: str, key: str, answer: dict[str, Any] | None, ran: bool
    ) -> None:
        """Stores the end of a run; `ran=False` frees its key.

        Args:
            scope: `run|ORGANISATION`.
            key: The caller's key.
            answer: Answer for repeated requests, if any.
            ran: False only if it is certain that the request did not run.
        """
        run_id, digest = self.active_runs.pop((scope, key), ("", ""))
        if not run_id:
            return
        if answer is not None and len(msgspec.json.encode(answer)) > (
            MAX_ANSWER_BYTES
        ):
            answer = None
        slot = slot_of(scope, key)
        end = RunEnd(slot, row_key(scope, key), run_id, digest, answer, ran)
        if not self.send_end(end, END_TRIES):
            self.queue_unsent(end)

    def send_end(self, end: RunEnd, tries: int) -> bool:
        """Sends an end to the owner; returns whether the owner stored it."""
        message = {
            "key": end.key,
            "run_id": end.run_id,
            "digest": end.digest,
            "runner": self.me.incarnation,
            "answer": end.answer,
            "ran": end.ran,
        }
        reply = self.manager.call_owner(
            end.slot, "run_end", message, tries=tries
        )
        return isinstance(reply, Ok)

    def queue_unsent(self, end: RunEnd) -> None:
        """Queues an end until its owner can be reached."""
        self.unsent[end.run_id] = end
        if len(self.unsent) > MAX_UNSENT_ENDS:
            self.unsent.popitem(last=False)
            self.manager.metrics.incr("runs.end_dropped")

    def send_unsent(self) -> None:
        """Sends the queued ends."""
        for run_id, end in list(self.unsent.items()):
            if self.send_end(end, 1):
                self.unsent.pop(run_id, None)

    # At the owner of the slot

    def on_begin(self, message: dict[str, Any]) -> dict[str, Any]:
        """Decides on a key; replicates a new run before allowing it."""
        slot, key = message["slot"], message["key"]
        if self.manager.held_lease(slot) is None:
            return not_owner_reply(self.manager, slot)
        row = self.rows.row(slot, key)
        outcome = self.decide(slot, row, message)
        if outcome == "running":
            assert row is not None
            return self.wait(slot, key, row.runner)
        if outcome == "done" and row is not None:
            return {"outcome": "done", "answer": row.answer}
        if outcome != "run":
            return {"outcome": outcome}
        if row is None or row.run_id != message["run_id"]:
            if row is None and not self.rows.has_room():
                return {"outcome": "full"}
            row = self.new_row(slot, row, message)
            self.rows.put(slot, key, row)
        if not self.rows.replicate(slot, key, row):
            return {"retry": "copies"}
        return {"outcome": "run"}

    def decide(
        self, slot: int, row: RunRow | None, message: dict[str, Any]
    ) -> str:
        """Returns the outcome for a request with this key."""
        idempotent = message["idempotent"]
        if row is None:
            lost = self.may_be_missing(slot, message["issued_ms"])
            return "unknown" if lost and not idempotent else "run"
        if row.state == RunState.FREE:
            # A delayed duplicate of an abandoned call must not run.
            is_abandoned = row.run_id == message["run_id"]
            return "unknown" if is_abandoned else "run"
        if row.digest and row.digest != message["digest"]:
            return "reused"
        if row.run_id == message["run_id"]:
            return "run"
        if row.state == RunState.DONE:
            if row.answer is not None:
                return "done"
            return "run" if idempotent else "unknown"
        if self.runners.may_still_finish(row.runner, idempotent):
            return "running"
        return "run" if idempotent else "unknown"

    def may_be_missing(self, slot: int, issued_ms: int | None) -> bool:
        """Returns whether the record of an unknown key may be missing."""
        manager = self.manager
        since = manager.tables.incomplete_since(slot, manager.now_ms())
        if since is None:
            return False
        return issued_ms is None or issued_ms <= since + CLOCK_MARGIN_MS

    def wait(self, slot: int, key: str, runner: str) -> dict[str, Any]:
        """Waits up to `LONG_POLL_TIMEOUT_S` for the end of the run."""
        event = self.waiting.setdefault(key, Event())
        gevent.spawn(self.check_runner, key, runner)
        event.wait(LONG_POLL_TIMEOUT_S)
        row = self.rows.row(slot, key)
        if self.manager.held_lease(slot) is None or row is None:
            return not_owner_reply(self.manager, slot)
        if row.state == RunState.DONE and row.answer is not None:
            return {"outcome": "done", "answer": row.answer}
        # The next message decides on all other states.
        return {"outcome": "running"}

    def check_runner(self, key: str, runner: str) -> None:
        """Ends the wait early if the runner's process is gone."""
        if self.runners.probe_is_gone(runner):
            self.wake_waiting(key)

    def wake_waiting(self, key: str) -> None:
        """Wakes requests that wait for the run of a key."""
        event = self.waiting.pop(key, None)
        if event is not None:
            event.set()

    def on_end(self, message: dict[str, Any]) -> dict[str, Any]:
        """Stores and replicates the end of a run."""
        slot, key = message["slot"], message["key"]
        lease = self.manager.held_lease(slot)
        if lease is None:
            return not_owner_reply(self.manager, slot)
        row = self.rows.row(slot, key)
        if row is not None and row.run_id != message["run_id"]:
            return {}  # A newer attempt was allowed.
        # An unknown key gets a row too, so that a delayed `run_begin` of the
        # abandoned call does not register it afterwards.
        answer = message["answer"]
        ended = RunRow(
            attempt=row.attempt if row else 1,
            state=RunState.DONE if message["ran"] else RunState.FREE,
            fence=lease.offset,
            digest=row.digest if row else message["digest"],
            run_id=message["run_id"],
            runner=message["runner"],
            at_ms=self.manager.now_ms(),
            answer=answer,
            size=len(msgspec.json.encode(answer)) if answer else 0,
        )
        if row is None or ended.rank() > row.rank():
            self.rows.put(slot, key, ended)
        else:
            ended = row
        copied = self.rows.replicate(slot, key, ended)
        self.wake_waiting(key)
        return {} if copied else {"retry": "copies"}

    def new_row(
        self, slot: int, old: RunRow | None, message: dict[str, Any]
    ) -> RunRow:
        """Returns the row of a new attempt."""
        lease = self.manager.lease_table.leases[slot]
        return RunRow(
            attempt=old.attempt + 1 if old else 1,
            state=RunState.RUNNING,
            fence=lease.offset,
            digest=message["digest"],
            run_id=message["run_id"],
            runner=message["runner"],
            at_ms=self.manager.now_ms(),
        )

    # Bounds

    def sweep(self) -> None:
        """Removes expired keys, and the oldest answers beyond their bound."""
        retention_ms = 1000 * self.manager.timings.run_retention_s
        expired = self.manager.now_ms() - retention_ms
        answers: list[tuple[int, int, str]] = []
        total = 0
        for slot in list(self.table.slots):
            for key, row in self.table.rows(slot):
                if row["at_ms"] < expired:
                    self.table.remove(slot, key)
                elif row["answer"] is not None:
                    answers.append((row["at_ms"], slot, key))
                    total += row["size"]
            gevent.sleep(0)
        for _, slot, key in sorted(answers):
            if total <= MAX_TOTAL_ANSWER_BYTES:
                break
            found = self.table.get(slot, key)
            if found is not None:
                total -= found["size"]
                self.table.put(slot, key, {**found, "answer": None, "size": 0})
