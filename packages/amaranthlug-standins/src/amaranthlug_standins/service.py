"""Stand-in of a plain HTTP service."""

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
    """Configuration of a plain service; `work_ms` is the time of a call."""

    zone: str = ""
    work_ms: float = 2.0


@dataclasses.dataclass
class ServiceRun:
    """A call that took effect, at a Unix time in seconds."""

    key: str
    request_id: str
    method: str
    path: str
    at: float


class ServiceStandIn(StandIn):
    """Service that counts its runs by idempotency key or request id."""

    config_class = ServiceConfig

    def __init__(self, config: ServiceConfig):
        """Creates an idle service."""
        self.runs: list[ServiceRun] = []
        self.runs_by_key: dict[str, int] = {}
        self.active_calls = 0
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds the load report and a sink for all other paths."""
        self.app.add_route("/v1/load", ServiceLoadRoute(self))
        self.app.add_sink(self.run, prefix="/")

    def run(
        self, req: falcon.Request, resp: falcon.Response, **parts: Any
    ) -> None:
        """Runs and counts a call, and answers with the count and the key.

        Raises:
            HTTPInternalServerError: The fault `error_share` applies; the call
                did not run.
            HTTPServiceUnavailable: The fault `drain` is set; the call did not
                run.
        """
        request_id = req.get_header("X-Request-Id") or ""
        key = req.get_header("Idempotency-Key") or request_id
        draw = str(len(self.runs))
        if self.faults.get("drain"):
            raise falcon.HTTPServiceUnavailable(retry_after=1)
        error_share = float(self.faults.get("error_share", 0))
        if (
            hash_fraction(self.config.seed, "error", draw, request_id)
            < error_share
        ):
            raise falcon.HTTPInternalServerError(description="fault")
        req.bounded_stream.read()
        self.runs.append(
            ServiceRun(key, request_id, req.method, req.path, time.time())
        )
        self.runs_by_key[key] = self.runs_by_key.get(key, 0) + 1
        self.active_calls += 1
        try:
            gevent.sleep(self.config.work_ms / 1000)
        finally:
            self.active_calls -= 1
        lost_share = float(self.faults.get("lose_answers", 0))
        if hash_fraction(self.config.seed, "lose", draw) < lost_share:
            reset_connection(req)
        resp.media = {"ran": self.runs_by_key[key], "key": key}

    def seen(self) -> dict[str, Any]:
        """Returns the number of runs by key, and all runs in order."""
        return {
            "keys": self.runs_by_key,
            "runs": [dataclasses.asdict(run) for run in self.runs],
        }


class ServiceLoadRoute:
    """`GET /v1/load` of a plain service."""

    def __init__(self, service: ServiceStandIn):
        """Creates the route."""
        self.service = service

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the load in the form of an engine's report."""
        resp.media = {
            "running": self.service.active_calls,
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
