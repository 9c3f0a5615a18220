"""Builds refusals with the status that belongs to each code."""

from amaranthlug.state.refusal import Refusal, RefusalCode

STATUS = {
    RefusalCode.BAD_REQUEST: 400,
    RefusalCode.UNKNOWN_KIND: 400,
    RefusalCode.DEADLINE_PASSED: 400,
    RefusalCode.MISSING_KEY: 401,
    RefusalCode.UNKNOWN_KEY: 401,
    RefusalCode.VERSION_NOT_ALLOWED: 403,
    RefusalCode.UNKNOWN_SERVICE: 404,
    RefusalCode.KEY_REUSED: 409,
    RefusalCode.RUN_IN_PROGRESS: 409,
    RefusalCode.UNKNOWN_OUTCOME: 409,
    RefusalCode.BODY_TOO_LARGE: 413,
    RefusalCode.POISONED_REQUEST: 422,
    RefusalCode.LIMIT_EXCEEDED: 429,
    RefusalCode.UPSTREAM_FAILED: 502,
    RefusalCode.UPSTREAM_TIMEOUT: 504,
}
"""HTTP status by code; all others are 503."""


def refuse(
    code: RefusalCode,
    message: str,
    remedy: str,
    not_run: bool = True,
    retry_after_s: float | None = None,
) -> Refusal:
    """Returns a refusal with the status of its code."""
    status = STATUS.get(code, 503)
    return Refusal(code, message, remedy, status, not_run, retry_after_s)
