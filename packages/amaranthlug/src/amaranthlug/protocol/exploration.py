"""Limits the exploration of cheaper options whose quality is uncertain."""

import random
from collections.abc import Callable, Sequence

from amaranthlug.coordination.peers import MemberView
from amaranthlug.protocol.plan_ranking import Option
from amaranthlug.state.catalog import RequestKind
from amaranthlug.state.rendezvous import rendezvous_order

SURPLUS_FRACTION = 0.5
"""Fraction of a kind's expected quality surplus above its target that
exploration may spend; the rest covers estimation errors."""

MIN_SURPLUS = 0.004
"""Smallest surplus credited per request, so that kinds close to their target
also explore; an exploration usually costs 0.05 to 0.4 of quality."""

MAX_EXPLORE_SHARE = 0.25
"""Maximum fraction of a kind's requests that explore."""

MIN_LOSS = 0.02
"""Minimum quality loss charged for an exploration."""

MAX_BUDGET = 1.0
"""Maximum budget of a kind: the quality loss of one entirely bad answer."""


ADVANCE_REQUESTS = 40
"""Requests whose share of the surplus is credited in advance to the nodes that
rank first for a kind."""

ADVANCE_NODES = 4
"""Nodes that start with an advance for a kind. Without it, exploration in a
large fleet starts only after minutes, as every node saves up from 0."""


class Explorer:
    """Exploration budgets by kind, in expected quality loss."""

    def __init__(self, seed: int | None, members: MemberView):
        """Creates empty budgets; a seed makes choices reproducible."""
        self.random = random.Random(seed)
        self.members = members
        self.budgets: dict[str, float] = {}

    def _initial_budget(self, kind: RequestKind, surplus: float) -> float:
        """Returns the initial budget of this node for a kind."""
        live = [member.incarnation for member in self.members.live()]
        order = rendezvous_order(f"explore|{kind.name}", live)
        if self.members.me.incarnation not in order[:ADVANCE_NODES]:
            return 0.0
        return max(0.0, surplus) * SURPLUS_FRACTION * ADVANCE_REQUESTS

    def credit(self, kind: RequestKind, surplus: float) -> None:
        """Credits one request's share of the surplus to a kind's budget."""
        budget = self.budgets.get(kind.name)
        if budget is None:
            budget = self._initial_budget(kind, surplus)
        budget += max(MIN_SURPLUS, surplus) * SURPLUS_FRACTION
        self.budgets[kind.name] = min(MAX_BUDGET, budget)

    def pick(
        self,
        kind: RequestKind,
        chosen: Option,
        uncertain: Sequence[Option],
        may_explore: Callable[[Option], bool],
    ) -> Option | None:
        """Returns an option to explore within the budget, usually None.

        Options are drawn with a weight inverse to their expected loss.
        """
        if self.random.random() >= MAX_EXPLORE_SHARE:
            return None
        options = [option for option in uncertain if may_explore(option)]
        if not options:
            return None
        losses = [max(MIN_LOSS, chosen.mean - o.mean) for o in options]
        weights = [1 / loss for loss in losses]
        (index,) = self.random.choices(range(len(options)), weights)
        if losses[index] > self.budgets[kind.name]:
            return None
        self.budgets[kind.name] -= losses[index]
        return options[index]
