"""Settings of a routing node."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class NodeAddresses:
    """Addresses of a node, each `host:port`.

    Attributes:
        callers: Listener for callers.
        readiness: Listener for the platform's readiness check.
        directory: Listener for callers that look up node addresses.
        metrics: Listener for metrics.
        peers: Listener for other nodes.
    """

    callers: str
    readiness: str
    directory: str
    metrics: str
    peers: str


@dataclasses.dataclass(frozen=True)
class RoutingBounds:
    """Time and retry limits that the platform sets for the deployment.

    Attributes:
        stop_grace_s: Time between the stop signal and the kill, in seconds.
        key_withdrawal_s: Time after which a withdrawn key must be rejected, in
            seconds.
        entry_ttl_s: Longest time for which callers cache node addresses, in
            seconds.
        session_s: Idle time after which a session expires, in seconds.
        retry_share: Retries per request that all nodes together may send.
        retry_allowance: Retries allowed beyond that share, per window.
        retry_window_s: Length of the window, in seconds.
    """

    stop_grace_s: float = 8.0
    key_withdrawal_s: float = 5.0
    entry_ttl_s: float = 5.0
    session_s: float = 5.0
    retry_share: float = 0.9
    retry_allowance: float = 50.0
    retry_window_s: float = 10.0


@dataclasses.dataclass(frozen=True)
class ProcessorLimits:
    """The processor that a VM gives to this process.

    Attributes:
        share: Share of the time of one core.
        speed: Speed of that core, in multiples of a standard core.
    """

    share: float = 0.0
    speed: float = 1.0

    @property
    def capacity(self) -> float:
        """Returns the capacity in standard cores; 0 if it is not known."""
        return round(self.share * self.speed, 2)


@dataclasses.dataclass(frozen=True)
class RoutedNodeSettings:
    """All settings of one node.

    Attributes:
        name: Name of the node in reports and logs.
        zone: Availability zone of the VM.
        region: Region of the zone.
        addresses: Addresses that the node listens on.
        store: `host:port` of the platform's store.
        max_descriptors: File descriptors that the process may open.
        memory_mb: Memory that the process may use, in MiB; by default that of
            the smallest VMs.
        processor: Processor of the VM, by which relays are chosen.
        bounds: Limits set by the deployment.
        engines_per_node: Engines of its zone that the node uses, 0 for all; it
            knows the load of few better than that of many.
        log_level: Lowest level that is logged, such as `INFO`.
        seed: Seed of random choices, for reproducible tests only.
    """

    name: str
    zone: str
    region: str
    addresses: NodeAddresses
    store: str
    max_descriptors: int = 1_024
    memory_mb: float = 128.0
    processor: ProcessorLimits = dataclasses.field(
        default_factory=ProcessorLimits
    )
    bounds: RoutingBounds = dataclasses.field(default_factory=RoutingBounds)
    engines_per_node: int = 5
    log_level: str = "INFO"
    seed: int | None = None
