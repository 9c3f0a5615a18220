"""Chooses a server of a pool by load, zone and cached prompt prefixes."""

import math
import random
from collections.abc import Callable

import xxhash
from result import Err, Ok, Result

from amaranthlug.coordination.peers import MemberView
from amaranthlug.coordination.platform import Metrics
from amaranthlug.protocol.choice_refusals import (
    no_version_refusal,
    poisoned_refusal,
    pools_exhausted_refusal,
)
from amaranthlug.protocol.interfaces import CatalogView, ChatRequest
from amaranthlug.protocol.poison import poison_digest
from amaranthlug.protocol.prefix_affinity import PrefixAffinity, prefix_key
from amaranthlug.protocol.server_state import LocalServerState
from amaranthlug.protocol.suspects import SuspectRegister
from amaranthlug.protocol.upstream import EngineLoad
from amaranthlug.state.catalog import Pool, Upstream, VersionId
from amaranthlug.state.refusal import Refusal

ZONE_PENALTY = 0.1
"""Occupancy added to a server in another zone. Farther zones add only slightly
more, because their latencies hardly differ."""

FAR_PENALTY = 0.02

AFFINITY_BONUS = 0.25
"""Occupancy by which the home server of a prefix may exceed others; computing a
cached prefix again costs about that much."""

MAX_HOME_LOAD_FACTOR = 1.25
"""Multiple of the pool's mean load above which a home server gets no bonus."""

CAP_PENALTY = 1.0
"""Occupancy added to a server at its cap of new work."""

MEAN_WORK_MAX_AGE_S = 0.05
"""Maximum age of a pool's cached mean load, in seconds."""

MIN_SILENCE_TIMEOUT_S = 3.0
"""Time without an answer to polls after which a server gets no work, in
seconds; longer with too many servers to poll each of them every half second."""

MAX_SUBSET_SERVERS = 24
"""Maximum number of servers of a pool that one node uses, which bounds the time
of a choice and the number of polls. Rendezvous hashing gives each node its own
subset."""

VERSION_BLOCK_S = 600.0
"""Time for which a version is blocked on a server that gives bad answers, in
seconds; afterwards the server gets some work and is tested again."""

EJECTION_JITTER = 0.2

MAX_EJECTED_FRACTION = 0.5
"""Maximum fraction of a pool that failures may eject; more failing servers
indicate another cause."""


def rendezvous_hash(node: str, address: str) -> int:
    """Returns the rendezvous hash of a server for a node."""
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
            members: Nodes that share the servers.
            suspects: Requests suspected of crashing servers.
            metrics: Counters.
            now: Monotonic clock.
            zone: Zone of this node.
            zone_order: Other zones, nearest first.
            departing: Returns whether the VM list reports a server as leaving.
            seed: Makes choices reproducible.
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
        self.servers: dict[str, LocalServerState] = {}
        self.silence_timeout_s = MIN_SILENCE_TIMEOUT_S
        self.mean_work_cache: dict[str, tuple[float, float]] = {}
        self.subsets: dict[str, tuple[Pool, tuple[Upstream, ...]]] = {}

    def state(self, address: str) -> LocalServerState:
        """Returns the state of a server, creating it if needed."""
        state = self.servers.get(address)
        if state is None:
            now = self.now()
            state = self.servers[address] = LocalServerState(now, now)
        return state

    def subset(self, pool: Pool) -> tuple[Upstream, ...]:
        """Returns the servers of a pool that this node uses."""
        servers = pool.upstreams
        if len(servers) <= MAX_SUBSET_SERVERS:
            return servers
        cached = self.subsets.get(pool.name)
        if cached is None or cached[0] is not pool:
            own_incarnation = self.members.me.incarnation
            ranked = sorted(
                servers,
                key=lambda s: rendezvous_hash(own_incarnation, s.address),
            )
            cached = self.subsets[pool.name] = (
                pool,
                tuple(ranked[:MAX_SUBSET_SERVERS]),
            )
        return cached[1]

    def _pool(self, version: VersionId) -> Pool | None:
        catalog = self.view.catalog()
        version_info = catalog.versions.get(version)
        return catalog.pools.get(version_info.pool) if version_info else None

    def _is_usable(
        self, server: Upstream, version: VersionId, digest: str = ""
    ) -> bool:
        """Returns whether a server may get work of a version, load aside."""
        state, now = self.state(server.address), self.now()
        if state.load is not None and state.load.draining:
            return False
        if now - state.heard_at > self.silence_timeout_s or self.departing(
            server.address
        ):
            return False
        if now < state.ejected_until or (state.probing and state.in_flight):
            return False
        if self.suspects.reserved(server.address, digest):
            return False
        return state.can_run(str(version), now)

    def is_exhausted(self, version: VersionId) -> bool:
        """Returns whether no server of the version's pool can take work."""
        pool, now = self._pool(version), self.now()
        return pool is None or not any(
            self.state(server.address).has_room(now)
            and self._is_usable(server, version)
            for server in self.subset(pool)
        )

    def pick(
        self,
        request: ChatRequest,
        version: VersionId,
        exclude: frozenset[str],
    ) -> Result[Upstream, Refusal]:
        """Picks a server that runs the version and counts it as in flight."""
        digest = self._suspected_digest(request)
        if digest and self.suspects.blocked(digest):
            return Err(poisoned_refusal(not_run=True))
        pool = self._pool(version)
        if (
            pool is None
            or not pool.upstreams
            or self.view.is_withdrawn(version)
        ):
            return Err(no_version_refusal(str(version)))
        now = self.now()

        def is_usable(server: Upstream) -> bool:
            return (
                server.address not in exclude
                and self.state(server.address).has_room(now)
                and self._is_usable(server, version, digest)
            )

        if digest:
            server = self._pick_isolated(pool, is_usable, digest)
        else:
            server = self._pick_least_loaded(request, pool, is_usable, now)
        if server is None:
            return Err(pools_exhausted_refusal([str(version)]))
        self.state(server.address).in_flight += 1
        return Ok(server)

    def _suspected_digest(self, request: ChatRequest) -> str:
        """Returns the digest of a suspected request, '' for other requests."""
        if not self.suspects.suspects:
            return ""
        digest = poison_digest(request)
        return digest if self.suspects.suspected(digest) else ""

    def _pick_isolated(
        self, pool: Pool, is_usable: Callable[[Upstream], bool], digest: str
    ) -> Upstream | None:
        """Reserves a server for a suspected request; returns it if it is idle.

        If no server is idle, the least loaded one is reserved and gets no new
        work, so that it is idle when the request is retried.
        """
        servers = [s for s in self.subset(pool) if is_usable(s)]
        if not servers:
            return None
        now = self.now()
        chosen = min(servers, key=lambda s: self.state(s.address).work(now))
        self.suspects.reserve(chosen.address, digest)
        return chosen if self._is_idle(chosen.address) else None

    def _is_idle(self, address: str) -> bool:
        """Returns whether a crash of a server would affect no request."""
        state = self.state(address)
        load = state.load
        return not state.in_flight and (
            load is None or not (load.running or load.waiting)
        )

    def _pick_least_loaded(
        self,
        request: ChatRequest,
        pool: Pool,
        is_usable: Callable[[Upstream], bool],
        now: float,
    ) -> Upstream | None:
        """Returns the best of two random servers and the prefix's home server.

        Random candidates prevent nodes with equally old load reports from all
        choosing the same server.
        """
        subset = self.subset(pool)
        sampled = self.random.sample(subset, min(2, len(subset)))
        candidates = [server for server in sampled if is_usable(server)]
        if not candidates:
            candidates = [server for server in subset if is_usable(server)]
        if not candidates:
            return None
        key = prefix_key(request)
        home, is_known = self.affinity.home_server(key, pool.name, subset)
        max_work = MAX_HOME_LOAD_FACTOR * self._mean_work(pool, now)
        bonus_server = None
        if self.state(home.address).work(now) <= max_work and is_usable(home):
            candidates.append(home)
            bonus_server = home if is_known else None
        return min(candidates, key=lambda s: self._score(s, bonus_server, now))

    def _mean_work(self, pool: Pool, now: float) -> float:
        """Returns the mean work per server, including one more request."""
        cached = self.mean_work_cache.get(pool.name)
        if cached is not None and now - cached[0] < MEAN_WORK_MAX_AGE_S:
            return cached[1]
        subset = self.subset(pool)
        total = sum(self.state(server.address).work(now) for server in subset)
        mean = (total + 1) / len(subset)
        self.mean_work_cache[pool.name] = (now, mean)
        return mean

    def _score(
        self, server: Upstream, home: Upstream | None, now: float
    ) -> float:
        state = self.state(server.address)
        score = state.occupancy(now) + state.warm_up_penalty(now)
        score += self._zone_penalty(server.zone)
        score -= AFFINITY_BONUS if server is home else 0.0
        capped = state.work_since_report() >= self._new_work_cap(state)
        return score + (CAP_PENALTY if capped else 0.0)

    def _new_work_cap(self, state: LocalServerState) -> int:
        """Returns the maximum number of new requests until the next report.

        All nodes see the same report at about the same time, so each uses
        only its share of the free slots, doubled as not all nodes need theirs.
        """
        free_slots = state.slots()
        if state.load is not None:
            free_slots = max(
                0, free_slots - state.load.running - state.load.waiting
            )
        nodes = max(1, len(self.members.live()))
        return max(1, math.ceil(2 * free_slots / nodes))

    def _zone_penalty(self, zone: str) -> float:
        if zone == self.zone:
            return 0.0
        order = self.zone_order
        zone_rank = order.index(zone) if zone in order else len(order)
        return ZONE_PENALTY + FAR_PENALTY * zone_rank

    def done(
        self,
        address: str,
        first_token_s: float,
        failed: bool,
    ) -> None:
        """Records the end of a request on a picked server.

        Args:
            address: The server.
            first_token_s: Time to the first token in seconds; 0 without one.
            failed: Whether the server failed.
        """
        state, now = self.state(address), self.now()
        state.in_flight = max(0, state.in_flight - 1)
        if first_token_s:
            self.metrics.timing("server.first_token", first_token_s * 1000)
        if not failed:
            # A request that was released without a run is no success.
            if first_token_s:
                state.record_success(now)
        elif state.record_failure(
            now, self._may_eject(address), self._jitter()
        ):
            self.metrics.incr("server.ejected")

    def is_queueing(self, address: str) -> bool:
        """Returns whether new requests queue at a server because it is full."""
        return self.state(address).occupancy(self.now()) > 1

    def _jitter(self) -> float:
        return self.random.uniform(1 - EJECTION_JITTER, 1 + EJECTION_JITTER)

    def _may_eject(self, address: str) -> bool:
        """Returns whether enough servers of the same pool remain."""
        now = self.now()
        for pool in self.view.catalog().pools.values():
            addresses = [server.address for server in pool.upstreams]
            if address in addresses:
                ejected_count = sum(
                    self.state(a).ejected_until > now for a in addresses
                )
                return (
                    ejected_count + 1 <= len(addresses) * MAX_EJECTED_FRACTION
                )
        return True

    def block_version(
        self, address: str, version: VersionId, reason: str
    ) -> None:
        """Blocks a version on a server for a time, as the `eject` callback."""
        until = self.now() + VERSION_BLOCK_S
        self.state(address).kept_off[str(version)] = until

    def report(self, address: str, load: EngineLoad) -> None:
        """Stores a load report of a server."""
        now = self.now()
        state = self.state(address)
        if now - state.heard_at > self.silence_timeout_s:
            state.warm_from = now
        state.record_load(load, now)

    def prune_servers(self, known: set[str]) -> None:
        """Drops idle unknown servers and caches of removed pools."""
        pools = self.view.catalog().pools
        for name in set(self.subsets) | set(self.mean_work_cache):
            if name not in pools:
                self.subsets.pop(name, None)
                self.mean_work_cache.pop(name, None)
        for address in [a for a in self.servers if a not in known]:
            if not self.servers[address].in_flight:
                del self.servers[address]
