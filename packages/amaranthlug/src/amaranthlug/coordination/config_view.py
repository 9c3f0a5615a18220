"""Configuration in force on this node, and withdrawals learned from peers."""

import logging
import math
import time
import uuid
from typing import Any

from result import Err, Ok, Result

from amaranthlug.coordination.peers import (
    LogFeed,
    MemberView,
    RecordWriter,
    Rumours,
)
from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.timers import TimerService
from amaranthlug.state.catalog import Catalog, VersionId
from amaranthlug.state.publications import ConfigState, apply_entry
from amaranthlug.state.records import ConfigSnapshot, LogEntry, Withdrawal
from amaranthlug.state.refusal import Refusal, RefusalCode, refuse
from amaranthlug.state.rendezvous import rendezvous_order
from amaranthlug.state.withdrawals import Withdrawals

TOPIC = "withdrawal"
"""Topic of rumours that announce withdrawals."""

APPEND_CHECK_PERIOD_S = 2.0
"""Period of the check for withdrawals that are not on the log, in seconds."""

APPENDING_NODES = 2
"""Nodes that append a withdrawal when the node that made it may be gone; two,
so that one may fail. Duplicates have the same id and so only one effect."""

REAPPEND_INTERVAL_S = 30.0
"""Time after which a withdrawal that was enqueued but is not on the log yet is
enqueued again, in seconds."""

MAX_CONFIRMED_AGE_S = 3.0
"""Confirmed age above which the log counts as unreachable, in seconds."""

RETRY_AFTER_S = 2.0
"""Time after which a refused caller should retry, in seconds."""

log = logging.getLogger(__name__)


class ConfigView:
    """Implements `CatalogView` and the exchange section `withdrawals`.

    The section contains only withdrawals that are not on the log yet, for nodes
    that start during an outage of the log. Usually it is empty.

    Attributes:
        state: Configuration computed from the log.
        peer_withdrawals: Withdrawals announced by this node or by peers.
        withdrawals: `peer_withdrawals` merged with those on the log.
        in_force_at: Unix time at which the revision took effect here, in
            seconds.
    """

    name = "withdrawals"

    def __init__(
        self,
        feed: LogFeed,
        writer: RecordWriter,
        rumours: Rumours,
        members: MemberView,
        timers: TimerService,
        metrics: Metrics,
        confirm_limit_s: float = 6.0,
    ):
        """Subscribes to the feed and to rumours of withdrawals."""
        self.feed = feed
        self.writer = writer
        self.rumours = rumours
        self.members = members
        self.timers = timers
        self.metrics = metrics
        self.confirm_limit_s = confirm_limit_s
        self.state = ConfigState()
        self.peer_withdrawals = Withdrawals()
        self.reasons: dict[str, str] = {}
        self.enqueued_at: dict[str, float] = {}
        self.withdrawals = Withdrawals()
        self.in_force_at = 0.0
        rumours.subscribe(TOPIC, self.on_rumour)
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Starts the periodic check for withdrawals that are not on the log."""
        self.timers.every(
            "withdrawals", APPEND_CHECK_PERIOD_S, self.append_unlogged
        )

    # CatalogView

    def catalog(self) -> Catalog:
        """Returns the newest accepted configuration."""
        return self.state.catalog

    def is_withdrawn(self, version: VersionId) -> bool:
        """Returns whether a version must not receive new requests."""
        return self.withdrawals.is_withdrawn(str(version))

    def may_serve(self) -> Result[None, Refusal]:
        """Refuses if the configuration may be out of date.

        A disconnected node cannot know of newer publications, so it refuses.
        While it hears from a majority, the log is unreachable for all nodes
        and no publication can have been accepted.
        """
        if self.state.revision < 0:
            return Err(
                refuse(
                    RefusalCode.NO_CONFIGURATION,
                    "no configuration is in force on this node",
                    "publish one, or retry at another node",
                    retry_after_s=RETRY_AFTER_S,
                )
            )
        age_s = self.feed.confirmed_age()
        if not self.state.is_settled or math.isinf(age_s):
            return Err(
                self.refuse_unconfirmed("records of the log are missing")
            )
        if age_s <= self.confirm_limit_s or self.members.heard_majority():
            return Ok(None)
        return Err(
            self.refuse_unconfirmed(
                f"the configuration was last confirmed {age_s:.1f} s ago and "
                "no majority of nodes was heard from"
            )
        )

    def refuse_unconfirmed(self, message: str) -> Refusal:
        """Returns the refusal for a configuration that may be out of date."""
        return refuse(
            RefusalCode.UNCONFIRMED_CONFIGURATION,
            message,
            "retry at another node; check this node's network",
            retry_after_s=RETRY_AFTER_S,
        )

    # Records of the log

    def apply(self, entry: LogEntry) -> None:
        """Applies a record of the log."""
        before = self.state
        self.state, verdict = apply_entry(before, entry)
        if verdict is not None and not verdict.accepted:
            self.metrics.incr("config.rejected")
            log.warning("publication %s: %s", verdict.id, verdict)
        if self.state.revision != before.revision:
            self.in_force_at = time.time()
            self.metrics.gauge("config.revision", self.state.revision)
            log.info("configuration %d is in force", self.state.revision)
        if self.state.withdrawals is not before.withdrawals:
            self.withdrawals = self.peer_withdrawals.merged(
                self.state.withdrawals
            )

    def snapshot(self) -> ConfigSnapshot | None:
        """Returns a snapshot for a peer, None while records are missing.

        Before the end of the log is reached, a later record may still contain
        the configuration.
        """
        at_end = self.feed.confirmed_age() <= MAX_CONFIRMED_AGE_S
        if not (self.state.complete or (self.state.is_settled and at_end)):
            return None
        return self.state.snapshot(
            f"snapshot-{uuid.uuid4().hex}", at=time.time()
        )

    def is_incomplete(self) -> bool:
        """Returns whether this node lacks records that have expired."""
        return not self.state.complete

    # Withdrawals

    def withdraw(self, version: VersionId, reason: str) -> None:
        """Withdraws a version here first, then on peers and on the log."""
        if self.is_withdrawn(version):
            return
        name = str(version)
        epoch = self.withdrawals.epoch(name)
        self.rumours.spread(
            TOPIC, {"version": name, "epoch": epoch, "reason": reason}
        )
        self.enqueue(name, epoch)

    def enqueue(self, name: str, epoch: int) -> None:
        """Enqueues a withdrawal's record unless that was done recently."""
        record = self.make_record(name, epoch)
        now = self.timers.now()
        if (
            now - self.enqueued_at.get(record.id, -math.inf)
            < REAPPEND_INTERVAL_S
        ):
            return
        if self.writer.enqueue(record):
            self.enqueued_at[record.id] = now

    def on_rumour(self, fact: dict[str, Any]) -> bool:
        """Merges a withdrawal; returns whether it was new."""
        name, epoch = str(fact["version"]), int(fact["epoch"])
        merged = self.withdrawals.with_withdrawn(name, epoch)
        if merged is self.withdrawals:
            return False
        self.reasons[name] = str(fact.get("reason", ""))
        self.peer_withdrawals = self.peer_withdrawals.with_withdrawn(
            name, epoch
        )
        self.withdrawals = merged
        self.metrics.incr("config.withdrawals_heard")
        log.warning("%s is withdrawn: %s", name, self.reasons[name])
        return True

    def make_record(self, name: str, epoch: int) -> Withdrawal:
        """Returns the record of a withdrawal, with the same id on all nodes."""
        return Withdrawal(
            id=f"withdrawal-{name}-{epoch}",
            at=time.time(),
            version=name,
            epoch=epoch,
            reason=self.reasons.get(name, ""),
        )

    def list_unlogged(self) -> dict[str, int]:
        """Returns withdrawals that are not on the log, with their epochs."""
        known = self.state.withdrawals
        return {
            name: epoch
            for name, epoch in self.peer_withdrawals.withdrawn.items()
            if known.with_withdrawn(name, epoch) is not known
            and epoch >= known.epoch(name)
        }

    def append_unlogged(self) -> None:
        """Appends withdrawals that their node has not written to the log."""
        if self.feed.confirmed_age() > MAX_CONFIRMED_AGE_S:
            return
        me = self.members.me.incarnation
        live = {member.incarnation for member in self.members.live()} | {me}
        if me not in rendezvous_order(TOPIC, live)[:APPENDING_NODES]:
            return
        for name, epoch in self.list_unlogged().items():
            self.enqueue(name, epoch)

    # ExchangeSection

    def outgoing(self) -> dict[str, Any]:
        """Returns withdrawals that are not on the log yet."""
        return {
            name: {"epoch": epoch, "reason": self.reasons.get(name, "")}
            for name, epoch in self.list_unlogged().items()
        }

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges the withdrawals that a peer has sent."""
        for name, fact in section.items():
            self.on_rumour({"version": name, **fact})

    # Status

    def status(self) -> dict[str, Any]:
        """Returns the configuration part of /statusz.

        `in_force_at` is the Unix time, in seconds, at which the revision took
        effect on this node.
        """
        age_s = self.feed.confirmed_age()
        return {
            "revision": self.state.revision,
            "in_force_at": self.in_force_at,
            "position": self.state.position,
            "confirmed_age_s": None if math.isinf(age_s) else round(age_s, 3),
            "complete": self.state.is_settled,
            "withdrawals": sorted(
                name
                for name in self.withdrawals.withdrawn
                if self.withdrawals.is_withdrawn(name)
            ),
        }
