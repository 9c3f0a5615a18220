"""Stage of each roll-out, folded from the log."""

import dataclasses

from amaranthlug.state.catalog import Rollout, VersionId
from amaranthlug.state.records import LogEntry, RolloutStep

NOT_STARTED = -1


def rollout_key(rollout: Rollout) -> str:
    """Returns the name of a move as it stands in step records.

    It contains both versions, so that a roll-out declared anew under the same
    name for another version starts from nothing.
    """
    move = f"{rollout.from_version}>{rollout.to_version}"
    return f"{rollout.name}|{rollout.model}|{move}"


def new_version(rollout: Rollout) -> VersionId:
    """Returns the version that a roll-out introduces."""
    return VersionId(rollout.model, rollout.to_version)


def old_version(rollout: Rollout) -> VersionId:
    """Returns the version that a roll-out replaces."""
    return VersionId(rollout.model, rollout.from_version)


@dataclasses.dataclass(frozen=True)
class RolloutState:
    """Newest accepted step.

    Attributes:
        stage: Index of the stage in force, -1 before the first; the number of
            stages when the roll-out is done.
        offset: Offset of the step; -1 without one.
        replaced: Offset that the step replaced.
    """

    stage: int = NOT_STARTED
    offset: int = -1
    replaced: int = -1


class RolloutStates:
    """Folds step records with compare and set; every node gets the same.

    A step is accepted if it replaces the newest accepted one and moves on by
    one stage or repeats the stage; the driver repeats it before the log drops
    it. A reader that starts after records have expired cannot see what an old
    step replaced. It takes the step that names the newest unseen offset, which
    only a writer that knew the accepted step can name.
    """

    def __init__(self) -> None:
        """Creates a fold without steps."""
        self.states: dict[str, RolloutState] = {}
        self.first: int | None = None

    def apply(self, entry: LogEntry) -> None:
        """Folds one record of the log, in offset order."""
        if self.first is None:
            self.first = entry.offset
        record = entry.record
        if not isinstance(record, RolloutStep):
            return
        state = self.states.get(record.rollout, RolloutState())
        if not self._accepts(record, state, self.first):
            return
        self.states[record.rollout] = RolloutState(
            record.stage, entry.offset, record.replaces
        )

    def _accepts(
        self, step: RolloutStep, state: RolloutState, first: int
    ) -> bool:
        unseen = 0 <= step.replaces < first
        if unseen:
            known = state.offset < 0 or state.replaced < first
            return known and step.replaces > state.replaced
        if step.replaces != state.offset:
            return False
        return step.stage in {state.stage, state.stage + 1} and step.stage >= 0

    def state(self, rollout: Rollout) -> RolloutState:
        """Returns the stage in force of a declared roll-out."""
        return self.states.get(rollout_key(rollout), RolloutState())

    def done(self, rollout: Rollout) -> bool:
        """Tells whether the last stage has been passed."""
        return self.state(rollout).stage >= len(rollout.stages)
