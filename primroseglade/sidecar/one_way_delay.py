"""Estimates how long calls were queued between two nodes whose clocks differ.

A call carries the time that remained until its deadline when it was sent. On a
congested link, or at a node short of processor time, it may be queued for longer than
that, and running it would be wasted work. The offset of two nodes' clocks is unknown,
but constant, so the difference of receive and send time, the apparent delay, is too
large or too small by the same amount for each call. The time for which a call
was queued is its apparent delay minus the recent minimum.
"""

import math

# The minimum is taken over the current and the previous window of this length. In that
# time, clocks drift by less than a millisecond.
MIN_DELAY_WINDOW_SECONDS = 10.0
# A smaller excess is normal jitter of links and event loops, and reported as 0.
MIN_REPORTED_EXCESS_SECONDS = 0.02


class OneWayDelay:
    """Tracks the minimum apparent delay of the calls on one stream.

    >>> delay = OneWayDelay()
    >>> delay.measure_excess(sent_at=100.0, now=7.0)
    0.0
    >>> round(delay.measure_excess(sent_at=101.0, now=9.5), 3)
    1.5
    """

    __slots__ = (
        "_previous_window_min_delay",
        "_window_min_delay",
        "_window_started_at",
    )

    def __init__(self) -> None:
        self._window_min_delay = math.inf
        self._previous_window_min_delay = math.inf
        self._window_started_at = 0.0

    def measure_excess(self, sent_at: float, now: float) -> float:
        """Return for how many seconds a call was queued between the nodes.

        Args:
            sent_at: When the call was sent, by ``read_age_clock`` of the sender.
            now: When the call was received, by ``read_age_clock`` of this node.
        """
        if now - self._window_started_at > MIN_DELAY_WINDOW_SECONDS:
            self._previous_window_min_delay, self._window_min_delay = (
                self._window_min_delay,
                math.inf,
            )
            self._window_started_at = now
        apparent_delay = now - sent_at
        self._window_min_delay = min(self._window_min_delay, apparent_delay)
        excess_seconds = apparent_delay - min(
            self._window_min_delay, self._previous_window_min_delay
        )
        return excess_seconds if excess_seconds >= MIN_REPORTED_EXCESS_SECONDS else 0.0
