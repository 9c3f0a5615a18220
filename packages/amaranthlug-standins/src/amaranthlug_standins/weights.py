"""Stand-in of the weight store, which limits concurrent fetches."""

import dataclasses
from typing import Any

import falcon
import gevent

from amaranthlug_standins.standin import StandIn, StandInConfig, run_main


@dataclasses.dataclass(frozen=True)
class WeightsConfig(StandInConfig):
    """Configuration of the weight store.

    Attributes:
        fetch_s: Seconds that a fetch takes.
        at_once: Maximum of concurrent fetches; more get 429.
    """

    fetch_s: float = 0.2
    at_once: int = 4


class WeightsStandIn(StandIn):
    """Weight store that delays fetches and refuses excess ones."""

    config_class = WeightsConfig

    def __init__(self, config: WeightsConfig):
        """Creates an idle store."""
        self.active_fetches = 0
        self.fetched: dict[str, int] = {}
        self.limited = 0
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds `/weights/VERSION`."""
        self.app.add_route("/weights/{version}", WeightsRoute(self))

    def seen(self) -> dict[str, Any]:
        """Returns the fetches by version and the number of refused ones."""
        return {"fetched": self.fetched, "limited": self.limited}


class WeightsRoute:
    """`GET /weights/VERSION`."""

    def __init__(self, weights: WeightsStandIn):
        """Creates the route."""
        self.weights = weights

    def on_get(
        self, req: falcon.Request, resp: falcon.Response, version: str
    ) -> None:
        """Answers after the duration of a fetch, without any weights.

        Raises:
            HTTPTooManyRequests: Too many fetches are active.
        """
        store = self.weights
        max_fetches = int(store.faults.get("at_once", store.config.at_once))
        if store.active_fetches >= max_fetches:
            store.limited += 1
            raise falcon.HTTPTooManyRequests(retry_after=1)
        store.active_fetches += 1
        try:
            gevent.sleep(
                float(store.faults.get("fetch_s", store.config.fetch_s))
            )
        finally:
            store.active_fetches -= 1
        store.fetched[version] = store.fetched.get(version, 0) + 1
        resp.media = {"version": version, "bytes": 0}


if __name__ == "__main__":
    run_main(WeightsStandIn)
