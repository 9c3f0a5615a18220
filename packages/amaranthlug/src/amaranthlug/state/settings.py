"""Data classes of a node's settings; `protocol/settings_file` reads them."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Base URLs of the platform's services; empty when absent.

    Attributes:
        log: Log service, such as `http://10.0.0.5:8080`.
        vm_list: VM list; without it nodes join by the seeds alone.
        rating: Rating service; without it versions keep their prior quality.
        weights: Weight store; needed for roll-outs.
    """

    log: str
    vm_list: str = ""
    rating: str = ""
    weights: str = ""


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """Authentication of messages between nodes and addresses of seed peers.

    Attributes:
        keys: Key id to secret; the first signs, any of them verifies.
        seeds: Addresses `host:port` to join by when the VM list is out.
        via: Addresses to connect to in place of peers' own; tests put fault
            proxies there.
    """

    keys: dict[str, str]
    seeds: tuple[str, ...] = ()
    via: dict[str, str] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True)
class Timings:
    """Intervals and time limits, in seconds.

    Attributes:
        exchange_s: Period of the exchange with two peers.
        suspect_s: Silence after which a member is suspected.
        gone_s: Silence after which a suspect counts as gone.
        log_poll_s: Wait between reads of the log.
        confirm_limit_s: Age of the last confirmation above which a node
            without a majority refuses new work.
        promise_s: Time for which a successor promises not to claim a slot.
        promise_use_s: Part of the promise that the owner uses; the rest is a
            margin for clocks that run at different speeds.
        bill_chunk_s: Shortest period of bills on the log.
        entry_ttl_s: Time for which callers may keep entry addresses; a
            leaving node serves for that long.
        session_idle_s: Idle time after which a session loses its version.
        run_retention_s: Time for which an idempotency key is remembered.
        drain_s: Longest wait for running requests during a shutdown.
    """

    exchange_s: float = 1.0
    suspect_s: float = 4.0
    gone_s: float = 8.0
    log_poll_s: float = 0.5
    confirm_limit_s: float = 6.0
    promise_s: float = 4.0
    promise_use_s: float = 3.6
    bill_chunk_s: float = 2.0
    entry_ttl_s: float = 5.0
    session_idle_s: float = 1800.0
    run_retention_s: float = 3600.0
    drain_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Maximum sizes of tables and bodies; at a limit, new work is refused.

    Attributes:
        in_flight: Requests that run at the same time on this node.
        body_bytes: Size of a request body, in bytes.
        pins: Session pins kept on this node.
        runs: Idempotency keys kept on this node.
        bill_entries: Bills that wait for the log, copies included.
        members: Known nodes, gone ones included.
    """

    in_flight: int = 2_000
    body_bytes: int = 2_000_000
    pins: int = 100_000
    runs: int = 100_000
    bill_entries: int = 200_000
    members: int = 1_024


@dataclasses.dataclass(frozen=True)
class StatsdSettings:
    """Address of the statsd daemon and prefix of the metrics.

    Attributes:
        host: Host of the statsd daemon; empty turns sending off.
        port: UDP port.
        prefix: First part of each metric's name.
    """

    host: str = ""
    port: int = 8125
    prefix: str = "amaranthlug"


@dataclasses.dataclass(frozen=True)
class NodeSettings:
    """All settings of one node.

    Attributes:
        name: Name in logs.
        address: `host:port` that callers and peers connect to.
        zone: Availability zone of the VM.
        region: Region of the zone.
        platform: Services of the platform.
        peers: Messages between nodes.
        zone_order: Other zones by distance, nearest first.
        timings: Periods and limits.
        bounds: Bounds of tables and bodies.
        statsd: Where metrics go.
        log_level: Least level of logs, such as `INFO`.
        seed: Makes jitter and choices repeatable; for tests only.
    """

    name: str
    address: str
    zone: str
    region: str
    platform: PlatformSettings
    peers: PeerSettings
    zone_order: tuple[str, ...] = ()
    timings: Timings = dataclasses.field(default_factory=Timings)
    bounds: Bounds = dataclasses.field(default_factory=Bounds)
    statsd: StatsdSettings = dataclasses.field(default_factory=StatsdSettings)
    log_level: str = "INFO"
    seed: int | None = None
