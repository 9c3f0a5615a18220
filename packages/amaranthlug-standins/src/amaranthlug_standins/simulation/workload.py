"""Requests of a simulated deployment."""

import dataclasses
import math
import random

from amaranthlug.protocol.routing.messages import PromptPart, RoutedRequest

LOG_SPREAD = 0.9
"""Standard deviation of the logarithm of a prompt's own part."""


@dataclasses.dataclass(frozen=True)
class KindSpec:
    """One kind of request.

    Attributes:
        name: What reports call it.
        share: Part of all requests.
        shared_tokens: Tokens of the part that a subject's prompts share.
        own_tokens: Mean tokens of the prompt's own part.
        subjects: Number of subjects.
        objective_ms: Time to the first event that is on time.
        events: Mean events of an answer.
    """

    name: str
    share: float
    shared_tokens: int
    own_tokens: int
    subjects: int
    objective_ms: float
    events: int


KINDS = (
    KindSpec("long", 0.23, 5_400, 6_600, 3_400, 2_000, 64),
    KindSpec("medium", 0.31, 200, 630, 446, 1_000, 49),
    KindSpec("short", 0.46, 570, 1_800, 677, 1_000, 4),
)
"""Long prompts with long answers, short ones with long answers, and short
ones with short answers; about the mix of the platform's first deployments."""


@dataclasses.dataclass
class SimulatedRequest:
    """A request and what becomes of it; times in simulated seconds."""

    kind: KindSpec
    arrived: float
    request: RoutedRequest
    events: int
    weak: bool
    first_ms: float | None = None


def draw_request(
    number: int, now: float, kinds: tuple[KindSpec, ...], rng: random.Random
) -> SimulatedRequest:
    """Returns the next request of a deployment."""
    kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
    own = min(
        8 * kind.own_tokens,
        int(
            kind.own_tokens
            * math.exp(rng.gauss(-(LOG_SPREAD**2) / 2, LOG_SPREAD))
        ),
    )
    subject = f"{kind.name}-{rng.randrange(kind.subjects)}"
    prompt = (
        PromptPart(subject, kind.shared_tokens),
        PromptPart(f"own-{number}", max(1, own)),
    )
    request = RoutedRequest(
        request_id=f"r-{number}",
        method="POST",
        host="sim.example",
        target=f"/{kind.name}/",
        key=None,
        deadline=now + 20.0,
        arrived=now,
        forwarded_headers=[],
        body=b"",
        prompt_tokens=sum(part.tokens for part in prompt),
        prompt=prompt,
    )
    events = max(1, round(rng.expovariate(1 / kind.events)))
    return SimulatedRequest(kind, now, request, events, rng.random() < 0.45)
