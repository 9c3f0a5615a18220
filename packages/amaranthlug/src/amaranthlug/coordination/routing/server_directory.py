"""Tracks which upstream servers may receive requests."""

import dataclasses
import logging
from collections.abc import Callable
from typing import Protocol

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.servers import ServerEntry, ServerState

LAPSE_GRACE_S = 1.5
"""Time for which an entry that lapsed in an outage of the store is still used
after the outage, in seconds. Live servers are listed again within about 2 s,
and a server that is gone must get no request 2 s after its removal was read."""

log = logging.getLogger(__name__)


class ServerDecoder(Protocol):
    """Decodes records of server entries."""

    def server(self, record: KeyedRecord) -> ServerEntry:
        """Returns the entry.

        Raises:
            ValueError: The record is malformed.
        """
        ...


@dataclasses.dataclass
class KnownServer:
    """A listed server.

    Attributes:
        entry: Its newest entry.
        first_seen_at: Clock when this instance was first seen, in seconds.
        drop_at: Clock when it is to be dropped, in seconds; None if listed.
    """

    entry: ServerEntry
    first_seen_at: float
    drop_at: float | None = None


class ServerDirectory:
    """Holds the valid server entries by server id."""

    def __init__(
        self,
        decoder: ServerDecoder,
        outage_ended_at: Callable[[], float],
        clock: Callable[[], float] = boot_seconds,
    ):
        """Creates a directory.

        Args:
            decoder: Decodes server entries.
            outage_ended_at: Returns the clock at the end of the last outage of
                the store, in seconds.
            clock: Returns seconds.
        """
        self.decoder = decoder
        self.outage_ended_at = outage_ended_at
        self.clock = clock
        self.known: dict[str, KnownServer] = {}
        self.by_service: dict[str, list[ServerEntry]] | None = None

    def replace(self, records: list[KeyedRecord]) -> None:
        """Applies a full read; entries that it does not contain are removed."""
        listed = {record.key for record in records}
        for key in [key for key in self.known if key not in listed]:
            self.remove(key)
        for record in records:
            self.apply(record)

    def apply(self, record: KeyedRecord) -> bool:
        """Applies an entry or its removal; True if it changed anything.

        A malformed entry removes the server.
        """
        if record.value is None:
            return self.remove(record.key)
        try:
            entry = self.decoder.server(record)
        except ValueError as error:
            log.warning(
                "malformed server entry, the server is not used: %s",
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
        first_seen_at = self.clock()
        if known is not None and known.entry.instance_key == entry.instance_key:
            first_seen_at = known.first_seen_at
        self.known[record.key] = KnownServer(entry, first_seen_at)
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
        """Removes an entry, with a delay if it may have lapsed in an outage."""
        known = self.known.get(key)
        if known is None or known.drop_at is not None:
            return False
        now = self.clock()
        lapsed_in_outage = now - self.outage_ended_at() < LAPSE_GRACE_S
        if lapsed_in_outage and known.entry.state is ServerState.READY:
            known.drop_at = now + LAPSE_GRACE_S
        else:
            del self.known[key]
        self.by_service = None
        log.info(
            "server %s was removed from the store",
            key,
            extra={
                "event": "server_gone",
                "server": key,
                "grace": lapsed_in_outage,
            },
        )
        return True

    def usable_servers(self, service: str) -> list[ServerEntry]:
        """Returns the ready servers of a service and drops expired entries."""
        now = self.clock()
        expired = [
            key
            for key, known in self.known.items()
            if known.drop_at is not None and known.drop_at <= now
        ]
        for key in expired:
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
        """Returns whether this server instance may still receive requests."""
        known = self.known.get(entry.server_id)
        return (
            known is not None
            and known.entry.instance_key == entry.instance_key
            and known.entry.state is ServerState.READY
            and (known.drop_at is None or known.drop_at > self.clock())
        )

    def first_seen_at(self, entry: ServerEntry) -> float:
        """Returns the clock when this server was first seen, in seconds."""
        known = self.known.get(entry.server_id)
        return known.first_seen_at if known is not None else self.clock()
