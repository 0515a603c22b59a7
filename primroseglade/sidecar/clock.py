"""The clock for ages that must include time spent suspended."""

import time


def read_age_clock() -> float:
    """Return seconds on a clock that also runs while the machine is suspended.

    The monotonic clock stops meanwhile: if it were used, a key that must be confirmed
    every few seconds would be accepted for longer than allowed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
