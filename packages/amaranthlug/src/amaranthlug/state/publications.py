"""Fold of publications, snapshots, withdrawals and readmissions.

Every node folds the same records with `apply_entry` and reaches the same
configuration. Whether a publication is accepted depends only on the state and
the record, not on a memory of ids: an accepted one moved the revision beyond
its own base, so a second copy is always rejected, also by a node that started
from a snapshot.
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

HISTORY = 64
"""Accepted publications kept to name the winner of a lost race."""


@dataclasses.dataclass(frozen=True)
class Accepted:
    """A publication that came into force at `revision`."""

    id: str
    revision: int
    operator: str
    paths: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Verdict:
    """What the fold decided about a publication.

    Attributes:
        winners: Publications accepted between its base and its own place.
        problems: Why the resulting configuration would be invalid.
    """

    id: str
    offset: int
    operator: str
    accepted: bool
    winners: tuple[Accepted, ...] = ()
    problems: tuple[PartProblem, ...] = ()

    def __str__(self) -> str:
        """Returns the verdict as an operator reads it."""
        if self.accepted:
            return f"accepted as revision {self.offset}"
        if self.problems:
            found = "; ".join(str(problem) for problem in self.problems)
            return f"rejected, the result would be invalid: {found}"
        if not self.winners:
            return (
                "rejected, its base is not the revision in force; "
                "publish again against the revision in force"
            )
        names = "; ".join(
            f"{won.operator} published revision {won.revision} with "
            f"{', '.join(won.paths)}"
            for won in self.winners
        )
        return (
            f"rejected, the configuration changed meanwhile: {names}; "
            "review these parts and publish again"
        )


@dataclasses.dataclass(frozen=True)
class ConfigState:
    """Configuration as folded up to a position.

    Attributes:
        position: Offset of the last record seen, -1 for none.
        complete: False while earlier records are missing and no snapshot has
            covered them; publications then wait in `pending`.
        first: Offset of the first record since the last gap.
        pending: Publications seen since the last gap while incomplete.
        exists: A snapshot that does not cover the gap shows that some
            configuration is in force; no first publication is accepted then.
        history: Last accepted publications, oldest first.
    """

    position: int = -1
    parts: Parts = dataclasses.field(default_factory=dict)
    catalog: Catalog = dataclasses.field(default_factory=Catalog)
    withdrawals: Withdrawals = dataclasses.field(default_factory=Withdrawals)
    complete: bool = True
    first: int = 0
    pending: tuple[tuple[int, Publication], ...] = ()
    exists: bool = False
    history: tuple[Accepted, ...] = ()

    @property
    def revision(self) -> int:
        """Returns the revision in force, -1 before the first publication."""
        return self.catalog.revision

    @property
    def is_tentative(self) -> bool:
        """Tells whether what is in force was accepted despite a gap.

        A node without any configuration accepts a first publication although
        earlier records have expired: a snapshot is always kept while nodes
        live, so its absence means that nothing was in force.
        """
        return not self.complete and self.revision >= self.first

    @property
    def is_settled(self) -> bool:
        """Tells whether the configuration follows from the records seen.

        Without a complete history this holds only at the end of the log.
        """
        nothing = self.revision == -1 or self.is_tentative
        return self.complete or (nothing and not self.exists)

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
    """Folds one record; a record at an old offset changes nothing.

    A snapshot may come at the position already reached, because a peer sends
    one after its last record.
    """
    record: AnyRecord = entry.record
    snapshot_again = (
        isinstance(record, ConfigSnapshot) and entry.offset == state.position
    )
    if entry.offset <= state.position and not snapshot_again:
        return state, None
    state = moved_to(state, entry.offset)
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


def moved_to(state: ConfigState, offset: int) -> ConfigState:
    """Moves the position and notes a gap before it."""
    if offset <= state.position + 1:
        return dataclasses.replace(state, position=offset)
    return dataclasses.replace(
        state, position=offset, complete=False, first=offset, pending=()
    )


def apply_publication(
    state: ConfigState, offset: int, record: Publication
) -> tuple[ConfigState, Verdict | None]:
    """Accepts a publication whole, rejects it whole, or keeps it for later."""
    if state.complete:
        return decided(state, offset, record)
    kept = dataclasses.replace(
        state, pending=(*state.pending, (offset, record))
    )
    if state.is_settled:
        return decided(kept, offset, record)
    return kept, None


def decided(
    state: ConfigState, offset: int, record: Publication
) -> tuple[ConfigState, Verdict]:
    """Returns the state after a publication and the verdict on it."""
    if record.base != state.revision:
        winners = tuple(
            won for won in state.history if won.revision > record.base
        )
        return state, Verdict(
            record.id, offset, record.operator, False, winners=winners
        )
    parts = changed_parts(state.parts, record.parts, record.deleted)
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
    accepted = Accepted(record.id, offset, record.operator, paths)
    after = dataclasses.replace(
        state,
        parts=parts,
        catalog=built.ok_value,
        history=(*state.history, accepted)[-HISTORY:],
    )
    return after, Verdict(record.id, offset, record.operator, True)


def changed_parts(
    parts: Parts, changed: Parts, deleted: list[str]
) -> dict[str, Mapping[str, Any]]:
    """Returns parts with a change applied; a deletion comes first."""
    after = {
        path: body for path, body in parts.items() if path not in set(deleted)
    }
    after.update(changed)
    return after


def apply_snapshot(state: ConfigState, record: ConfigSnapshot) -> ConfigState:
    """Merges withdrawals and, where records are missing, the configuration.

    A complete state already has everything that a snapshot tells, so an old
    or a repeated snapshot never replaces its configuration. An incomplete one
    takes a snapshot only if it has seen every record after it.
    """
    merged = state.withdrawals.merged(
        Withdrawals(record.withdrawals, record.readmissions)
    )
    state = dataclasses.replace(state, withdrawals=merged)
    reverts = record.revision < state.revision < state.first
    if state.complete or reverts:
        return state
    if record.position + 1 < state.first:
        return without_tentative(state) if record.revision >= 0 else state
    built = build_catalog(record.parts, record.revision)
    if isinstance(built, Err):
        return state
    after = dataclasses.replace(
        state,
        parts=record.parts,
        catalog=built.ok_value,
        complete=True,
        pending=(),
        exists=False,
        history=tuple(
            won for won in state.history if won.revision < state.first
        ),
    )
    for offset, publication in state.pending:
        if offset > record.position:
            after, _ = decided(after, offset, publication)
    return after


def without_tentative(state: ConfigState) -> ConfigState:
    """Takes back a first publication after proof that it was not the first."""
    if not state.is_tentative:
        return dataclasses.replace(state, exists=True)
    return dataclasses.replace(
        state, exists=True, parts={}, catalog=Catalog(), history=()
    )
