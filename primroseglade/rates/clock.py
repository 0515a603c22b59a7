"""The clock of leases and tokens."""

import time


def read_clock() -> float:
    """Return monotonic seconds, including time in which the machine is suspended.

    ``time.monotonic`` stops during a suspend: a holder that resumes would believe that
    its lease is still valid, and grant tokens at the same time as its successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
