"""The clock for everything that must not be acted on when old."""

import time


def boot_seconds() -> float:
    """Returns seconds since boot, including time in which the VM was paused.

    The monotonic clock stands still while a VM is suspended, so an age taken
    from it would be too small after a pause.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
