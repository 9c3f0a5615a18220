"""Data classes of the configuration that a node applies."""

import dataclasses
from collections.abc import Mapping

MICRO_UNITS_PER_UNIT = 1_000_000
"""Micro-units in one unit of currency; all costs are integer micro-units."""


@dataclasses.dataclass(frozen=True, order=True)
class VersionId:
    """A model and one of its versions, written `model@version`."""

    model: str
    version: str

    def __str__(self) -> str:
        """Returns `model@version`, the form used in messages."""
        return f"{self.model}@{self.version}"

    @classmethod
    def parse(cls, text: str) -> "VersionId":
        """Parses `model@version`.

        Raises:
            ValueError: The text has no `@` or an empty side.
        """
        model, separator, version = text.partition("@")
        if not separator or not model or not version:
            raise ValueError(f"{text!r} is not of the form model@version")
        return cls(model, version)


@dataclasses.dataclass(frozen=True)
class Version:
    """One version of a model with its prices.

    Attributes:
        id: Model and version.
        pool: Name of the upstream pool that runs the version.
        input_price: Micro-units per million prompt tokens.
        output_price: Micro-units per million generated tokens.
        context_tokens: Maximum length of prompt plus answer, in tokens.
        prior_quality: Assumed share of good answers before any rating, 0 to 1.
        prior_ratings: Number of rated offline answers that each assumed share
            is based on.
        prior_by_kind: Assumed share of good answers by request kind.
        prior_by_kind_hard: Assumed share of good answers to requests that
            look hard, by kind; `prior_by_kind` applies to kinds not listed.
    """

    id: VersionId
    pool: str
    input_price: int
    output_price: int
    context_tokens: int = 32_768
    prior_quality: float = 0.5
    prior_ratings: int = 0
    prior_by_kind: Mapping[str, float] = dataclasses.field(default_factory=dict)
    prior_by_kind_hard: Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )

    def cost(self, prompt_tokens: int, output_tokens: int) -> int:
        """Returns the price of an answer in micro-units, rounded up."""
        total = (
            prompt_tokens * self.input_price + output_tokens * self.output_price
        )
        return -(-total // 1_000_000)


@dataclasses.dataclass(frozen=True)
class Upstream:
    """One server of a pool; `address` is `host:port`."""

    address: str
    zone: str


@dataclasses.dataclass(frozen=True)
class Pool:
    """A named set of upstreams that run the same software.

    Attributes:
        engine: The upstreams are inference engines, not a plain service.
    """

    name: str
    upstreams: tuple[Upstream, ...]
    engine: bool = True


@dataclasses.dataclass(frozen=True)
class Limits:
    """Limits of an organisation, summed over all nodes; 0 means no limit.

    Attributes:
        cost_per_day: Micro-units per day.
        streams: Concurrent streams.
    """

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    cost_per_day: int = 0
    streams: int = 0


@dataclasses.dataclass(frozen=True)
class Organisation:
    """A customer organisation of the operator.

    Attributes:
        name: Unique name.
        key_digests: SHA-256 digests of its API keys, in lower-case hex.
        allowed: Versions that its requests may run on.
        limits: Limits that apply to the sum over all nodes.
        services: Plain services that it may call.
    """

    name: str
    key_digests: frozenset[str]
    allowed: frozenset[VersionId]
    limits: Limits = dataclasses.field(default_factory=Limits)
    services: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True)
class RequestKind:
    """A kind of request with its quality target, deadlines and priority.

    Attributes:
        name: Value of the header `X-Request-Kind`.
        quality_target: Minimum share of good answers, 0 to 1.
        deadline_ms: Default time limit for the complete answer, in
            milliseconds.
        first_token_ms: Time limit for the first token of a stream, in
            milliseconds.
        priority: Requests of higher priority run first.
        harmful: A wrong answer does serious harm, so unproven versions do
            not receive requests of this kind.
        idempotent: The request may run more than once.
        max_output_tokens: Default maximum length of the answer, in tokens.
    """

    name: str
    quality_target: float
    deadline_ms: int = 30_000
    first_token_ms: int = 2_000
    priority: int = 0
    harmful: bool = False
    idempotent: bool = True
    max_output_tokens: int = 512


@dataclasses.dataclass(frozen=True)
class ServiceRoute:
    """One route of a plain service; the longest matching prefix applies.

    Attributes:
        method: HTTP method, or `ANY` or `*` for every method.
        prefix: Start of the path.
        repeatable: A call may run more than once, so it may be retried.
    """

    method: str
    prefix: str
    repeatable: bool


@dataclasses.dataclass(frozen=True)
class Service:
    """An HTTP service that is proxied without model routing."""

    name: str
    pool: str
    routes: tuple[ServiceRoute, ...]
    timeout_ms: int = 10_000


@dataclasses.dataclass(frozen=True)
class RolloutStage:
    """One stage of a roll-out.

    Attributes:
        share: Share of new sessions, and of requests without a session, that
            the new version receives, 0 to 1.
        min_rated: Rated answers required before the next stage.
        max_unrated: Maximum number of requests in flight or not yet rated,
            over all nodes.
    """

    share: float
    min_rated: int
    max_unrated: int


@dataclasses.dataclass(frozen=True)
class Rollout:
    """A configured move from one version of a model to another."""

    name: str
    model: str
    from_version: str
    to_version: str
    stages: tuple[RolloutStage, ...]


@dataclasses.dataclass(frozen=True)
class Catalog:
    """The complete configuration at one revision.

    Attributes:
        revision: Log offset of the publication that produced it; -1 before
            the first publication.
    """

    revision: int = -1
    organisations: Mapping[str, Organisation] = dataclasses.field(
        default_factory=dict
    )
    versions: Mapping[VersionId, Version] = dataclasses.field(
        default_factory=dict
    )
    pools: Mapping[str, Pool] = dataclasses.field(default_factory=dict)
    kinds: Mapping[str, RequestKind] = dataclasses.field(default_factory=dict)
    services: Mapping[str, Service] = dataclasses.field(default_factory=dict)
    rollouts: Mapping[str, Rollout] = dataclasses.field(default_factory=dict)

    def organisation_by_digest(self, digest: str) -> Organisation | None:
        """Returns the organisation that owns a key digest, or None."""
        for organisation in self.organisations.values():
            if digest in organisation.key_digests:
                return organisation
        return None
