"""Entries of upstream servers."""

import dataclasses
import enum


class ServerState(enum.Enum):
    """What a server says of itself."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True)
class ServerEntry:
    """One life of an upstream server.

    Attributes:
        server_id: Identity that requests name; it may be used again.
        started_ms: Unix milliseconds of its start; tells two lives with one
            identity apart.
        service: Name of its service.
        address: `host:port`.
        zone: Availability zone.
        version: Version of its software.
        slots: Requests that it runs at once.
        state: Ready or draining.
        cold_ms: Time for which it stays slow after its start, in milliseconds.
        weights: Version of its model weights, if it says one.
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
        """Returns what identifies this life of the server."""
        return self.server_id, self.started_ms
