"""Configuration in force on this node, and withdrawals that spread by peers."""

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
"""Topic of rumours about withdrawals."""

APPEND_CHECK_S = 2.0
"""Period of the check for withdrawals that the log lacks, in seconds."""

APPENDERS = 2
"""Nodes that append a withdrawal whose finder may be gone; two, so that one
may be lost. Repeats have one effect, as they carry the same id."""

APPEND_AGAIN_S = 30.0
"""Time after which a withdrawal that was enqueued here but is not on the log
yet is enqueued again, in seconds."""

CONFIRMED_S = 3.0
"""Confirmed age above which the log is taken for unreachable, in seconds."""

RETRY_AFTER_S = 2.0
"""Seconds after which a refused caller should come back."""

log = logging.getLogger(__name__)


class ConfigView:
    """Implements `CatalogView` and the exchange section `withdrawals`.

    The section carries only withdrawals that are not on the log yet, so that
    nodes which start during an outage learn of them; usually it is empty.
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
        self.spread = Withdrawals()
        self.reasons: dict[str, str] = {}
        self.enqueued_at: dict[str, float] = {}
        self.withdrawals = Withdrawals()
        self.in_force_at = 0.0
        rumours.subscribe(TOPIC, self.on_rumour)
        feed.subscribe(self.apply)

    def start(self) -> None:
        """Subscribes the check for unwritten withdrawals."""
        self.timers.every("withdrawals", APPEND_CHECK_S, self.append_missing)

    # CatalogView

    def catalog(self) -> Catalog:
        """Returns the newest accepted configuration."""
        return self.state.catalog

    def is_withdrawn(self, version: VersionId) -> bool:
        """Tells whether a version may receive no new work."""
        return self.withdrawals.is_withdrawn(str(version))

    def may_serve(self) -> Result[None, Refusal]:
        """Refuses when the configuration can no longer be confirmed.

        A node that is cut off cannot know what was published since, so it
        refuses. While it hears a majority, the log is out for everybody and
        nothing can have been accepted.
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
            return Err(self.unconfirmed("records of the log are missing"))
        if age_s <= self.confirm_limit_s or self.members.heard_majority():
            return Ok(None)
        return Err(
            self.unconfirmed(
                f"the configuration was confirmed {age_s:.1f} s ago and no "
                "majority of nodes is heard"
            )
        )

    def unconfirmed(self, message: str) -> Refusal:
        """Returns the refusal of a node that may be out of date."""
        return refuse(
            RefusalCode.UNCONFIRMED_CONFIGURATION,
            message,
            "retry at another node; check this node's network",
            retry_after_s=RETRY_AFTER_S,
        )

    # Fold of the log

    def apply(self, entry: LogEntry) -> None:
        """Folds a record of the log."""
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
            self.withdrawals = self.spread.merged(self.state.withdrawals)

    def snapshot(self) -> ConfigSnapshot | None:
        """Returns a snapshot for a peer, None while records are missing.

        Before the end of the log is reached, the absence of a configuration
        shows nothing.
        """
        at_end = self.feed.confirmed_age() <= CONFIRMED_S
        if not (self.state.complete or (self.state.is_settled and at_end)):
            return None
        return self.state.snapshot(
            f"snapshot-{uuid.uuid4().hex}", at=time.time()
        )

    def is_incomplete(self) -> bool:
        """Tells whether expired records are missing here."""
        return not self.state.complete

    # Withdrawals

    def withdraw(self, version: VersionId, reason: str) -> None:
        """Withdraws a version here at once, then on peers and on the log."""
        if self.is_withdrawn(version):
            return
        name = str(version)
        epoch = self.withdrawals.epoch(name)
        self.rumours.spread(
            TOPIC, {"version": name, "epoch": epoch, "reason": reason}
        )
        self.enqueue(name, epoch)

    def enqueue(self, name: str, epoch: int) -> None:
        """Enqueues the record of a withdrawal unless that was done lately."""
        record = self.record(name, epoch)
        now = self.timers.now()
        if now - self.enqueued_at.get(record.id, -math.inf) < APPEND_AGAIN_S:
            return
        if self.writer.enqueue(record):
            self.enqueued_at[record.id] = now

    def on_rumour(self, fact: dict[str, Any]) -> bool:
        """Merges a withdrawal; True when it was new."""
        name, epoch = str(fact["version"]), int(fact["epoch"])
        merged = self.withdrawals.with_withdrawn(name, epoch)
        if merged is self.withdrawals:
            return False
        self.reasons[name] = str(fact.get("reason", ""))
        self.spread = self.spread.with_withdrawn(name, epoch)
        self.withdrawals = merged
        self.metrics.incr("config.withdrawals_heard")
        log.warning("%s is withdrawn: %s", name, self.reasons[name])
        return True

    def record(self, name: str, epoch: int) -> Withdrawal:
        """Returns the record that every node writes for a withdrawal."""
        return Withdrawal(
            id=f"withdrawal-{name}-{epoch}",
            at=time.time(),
            version=name,
            epoch=epoch,
            reason=self.reasons.get(name, ""),
        )

    def unwritten(self) -> dict[str, int]:
        """Returns spread withdrawals that the log lacks, with their epochs."""
        known = self.state.withdrawals
        return {
            name: epoch
            for name, epoch in self.spread.withdrawn.items()
            if known.with_withdrawn(name, epoch) is not known
            and epoch >= known.epoch(name)
        }

    def append_missing(self) -> None:
        """Appends withdrawals whose finder may be gone."""
        if self.feed.confirmed_age() > CONFIRMED_S:
            return
        me = self.members.me.incarnation
        live = {member.incarnation for member in self.members.live()} | {me}
        if me not in rendezvous_order(TOPIC, live)[:APPENDERS]:
            return
        for name, epoch in self.unwritten().items():
            self.enqueue(name, epoch)

    # ExchangeSection

    def outgoing(self) -> dict[str, Any]:
        """Returns withdrawals that are not on the log yet."""
        return {
            name: {"epoch": epoch, "reason": self.reasons.get(name, "")}
            for name, epoch in self.unwritten().items()
        }

    def incoming(self, sender: str, section: dict[str, Any]) -> None:
        """Merges withdrawals of a peer."""
        for name, fact in section.items():
            self.on_rumour({"version": name, **fact})

    # Status

    def status(self) -> dict[str, Any]:
        """Returns the part of /statusz about configuration.

        `in_force_at` is the Unix time, in seconds, at which this node took
        over the revision.
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
