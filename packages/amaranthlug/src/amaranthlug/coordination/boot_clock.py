"""Clock for data that must not be used beyond a maximum age."""

import time


def boot_seconds() -> float:
    """Returns seconds since boot, including time in which the VM was paused.

    The monotonic clock stops while a VM is suspended, so an age computed from
    it would be too small afterwards.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
