"""Stage of each roll-out, computed from the log."""

import dataclasses

from amaranthlug.state.catalog import Rollout, VersionId
from amaranthlug.state.records import LogEntry, RolloutStep

NOT_STARTED = -1


def rollout_key(rollout: Rollout) -> str:
    """Returns the name of a roll-out in step records.

    It contains both versions, so that a roll-out that reuses a name for another
    version starts at its first stage.
    """
    versions = f"{rollout.from_version}>{rollout.to_version}"
    return f"{rollout.name}|{rollout.model}|{versions}"


def new_version(rollout: Rollout) -> VersionId:
    """Returns the version that a roll-out introduces."""
    return VersionId(rollout.model, rollout.to_version)


def old_version(rollout: Rollout) -> VersionId:
    """Returns the version that a roll-out replaces."""
    return VersionId(rollout.model, rollout.from_version)


@dataclasses.dataclass(frozen=True)
class RolloutState:
    """Newest accepted step of a roll-out.

    Attributes:
        stage: Index of the current stage; -1 before the first, the number of
            stages once the roll-out is done.
        offset: Offset of the step; -1 if there is none.
        replaced: Offset of the step that it replaced.
    """

    stage: int = NOT_STARTED
    offset: int = -1
    replaced: int = -1


class RolloutStates:
    """Newest accepted step by roll-out; equal for all readers of the log.

    A step is accepted if it replaces the newest accepted one and either repeats
    its stage or advances by one. The driver repeats a step before it expires on
    the log. A reader that starts after records have expired cannot see which
    step an old one replaced. It accepts the step that replaces the highest
    unseen offset, because only a writer that knew the accepted step can name
    that offset.
    """

    def __init__(self) -> None:
        """Creates a state without steps."""
        self.states: dict[str, RolloutState] = {}
        self.first: int | None = None

    def apply(self, entry: LogEntry) -> None:
        """Applies one log entry, in offset order."""
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
        replaces_unseen = 0 <= step.replaces < first
        if replaces_unseen:
            may_follow = state.offset < 0 or state.replaced < first
            return may_follow and step.replaces > state.replaced
        if step.replaces != state.offset:
            return False
        return step.stage in {state.stage, state.stage + 1} and step.stage >= 0

    def state(self, rollout: Rollout) -> RolloutState:
        """Returns the current state of a configured roll-out."""
        return self.states.get(rollout_key(rollout), RolloutState())

    def is_done(self, rollout: Rollout) -> bool:
        """Returns whether the last stage has been completed."""
        return self.state(rollout).stage >= len(rollout.stages)
