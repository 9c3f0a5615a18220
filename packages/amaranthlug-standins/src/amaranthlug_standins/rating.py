"""Stand-in of the service that rates a sample of answers after a delay."""

import dataclasses
import time
from typing import Any

import falcon

from amaranthlug_standins.answers import hash_fraction, rate_answer
from amaranthlug_standins.standin import StandIn, StandInConfig, run_main

MAX_RATINGS = 200_000
"""Newest ratings that can be read; the platform guarantees no more."""


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
class AnswerRating:
    """A rating, published at the monotonic time `due`."""

    due: float
    request_id: str
    kind: str
    version: str
    good: bool
    seq: int = -1


class RatingStandIn(StandIn):
    """Rates a sample of the answers by their text, after a delay."""

    config_class = RatingConfig

    def __init__(self, config: RatingConfig):
        """Creates a service that has received no answers."""
        self.pending: list[AnswerRating] = []
        self.published: list[AnswerRating] = []
        self.next_seq = 0
        self.submitted = 0
        self.submitted_keys: set[tuple[str, str]] = set()
        super().__init__(config)

    def add_routes(self) -> None:
        """Adds `/answers` and `/ratings`."""
        self.app.add_route("/answers", AnswersRoute(self))
        self.app.add_route("/ratings", RatingsRoute(self))

    def submit(self, answer: dict[str, Any]) -> None:
        """Accepts an answer and schedules its rating.

        An answer that is submitted repeatedly is rated once.
        """
        self.submitted += 1
        key = (answer["request_id"], answer["version"])
        if key in self.submitted_keys:
            return
        self.submitted_keys.add(key)
        share = float(self.faults.get("sample", self.config.sample))
        if hash_fraction(self.config.seed, "sample", key[0]) >= share:
            return
        delay_s = float(self.faults.get("delay_s", self.config.delay_s))
        self.pending.append(
            AnswerRating(
                time.monotonic() + delay_s,
                answer["request_id"],
                answer.get("kind", ""),
                answer["version"],
                self.rate(answer),
            )
        )

    def rate(self, answer: dict[str, Any]) -> bool:
        """Returns whether an answer is rated as good.

        A positive fault `bias` changes that share of the bad ratings to good,
        a negative one that share of the good ratings to bad.
        """
        good = rate_answer(answer.get("answer", ""), answer["version"])
        bias = float(self.faults.get("bias", 0))
        is_flipped = hash_fraction(
            self.config.seed, "bias", answer["request_id"]
        ) < abs(bias)
        if is_flipped and good == (bias < 0):
            return not good
        return good

    def publish_due(self) -> None:
        """Numbers and publishes the ratings that are due."""
        now = time.monotonic()
        due = [rating for rating in self.pending if rating.due <= now]
        self.pending = [rating for rating in self.pending if rating.due > now]
        for rating in due:
            rating.seq = self.next_seq
            self.next_seq += 1
            self.published.append(rating)
        del self.published[:-MAX_RATINGS]

    def seen(self) -> dict[str, Any]:
        """Returns counts of answers and the published ratings."""
        self.publish_due()
        return {
            "submitted": self.submitted,
            "waiting": len(self.pending),
            "ratings": [rating_message(rating) for rating in self.published],
        }


def rating_message(rating: AnswerRating) -> dict[str, Any]:
    """Returns a rating as a message."""
    return {
        "seq": rating.seq,
        "request_id": rating.request_id,
        "kind": rating.kind,
        "version": rating.version,
        "good": rating.good,
    }


class AnswersRoute:
    """`POST /answers`."""

    def __init__(self, service: RatingStandIn):
        """Creates the route."""
        self.service = service

    def on_post(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Accepts answers to be rated."""
        for answer in req.media.get("answers", []):
            self.service.submit(answer)
        resp.media = {}


class RatingsRoute:
    """`GET /ratings`."""

    def __init__(self, service: RatingStandIn):
        """Creates the route."""
        self.service = service

    def on_get(self, req: falcon.Request, resp: falcon.Response) -> None:
        """Returns the published ratings after a sequence number."""
        self.service.publish_due()
        after = req.get_param_as_int("after", default=-1)
        published = self.service.published
        first_seq = published[0].seq if published else 0
        resp.media = {
            "ratings": [
                rating_message(rating)
                for rating in published[max(0, after + 1 - first_seq) :]
            ],
            "end": self.service.next_seq,
        }


if __name__ == "__main__":
    run_main(RatingStandIn)
