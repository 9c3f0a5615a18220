"""Register of requests that may crash the servers they run on.

A request that was running on a server when it crashed is suspected and runs
alone on a server from then on. It is blocked after further crashes and cleared
when it completes.
"""

import dataclasses
from collections import OrderedDict
from collections.abc import Callable
from typing import Any

from result import Err, Ok, Result

from amaranthlug.coordination.peers import Rumours
from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.choice_refusals import poisoned_refusal
from amaranthlug.protocol.interfaces import ChatRequest
from amaranthlug.protocol.poison import poison_digest
from amaranthlug.state.refusal import Refusal
from amaranthlug.state.suspects import SuspectFact, SuspectTable

TOPIC = "poison"
"""Topic of rumours about requests; the topic `suspect` is about members."""

CRASHES_TO_BLOCK = 2
"""Number of uncleared crashes from which a request is refused."""

MAX_RESERVATION_S = 60.0
"""Time until a reservation expires, in seconds. It matters only if the node
that reserved the server is gone."""

MAX_RESERVED = 64
"""Maximum number of reservations; the oldest ones are dropped."""


@dataclasses.dataclass(frozen=True)
class Reservation:
    """A server that only one suspected request may use.

    Attributes:
        expires_at_s: Monotonic time at which the reservation ends, in seconds.
    """

    digest: str
    name: str
    expires_at_s: float


class SuspectRegister:
    """Implements `Suspects` for all nodes of the fleet.

    Facts about crashes are only ever added, so they may arrive in any order.
    When a server crashes, all requests on it lose their connections and are
    suspected, because the cause is unknown. Harmless requests are cleared when
    they complete.
    """

    def __init__(
        self,
        rumours: Rumours,
        metrics: Metrics,
        now: Callable[[], float],
        incarnation: str,
    ):
        """Creates an empty register and subscribes it to rumours.

        `LoadPoller` sets `confirm`, which is called with the server address
        and the crash identifier to check whether the server really crashed.
        """
        self.rumours = rumours
        self.metrics = metrics
        self.now = now
        self.incarnation = incarnation
        self.suspects = SuspectTable(now, CRASHES_TO_BLOCK)
        self.reservations: OrderedDict[str, Reservation] = OrderedDict()
        self.ended_reservations: OrderedDict[str, None] = OrderedDict()
        self.last_number = 0
        self.confirm: Callable[[str, str], None] | None = None
        rumours.subscribe(TOPIC, self.merge_fact)

    def admit(self, digest: str) -> Result[None, Refusal]:
        """Refuses a blocked request; a suspected one is admitted."""
        if self.blocked(digest):
            return Err(poisoned_refusal(not_run=True))
        return Ok(None)

    def record_crash(self, digest: str, address: str) -> bool:
        """Records that a server crashed while it ran a request.

        Returns:
            False if the server turned out not to have crashed.
        """
        crash = self._unique_name(address)
        self.metrics.incr("poison.crashes")
        self._spread({"digest": digest, "crash": crash})
        self.finished(digest)
        if self.confirm is not None:
            self.confirm(address, crash)
        suspect = self.suspects.find(digest)
        return suspect is None or crash not in suspect.cleared

    def finished(self, digest: str) -> None:
        """Ends the reservations of a suspect."""
        for address, reservation in list(self.reservations.items()):
            if reservation.digest == digest:
                self._spread({"free": address, "name": reservation.name})

    def completed(self, request: ChatRequest) -> None:
        """Clears a suspected request that completed."""
        if not self.suspects:
            return
        digest = poison_digest(request)
        if self.suspected(digest):
            self.metrics.incr("poison.cleared")
            crashes = sorted(self.suspects.suspects[digest].crashes)
            self._spread({"digest": digest, "cleared": crashes})

    def clear_crash(self, crash: str) -> None:
        """Clears all requests of a crash that did not happen."""
        for digest in self.suspects.digests_of(crash):
            self._spread({"digest": digest, "cleared": [crash]})

    def reserve(self, address: str, digest: str) -> None:
        """Reserves a server for one request on all nodes."""
        reservation = self.reservations.get(address)
        if reservation is None or reservation.digest != digest:
            name = self._unique_name(digest)
            self._spread({"alone": address, "digest": digest, "name": name})

    def reserved(self, address: str, digest: str = "") -> bool:
        """Returns whether a server is reserved for another request."""
        reservation = self.reservations.get(address)
        if reservation is None or reservation.expires_at_s <= self.now():
            return False
        return reservation.digest != digest

    def _unique_name(self, subject: str) -> str:
        """Returns a unique name, because equal facts count as repeats."""
        self.last_number += 1
        return f"{subject}|{self.incarnation}|{self.last_number}"

    def _spread(self, fact: dict[str, Any]) -> None:
        self.rumours.spread(TOPIC, fact)

    def merge_fact(self, fact: dict[str, Any]) -> bool:
        """Merges a fact of this node or a peer; returns whether it was new."""
        if "digest" in fact and "alone" not in fact:
            return self._merge_suspect(fact)
        name = fact["name"]
        if "free" in fact:
            self._remember_end(name)
            reservation = self.reservations.get(fact["free"])
            if reservation is None or reservation.name != name:
                return False
            del self.reservations[fact["free"]]
            return True
        address = fact["alone"]
        current = self.reservations.get(address)
        if name in self.ended_reservations or (
            current and current.name == name
        ):
            return False
        expires_at_s = self.now() + MAX_RESERVATION_S
        self.reservations[address] = Reservation(
            fact["digest"], name, expires_at_s
        )
        if len(self.reservations) > MAX_RESERVED:
            self.reservations.popitem(last=False)
        return True

    def _remember_end(self, name: str) -> None:
        """Stores that a reservation ended; this may arrive before its start."""
        self.ended_reservations[name] = None
        if len(self.ended_reservations) > MAX_RESERVED:
            self.ended_reservations.popitem(last=False)

    def _merge_suspect(self, fact: dict[str, Any]) -> bool:
        crashes = [fact["crash"]] if "crash" in fact else []
        cleared = list(fact.get("cleared", ()))
        return self.suspects.merge(
            SuspectFact(fact["digest"], crashes, cleared)
        )

    def suspected(self, digest: str) -> bool:
        """Returns whether a request may run only on a reserved server."""
        return self.suspects.is_suspected(digest)

    def blocked(self, digest: str) -> bool:
        """Returns whether a request must be refused."""
        return self.suspects.is_blocked(digest)
