"""Falcon app: endpoints of callers, operators and peers."""

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
from amaranthlug.protocol.dispatch import Dispatcher, WholeAnswer
from amaranthlug.protocol.events import record_refusal
from amaranthlug.protocol.interfaces import EntryView
from amaranthlug.protocol.service_calls import ServiceCalls
from amaranthlug.state.refusal import Refusal
from amaranthlug.transport.statsd_metrics import StatsdMetrics

log = logging.getLogger(__name__)

SOCKET_KEY = "amaranthlug.socket"
"""Key of the WSGI environment under which the caller's socket is."""

PEER_BODY_BYTES = 16_000_000
"""Bound of a message from a peer; a page of log records is the largest."""


class PeerMessages(Protocol):
    """Authenticates and handles peer messages."""

    def receive(self, name: str, auth: str, body: bytes) -> tuple[int, bytes]:
        """Returns the HTTP status and JSON body of the reply."""
        ...


@dataclasses.dataclass(frozen=True)
class NodeView:
    """What the app shows about its node.

    Attributes:
        entry_ttl_s: Seconds for which callers may cache entry addresses.
        leaving: Tells whether the node is shutting down.
        status: Returns the content of /statusz.
    """

    entry_ttl_s: float
    leaving: Callable[[], bool]
    status: Callable[[], dict[str, Any]]


def send_json(resp: falcon.Response, message: Any, status: int = 200) -> None:
    """Sets a JSON body."""
    resp.status = status
    resp.content_type = "application/json"
    resp.data = msgspec.json.encode(message)


def send_refusal(resp: falcon.Response, refusal: Refusal) -> None:
    """Sets the answer of a refused request."""
    if refusal.retry_after_s is not None:
        # The header takes whole seconds; rounding down could ask too early.
        resp.set_header("Retry-After", str(-int(-refusal.retry_after_s // 1)))
    send_json(resp, refusal.to_json(), refusal.status)


def read_body(req: falcon.Request, bound: int) -> bytes | None:
    """Returns the body, None when it exceeds the bound in bytes."""
    if (req.content_length or 0) > bound:
        return None
    body = req.stream.read(bound + 1)
    return body if len(body) <= bound else None


def caller_headers(req: falcon.Request) -> CallerHeaders:
    """Returns the headers that the router reads."""
    return CallerHeaders(
        authorization=req.get_header("Authorization") or "",
        kind=req.get_header("X-Request-Kind") or "",
        session_id=req.get_header("X-Session-Id") or "",
        idempotency_key=req.get_header("Idempotency-Key") or "",
        deadline_ms=req.get_header("X-Deadline-Ms") or "",
        key_issued_at=req.get_header("X-Key-Issued-At") or "",
    )


def caller_left(req: falcon.Request) -> bool:
    """Tells whether the caller closed its connection."""
    sock = req.env.get(SOCKET_KEY)
    if sock is None:
        return False
    try:
        # gevent's own recv would wait for data.
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return not sock._sock.recv(1, flags)
    except BlockingIOError:
        return False
    except OSError:
        return True


class EntryResource:
    """Entry addresses for callers."""

    def __init__(self, entries: EntryView, node: NodeView):
        """Creates the resource."""
        self.entries = entries
        self.node = node

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with addresses, nearest zone first."""
        entries = self.entries.entries(req.get_param("zone") or "")
        listed = [{"address": a, "zone": zone} for a, zone in entries]
        send_json(resp, {"entries": listed, "ttl_s": self.node.entry_ttl_s})


class ChatResource:
    """Chat completions."""

    def __init__(self, dispatcher: Dispatcher, body_bytes: int):
        """Creates the resource with a bound of the body."""
        self.dispatcher = dispatcher
        self.body_bytes = body_bytes

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers whole or as a stream."""
        raw = read_body(req, self.body_bytes)
        if raw is None:
            refusal = body_too_large_refusal(self.body_bytes)
            record_refusal(self.dispatcher.metrics, refusal)
            # What is left of the body would be read as the next request.
            resp.set_header("Connection", "close")
            send_refusal(resp, refusal)
            return
        answered = self.dispatcher.handle(
            raw, caller_headers(req), lambda: caller_left(req)
        )
        if isinstance(answered, Err):
            send_refusal(resp, answered.err_value)
            return
        answer = answered.ok_value
        if isinstance(answer, WholeAnswer):
            send_json(resp, answer.body)
        else:
            resp.content_type = "text/event-stream"
            resp.set_header("Cache-Control", "no-cache")
            resp.stream = answer
        for name, value in answer.headers.items():
            resp.set_header(name, value)


class ServiceSink:
    """Calls to plain services."""

    def __init__(self, calls: ServiceCalls, body_bytes: int):
        """Creates the sink with a bound of the body."""
        self.calls = calls
        self.body_bytes = body_bytes

    def __call__(
        self,
        req: falcon.Request,
        resp: falcon.Response,
        **kwargs: Any,
    ) -> None:
        """Passes a call on; the route gives `name` and `path`."""
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
    """Messages of peers."""

    def __init__(self, peers: PeerMessages):
        """Creates the resource."""
        self.peers = peers

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, name: str
    ) -> None:
        """Passes a message to the part that authenticates it."""
        raw = read_body(req, PEER_BODY_BYTES)
        if raw is None:
            resp.set_header("Connection", "close")
            send_json(resp, {"error": "body_too_large"}, 413)
            return
        auth = req.get_header("X-Peer-Auth") or ""
        resp.status, resp.data = self.peers.receive(name, auth, raw)
        resp.content_type = "application/json"


class OperatorResource:
    """Health, metrics and status."""

    def __init__(self, node: NodeView, metrics: StatsdMetrics):
        """Creates the resource."""
        self.node = node
        self.metrics = metrics

    def on_get_health(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers 200, or 503 when leaving."""
        leaving = self.node.leaving()
        send_json(resp, {"leaving": leaving}, 503 if leaving else 200)

    def on_get_metrics(
        self, req: falcon.Request, resp: falcon.Response
    ) -> None:
        """Answers with counters, gauges and timings."""
        send_json(resp, self.metrics.to_json())

    def on_get_status(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Answers with the state of the node."""
        send_json(resp, self.node.status())


def log_failure(
    req: falcon.Request,
    resp: falcon.Response,
    error: Exception,
    params: dict[str, Any],
) -> None:
    """Logs an unexpected exception and answers 500.

    The text of an exception may quote a prompt, so only its type and the place
    in the code are logged.
    """
    frames = traceback.extract_tb(error.__traceback__)
    log.error(
        "request failed by a fault of the router",
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
    app.add_error_handler(CallerDisconnectedError, note_left)
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


def note_left(
    req: falcon.Request,
    resp: falcon.Response,
    error: CallerDisconnectedError,
    params: dict[str, Any],
) -> None:
    """Ends a request whose caller is gone; nobody reads the answer."""
    resp.set_header("Connection", "close")
    send_json(resp, {}, 499)


def send_http_error(
    req: falcon.Request,
    resp: falcon.Response,
    error: falcon.HTTPError,
    params: dict[str, Any],
) -> None:
    """Answers an unknown path or method in the shape of refusals."""
    body = {
        "code": "bad_request",
        "message": error.title or "unknown path or method",
        "remedy": "see the list of endpoints",
        "not_run": True,
        "retry_after_s": None,
    }
    send_json(resp, {"error": body}, error.status_code)
