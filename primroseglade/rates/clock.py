"""The clock of leases and tokens."""

import time


def read_clock() -> float:
    """Return seconds that go on counting while the machine is suspended.

    ``time.monotonic`` stands still then: a holder that was suspended would take its
    lease for young, and grant beside its successor.
    """
    return time.clock_gettime(time.CLOCK_BOOTTIME)
