"""Requests that crash servers: suspected, run alone, condemned or cleared."""

import dataclasses
from collections import OrderedDict, defaultdict
from collections.abc import Callable
from typing import Any

from amaranthlug.coordination.peers import Rumours
from amaranthlug.coordination.platform import Metrics

TOPIC = "suspect"

EXPIRY_S = 600.0
"""Time after which a suspicion ends, in seconds."""

CONDEMNED_BY = 2
"""Crashes after which a request is refused."""

MAX_SUSPECTS = 10_000
"""Digests remembered; the oldest are dropped beyond it."""

MAX_ALONE_S = 60.0
"""Time for which other nodes keep off a server that runs a suspect alone; it
ends the reservation of a node that is gone, in seconds."""


@dataclasses.dataclass
class Suspect:
    """Crashes that a request was in, and those it was cleared of."""

    at: float
    crashes: set[str] = dataclasses.field(default_factory=set)
    cleared: set[str] = dataclasses.field(default_factory=set)

    def count(self) -> int:
        """Returns the crashes that still speak against the request."""
        return len(self.crashes - self.cleared)


class PoisonRegister:
    """Suspected requests; facts only grow, so their order does not matter."""

    def __init__(
        self,
        rumours: Rumours,
        metrics: Metrics,
        now: Callable[[], float],
        incarnation: str,
    ):
        """Creates an empty register and subscribes it to rumours."""
        self.rumours = rumours
        self.metrics = metrics
        self.now = now
        self.incarnation = incarnation
        self.suspects: OrderedDict[str, Suspect] = OrderedDict()
        self.running: dict[str, dict[str, int]] = defaultdict(dict)
        self.alone: dict[str, tuple[str, float]] = {}
        self.crash_number = 0
        rumours.subscribe(TOPIC, self.learn)

    def begin(self, digest: str, address: str) -> None:
        """Notes that a request runs on a server."""
        running = self.running[address]
        running[digest] = running.get(digest, 0) + 1
        if self.suspected(digest):
            self._reserve(address, digest, MAX_ALONE_S)

    def end(self, digest: str, address: str, crashed: bool) -> str:
        """Notes the end of a run; returns the id of a crash or ''.

        All requests that ran on a crashed server become suspects, since
        nothing tells which of them is the cause. A suspect that ends without
        a crash is cleared.
        """
        crash = ""
        if crashed:
            self.crash_number += 1
            crash = f"{address}|{self.incarnation}|{self.crash_number}"
            involved = sorted(self.running.pop(address, {})) or [digest]
            self.metrics.incr("poison.crashes")
            for other in involved:
                self._spread({"digest": other, "crash": crash})
        else:
            self._drop(digest, address)
            if self.suspected(digest):
                self._clear(digest)
        if self.alone.get(address, ("", 0.0))[0] == digest:
            self._reserve(address, digest, 0.0)
        return crash

    def _drop(self, digest: str, address: str) -> None:
        running = self.running.get(address, {})
        if running.get(digest, 0) > 1:
            running[digest] -= 1
        else:
            running.pop(digest, None)
        if not running:
            self.running.pop(address, None)

    def not_crashed(self, crash: str) -> None:
        """Clears all requests of a crash that turned out not to be one."""
        for digest, suspect in list(self.suspects.items()):
            if crash in suspect.crashes - suspect.cleared:
                self._spread({"digest": digest, "cleared": [crash]})

    def _clear(self, digest: str) -> None:
        crashes = sorted(self.suspects[digest].crashes)
        self.metrics.incr("poison.cleared")
        self._spread({"digest": digest, "cleared": crashes})

    def _reserve(self, address: str, digest: str, for_s: float) -> None:
        fact = {"alone": address, "digest": digest, "for_s": for_s}
        self._spread(fact | {"by": self.incarnation})

    def _spread(self, fact: dict[str, Any]) -> None:
        self.rumours.spread(TOPIC, fact)

    def learn(self, fact: dict[str, Any]) -> bool:
        """Merges a fact from here or a peer; True when it was new."""
        if "alone" in fact:
            return self._learn_alone(fact)
        now = self.now()
        digest = fact["digest"]
        suspect = self.suspects.get(digest)
        if suspect is None or now - suspect.at > EXPIRY_S:
            suspect = self.suspects[digest] = Suspect(now)
            if len(self.suspects) > MAX_SUSPECTS:
                self.suspects.popitem(last=False)
        before = (len(suspect.crashes), len(suspect.cleared))
        if "crash" in fact:
            suspect.crashes.add(fact["crash"])
        suspect.cleared.update(fact.get("cleared", ()))
        return before != (len(suspect.crashes), len(suspect.cleared))

    def _learn_alone(self, fact: dict[str, Any]) -> bool:
        address, digest = fact["alone"], fact["digest"]
        known = self.alone.get(address)
        if not fact["for_s"]:
            if known is None or known[0] != digest:
                return False
            del self.alone[address]
            return True
        if known is not None and known[0] == digest:
            return False
        self.alone[address] = (digest, self.now() + fact["for_s"])
        return True

    def _count(self, digest: str) -> int:
        suspect = self.suspects.get(digest)
        if suspect is None or self.now() - suspect.at > EXPIRY_S:
            return 0
        return suspect.count()

    def suspected(self, digest: str) -> bool:
        """Tells whether a request may run only alone."""
        return self._count(digest) > 0

    def condemned(self, digest: str) -> bool:
        """Tells whether a request may not run."""
        return self._count(digest) >= CONDEMNED_BY

    def reserved(self, address: str) -> bool:
        """Tells whether a suspect runs alone on a server."""
        held = self.alone.get(address)
        if held is not None and held[1] <= self.now():
            del self.alone[address]
            return False
        return held is not None
