"""Chooses a server of a pool by load, distance and cached prefixes."""

import math
import random
from collections.abc import Callable

import xxhash
from result import Err, Ok, Result

from amaranthlug.coordination.peers import MemberView
from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.choice_refusals import (
    no_version,
    poisoned,
    pools_exhausted,
)
from amaranthlug.protocol.poison import poison_digest
from amaranthlug.protocol.prefix_affinity import PrefixAffinity, prefix_key
from amaranthlug.protocol.server_state import ServerState
from amaranthlug.protocol.services import CatalogView, RoutedRequest
from amaranthlug.protocol.suspects import SuspectRegister
from amaranthlug.protocol.upstream import EngineLoad
from amaranthlug.state.catalog import Pool, Upstream, VersionId
from amaranthlug.state.refusal import Refusal

ZONE_PENALTY = 0.1
"""Load that a server in the next nearest zone appears to have more; farther
zones are only slightly worse, because latencies hardly differ."""

FAR_PENALTY = 0.02

AFFINITY_BONUS = 0.25
"""Load by which the home of a prefix may be above others; prefilling a cached
prefix again costs about that much."""

BOUNDED_LOAD = 1.25
"""A home above this multiple of the pool's mean load gets no bonus."""

CAP_PENALTY = 1.0
"""Load that a server at its cap of new work appears to have more."""

MEAN_S = 0.05
"""Age at which a pool's mean load is computed anew, in seconds."""

SILENT_S = 3.0
"""A server without an answer to polls for so long gets no work; longer when
there are too many servers to poll all of them every half second."""

MAX_SUBSET = 24
"""Servers of a pool that one node uses; bounds the time of a choice and the
polls. Different nodes use different ones, chosen by rendezvous hashing."""

KEPT_OFF_S = 600.0
"""Time for which a version is kept off a server that spoils it, in seconds;
then the server gets some work again and its test starts anew."""

JITTER = 0.2

MAX_EJECTED = 0.5
"""Part of a pool that failures may eject; more points to another cause."""


def rank_of(node: str, address: str) -> int:
    """Returns the rendezvous rank of a server for a node."""
    return xxhash.xxh3_64_intdigest(f"{node}|{address}".encode())


class LoadServerChooser:
    """The `ServerChooser` of this node; also a `PoolView`."""

    def __init__(
        self,
        view: CatalogView,
        members: MemberView,
        suspects: SuspectRegister,
        metrics: Metrics,
        now: Callable[[], float],
        zone: str,
        zone_order: tuple[str, ...] = (),
        departing: Callable[[str], bool] = lambda address: False,
        seed: int | None = None,
    ):
        """Creates a chooser.

        Args:
            view: Configuration in force.
            members: Nodes among which new work is divided.
            suspects: Suspected requests.
            metrics: Counters.
            now: Monotonic clock.
            zone: Zone of this node.
            zone_order: Other zones, nearest first.
            departing: Tells by the VM list whether a server is leaving.
            seed: Makes choices repeatable.
        """
        self.view = view
        self.members = members
        self.suspects = suspects
        self.metrics = metrics
        self.now = now
        self.zone = zone
        self.zone_order = zone_order
        self.departing = departing
        self.random = random.Random(seed)
        self.affinity = PrefixAffinity()
        self.servers: dict[str, ServerState] = {}
        self.silent_s = SILENT_S
        self.means: dict[str, tuple[float, float]] = {}
        self.subsets: dict[str, tuple[Pool, tuple[Upstream, ...]]] = {}

    def state(self, address: str) -> ServerState:
        """Returns what is known of a server."""
        state = self.servers.get(address)
        if state is None:
            now = self.now()
            state = self.servers[address] = ServerState(now, now)
        return state

    def subset(self, pool: Pool) -> tuple[Upstream, ...]:
        """Returns the servers of a pool that this node uses."""
        servers = pool.upstreams
        if len(servers) <= MAX_SUBSET:
            return servers
        found = self.subsets.get(pool.name)
        if found is None or found[0] is not pool:
            me = self.members.me.incarnation
            ranked = sorted(servers, key=lambda s: rank_of(me, s.address))
            found = self.subsets[pool.name] = (
                pool,
                tuple(ranked[:MAX_SUBSET]),
            )
        return found[1]

    def _pool(self, version: VersionId) -> Pool | None:
        catalog = self.view.catalog()
        declared = catalog.versions.get(version)
        return catalog.pools.get(declared.pool) if declared else None

    def _usable(
        self, server: Upstream, version: VersionId, digest: str = ""
    ) -> bool:
        """Tells whether a server may get work of a version at all."""
        state, now = self.state(server.address), self.now()
        if state.load is not None and state.load.draining:
            return False
        if now - state.heard_at > self.silent_s or self.departing(
            server.address
        ):
            return False
        if now < state.ejected_until or (state.probing and state.in_flight):
            return False
        if self.suspects.reserved(server.address, digest):
            return False
        return state.runs(str(version), now)

    def exhausted(self, version: VersionId) -> bool:
        """Tells whether no server of the version's pool can take work."""
        pool, now = self._pool(version), self.now()
        return pool is None or not any(
            self.state(server.address).has_room(now)
            and self._usable(server, version)
            for server in self.subset(pool)
        )

    def pick(
        self,
        request: RoutedRequest,
        version: VersionId,
        exclude: frozenset[str],
    ) -> Result[Upstream, Refusal]:
        """Picks a server that runs the version and counts it as in flight."""
        digest = self._suspected_digest(request)
        if digest and self.suspects.blocked(digest):
            return Err(poisoned(not_run=True))
        pool = self._pool(version)
        if (
            pool is None
            or not pool.upstreams
            or self.view.is_withdrawn(version)
        ):
            return Err(no_version(str(version)))
        now = self.now()

        def usable(server: Upstream) -> bool:
            return (
                server.address not in exclude
                and self.state(server.address).has_room(now)
                and self._usable(server, version, digest)
            )

        if digest:
            server = self._alone(pool, usable, digest)
        else:
            server = self._best(request, pool, usable, now)
        if server is None:
            return Err(pools_exhausted([str(version)]))
        self.state(server.address).in_flight += 1
        return Ok(server)

    def _suspected_digest(self, request: RoutedRequest) -> str:
        """Returns the digest of a suspect, '' for other requests."""
        if not self.suspects.suspects:
            return ""
        digest = poison_digest(request)
        return digest if self.suspects.suspected(digest) else ""

    def _alone(
        self, pool: Pool, usable: Callable[[Upstream], bool], digest: str
    ) -> Upstream | None:
        """Returns an idle server for a suspect and keeps others off it.

        Without an idle one the least loaded is kept free of new work, so that
        the suspect finds it idle when it is sent again.
        """
        servers = [s for s in self.subset(pool) if usable(s)]
        if not servers:
            return None
        now = self.now()
        chosen = min(servers, key=lambda s: self.state(s.address).work(now))
        self.suspects.reserve(chosen.address, digest)
        return chosen if self._idle(chosen.address) else None

    def _idle(self, address: str) -> bool:
        """Tells whether a suspect would harm nobody else on a server."""
        state = self.state(address)
        load = state.load
        return not state.in_flight and (
            load is None or not (load.running or load.waiting)
        )

    def _best(
        self,
        request: RoutedRequest,
        pool: Pool,
        usable: Callable[[Upstream], bool],
        now: float,
    ) -> Upstream | None:
        """Returns the better of two random servers and the prefix's home.

        Two random candidates keep nodes with equally old reports from all
        choosing the same server.
        """
        near = self.subset(pool)
        some = self.random.sample(near, min(2, len(near)))
        candidates = [server for server in some if usable(server)]
        if not candidates:
            candidates = [server for server in near if usable(server)]
        if not candidates:
            return None
        key = prefix_key(request)
        home, known = self.affinity.home(key, pool.name, near)
        most = BOUNDED_LOAD * self._mean_work(pool, now)
        favoured = None
        if self.state(home.address).work(now) <= most and usable(home):
            candidates.append(home)
            favoured = home if known else None
        return min(candidates, key=lambda s: self._score(s, favoured, now))

    def _mean_work(self, pool: Pool, now: float) -> float:
        """Returns the mean work of servers with one request more."""
        cached = self.means.get(pool.name)
        if cached is not None and now - cached[0] < MEAN_S:
            return cached[1]
        near = self.subset(pool)
        total = sum(self.state(server.address).work(now) for server in near)
        mean = (total + 1) / len(near)
        self.means[pool.name] = (now, mean)
        return mean

    def _score(
        self, server: Upstream, home: Upstream | None, now: float
    ) -> float:
        state = self.state(server.address)
        score = state.occupancy(now) + state.warm_up(now)
        score += self._distance(server.zone)
        score -= AFFINITY_BONUS if server is home else 0.0
        capped = state.new_work() >= self._cap(state)
        return score + (CAP_PENALTY if capped else 0.0)

    def _cap(self, state: ServerState) -> int:
        """Returns the new work until the next report.

        All nodes see the same report at about the same time, so each takes
        about its own part of the free slots, twice over as not all need it.
        """
        free = state.slots()
        if state.load is not None:
            free = max(0, free - state.load.running - state.load.waiting)
        nodes = max(1, len(self.members.live()))
        return max(1, math.ceil(2 * free / nodes))

    def _distance(self, zone: str) -> float:
        if zone == self.zone:
            return 0.0
        order = self.zone_order
        far = order.index(zone) if zone in order else len(order)
        return ZONE_PENALTY + FAR_PENALTY * far

    def done(
        self,
        address: str,
        first_token_s: float,
        failed: bool,
    ) -> None:
        """Ends the count of a picked server.

        Args:
            address: The server.
            first_token_s: Time to the first token; 0 s if none came.
            failed: The server did not do its part.
        """
        state, now = self.state(address), self.now()
        state.in_flight = max(0, state.in_flight - 1)
        if first_token_s:
            self.metrics.timing("server.first_token", first_token_s * 1000)
        if not failed:
            # A pick that was given back without a run proves nothing.
            if first_token_s:
                state.succeed(now)
        elif state.fail(now, self._may_eject(address), self._jitter()):
            self.metrics.incr("server.ejected")

    def queueing(self, address: str) -> bool:
        """Tells whether new work waits at a server because it is full."""
        return self.state(address).occupancy(self.now()) > 1

    def _jitter(self) -> float:
        return self.random.uniform(1 - JITTER, 1 + JITTER)

    def _may_eject(self, address: str) -> bool:
        """Tells whether enough servers of the same pool remain."""
        now = self.now()
        for pool in self.view.catalog().pools.values():
            addresses = [server.address for server in pool.upstreams]
            if address in addresses:
                out = sum(self.state(a).ejected_until > now for a in addresses)
                return out + 1 <= len(addresses) * MAX_EJECTED
        return True

    def keep_off(self, address: str, version: VersionId, reason: str) -> None:
        """Keeps a version off a server that spoils it (an `eject` call)."""
        until = self.now() + KEPT_OFF_S
        self.state(address).kept_off[str(version)] = until

    def report(self, address: str, load: EngineLoad) -> None:
        """Takes a load report."""
        now = self.now()
        state = self.state(address)
        if now - state.heard_at > self.silent_s:
            state.warm_from = now
        state.report(load, now)

    def forget(self, known: set[str]) -> None:
        """Drops idle servers and caches of pools that are no longer there."""
        pools = self.view.catalog().pools
        for name in set(self.subsets) | set(self.means):
            if name not in pools:
                self.subsets.pop(name, None)
                self.means.pop(name, None)
        for address in [a for a in self.servers if a not in known]:
            if not self.servers[address].in_flight:
                del self.servers[address]
