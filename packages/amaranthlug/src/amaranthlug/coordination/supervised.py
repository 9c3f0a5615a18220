"""Runs tasks on which others depend, and goes on after unexpected errors."""

import collections
import logging
from collections.abc import Callable

import gevent

RESTART_PAUSE_S = 0.2
"""Pause before a task runs again after an unexpected error, in seconds."""

log = logging.getLogger(__name__)

errors: collections.Counter[str] = collections.Counter()
"""Task -> unexpected errors in it since this process started."""


def record_error(task: str, error: Exception, **details: object) -> None:
    """Logs and counts an unexpected error of a task that goes on.

    Args:
        task: Name of the task.
        error: The error, which is a fault of this build.
        **details: The input that caused it.
    """
    errors[task] += 1
    log.error(
        "task %s goes on after an unexpected error: %s: %s",
        task,
        type(error).__name__,
        error,
        exc_info=error,
        extra={"event": "task_error", "task": task, **details},
    )


def spawn_supervised(task: str, run: Callable[[], object]) -> gevent.Greenlet:
    """Starts a task that runs again after an error, until it returns."""

    def run_until_done() -> None:
        while True:
            try:
                run()
                return
            except Exception as error:
                record_error(task, error)
            gevent.sleep(RESTART_PAUSE_S)

    return gevent.spawn(run_until_done)
