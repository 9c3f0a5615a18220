"""Registrations of upstream servers."""

import dataclasses
import enum


class ServerState(enum.Enum):
    """State that a server reports of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """The registration of one instance of an upstream server.

    Attributes:
        server_id: Identity that requests name; a later instance may reuse it.
        started_ms: Unix time of its start, in milliseconds; distinguishes
            instances with the same identity.
        service: Name of its service.
        address: `host:port`.
        zone: Availability zone.
        version: Version of its software.
        slots: Requests that it runs concurrently.
        state: Whether it accepts new requests or drains.
        cold_ms: Warm-up time after its start, in milliseconds.
        weights: Version of its model weights, None if not stated.
    """

    server_id: str
    started_ms: int
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: ServerState
    cold_ms: int = 0
    weights: int | None = None

    @property
    def instance_key(self) -> tuple[str, int]:
        """Returns identity and start time, which identify the instance."""
        return self.server_id, self.started_ms

    @property
    def instance_name(self) -> str:
        """Returns the instance key as one text."""
        return f"{self.server_id}@{self.started_ms}"
