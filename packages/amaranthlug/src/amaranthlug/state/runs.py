"""Rows of the run register and of session pins, and their ordering."""

import dataclasses
import enum
from typing import Any

import msgspec
import xxhash


@dataclasses.dataclass(frozen=True)
class RunTicket:
    """Permission to run a request with a key, or the stored answer.

    Attributes:
        run: The caller of `begin` must run the request.
        answer: Stored answer of an earlier run if `run` is False.
        registered: False if no slot owner has recorded the run, so an earlier
            attempt with the key may have run.
    """

    run: bool
    answer: dict[str, Any] | None = None
    registered: bool = True


class RunState(enum.IntEnum):
    """State of one attempt; a higher value replaces a lower one."""

    RUNNING = 0
    FREE = 1
    DONE = 2


class RunRow(msgspec.Struct, kw_only=True):
    """One key of the run register.

    Attributes:
        attempt: Number of the attempt; increases after the key was freed.
        fence: Fencing token: offset of the lease under which the row was
            written.
        digest: Digest of the request.
        run_id: Identifier of the `begin` call that may run the request.
        runner: Incarnation of the node that runs the request.
        at_ms: Unix time of the last change, in milliseconds.
        answer: Answer of the run; None if unknown or not stored.
        size: Size of the answer, in bytes.
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
        """Returns the sort key; a higher row replaces a lower one."""
        return (
            self.attempt,
            int(self.state),
            self.fence,
            self.answer is not None,
        )


class PinRow(msgspec.Struct, kw_only=True):
    """The version that a session is pinned to.

    Attributes:
        version: `model@version`.
        generation: Increases when the pin is replaced.
        fence: Fencing token: offset of the lease under which the row was
            written.
        used_ms: Unix time of the last known use, in milliseconds.
    """

    version: str
    generation: int
    fence: int
    used_ms: int

    def rank(self) -> tuple[int, int, int]:
        """Returns the sort key; a higher row replaces a lower one."""
        return self.generation, self.fence, self.used_ms


def is_newer_run(new: dict[str, Any], old: dict[str, Any]) -> bool:
    """Returns whether a row of the run register replaces another."""
    return (
        msgspec.convert(new, RunRow).rank()
        > msgspec.convert(old, RunRow).rank()
    )


def is_newer_pin(new: dict[str, Any], old: dict[str, Any]) -> bool:
    """Returns whether a session pin replaces another."""
    return (
        msgspec.convert(new, PinRow).rank()
        > msgspec.convert(old, PinRow).rank()
    )


def row_key(scope: str, key: str) -> str:
    """Returns the key of a row, hashed because callers' keys may be long."""
    return xxhash.xxh3_128_hexdigest(f"{scope}|{key}".encode())
