"""Refusals of requests by the slot tables and by billing."""

from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

RETRY_AFTER_S = 2.0
"""Retry delay for callers, in seconds; a takeover ends within a few of them."""

RESEND_SAME_KEY = "send the request again with the same key"


def slot_unavailable_refusal(reason: str, keyed: bool) -> Refusal:
    """Refuses a request whose slot has no acting owner.

    Args:
        reason: Result of the last attempt to reach the owner.
        keyed: The request needs the record of its key, so an earlier attempt
            may have run. Otherwise it needs only the pin of its session.
    """
    return refuse(
        RefusalCode.SLOT_UNAVAILABLE,
        f"the owner of the slot cannot act now: {reason}",
        RESEND_SAME_KEY if keyed else "send the request again",
        not_run=not keyed,
        retry_after_s=RETRY_AFTER_S,
    )


def register_full_refusal(bound: int) -> Refusal:
    """Refuses a new key because the run register is full.

    An earlier attempt with the key may have run and its record be lost.
    """
    return refuse(
        RefusalCode.RUN_REGISTER_FULL,
        f"the run register is full (bound: {bound} keys)",
        f"{RESEND_SAME_KEY}; operators can raise bounds.runs",
        not_run=False,
        retry_after_s=60.0,
    )


def run_in_progress_refusal() -> Refusal:
    """Refuses a key whose request is still running."""
    return refuse(
        RefusalCode.RUN_IN_PROGRESS,
        "a request with this key is running",
        "send it again with the same key to get its answer",
        not_run=False,
        retry_after_s=RETRY_AFTER_S,
    )


def key_reused_refusal() -> Refusal:
    """Refuses a key that was used for a different request."""
    return refuse(
        RefusalCode.KEY_REUSED,
        "the key was used for another request",
        "use a new Idempotency-Key for each request",
        not_run=True,
    )


def unknown_outcome_refusal() -> Refusal:
    """Refuses a key whose request may have run."""
    return refuse(
        RefusalCode.UNKNOWN_OUTCOME,
        "a request with this key may have run; its outcome is unknown",
        "check the effect before sending a new key",
        not_run=False,
    )


def too_many_sessions_refusal(bound: int) -> Refusal:
    """Refuses a new session because the pins are at their bound."""
    return refuse(
        RefusalCode.OVERLOADED,
        f"{bound} sessions are pinned and none is idle",
        "retry later, or raise bounds.pins",
        not_run=True,
        retry_after_s=60.0,
    )


def billing_backlog_refusal(bound: int) -> Refusal:
    """Refuses a request because too many bills wait for the log."""
    return refuse(
        RefusalCode.BILLING_BACKLOG,
        f"too many bills wait for the log (bound: {bound})",
        "retry when the log is reachable again",
        not_run=True,
        retry_after_s=5.0,
    )
