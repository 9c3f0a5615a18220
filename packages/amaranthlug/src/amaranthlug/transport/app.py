"""Falcon app with the endpoints for callers, operators and peers."""

import dataclasses
import logging
import socket
import traceback
from collections.abc import Callable
from typing import Any, Protocol

import falcon
import msgspec
from result import Err

from amaranthlug.protocol.callers import CallerDisconnectedError
from amaranthlug.protocol.chat import CallerHeaders, body_too_large_refusal
from amaranthlug.protocol.dispatch import CompleteAnswer, Dispatcher
from amaranthlug.protocol.events import record_refusal
from amaranthlug.protocol.interfaces import EntryView
from amaranthlug.protocol.service_calls import ServiceCalls
from amaranthlug.state.refusal import Refusal
from amaranthlug.transport.statsd_metrics import StatsdMetrics

log = logging.getLogger(__name__)

SOCKET_KEY = "amaranthlug.socket"
"""Key of the caller's socket in the WSGI environment."""

MAX_PEER_BODY_BYTES = 16_000_000
"""Largest body of a peer message; a page of log records is the largest one."""


class PeerMessages(Protocol):
    """Authenticates and handles peer messages."""

    def receive(self, name: str, auth: str, body: bytes) -> tuple[int, bytes]:
        """Returns the HTTP status and JSON body of the reply."""
        ...


@dataclasses.dataclass(frozen=True)
class NodeView:
    """Node state that the app needs for its endpoints.

    Attributes:
        entry_ttl_s: Seconds for which callers may cache entry addresses.
        leaving: Returns whether the node is shutting down.
        status: Returns the content of /statusz.
    """

    entry_ttl_s: float
    leaving: Callable[[], bool]
    status: Callable[[], dict[str, Any]]


def send_json(resp: falcon.Response, message: Any, status: int = 200) -> None:
    """Sets a JSON body and the status."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = msgspec.json.encode(message)


def send_refusal(resp: falcon.Response, refusal: Refusal) -> None:
    """Sets the response of a refused request."""
    if refusal.retry_after_s is not None:
        # The header takes whole seconds; rounded down, callers retry too early.
        resp.set_header("Retry-After", str(-int(-refusal.retry_after_s // 1)))
    send_json(resp, refusal.to_json(), refusal.status)


def read_body(req: falcon.Request, max_bytes: int) -> bytes | None:
    """Returns the body, or None if it is longer than `max_bytes`."""
    if (req.content_length or 0) > max_bytes:
        return None
    body = req.stream.read(max_bytes + 1)
    return body if len(body) <= max_bytes else None


def caller_headers(req: falcon.Request) -> CallerHeaders:
    """Returns the request headers that the router uses."""
    return CallerHeaders(
        authorization=req.get_header("Authorization") or "",
        kind=req.get_header("X-Request-Kind") or "",
        session_id=req.get_header("X-Session-Id") or "",
        idempotency_key=req.get_header("Idempotency-Key") or "",
        deadline_ms=req.get_header("X-Deadline-Ms") or "",
        key_issued_at=req.get_header("X-Key-Issued-At") or "",
    )


def is_caller_disconnected(req: falcon.Request) -> bool:
    """Returns whether the caller closed its connection, without blocking."""
    sock = req.env.get(SOCKET_KEY)
    if sock is None:
        return False
    try:
        # The recv of gevent's socket would wait for data.
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return not sock._sock.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True


class EntryResource:
    """Lists entry addresses for callers."""

    def __init__(self, entries: EntryView, node: NodeView):
        """Creates the resource."""
        self.entries = entries
        self.node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the addresses, those of the nearest zone first."""
        entries = self.entries.entries(req.get_param("zone") or "")
        listed = [{"address": a, "zone": zone} for a, zone in entries]
        send_json(resp, {"entries": listed, "ttl_s": self.node.entry_ttl_s})


class ChatResource:
    """Serves chat completions."""

    def __init__(self, dispatcher: Dispatcher, body_bytes: int):
        """Creates the resource; request bodies are limited to `body_bytes`."""
        self.dispatcher = dispatcher
        self.body_bytes = body_bytes

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns a completion as JSON or as a stream."""
        raw = read_body(req, self.body_bytes)
        if raw is None:
            refusal = body_too_large_refusal(self.body_bytes)
            record_refusal(self.dispatcher.metrics, refusal)
            # The unread rest of the body would be parsed as the next request.
            resp.set_header("Connection", "close")
            send_refusal(resp, refusal)
            return
        answered = self.dispatcher.handle(
            raw, caller_headers(req), lambda: is_caller_disconnected(req)
        )
        if isinstance(answered, Err):
            send_refusal(resp, answered.err_value)
            return
        answer = answered.ok_value
        if isinstance(answer, CompleteAnswer):
            send_json(resp, answer.body)
        else:
            resp.content_type = "text/event-stream"
            resp.set_header("Cache-Control", "no-cache")
            resp.stream = answer
        for name, value in answer.headers.items():
            resp.set_header(name, value)


class ServiceSink:
    """Forwards calls to plain services."""

    def __init__(self, calls: ServiceCalls, body_bytes: int):
        """Creates the sink; request bodies are limited to `body_bytes`."""
        self.calls = calls
        self.body_bytes = body_bytes

    def __call__(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        **kwargs: Any,
    ) -> None:
        """Forwards a call; the route supplies `name` and `path`."""
        raw = read_body(req, self.body_bytes)
        if raw is None:
            resp.set_header("Connection", "close")
            send_refusal(resp, body_too_large_refusal(self.body_bytes))
            return
        target = falcon.uri.encode(kwargs.get("path") or "/")
        if req.query_string:
            target += f"?{req.query_string}"
        answered = self.calls.handle(
            kwargs["name"],
            req.method,
            target,
            req.content_type or "",
            caller_headers(req),
            raw,
        )
        if isinstance(answered, Err):
            send_refusal(resp, answered.err_value)
            return
        answer = answered.ok_value
        resp.status = answer.status
        resp.content_type = answer.content_type
        resp.data = answer.body


class PeerResource:
    """Receives messages from peers."""

    def __init__(self, peers: PeerMessages):
        """Creates the resource."""
        self.peers = peers

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Passes a message to the receiver, which authenticates it."""
        raw = read_body(req, MAX_PEER_BODY_BYTES)
        if raw is None:
            resp.set_header("Connection", "close")
            send_json(resp, {"error": "body_too_large"}, 413)
            return
        auth = req.get_header("X-Peer-Auth") or ""
        resp.status, resp.data = self.peers.receive(name, auth, raw)
        resp.content_type = "application/json"


class OperatorResource:
    """Serves health, metrics and status to operators."""

    def __init__(self, node: NodeView, metrics: StatsdMetrics):
        """Creates the resource."""
        self.node = node
        self.metrics = metrics

    def on_get_health(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns 200, or 503 while the node is shutting down."""
        leaving = self.node.leaving()
        send_json(resp, {"leaving": leaving}, 503 if leaving else 200)

    def on_get_metrics(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Returns counters, gauges and timings."""
        send_json(resp, self.metrics.to_json())

    def on_get_status(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the status of the node."""
        send_json(resp, self.node.status())


def log_failure(
    req: falcon.Request,
    resp: falcon.Response,
    error: Exception,
    params: dict[str, Any],
) -> None:
    """Logs an unexpected exception and returns 500.

    Only the type and the stack are logged, since the text of an exception may
    contain a prompt.
    """
    frames = traceback.extract_tb(error.__traceback__)
    log.error(
        "request failed because of an internal error of the router",
        extra={
            "event": "internal_error",
            "method": req.method,
            "error": type(error).__name__,
            "stack": [f"{f.name}:{f.lineno}" for f in frames],
        },
    )
    send_json(resp, {"error": {"code": "internal", "not_run": False}}, 500)


def create_app(
    dispatcher: Dispatcher,
    calls: ServiceCalls,
    entries: EntryView,
    peers: PeerMessages,
    metrics: StatsdMetrics,
    node: NodeView,
    body_bytes: int,
) -> falcon.App:
    """Returns the WSGI app of a node."""
    app = falcon.App()
    app.add_error_handler(Exception, log_failure)
    app.add_error_handler(falcon.HTTPError, send_http_error)
    app.add_error_handler(CallerDisconnectedError, send_disconnected)
    app.add_route("/v1/entry", EntryResource(entries, node))
    app.add_route("/v1/chat/completions", ChatResource(dispatcher, body_bytes))
    operator = OperatorResource(node, metrics)
    app.add_route("/healthz", operator, suffix="health")
    app.add_route("/metricsz", operator, suffix="metrics")
    app.add_route("/statusz", operator, suffix="status")
    app.add_route("/peer/{name}", PeerResource(peers))
    sink = ServiceSink(calls, body_bytes)
    app.add_sink(sink, r"/v1/services/(?P<name>[^/]+)(?P<path>/.*)?$")
    return app


def send_disconnected(
    req: falcon.Request,
    resp: falcon.Response,
    error: CallerDisconnectedError,
    params: dict[str, Any],
) -> None:
    """Ends a request whose caller disconnected; the response is not read."""
    resp.set_header("Connection", "close")
    send_json(resp, {}, 499)


def send_http_error(
    req: falcon.Request,
    resp: falcon.Response,
    error: falcon.HTTPError,
    params: dict[str, Any],
) -> None:
    """Returns an HTTP error of falcon in the format of refusals."""
    body = {
        "code": "bad_request",
        "message": error.title or "unknown path or method",
        "remedy": "see the list of endpoints",
        "not_run": True,
        "retry_after_s": None,
    }
    send_json(resp, {"error": body}, error.status_code)
