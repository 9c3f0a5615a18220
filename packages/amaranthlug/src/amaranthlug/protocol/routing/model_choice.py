"""Which model answers a request, and whether its answer is good enough."""

from amaranthlug.state.routing.config import Route

ACCEPT = 60
"""Confidence, of 100, from which an answer is delivered. Measured on both
sites: nearly all answers below 40 are wrong and a third of those between 40
and 60; accepting from 40, 50 or 85 served less."""


class ModelChoice:
    """Begins with the smallest model and goes on to the largest if needed.

    Neither the size of a prompt nor the expected length of the answer tells
    whether the smallest model will be unsure, and the middle model is seldom
    right where the smallest is not.
    """

    def first(self, route: Route) -> int:
        """Returns the place of the model to begin with."""
        return 0

    def following(
        self, route: Route, place: int, confidence: int | None
    ) -> int | None:
        """Returns the place of a larger model to ask instead, if any."""
        last = len(route.models) - 1
        if place >= last or confidence is None or confidence >= ACCEPT:
            return None
        return last
