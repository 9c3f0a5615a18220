"""HTTP interface of the engine stand-in."""

import time
from typing import TYPE_CHECKING, Any

import falcon
import gevent

from amaranthlug_standins import answers
from amaranthlug_standins.batch import Run
from amaranthlug_standins.engine_events import StreamWriter, usage
from amaranthlug_standins.orders import ReceivedOrder
from amaranthlug_standins.standin import SOCKET_ENVIRON_KEY, reset_connection

if TYPE_CHECKING:
    from amaranthlug_standins.engine import EngineStandIn

DEFAULT_MAX_TOKENS = 4_096


def add_engine_routes(engine: "EngineStandIn") -> None:
    """Adds all routes of an engine to its application."""
    app = engine.app
    app.add_route("/v1/chat/completions", ChatRoute(engine))
    app.add_route("/v1/streams/{stream_id}", StreamRoute(engine))
    app.add_route("/v1/streams/{stream_id}/resume", ResumeRoute(engine))
    app.add_route("/v1/load", LoadRoute(engine))
    app.add_route("/v1/cache/events", CacheEventsRoute(engine))
    app.add_route("/v1/orders", OrdersRoute(engine))
    app.add_route("/v1/state", StateRoute(engine))
    app.add_route("/v1/kv/{stream_id}", KvRoute(engine))


class EngineRoute:
    """Base of the routes of an engine."""

    def __init__(self, engine: "EngineStandIn"):
        """Creates a route of an engine."""
        self.engine = engine

    def find_run(self, stream_id: str) -> Run:
        """Returns the run of a stream id.

        Raises:
            HTTPNotFound: No stream has this id.
        """
        run = self.engine.runs_by_id.get(stream_id)
        if run is None:
            raise falcon.HTTPNotFound(description="no stream has this id")
        return run


class ChatRoute(EngineRoute):
    """`POST /v1/chat/completions`."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Runs a request and returns its answer, streamed or in one piece.

        Raises:
            HTTPTooManyRequests: The queue is full.
        """
        arrived_at = time.time()
        body = req.media
        prompt = answers.last_user_message(body.get("messages", []))
        self.check_acceptance(req, body, prompt)
        run = self.new_run(req, body, prompt)
        run.started_at = arrived_at
        if not self.engine.batch.submit(run):
            raise falcon.HTTPTooManyRequests(retry_after=1)
        self.engine.register_run(run)
        writer = StreamWriter(self.engine, run, req.env[SOCKET_ENVIRON_KEY])
        resp.set_header("X-Request-Id", run.request_id)
        if body.get("stream"):
            resp.content_type = "text/event-stream"
            resp.stream = writer.events(run.start_position)
            return
        if writer.wait_until_complete():
            resp.media = chat_completion(run)

    def check_acceptance(
        self, req: falcon.Request, body: dict[str, Any], prompt: str
    ) -> None:
        """Refuses a request, or crashes, according to state and faults.

        Raises:
            HTTPServiceUnavailable: The engine is draining.
            HTTPNotFound: The version is not loaded.
            HTTPInternalServerError: The fault `error_share` applies, or the
                request is poisoned.
        """
        engine = self.engine
        if engine.is_draining():
            raise falcon.HTTPServiceUnavailable(title="draining", retry_after=1)
        if body.get("model") not in engine.versions:
            raise falcon.HTTPNotFound(
                title="version_not_loaded",
                description=f"{body.get('model')} is not loaded",
            )
        poison = engine.faults.get("poison")
        if poison and poison in prompt:
            self.crash_on_poison(req, body, prompt)
        draw = answers.hash_fraction(
            engine.config.seed, "error", prompt, str(time.monotonic_ns())
        )
        if draw < float(engine.faults.get("error_share", 0)):
            raise falcon.HTTPInternalServerError(description="fault")

    def crash_on_poison(
        self, req: falcon.Request, body: dict[str, Any], prompt: str
    ) -> None:
        """Records the run of a poisoned request and crashes the engine.

        Raises:
            HTTPInternalServerError: Always; it does not reach the caller,
                because the connection has been reset.
        """
        run = self.new_run(req, body, prompt)
        self.engine.register_run(run)
        run.end("crashed")
        self.engine.crash()
        reset_connection(req)
        raise falcon.HTTPInternalServerError(description="crashed")

    def new_run(
        self, req: falcon.Request, body: dict[str, Any], prompt: str
    ) -> Run:
        """Builds a run with its complete answer and stores its prefix."""
        version = body["model"]
        words, good = self.engine.make_answer(prompt, version)
        max_tokens = body.get("max_tokens") or body.get("max_completion_tokens")
        start_position = int(body.get("continue_tokens") or 0)
        text = " ".join(
            answers.content_text(message.get("content"))
            for message in body.get("messages", [])
        )
        request_id = body.get("request_id") or req.get_header("X-Request-Id")
        return Run(
            request_id=request_id or f"engine-{time.monotonic_ns()}",
            version=version,
            digest=answers.prompt_digest(prompt),
            organisation=req.get_header("X-Organisation")
            or str(body.get("user") or ""),
            prompt_tokens=len(text.split()),
            words=words[: max_tokens or DEFAULT_MAX_TOKENS],
            priority=int(body.get("priority") or 0),
            start_position=start_position,
            position=start_position,
            cached_tokens=self.engine.cache.store(version, text),
            good=good,
            started_at=time.time(),
        )


def chat_completion(run: Run) -> dict[str, Any]:
    """Returns a completed run as an OpenAI chat completion."""
    return {
        "id": run.request_id,
        "object": "chat.completion",
        "created": int(run.started_at),
        "model": run.version,
        "choices": [
            {
                "index": 0,
                "message": {
                    "role": "assistant",
                    "content": " ".join(run.words[run.start_position :]),
                },
                "finish_reason": "stop",
            }
        ],
        "usage": usage(run),
    }


class StreamRoute(EngineRoute):
    """`DELETE /v1/streams/ID`."""

    def on_delete(
        self, req: falcon.Request, resp: falcon.Response, stream_id: str
    ) -> None:
        """Cancels a stream and returns the tokens that it generated."""
        run = self.find_run(stream_id)
        run.end("cancelled")
        resp.media = {
            "generated": run.count_generated(),
            "outcome": run.outcome,
        }


class ResumeRoute(EngineRoute):
    """`POST /v1/streams/ID/resume?after=N`."""

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, stream_id: str
    ) -> None:
        """Continues a stream from token N on a new connection.

        Raises:
            HTTPConflict: The run ended before its last token.
        """
        run = self.find_run(stream_id)
        if run.outcome not in ("running", "complete"):
            raise falcon.HTTPConflict(title=run.outcome)
        after = req.get_param_as_int("after", required=True)
        writer = StreamWriter(self.engine, run, req.env[SOCKET_ENVIRON_KEY])
        resp.content_type = "text/event-stream"
        resp.stream = writer.events(max(after, run.start_position))


class LoadRoute(EngineRoute):
    """`GET /v1/load`."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the load report, which lags."""
        resp.media = self.engine.reported_load()


class CacheEventsRoute(EngineRoute):
    """`GET /v1/cache/events?after=N`."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the visible cache events after a number."""
        after = req.get_param_as_int("after", default=-1)
        resp.media = {"events": self.engine.cache.list_events(after)}


class OrdersRoute(EngineRoute):
    """`POST /v1/orders`."""

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Executes an order, or answers 409 to an old fence."""
        body = req.media
        gevent.sleep(float(self.engine.faults.get("order_ms", 0)) / 1000)
        order = ReceivedOrder(
            order_id=body["order_id"],
            action=body["action"],
            version=body.get("version", ""),
            fence=int(body.get("fence", -1)),
            holder=body.get("holder", ""),
            at=time.time(),
        )
        if not self.engine.receive_order(order):
            resp.status = falcon.HTTP_409
            resp.media = {"error": "old_fence", "fence": self.engine.fence}
            return
        resp.media = {"order_id": order.order_id, "outcome": order.outcome}


class StateRoute(EngineRoute):
    """`GET /v1/state`."""

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns versions, role, orders and fence."""
        engine = self.engine
        resp.media = {
            "versions": list(engine.versions),
            "role": engine.role,
            "orders": list(engine.applied_orders),
            "checks_fence": engine.config.checks_fence,
            "fence": engine.fence,
            "boot_id": engine.boot_id,
            "draining": engine.is_draining(),
        }


class KvRoute(EngineRoute):
    """`GET|POST /v1/kv/ID`."""

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, stream_id: str
    ) -> None:
        """Exports the state and newest cache blocks of a stream."""
        run = self.find_run(stream_id)
        resp.media = {
            "version": run.version,
            "digest": run.digest,
            "position": run.position,
            "blocks": list(self.engine.cache.blocks)[-64:],
        }

    def on_post(
        self, req: falcon.Request, resp: falcon.Response, stream_id: str
    ) -> None:
        """Imports cache blocks, so that their prefix need not be computed."""
        blocks = (req.media or {}).get("blocks", [])
        for prefix in blocks:
            self.engine.cache.blocks[prefix] = None
        resp.media = {"imported": len(blocks)}
