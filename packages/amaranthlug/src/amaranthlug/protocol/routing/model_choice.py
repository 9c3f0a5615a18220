"""Chooses the model for a request and decides whether to escalate."""

from amaranthlug.state.routing.config import Route

MIN_CONFIDENCE = 60
"""Least confidence, of 100, of an answer that is delivered. Nearly all answers
below 40 are wrong, and a third of those between 40 and 60; with a limit of 40,
50 or 85 fewer requests were served well."""


class ModelChoice:
    """Tries the smallest model first and escalates to the largest if needed.

    Neither the prompt size nor the expected answer length predicts whether
    the smallest model will be unsure, so it is always tried. A middle model is
    skipped: it is seldom right where the smallest is wrong.
    """

    def first_index(self, route: Route) -> int:
        """Returns the index of the model to try first."""
        return 0

    def escalation_index(
        self, route: Route, index: int, confidence: int | None
    ) -> int | None:
        """Returns the index of a larger model, None to keep the answer."""
        last_index = len(route.models) - 1
        if (
            index >= last_index
            or confidence is None
            or confidence >= MIN_CONFIDENCE
        ):
            return None
        return last_index
