"""Handling of a routed request, from route and key check to the answer."""

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

RETRY_AFTER_S = (0.3, 0.8)
"""Range of the random retry delay sent to refused callers, in seconds; random
so that they do not all return together."""
MAX_CONFIRMED_AGE_S = 2.5
"""Age of the configuration above which other nodes may know a route or key that
is missing here, in seconds: the time in which a new configuration must be in
force, plus one read."""

log = logging.getLogger(__name__)


class RefusedError(Exception):
    """Raised if the node answers a request itself instead of sending it."""

    def __init__(self, answer: LocalReply):
        """Creates the error with the reply to the caller."""
        super().__init__(answer.message)
        self.answer = answer


class Router:
    """Checks requests and sends them to a server of their route."""

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
            key_age_limit_s: Configuration age above which no request that needs
                a key is sent, in seconds.
            servers: Registered servers.
            rollouts: Splits requests between versions during roll-outs.
            sessions: Keeps each session on one version.
            tools: Services that exchanges with servers use.
            decisions: Log that receives one line per request.
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
        except OSError:
            raise
        except Exception:
            outcome, status = "internal_error", 500
            raise
        finally:
            now = self.tools.clock()
            self.metrics.incr(f"requests.{outcome}")
            self.metrics.timing("request_ms", (now - request.arrived) * 1_000)
            served = outcome in ("answered", "completed")
            self.decisions.request(served, trace.fields(outcome, status, now))

    def answer(
        self, request: RoutedRequest, writer: AnswerWriter, trace: RequestTrace
    ) -> tuple[str, int]:
        """Sends a request to a server; returns outcome and status.

        Raises:
            RefusedError: The node must answer the request itself.
        """
        config = self.source.config
        trace.config_age_s = self.config_age_s()
        if config is None:
            raise self.retry_later(
                "no_configuration", "the node has no configuration yet"
            )
        trace.config_version = config.version
        route = self.find_route(config, request, trace)
        trace.route = route.name
        holder = self.find_key_holder(config, route, request, trace)
        service = self.choose_service(route)
        context = RequestContext(
            request=request,
            route=route,
            service_name=service,
            organisation=holder.organisation if holder else None,
            priority=self.priority_of(route, holder),
            needs_key=holder is not None,
            candidates=lambda: self.candidates(service, request, trace),
            may_send=self.may_send,
            trace=trace,
        )
        exchange_class = (
            StreamExchange
            if route.kind is RouteKind.STREAMING
            else PlainExchange
        )
        exchange: BaseExchange = exchange_class(context, writer, self.tools)
        result = exchange.run()
        if isinstance(result, LocalReply):
            raise RefusedError(result)
        return result

    def find_route(
        self, config: RoutingConfig, request: RoutedRequest, trace: RequestTrace
    ) -> Route:
        """Returns the route of a request.

        Raises:
            RefusedError: There is none, or this node may not know it yet.
        """
        route = config.find_route(request.host, request.path)
        if route is not None:
            return route
        if trace.config_age_s > MAX_CONFIRMED_AGE_S:
            raise self.retry_later(
                "unconfirmed_configuration",
                "the route may be too new for this node to know",
            )
        raise RefusedError(
            LocalReply(404, "no_route", "no route for this host and path")
        )

    def find_key_holder(
        self,
        config: RoutingConfig,
        route: Route,
        request: RoutedRequest,
        trace: RequestTrace,
    ) -> KeyHolder | None:
        """Returns the holder of the key, None if no key is needed.

        Raises:
            RefusedError: The key is unknown or cannot be checked now.
        """
        if route.anonymous or config.keys is None:
            return None
        if trace.config_age_s > self.key_age_limit_s:
            raise self.retry_later(
                "unconfirmed_configuration", "keys cannot be checked now"
            )
        holder = config.keys.get(request.key) if request.key else None
        if holder is not None:
            trace.organisation = holder.organisation
            return holder
        if request.key and trace.config_age_s > MAX_CONFIRMED_AGE_S:
            raise self.retry_later(
                "unconfirmed_configuration",
                "the key may be too new for this node to know",
            )
        raise RefusedError(
            LocalReply(401, "unknown_key", "the key is not known")
        )

    def may_send(self, context: RequestContext) -> bool:
        """Returns whether the key of a request is still valid."""
        if not context.needs_key:
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
        """Returns the priority of a request; 0 is the most urgent."""
        if holder is not None and holder.priority is not None:
            return holder.priority
        return route.priority

    def choose_service(self, route: Route) -> str:
        """Returns a service of the route, drawn at random by weight."""
        names = [name for name, _ in route.services]
        if len(names) == 1:
            return names[0]
        weights = [weight for _, weight in route.services]
        return self.random.choices(names, weights)[0]

    def candidates(
        self, service: str, request: RoutedRequest, trace: RequestTrace
    ) -> list[ServerEntry]:
        """Returns the servers that may receive a request now."""
        split = self.rollouts.split(
            service, self.servers.usable_servers(service)
        )
        choice = self.sessions.choose(
            split, service, request.session, request.request_id
        )
        if not trace.attempts:
            trace.version_choice = choice
        may_receive = self.tools.statements.may_receive
        may_ask = self.tools.grants.may_ask
        is_warm_enough = self.tools.cold.may_receive
        return [
            server
            for server in choice.servers
            if may_receive(server)
            and may_ask(server)
            and is_warm_enough(server)
        ]

    def retry_later(self, reason: str, message: str) -> RefusedError:
        """Returns a refusal that tells the caller when to retry."""
        wait = self.random.uniform(*RETRY_AFTER_S)
        return RefusedError(LocalReply(503, reason, message, wait))
