"""Warm-up of the local backend server, and the rate at which calls may start meanwhile.

A cold backend server, mostly one that has just started, crashes if more calls start
there per second than it tolerates, however few of its slots they take. This module
tracks how long the backend server stays cold and limits the starts; it does no network
I/O.
"""

import collections
import math
from collections.abc import Callable

from ..verdicts import Reason

# The limit holds for any span of this length.
START_WINDOW_SECONDS = 1.0
# Starts stay limited this long after the end of the warm-up as it was reported: reports
# are rounded, and all waiting calls start at that moment.
WARM_UP_MARGIN_SECONDS = 0.1


class WarmUpLimits:
    """What the operator's configuration says about cold backend servers of a service.

    Args:
        calls_per_second: Rate of calls that a cold backend server tolerates.
        max_seconds: Longest time for which a backend server is cold.
    """

    __slots__ = ("calls_per_second", "max_seconds")

    def __init__(self, calls_per_second: float, max_seconds: float):
        self.calls_per_second = calls_per_second
        self.max_seconds = max_seconds


class WarmUp:
    """Tracks whether the backend server is cold, and when the next call may start.

    Unless it is known to be warm, it is assumed to be cold: for example after a crash
    that this node noticed, until the backend server says otherwise.

    Args:
        get_limits: Returns the limits in force, or None if starts are not limited.
        overshoot: Factor by which starts may exceed the rate that is tolerated.
        clock: Returns monotonic seconds.
    """

    __slots__ = (
        "_clock",
        "_cold_until",
        "_get_limits",
        "_is_assumed",
        "_overshoot",
        "_recent_starts",
        "_reserved",
    )

    def __init__(
        self,
        get_limits: Callable[[], WarmUpLimits | None],
        overshoot: float,
        clock: Callable[[], float],
    ):
        self._get_limits = get_limits
        self._overshoot = overshoot
        self._clock = clock
        self._cold_until = 0.0
        self._is_assumed = False
        # Times of the last starts, the oldest first; as many as the limit allows in one
        # window.
        self._recent_starts: collections.deque[float] = collections.deque()
        # Slots of calls that may start and have not been sent yet.
        self._reserved: set[int] = set()

    @property
    def remaining_seconds(self) -> float:
        """Seconds for which the backend server is still cold, or may be; 0 if warm."""
        return max(0.0, self._cold_until - self._clock())

    @property
    def is_assumed(self) -> bool:
        """Whether the backend server may be warm although it is treated as cold."""
        return self._is_assumed and self.remaining_seconds > 0

    @property
    def start_rate(self) -> float:
        """Calls per second that may start; 0 while starts are not limited."""
        return self._start_limit if self.remaining_seconds > 0 else 0.0

    @property
    def reason(self) -> Reason:
        """Reason of a refusal because starts are limited."""
        return Reason.BACKEND_COLD

    @property
    def max_seconds(self) -> float | None:
        """Longest time for which the backend server can be cold; None if unknown."""
        limits = self._get_limits()
        return limits.max_seconds if limits is not None else None

    @property
    def _start_limit(self) -> int:
        """Calls that may start in one window; 0 if there is no limit.

        The operator's further slack is left for calls that this node does not know of,
        such as those that an earlier process of it started.
        """
        limits = self._get_limits()
        if limits is None:
            return 0
        rate = limits.calls_per_second * self._overshoot
        return max(1, math.floor(rate * START_WINDOW_SECONDS))

    def describe(self) -> str:
        """Return why starts are limited."""
        return "the backend server is cold"

    def record_cold_time(self, seconds: float) -> None:
        """Record for how long the backend server says that it is still cold."""
        self._is_assumed = False
        self._cold_until = 0.0
        if seconds > 0:
            self._cold_until = self._clock() + seconds + WARM_UP_MARGIN_SECONDS

    def record_report(self, seconds: float) -> None:
        """Record the cold time in a status report that may have been sent long ago.

        If the backend server is only assumed to be cold, the report may be older than
        the reason for that, so it does not show that the backend server is warm.
        """
        if seconds > 0 or not self._is_assumed:
            self.record_cold_time(seconds)

    def assume_cold(self) -> None:
        """Treat the backend server as cold until it says for how long it is."""
        limits = self._get_limits()
        if limits is None:
            return
        self._is_assumed = True
        self._cold_until = max(self._cold_until, self._clock() + limits.max_seconds)

    def reserve_start(self, slot: int) -> None:
        """Reserve a start for a call that is sent as soon as it has a connection."""
        self._reserved.add(slot)

    def cancel_start(self, slot: int) -> None:
        """Cancel the reservation of a call that was not sent, if there is one."""
        self._reserved.discard(slot)

    def record_start(self, slot: int | None = None) -> None:
        """Record that a request is sent, whether or not starts are limited now.

        Args:
            slot: ID of the call's slot, whose reservation ends; None without one.
        """
        if slot is not None:
            self._reserved.discard(slot)
        limit = self._start_limit
        if not limit:
            return
        self._recent_starts.append(self._clock())
        while len(self._recent_starts) > limit:
            self._recent_starts.popleft()

    def get_start_delay(self, calls_ahead: int = 0) -> float:
        """Return the seconds until a call may start; 0 if it may start now.

        Reserved starts count as if they were sent now.

        Args:
            calls_ahead: Number of calls that start before it.
        """
        remaining = self.remaining_seconds
        limit = self._start_limit if remaining > 0 else 0
        if not limit:
            return 0.0
        now = self._clock()
        started = [at for at in self._recent_starts if at > now - START_WINDOW_SECONDS]
        started += [now] * min(limit, len(self._reserved))
        del started[:-limit]
        # Starts that are left in the current window, before the oldest one expires.
        available = limit - len(started)
        if calls_ahead < available:
            return 0.0
        windows, position = divmod(calls_ahead - available, limit)
        expires_at = started[position] if position < len(started) else now
        delay = expires_at - now + (windows + 1) * START_WINDOW_SECONDS
        return min(remaining, delay)
