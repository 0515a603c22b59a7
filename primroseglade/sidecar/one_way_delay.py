"""How long calls were on their way, from clocks that do not agree.

A call says how much time its caller has left when it is sent. On a link that is full,
or at a node that has no processor time for its streams, it may wait for longer than
that, and the work would be done for nobody. The difference of two nodes' clocks is not
known, but it stays the same: what a call took longer than the quickest of those lately,
it waited.
"""

import math

# The quickest call is looked for in this many seconds, twice: clocks of machines drift
# by less than a millisecond in that time.
MIN_DELAY_WINDOW_SECONDS = 10.0
# Waits below this are the usual unevenness of links and loops.
LEAST_SECONDS = 0.02


class OneWayDelay:
    """The calls that come on one stream.

    >>> delay = OneWayDelay()
    >>> delay.measure_excess(sent=100.0, now=7.0)
    0.0
    >>> round(delay.measure_excess(sent=101.0, now=9.5), 3)
    1.5
    """

    __slots__ = ("_before", "_least", "_since")

    def __init__(self) -> None:
        self._least = math.inf
        self._before = math.inf
        self._since = 0.0

    def measure_excess(self, sent: float, now: float) -> float:
        """Return for how many seconds a call waited on its way.

        Args:
            sent: Seconds on the sender's clock.
            now: Seconds on the own one; both count while a machine is suspended.
        """
        if now - self._since > MIN_DELAY_WINDOW_SECONDS:
            self._before, self._least = self._least, math.inf
            self._since = now
        apart = now - sent
        self._least = min(self._least, apart)
        waited = apart - min(self._least, self._before)
        return waited if waited >= LEAST_SECONDS else 0.0
