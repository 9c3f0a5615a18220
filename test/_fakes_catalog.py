"""Names, words and the sample catalogue of the request path's tests."""

import hashlib

from amaranthlug.protocol.chat import CallerHeaders
from amaranthlug.state.catalog import (
    Catalog,
    Organisation,
    Pool,
    RequestKind,
    Service,
    ServiceRoute,
    Upstream,
    Version,
    VersionId,
)

KEY = "key-of-alfama"
CHEAP = VersionId("brisa", "1")
EXPENSIVE = VersionId("vento", "2")
WORDS = ["um", "tapete", "no", "corredor", "junto", "da", "porta", "azul"]
HEADERS = CallerHeaders(f"Bearer {KEY}", "describe")


def sample_catalog(addresses=("127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3")):
    """Returns a catalogue with one organisation, two versions, one service."""
    upstreams = tuple(Upstream(a, "sala-a") for a in addresses)
    digest = hashlib.sha256(KEY.encode()).hexdigest()
    routes = (
        ServiceRoute("GET", "/map", True),
        ServiceRoute("POST", "/", False),
        ServiceRoute("POST", "/map/look", True),
    )
    return Catalog(
        revision=1,
        organisations={
            "alfama": Organisation(
                "alfama",
                frozenset({digest}),
                frozenset({CHEAP, EXPENSIVE}),
                services=frozenset({"maps"}),
            )
        },
        versions={
            CHEAP: Version(CHEAP, "pool", 1_000_000, 2_000_000),
            EXPENSIVE: Version(EXPENSIVE, "pool", 10_000_000, 20_000_000),
        },
        pools={"pool": Pool("pool", upstreams)},
        kinds={
            "describe": RequestKind("describe", 0.9, first_token_ms=200),
            "tag": RequestKind("tag", 0.9, idempotent=False),
        },
        services={"maps": Service("maps", "pool", routes, 500)},
    )
