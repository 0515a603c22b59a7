"""The clock for ages that must include time spent suspended."""

import time


def read_age_clock() -> float:
    """Return seconds on a clock that also runs while the machine is suspended.

    The monotonic clock stops meanwhile. By that clock, a policy would still look
    recently confirmed after a suspension, and API keys withdrawn since would be
    accepted for longer than allowed.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
