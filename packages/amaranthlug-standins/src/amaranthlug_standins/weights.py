"""Stand-in of the rate-limited weight store."""

import dataclasses
from typing import Any

import falcon
import gevent

from amaranthlug_standins.standin import StandIn, StandInConfig, run_main


@dataclasses.dataclass(frozen=True)
class WeightsConfig(StandInConfig):
    """Configuration of the weight store.

    Attributes:
        fetch_s: Seconds that one fetch takes.
        at_once: Fetches at the same time; more get 429.
    """

    fetch_s: float = 0.2
    at_once: int = 4


class WeightsStandIn(StandIn):
    """Serves weights slowly and refuses too many fetches at once."""

    config_class = WeightsConfig

    def __init__(self, config: WeightsConfig):
        """Creates an idle store."""
        self.running = 0
        self.fetched: dict[str, int] = {}
        self.limited = 0
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds `/weights/VERSION`."""
        self.app.add_route("/weights/{version}", WeightsRoute(self))

    def seen(self) -> dict[str, Any]:
        """Returns fetches by version and the number of refused ones."""
        return {"fetched": self.fetched, "limited": self.limited}


class WeightsRoute:
    """`GET /weights/VERSION`."""

    def __init__(self, weights: WeightsStandIn):
        """Creates the route."""
        self.weights = weights

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, version: str
    ) -> None:
        """Answers after the time of a fetch.

        Raises:
            HTTPTooManyRequests: Too many fetches run.
        """
        store = self.weights
        at_once = int(store.faults.get("at_once", store.config.at_once))
        if store.running >= at_once:
            store.limited += 1
            raise falcon.HTTPTooManyRequests(retry_after=1)
        store.running += 1
        try:
            gevent.sleep(
                float(store.faults.get("fetch_s", store.config.fetch_s))
            )
        finally:
            store.running -= 1
        store.fetched[version] = store.fetched.get(version, 0) + 1
        resp.media = {"version": version, "bytes": 0}


if __name__ == "__main__":
    run_main(WeightsStandIn)
