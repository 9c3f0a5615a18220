"""Which upstream servers may receive work."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.servers import ServerEntry, ServerState

LAPSE_GRACE_S = 1.5
"""Time after an outage of the store for which an entry that lapsed meanwhile
is still used, in seconds: live servers are back within about 2 s, and a server
that is gone must receive nothing 2 s after its removal was read."""

log = logging.getLogger(__name__)


class ServerDecoder(Protocol):
    """Decodes server entries."""

    def server(self, record: KeyedRecord) -> ServerEntry:
        """Returns an entry.

        Raises:
            ValueError: It cannot be read.
        """
        ...


@dataclasses.dataclass
class KnownServer:
    """A server with the time at which it is dropped, if it is."""

    entry: ServerEntry
    since: float
    drop_at: float | None = None


class ServerDirectory:
    """Keeps the readable entries of servers by their identity."""

    def __init__(
        self,
        decoder: ServerDecoder,
        regained_at: Callable[[], float],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a directory.

        Args:
            decoder: Decodes records.
            regained_at: Returns the end of the store's last outage.
            clock: Returns seconds.
        """
        self.decoder = decoder
        self.regained_at = regained_at
        self.clock = clock
        self.known: dict[str, KnownServer] = {}
        self.by_service: dict[str, list[ServerEntry]] | None = None

    def replace(self, records: list[KeyedRecord]) -> None:
        """Takes all entries; those that are missing are removed."""
        present = {record.key for record in records}
        for key in [key for key in self.known if key not in present]:
            self.remove(key)
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> bool:
        """Takes a new entry, or the removal of one."""
        if record.value is None:
            return self.remove(record.key)
        try:
            entry = self.decoder.server(record)
        except ValueError as error:
            log.warning(
                "an entry of a server cannot be read, it names none: %s",
                error,
                extra={"event": "server_unreadable", "subject": record.key},
            )
            return self.remove(record.key)
        known = self.known.get(record.key)
        if (
            known is not None
            and known.drop_at is None
            and (known.entry == entry)
        ):
            return False
        self.by_service = None
        since = self.clock()
        if known is not None and known.entry.instance_key == entry.instance_key:
            since = known.since
        self.known[record.key] = KnownServer(entry, since)
        log.info(
            "server %s of %s is %s",
            entry.server_id,
            entry.service,
            entry.state.value,
            extra={
                "event": "server",
                "server": entry.server_id,
                "version": entry.version,
                "address": entry.address,
            },
        )
        return True

    def remove(self, key: str) -> bool:
        """Drops an entry, after a grace if it lapsed in an outage."""
        known = self.known.get(key)
        if known is None or known.drop_at is not None:
            return False
        now = self.clock()
        recent = now - self.regained_at() < LAPSE_GRACE_S
        if recent and known.entry.state is ServerState.READY:
            known.drop_at = now + LAPSE_GRACE_S
        else:
            del self.known[key]
        self.by_service = None
        log.info(
            "server %s is no longer listed",
            key,
            extra={"event": "server_gone", "server": key, "grace": recent},
        )
        return True

    def usable(self, service: str) -> list[ServerEntry]:
        """Returns the ready servers of a service."""
        now = self.clock()
        lapsed = [
            key
            for key, known in self.known.items()
            if known.drop_at is not None and known.drop_at <= now
        ]
        for key in lapsed:
            del self.known[key]
            self.by_service = None
        if self.by_service is None:
            self.by_service = {}
            for known in self.known.values():
                if known.entry.state is ServerState.READY:
                    self.by_service.setdefault(known.entry.service, []).append(
                        known.entry
                    )
        return self.by_service.get(service, [])

    def is_usable(self, entry: ServerEntry) -> bool:
        """Tells whether this life of a server may still receive work."""
        known = self.known.get(entry.server_id)
        return (
            known is not None
            and known.entry.instance_key == entry.instance_key
            and known.entry.state is ServerState.READY
            and (known.drop_at is None or known.drop_at > self.clock())
        )

    def started_at(self, entry: ServerEntry) -> float:
        """Returns the clock at which this life was first seen."""
        known = self.known.get(entry.server_id)
        return known.since if known is not None else self.clock()
