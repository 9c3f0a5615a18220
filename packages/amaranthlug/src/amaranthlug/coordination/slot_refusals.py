"""Refusals of work that depends on a key slot or on billing."""

from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

RETRY_AFTER_S = 2.0
"""Wait asked of callers: a takeover ends within a few such waits."""

SAME_KEY = "send the request again with the same key"


def slot_unavailable(reason: str, keyed: bool) -> Refusal:
    """Returns the refusal of a request whose slot has no acting owner.

    Args:
        reason: What happened at the last try.
        keyed: The request needs its key's record, which may show an earlier
            attempt that ran; otherwise it needs only a session's pin.
    """
    return refuse(
        RefusalCode.SLOT_UNAVAILABLE,
        f"the owner of the slot cannot act now: {reason}",
        SAME_KEY if keyed else "send the request again",
        not_run=not keyed,
        retry_after_s=RETRY_AFTER_S,
    )


def register_full(bound: int) -> Refusal:
    """Returns the refusal at the bound of the run register.

    An earlier attempt with the key may have run and be forgotten here.
    """
    return refuse(
        RefusalCode.RUN_REGISTER_FULL,
        f"the run register holds its bound of {bound} keys",
        f"{SAME_KEY}; operators can raise bounds.runs",
        not_run=False,
        retry_after_s=60.0,
    )


def run_in_progress() -> Refusal:
    """Returns the refusal of a key that still runs."""
    return refuse(
        RefusalCode.RUN_IN_PROGRESS,
        "a request with this key is running",
        "send it again with the same key to get its answer",
        not_run=False,
        retry_after_s=RETRY_AFTER_S,
    )


def key_reused() -> Refusal:
    """Returns the refusal of a key that belongs to another request."""
    return refuse(
        RefusalCode.KEY_REUSED,
        "the key was used for another request",
        "use a new Idempotency-Key for each request",
        not_run=True,
    )


def unknown_outcome() -> Refusal:
    """Returns the refusal of a key that may have run."""
    return refuse(
        RefusalCode.UNKNOWN_OUTCOME,
        "a request with this key may have run; its outcome is not known",
        "check the effect before sending a new key",
        not_run=False,
    )


def too_many_sessions(bound: int) -> Refusal:
    """Returns the refusal of a new session at the bound."""
    return refuse(
        RefusalCode.OVERLOADED,
        f"{bound} sessions are pinned and none is idle",
        "retry later, or raise bounds.pins",
        not_run=True,
        retry_after_s=60.0,
    )


def billing_backlog(bound: int) -> Refusal:
    """Returns the refusal at the bound of bills that wait for the log."""
    return refuse(
        RefusalCode.BILLING_BACKLOG,
        f"{bound} bills wait for the log",
        "retry when the log answers again",
        not_run=True,
        retry_after_s=5.0,
    )
