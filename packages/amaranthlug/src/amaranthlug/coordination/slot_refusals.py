"""Refusals of work that depends on a key slot or on billing."""

from amaranthlug.state.refusal import Refusal, RefusalCode

RETRY_AFTER_S = 2.0
"""Wait asked of callers: a takeover ends within a few such waits."""


def slot_unavailable(reason: str) -> Refusal:
    """Returns the refusal of a key whose slot has no acting owner."""
    return Refusal(
        RefusalCode.SLOT_UNAVAILABLE,
        f"the owner of the key cannot act now: {reason}",
        "send the request again with the same key",
        503,
        True,
        RETRY_AFTER_S,
    )


def register_full(bound: int) -> Refusal:
    """Returns the refusal at the bound of the run register."""
    return Refusal(
        RefusalCode.RUN_REGISTER_FULL,
        f"the run register holds its bound of {bound} keys",
        "retry later, or raise bounds.runs",
        503,
        True,
        60.0,
    )


def run_in_progress() -> Refusal:
    """Returns the refusal of a key that still runs."""
    return Refusal(
        RefusalCode.RUN_IN_PROGRESS,
        "a request with this key is running",
        "send it again with the same key to get its answer",
        409,
        False,
        RETRY_AFTER_S,
    )


def key_reused() -> Refusal:
    """Returns the refusal of a key that belongs to another request."""
    return Refusal(
        RefusalCode.KEY_REUSED,
        "the key was used for another request",
        "use a new Idempotency-Key for each request",
        409,
        True,
    )


def unknown_outcome() -> Refusal:
    """Returns the refusal of a key that may have run."""
    return Refusal(
        RefusalCode.UNKNOWN_OUTCOME,
        "a request with this key may have run; its outcome is not known",
        "check the effect before sending a new key",
        409,
        False,
    )


def too_many_sessions(bound: int) -> Refusal:
    """Returns the refusal of a new session at the bound."""
    return Refusal(
        RefusalCode.OVERLOADED,
        f"{bound} sessions are pinned and none is idle",
        "retry later, or raise bounds.pins",
        503,
        True,
        60.0,
    )


def billing_backlog(bound: int) -> Refusal:
    """Returns the refusal at the bound of bills that wait for the log."""
    return Refusal(
        RefusalCode.BILLING_BACKLOG,
        f"{bound} bills wait for the log",
        "retry when the log answers again",
        503,
        True,
        5.0,
    )
