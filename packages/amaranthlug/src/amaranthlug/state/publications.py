"""Computes the configuration in force from the records on the log.

Every node applies the same records with `apply_entry` and reaches the same
configuration. Whether a publication is accepted depends only on the state and
the record, so no record ids need to be remembered: accepting a publication
advances the revision past its base, so a second copy is always rejected, also
by a node that started from a snapshot.
"""

import dataclasses
from collections.abc import Mapping
from typing import Any

from result import Err

from amaranthlug.state.catalog import Catalog
from amaranthlug.state.catalog_check import build_catalog
from amaranthlug.state.parts import PartProblem, Parts
from amaranthlug.state.records import (
    AnyRecord,
    ConfigSnapshot,
    LogEntry,
    Publication,
    Readmission,
    Withdrawal,
)
from amaranthlug.state.withdrawals import Withdrawals

MAX_HISTORY = 64
"""Number of accepted publications kept, to report which one won a race."""


@dataclasses.dataclass(frozen=True)
class AcceptedPublication:
    """A publication that took effect as `revision`; `paths` lists its parts."""

    id: str
    revision: int
    operator: str
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Verdict:
    """Whether a publication was accepted, and why not.

    Attributes:
        offset: Offset of the publication on the log.
        winners: Publications accepted after its base and before its offset.
        problems: Problems that the resulting configuration would have.
    """

    id: str
    offset: int
    operator: str
    accepted: bool
    winners: tuple[AcceptedPublication, ...] = ()
    problems: tuple[PartProblem, ...] = ()

    def __str__(self) -> str:
        """Returns the verdict as a message for operators."""
        if self.accepted:
            return f"accepted as revision {self.offset}"
        if self.problems:
            problems = "; ".join(str(problem) for problem in self.problems)
            return f"rejected, the result would be invalid: {problems}"
        if not self.winners:
            return (
                "rejected, its base is not the revision in force; "
                "publish again against the revision in force"
            )
        names = "; ".join(
            f"{winner.operator} published revision {winner.revision} with "
            f"{', '.join(winner.paths)}"
            for winner in self.winners
        )
        return (
            f"rejected, the configuration changed meanwhile: {names}; "
            "review these parts and publish again"
        )


@dataclasses.dataclass(frozen=True)
class ConfigState:
    """Configuration after all records up to a position.

    Attributes:
        position: Offset of the last record applied, -1 for none.
        complete: False while earlier records are missing and no snapshot has
            covered them; publications are then queued in `pending`.
        first_after_gap: Offset of the first record after the last gap, 0 if
            there was none.
        pending: Publications since the last gap, with their offsets, while the
            state is incomplete.
        unseen_configuration_exists: A snapshot that does not cover the gap
            shows that some configuration is in force, so a first publication
            is not accepted.
        history: Last accepted publications, oldest first.
    """

    position: int = -1
    parts: Parts = dataclasses.field(default_factory=dict)
    catalog: Catalog = dataclasses.field(default_factory=Catalog)
    withdrawals: Withdrawals = dataclasses.field(default_factory=Withdrawals)
    complete: bool = True
    first_after_gap: int = 0
    pending: tuple[tuple[int, Publication], ...] = ()
    unseen_configuration_exists: bool = False
    history: tuple[AcceptedPublication, ...] = ()

    @property
    def revision(self) -> int:
        """Returns the revision in force, -1 before the first publication."""
        return self.catalog.revision

    @property
    def is_tentative(self) -> bool:
        """Returns whether the configuration was accepted despite a gap.

        A node without any configuration accepts a first publication although
        earlier records have expired. The log always keeps a snapshot while
        nodes are running, so its absence means that no configuration was in
        force.
        """
        return not self.complete and self.revision >= self.first_after_gap

    @property
    def is_settled(self) -> bool:
        """Returns whether the records applied determine the configuration.

        While the state is incomplete, this holds only at the end of the log.
        """
        unconfigured = self.revision == -1 or self.is_tentative
        return self.complete or (
            unconfigured and not self.unseen_configuration_exists
        )

    def snapshot(self, record_id: str, at: float = 0.0) -> ConfigSnapshot:
        """Returns a snapshot record of this state."""
        return ConfigSnapshot(
            id=record_id,
            at=at,
            revision=self.revision,
            parts={path: dict(body) for path, body in self.parts.items()},
            position=self.position,
            withdrawals=dict(self.withdrawals.withdrawn),
            readmissions=dict(self.withdrawals.readmitted),
        )


def apply_entry(
    state: ConfigState, entry: LogEntry
) -> tuple[ConfigState, Verdict | None]:
    """Applies one log entry; one at an offset already passed has no effect.

    A snapshot is also applied at the current position, because a peer sends one
    after its last record.

    Returns:
        The new state, and the verdict if a publication was decided.
    """
    record: AnyRecord = entry.record
    is_snapshot_at_position = (
        isinstance(record, ConfigSnapshot) and entry.offset == state.position
    )
    if entry.offset <= state.position and not is_snapshot_at_position:
        return state, None
    state = advance_position(state, entry.offset)
    if isinstance(record, Publication):
        return apply_publication(state, entry.offset, record)
    if isinstance(record, ConfigSnapshot):
        return apply_snapshot(state, record), None
    if isinstance(record, Withdrawal):
        merged = state.withdrawals.with_withdrawn(record.version, record.epoch)
        return dataclasses.replace(state, withdrawals=merged), None
    if isinstance(record, Readmission):
        merged = state.withdrawals.with_readmitted(record.version, record.epoch)
        return dataclasses.replace(state, withdrawals=merged), None
    return state, None


def advance_position(state: ConfigState, offset: int) -> ConfigState:
    """Sets the position; if offsets were skipped, the state is incomplete."""
    if offset <= state.position + 1:
        return dataclasses.replace(state, position=offset)
    return dataclasses.replace(
        state,
        position=offset,
        complete=False,
        first_after_gap=offset,
        pending=(),
    )


def apply_publication(
    state: ConfigState, offset: int, record: Publication
) -> tuple[ConfigState, Verdict | None]:
    """Accepts or rejects a publication as a whole, or queues it as pending."""
    if state.complete:
        return decide_publication(state, offset, record)
    queued = dataclasses.replace(
        state, pending=(*state.pending, (offset, record))
    )
    if state.is_settled:
        return decide_publication(queued, offset, record)
    return queued, None


def decide_publication(
    state: ConfigState, offset: int, record: Publication
) -> tuple[ConfigState, Verdict]:
    """Returns the state after a publication, and the verdict."""
    if record.base != state.revision:
        winners = tuple(
            winner for winner in state.history if winner.revision > record.base
        )
        return state, Verdict(
            record.id, offset, record.operator, False, winners=winners
        )
    parts = apply_changes(state.parts, record.parts, record.deleted)
    built = build_catalog(parts, offset)
    if isinstance(built, Err):
        return state, Verdict(
            record.id,
            offset,
            record.operator,
            False,
            problems=tuple(built.err_value),
        )
    paths = tuple(sorted({*record.parts, *record.deleted}))
    accepted = AcceptedPublication(record.id, offset, record.operator, paths)
    after = dataclasses.replace(
        state,
        parts=parts,
        catalog=built.ok_value,
        history=(*state.history, accepted)[-MAX_HISTORY:],
    )
    return after, Verdict(record.id, offset, record.operator, True)


def apply_changes(
    parts: Parts, changed: Parts, deleted: list[str]
) -> dict[str, Mapping[str, Any]]:
    """Returns parts after a change; deletions are applied first."""
    after = {
        path: body for path, body in parts.items() if path not in set(deleted)
    }
    after.update(changed)
    return after


def apply_snapshot(state: ConfigState, record: ConfigSnapshot) -> ConfigState:
    """Merges withdrawals and, if records are missing, the configuration.

    A complete state already includes everything in a snapshot, so an old or
    repeated snapshot never replaces its configuration. An incomplete state
    adopts a snapshot only if it has every record after it.
    """
    merged = state.withdrawals.merged(
        Withdrawals(record.withdrawals, record.readmissions)
    )
    state = dataclasses.replace(state, withdrawals=merged)
    is_older = record.revision < state.revision < state.first_after_gap
    if state.complete or is_older:
        return state
    if record.position + 1 < state.first_after_gap:
        return revoke_tentative(state) if record.revision >= 0 else state
    built = build_catalog(record.parts, record.revision)
    if isinstance(built, Err):
        return state
    after = dataclasses.replace(
        state,
        parts=record.parts,
        catalog=built.ok_value,
        complete=True,
        pending=(),
        unseen_configuration_exists=False,
        history=tuple(
            winner
            for winner in state.history
            if winner.revision < state.first_after_gap
        ),
    )
    for offset, publication in state.pending:
        if offset > record.position:
            after, _ = decide_publication(after, offset, publication)
    return after


def revoke_tentative(state: ConfigState) -> ConfigState:
    """Discards a tentative configuration, as an earlier one exists."""
    if not state.is_tentative:
        return dataclasses.replace(state, unseen_configuration_exists=True)
    return dataclasses.replace(
        state,
        unseen_configuration_exists=True,
        parts={},
        catalog=Catalog(),
        history=(),
    )
