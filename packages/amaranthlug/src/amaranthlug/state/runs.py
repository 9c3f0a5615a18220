"""Rows of the run register and of session pins, and which row is newer."""

import dataclasses
import enum
from typing import Any

import msgspec
import xxhash


@dataclasses.dataclass(frozen=True)
class RunTicket:
    """Permission to run a keyed request, or the answer of its first run.

    Attributes:
        run: True when the caller of `begin` must run the request.
        answer: Stored answer of an earlier run when `run` is False.
        registered: False when no slot owner knows of the run, so that an
            earlier attempt with the key may have run.
    """

    run: bool
    answer: dict[str, Any] | None = None
    registered: bool = True


class RunState(enum.IntEnum):
    """State of one attempt; a higher one replaces a lower one."""

    RUNNING = 0
    FREE = 1
    DONE = 2


class RunRow(msgspec.Struct, kw_only=True):
    """One key of the run register.

    Attributes:
        attempt: Number of the attempt; grows when the key was freed.
        fence: Offset of the lease under which the owner wrote the row.
        digest: Digest of the request.
        run_id: Names the call of `begin` that may run it.
        runner: Incarnation of the node that runs it.
        at_ms: Unix time of the last change in milliseconds.
        answer: Answer of the run, None when unknown or not kept.
        size: Bytes of the answer.
    """

    attempt: int
    state: RunState
    fence: int
    digest: str
    run_id: str
    runner: str
    at_ms: int
    answer: dict[str, Any] | None = None
    size: int = 0

    def rank(self) -> tuple[int, int, int, bool]:
        """Returns the order in which rows of a key replace each other."""
        return (
            self.attempt,
            int(self.state),
            self.fence,
            self.answer is not None,
        )


class PinRow(msgspec.Struct, kw_only=True):
    """The pin of one session.

    Attributes:
        version: `model@version`.
        generation: Grows when the pin is replaced.
        fence: Offset of the lease under which the owner wrote the row.
        used_ms: Unix time of the last known use in milliseconds.
    """

    version: str
    generation: int
    fence: int
    used_ms: int

    def rank(self) -> tuple[int, int, int]:
        """Returns the order in which rows of a session replace each other."""
        return self.generation, self.fence, self.used_ms


def is_newer_run(new: dict[str, Any], old: dict[str, Any]) -> bool:
    """Tells whether a row of the run register replaces another."""
    return (
        msgspec.convert(new, RunRow).rank()
        > msgspec.convert(old, RunRow).rank()
    )


def is_newer_pin(new: dict[str, Any], old: dict[str, Any]) -> bool:
    """Tells whether a pin replaces another."""
    return (
        msgspec.convert(new, PinRow).rank()
        > msgspec.convert(old, PinRow).rank()
    )


def row_key(scope: str, key: str) -> str:
    """Returns the key of a row; hashed, since callers' keys may be long."""
    return xxhash.xxh3_128_hexdigest(f"{scope}|{key}".encode())
