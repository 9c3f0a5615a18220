"""Tracks which upstream servers may receive requests."""

import dataclasses
import logging
from collections import OrderedDict
from collections.abc import Callable
from typing import Protocol

from amaranthlug.coordination.boot_clock import boot_seconds
from amaranthlug.coordination.routing.keyed_store import KeyedRecord
from amaranthlug.state.routing.evacuations import ZoneEvacuations
from amaranthlug.state.routing.server_ends import EndSign
from amaranthlug.state.routing.servers import ServerEntry, ServerState

LAPSE_GRACE_S = 1.5
"""Time for which an entry that lapsed in an outage of the store is still used
after the outage, in seconds. Live servers are listed again within about 2 s,
and a server that is gone must get no request 2 s after its removal was read."""
RELISTED_S = 2.0
"""Time after an outage of the store by which live servers are listed again, in
seconds; an entry that is still missing then is gone."""
RESTORE_GRACE_S = 2.0
"""Time for which a server is still used that is missing in an older copy to
which the store returned, in seconds; live servers write their entries again
within it."""
MAX_DEPARTED = 1_000
"""Most instances of removed servers that are remembered."""

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
        stated_at: Clock when its warm-up time was read, in seconds.
        drop_at: Clock when it is to be dropped, in seconds; None if listed.
        missing_in_copy: It is to be dropped since an older copy of the store
            lacks it, not since its entry was removed.
    """

    entry: ServerEntry
    stated_at: float
    drop_at: float | None = None
    missing_in_copy: bool = False


class ServerDirectory:
    """Holds the valid server entries by server id.

    Attributes:
        evacuations: Zones whose servers are not usable.
        receive_departure: Called with each instance that is replaced or
            removed though it had not announced to leave.
        receive_return: Called with each instance that is listed again after it
            was removed.
    """

    def __init__(
        self,
        decoder: ServerDecoder,
        outage_ended_at: Callable[[], float],
        clock: Callable[[], float] = boot_seconds,
        evacuations: ZoneEvacuations | None = None,
    ):
        """Creates a directory.

        Args:
            decoder: Decodes server entries.
            outage_ended_at: Returns the clock at the end of the last outage of
                the store, in seconds.
            clock: Returns seconds.
            evacuations: Zones whose servers are not usable, by default none.
        """
        self.decoder = decoder
        self.evacuations = evacuations or ZoneEvacuations()
        self.outage_ended_at = outage_ended_at
        self.clock = clock
        self.known: dict[str, KnownServer] = {}
        self.departed: OrderedDict[tuple[str, int], None] = OrderedDict()
        self.by_service: dict[str, list[ServerEntry]] | None = None
        self.receive_departure: Callable[[ServerEntry, EndSign], None] = (
            lambda entry, sign: None
        )
        self.receive_return: Callable[[ServerEntry], None] = lambda entry: None

    def replace(self, records: list[KeyedRecord]) -> None:
        """Applies a full read; entries that it does not contain are removed."""
        listed = {record.key for record in records}
        for key in [key for key in self.known if key not in listed]:
            self.remove(key)
        for record in records:
            self.apply(record)

    def restore(self, records: list[KeyedRecord]) -> list[KeyedRecord]:
        """Compares the servers with those of an older copy of the store.

        Servers that drain or were removed stay so, until they write an entry
        after the copy. Ready ones that it lacks are used for a while, until
        they have written their entries again.
        """
        valid = [r for r in records if not self.is_outdated(r)]
        in_copy = {record.key for record in records}
        for key in [key for key in self.known if key not in in_copy]:
            if self.remove(key, RESTORE_GRACE_S) and key in self.known:
                self.known[key].missing_in_copy = True
        for record in valid:
            self.apply(record)
        return valid

    def is_outdated(self, record: KeyedRecord) -> bool:
        """Returns whether a copy's entry is older than what is known."""
        try:
            entry = self.decoder.server(record)
        except ValueError:
            return False  # `apply` reports it.
        if entry.instance_key in self.departed:
            return True
        known = self.known.get(record.key)
        if known is None:
            return False
        if known.entry.instance_key != entry.instance_key:
            return entry.started_ms < known.entry.started_ms
        was_removed = known.drop_at is not None and not known.missing_in_copy
        left = was_removed or known.entry.state is ServerState.DRAINING
        return left and entry.state is ServerState.READY

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
        self.report_replaced(entry)
        stated_at = self.clock()
        if (
            known is not None
            and known.entry.instance_key == entry.instance_key
            and known.entry.cold_ms == entry.cold_ms
        ):
            stated_at = known.stated_at
        self.known[record.key] = KnownServer(entry, stated_at)
        if entry.instance_key in self.departed:
            del self.departed[entry.instance_key]
            self.receive_return(entry)
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

    def report_replaced(self, new: ServerEntry) -> None:
        """Reports instances at whose id or address a new one started."""
        for known in list(self.known.values()):
            entry = known.entry
            if (
                entry.instance_key != new.instance_key
                and (
                    entry.server_id == new.server_id
                    or entry.address == new.address
                )
                and entry.started_ms < new.started_ms
            ):
                self.report_departure(known, EndSign.REPLACED)

    def report_departure(self, known: KnownServer, sign: EndSign) -> None:
        """Reports an instance that had not announced to leave."""
        if known.entry.state is ServerState.READY:
            self.receive_departure(known.entry, sign)

    def remove(self, key: str, grace_s: float = 0.0) -> bool:
        """Removes an entry, with a delay if it may have lapsed in an outage.

        Args:
            key: Key of the entry.
            grace_s: Time for which a ready server is used in any case, in
                seconds.
        """
        known = self.known.get(key)
        if known is None or known.drop_at is not None:
            return False
        now = self.clock()
        since_outage_s = now - self.outage_ended_at()
        if since_outage_s < LAPSE_GRACE_S:
            lapse_grace_s = min(LAPSE_GRACE_S, RELISTED_S - since_outage_s)
            grace_s = max(grace_s, lapse_grace_s)
        if grace_s and known.entry.state is ServerState.READY:
            known.drop_at = now + grace_s
        else:
            self.drop(key)
        self.by_service = None
        log.info(
            "server %s was removed from the store",
            key,
            extra={
                "event": "server_gone",
                "server": key,
                "grace_s": round(grace_s, 2),
            },
        )
        return True

    def drop(self, key: str) -> None:
        """Forgets a server, but not which instance was removed."""
        known = self.known.pop(key)
        if known.missing_in_copy:
            return
        self.report_departure(known, EndSign.REMOVED)
        self.departed[known.entry.instance_key] = None
        if len(self.departed) > MAX_DEPARTED:
            self.departed.popitem(last=False)

    def usable_servers(self, service: str) -> list[ServerEntry]:
        """Returns the ready servers of a service and drops expired entries."""
        now = self.clock()
        expired = [
            key
            for key, known in self.known.items()
            if known.drop_at is not None and known.drop_at <= now
        ]
        for key in expired:
            self.drop(key)
            self.by_service = None
        if self.by_service is None:
            self.by_service = {}
            for known in self.known.values():
                if known.entry.state is ServerState.READY:
                    self.by_service.setdefault(known.entry.service, []).append(
                        known.entry
                    )
        ready = self.by_service.get(service, [])
        if not self.evacuations.zones:
            return ready
        return [s for s in ready if not self.evacuations.is_evacuated(s.zone)]

    def is_usable(self, entry: ServerEntry) -> bool:
        """Returns whether this server instance may still receive requests."""
        known = self.find_known(entry)
        return (
            known is not None
            and known.entry.state is ServerState.READY
            and (known.drop_at is None or known.drop_at > self.clock())
            and not self.evacuations.is_evacuated(entry.zone)
        )

    def listed(self) -> list[ServerEntry]:
        """Returns the entries of all registered servers."""
        return [known.entry for known in self.known.values()]

    def is_listed(self, entry: ServerEntry) -> bool:
        """Returns whether this server instance is registered."""
        return self.find_known(entry) is not None

    def find_known(self, entry: ServerEntry) -> KnownServer | None:
        """Returns what is known of an instance, None if it is not listed."""
        known = self.known.get(entry.server_id)
        if known is None or known.entry.instance_key != entry.instance_key:
            return None
        return known

    def find_instance(self, name: str) -> ServerEntry | None:
        """Returns the entry of an instance, None if it is not registered."""
        known = self.known.get(name.rpartition("@")[0])
        if known is None or known.entry.instance_name != name:
            return None
        return known.entry

    def warm_up_stated_at(self, entry: ServerEntry) -> float:
        """Returns the clock when a warm-up time was read, in seconds."""
        known = self.known.get(entry.server_id)
        return known.stated_at if known is not None else self.clock()
