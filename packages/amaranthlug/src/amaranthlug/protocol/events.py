"""Counters and log lines of refusals and retries.

Log lines hold only codes, reasons and addresses, because messages may contain
text of the caller or a prompt echoed by an engine. The log handler limits
repeated lines.
"""

import logging

from amaranthlug.coordination.platform import Metrics
from amaranthlug.state.refusal import Refusal

log = logging.getLogger(__name__)


def record_refusal(metrics: Metrics, refusal: Refusal) -> None:
    """Counts and logs a refused request."""
    metrics.incr(f"refused.{refusal.code}")
    log.warning(
        "request refused",
        extra={
            "event": "refused",
            "subject": str(refusal.code),
            "not_run": refusal.not_run,
        },
    )


def record_retry(metrics: Metrics, reason: str, address: str) -> None:
    """Counts and logs a retry after a failure at an upstream."""
    metrics.incr(f"retried.{reason}")
    log.warning(
        "request retried after upstream failure",
        extra={"event": "retried", "subject": reason, "upstream": address},
    )
