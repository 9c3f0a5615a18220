"""Simulated callers, servers and nodes; times are passed in."""

import dataclasses
import heapq
import itertools
import random
import types
import zlib
from collections.abc import Callable
from typing import Any

from _fakes_log import FakeMetrics

from amaranthlug.coordination.routing.fleet_suspects import CRASHES_TO_BLOCK
from amaranthlug.protocol.routing.block_trials import BlockTrials
from amaranthlug.state.attribution import (
    Crashes,
    explain,
    find_alternatives,
)
from amaranthlug.state.suspects import SuspectFact, SuspectTable

CONTACT_S = 3.0
"""Time within which facts of a node reach the others, in seconds."""
CRASH_DELAY_S = 0.1
PROGRESS_S = 0.5
RESTART_S = 3.4
MAX_ATTEMPTS = 3
GIVE_UP_S = 0.05
"""Mean time until a waiting attempt finds that it is blocked, in seconds."""
END_S = 40.0
"""Length of a mix, in seconds."""
FAULTS_FROM_S = 5.0


@dataclasses.dataclass
class Attempt:
    """A request at a server."""

    request: str
    parts: tuple[str, ...]
    node: int
    began_at: float
    crashing: bool
    tried: int

    def subjects(self) -> Any:
        """Returns the subjects of the request."""
        return types.SimpleNamespace(
            parts=self.parts,
            digest=self.request,
            request=types.SimpleNamespace(request_id=self.request),
        )


class Node:
    """What one node knows, as `FleetSuspects` keeps it."""

    def __init__(self, mix: "CrashMix"):
        """Creates a node that knows nothing."""
        self.mix = mix
        self.table = SuspectTable(lambda: mix.now, CRASHES_TO_BLOCK)
        self.sound_at: dict[str, float] = {}
        self.candidates: set[str] = set()
        self.blocked: dict[str, Crashes] = {}
        self.alternatives: dict[str, set[str]] = {}
        self.trials = BlockTrials(self, FakeMetrics(), lambda: mix.now)

    def is_drawn_for(self, subject: str) -> bool:
        """Returns whether this node runs the trials of a part."""
        number = zlib.crc32(subject.encode()) % len(self.mix.members)
        return self.mix.members[number] is self

    def refuses(self, attempt: "Attempt") -> bool:
        """Returns whether a request with a blocked subject reaches nothing."""
        for subject in (*attempt.parts, attempt.request):
            if subject in self.blocked:
                is_trial = (
                    subject != attempt.request
                    and not attempt.tried
                    and self.trials.begin(subject, attempt.subjects())
                )
                return not is_trial
        return False

    def merge(self, fact: SuspectFact) -> None:
        """Adds a fact."""
        if not self.table.merge(fact):
            return
        if self.is_sound(fact.digest):
            known = self.table.fact(fact.digest)
            self.table.merge(dataclasses.replace(known, cleared=known.crashes))
        was_candidate = fact.digest in self.candidates
        self.candidates.discard(fact.digest)
        if self.table.is_blocked(fact.digest):
            self.candidates.add(fact.digest)
        elif not was_candidate:
            return
        found = {name: self.table.suspects[name] for name in self.candidates}
        former = self.blocked
        self.blocked = explain(found, CRASHES_TO_BLOCK, self.sound_at)
        self.alternatives = {
            name: find_alternatives(name, crashes, found)
            for name, crashes in self.blocked.items()
        }
        if self.blocked.keys() - former.keys():
            self.mix.at(GIVE_UP_S, self.mix.give_up, self)

    def is_sound(self, part: str) -> bool:
        """Returns whether a part was answered here in the last 2 s."""
        return self.mix.now - self.sound_at.get(part, -9.0) <= 2.0


@dataclasses.dataclass
class CrashMix:
    """Callers with sound and crashing requests before a service.

    Attributes:
        nodes: Number of nodes.
        servers: Number of servers.
        rate: Requests a second.
        crashing_share: Share of requests with the crashing part.
        position: Position of the crashing part in prompts.
        middles: Number of other middle parts, which requests share.
        lost_share: Share of notices that come only with the reports.
        is_part_crashing: False if servers end for another reason.
        faults_from_s: Time of the first crashing request, in seconds.
        gives_up: Attempts that wait at a server are given up when blocked,
            which nodes do not do; it is for comparison.
    """

    random: random.Random
    nodes: int
    servers: int
    rate: float
    crashing_share: float
    position: int
    middles: int
    lost_share: float
    is_part_crashing: bool
    faults_from_s: float = FAULTS_FROM_S
    gives_up: bool = False
    now: float = 0.0
    arrivals_after_fifth: int = 0
    sent_sound: int = 0
    refused_sound: int = 0
    given_up_sound: int = 0

    @classmethod
    def draw(
        cls,
        source: random.Random,
        position: int,
        is_part_crashing: bool = True,
        **more: float,
    ) -> "CrashMix":
        """Draws a mix."""
        servers = source.choice([4, 9, 20])
        return cls(
            random=source,
            nodes=source.choice([4, 8, 30, 90]),
            servers=servers,
            rate=servers * source.uniform(2.0, 5.0),
            crashing_share=source.choice([0.02, 0.05, 0.1, 0.3]),
            position=position,
            middles=source.choice([1, 5, 40]),
            lost_share=source.choice([0.0, 0.1, 0.5]),
            is_part_crashing=is_part_crashing,
            **more,
        )

    def __post_init__(self):
        """Creates servers and nodes."""
        self.events: list = []
        self.order = itertools.count()
        self.numbers = itertools.count()
        self.members = [Node(self) for _ in range(self.nodes)]
        self.running: list[list[Attempt]] = [[] for _ in range(self.servers)]
        self.instances = [f"s{i}@0" for i in range(self.servers)]
        self.up = [True] * self.servers
        self.crashed_at: list[float] = []

    def at(self, delay_s: float, action: Callable, *values: object) -> None:
        """Runs an action after a while."""
        entry = (self.now + delay_s, next(self.order), action, values)
        heapq.heappush(self.events, entry)

    def run(self) -> None:
        """Runs the mix to its end."""
        self.at(0.0, self.send_next)
        if not self.is_part_crashing:
            for number in range(6):
                self.at(FAULTS_FROM_S + 5.0 * number, self.end_many)
        while self.events and self.events[0][0] <= END_S:
            self.now, _, action, values = heapq.heappop(self.events)
            action(*values)

    def end_many(self) -> None:
        """Ends half of the servers at once."""
        for number in range(0, self.servers, 2):
            self.end(number, self.instances[number])

    def send_next(self) -> None:
        """Sends a new request to any node."""
        self.at(self.random.expovariate(self.rate), self.send_next)
        name = f"r{next(self.numbers)}"
        parts = ["sys", f"m{int(self.random.triangular(0, self.middles, 0))}"]
        crashing = (
            self.is_part_crashing
            and self.now >= self.faults_from_s
            and self.random.random() < self.crashing_share
        )
        if crashing:
            parts.insert(self.position, "bad")
        self.sent_sound += not crashing
        node = self.random.randrange(self.nodes)
        self.attempt(
            Attempt(name, tuple(parts), node, 0.0, crashing, 0),
        )

    def attempt(self, attempt: Attempt) -> None:
        """Sends a request to a server that is up."""
        if self.members[attempt.node].refuses(attempt):
            self.refused_sound += not attempt.crashing
            return
        up = [number for number in range(self.servers) if self.up[number]]
        if attempt.tried >= MAX_ATTEMPTS or not up:
            return
        server = self.random.choice(up)
        started = dataclasses.replace(
            attempt,
            began_at=self.now + self.random.uniform(0.05, 0.6),
            tried=attempt.tried + 1,
        )
        self.running[server].append(started)
        instance = self.instances[server]
        if attempt.crashing:
            if len(self.crashed_at) >= 5:
                settled_at = self.crashed_at[4] + CONTACT_S
                self.arrivals_after_fifth += self.now > settled_at
            wait_s = started.began_at - self.now + CRASH_DELAY_S
            self.at(wait_s, self.crash, server, instance, started)
            return
        wait_s = started.began_at - self.now
        lasts_s = self.random.uniform(0.3, 6.0)
        for progress_s in sorted({min(PROGRESS_S, lasts_s), lasts_s}):
            self.at(
                wait_s + progress_s,
                self.progress,
                server,
                started,
                progress_s == lasts_s,
            )

    def crash(self, server: int, instance: str, attempt: Attempt) -> None:
        """Ends a server under an attempt that still runs there."""
        if any(each is attempt for each in self.running[server]):
            self.end(server, instance)

    def give_up(self, node: Node) -> None:
        """Gives up the blocked attempts of a node that wait at servers."""
        for attempts in self.running if self.gives_up else ():
            for attempt in list(attempts):
                if (
                    self.members[attempt.node] is node
                    and attempt.began_at > self.now
                    and node.blocked.keys() & {*attempt.parts, attempt.request}
                ):
                    attempts.remove(attempt)
                    self.given_up_sound += not attempt.crashing

    def progress(self, server: int, attempt: Attempt, is_done: bool) -> None:
        """Records that a stream progressed, if its server still runs."""
        if not any(each is attempt for each in self.running[server]):
            return
        node = self.members[attempt.node]
        for part in attempt.parts:
            node.sound_at[part] = self.now
            known = node.table.fact(part)
            if known and node.table.is_suspected(part):
                self.share(
                    node, dataclasses.replace(known, cleared=known.crashes)
                )
        if is_done:
            self.running[server].remove(attempt)

    def end(self, server: int, instance: str) -> None:
        """Ends a server under all of its requests."""
        if not self.up[server] or self.instances[server] != instance:
            return
        self.up[server] = False
        self.crashed_at.append(self.now)
        self.at(RESTART_S, self.restart, server)
        attempts, self.running[server] = self.running[server], []
        for attempt in attempts:
            if self.now - attempt.began_at < PROGRESS_S:
                self.blame(attempt, instance)
            self.at(0.01, self.attempt, attempt)

    def restart(self, server: int) -> None:
        """Starts a new instance."""
        self.instances[server] = f"s{server}@{self.now:.3f}"
        self.up[server] = True

    def blame(self, attempt: Attempt, instance: str) -> None:
        """Records a crash at the node of an attempt."""
        node = self.members[attempt.node]
        facts = [SuspectFact(attempt.request, [instance], [])]
        facts += [
            SuspectFact(part, [instance], [], 0.0, [attempt.request], depth)
            for depth, part in enumerate(attempt.parts)
            if not node.is_sound(part)
        ]
        for fact in facts:
            self.share(node, fact)

    def share(self, origin: Node, fact: SuspectFact) -> None:
        """Adds a fact at a node and sends it to the others."""
        origin.merge(fact)
        for node in self.members:
            if node is not origin:
                is_lost = self.random.random() < self.lost_share
                delay_s = self.random.uniform(0.02, 0.2)
                if is_lost:
                    delay_s = self.random.uniform(0.5, CONTACT_S - 0.5)
                self.at(delay_s, node.merge, fact)

    def blocked_parts(self) -> set[str]:
        """Returns the parts that any node blocks."""
        parts = {"sys", "bad", *(f"m{i}" for i in range(self.middles + 1))}
        found: set[str] = set()
        for node in self.members:
            found |= node.blocked.keys() & parts
        return found

    def blocked_sound_parts(self) -> set[str]:
        """Returns the parts that are blocked and crash no server."""
        return self.blocked_parts() - {"bad"}

    def is_found(self) -> bool:
        """Returns whether all nodes block the crashing part, if it matters."""
        return len(self.crashed_at) < 5 or all(
            "bad" in node.blocked for node in self.members
        )
