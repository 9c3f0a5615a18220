"""Which model answers a request, and whether its answer is good enough."""

from amaranthlug.state.routing.config import Route

FIRST = 0
ACCEPT = 60
NEXT = 2


class ModelChoice:
    """Begins with a small model and goes on to a larger one if needed."""

    def first(self, route: Route) -> int:
        """Returns the place of the model to begin with."""
        return min(FIRST, len(route.models) - 1)

    def following(
        self, route: Route, place: int, confidence: int | None
    ) -> int | None:
        """Returns the place of a larger model to ask instead, if any."""
        last = len(route.models) - 1
        if place >= last or confidence is None or confidence >= ACCEPT:
            return None
        return min(NEXT, last)
