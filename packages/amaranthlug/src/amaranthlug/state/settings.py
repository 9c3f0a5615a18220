"""Settings of a node as data classes; read by `protocol/settings_file`."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class PlatformSettings:
    """Base URLs of the platform's services; empty when absent."""

    log: str
    vm_list: str = ""
    rating: str = ""
    weights: str = ""


@dataclasses.dataclass(frozen=True)
class PeerSettings:
    """Keys of messages between nodes and addresses of a first few peers.

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
    """Periods and limits, in seconds unless the name says otherwise."""

    exchange_s: float = 1.0
    suspect_s: float = 4.0
    gone_s: float = 8.0
    log_poll_s: float = 0.5
    confirm_limit_s: float = 6.0
    promise_s: float = 4.0
    promise_use_s: float = 3.6
    bill_chunk_s: float = 2.0
    load_poll_s: float = 0.5
    entry_ttl_s: float = 5.0
    session_idle_s: float = 1800.0
    run_retention_s: float = 3600.0
    drain_s: float = 60.0


@dataclasses.dataclass(frozen=True)
class Bounds:
    """Bounds of tables and bodies."""

    in_flight: int = 2_000
    body_bytes: int = 2_000_000
    pins: int = 100_000
    runs: int = 100_000
    bill_entries: int = 200_000
    members: int = 1_024


@dataclasses.dataclass(frozen=True)
class StatsdSettings:
    """Where statsd listens; an empty host turns sending off."""

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
        zone_order: Other zones by distance, nearest first.
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
