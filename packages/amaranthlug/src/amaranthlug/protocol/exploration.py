"""Spends a kind's surplus of quality on cheaper options not yet known."""

import random
from collections.abc import Callable, Sequence

from amaranthlug.coordination.peers import MemberView
from amaranthlug.protocol.plan_ranking import Option
from amaranthlug.state.catalog import RequestKind
from amaranthlug.state.rendezvous import rendezvous_order

EXPLORE_SURPLUS = 0.5
"""Exploration budget: part of a kind's expected surplus above its target that
exploration may spend; the rest covers errors of the estimates."""

MIN_SURPLUS = 0.004
"""Least surplus that is counted, so that a kind close to its target explores a
little too; an exploration mostly loses 0.05 to 0.4."""

MAX_EXPLORE_SHARE = 0.25
"""Largest share of a kind's requests that explore."""

MIN_LOSS = 0.02
"""Least loss of quality that an exploration is counted with."""

EXPLORE_BURST = 1.0
"""Loss of quality that a kind can save up for, in answers."""


ADVANCE_REQUESTS = 40
"""Requests whose part of the surplus a node gets in advance for a kind, if it
is one of the first nodes of the kind."""

ADVANCED = 4
"""Nodes that get an advance for a kind. A fleet of any size then explores from
its first seconds, where nodes that all start from 0 wait for minutes."""


class Explorer:
    """Budgets by kind, in expected loss of quality."""

    def __init__(self, seed: int | None, members: MemberView):
        """Creates budgets; a seed makes choices repeatable."""
        self.random = random.Random(seed)
        self.members = members
        self.budgets: dict[str, float] = {}

    def _advance(self, kind: RequestKind, surplus: float) -> float:
        """Returns the budget that this node starts with."""
        live = [member.incarnation for member in self.members.live()]
        order = rendezvous_order(f"explore|{kind.name}", live)
        if self.members.me.incarnation not in order[:ADVANCED]:
            return 0.0
        return max(0.0, surplus) * EXPLORE_SURPLUS * ADVANCE_REQUESTS

    def earn(self, kind: RequestKind, surplus: float) -> None:
        """Adds one request's part of the surplus to a kind's budget."""
        budget = self.budgets.get(kind.name)
        if budget is None:
            budget = self._advance(kind, surplus)
        budget += max(MIN_SURPLUS, surplus) * EXPLORE_SURPLUS
        self.budgets[kind.name] = min(EXPLORE_BURST, budget)

    def pick(
        self,
        kind: RequestKind,
        chosen: Option,
        unknown: Sequence[Option],
        may_explore: Callable[[Option], bool],
    ) -> Option | None:
        """Returns an option that the budget pays for, None mostly.

        Options that lose less are tried more often.
        """
        if self.random.random() >= MAX_EXPLORE_SHARE:
            return None
        options = [option for option in unknown if may_explore(option)]
        if not options:
            return None
        losses = [max(MIN_LOSS, chosen.mean - o.mean) for o in options]
        weights = [1 / loss for loss in losses]
        (index,) = self.random.choices(range(len(options)), weights)
        if losses[index] > self.budgets[kind.name]:
            return None
        self.budgets[kind.name] -= losses[index]
        return options[index]
