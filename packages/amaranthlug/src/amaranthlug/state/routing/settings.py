"""Settings of a node that answers routed requests."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NodeAddresses:
    """Addresses of a node, each `host:port`.

    Attributes:
        callers: Where callers connect.
        readiness: Where the platform asks whether the node is ready.
        directory: Where callers ask which nodes to use.
        metrics: Where metrics are read.
        peers: Where other nodes connect.
    """

    callers: str
    readiness: str
    directory: str
    metrics: str
    peers: str


@dataclasses.dataclass(frozen=True)
class RoutingBounds:
    """Bounds that the platform states for the deployment.

    Attributes:
        stop_grace_s: Time between the signal to stop and the kill, in seconds.
        key_withdrawal_s: Time after which a withdrawn key must not work, in
            seconds.
        entry_ttl_s: Longest time for which callers keep addresses, in seconds.
        session_s: Idle time after which a session ends, in seconds.
        retry_share: Repeats per request that all nodes may send.
        retry_allowance: Repeats beyond that share, in one window.
        retry_window_s: Length of that window, in seconds.
    """

    stop_grace_s: float = 8.0
    key_withdrawal_s: float = 5.0
    entry_ttl_s: float = 5.0
    session_s: float = 5.0
    retry_share: float = 0.9
    retry_allowance: float = 50.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class RoutedNodeSettings:
    """All settings of one node.

    Attributes:
        name: Name of the node in reports and logs.
        zone: Availability zone of the VM.
        region: Region of the zone.
        addresses: Where the node serves.
        store: `host:port` of the platform's store.
        max_descriptors: Descriptors that the process may open.
        bounds: Bounds of the deployment.
        log_level: Least level of logs, such as `INFO`.
        seed: Makes choices repeatable; for tests only.
    """

    name: str
    zone: str
    region: str
    addresses: NodeAddresses
    store: str
    max_descriptors: int = 1_024
    bounds: RoutingBounds = dataclasses.field(default_factory=RoutingBounds)
    log_level: str = "INFO"
    seed: int | None = None
