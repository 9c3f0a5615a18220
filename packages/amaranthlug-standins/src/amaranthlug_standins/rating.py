"""Stand-in of the service that rates answers late and by sample."""

import dataclasses
import time
from typing import Any

import falcon

from amaranthlug_standins.answers import hash_fraction, rate_answer
from amaranthlug_standins.standin import StandIn, StandInConfig, run_main

MAX_RATINGS = 200_000
"""Ratings kept; older ones are dropped, as the platform promises no more."""


@dataclasses.dataclass(frozen=True)
class RatingConfig(StandInConfig):
    """Configuration of the rating service.

    Attributes:
        delay_s: Seconds from an answer to its rating.
        sample: Share of answers that are rated.
    """

    delay_s: float = 0.5
    sample: float = 1.0


@dataclasses.dataclass
class Rated:
    """A rating that is shown from the monotonic time `due` on."""

    due: float
    request_id: str
    kind: str
    version: str
    good: bool
    seq: int = -1


class RatingStandIn(StandIn):
    """Rates answers by their text, after a delay and by sample."""

    config_class = RatingConfig

    def __init__(self, config: RatingConfig):
        """Creates a service without answers."""
        self.waiting: list[Rated] = []
        self.shown: list[Rated] = []
        self.next_seq = 0
        self.submitted = 0
        self.known: set[tuple[str, str]] = set()
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds `/answers` and `/ratings`."""
        self.app.add_route("/answers", AnswersRoute(self))
        self.app.add_route("/ratings", RatingsRoute(self))

    def submit(self, answer: dict[str, Any]) -> None:
        """Takes one answer; a repeated one is rated once."""
        self.submitted += 1
        key = (answer["request_id"], answer["version"])
        if key in self.known:
            return
        self.known.add(key)
        share = float(self.faults.get("sample", self.config.sample))
        if hash_fraction(self.config.seed, "sample", key[0]) >= share:
            return
        delay_s = float(self.faults.get("delay_s", self.config.delay_s))
        self.waiting.append(
            Rated(
                time.monotonic() + delay_s,
                answer["request_id"],
                answer.get("kind", ""),
                answer["version"],
                self.judge(answer),
            )
        )

    def judge(self, answer: dict[str, Any]) -> bool:
        """Rates an answer; `bias` turns a share of ratings.

        A positive bias turns that share of bad ratings to good, a negative
        one that share of good ratings to bad.
        """
        good = rate_answer(answer.get("answer", ""), answer["version"])
        bias = float(self.faults.get("bias", 0))
        turned = hash_fraction(
            self.config.seed, "bias", answer["request_id"]
        ) < abs(bias)
        if turned and good == (bias < 0):
            return not good
        return good

    def release(self) -> None:
        """Numbers and shows the ratings that are due."""
        now = time.monotonic()
        due = [rated for rated in self.waiting if rated.due <= now]
        self.waiting = [rated for rated in self.waiting if rated.due > now]
        for rated in due:
            rated.seq = self.next_seq
            self.next_seq += 1
            self.shown.append(rated)
        del self.shown[:-MAX_RATINGS]

    def seen(self) -> dict[str, Any]:
        """Returns counts of answers and all ratings shown."""
        self.release()
        return {
            "submitted": self.submitted,
            "waiting": len(self.waiting),
            "ratings": [wire_form(rated) for rated in self.shown],
        }


def wire_form(rated: Rated) -> dict[str, Any]:
    """Returns a rating as it is sent."""
    return {
        "seq": rated.seq,
        "request_id": rated.request_id,
        "kind": rated.kind,
        "version": rated.version,
        "good": rated.good,
    }


class AnswersRoute:
    """`POST /answers`."""

    def __init__(self, rating: RatingStandIn):
        """Creates the route."""
        self.rating = rating

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Takes answers to be rated."""
        for answer in req.media.get("answers", []):
            self.rating.submit(answer)
        resp.media = {}


class RatingsRoute:
    """`GET /ratings`."""

    def __init__(self, rating: RatingStandIn):
        """Creates the route."""
        self.rating = rating

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns ratings after a number."""
        self.rating.release()
        after = req.get_param_as_int("after", default=-1)
        shown = self.rating.shown
        first = shown[0].seq if shown else 0
        resp.media = {
            "ratings": [
                wire_form(rated) for rated in shown[max(0, after + 1 - first) :]
            ],
            "end": self.rating.next_seq,
        }


if __name__ == "__main__":
    run_main(RatingStandIn)
