"""Errors returned to callers whose request is refused or fails."""

import dataclasses
import enum


class RefusalCode(enum.StrEnum):
    """Error codes; each has a metric counter `refused.CODE`."""

    BAD_REQUEST = "bad_request"
    BODY_TOO_LARGE = "body_too_large"
    MISSING_KEY = "missing_key"
    UNKNOWN_KEY = "unknown_key"
    UNKNOWN_KIND = "unknown_kind"
    UNKNOWN_SERVICE = "unknown_service"
    VERSION_NOT_ALLOWED = "version_not_allowed"
    NO_VERSION = "no_version"
    DEADLINE_PASSED = "deadline_passed"
    DEADLINE_UNREACHABLE = "deadline_unreachable"
    LIMIT_EXCEEDED = "limit_exceeded"
    OVERLOADED = "overloaded"
    POOL_EXHAUSTED = "pool_exhausted"
    UNCONFIRMED_CONFIGURATION = "unconfirmed_configuration"
    NO_CONFIGURATION = "no_configuration"
    SLOT_UNAVAILABLE = "slot_unavailable"
    RUN_REGISTER_FULL = "run_register_full"
    RUN_IN_PROGRESS = "run_in_progress"
    KEY_REUSED = "key_reused"
    UNKNOWN_OUTCOME = "unknown_outcome"
    BILLING_BACKLOG = "billing_backlog"
    UPSTREAM_FAILED = "upstream_failed"
    UPSTREAM_TIMEOUT = "upstream_timeout"
    POISONED_REQUEST = "poisoned_request"
    LEAVING = "leaving"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """The error response to a request that is refused or fails.

    Attributes:
        code: Error code.
        message: What happened.
        remedy: What the caller or operator can do.
        status: HTTP status.
        not_run: True only if no upstream can have received the request.
        retry_after_s: Seconds after which to retry; None if a retry is useless.
    """

    code: RefusalCode
    message: str
    remedy: str
    status: int
    not_run: bool
    retry_after_s: float | None = None

    def to_json(self) -> dict[str, object]:
        """Returns the JSON body of the response."""
        return {
            "error": {
                "code": str(self.code),
                "message": self.message,
                "remedy": self.remedy,
                "not_run": self.not_run,
                "retry_after_s": self.retry_after_s,
            }
        }


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
"""HTTP status by error code; other codes have 503."""


def refuse(
    code: RefusalCode,
    message: str,
    remedy: str,
    not_run: bool = True,
    retry_after_s: float | None = None,
) -> Refusal:
    """Returns a refusal with the HTTP status of its code."""
    status = STATUS.get(code, 503)
    return Refusal(code, message, remedy, status, not_run, retry_after_s)
