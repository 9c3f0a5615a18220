"""Stand-in of a plain HTTP service beside the engines."""

import dataclasses
import time
from typing import Any

import falcon
import gevent

from amaranthlug_standins.answers import hash_fraction
from amaranthlug_standins.standin import (
    StandIn,
    StandInConfig,
    reset_connection,
    run_main,
)


@dataclasses.dataclass(frozen=True)
class ServiceConfig(StandInConfig):
    """Configuration of a plain service."""

    zone: str = ""
    work_ms: float = 2.0


@dataclasses.dataclass
class ServiceRun:
    """One call that took effect."""

    key: str
    request_id: str
    method: str
    path: str
    at: float


class ServiceStandIn(StandIn):
    """Echoes calls and counts runs by key and request id."""

    config_class = ServiceConfig

    def __init__(self, config: ServiceConfig):
        """Creates a service without runs."""
        self.runs: list[ServiceRun] = []
        self.by_key: dict[str, int] = {}
        self.running = 0
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds the load report and a sink for every other path."""
        self.app.add_route("/v1/load", ServiceLoadRoute(self))
        self.app.add_sink(self.run, prefix="/")

    def run(
        self, req: falcon.Request, resp: falcon.Response, **parts: Any
    ) -> None:
        """Runs a call, counts it and echoes the count and the key.

        Raises:
            HTTPInternalServerError: By the fault `error_share`; not run.
            HTTPServiceUnavailable: By the fault `drain`; not run.
        """
        request_id = req.get_header("X-Request-Id") or ""
        key = req.get_header("Idempotency-Key") or request_id
        draw = str(len(self.runs))
        if self.faults.get("drain"):
            raise falcon.HTTPServiceUnavailable(retry_after=1)
        errors = float(self.faults.get("error_share", 0))
        if hash_fraction(self.config.seed, "error", draw, request_id) < errors:
            raise falcon.HTTPInternalServerError(description="fault")
        req.bounded_stream.read()
        self.runs.append(
            ServiceRun(key, request_id, req.method, req.path, time.time())
        )
        self.by_key[key] = self.by_key.get(key, 0) + 1
        self.running += 1
        try:
            gevent.sleep(self.config.work_ms / 1000)
        finally:
            self.running -= 1
        lost = float(self.faults.get("lose_answers", 0))
        if hash_fraction(self.config.seed, "lose", draw) < lost:
            reset_connection(req)
        resp.media = {"ran": self.by_key[key], "key": key}

    def seen(self) -> dict[str, Any]:
        """Returns runs per key and all runs in order."""
        return {
            "keys": self.by_key,
            "runs": [dataclasses.asdict(run) for run in self.runs],
        }


class ServiceLoadRoute:
    """`GET /v1/load` of a plain service."""

    def __init__(self, service: ServiceStandIn):
        """Creates the route."""
        self.service = service

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the load in the engines' form."""
        resp.media = {
            "running": self.service.running,
            "waiting": 0,
            "slots": 64,
            "cache_used": 0.0,
            "tokens_per_s": 0.0,
            "age_s": 0.0,
            "versions": [],
            "draining": bool(self.service.faults.get("drain")),
        }


if __name__ == "__main__":
    run_main(ServiceStandIn)
