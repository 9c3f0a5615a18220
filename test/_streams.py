"""Streams of engines that run on a fake clock; no network."""

import dataclasses
import random

from _crash_watch import make_watch
from _routing import FakeClock, make_request, make_route, make_server

from amaranthlug.coordination.routing.grant_owners import GrantOwners
from amaranthlug.protocol.retry_budget import RetryBudget
from amaranthlug.protocol.routing.engine_queues import EngineQueues
from amaranthlug.protocol.routing.exchange import ExchangeTools, RequestContext
from amaranthlug.protocol.routing.held_bytes import HeldBytes
from amaranthlug.protocol.routing.messages import ReplyHead
from amaranthlug.protocol.routing.model_choice import ModelChoice
from amaranthlug.protocol.routing.placement import Placement
from amaranthlug.protocol.routing.request_log import RequestTrace
from amaranthlug.protocol.routing.server_health import ServerHealthTracker
from amaranthlug.protocol.routing.stream_exchange import StreamExchange
from amaranthlug.protocol.routing.version_speed import VersionSpeeds
from amaranthlug.state.routing.cold_servers import ColdServers
from amaranthlug.state.routing.config import RouteKind
from amaranthlug.state.routing.evacuations import ZoneEvacuations
from amaranthlug.state.routing.grace_period import GracePeriod
from amaranthlug.state.routing.server_statements import ServerStatements


class StillRunningError(Exception):
    """A scripted stream has not ended yet."""


@dataclasses.dataclass(frozen=True)
class StreamScript:
    """How an engine answers.

    Attributes:
        head_s: Time to the head, in seconds.
        gap_s: Time between events, in seconds.
        events: Number of events after which the stream ends.
        shown: Number of events after which the test stops to look, None to
            go on to the end.
        cold_s: Time since the start of the test in which the engine says that
            it is slow, in seconds.
        model: Model that is asked.
    """

    head_s: float = 0.08
    gap_s: float = 0.04
    events: int = 20
    shown: int | None = None
    cold_s: float = 0.0
    model: str = "m"


class ScriptedReply:
    """The answer of an engine that follows a script."""

    def __init__(self, clock: FakeClock, script: StreamScript):
        """Creates an answer whose head has just arrived."""
        self.clock = clock
        self.script = script
        self.head = ReplyHead(200, [], sealed=True)
        self.sent = 0
        self.next_at = clock()

    def read(self, timeout_s: float) -> bytes | None:
        """Returns the next event, None at the end of the stream."""
        if self.sent == self.script.shown:
            raise StillRunningError
        if self.sent == self.script.events:
            return None
        if self.next_at - self.clock() > timeout_s:
            self.clock.advance(timeout_s)
            raise TimeoutError
        self.clock.advance(max(0.0, self.next_at - self.clock()))
        self.next_at += self.script.gap_s
        self.sent += 1
        return b"data: x\n\n"

    def close(self) -> None:
        """Does nothing."""


class ScriptedCall:
    """A request that was sent to a scripted engine."""

    def __init__(self, clock: FakeClock, script: StreamScript):
        """Sends a request now."""
        self.clock = clock
        self.script = script
        self.peer: str | None = None
        self.due_at = clock() + script.head_s

    def reply(self, timeout_s: float) -> ScriptedReply:
        """Returns the answer when its head is due."""
        if self.due_at - self.clock() > timeout_s:
            self.clock.advance(timeout_s)
            raise TimeoutError
        self.clock.advance(max(0.0, self.due_at - self.clock()))
        return ScriptedReply(self.clock, self.script)

    def close(self) -> None:
        """Does nothing."""


class NoMetrics:
    """Drops all metrics."""

    def incr(self, name: str, amount: int = 1) -> None:
        """Drops a count."""

    def gauge(self, name: str, value: float) -> None:
        """Drops a value."""

    def timing(self, name: str, value_ms: float) -> None:
        """Drops a duration."""


class NoCaller:
    """Drops what is written to a caller."""

    def start_stream(self, head: ReplyHead, data: bytes) -> None:
        """Drops the start of a stream."""

    def send_chunk(self, data: bytes) -> None:
        """Drops more of a stream."""

    def end_stream(self) -> None:
        """Drops its end."""


def make_grants(statements: ServerStatements, clock: FakeClock) -> GrantOwners:
    """Returns the grants of a node without others."""
    return GrantOwners("node-1", list, statements, None, NoMetrics(), clock)


def make_cold_servers(clock: FakeClock) -> ColdServers:
    """Returns the register of a node whose services have no limit."""
    return ColdServers(
        "node-1", lambda _: None, lambda: 1, lambda _: 0.0, clock
    )


class StreamHarness:
    """Sends streams to one engine for each version, in simulated time."""

    def __init__(self, tracker, clock: FakeClock):
        """Counts the outcomes in `tracker`."""
        self.clock = clock
        self.script = StreamScript()
        started_at = clock()
        health = ServerHealthTracker(clock)
        queues = EngineQueues(clock)
        statements = ServerStatements(clock)
        self.route = make_route(
            kind=RouteKind.STREAMING, objective_ms=1_000, timeout_ms=20_000
        )
        self.tools = ExchangeTools(
            port=self,
            placement=Placement(
                "zone-a", health, queues, lambda _: started_at, 1
            ),
            health=health,
            budget=RetryBudget(seed=1),
            models=ModelChoice(),
            queues=queues,
            crashes=make_watch(),
            held_bytes=HeldBytes.from_memory(128),
            statements=statements,
            grants=make_grants(statements, clock),
            cold=make_cold_servers(clock),
            evacuations=ZoneEvacuations(),
            grace=GracePeriod(clock),
            speeds=VersionSpeeds(clock, tracker.target_of, tracker.count),
            metrics=NoMetrics(),
            clock=clock,
            record_outcome=tracker.count_answer,
            record_session=lambda *_: None,
            random=random.Random(1),
        )

    def send(self, call) -> ScriptedCall:
        """Sends a request to the engine."""
        return ScriptedCall(self.clock, self.script)

    def is_reachable(self, server) -> bool:
        """Returns that an engine is reachable."""
        return True

    def is_path_alive(self, server, through_peer) -> bool:
        """Returns that open connections work."""
        return True

    def is_link_lost(self, server) -> bool:
        """Returns that the node reaches its engines itself."""
        return False

    def play(self, version: str, script: StreamScript) -> None:
        """Relays a stream of a version's engine as far as it is shown."""
        self.script = script
        now = self.clock()
        request = make_request(arrived=now, deadline=now + 20.0)
        server = make_server(
            f"engine-{version}",
            version=version,
            cold_ms=int(script.cold_s * 1_000),
        )
        context = RequestContext(
            request=request,
            route=dataclasses.replace(self.route, models=(script.model,)),
            service_name="pool",
            organisation=None,
            priority=0,
            needs_key=False,
            candidates=lambda: [server],
            may_send=lambda _: True,
            trace=RequestTrace(request),
        )
        try:
            StreamExchange(context, NoCaller(), self.tools).run()
        except StillRunningError:
            return
