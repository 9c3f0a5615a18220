"""Runs of keyed requests: at most one run of a key that may not be repeated."""

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
    key_reused,
    register_full,
    run_in_progress,
    slot_unavailable,
    unknown_outcome,
)
from amaranthlug.coordination.slot_register import SlotRegister
from amaranthlug.coordination.slot_routing import not_owner
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

WAIT_S = 3.0
"""Longest wait for a running request with the same key, in seconds. It is far
below callers' own limits, so that they learn when to come back."""

LONG_POLL_S = 0.5
"""Longest wait of the owner within one message, in seconds."""

ISSUED_AFTER_MS = 5_000
"""Margin of clocks after a takeover, in milliseconds: a key issued later
cannot have a lost record."""

ANSWER_BYTES = 64_000
"""Longest answer that is kept. A longer one is replaced by the fact that the
key ran, so a repeated request gets `unknown_outcome`."""

ALL_ANSWERS_BYTES = 6_000_000
"""Answers kept on a node in all, under half of the memory of its slot tables;
the oldest are dropped beyond, with the same effect."""

SWEEP_S = 30.0
"""Period in which expired keys are removed, in seconds."""

END_TRIES = 3
"""Tries to store an end before the caller goes on without waiting."""

UNSENT_BOUND = 10_000
"""Ends that wait for their owner; beyond, the oldest is dropped and its key
stays `run_in_progress` until the retention ends."""


@dataclasses.dataclass(frozen=True)
class RunEnd:
    """An end that the owner has to learn."""

    slot: int
    key: str
    run_id: str
    digest: str
    answer: dict[str, Any] | None
    ran: bool


class SlotRunRegister:
    """Implements `RunRegister` over the slot leases."""

    def __init__(
        self,
        keeper: SlotLeaseManager,
        handlers: PeerHandlers,
        bound: int = 100_000,
    ):
        """Adds the table and registers handlers; `start` begins the sweep."""
        self.keeper = keeper
        self.me = keeper.me
        self.rows = SlotRegister(
            keeper, TABLE, RunRow, is_newer_run, bound, self.sweep
        )
        self.table = self.rows.table
        self.runners = RunnerWatch(keeper)
        self.waiting: dict[str, Event] = {}
        self.active: dict[tuple[str, str], tuple[str, str]] = {}
        self.unsent: OrderedDict[str, RunEnd] = OrderedDict()
        handlers.register("run_begin", self.on_begin)
        handlers.register("run_end", self.on_end)

    def start(self) -> None:
        """Subscribes to the timer service."""
        timers = self.keeper.timers
        timers.every("run_sweep", SWEEP_S, self.sweep)
        timers.every("run_ends", 1.0, self.send_unsent)

    # At the node that runs the request

    def begin(
        self,
        scope: str,
        key: str,
        digest: str,
        idempotent: bool,
        issued_ms: int | None = None,
        wait_s: float = WAIT_S,
    ) -> Result[RunTicket, Refusal]:
        """Registers a run before dispatch.

        Waits for a running one with the same key and returns its answer.

        Args:
            scope: `run|ORGANISATION`.
            key: The caller's key.
            digest: Digest of the request; another one refuses the key.
            idempotent: The request may run more than once.
            issued_ms: `X-Key-Issued-At` in Unix milliseconds.
            wait_s: Longest wait for a running request, in seconds.
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
        until = self.keeper.timers.now() + wait_s
        while True:
            reply = self.keeper.ask(slot, "run_begin", message)
            if isinstance(reply, Err):
                reason = reply.err_value.message
                return self.begin_failed(slot, message, idempotent, reason)
            outcome = reply.ok_value["outcome"]
            if outcome != "running":
                break
            if self.keeper.timers.now() >= until:
                return Err(run_in_progress())
        if outcome == "run":
            self.active[scope, key] = (run_id, digest)
        return self.ticket(outcome, reply.ok_value.get("answer"))

    def begin_failed(
        self, slot: int, message: dict[str, Any], idempotent: bool, reason: str
    ) -> Result[RunTicket, Refusal]:
        """Frees a run that may be registered and refuses the request."""
        end = RunEnd(
            slot, message["key"], message["run_id"], "", None, ran=False
        )
        self.keep_unsent(end)
        if idempotent:
            self.keeper.metrics.incr("runs.unregistered")
            return Ok(RunTicket(True, registered=False))
        return Err(slot_unavailable(reason, keyed=True))

    def ticket(
        self, outcome: str, answer: dict[str, Any] | None
    ) -> Result[RunTicket, Refusal]:
        """Turns the owner's decision into a ticket or a refusal."""
        if outcome == "run":
            return Ok(RunTicket(True))
        if outcome == "done":
            return Ok(RunTicket(False, answer))
        if outcome == "reused":
            return Err(key_reused())
        if outcome == "full":
            return Err(register_full(self.rows.bound))
        return Err(unknown_outcome())

    def end(
        self, scope: str, key: str, answer: dict[str, Any] | None, ran: bool
    ) -> None:
        """Stores the answer; `ran=False` frees the key as certainly not run."""
        run_id, digest = self.active.pop((scope, key), ("", ""))
        if not run_id:
            return
        if answer is not None and len(msgspec.json.encode(answer)) > (
            ANSWER_BYTES
        ):
            answer = None
        slot = slot_of(scope, key)
        end = RunEnd(slot, row_key(scope, key), run_id, digest, answer, ran)
        if not self.send_end(end, END_TRIES):
            self.keep_unsent(end)

    def send_end(self, end: RunEnd, tries: int) -> bool:
        """Tells the owner of an end."""
        message = {
            "key": end.key,
            "run_id": end.run_id,
            "digest": end.digest,
            "runner": self.me.incarnation,
            "answer": end.answer,
            "ran": end.ran,
        }
        reply = self.keeper.ask(end.slot, "run_end", message, tries=tries)
        return isinstance(reply, Ok)

    def keep_unsent(self, end: RunEnd) -> None:
        """Keeps an end until its owner has it."""
        self.unsent[end.run_id] = end
        if len(self.unsent) > UNSENT_BOUND:
            self.unsent.popitem(last=False)
            self.keeper.metrics.incr("runs.end_dropped")

    def send_unsent(self) -> None:
        """Sends ends again whose owner could not be reached."""
        for run_id, end in list(self.unsent.items()):
            if self.send_end(end, 1):
                self.unsent.pop(run_id, None)

    # At the owner of the slot

    def on_begin(self, message: dict[str, Any]) -> dict[str, Any]:
        """Decides on a key; a new run is copied before it is allowed."""
        slot, key = message["slot"], message["key"]
        if self.keeper.held_lease(slot) is None:
            return not_owner(self.keeper, slot)
        row = self.rows.row(slot, key)
        outcome = self.judge(slot, row, message)
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

    def judge(
        self, slot: int, row: RunRow | None, message: dict[str, Any]
    ) -> str:
        """Returns what a request with this key may do."""
        idempotent = message["idempotent"]
        if row is None:
            lost = self.may_be_lost(slot, message["issued_ms"])
            return "unknown" if lost and not idempotent else "run"
        if row.state == RunState.FREE:
            # A late copy of a call that gave up must not run any more.
            given_up = row.run_id == message["run_id"]
            return "unknown" if given_up else "run"
        if row.digest and row.digest != message["digest"]:
            return "reused"
        if row.run_id == message["run_id"]:
            return "run"
        if row.state == RunState.DONE:
            if row.answer is not None:
                return "done"
            return "run" if idempotent else "unknown"
        if self.runners.may_end(row.runner, idempotent):
            return "running"
        return "run" if idempotent else "unknown"

    def may_be_lost(self, slot: int, issued_ms: int | None) -> bool:
        """Tells whether a key without a record may have run."""
        keeper = self.keeper
        since = keeper.tables.incomplete_since(slot, keeper.now_ms())
        if since is None:
            return False
        return issued_ms is None or issued_ms <= since + ISSUED_AFTER_MS

    def wait(self, slot: int, key: str, runner: str) -> dict[str, Any]:
        """Waits a moment for the end of the run."""
        event = self.waiting.setdefault(key, Event())
        gevent.spawn(self.check_runner, key, runner)
        event.wait(LONG_POLL_S)
        row = self.rows.row(slot, key)
        if self.keeper.held_lease(slot) is None or row is None:
            return not_owner(self.keeper, slot)
        if row.state == RunState.DONE and row.answer is not None:
            return {"outcome": "done", "answer": row.answer}
        # Anything else is decided by the next message.
        return {"outcome": "running"}

    def check_runner(self, key: str, runner: str) -> None:
        """Ends the wait at once when the runner's process is gone."""
        if self.runners.check(runner):
            self.wake(key)

    def wake(self, key: str) -> None:
        """Lets waiting requests with a key be judged again."""
        event = self.waiting.pop(key, None)
        if event is not None:
            event.set()

    def on_end(self, message: dict[str, Any]) -> dict[str, Any]:
        """Stores the end of a run, on all copies."""
        slot, key = message["slot"], message["key"]
        lease = self.keeper.held_lease(slot)
        if lease is None:
            return not_owner(self.keeper, slot)
        row = self.rows.row(slot, key)
        if row is not None and row.run_id != message["run_id"]:
            return {}  # Another attempt was allowed meanwhile.
        # An unknown key is noted as freed too: a delayed `run_begin` of the
        # call that gave up must not register it afterwards.
        answer = message["answer"]
        ended = RunRow(
            attempt=row.attempt if row else 1,
            state=RunState.DONE if message["ran"] else RunState.FREE,
            fence=lease.offset,
            digest=row.digest if row else message["digest"],
            run_id=message["run_id"],
            runner=message["runner"],
            at_ms=self.keeper.now_ms(),
            answer=answer,
            size=len(msgspec.json.encode(answer)) if answer else 0,
        )
        if row is None or ended.rank() > row.rank():
            self.rows.put(slot, key, ended)
        else:
            ended = row
        copied = self.rows.replicate(slot, key, ended)
        self.wake(key)
        return {} if copied else {"retry": "copies"}

    def new_row(
        self, slot: int, old: RunRow | None, message: dict[str, Any]
    ) -> RunRow:
        """Returns the row of a new attempt."""
        lease = self.keeper.fold.leases[slot]
        return RunRow(
            attempt=old.attempt + 1 if old else 1,
            state=RunState.RUNNING,
            fence=lease.offset,
            digest=message["digest"],
            run_id=message["run_id"],
            runner=message["runner"],
            at_ms=self.keeper.now_ms(),
        )

    # Bounds

    def sweep(self) -> None:
        """Removes expired keys and the oldest answers beyond their bound."""
        retention_ms = 1000 * self.keeper.timings.run_retention_s
        expired = self.keeper.now_ms() - retention_ms
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
            if total <= ALL_ANSWERS_BYTES:
                break
            found = self.table.get(slot, key)
            if found is not None:
                total -= found["size"]
                self.table.put(slot, key, {**found, "answer": None, "size": 0})
