"""Pydantic models of the configuration folder, without unknown keys.

Ranges and references are validated by `state/catalog_check`, which every node
runs again on each publication.
"""

import pydantic

from amaranthlug.state.parts import split_version


class Body(pydantic.BaseModel):
    """Base of the models; rejects unknown keys and wrong types."""

    model_config = pydantic.ConfigDict(
        extra="forbid", strict=True, allow_inf_nan=False
    )


class LimitsBody(Body):
    """Limits of an organisation, summed over all nodes; 0 means no limit."""

    requests_per_s: float = 0.0
    tokens_per_s: float = 0.0
    cost_per_day: int = 0
    streams: int = 0


class OrganisationBody(Body):
    """An organisation; `key_digests` are SHA-256 digests of its API keys."""

    key_digests: list[str]
    allowed: list[str] = []
    limits: LimitsBody = LimitsBody()
    services: list[str] = []

    @pydantic.field_validator("allowed")
    @classmethod
    def check_version_format(cls, allowed: list[str]) -> list[str]:
        """Checks that each entry has the form `model@version`."""
        for text in allowed:
            split_version(text)
        return allowed


class VersionBody(Body):
    """A version of a model; prices in micro-units per million tokens."""

    pool: str
    input_price: int
    output_price: int
    context_tokens: int = 32_768
    prior_quality: float = 0.5
    prior_ratings: int = 0
    prior_by_kind: dict[str, float] = {}
    prior_by_kind_hard: dict[str, float] = {}


class UpstreamBody(Body):
    """A server; `address` is `host:port`."""

    address: str
    zone: str


class PoolBody(Body):
    """A pool of upstreams that run the same software."""

    upstreams: list[UpstreamBody]
    engine: bool = True


class KindBody(Body):
    """A kind of request with its quality target and time limits."""

    quality_target: float
    deadline_ms: int = 30_000
    first_token_ms: int = 2_000
    priority: int = 0
    harmful: bool = False
    idempotent: bool = True
    max_output_tokens: int = 512


class RouteBody(Body):
    """A route of a plain service."""

    method: str
    prefix: str
    repeatable: bool


class ServiceBody(Body):
    """A plain service."""

    pool: str
    routes: list[RouteBody]
    timeout_ms: int = 10_000


class StageBody(Body):
    """A stage of a roll-out."""

    share: float
    min_rated: int
    max_unrated: int


class RolloutBody(Body):
    """A move from one version of a model to another."""

    model: str
    from_version: str
    to_version: str
    stages: list[StageBody]


BODY_MODELS: dict[str, type[Body]] = {
    "organisations": OrganisationBody,
    "versions": VersionBody,
    "pools": PoolBody,
    "kinds": KindBody,
    "services": ServiceBody,
    "rollouts": RolloutBody,
}
"""Model of the parts of each section."""
