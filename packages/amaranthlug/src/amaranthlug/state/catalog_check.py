"""Validates a catalogue: value ranges and references between parts."""

import re
from collections.abc import Iterator

from result import Err, Result

from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    Pool,
    RequestKind,
    Rollout,
    Service,
    Version,
    VersionId,
)
from amaranthlug.state.parts import PartProblem, Parts, convert_parts

DIGEST = re.compile(r"[0-9a-f]{64}")
ADDRESS = re.compile(r"[^\s:/]+:\d{1,5}|\[[0-9a-fA-F:]+\]:\d{1,5}")
FINAL_STAGE_SHARE = 1.0
"""Share of the last stage; a smaller one would leave a roll-out unfinished."""


def build_catalog(
    parts: Parts, revision: int
) -> Result[Catalog, list[PartProblem]]:
    """Converts parts to a catalogue and validates all of it.

    Returns:
        The catalogue, or every problem found.
    """
    converted = convert_parts(parts, revision)
    if isinstance(converted, Err):
        return converted
    problems = check_catalog(converted.ok_value)
    return Err(problems) if problems else converted


def check_catalog(catalog: Catalog) -> list[PartProblem]:
    """Returns all problems of a catalogue, sorted by path and key."""
    problems = [
        *check_unique_keys(catalog),
        *check_one_rollout_per_model(catalog),
    ]
    for organisation in catalog.organisations.values():
        problems += check_organisation(catalog, organisation)
    for version in catalog.versions.values():
        problems += check_version(catalog, version)
    for pool in catalog.pools.values():
        problems += check_pool(pool)
    for kind in catalog.kinds.values():
        problems += check_kind(kind)
    for service in catalog.services.values():
        problems += check_service(catalog, service)
    for rollout in catalog.rollouts.values():
        problems += check_rollout(catalog, rollout)
    return sorted(problems, key=lambda problem: (problem.path, problem.key))


def check_unique_keys(catalog: Catalog) -> Iterator[PartProblem]:
    """Yields a problem for each key that two organisations share.

    A key must identify a single organisation.
    """
    owners: dict[str, str] = {}
    for name in sorted(catalog.organisations):
        for digest in sorted(catalog.organisations[name].key_digests):
            other = owners.setdefault(digest, name)
            if other != name:
                yield PartProblem(
                    f"organisations/{name}",
                    "key_digests",
                    f"key {digest[:12]}... belongs to {other} too",
                    "give each organisation keys of its own",
                )


def check_organisation(
    catalog: Catalog, organisation: Organisation
) -> Iterator[PartProblem]:
    """Yields problems of the keys, limits and references."""
    path = f"organisations/{organisation.name}"
    for digest in organisation.key_digests:
        if not DIGEST.fullmatch(digest):
            yield PartProblem(
                path,
                "key_digests",
                f"{digest!r} is not a SHA-256 digest",
                "use 64 lower-case hexadecimal digits",
            )
    for version in sorted(organisation.allowed):
        if version not in catalog.versions:
            yield missing_reference(path, "allowed", "versions", str(version))
    for service in sorted(organisation.services):
        if service not in catalog.services:
            yield missing_reference(path, "services", "services", service)
    limits = organisation.limits
    for key in ("requests_per_s", "tokens_per_s", "cost_per_day", "streams"):
        yield from check_minimum(path, f"limits.{key}", getattr(limits, key), 0)


def check_version(catalog: Catalog, version: Version) -> Iterator[PartProblem]:
    """Yields problems of the prices, priors and pool."""
    path = f"versions/{version.id}"
    pool = catalog.pools.get(version.pool)
    if pool is None:
        yield missing_reference(path, "pool", "pools", version.pool)
    elif not pool.engine:
        yield PartProblem(
            path,
            "pool",
            f"pool {version.pool} has no engines",
            "name a pool with engine: true",
        )
    yield from check_minimum(path, "input_price", version.input_price, 0)
    yield from check_minimum(path, "output_price", version.output_price, 0)
    yield from check_minimum(path, "context_tokens", version.context_tokens, 1)
    yield from check_share(path, "prior_quality", version.prior_quality)
    yield from check_minimum(path, "prior_ratings", version.prior_ratings, 0)
    for key in ("prior_by_kind", "prior_by_kind_hard"):
        for kind, quality in getattr(version, key).items():
            yield from check_share(path, f"{key}.{kind}", quality)
            if kind not in catalog.kinds:
                yield missing_reference(path, key, "kinds", kind)


def check_pool(pool: Pool) -> Iterator[PartProblem]:
    """Yields problems of the upstreams."""
    path = f"pools/{pool.name}"
    if not pool.upstreams:
        yield PartProblem(
            path, "upstreams", "there are none", "list at least one upstream"
        )
    seen = set()
    for upstream in pool.upstreams:
        if not ADDRESS.fullmatch(upstream.address):
            yield PartProblem(
                path,
                "upstreams",
                f"{upstream.address!r} is not an address",
                "write host:port",
            )
        if upstream.address in seen:
            yield PartProblem(
                path,
                "upstreams",
                f"{upstream.address} is listed twice",
                "list it once",
            )
        seen.add(upstream.address)


def check_kind(kind: RequestKind) -> Iterator[PartProblem]:
    """Yields problems of the quality target and time limits."""
    path = f"kinds/{kind.name}"
    yield from check_share(path, "quality_target", kind.quality_target)
    yield from check_minimum(path, "deadline_ms", kind.deadline_ms, 1)
    yield from check_minimum(path, "first_token_ms", kind.first_token_ms, 1)
    yield from check_minimum(
        path, "max_output_tokens", kind.max_output_tokens, 1
    )
    if kind.first_token_ms > kind.deadline_ms:
        yield PartProblem(
            path,
            "first_token_ms",
            f"{kind.first_token_ms} ms is after the deadline of "
            f"{kind.deadline_ms} ms",
            "make it at most deadline_ms",
        )


def check_service(catalog: Catalog, service: Service) -> Iterator[PartProblem]:
    """Yields problems of the pool, timeout and routes."""
    path = f"services/{service.name}"
    pool = catalog.pools.get(service.pool)
    if pool is None:
        yield missing_reference(path, "pool", "pools", service.pool)
    elif pool.engine:
        yield PartProblem(
            path,
            "pool",
            f"pool {service.pool} has engines",
            "name a pool with engine: false",
        )
    yield from check_minimum(path, "timeout_ms", service.timeout_ms, 1)
    seen = set()
    for route in service.routes:
        if not route.prefix.startswith("/"):
            yield PartProblem(
                path,
                "routes",
                f"prefix {route.prefix!r} is not a path",
                "start it with a slash",
            )
        if (route.method, route.prefix) in seen:
            yield PartProblem(
                path,
                "routes",
                f"{route.method} {route.prefix} is listed twice",
                "list it once, so that repeatable is clear",
            )
        seen.add((route.method, route.prefix))


def check_rollout(catalog: Catalog, rollout: Rollout) -> Iterator[PartProblem]:
    """Yields problems of the versions and stages."""
    path = f"rollouts/{rollout.name}"
    for key in ("from_version", "to_version"):
        version = VersionId(rollout.model, getattr(rollout, key))
        if version not in catalog.versions:
            yield missing_reference(path, key, "versions", str(version))
    if rollout.from_version == rollout.to_version:
        yield PartProblem(
            path, "to_version", "equals from_version", "name another version"
        )
    shares = [stage.share for stage in rollout.stages]
    if not shares or shares[-1] != FINAL_STAGE_SHARE:
        yield PartProblem(
            path, "stages", "the last share is not 1", "end with share: 1.0"
        )
    if shares != sorted(shares):
        yield PartProblem(
            path, "stages", "shares decrease", "order the stages by share"
        )
    for number, stage in enumerate(rollout.stages):
        key = f"stages[{number}]"
        yield from check_share(path, f"{key}.share", stage.share)
        yield from check_minimum(path, f"{key}.min_rated", stage.min_rated, 0)
        yield from check_minimum(
            path, f"{key}.max_unrated", stage.max_unrated, 0
        )


def check_one_rollout_per_model(catalog: Catalog) -> Iterator[PartProblem]:
    """Yields a problem for each model that has two roll-outs.

    Their shares of the traffic would contradict each other.
    """
    owners: dict[str, str] = {}
    for name in sorted(catalog.rollouts):
        model = catalog.rollouts[name].model
        other = owners.setdefault(model, name)
        if other != name:
            yield PartProblem(
                f"rollouts/{name}",
                "model",
                f"{model} is rolled out by {other} too",
                "remove the finished roll-out first",
            )


def missing_reference(
    path: str, key: str, section: str, name: str
) -> PartProblem:
    """Returns the problem for a reference to an undefined part."""
    return PartProblem(
        path,
        key,
        f"{name} is not defined",
        f"add it under {section} or remove the reference",
    )


def check_minimum(
    path: str, key: str, value: float, minimum: float
) -> Iterator[PartProblem]:
    """Yields a problem if a value is below `minimum` or not a number."""
    if not value >= minimum:
        yield PartProblem(
            path, key, f"{value} is too small", f"use at least {minimum}"
        )


def check_share(path: str, key: str, value: float) -> Iterator[PartProblem]:
    """Yields a problem if a share is not between 0 and 1."""
    if not 0 <= value <= 1:
        yield PartProblem(
            path, key, f"{value} is not a share", "use a value from 0 to 1"
        )
