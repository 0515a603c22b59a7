"""Time for ages and windows."""

import time


def read_age_clock() -> float:
    """Return seconds on a clock that also counts while the machine is suspended.

    The monotonic clock stands still then. What must be given up some seconds after
    it was last confirmed, such as a key, would be used for longer than allowed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
