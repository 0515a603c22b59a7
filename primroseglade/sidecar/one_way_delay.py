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
MIN_REPORTED_SECONDS = 0.02


class OneWayDelay:
    """The calls that come on one stream.

    >>> delay = OneWayDelay()
    >>> delay.measure_excess(sent_at=100.0, now=7.0)
    0.0
    >>> round(delay.measure_excess(sent_at=101.0, now=9.5), 3)
    1.5
    """

    __slots__ = ("_previous_window_min", "_window_min", "_window_start")

    def __init__(self) -> None:
        self._window_min = math.inf
        self._previous_window_min = math.inf
        self._window_start = 0.0

    def measure_excess(self, sent_at: float, now: float) -> float:
        """Return for how many seconds a call waited on its way.

        Args:
            sent: Seconds on the sender's clock.
            now: Seconds on the own one; both count while a machine is suspended.
        """
        if now - self._window_start > MIN_DELAY_WINDOW_SECONDS:
            self._previous_window_min, self._window_min = self._window_min, math.inf
            self._window_start = now
        apparent_delay = now - sent_at
        self._window_min = min(self._window_min, apparent_delay)
        excess = apparent_delay - min(self._window_min, self._previous_window_min)
        return excess if excess >= MIN_REPORTED_SECONDS else 0.0
