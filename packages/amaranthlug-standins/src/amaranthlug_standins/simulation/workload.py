"""Generates the requests of a simulated deployment."""

import dataclasses
import math
import random

from amaranthlug.protocol.routing.messages import PromptPart, RoutedRequest

PROMPT_LOG_STDDEV = 0.9
"""Standard deviation of the logarithm of the length of the unshared part."""


@dataclasses.dataclass(frozen=True)
class KindSpec:
    """One kind of request.

    Attributes:
        name: Name in reports.
        share: Fraction of all requests.
        shared_tokens: Length of the prefix that prompts on the same subject
            share.
        own_tokens: Mean length of the rest of the prompt, in tokens.
        subjects: Number of different shared prefixes.
        objective_ms: Longest time to the first event that is on time.
        events: Mean number of events in an answer.
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
"""Long prompts with long answers, short prompts with long answers, and short
prompts with short answers, roughly in the proportions of the platform's first
deployments."""


@dataclasses.dataclass
class SimulatedRequest:
    """A request and its result.

    Attributes:
        kind: Kind of the request.
        arrived: Simulated time of arrival, in seconds.
        routed_request: The request as the router sees it.
        events: Number of events in the answer.
        needs_large_model: The small model's answer fails its check, so the
            request is sent to the large model.
        first_ms: Time to the first event, in milliseconds; None before it.
    """

    kind: KindSpec
    arrived: float
    routed_request: RoutedRequest
    events: int
    needs_large_model: bool
    first_ms: float | None = None


def draw_request(
    number: int, now: float, kinds: tuple[KindSpec, ...], rng: random.Random
) -> SimulatedRequest:
    """Returns a random request that arrives at `now`, in simulated seconds."""
    kind = rng.choices(kinds, [kind.share for kind in kinds])[0]
    own_tokens = min(
        8 * kind.own_tokens,
        int(
            kind.own_tokens
            * math.exp(
                rng.gauss(-(PROMPT_LOG_STDDEV**2) / 2, PROMPT_LOG_STDDEV)
            )
        ),
    )
    subject = f"{kind.name}-{rng.randrange(kind.subjects)}"
    prompt = (
        PromptPart(subject, kind.shared_tokens),
        PromptPart(f"own-{number}", max(1, own_tokens)),
    )
    routed_request = RoutedRequest(
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
    return SimulatedRequest(
        kind, now, routed_request, events, rng.random() < 0.45
    )
