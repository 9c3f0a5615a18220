"""Requests as their callers saw them, stored as JSON lines."""

import pathlib
from collections.abc import Iterable

import msgspec

ANSWERED = "answered"
REFUSED = "refused"
FAILED = "failed"
UNKNOWN_OUTCOME = "unknown_outcome"
"""Code of the only refusals that name no retry time: their key may have run
and must not be sent again."""


class Attempt(msgspec.Struct, kw_only=True):
    """One attempt of a call at a node.

    Times are wall-clock times in seconds.
    """

    node: str
    sent_at: float
    ended_at: float
    outcome: str
    code: str = ""
    not_run: bool = False


class Call(msgspec.Struct, kw_only=True):
    """One request of a caller, with all its attempts.

    Attributes:
        number: Number within the load; part of the prompt or path.
        service: Name of the plain HTTP service; empty for chat.
        path: Path of a service call.
        key: Idempotency key, empty for none.
        idempotent: Whether the request may run more than once.
        difficulty: `easy` or `hard`.
        digest: Digest of the prompt.
        due_at: Wall-clock time of its scheduled start, in seconds.
        first_token_s: Seconds until the first token, -1 if none arrived.
        total_s: Seconds until the end.
        outcome: `answered`, `refused` or `failed`.
        code: Refusal code, or the error of a failure.
        cost: Cost that the router reported, in micro-units, -1 without one.
        moved: Value of the header `X-Session-Moved`.
        resent: Whether another call repeats this request with the same key.
        own: Whether the answer belongs to this request.
        whole: Whether the answer is complete.
        good: Whether the answer is correct.
        tries: Attempts in order.
    """

    number: int
    organisation: str
    kind: str = ""
    service: str = ""
    path: str = ""
    session: str = ""
    key: str = ""
    stream: bool = False
    idempotent: bool = True
    difficulty: str = "easy"
    digest: str = ""
    prompt_words: int = 0
    answer_words: int = 0
    node: str = ""
    due_at: float = 0.0
    sent_at: float = 0.0
    ended_at: float = 0.0
    first_token_s: float = -1.0
    total_s: float = 0.0
    attempts: int = 0
    resent: bool = False
    status: int = 0
    outcome: str = FAILED
    code: str = ""
    not_run: bool = False
    retry_after_s: float | None = None
    request_id: str = ""
    version: str = ""
    cost: int = -1
    moved: str = ""
    own: bool = False
    whole: bool = False
    good: bool = False
    tries: list[Attempt] = []


def has_wrong_retry_time(call: Call) -> bool:
    """Tells whether a refusal lacks a retry time, or has one that it must not.

    A refusal with an unknown outcome must name none. It must not say either
    that the request has not run, since it is the one that cannot know.
    """
    if call.outcome != REFUSED:
        return False
    if call.code == UNKNOWN_OUTCOME:
        return call.not_run or call.retry_after_s is not None
    return call.retry_after_s is None


def write_calls(path: pathlib.Path, calls: Iterable[Call]) -> None:
    """Writes calls to a file as JSON lines."""
    with path.open("wb") as output:
        for call in calls:
            output.write(msgspec.json.encode(call) + b"\n")


def read_calls(path: pathlib.Path) -> list[Call]:
    """Reads calls from a file of JSON lines.

    Raises:
        msgspec.DecodeError: A line is not a call.
    """
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Call) for line in lines]
