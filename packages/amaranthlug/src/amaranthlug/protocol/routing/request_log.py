"""The structured log line that is written at the end of a request."""

import dataclasses
from typing import Any, Protocol

from amaranthlug.protocol.routing.messages import RoutedRequest
from amaranthlug.protocol.routing.session_versions import VersionChoice


class DecisionLog(Protocol):
    """Writes structured log lines; may drop those of served requests."""

    def request(self, served: bool, fields: dict[str, Any]) -> None:
        """Writes the line of a request with these fields."""
        ...


@dataclasses.dataclass
class RequestTrace:
    """Collects the log fields of a request while it is handled.

    Attributes:
        request: The request.
        route: Name of its route.
        organisation: Organisation that holds its key.
        config_version: Version of the configuration used, -1 for none.
        config_age_s: Age of that configuration, in seconds; -1 for none.
        attempts: One entry for each attempt at a server.
        first_event_ms: Time to the first event or answer, in milliseconds.
        waited_ms: Time spent waiting for a server, in milliseconds.
        denied: Number of times that a server had no room for it.
        kept_answer: Why an answer of low confidence was delivered.
        version_choice: Choice of the version for the first attempt.
        digest: Digest of the request, None if it was not needed.
        blocked_by: Request or part of its prompt that is blocked, None if it
            may be sent.
    """

    request: RoutedRequest
    route: str = ""
    organisation: str | None = None
    config_version: int = -1
    config_age_s: float = -1.0
    attempts: list[dict[str, Any]] = dataclasses.field(default_factory=list)
    first_event_ms: float | None = None
    waited_ms: float = 0.0
    denied: int = 0
    kept_answer: str | None = None
    version_choice: VersionChoice | None = None
    digest: str | None = None
    blocked_by: str | None = None

    def fields(self, outcome: str, status: int, now: float) -> dict[str, Any]:
        """Returns the fields of the log line; `now` is in seconds."""
        return {
            "event": "request",
            "request_id": self.request.request_id,
            "outcome": outcome,
            "status": status,
            "route": self.route,
            "organisation": self.organisation,
            "prompt_tokens": self.request.prompt_tokens,
            "length_hint": self.request.length_hint,
            "config_version": self.config_version,
            "config_age_s": round(self.config_age_s, 3),
            "took_ms": round((now - self.request.arrived) * 1_000, 1),
            "waited_ms": round(self.waited_ms, 1),
            "first_ms": self.first_event_ms,
            "left_ms": round((self.request.deadline - now) * 1_000),
            "attempts": self.attempts,
            "session": self.request.session,
            **(self.version_choice.fields() if self.version_choice else {}),
            **({"denied": self.denied} if self.denied else {}),
            **({"kept": self.kept_answer} if self.kept_answer else {}),
            **({"digest": self.digest} if self.digest else {}),
            **({"blocked_by": self.blocked_by} if self.blocked_by else {}),
        }
