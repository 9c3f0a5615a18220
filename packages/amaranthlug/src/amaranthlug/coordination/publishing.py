"""Publishing, withdrawing and readmitting from an operator's machine.

These functions use only the log and need no node. A publication waits while the
log is unreachable. Whether it was accepted is always read from the log.
"""

import dataclasses
import math
import time
import uuid
from collections.abc import Callable, Sequence
from typing import Any

import gevent
from result import Err, Ok, Result

from amaranthlug.coordination.log_writer import LogWriter
from amaranthlug.coordination.platform import (
    LogService,
    Metrics,
    PlatformError,
)
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.parts import Parts
from amaranthlug.state.publications import (
    AcceptedPublication,
    ConfigState,
    Verdict,
    apply_entry,
)
from amaranthlug.state.record_codec import decode_record
from amaranthlug.state.records import (
    AnyRecord,
    LogEntry,
    Publication,
    Readmission,
    Withdrawal,
)

MAX_PAGE_RECORDS = 1_000
STATUS_POLL_S = 0.1
"""Period of reading the status of each node, in seconds."""


@dataclasses.dataclass(frozen=True)
class PublishError:
    """Error of a publication, withdrawal or readmission.

    Attributes:
        winners: Publications accepted instead, oldest first.
        unknown: The record may be on the log nevertheless.
    """

    message: str
    winners: tuple[AcceptedPublication, ...] = ()
    unknown: bool = False


@dataclasses.dataclass(frozen=True)
class Published:
    """A publication accepted on the log.

    Attributes:
        paths: Changed and deleted parts; empty if nothing differed.
        seconds: Time from the start of the append to the verdict.
    """

    revision: int
    paths: tuple[str, ...]
    seconds: float


@dataclasses.dataclass(frozen=True)
class PropagationTimes:
    """Times until a revision was in force at each node.

    Attributes:
        seconds: Time by address of the node.
        missing: Nodes at which it was not in force before the timeout.
    """

    seconds: dict[str, float]
    missing: tuple[str, ...]


class NullMetrics:
    """Implements `Metrics` for commands, which send none."""

    def incr(self, name: str, count: int = 1) -> None:
        """Ignores a count."""

    def gauge(self, name: str, value: float) -> None:
        """Ignores a gauge."""

    def timing(self, name: str, milliseconds: float) -> None:
        """Ignores a duration."""


class LogSession:
    """Access of one command to the log, from the oldest available record.

    Attributes:
        state: Configuration computed from the records read so far.
        verdicts: Verdict on each publication, by its id.
        subscribers: Called with each entry read.
    """

    def __init__(
        self,
        log_service: LogService,
        timeout_s: float,
        timers: TimerService | None = None,
        metrics: Metrics | None = None,
    ):
        """Creates a session that waits up to `timeout_s` for the log."""
        self.log_service = log_service
        self.timeout_s = timeout_s
        self.timers = timers or TimerService()
        self.metrics = metrics or NullMetrics()
        self.state = ConfigState()
        self.verdicts: dict[str, Verdict] = {}
        self.subscribers: list[Callable[[LogEntry], object]] = []

    def read(self) -> Result[ConfigState, PlatformError]:
        """Reads to the end of the log, retrying until the timeout."""
        deadline = self.timers.now() + self.timeout_s
        while True:
            read = self.log_service.read(
                self.state.position, MAX_PAGE_RECORDS, 0
            )
            if isinstance(read, Err):
                if read.err_value.expired and self.state.position >= 0:
                    self.state = ConfigState()
                elif self.timers.now() > deadline:
                    return read
                gevent.sleep(self.timers.jittered(0.2))
                continue
            page = read.ok_value
            for raw in page.records:
                self.apply(decode_record(raw.offset, raw.record))
            if not page.records or self.state.position + 1 >= page.end:
                return Ok(self.state)

    def apply(self, entry: LogEntry) -> None:
        """Applies an entry and stores the verdict on a publication."""
        self.state, verdict = apply_entry(self.state, entry)
        if verdict is not None:
            known_verdict = self.verdicts.get(verdict.id)
            # A duplicate of an accepted publication is rejected.
            if known_verdict is None or not known_verdict.accepted:
                self.verdicts[verdict.id] = verdict
        for subscriber in self.subscribers:
            subscriber(entry)

    def append(self, record: AnyRecord) -> Result[int, PlatformError]:
        """Appends a record with one effect, retrying until the timeout."""
        writer = LogWriter(
            self.log_service,
            lambda: self.state.position,
            self.timers,
            self.metrics,
            append_wait_s=self.timeout_s,
        )
        writer.start()
        try:
            return writer.append(record)
        finally:
            writer.stop()


def diff_parts(
    in_force: Parts, wanted: Parts
) -> tuple[dict[str, dict[str, Any]], list[str]]:
    """Returns the changed parts and deleted paths that lead to `wanted`."""
    changed = {
        path: dict(body)
        for path, body in wanted.items()
        if in_force.get(path) != body
    }
    return changed, sorted(in_force.keys() - wanted.keys())


def publish_parts(
    session: LogSession, parts: Parts, operator: str, base: int | None
) -> Result[Published, PublishError]:
    """Publishes the difference between `parts` and what is in force.

    Args:
        session: The log.
        parts: The complete new configuration.
        operator: Name shown to operators whose concurrent publication is
            rejected.
        base: Revision that the change is based on; None for the one in force.
    """
    base_state = read_state_at_base(session, base)
    if isinstance(base_state, Err):
        return base_state
    state = base_state.ok_value
    changed, deleted = diff_parts(state.parts, parts)
    if not changed and not deleted:
        return Ok(Published(state.revision, (), 0.0))
    record = Publication(
        id=f"publication-{uuid.uuid4().hex}",
        at=time.time(),
        operator=operator,
        base=state.revision,
        parts=changed,
        deleted=deleted,
    )
    started_at = session.timers.now()
    verdict = append_and_read_verdict(session, record)
    if isinstance(verdict, Err):
        return verdict
    if not verdict.ok_value.accepted:
        rejection = verdict.ok_value
        return Err(PublishError(str(rejection), winners=rejection.winners))
    paths = tuple(sorted({*changed, *deleted}))
    seconds = session.timers.now() - started_at
    return Ok(Published(verdict.ok_value.offset, paths, seconds))


def read_state_at_base(
    session: LogSession, base: int | None
) -> Result[ConfigState, PublishError]:
    """Returns what is in force; an error if its revision is not the base."""
    read = session.read()
    if isinstance(read, Err):
        return Err(log_error(read.err_value))
    state = read.ok_value
    if not state.is_settled:
        return Err(
            PublishError(
                "records of the log have expired and no snapshot covers them; "
                "publish again when a node has written a snapshot"
            )
        )
    if base is not None and base != state.revision:
        return Err(race_lost_error(base, state))
    return Ok(state)


def append_and_read_verdict(
    session: LogSession, record: Publication
) -> Result[Verdict, PublishError]:
    """Appends a publication and reads the verdict from the log."""
    appended = session.append(record)
    if isinstance(appended, Err) and not appended.err_value.effect_unknown:
        return Err(log_error(appended.err_value))
    session.read()
    verdict = session.verdicts.get(record.id)
    if verdict is not None:
        return Ok(verdict)
    return Err(
        PublishError(
            "it is unknown whether the publication took effect; check "
            "`status` and publish again if it is not in force",
            unknown=True,
        )
    )


def race_lost_error(base: int, state: ConfigState) -> PublishError:
    """Returns the error of a change based on a revision not in force."""
    winners = tuple(won for won in state.history if won.revision > base)
    verdict = Verdict("", state.revision, "", False, winners=winners)
    return PublishError(str(verdict), winners=winners)


def log_error(error: PlatformError) -> PublishError:
    """Returns the error of a command that could not use the log."""
    return PublishError(
        f"nothing was changed because the log failed: {error.message}; "
        "try again when the log is available"
    )


def withdraw_version(
    session: LogSession, version: str, reason: str, operator: str
) -> Result[int, PublishError]:
    """Withdraws a version; returns the epoch of the withdrawal."""
    read = session.read()
    if isinstance(read, Err):
        return Err(log_error(read.err_value))
    state = read.ok_value
    if f"versions/{version}" not in state.parts:
        return Err(PublishError(f"{version} is not configured; see `status`"))
    epoch = state.withdrawals.epoch(version)
    if state.withdrawals.is_withdrawn(version):
        return Ok(epoch)
    record = Withdrawal(
        id=f"withdrawal-{version}-{epoch}",
        at=time.time(),
        version=version,
        epoch=epoch,
        reason=reason,
        operator=operator,
    )
    return append_record(session, record, epoch)


def readmit_version(
    session: LogSession, version: str, operator: str
) -> Result[int, PublishError]:
    """Readmits a version; returns the epoch of the lifted withdrawal."""
    read = session.read()
    if isinstance(read, Err):
        return Err(log_error(read.err_value))
    withdrawals = read.ok_value.withdrawals
    if not withdrawals.is_withdrawn(version):
        return Err(PublishError(f"{version} is not withdrawn; see `status`"))
    epoch = withdrawals.withdrawn[version]
    record = Readmission(
        id=f"readmission-{version}-{epoch}",
        at=time.time(),
        version=version,
        epoch=epoch,
        operator=operator,
    )
    return append_record(session, record, epoch)


def append_record(
    session: LogSession, record: AnyRecord, epoch: int
) -> Result[int, PublishError]:
    """Appends a record that no concurrent record can invalidate."""
    appended = session.append(record)
    if isinstance(appended, Err):
        error = log_error(appended.err_value)
        unknown = appended.err_value.effect_unknown
        return Err(dataclasses.replace(error, unknown=unknown))
    return Ok(epoch)


NodeStatus = Callable[[str], Result[dict[str, Any], str]]
"""Returns the /statusz of the node at an address, or an error text."""


def wait_until_in_force(
    revision: int,
    nodes: Sequence[str],
    node_status: NodeStatus,
    timeout_s: float,
    timers: TimerService,
) -> PropagationTimes:
    """Waits until a revision or a later one is in force at all nodes."""
    started_at = timers.now()
    seconds: dict[str, float] = {}

    def poll_node(address: str) -> None:
        while timers.now() - started_at < timeout_s:
            status = node_status(address)
            if isinstance(status, Ok) and (
                status.ok_value.get("revision", -math.inf) >= revision
            ):
                seconds[address] = timers.now() - started_at
                return
            gevent.sleep(timers.jittered(STATUS_POLL_S))

    gevent.joinall([gevent.spawn(poll_node, node) for node in nodes], timeout_s)
    missing = tuple(node for node in nodes if node not in seconds)
    return PropagationTimes(seconds, missing)
