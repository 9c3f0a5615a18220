"""Reference costs: always using the best model, and an oracle."""

from collections.abc import Iterable, Mapping

from amaranthlug.state.catalog import Catalog, Version, VersionId
from amaranthlug_standins.answers import HARD, Quality
from amaranthlug_standins.calls import Call


def allowed_versions(
    catalog: Catalog, call: Call, excluded: Iterable[str] = ()
) -> list[Version]:
    """Returns the allowed versions of the caller, minus excluded ones."""
    excluded_names = set(excluded)
    allowed = catalog.organisations[call.organisation].allowed
    return [
        catalog.versions[version]
        for version in sorted(allowed)
        if version in catalog.versions and str(version) not in excluded_names
    ]


def quality_of(
    qualities: Mapping[str, Quality], version: VersionId, difficulty: str
) -> float:
    """Returns the true share of good answers of a version."""
    quality = qualities.get(str(version), Quality())
    return quality.hard if difficulty == HARD else quality.easy


def best_model_cost(catalog: Catalog, call: Call) -> int:
    """Returns the cost of the most expensive version, in micro-units."""
    return max(
        version.cost(call.prompt_words, call.answer_words)
        for version in allowed_versions(catalog, call)
    )


def oracle_cost(
    catalog: Catalog,
    qualities: Mapping[str, Quality],
    call: Call,
    excluded: Iterable[str] = (),
) -> int:
    """Returns the cost of the cheapest version that meets the quality target.

    The oracle knows the true quality of each version for each difficulty, but
    not whether a single answer will be good. If no version meets the target,
    it uses the version of the highest quality. The cost is in micro-units.
    """
    target = catalog.kinds[call.kind].quality_target
    versions = allowed_versions(catalog, call, excluded)
    shares = {
        version.id: quality_of(qualities, version.id, call.difficulty)
        for version in versions
    }
    candidates = [v for v in versions if shares[v.id] >= target]
    if not candidates:
        candidates = [max(versions, key=lambda version: shares[version.id])]
    return min(
        version.cost(call.prompt_words, call.answer_words)
        for version in candidates
    )
