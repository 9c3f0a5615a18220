"""The life of a routed request: route, key, servers, sending, answer."""

import logging
import random
from collections.abc import Callable

from amaranthlug.coordination.platform import Metrics
from amaranthlug.coordination.routing.config_source import ConfigSource
from amaranthlug.coordination.routing.rollout_tracker import RolloutTracker
from amaranthlug.coordination.routing.server_directory import ServerDirectory
from amaranthlug.protocol.routing.exchange import (
    BaseExchange,
    ExchangeTools,
    RequestContext,
)
from amaranthlug.protocol.routing.messages import (
    AnswerWriter,
    LocalReply,
    RoutedRequest,
)
from amaranthlug.protocol.routing.plain_exchange import PlainExchange
from amaranthlug.protocol.routing.request_log import DecisionLog, RequestTrace
from amaranthlug.protocol.routing.session_versions import SessionVersions
from amaranthlug.protocol.routing.stream_exchange import StreamExchange
from amaranthlug.state.routing.config import (
    KeyHolder,
    Route,
    RouteKind,
    RoutingConfig,
)
from amaranthlug.state.routing.servers import ServerEntry

COME_BACK_S = (0.3, 0.8)
"""Range of the time after which a refused caller may come back, in seconds;
drawn at random so that refused callers do not return together."""
UNCONFIRMED_S = 2.5
"""Age of the configuration above which a missing route or key may be new to
the others, in seconds: the time in which a configuration must be in force and
one read."""

log = logging.getLogger(__name__)


class RefusedError(Exception):
    """The node answers a request itself."""

    def __init__(self, answer: LocalReply):
        """Keeps the answer."""
        super().__init__(answer.message)
        self.answer = answer


class Router:
    """Answers routed requests."""

    def __init__(
        self,
        source: ConfigSource,
        config_age_s: Callable[[], float],
        key_age_limit_s: float,
        servers: ServerDirectory,
        rollouts: RolloutTracker,
        sessions: SessionVersions,
        tools: ExchangeTools,
        decisions: DecisionLog,
        metrics: Metrics,
        seed: int | None = None,
    ):
        """Creates a router.

        Args:
            source: Configuration in force.
            config_age_s: Returns the age of the configuration, in seconds.
            key_age_limit_s: Age above which no request with a key is sent on.
            servers: Listed servers.
            rollouts: Versions that may receive work.
            sessions: Versions of sessions.
            tools: What exchanges with servers need.
            decisions: Takes a line per request.
            metrics: Counters and durations.
            seed: Makes random choices repeatable; for tests only.
        """
        self.source = source
        self.config_age_s = config_age_s
        self.key_age_limit_s = key_age_limit_s
        self.servers = servers
        self.rollouts = rollouts
        self.sessions = sessions
        self.tools = tools
        self.decisions = decisions
        self.metrics = metrics
        self.random = random.Random(seed)

    def handle(self, request: RoutedRequest, writer: AnswerWriter) -> None:
        """Answers a request.

        Raises:
            OSError: The caller is unreachable.
        """
        trace = RequestTrace(request)
        outcome, status = "caller_left", 0
        try:
            try:
                outcome, status = self.answer(request, writer, trace)
            except RefusedError as refused:
                outcome, status = refused.answer.reason, refused.answer.status
                writer.send_local_reply(refused.answer)
        finally:
            now = self.tools.clock()
            self.metrics.incr(f"requests.{outcome}")
            self.metrics.timing("request_ms", (now - request.arrived) * 1_000)
            served = outcome in ("answered", "completed")
            self.decisions.request(served, trace.fields(outcome, status, now))

    def answer(
        self, request: RoutedRequest, writer: AnswerWriter, trace: RequestTrace
    ) -> tuple[str, int]:
        """Sends a request on; returns outcome and status."""
        config = self.source.config
        trace.config_age_s = self.config_age_s()
        if config is None:
            raise self.not_now("no_configuration", "no configuration yet")
        trace.config_version = config.version
        route = self.find_route(config, request, trace)
        trace.route = route.name
        holder = self.find_holder(config, route, request, trace)
        service = self.draw_service(route)
        context = RequestContext(
            request=request,
            route=route,
            service_name=service,
            organisation=holder.organisation if holder else None,
            priority=self.priority_of(route, holder),
            keyed=holder is not None,
            candidates=lambda: self.candidates(service, request),
            may_send=self.may_send,
            trace=trace,
        )
        kind = (
            StreamExchange
            if route.kind is RouteKind.STREAMING
            else PlainExchange
        )
        exchange: BaseExchange = kind(context, writer, self.tools)
        ended = exchange.run()
        if isinstance(ended, LocalReply):
            raise RefusedError(ended)
        return ended

    def find_route(
        self, config: RoutingConfig, request: RoutedRequest, trace: RequestTrace
    ) -> Route:
        """Returns the route of a request.

        Raises:
            RefusedError: There is none, or it may be too new to be known here.
        """
        route = config.find_route(request.host, request.path)
        if route is not None:
            return route
        if trace.config_age_s > UNCONFIRMED_S:
            raise self.not_now(
                "unconfirmed_configuration", "the route may be new"
            )
        raise RefusedError(
            LocalReply(404, "no_route", "no route for this host and path")
        )

    def find_holder(
        self,
        config: RoutingConfig,
        route: Route,
        request: RoutedRequest,
        trace: RequestTrace,
    ) -> KeyHolder | None:
        """Returns the holder of the key, None if no key is needed.

        Raises:
            RefusedError: The key is unknown, or cannot be confirmed.
        """
        if route.anonymous or config.keys is None:
            return None
        if trace.config_age_s > self.key_age_limit_s:
            raise self.not_now(
                "unconfirmed_configuration", "keys cannot be confirmed now"
            )
        holder = config.keys.get(request.key) if request.key else None
        if holder is not None:
            trace.organisation = holder.organisation
            return holder
        if request.key and trace.config_age_s > UNCONFIRMED_S:
            raise self.not_now(
                "unconfirmed_configuration", "the key may be new"
            )
        raise RefusedError(
            LocalReply(401, "unknown_key", "the key is not known")
        )

    def may_send(self, context: RequestContext) -> bool:
        """Tells whether the key of a request still holds."""
        if not context.keyed:
            return True
        if self.config_age_s() > self.key_age_limit_s:
            return False
        config = self.source.config
        key = context.request.key
        return (
            config is not None
            and config.keys is not None
            and key is not None
            and key in config.keys
        )

    def priority_of(self, route: Route, holder: KeyHolder | None) -> int:
        """Returns the rank of a request; 0 is the most urgent."""
        if holder is not None and holder.priority is not None:
            return holder.priority
        return route.priority

    def draw_service(self, route: Route) -> str:
        """Returns one of the route's services by weight."""
        names = [name for name, _ in route.services]
        if len(names) == 1:
            return names[0]
        weights = [weight for _, weight in route.services]
        return self.random.choices(names, weights)[0]

    def candidates(
        self, service: str, request: RoutedRequest
    ) -> list[ServerEntry]:
        """Returns the servers that may get a request now."""
        split = self.rollouts.split(service, self.servers.usable(service))
        return self.sessions.servers_for(
            split, request.session, request.request_id
        )

    def not_now(self, reason: str, message: str) -> RefusedError:
        """Returns a refusal that asks to come back."""
        wait = self.random.uniform(*COME_BACK_S)
        return RefusedError(LocalReply(503, reason, message, wait))
