"""Routing configuration: routes, services, limits and API keys."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """Whether requests of a route may run more than once."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


@dataclasses.dataclass(frozen=True)
class Route:
    """Requests of one host and path prefix.

    Attributes:
        name: Name in logs.
        host: Host name without a port, in lower case.
        prefix: Path prefix; starts and ends with a slash.
        kind: Whether requests may run more than once.
        services: Services and weights; one is drawn at random per request.
        timeout_ms: Longest time until the final answer, in milliseconds.
        objective_ms: Latency objective, in milliseconds.
        max_attempts: Most times that one request may be sent.
        priority: Rank; 0 is the most urgent.
        anonymous: Requests need no API key.
        resumable: A stream may be resumed at another server.
        gap_ms: Longest pause between events of a stream that is on time, in
            milliseconds.
        models: Models that may answer, smallest first; empty if the caller
            chooses the model.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    services: tuple[tuple[str, float], ...]
    timeout_ms: int = 30_000
    objective_ms: int = 1_000
    max_attempts: int = 1
    priority: int = 0
    anonymous: bool = False
    resumable: bool = False
    gap_ms: int | None = None
    models: tuple[str, ...] = ()

    @property
    def repeatable(self) -> bool:
        """Returns whether a request may run more than once."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.IDEMPOTENT


@dataclasses.dataclass(frozen=True)
class Engine:
    """Model engines behind a service.

    Attributes:
        slots: Requests that one engine runs concurrently.
        memory_tokens: Capacity of one engine's KV cache, in tokens.
        model_costs: Model -> cost per 1,000 generated tokens.
    """

    slots: int
    memory_tokens: int
    model_costs: dict[str, float]


@dataclasses.dataclass(frozen=True)
class RoutedService:
    """A group of interchangeable servers.

    Attributes:
        name: Name in server entries.
        max_connections: Connections that one server accepts in total from all
            nodes.
        engine: Set if the servers are model engines.
        cold_start_s: Time for which a server is cold after its start, in
            seconds; 0 if it never is.
        cold_per_s: Requests a second that a cold server bears from all nodes
            together; 0 if there is no limit.
    """

    name: str
    max_connections: int
    engine: Engine | None = None
    cold_start_s: float = 0.0
    cold_per_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class CallerLimits:
    """Limits on what callers send.

    Attributes:
        header_bytes: Largest request head, in bytes.
        body_bytes: Largest body, in bytes.
        header_timeout_s: Longest time to receive a request head, in seconds.
        idle_timeout_s: Longest idle time of a connection, in seconds.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4 << 20
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclasses.dataclass(frozen=True)
class KeyHolder:
    """The organisation that holds a key; `priority` overrides the route's."""

    organisation: str
    priority: int | None = None


@dataclasses.dataclass(frozen=True)
class RoutingConfig:
    """One version of the routing configuration."""

    version: int
    routes: dict[str, tuple[Route, ...]]
    services: dict[str, RoutedService]
    limits: CallerLimits
    keys: dict[str, KeyHolder] | None

    @classmethod
    def build(
        cls,
        version: int,
        routes: list[Route],
        services: list[RoutedService],
        limits: CallerLimits,
        keys: dict[str, KeyHolder] | None,
    ) -> "RoutingConfig":
        """Indexes routes by host; if `keys` is None, no request needs a key."""
        routes_by_host: dict[str, list[Route]] = {}
        for route in routes:
            routes_by_host.setdefault(route.host, []).append(route)
        indexed = {
            host: tuple(sorted(host_routes, key=lambda r: -len(r.prefix)))
            for host, host_routes in routes_by_host.items()
        }
        return cls(
            version, indexed, {s.name: s for s in services}, limits, keys
        )

    def find_route(self, host: str, path: str) -> Route | None:
        """Returns the route with the longest matching prefix, None if none."""
        hostname = (
            host.rsplit(":", 1)[0].lower() if ":" in host else host.lower()
        )
        for route in self.routes.get(hostname, ()):
            if path.startswith(route.prefix):
                return route
        return None
