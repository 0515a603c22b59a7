"""Estimates how long calls were queued between two nodes whose clocks differ.

A call states the time remaining until its deadline when it is sent. On a congested
link, or at a node short of processor time, it may be queued for longer than that, and
running it would be wasted work. The offset of two nodes' clocks is unknown, but
constant: a call was queued for as long as its delay exceeds the recent minimum.
"""

import math

# The minimum is taken over the current and the previous window of this length. Clocks
# drift by less than a millisecond in that time.
MIN_DELAY_WINDOW_SECONDS = 10.0
# A smaller excess is normal jitter of links and event loops, and reported as none.
MIN_REPORTED_SECONDS = 0.02


class OneWayDelay:
    """Tracks the minimum delay of the calls on one stream.

    >>> delay = OneWayDelay()
    >>> delay.measure_excess(sent_at=100.0, now=7.0)
    0.0
    >>> round(delay.measure_excess(sent_at=101.0, now=9.5), 3)
    1.5
    """

    __slots__ = ("_previous_window_min_delay", "_window_min_delay", "_window_start")

    def __init__(self) -> None:
        self._window_min_delay = math.inf
        self._previous_window_min_delay = math.inf
        self._window_start = 0.0

    def measure_excess(self, sent_at: float, now: float) -> float:
        """Return for how many seconds a call was queued between the nodes.

        Args:
            sent_at: When it was sent, in seconds on the sender's age clock.
            now: When it was received, in seconds on the age clock of this node.
        """
        if now - self._window_start > MIN_DELAY_WINDOW_SECONDS:
            self._previous_window_min_delay, self._window_min_delay = (
                self._window_min_delay,
                math.inf,
            )
            self._window_start = now
        apparent_delay = now - sent_at
        self._window_min_delay = min(self._window_min_delay, apparent_delay)
        excess = apparent_delay - min(
            self._window_min_delay, self._previous_window_min_delay
        )
        return excess if excess >= MIN_REPORTED_SECONDS else 0.0
