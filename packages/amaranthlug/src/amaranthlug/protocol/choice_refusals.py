"""Refusals returned by the choice of versions and servers."""

from amaranthlug.state.refusal import Refusal, RefusalCode, refuse

RETRY_EXHAUSTED_S = 1.0
"""Retry delay after which a full pool may have free slots, in seconds."""

RETRY_WITHDRAWN_S = 30.0
"""Retry delay after which another version may be published, in seconds."""


def not_allowed_refusal(model: str) -> Refusal:
    """Returns the refusal for a model that the organisation may not use."""
    return refuse(
        RefusalCode.VERSION_NOT_ALLOWED,
        f"the organisation may not use {model!r}",
        "use `auto` or ask the operator to allow the version",
        not_run=True,
    )


def no_version_refusal(model: str) -> Refusal:
    """Returns the refusal when no allowed version can serve the request."""
    return refuse(
        RefusalCode.NO_VERSION,
        f"no version in service fits the request for {model!r}",
        "use `auto`, shorten the prompt or wait for another version",
        not_run=True,
        retry_after_s=RETRY_WITHDRAWN_S,
    )


def pools_exhausted_refusal(versions: list[str]) -> Refusal:
    """Returns the refusal when no suitable pool has a free server."""
    return refuse(
        RefusalCode.POOL_EXHAUSTED,
        f"no free server for {', '.join(versions)}",
        "retry after the given time or add servers to the pool",
        not_run=True,
        retry_after_s=RETRY_EXHAUSTED_S,
    )


def poisoned_refusal(not_run: bool) -> Refusal:
    """Returns the refusal for a request that crashed upstream servers."""
    return refuse(
        RefusalCode.POISONED_REQUEST,
        "this request crashed two upstream servers",
        "change the request; it is accepted again after 10 minutes",
        not_run=not_run,
    )
