"""What servers have said of themselves in their answers to this node."""

import dataclasses
import logging
from collections.abc import Callable

from amaranthlug.state.routing.fleet import (
    BrittleServices,
    ReportedBrittleness,
)
from amaranthlug.state.routing.servers import ServerEntry

BRITTLE_HOLD_S = 10.0
"""Time for which a statement that servers are brittle holds unless they repeat
it, in seconds; where many nodes use few servers, a node hears from each of them
every few seconds only."""

log = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class Brittleness:
    """A statement that the servers of a service are brittle.

    Attributes:
        max_refusals: Requests that a server may turn away in one second; one
            more makes it fall over.
        heard_at: Clock when a server last said so, in seconds.
    """

    max_refusals: float
    heard_at: float


@dataclasses.dataclass(frozen=True)
class NamedLimit:
    """A server's limit on what it takes from all nodes together.

    Attributes:
        per_second: Requests a second.
        heard_at: Clock when it last named the limit, in seconds.
    """

    per_second: float
    heard_at: float


class ServerStatements:
    """What holds for servers since they said so themselves.

    A statement concerns one instance; another one at its address is not bound
    by it. Only brittleness is one of all servers of a service, so it also
    holds for those that this node has not heard since.

    Attributes:
        leaving: Instances that leave, until they are removed.
        paused_until: Instance -> clock until which it wants no request, in
            seconds.
        brittle: Instance -> its statement that it is brittle.
        brittle_services: Service -> latest such statement of a server of it.
        told_services: The same as other nodes have heard it.
        sound_at: Instance -> clock when it last answered without such a
            statement, in seconds.
        limits: Instance -> its limit on the requests of all nodes.
    """

    def __init__(self, clock: Callable[[], float]):
        """Creates a register without statements; `clock` returns seconds."""
        self.clock = clock
        self.leaving: set[tuple[str, int]] = set()
        self.paused_until: dict[tuple[str, int], float] = {}
        self.brittle: dict[tuple[str, int], Brittleness] = {}
        self.brittle_services: dict[str, Brittleness] = {}
        self.told_services: dict[str, Brittleness] = {}
        self.sound_at: dict[tuple[str, int], float] = {}
        self.limits: dict[tuple[str, int], NamedLimit] = {}

    def record_leaving(self, server: ServerEntry) -> None:
        """Records a server that gets no new request from now on."""
        if server.instance_key in self.leaving:
            return
        self.leaving.add(server.instance_key)
        log.info(
            "server %s leaves",
            server.server_id,
            extra={"event": "server_leaving", "server": server.server_id},
        )

    def record_pause(self, server: ServerEntry, pause_s: float) -> None:
        """Records a server that wants no request for a while.

        A later statement does not shorten an earlier one.

        Args:
            server: The server.
            pause_s: Length of the pause, in seconds.
        """
        key = server.instance_key
        now = self.clock()
        until = max(now + pause_s, self.paused_until.get(key, now))
        if key not in self.paused_until:
            log.info(
                "server %s wants no request for %.1f s",
                server.server_id,
                pause_s,
                extra={
                    "event": "server_paused",
                    "server": server.server_id,
                    "pause_s": pause_s,
                },
            )
        self.paused_until[key] = until

    def may_receive(self, server: ServerEntry) -> bool:
        """Returns whether a server wants new requests from this node."""
        key = server.instance_key
        if key in self.leaving:
            return False
        until = self.paused_until.get(key)
        if until is None:
            return True
        if self.clock() < until:
            return False
        del self.paused_until[key]
        return True

    def record_brittle(
        self, server: ServerEntry, max_refusals: float | None
    ) -> None:
        """Records whether an answer says that its server is brittle.

        Args:
            server: The server.
            max_refusals: Requests that it may turn away in one second, None if
                the answer does not say that it is brittle.
        """
        key = server.instance_key
        was_brittle = self.max_refusals(server) is not None
        if max_refusals is None:
            self.brittle.pop(key, None)
            if self.service_statement(server.service) is not None:
                self.sound_at[key] = self.clock()
        else:
            statement = Brittleness(max_refusals, self.clock())
            self.brittle[key] = statement
            self.brittle_services[server.service] = statement
        if was_brittle != (max_refusals is not None):
            log.info(
                "server %s is %s",
                server.server_id,
                "no longer brittle" if was_brittle else "brittle",
                extra={
                    "event": "server_brittle",
                    "server": server.server_id,
                    "service": server.service,
                    "max_refusals": max_refusals,
                },
            )

    def reported_brittleness(self) -> BrittleServices:
        """Returns what servers have told this node itself, for its report.

        What other nodes have heard they report themselves, so that it expires.
        """
        now = self.clock()
        return {
            service: ReportedBrittleness(
                statement.max_refusals, now - statement.heard_at
            )
            for service, statement in self.brittle_services.items()
            if now - statement.heard_at <= BRITTLE_HOLD_S
        }

    def receive_brittleness(self, brittle: BrittleServices) -> None:
        """Takes over what other nodes have heard."""
        now = self.clock()
        for service, reported in brittle.items():
            heard_at = now - max(0.0, reported.age_s)
            known = self.told_services.get(service)
            if known is not None and known.heard_at >= heard_at:
                continue
            is_new = known is None and service not in self.brittle_services
            self.told_services[service] = Brittleness(
                max(0.0, reported.max_refusals), heard_at
            )
            if is_new:
                log.info(
                    "servers of %s are brittle, as other nodes report",
                    service,
                    extra={
                        "event": "service_brittle",
                        "service": service,
                        "max_refusals": reported.max_refusals,
                        "age_s": round(reported.age_s, 1),
                    },
                )

    def service_statement(self, service: str) -> Brittleness | None:
        """Returns the latest statement of any server of a service."""
        statements = [
            statement
            for statement in (
                self.brittle_services.get(service),
                self.told_services.get(service),
            )
            if statement is not None
        ]
        return max(statements, key=lambda s: s.heard_at, default=None)

    def record_limit(
        self, server: ServerEntry, per_second: float | None, sent_at: float
    ) -> None:
        """Records whether an answer names a limit.

        Args:
            server: The server.
            per_second: Requests a second that it takes from all nodes
                together, None if the answer names no limit.
            sent_at: Clock when the request was sent, in seconds. An answer to
                an earlier one does not end a limit.
        """
        key = server.instance_key
        former = self.limits.get(key)
        if per_second is not None:
            self.limits[key] = NamedLimit(per_second, self.clock())
        elif former is not None and sent_at >= former.heard_at:
            del self.limits[key]
        elif former is not None:
            return
        if per_second != (former.per_second if former else None):
            log.info(
                "server %s takes %s requests a second",
                server.server_id,
                "any number of" if per_second is None else per_second,
                extra={
                    "event": "server_limit",
                    "server": server.server_id,
                    "per_second": per_second,
                },
            )

    def limit(self, server: ServerEntry) -> float | None:
        """Returns the requests a second that a server takes, None if any."""
        named = self.limits.get(server.instance_key)
        return None if named is None else named.per_second

    def max_refusals(self, server: ServerEntry) -> float | None:
        """Returns how many requests a brittle server may turn away a second.

        Returns None if the server is not known to be brittle.
        """
        key = server.instance_key
        now = self.clock()
        statement = self.brittle.get(key)
        if statement is None or now - statement.heard_at > BRITTLE_HOLD_S:
            statement = self.service_statement(server.service)
            sound_at = self.sound_at.get(key)
            if statement is None or (
                sound_at is not None and sound_at >= statement.heard_at
            ):
                return None
        if now - statement.heard_at > BRITTLE_HOLD_S:
            return None
        return statement.max_refusals

    def keep_only(self, listed: set[tuple[str, int]]) -> None:
        """Forgets instances that are not listed and what has expired."""
        self.leaving &= listed
        for by_instance in (
            self.paused_until,
            self.brittle,
            self.sound_at,
            self.limits,
        ):
            for key in [key for key in by_instance if key not in listed]:
                del by_instance[key]
        now = self.clock()
        for by_service in (self.brittle_services, self.told_services):
            for service, statement in list(by_service.items()):
                if now - statement.heard_at > BRITTLE_HOLD_S:
                    del by_service[service]
