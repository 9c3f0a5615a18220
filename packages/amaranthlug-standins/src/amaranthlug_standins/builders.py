"""Builders of test data; keyword arguments override the defaults."""

import hashlib
import itertools
import time
import uuid
from collections.abc import Iterable, Mapping
from typing import Any

import msgspec

from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.state.catalog import (
    Catalog,
    Limits,
    Organisation,
    Pool,
    RequestKind,
    Rollout,
    RolloutStage,
    Service,
    ServiceRoute,
    Upstream,
    Version,
    VersionId,
)
from amaranthlug.state.members import Member
from amaranthlug.state.records import BillEntry, Publication
from amaranthlug.state.settings import (
    NodeSettings,
    PeerSettings,
    PlatformSettings,
)

CHEAP = "small@1"
MID = "medium@1"
BEST = "large@1"

PRICES = {CHEAP: (100, 400), MID: (500, 2_000), BEST: (2_500, 10_000)}
"""Input and output price by version, in micro-units per thousand tokens."""

PRIORS = {CHEAP: 0.7, MID: 0.88, BEST: 0.97}
ZONES = ("zone-a", "zone-b", "zone-c", "zone-d")

request_numbers = itertools.count(1)


def caller_key(organisation: str) -> str:
    """Returns the caller key of an organisation in the samples."""
    return f"key-{organisation}"


def key_digest(key: str) -> str:
    """Returns the SHA-256 digest of a caller key, in hex."""
    return hashlib.sha256(key.encode()).hexdigest()


def make_version(text: str = CHEAP, **values: Any) -> Version:
    """Builds a version from `model@version`."""
    price_in, price_out = PRICES.get(text, PRICES[CHEAP])
    defaults: dict[str, Any] = {
        "id": VersionId.parse(text),
        "pool": "engines",
        "input_price": price_in * 1_000,
        "output_price": price_out * 1_000,
        "prior_quality": PRIORS.get(text, 0.7),
    }
    return Version(**(defaults | values))


def make_organisation(
    name: str = "acme",
    allowed: Iterable[str] = (CHEAP, MID, BEST),
    **values: Any,
) -> Organisation:
    """Builds an organisation whose caller key is `key-NAME`."""
    defaults: dict[str, Any] = {
        "name": name,
        "key_digests": frozenset([key_digest(caller_key(name))]),
        "allowed": frozenset(VersionId.parse(text) for text in allowed),
        "limits": Limits(),
        "services": frozenset(["desk"]),
    }
    return Organisation(**(defaults | values))


def make_kind(name: str = "question", **values: Any) -> RequestKind:
    """Builds a request kind."""
    defaults: dict[str, Any] = {"name": name, "quality_target": 0.8}
    return RequestKind(**(defaults | values))


def make_pool(
    name: str = "engines",
    addresses: Iterable[str] = ("127.0.0.1:9", "127.0.0.1:10"),
    engine: bool = True,
) -> Pool:
    """Builds a pool whose upstreams are spread over the zones."""
    zones = itertools.cycle(ZONES)
    upstreams = tuple(
        Upstream(address, zone)
        for address, zone in zip(addresses, zones, strict=False)
    )
    return Pool(name, upstreams, engine)


def make_service(name: str = "desk", **values: Any) -> Service:
    """Builds a service with repeatable reads and non-repeatable writes."""
    routes = (
        ServiceRoute("GET", "/", repeatable=True),
        ServiceRoute("POST", "/", repeatable=False),
    )
    return Service(
        **({"name": name, "pool": "desk", "routes": routes} | values)
    )


def make_rollout(name: str = "small-2", **values: Any) -> Rollout:
    """Builds a roll-out of `small` from version 1 to 2."""
    stages = (
        RolloutStage(share=0.1, min_rated=20, max_unrated=8),
        RolloutStage(share=1.0, min_rated=0, max_unrated=1_000),
    )
    defaults: dict[str, Any] = {
        "model": "small",
        "from_version": "1",
        "to_version": "2",
        "stages": stages,
    }
    return Rollout(name=name, **(defaults | values))


def make_catalog(
    versions: Iterable[Version] | None = None,
    organisations: Iterable[Organisation] | None = None,
    kinds: Iterable[RequestKind] | None = None,
    pools: Iterable[Pool] | None = None,
    services: Iterable[Service] | None = None,
    rollouts: Iterable[Rollout] = (),
    revision: int = 0,
) -> Catalog:
    """Builds a catalogue with defaults for everything but roll-outs."""
    if versions is None:
        versions = [make_version(text) for text in (CHEAP, MID, BEST)]
    if organisations is None:
        organisations = [make_organisation()]
    if kinds is None:
        kinds = [make_kind()]
    if pools is None:
        pools = [make_pool(), make_pool("desk", ["127.0.0.1:11"], False)]
    if services is None:
        services = [make_service()]
    return Catalog(
        revision=revision,
        versions={version.id: version for version in versions},
        organisations={item.name: item for item in organisations},
        kinds={kind.name: kind for kind in kinds},
        pools={pool.name: pool for pool in pools},
        services={service.name: service for service in services},
        rollouts={rollout.name: rollout for rollout in rollouts},
    )


def make_parts(catalog: Catalog) -> dict[str, dict[str, Any]]:
    """Builds the configuration parts of a catalogue, by path."""
    parts: dict[str, dict[str, Any]] = {}
    for version_id, version in catalog.versions.items():
        parts[f"versions/{version_id}"] = part_body(version, "id")
    for section in ("pools", "kinds", "services", "rollouts", "organisations"):
        items: Mapping[str, Any] = getattr(catalog, section)
        for name, item in items.items():
            parts[f"{section}/{name}"] = part_body(item, "name")
    return parts


def part_body(item: Any, omitted: str) -> dict[str, Any]:
    """Returns a catalogue entry as the body of a configuration part."""
    body: dict[str, Any] = msgspec.to_builtins(item, order="sorted")
    del body[omitted]
    if isinstance(item, Organisation):
        body["allowed"] = sorted(str(version) for version in item.allowed)
    return body


def make_publication(
    parts: dict[str, dict[str, Any]] | None = None, **values: Any
) -> Publication:
    """Builds the first publication of a configuration."""
    defaults: dict[str, Any] = {
        "id": uuid.uuid4().hex,
        "at": time.time(),
        "operator": "operator",
        "base": -1,
        "parts": make_parts(make_catalog()) if parts is None else parts,
    }
    return Publication(**(defaults | values))


def make_settings(
    address: str = "127.0.0.1:0", log: str = "http://127.0.0.1:9", **values: Any
) -> NodeSettings:
    """Builds the settings of a node in the first zone."""
    defaults: dict[str, Any] = {
        "name": "node-1",
        "address": address,
        "zone": ZONES[0],
        "region": "region",
        "platform": PlatformSettings(log=log),
        "peers": PeerSettings(keys={"k1": "secret"}),
        "zone_order": ZONES[1:],
        "seed": 1,
    }
    return NodeSettings(**(defaults | values))


def make_member(address: str = "127.0.0.1:1", **values: Any) -> Member:
    """Builds a live member."""
    defaults: dict[str, Any] = {
        "zone": ZONES[0],
        "incarnation": f"incarnation-{address}",
    }
    return Member(address=address, **(defaults | values))


def make_bill(request_id: str = "", **values: Any) -> BillEntry:
    """Builds a bill of a complete request."""
    defaults: dict[str, Any] = {
        "organisation": "acme",
        "kind": "question",
        "version": CHEAP,
        "prompt_tokens": 10,
        "output_tokens": 20,
        "cost": 9,
        "outcome": "complete",
    }
    request_id = request_id or f"request-{next(request_numbers)}"
    return BillEntry(request_id=request_id, **(defaults | values))


def make_body(
    prompt: str = "where is the rug", **values: Any
) -> dict[str, Any]:
    """Builds the body of a chat request."""
    defaults = {
        "model": "auto",
        "messages": [{"role": "user", "content": prompt}],
        "stream": False,
    }
    return defaults | values


def make_request(
    prompt: str = "where is the rug", **values: Any
) -> ChatRequest:
    """Builds a parsed request with 30 s left."""
    body = make_body(prompt)
    defaults: dict[str, Any] = {
        "request_id": f"request-{next(request_numbers)}",
        "organisation": make_organisation(),
        "kind": make_kind(),
        "model": "auto",
        "body": body,
        "stream": bool(body["stream"]),
        "deadline": time.monotonic() + 30,
        "prompt_tokens": len(prompt.split()),
        "digest": key_digest(prompt)[:16],
        "prompt": prompt,
    }
    return ChatRequest(**(defaults | values))
